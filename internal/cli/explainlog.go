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

// Execute tells from the logs of gateways how a request went.
func (c *explainLogCommand) Execute([]string) error {
	var logs []io.ReadSeeker
	for _, path := range c.Positional.Files {
		file, err := os.Open(path)
		if err != nil {
			return c.explain(fault.Wrap(err, fault.BadRequest, fault.NotRun, "name readable files", "log"))
		}
		defer file.Close()
		logs = append(logs, file)
	}
	found, ok, err := logexplain.Explain(logs, c.Positional.ID)
	if err != nil {
		return c.explain(fault.Wrap(err, fault.BadRequest, fault.NotRun, "name files of one JSON object a line", "log"))
	}
	if !ok {
		return c.explain(fault.New(fault.NotFound, fault.NotRun,
			"give the logs of all hosts of the data centre; of ordinary requests one of 64 has a line, and `request lines` counts those left out",
			"no line names %s", c.Positional.ID))
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
