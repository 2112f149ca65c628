package cli

import (
	"fmt"

	"github.com/knapweedrouter/knapweedrouter/internal/change"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/operatorapi/operatorwire"
)

func addDataCentreCommands(parent commandGroup) {
	group := parent.add("datacentre", "Take data centres out of service and bring them back", &struct{}{})
	group.add("out", "Take a data centre out of service", &dataCentreOutCommand{})
	group.add("in", "Bring a data centre back into service", &dataCentreInCommand{})
	group.add("list", "List the data centres", &dataCentreListCommand{})
}

type dataCentreOutCommand struct {
	ChangeOptions
	Force      bool       `long:"force" description:"take it out although the others can't carry the present load"`
	Positional idArgument `positional-args:"true"`
}

// Execute takes the data centre out of service.
func (c *dataCentreOutCommand) Execute([]string) error {
	entry := model.DataCentreOut{ID: model.DataCentreID(c.Positional.ID), Reason: c.Reason}
	return c.sendPut(change.DataCentreOut, c.Positional.ID, entry, c.Force)
}

type dataCentreInCommand struct {
	ChangeOptions
	Positional idArgument `positional-args:"true"`
}

// Execute brings the data centre back into service.
func (c *dataCentreInCommand) Execute([]string) error {
	return c.send([]change.Edit{{Op: change.Delete, Kind: change.DataCentreOut, ID: c.Positional.ID}}, 0, false)
}

type dataCentreListCommand struct{ OperatorOptions }

// Execute lists the data centres.
func (c *dataCentreListCommand) Execute([]string) error {
	var centres operatorwire.DataCentres
	if err := c.get(operatorwire.PathDataCentres, &centres); err != nil {
		return c.reportError(err)
	}
	var rows [][]string
	for _, centre := range centres.DataCentres {
		rows = append(rows, []string{
			string(centre.ID), string(centre.Region), fmt.Sprint(centre.Hosts), fmt.Sprint(centre.Targets),
			fmt.Sprint(centre.Slots), serviceState(centre.Out), centre.Reason,
		})
	}
	return c.show(centres, []string{"DATA CENTRE", "REGION", "HOSTS", "TARGETS", "SLOTS", "SERVICE", "REASON"}, rows)
}
