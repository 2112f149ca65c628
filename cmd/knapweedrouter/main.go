// Command knapweedrouter runs the hosts of the query tier, and provides the operators' client and a test environment.
package main

import (
	"os"

	"github.com/knapweedrouter/knapweedrouter/internal/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:])) }
