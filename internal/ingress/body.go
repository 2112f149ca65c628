package ingress

import (
	"errors"
	"net/http"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/membudget"
)

// ReadBody reads the body of a request, of at most limit bytes, until the deadline. It is charged to the account of the request.
func ReadBody(r *http.Request, limit int64, deadline time.Time) ([]byte, *fault.Error) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	c := connOf(r)
	if _, ok := c.enter(phaseBody); !ok {
		return nil, errNoMemory()
	}
	defer c.enter(phaseRunning)
	if err := c.SetReadDeadline(deadline); err != nil {
		return nil, errNotWhole(err)
	}
	body, refusal := c.readBody(r, limit)
	if refusal != nil {
		return nil, refusal
	}
	c.bodyRead = true
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		return nil, errNotWhole(err)
	}
	return body, nil
}

func (c *conn) readBody(r *http.Request, limit int64) ([]byte, *fault.Error) {
	content := membudget.Content{Stated: r.ContentLength, Limit: limit, Free: freeBodyBytes}
	body, err := membudget.ReadAll(r.Body, content, func(bytes int64) bool { return c.guard.take(c, bytes) })
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, membudget.ErrTooLong):
		return nil, errBodySize(limit)
	case errors.Is(err, membudget.ErrNoMemory):
		c.guard.cfg.Closed(ReasonMemory)
		return nil, errNoMemory()
	case c.isEvicted():
		return nil, errNoMemory()
	}
	return nil, errNotWhole(err)
}

// CloseIfUnread makes the answer close the connection if the body of the request was not read: the rest of the body would otherwise
// be awaited before the answer is sent.
func CloseIfUnread(w http.ResponseWriter, r *http.Request) {
	if r.Body != nil && r.Body != http.NoBody && !connOf(r).bodyRead {
		w.Header().Set("Connection", "close")
	}
}

// errBodySize is the refusal of a body that is longer than the limit.
func errBodySize(limit int64) *fault.Error {
	return fault.New(fault.TooLarge, fault.NotRun, "send a shorter body", "the body has more than %d bytes", limit)
}

// errNotWhole is the refusal of a body that ended early or did not arrive in time.
func errNotWhole(err error) *fault.Error {
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return fault.Wrap(err, fault.RequestTimeout, fault.NotRun, "send the whole body in time", "the body did not arrive in time")
	}
	return fault.Wrap(err, fault.BadRequest, fault.NotRun, "send the whole body", "the body is not whole")
}
