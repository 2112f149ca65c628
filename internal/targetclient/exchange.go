package targetclient

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// exchange is one request and its reply on one connection. The request is never retransmitted.
type exchange struct {
	client   *HTTP
	target   model.Target
	pool     *pool
	control  bool
	attempt  model.AttemptID
	deadline time.Time
	// unwanted ends the wait for a connection when it is closed; nil means that nothing does.
	unwanted <-chan struct{}

	connection *connection
	sentAt     time.Time
}

// run sends the request and waits for the reply. After an error the connection has already been released; after success the
// caller must call release.
func (x *exchange) run(ctx context.Context, method, path string, body []byte) (httpReply, error) {
	if ctx.Err() != nil || !time.Now().Before(x.deadline) {
		return httpReply{}, fmt.Errorf("%w: %w", ErrNotSent, context.DeadlineExceeded)
	}
	request, err := http.NewRequest(method, "http://"+x.target.Address+path, bytes.NewReader(body))
	if err != nil {
		return httpReply{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	request.Header.Set("Content-Type", "application/json")
	x.connection, err = x.pool.acquire(ctx, x)
	if err != nil {
		return httpReply{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	x.sentAt = time.Now()
	sent, err := x.connection.send(request, x.deadline.Add(ReplyGrace))
	if err != nil {
		x.release(false)
		if !sent {
			return httpReply{}, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return httpReply{}, fmt.Errorf("%w: %w", ErrLost, err)
	}
	return x.wait(ctx)
}

// wait returns the reply, or discards the connection if it closes or no complete reply arrives in time.
func (x *exchange) wait(ctx context.Context) (httpReply, error) {
	timeout := time.NewTimer(time.Until(x.deadline.Add(ReplyGrace)))
	defer timeout.Stop()
	done := ctx.Done()
	for {
		select {
		case got := <-x.connection.replies:
			return got, nil
		case <-x.connection.closed:
			return x.lastReply()
		case <-timeout.C:
			return httpReply{}, x.timeOut()
		case <-done:
			done = nil
			if !errors.Is(ctx.Err(), context.Canceled) {
				continue // the timer handles the deadline
			}
			if x.control {
				x.release(false)
				return httpReply{}, fmt.Errorf("%w: %w", ErrLost, ctx.Err())
			}
			go x.cancel()
		}
	}
}

// lastReply returns a reply that arrived just before the connection closed, or ErrLost.
func (x *exchange) lastReply() (httpReply, error) {
	select {
	case got := <-x.connection.replies:
		return got, nil
	default:
		x.release(false)
		return httpReply{}, ErrLost
	}
}

// timeOut discards a connection on which no complete reply has arrived in time.
func (x *exchange) timeOut() error {
	if x.connection.receiving.Load() {
		x.release(false)
		return fmt.Errorf("%w: reply incomplete at the deadline", ErrLost)
	}
	x.client.counters.Retired.Add(1)
	x.pool.markUnresponsive(x.sentAt)
	x.release(false)
	return ErrNoReply
}

// cancel asks the target to stop the attempt. The exchange still ends with the reply to the attempt itself.
func (x *exchange) cancel() {
	ctx, stop := context.WithTimeout(context.Background(), controlTimeout)
	defer stop()
	_ = x.client.Cancel(ctx, x.target, x.attempt) // if this fails, the target stops at the deadline
}

func (x *exchange) release(healthy bool) { x.pool.release(x.connection, x.control, healthy) }
