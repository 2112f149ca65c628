package forward

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/exchange"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

// quietClient refuses the attempts at one target for some time, and passes the others on.
type quietClient struct {
	*fakeClient
	target      model.TargetID
	from, until time.Time
}

func (c *quietClient) Do(ctx context.Context, a *exchange.Attempt) (*exchange.Reply, error) {
	now := time.Now()
	if a.Target != c.target || now.Before(c.from) || !now.Before(c.until) {
		return c.fakeClient.Do(ctx, a)
	}
	info := exchange.ReplyInfo{NotRun: true, RetryAfter: c.until.Sub(now)}
	return &exchange.Reply{Status: http.StatusServiceUnavailable, ReplyInfo: info}, targetclient.ErrShed
}

// TestQuietTargetIsUsedAgain guards against a target that gets nothing long after its quiet time, because its latency is
// taken from a time of higher load while that of its peers is up to date.
func TestQuietTargetIsUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		loaded := 3 * time.Second
		f := &fakeClient{respond: func(*exchange.Attempt) (time.Duration, error) {
			if time.Since(start) < loaded {
				return 25 * ms, nil
			}
			return 5 * ms, nil
		}}
		c := &quietClient{fakeClient: f, target: "single-0", from: start.Add(2 * time.Second), until: start.Add(4 * time.Second)}
		e, table := newEngine(t, c, 1, 0, singleRoute(true))
		for i := 0; time.Since(start) < 8*time.Second; i++ {
			pause := 10 * ms
			if time.Since(start) < loaded {
				pause = 2 * ms
			}
			go e.Do(t.Context(), newRequest(fmt.Sprint(i), &table.Routes[0]))
			time.Sleep(pause)
		}
		time.Sleep(time.Second)
		e.Wait()
		again := 0
		for _, a := range f.arrivals {
			if a.target == "single-0" && a.at.After(c.until) {
				again++
			}
		}
		require.Greater(t, again, 30, "of about 400 requests to three targets after the quiet time")
	})
}
