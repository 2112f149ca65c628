// Package change describes operators' changes to the catalogue: edits of single entries, and the difference between two
// catalogues as edits. It is pure.
package change

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Op is what an edit does to an entry.
type Op string

// The operations.
const (
	// Put adds the entry or replaces the one of the same kind and id.
	Put Op = "put"
	// Delete removes the entry.
	Delete Op = "delete"
)

// Edit changes one entry of the catalogue.
type Edit struct {
	Op   Op     `json:"op"`
	Kind Kind   `json:"kind"`
	ID   string `json:"id"`
	// Value is the entry as JSON for Put, and absent for Delete.
	Value json.RawMessage `json:"value,omitempty"`
}

// String returns the edit on one line.
func (e Edit) String() string {
	if e.Op == Delete {
		return fmt.Sprintf("delete %s %s", e.Kind, e.ID)
	}
	return fmt.Sprintf("put %s %s %s", e.Kind, e.ID, e.Value)
}

// Change is one operator's change. It is accepted as a whole or not at all.
type Change struct {
	// ID is unique and made by the operator's client. A change that is sent again with the same id is accepted once.
	ID string `json:"id"`
	// BasedOn is the generation that the operator saw.
	BasedOn model.Generation `json:"based_on"`
	Author  string           `json:"author"`
	Reason  string           `json:"reason"`
	Edits   []Edit           `json:"edits"`
}

// Accepted is a change that is part of the configuration.
type Accepted struct {
	Change
	Generation model.Generation `json:"generation"`
}

// Conflict is the error for a change that was based on an older generation than the current one. It was not accepted.
type Conflict struct {
	Current model.Generation `json:"current"`
	Yours   Change           `json:"yours"`
	// Theirs are the changes accepted since the generation that Yours is based on, as far as they are kept.
	Theirs []Accepted `json:"theirs"`
}

// Error names both generations.
func (c *Conflict) Error() string {
	return fmt.Sprintf("the change is based on generation %d, but generation %d is accepted", c.Yours.BasedOn, c.Current)
}

// Acceptor accepts changes. Implementations are safe for concurrent use.
type Acceptor interface {
	// Accept makes the change part of the configuration and returns its generation. Errors are a *Conflict or a
	// *fault.Error.
	Accept(ctx context.Context, c Change) (model.Generation, error)
}
