package forward

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/exchange"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/monotime"
	"github.com/knapweedrouter/knapweedrouter/internal/routing"
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

// TestHostsDoNotComeBackTogether guards against a herd at a target that has told many hosts the same time.
func TestHostsDoNotComeBackTogether(t *testing.T) {
	// With several processors, the many timers of one synctest bubble crash the race detector's runtime (Go 1.26.8, arm64).
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(t *testing.T) {
		const hosts, span, quiet = 40, 20 * ms, 2 * time.Second
		start := time.Now()
		first := make([]time.Duration, hosts)
		for i := range hosts {
			f := &fakeClient{respond: func(a *exchange.Attempt) (time.Duration, error) {
				if a.Target == "single-0" && first[i] == 0 && time.Since(start) >= quiet {
					first[i] = time.Since(start)
				}
				return ms, nil
			}}
			c := &quietClient{fakeClient: f, target: "single-0", from: start, until: start.Add(quiet)}
			e, table := newEngine(t, c, hosts, 0, singleRoute(true))
			go func() {
				for n := 0; time.Since(start) < 2*quiet; n++ {
					e.Do(t.Context(), newRequest(fmt.Sprint(i, "-", n), &table.Routes[0]))
					time.Sleep(ms)
				}
			}()
		}
		time.Sleep(3 * quiet)
		for _, at := range first {
			require.NotZero(t, at)
			together := 0
			for _, other := range first {
				if at <= other && other < at+span {
					together++
				}
			}
			require.Less(t, together, hosts/2, "%d of %d hosts came back within %v: %v", together, hosts, span, first)
		}
	})
}

// healthClient has targets that answer health checks only, and say there that they leave.
type healthClient struct {
	*fakeClient
	probes atomic.Int32
}

func (c *healthClient) Probe(_ context.Context, a *exchange.Attempt) (*exchange.Reply, error) {
	if a.Request == nil || a.Request.URI != "/health" {
		return nil, nil
	}
	c.probes.Add(1)
	return &exchange.Reply{Status: http.StatusServiceUnavailable, ReplyInfo: exchange.ReplyInfo{Leaving: true}}, nil
}

// TestHealthAnswersAreHeeded guards against new requests to a target that says in a health answer that it leaves, against a request that
// counts as silencing targets which answer health checks, and against more than a few checks.
func TestHealthAnswersAreHeeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &healthClient{fakeClient: &fakeClient{respond: respondAfter(time.Hour)}}
		route := singleRoute(true)
		route.Timeout, route.MaxAttempts = 4*time.Second, 3
		e, _ := newEngine(t, c, 1, 0, route)
		table, err := routing.New(1, []routing.Route{route}, []routing.Service{{ID: "single", HealthPath: "/health"}}, routing.ClientLimits{})
		require.NoError(t, err)
		e.SetRoutingState(NewRoutingState(table, targetsOf("single"), nil, fleetOf(1)))
		for i := range 5 {
			outcome := e.Do(t.Context(), newRequest(fmt.Sprint(i), &table.Routes[0]))
			require.NotNil(t, outcome.Err)
			require.NotEqual(t, fault.Quarantined, outcome.Err.Kind)
			time.Sleep(time.Second)
		}
		e.Wait()
		require.Len(t, c.arrivals, replicas, "each target leaves after its first attempt")
		require.LessOrEqual(t, c.probes.Load(), int32(replicas))
		require.Zero(t, e.cfg.Evidence.Summary(monotime.Now()).Suspects)
	})
}
