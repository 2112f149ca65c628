package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/logexplain"
)

type explainLogCommand struct {
	OutputOptions
	Positional struct {
		ID    string   `positional-arg-name:"REQUEST-ID" required:"true"`
		Files []string `positional-arg-name:"LOG" required:"1" description:"logs of the hosts"`
	} `positional-args:"true"`
}

// Execute prints the causes and the log lines that explain the outcome of the request.
func (c *explainLogCommand) Execute([]string) error {
	var logs []io.ReadSeeker
	for _, path := range c.Positional.Files {
		file, err := os.Open(path)
		if err != nil {
			return c.reportError(fault.Wrap(err, fault.BadRequest, fault.NotRun, "specify readable files", "log"))
		}
		defer file.Close()
		logs = append(logs, file)
	}
	found, ok, err := logexplain.Explain(logs, c.Positional.ID)
	if err != nil {
		return c.reportError(fault.Wrap(err, fault.BadRequest, fault.NotRun, "specify files with one JSON object per line", "log"))
	}
	if !ok {
		return c.reportError(fault.New(fault.NotFound, fault.NotRun,
			"specify the logs of all hosts of the data centre; only one in 64 ordinary requests is logged, and `request lines` counts those omitted",
			"no log line contains %s", c.Positional.ID))
	}
	if c.isJSON() {
		return printJSON(found)
	}
	for _, cause := range found.Causes {
		fmt.Println(cause)
	}
	fmt.Println()
	for _, line := range append(found.Lines, found.Evidence...) {
		fmt.Println(string(line))
	}
	return nil
}
