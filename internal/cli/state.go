package cli

import (
	"context"
	"encoding/json"
	"net/url"

	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/operatorapi/operatorwire"
)

func addStateCommands(parent commandGroup) {
	parent.add("state", "Print the state of a host as JSON", &stateCommand{})
	parent.add("explain", "Print the record of a recent query", &explainCommand{})
	parent.add("explain-log", "Explain the outcome of a request from the gateways' logs", &explainLogCommand{})
}

type stateCommand struct {
	OperatorOptions
	Names      []string `long:"name" description:"print only this part of the state; repeat it for several"`
	Positional struct {
		Host string `positional-arg-name:"HOST" required:"true" description:"IP:port of the host's operator listener"`
	} `positional-args:"true"`
}

// Execute prints the state.
func (c *stateCommand) Execute([]string) error {
	client, err := c.clientFor([]string{c.Positional.Host})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	states := map[string]json.RawMessage{}
	if err := client.Get(ctx, operatorwire.PathState, url.Values{"name": c.Names}, &states); err != nil {
		return c.reportError(err)
	}
	return printJSON(states)
}

type explainCommand struct {
	OperatorOptions
	Positional struct {
		QueryID string `positional-arg-name:"QUERY-ID" required:"true"`
	} `positional-args:"true"`
}

// Execute queries the hosts in turn, because only the host that answered the query has its record.
func (c *explainCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	var lastErr error
	for _, host := range c.Hosts {
		client, err := c.clientFor([]string{host})
		if err != nil {
			return err
		}
		var record json.RawMessage
		lastErr = client.Get(ctx, operatorwire.PathExplain+"/"+url.PathEscape(c.Positional.QueryID), nil, &record)
		if lastErr == nil {
			return printJSON(record)
		}
		if !fault.IsKind(lastErr, fault.NotFound) && !fault.IsKind(lastErr, fault.Unavailable) {
			break
		}
	}
	return c.reportError(lastErr)
}
