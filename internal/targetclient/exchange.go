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

// exchange is one request and its reply on one connection. The request is written once and never again.
type exchange struct {
	client   *HTTP
	target   model.Target
	pool     *pool
	control  bool
	attempt  model.AttemptID
	deadline time.Time

	connection *connection
	sentAt     time.Time
}

// run sends the request and waits for the reply. After an error the connection has been given back; after success the
// caller calls finish.
func (x *exchange) run(ctx context.Context, method, path string, body []byte) (received, error) {
	if ctx.Err() != nil || !time.Now().Before(x.deadline) {
		return received{}, fmt.Errorf("%w: %w", ErrNotSent, context.DeadlineExceeded)
	}
	request, err := http.NewRequest(method, "http://"+x.target.Address+path, bytes.NewReader(body))
	if err != nil {
		return received{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	request.Header.Set("Content-Type", "application/json")
	x.connection, err = x.pool.acquire(ctx, x.deadline, x.control, x.attempt)
	if err != nil {
		return received{}, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	x.sentAt = time.Now()
	sent, err := x.connection.send(request, x.deadline.Add(SilenceGrace))
	if err != nil {
		x.finish(false)
		if !sent {
			return received{}, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return received{}, fmt.Errorf("%w: %w", ErrLost, err)
	}
	return x.wait(ctx)
}

// wait returns the reply, or gives the connection up when it ends or stays silent.
func (x *exchange) wait(ctx context.Context) (received, error) {
	silent := time.NewTimer(time.Until(x.deadline.Add(SilenceGrace)))
	defer silent.Stop()
	done := ctx.Done()
	for {
		select {
		case got := <-x.connection.replies:
			return got, nil
		case <-x.connection.ended:
			return x.end()
		case <-silent.C:
			return received{}, x.giveUp()
		case <-done:
			done = nil
			if !errors.Is(ctx.Err(), context.Canceled) {
				continue // the deadline is watched by the timer
			}
			if x.control {
				x.finish(false)
				return received{}, fmt.Errorf("%w: %w", ErrLost, ctx.Err())
			}
			go x.cancel()
		}
	}
}

// end returns a reply that arrived just before the connection's end.
func (x *exchange) end() (received, error) {
	select {
	case got := <-x.connection.replies:
		return got, nil
	default:
		x.finish(false)
		return received{}, ErrLost
	}
}

// giveUp retires a connection on which no whole reply has come in time.
func (x *exchange) giveUp() error {
	if x.connection.receiving.Load() {
		x.finish(false)
		return fmt.Errorf("%w: reply not whole in time", ErrLost)
	}
	x.client.counters.Retired.Add(1)
	x.pool.suspect(x.sentAt)
	x.finish(false)
	return ErrSilent
}

// cancel asks the target to stop the attempt. Its own reply still ends the exchange.
func (x *exchange) cancel() {
	ctx, stop := context.WithTimeout(context.Background(), controlTimeout)
	defer stop()
	_ = x.client.Cancel(ctx, x.target, x.attempt) // without it the target stops at the deadline
}

func (x *exchange) finish(healthy bool) { x.pool.release(x.connection, x.control, healthy) }
