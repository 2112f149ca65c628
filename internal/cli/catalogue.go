package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/knapweedrouter/knapweedrouter/internal/change"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/operatorapi/operatorwire"
	"github.com/knapweedrouter/knapweedrouter/internal/strictjson"
)

func addCatalogueCommands(parent commandGroup) {
	group := parent.add("catalogue", "Show and change the catalogue", &struct{}{})
	group.add("list", "List the entries of one kind or of all kinds", &catalogueListCommand{})
	group.add("get", "Print one entry, or the whole catalogue, as JSON", &catalogueGetCommand{})
	group.add("put", "Add or replace one entry", &cataloguePutCommand{})
	group.add("delete", "Delete one entry", &catalogueDeleteCommand{})
	group.add("apply", "Replace the catalogue by the contents of a file", &catalogueApplyCommand{})
	group.add("history", "List the recent changes", &catalogueHistoryCommand{})
	group.add("diff", "Show the edits that apply would make, or the edits between two generations", &catalogueDiffCommand{})
}

type catalogueListCommand struct {
	OperatorOptions
	Positional struct {
		Kind string `positional-arg-name:"KIND" description:"caller, search, index, service, target, data_centre, host_out or data_centre_out"`
	} `positional-args:"true"`
}

// Execute lists the entries.
func (c *catalogueListCommand) Execute([]string) error {
	kinds := change.Kinds
	if c.Positional.Kind != "" {
		kind, err := parseKind(c.Positional.Kind)
		if err != nil {
			return err
		}
		kinds = []change.Kind{kind}
	}
	catalogue, err := c.fetchCatalogue()
	if err != nil {
		return c.reportError(err)
	}
	result := operatorwire.Entries{Generation: catalogue.Generation, Entries: []change.Entry{}}
	var rows [][]string
	for _, kind := range kinds {
		for _, entry := range change.Entries(&catalogue, kind) {
			result.Entries = append(result.Entries, entry)
			rows = append(rows, []string{string(kind), entry.ID, truncateEntry(entry.Value)})
		}
	}
	return c.show(result, []string{"KIND", "ID", "ENTRY"}, rows)
}

const maxEntryWidth = 100

func truncateEntry(value json.RawMessage) string {
	if len(value) <= maxEntryWidth {
		return string(value)
	}
	return string(value[:maxEntryWidth]) + "..."
}

func parseKind(name string) (change.Kind, error) {
	kind, err := change.ParseKind(name)
	if err != nil {
		return "", fault.Wrap(err, fault.BadRequest, fault.NotRun, "use a kind of the catalogue", "kind")
	}
	return kind, nil
}

func (o OperatorOptions) fetchCatalogue() (model.Catalogue, error) {
	client, err := o.client()
	if err != nil {
		return model.Catalogue{}, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	return client.Catalogue(ctx)
}

type entryArguments struct {
	Kind string `positional-arg-name:"KIND" required:"true"`
	ID   string `positional-arg-name:"ID" required:"true"`
}

type catalogueGetCommand struct {
	OperatorOptions
	Positional struct {
		Kind string `positional-arg-name:"KIND"`
		ID   string `positional-arg-name:"ID"`
	} `positional-args:"true"`
}

// Execute prints the entry or the catalogue.
func (c *catalogueGetCommand) Execute([]string) error {
	catalogue, err := c.fetchCatalogue()
	if err != nil {
		return c.reportError(err)
	}
	if c.Positional.Kind == "" {
		return printJSON(catalogue)
	}
	kind, err := parseKind(c.Positional.Kind)
	if err != nil {
		return err
	}
	for _, entry := range change.Entries(&catalogue, kind) {
		if entry.ID == c.Positional.ID {
			return printJSON(entry.Value)
		}
	}
	return c.reportError(fault.New(fault.NotFound, fault.NotRun, "list the entries with: catalogue list "+string(kind),
		"there is no %s %q", kind, c.Positional.ID))
}

type cataloguePutCommand struct {
	ChangeOptions
	Positional struct {
		Kind string `positional-arg-name:"KIND" required:"true"`
		File string `positional-arg-name:"FILE" required:"true" description:"JSON file with the entry; - reads standard input"`
	} `positional-args:"true"`
}

// Execute submits the entry as a change.
func (c *cataloguePutCommand) Execute([]string) error {
	kind, err := parseKind(c.Positional.Kind)
	if err != nil {
		return err
	}
	content, err := readFileOrStdin(c.Positional.File)
	if err != nil {
		return err
	}
	edit, err := newPutEdit(kind, content)
	if err != nil {
		return err
	}
	return c.send([]change.Edit{edit}, 0, false)
}

func newPutEdit(kind change.Kind, content []byte) (change.Edit, error) {
	var named struct {
		ID string `json:"id"`
	}
	if err := json.Unmarshal(content, &named); err != nil || named.ID == "" {
		return change.Edit{}, fault.New(fault.BadRequest, fault.NotRun, "write one JSON object with the field id", "the file does not contain a %s entry", kind)
	}
	return change.Edit{Op: change.Put, Kind: kind, ID: named.ID, Value: content}, nil
}

func readFileOrStdin(name string) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(os.Stdin)
	}
	content, err := os.ReadFile(name)
	return content, eris.Wrap(err, "file")
}

