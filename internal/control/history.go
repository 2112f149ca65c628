package control

import (
	"context"

	"github.com/knapweedrouter/knapweedrouter/internal/change"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
)

// Changes returns the accepted changes that the store still keeps, oldest first. A change whose content was dropped for
// its size has its id only.
func (a Acceptor) Changes(ctx context.Context) ([]change.Accepted, error) {
	head, _, err := readHead(ctx, a.Store)
	if err != nil {
		return nil, fault.Wrap(err, fault.StoreUnavailable, fault.NotRun, "try again later", "the store does not answer")
	}
	return accepted(head.Records, 0), nil
}
