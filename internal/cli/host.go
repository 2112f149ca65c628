package cli

import (
	"context"
	"encoding/json"

	"github.com/knapweedrouter/knapweedrouter/internal/change"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/operatorapi/operatorwire"
)

func addHostCommands(parent commandGroup) {
	group := parent.add("host", "Take hosts out of service and bring them back", &struct{}{})
	group.add("out", "Take a host out of service", &hostOutCommand{})
	group.add("in", "Bring a host back into service", &hostInCommand{})
	group.add("list", "List the hosts", &hostListCommand{})
}

type idArgument struct {
	ID string `positional-arg-name:"ID" required:"true"`
}

type hostOutCommand struct {
	ChangeOptions
	Force      bool       `long:"force" description:"take it out although no live host has this id"`
	Positional idArgument `positional-args:"true"`
}

// Execute takes the host out of service.
func (c *hostOutCommand) Execute([]string) error {
	entry := model.HostOut{ID: model.HostID(c.Positional.ID), Reason: c.Reason}
	return c.sendPut(change.HostOut, c.Positional.ID, entry, c.Force)
}

// sendPut submits a change that puts one entry.
func (o ChangeOptions) sendPut(kind change.Kind, id string, entry any, force bool) error {
	value, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	return o.send([]change.Edit{{Op: change.Put, Kind: kind, ID: id, Value: value}}, 0, force)
}

type hostInCommand struct {
	ChangeOptions
	Positional idArgument `positional-args:"true"`
}

// Execute brings the host back into service.
func (c *hostInCommand) Execute([]string) error {
	return c.send([]change.Edit{{Op: change.Delete, Kind: change.HostOut, ID: c.Positional.ID}}, 0, false)
}

type hostListCommand struct{ OperatorOptions }

// Execute lists the hosts.
func (c *hostListCommand) Execute([]string) error {
	var hosts operatorwire.Hosts
	if err := c.get(operatorwire.PathHosts, &hosts); err != nil {
		return c.reportError(err)
	}
	var rows [][]string
	for _, host := range hosts.Hosts {
		rows = append(rows, []string{
			string(host.ID), string(host.DataCentre), string(host.Region), host.Address, string(host.State), serviceState(host.Out), host.Reason,
		})
	}
	return c.show(hosts, []string{"HOST", "DATA CENTRE", "REGION", "PEER ADDRESS", "STATE", "SERVICE", "REASON"}, rows)
}

// get sends a GET request for the path to the configured hosts and decodes the response into reply.
func (o OperatorOptions) get(path string, reply any) error {
	client, err := o.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	return client.Get(ctx, path, nil, reply)
}

func serviceState(out bool) string {
	if out {
		return "out"
	}
	return "in"
}