type catalogueDeleteCommand struct {
	ChangeOptions
	Positional entryArguments `positional-args:"true"`
}

// Execute deletes the entry.
func (c *catalogueDeleteCommand) Execute([]string) error {
	kind, err := parseKind(c.Positional.Kind)
	if err != nil {
		return err
	}
	return c.send([]change.Edit{{Op: change.Delete, Kind: kind, ID: c.Positional.ID}}, 0, false)
}

type catalogueFileArgument struct {
	File string `positional-arg-name:"FILE" required:"true" description:"catalogue file, as printed by catalogue get"`
}

type catalogueApplyCommand struct {
	ChangeOptions
	Force      bool                  `long:"force" description:"also take out data centres whose load the others can't carry, and hosts that are not live"`
	Positional catalogueFileArgument `positional-args:"true"`
}

// Execute submits the edits that turn the catalogue in force into that of the file. If the file states a generation, the
// change is based on it.
func (c *catalogueApplyCommand) Execute([]string) error {
	wanted, edits, err := c.diffFile(c.Positional.File)
	if err != nil {
		return c.reportError(err)
	}
	if len(edits) == 0 {
		return c.show([]change.Edit{}, []string{"the catalogue is already equal to the file"}, nil)
	}
	return c.send(edits, wanted.Generation, c.Force)
}

// diffFile returns the catalogue in the file and the edits that turn the catalogue in force into it.
func (o OperatorOptions) diffFile(file string) (model.Catalogue, []change.Edit, error) {
	content, err := readFileOrStdin(file)
	if err != nil {
		return model.Catalogue{}, nil, err
	}
	var wanted model.Catalogue
	if faults := strictjson.Decode(content, &wanted); len(faults) > 0 {
		return wanted, nil, fault.Wrap(faults, fault.InvalidCatalogue, fault.NotRun, "correct the file", "%s", file)
	}
	current, err := o.fetchCatalogue()
	if err != nil {
		return wanted, nil, err
	}
	return wanted, change.Diff(&current, &wanted), nil
}

type catalogueHistoryCommand struct{ OperatorOptions }

// Execute lists the changes.
func (c *catalogueHistoryCommand) Execute([]string) error {
	history, err := c.fetchHistory()
	if err != nil {
		return c.reportError(err)
	}
	var rows [][]string
	for _, accepted := range history.Changes {
		rows = append(rows, []string{fmt.Sprint(accepted.Generation), accepted.ID, accepted.Author, accepted.Reason, summarizeEdits(accepted.Edits)})
	}
	return c.show(history, []string{"GENERATION", "CHANGE", "AUTHOR", "REASON", "EDITS"}, rows)
}

func (o OperatorOptions) fetchHistory() (operatorwire.History, error) {
	var history operatorwire.History
	client, err := o.client()
	if err != nil {
		return history, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	err = client.Get(ctx, operatorwire.PathHistory, nil, &history)
	return history, err
}

const maxShownEdits = 3

func summarizeEdits(edits []change.Edit) string {
	var parts []string
	for _, edit := range edits[:min(len(edits), maxShownEdits)] {
		parts = append(parts, fmt.Sprintf("%s %s %s", edit.Op, edit.Kind, edit.ID))
	}
	if more := len(edits) - maxShownEdits; more > 0 {
		parts = append(parts, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(parts, ", ")
}
