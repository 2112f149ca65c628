package cli

import (
	"fmt"

	"github.com/knapweedrouter/knapweedrouter/internal/change"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

type catalogueDiffCommand struct {
	OperatorOptions
	From       uint64 `long:"from" description:"show the changes after this generation"`
	To         uint64 `long:"to" description:"up to this generation (default: the newest)"`
	Positional struct {
		File string `positional-arg-name:"FILE" description:"catalogue file to compare with the catalogue in force"`
	} `positional-args:"true"`
}

// Execute prints the edits.
func (c *catalogueDiffCommand) Execute([]string) error {
	edits, err := c.edits()
	if err != nil {
		return c.reportError(err)
	}
	rows := make([][]string, 0, len(edits))
	for _, edit := range edits {
		rows = append(rows, []string{string(edit.Op), string(edit.Kind), edit.ID, truncateEntry(edit.Value)})
	}
	return c.show(edits, []string{"EDIT", "KIND", "ID", "ENTRY"}, rows)
}

func (c *catalogueDiffCommand) edits() ([]change.Edit, error) {
	if (c.Positional.File == "") == (c.From == 0) {
		return nil, fault.New(fault.BadRequest, fault.NotRun, "specify either a file or --from", "there is nothing to compare")
	}
	if c.Positional.File != "" {
		_, edits, err := c.diffFile(c.Positional.File)
		return edits, err
	}
	history, err := c.fetchHistory()
	if err != nil {
		return nil, err
	}
	return editsBetween(history.Changes, model.Generation(c.From), model.Generation(c.To))
}

// editsBetween returns the edits of the generations after from, up to and including to. A to of 0 means the newest
// generation.
func editsBetween(changes []change.Accepted, from, to model.Generation) ([]change.Edit, error) {
	if len(changes) > 0 && changes[0].Generation > from+1 {
		return nil, fault.New(fault.NotFound, fault.NotRun, fmt.Sprintf("use --from %d or higher", changes[0].Generation-1),
			"the changes after generation %d are no longer in the history", from)
	}
	edits := []change.Edit{}
	for _, accepted := range changes {
		if accepted.Generation > from && (to == 0 || accepted.Generation <= to) {
			edits = append(edits, accepted.Edits...)
		}
	}
	return edits, nil
}
