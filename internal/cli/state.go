package cli

import (
	"context"
	"encoding/json"
	"net/url"

	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/operatorapi/operatorwire"
)

func addStateCommands(parent registry) {
	parent.add("state", "Print the state of a host as JSON", &stateCommand{})
	parent.add("explain", "Tell how a recent query went", &explainCommand{})
	parent.add("explain-log", "Tell from the logs of gateways how a request went", &explainLogCommand{})
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
	client, err := c.clientOf([]string{c.Positional.Host})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	states := map[string]json.RawMessage{}
	if err := client.Get(ctx, operatorwire.PathState, url.Values{"name": c.Names}, &states); err != nil {
		return c.explain(err)
	}
	return printJSON(states)
}

type explainCommand struct {
	OperatorOptions
	Positional struct {
		QueryID string `positional-arg-name:"QUERY-ID" required:"true"`
	} `positional-args:"true"`
}

// Execute asks each host until one knows the query, because only the host that answered it does.
func (c *explainCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	var last error
	for _, host := range c.Hosts {
		client, err := c.clientOf([]string{host})
		if err != nil {
			return err
		}
		var record json.RawMessage
		last = client.Get(ctx, operatorwire.PathExplain+"/"+url.PathEscape(c.Positional.QueryID), nil, &record)
		if last == nil {
			return printJSON(record)
		}
		if !fault.IsKind(last, fault.NotFound) && !fault.IsKind(last, fault.Unavailable) {
			break
		}
	}
	return c.explain(last)
}
