package cli

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
)

// OutputOptions holds the options common to all commands that print a result.
type OutputOptions struct {
	Output string `long:"output" choice:"table" choice:"json" default:"table" description:"form of the output"`
}

func (o OutputOptions) isJSON() bool { return o.Output == "json" }

// show prints the value as JSON or the rows as a table, depending on the output option.
func (o OutputOptions) show(value any, header []string, rows [][]string) error {
	if o.isJSON() {
		return printJSON(value)
	}
	printTable(header, rows)
	return nil
}

func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printTable prints rows with aligned columns.
func printTable(header []string, rows [][]string) {
	writer := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(writer, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	writer.Flush()
}

// reportedError wraps an error that has already been printed.
type reportedError struct{ error }

// Unwrap returns the printed error.
func (r *reportedError) Unwrap() error { return r.error }
