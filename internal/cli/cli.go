// Package cli implements the subcommands of the knapweedrouter binary.
package cli

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/version"
)

// Exit codes. docs/operators/catalogue.md lists them.
const (
	exitOK = 0
	// exitError means that the command failed or was refused and nothing was changed.
	exitError = 1
	// exitUsage means that the arguments are invalid.
	exitUsage = 2
	// exitConflict means that the change was refused because another change was accepted first.
	exitConflict = 3
	// exitUnknown means that a change may or may not have been accepted. It is safe to resend it with the same change ID.
	exitUnknown = 4
	// exitUnavailable means that no host could be reached, or no store, and nothing was changed.
	exitUnavailable = 5
)

// errReported is returned by a failed command that has already printed the reason.
var errReported = errors.New("reported")

type rootOptions struct {
	Version func() `long:"version" description:"print the version and exit"`
}

// Run executes the subcommand given by the arguments and returns the exit code.
func Run(args []string) int {
	if len(args) == 1 && args[0] == "--version" {
		fmt.Println("knapweedrouter " + version.String())
		return exitOK
	}
	_, err := newParser().ParseArgs(args)
	printError(err)
	return exitCode(err)
}

func newParser() *flags.Parser {
	parser := flags.NewNamedParser("knapweedrouter", flags.HelpFlag|flags.PassDoubleDash)
	must(parser.AddGroup("Options", "", &rootOptions{Version: func() {}}))
	r := commandGroup{parser.Command}
	r.add("serve", "Run one host of the query tier", &serveCommand{})
	r.add("gateway", "Run one host that forwards opaque requests according to an external configuration", &gatewayCommand{})
	r.add("check-config", "Check a settings or catalogue file", &checkConfigCommand{})
	r.add("query", "Send a search request as a caller", &queryCommand{})
	r.add("dev", "Run a whole deployment in one process", &devCommand{})
	r.add("standin", "Run stand-ins of the platform and the targets, for testing", &standinCommand{})
	addCatalogueCommands(r)
	addHostCommands(r)
	addDataCentreCommands(r)
	addConfigCommands(r)
	addStateCommands(r)
	return parser
}

// commandGroup is a command to which subcommands can be added.
type commandGroup struct{ parent *flags.Command }

func (r commandGroup) add(name, description string, command any) commandGroup {
	return commandGroup{must(r.parent.AddCommand(name, description, "", command))}
}

// must panics if err is not nil: duplicate names of options or commands are a programming error.
func must[T any](added T, err error) T {
	if err != nil {
		panic(err)
	}
	return added
}

func printError(err error) {
	var flagError *flags.Error
	var reported *reportedError
	switch {
	case err == nil || errors.Is(err, errReported) || errors.As(err, &reported):
	case errors.As(err, &flagError) && flagError.Type == flags.ErrHelp:
		fmt.Println(err)
	default:
		fmt.Fprintln(os.Stderr, err)
	}
}

func exitCode(err error) int {
	if err == nil {
		return exitOK
	}
	var flagError *flags.Error
	if errors.As(err, &flagError) {
		if flagError.Type == flags.ErrHelp {
			return exitOK
		}
		return exitUsage
	}
	var typed *fault.Error
	if !errors.As(err, &typed) {
		return exitError
	}
	switch {
	case typed.Execution == fault.OutcomeUnknown:
		return exitUnknown
	case typed.Kind == fault.Conflict:
		return exitConflict
	case typed.Kind == fault.Unavailable, typed.Kind == fault.StoreUnavailable, typed.Kind == fault.CutOff, typed.Kind == fault.NotReady:
		return exitUnavailable
	default:
		return exitError
	}
}
