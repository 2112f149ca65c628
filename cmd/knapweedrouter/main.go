// Command knapweedrouter is the query tier: its daemon, its operators' client and its trial environment.
package main

import (
	"os"

	"github.com/knapweedrouter/knapweedrouter/internal/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:])) }
