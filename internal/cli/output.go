package cli

import (
	"encoding/json"
	"os"
)

// outputOptions are the options of every command that prints a result.
type outputOptions struct {
	Output string `long:"output" choice:"table" choice:"json" default:"table" description:"form of the output"`
}

func (o outputOptions) isJSON() bool { return o.Output == "json" }

func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
