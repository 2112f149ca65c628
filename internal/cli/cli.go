// Package cli holds the subcommands of the binary. Each group of commands has a file.
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
	// exitError means that the command failed or was refused, and that nothing was changed.
	exitError = 1
	// exitUsage means that the arguments are wrong.
	exitUsage = 2
	// exitConflict means that another change was accepted first, and that this one was not.
	exitConflict = 3
	// exitUnknown means that a change may or may not have been accepted. Sending it again with the same change id is
	// safe.
	exitUnknown = 4
	// exitUnavailable means that no host or no store could be reached, and that nothing was changed.
	exitUnavailable = 5
)

// errReported is returned by a command that has failed and already printed why.
var errReported = errors.New("reported")

type rootOptions struct {
	Version func() `long:"version" description:"print the version and exit"`
}

// Run parses the arguments, runs the subcommand and returns the exit code.
func Run(args []string) int {
	if len(args) == 1 && args[0] == "--version" {
		fmt.Println("knapweedrouter " + version.String())
		return exitOK
	}
	_, err := newParser().ParseArgs(args)
	report(err)
	return exitCode(err)
}

func newParser() *flags.Parser {
	parser := flags.NewNamedParser("knapweedrouter", flags.HelpFlag|flags.PassDoubleDash)
	mustAdd(parser.AddGroup("Options", "", &rootOptions{Version: func() {}}))
	r := registry{parser.Command}
	r.add("serve", "Run one host of the query tier", &serveCommand{})
	r.add("gateway", "Run one host that passes opaque requests on by an outside configuration", &gatewayCommand{})
	r.add("check-config", "Check a settings or catalogue file", &checkConfigCommand{})
	r.add("query", "Send one search as a caller", &queryCommand{})
	r.add("dev", "Run a whole deployment in one process", &devCommand{})
	r.add("standin", "Run stand-ins of the platform and the targets, for trials", &standinCommand{})
	addCatalogueCommands(r)
	addHostCommands(r)
	addDataCentreCommands(r)
	addConfigCommands(r)
	addStateCommands(r)
	return parser
}

// registry adds commands below a command.
type registry struct{ parent *flags.Command }

func (r registry) add(name, description string, command any) registry {
	return registry{mustAdd(r.parent.AddCommand(name, description, "", command))}
}

// mustAdd panics because two options or commands of one name are a programming error.
func mustAdd[T any](added T, err error) T {
	if err != nil {
		panic(err)
	}
	return added
}

func report(err error) {
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
