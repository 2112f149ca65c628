// Package cli holds the subcommands of the binary.
package cli

import (
	"errors"

	"github.com/jessevdk/go-flags"
)

// Exit codes.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

// Run parses the arguments, runs the subcommand and returns the exit code.
func Run(args []string) int {
	parser := flags.NewNamedParser("knapweedrouter", flags.HelpFlag|flags.PassDoubleDash|flags.PrintErrors)
	register(parser, "serve", "Run one host of the query tier", &serveCommand{})
	register(parser, "query", "Send one search as a caller", &queryCommand{})
	register(parser, "standin", "Run stand-ins of the platform and the targets, for trials", &standinCommand{})
	if _, err := parser.ParseArgs(args); err != nil {
		return exitCode(err)
	}
	return exitOK
}

func register(parser *flags.Parser, name, description string, command flags.Commander) {
	if _, err := parser.AddCommand(name, description, description, command); err != nil {
		panic(err) // two commands of one name are a programming error
	}
}

func exitCode(err error) int {
	var flagError *flags.Error
	if !errors.As(err, &flagError) {
		return exitError
	}
	if flagError.Type == flags.ErrHelp {
		return exitOK
	}
	return exitUsage
}
