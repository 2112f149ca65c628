package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/exchange"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/routing"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

// TestPartialAnswerMeetsLatencyObjective guards against an answer that misses the objective because it waits for one
// shard that does not reply. A late answer has a tenth of its value, an answer without one of ten shards four fifths.
func TestPartialAnswerMeetsLatencyObjective(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeClient{respond: func(a *exchange.Attempt) (time.Duration, error) {
			if a.Target[:7] == "shard03" {
				return time.Hour, nil
			}
			return 10 * ms, nil
		}}
		e, table := newEngine(t, f, 1, 10, gatherRoute(10))
		started := time.Now()
		outcome := e.Do(t.Context(), newRequest("a", &table.Routes[0]))
		require.Nil(t, outcome.Err)
		require.Equal(t, 9, countReplies(outcome.Replies))
		require.Nil(t, outcome.Replies[3])
		require.Equal(t, 81*ms, time.Since(started))
		e.Wait()
	})
}

// TestAnswerBelowMinimumCoverageFails guards against a successful answer with less than the minimum coverage of the
// route.
func TestAnswerBelowMinimumCoverageFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeClient{respond: func(a *exchange.Attempt) (time.Duration, error) {
			if a.Target < "shard03" {
				return time.Hour, nil
			}
			return 10 * ms, nil
		}}
		e, table := newEngine(t, f, 1, 10, gatherRoute(10))
		started := time.Now()
		outcome := e.Do(t.Context(), newRequest("a", &table.Routes[0]))
		require.Equal(t, fault.CoverageBelowMinimum, outcome.Err.Kind)
		require.Equal(t, http.StatusGatewayTimeout, outcome.Err.HTTPStatus())
		require.Equal(t, time.Second, time.Since(started), "the request must end at the route's timeout")
		e.Wait()
	})
}

// TestSupersededAttemptsEndSoonAfterAnswer guards against targets that keep working on a request that has been answered
// or whose caller has disconnected.
func TestSupersededAttemptsEndSoonAfterAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeClient{respond: respondAfter(time.Hour)}
		e, table := newEngine(t, f, 1, 10, gatherRoute(10))
		ctx, cancel := context.WithTimeout(t.Context(), 20*ms)
		defer cancel()
		started := time.Now()
		outcome := e.Do(ctx, newRequest("a", &table.Routes[0]))
		require.Equal(t, 20*ms, time.Since(started))
		require.NotNil(t, outcome.Err)
		e.Wait()
		require.LessOrEqual(t, time.Since(started), 20*ms+lingerTimeout)
	})
}

// TestNonRepeatableRequestRunsOnce checks that a request that must not be repeated runs at most once, however targets
// fail, and that an error never claims "not run" for a request that ran.
func TestNonRepeatableRequestRunsOnce(t *testing.T) {
	failures := []error{
		nil, targetclient.ErrNotSent, targetclient.ErrShed, targetclient.ErrDraining, targetclient.ErrLost, targetclient.ErrNoReply,
		targetclient.ErrMismatch, exchange.ErrFailure,
	}
	synctest.Test(t, func(t *testing.T) {
		for seed := range uint64(100) { // rapid does not work in a synctest bubble
			rng := rand.New(rand.NewPCG(seed, 1))
			f := &fakeClient{}
			f.respond = func(*exchange.Attempt) (time.Duration, error) {
				f.mu.Lock()
				defer f.mu.Unlock()
				return time.Duration(rng.IntN(1500)) * ms, failures[rng.IntN(len(failures))]
			}
			e, table := newEngine(t, f, 1, 0, singleRoute(false))
			outcomes := map[string]Outcome{}
			for i := range 20 {
				id := fmt.Sprint(i)
				outcomes[id] = e.Do(t.Context(), newRequest(id, &table.Routes[0]))
			}
			e.Wait()
			requireAtMostOneRun(t, f.arrivals, outcomes)
		}
	})
}

// requireAtMostOneRun checks that no request ran twice and that no request that ran has a "not run" error.
func requireAtMostOneRun(t require.TestingT, arrivals []arrival, outcomes map[string]Outcome) {
	runs := map[string]int{}
	for _, a := range arrivals {
		if a.ran {
			runs[a.id]++
		}
	}
	for id, outcome := range outcomes {
		require.LessOrEqual(t, runs[id], 1, "request %s ran more than once", id)
		if outcome.Err != nil && outcome.Err.Execution == fault.NotRun {
			require.Zero(t, runs[id], "request %s ran, but its error says that it did not", id)
			require.Positive(t, outcome.Err.RetryAfter())
		}
		if runs[id] > 0 && outcome.Err != nil {
			require.NotContains(t, []int{408, 421, 429, 503}, outcome.Err.HTTPStatus())
		}
	}
}

// TestHedgesAndRetriesStayWithinBudget guards against hedges and retries that exceed this host's share of the
// fleet-wide budget of a service, while two thirds of the attempts fail. It covers a single host and a fleet of 12.
func TestHedgesAndRetriesStayWithinBudget(t *testing.T) {
	for _, hosts := range []int{1, 12} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeClient{respond: func(*exchange.Attempt) (time.Duration, error) {
					switch rand.IntN(3) {
					case 0:
						return 2 * ms, targetclient.ErrShed
					case 1:
						return 2 * ms, targetclient.ErrLost
					}
					return 300 * ms, nil
				}}
				e, table := newEngine(t, f, hosts, 4, gatherRoute(4))
				const requests = 400
				var waiting sync.WaitGroup
				for i := range requests {
					waiting.Go(func() { e.Do(t.Context(), newRequest(fmt.Sprint(i), &table.Routes[0])) })
					time.Sleep(25 * ms)
				}
				waiting.Wait()
				e.Wait()
				perShard := map[string]int{}
				for _, a := range f.arrivals {
					perShard[string(a.target[:7])]++
				}
				for shard, arrivals := range perShard {
					require.LessOrEqual(t, arrivals-requests, int(0.2*requests+104/float64(hosts)), shard)
				}
			})
		})
	}
}

// TestMaxAttemptsBoundsTargetsPerShard checks that MaxAttempts of a route bounds the attempts at each shard.
func TestMaxAttemptsBoundsTargetsPerShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeClient{respond: func(*exchange.Attempt) (time.Duration, error) { return 5 * ms, targetclient.ErrLost }}
		e, table := newEngine(t, f, 1, 4, gatherRoute(4))
		e.Do(t.Context(), newRequest("a", &table.Routes[0]))
		e.Wait()
		runs := map[string]int{}
		for _, a := range f.arrivals {
			runs[string(a.target[:7])]++
		}
		for shard, count := range runs {
			require.LessOrEqual(t, count, 2, shard)
		}
	})
}

// TestNoAttemptsAtLeavingTargets guards against a retry or hedge to a target that has started to drain, or whose data
// centre was taken out, after the request started.
func TestNoAttemptsAtLeavingTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeClient{respond: func(*exchange.Attempt) (time.Duration, error) { return 50 * ms, targetclient.ErrLost }}
		e, table := newEngine(t, f, 1, 4, gatherRoute(4))
		go func() {
			time.Sleep(10 * ms)
			targets := targetsOf("single", shardName(0), shardName(1), shardName(2), shardName(3))
			for i := range targets {
				targets[i].Draining = targets[i].DataCentre == "dc0"
			}
			e.SetRoutingState(NewRoutingState(table, targets, map[model.DataCentreID]bool{"dc1": true}, fleetOf(1)))
		}()
		started := time.Now()
		e.Do(t.Context(), newRequest("a", &table.Routes[0]))
		e.Wait()
		for _, a := range f.arrivals {
			if a.at.Sub(started) > 10*ms {
				require.Equal(t, byte('2'), a.target[len(a.target)-1], "%s received an attempt after it left", a.target)
			}
		}
	})
}

// TestColdTargetRateIsSharedByAllHosts guards against hosts that each keep within the rate of a cold target but exceed
// it together, and against a rate that is divided among so many hosts that none of them sends anything.
func TestColdTargetRateIsSharedByAllHosts(t *testing.T) {
	for _, rate := range []float64{0.5, 3, 40} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			const hosts = 12
			table, err := routing.New(1, []routing.Route{singleRoute(true)}, []routing.Service{{ID: "single", ColdRate: rate}}, routing.ClientLimits{})
			require.NoError(t, err)
			targets := targetsOf("single")
			for i := range targets {
				targets[i].ColdUntil = time.Minute
			}
			rs := NewRoutingState(table, targets, nil, fleetOf(hosts))
			var engines []*Engine
			for h := range hosts {
				engines = append(engines, New(Config{Client: &fakeClient{}, Host: model.HostID(fmt.Sprint("host", h))}))
			}
			var arrivals []arrival
			for now := time.Duration(0); now < 5*time.Second; now += 5 * ms {
				for _, e := range engines {
					for i := range targets {
						if e.takeColdToken(now, rs, &targets[i], e.target(&targets[i])) {
							arrivals = append(arrivals, arrival{at: time.Unix(0, int64(now)), target: targets[i].Target})
						}
					}
				}
			}
			require.NotEmpty(t, arrivals)
			requireRate(t, arrivals, int(rate*1.5+5))
		})
	}
}

// requireRate checks that no target received more than limit requests in any window of one second.
func requireRate(t *testing.T, arrivals []arrival, limit int) {
	for i, first := range arrivals {
		count := 0
		for _, a := range arrivals[i:] {
			if a.at.Sub(first.at) >= time.Second {
				break
			}
			if a.target == first.target {
				count++
			}
		}
		require.LessOrEqual(t, count, limit, "requests to cold %s in one second", first.target)
	}
}

// TestRequestWithoutTargetIsRefusedAtOnce guards against a request that waits for its deadline although no target
// exists.
func TestRequestWithoutTargetIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeClient{respond: respondAfter(ms)}
		e, table := newEngine(t, f, 1, 0, singleRoute(false))
		e.SetRoutingState(NewRoutingState(table, nil, nil, fleetOf(1)))
		started := time.Now()
		outcome := e.Do(t.Context(), newRequest("a", &table.Routes[0]))
		require.Zero(t, time.Since(started))
		require.Equal(t, fault.NotRun, outcome.Err.Execution)
		require.Positive(t, outcome.Err.RetryAfter())
		require.Equal(t, http.StatusServiceUnavailable, outcome.Err.HTTPStatus())
	})
}

// TestPausedTargetIsAvoided guards against requests that queue at a paused target while the other targets respond.
func TestPausedTargetIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		paused := func() bool { return time.Since(start) > time.Second }
		f := &fakeClient{respond: func(a *exchange.Attempt) (time.Duration, error) {
			if a.Target == "single-1" && paused() {
				return 700 * ms, nil
			}
			return 20 * ms, nil
		}}
		e, table := newEngine(t, f, 1, 0, singleRoute(true))
		var waiting sync.WaitGroup
		for i := range 200 {
			waiting.Go(func() { e.Do(t.Context(), newRequest(fmt.Sprint(i), &table.Routes[0])) })
			time.Sleep(10 * ms)
		}
		waiting.Wait()
		e.Wait()
		during := 0
		for _, a := range f.arrivals {
			if a.target == "single-1" && a.at.Sub(start) > time.Second {
				during++
			}
		}
		require.Less(t, during, 12, "attempts at the paused target")
	})
}

// TestTargetsOfTheOwnDataCentreComeFirst guards against unnecessary traffic between data centres, and against a queue
// at the local target while the remote targets are idle.
func TestTargetsOfTheOwnDataCentreComeFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &fakeClient{respond: respondAfter(10 * ms)}
		e, table := newEngine(t, client, 1, 1, singleRoute(true))
		e.cfg.DataCentre = "dc1"
		counts := func(parallel int) map[model.TargetID]int {
			client.arrivals = nil
			for i := range 40 {
				var wait sync.WaitGroup
				for j := range parallel {
					wait.Go(func() { e.Do(t.Context(), newRequest(fmt.Sprint(i, "/", j), table.Match("h", "/s/"))) })
				}
				wait.Wait()
			}
			counts := map[model.TargetID]int{}
			for _, a := range client.arrivals {
				counts[a.target]++
			}
			return counts
		}
		counts(1) // fills the latency statistics
		require.GreaterOrEqual(t, counts(1)["single-1"], 38, "one request at a time")
		require.LessOrEqual(t, counts(6)["single-1"], 40*3, "six requests at a time at three targets with two slots each")
		e.Wait()
	})
}

// TestRequestsWaitForFreeConnections guards against a burst of requests that uses up its attempts and its budget on
// targets whose connections are all in use, and then waits for budget until it is late.
func TestRequestsWaitForFreeConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		running := map[model.TargetID]int{}
		full := 0
		client := &fakeClient{}
		client.respond = func(a *exchange.Attempt) (time.Duration, error) {
			mu.Lock()
			defer mu.Unlock()
			if running[a.Target] >= a.MaxConnections {
				full++
				return 0, targetclient.ErrNotSent
			}
			running[a.Target]++
			time.AfterFunc(5*ms, func() {
				mu.Lock()
				defer mu.Unlock()
				running[a.Target]--
			})
			return 5 * ms, nil
		}
		route := gatherRoute(4)
		services := []routing.Service{}
		names := []model.ServiceID{}
		for i := range 4 {
			services = append(services, routing.Service{ID: shardName(i), MaxConnections: 2})
			names = append(names, shardName(i))
		}
		table, err := routing.New(1, []routing.Route{route}, services, routing.ClientLimits{})
		require.NoError(t, err)
		e := New(Config{Client: client, Host: "host"})
		e.SetRoutingState(NewRoutingState(table, targetsOf(names...), nil, fleetOf(1)))
		var waiting sync.WaitGroup
		for i := range 6 {
			waiting.Go(func() {
				outcome := e.Do(t.Context(), newRequest(fmt.Sprint(i), &table.Routes[0]))
				if outcome.Err == nil {
					require.Equal(t, 4, countReplies(outcome.Replies))
				}
				require.Nil(t, outcome.Err)
			})
		}
		waiting.Wait()
		e.Wait()
		require.Zero(t, full, "attempts at targets whose connections were in use")
	})
}

// TestUnsentAttemptsCostNoBudget guards against requests that fail for lack of budget although none of their
// attempts reached a target.
func TestUnsentAttemptsCostNoBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refusals := map[string]int{}
		var mu sync.Mutex
		client := &fakeClient{respond: func(a *exchange.Attempt) (time.Duration, error) {
			mu.Lock()
			defer mu.Unlock()
			if refusals[a.Request.ID]++; refusals[a.Request.ID] <= replicas+1 {
				return ms, targetclient.ErrNotSent
			}
			return 10 * ms, nil
		}}
		e, table := newEngine(t, client, 1, 0, singleRoute(true))
		e.SetBudget(0, 0)
		for i := range 20 {
			require.Nil(t, e.Do(t.Context(), newRequest(fmt.Sprint(i), &table.Routes[0])).Err)
		}
		e.Wait()
	})
}

// TestAttemptsAfterRefusalCostBudget guards against an unbounded number of attempts at targets that refuse a request
// when they alternate with attempts at targets that cannot be reached.
func TestAttemptsAfterRefusalCostBudget(t *testing.T) {
	for _, refusal := range []error{targetclient.ErrShed, targetclient.ErrDraining} {
		synctest.Test(t, func(t *testing.T) {
			client := &fakeClient{respond: func(a *exchange.Attempt) (time.Duration, error) {
				switch a.Target {
				case "single-0":
					return ms, targetclient.ErrShed
				case "single-1":
					return ms, refusal
				}
				return ms, targetclient.ErrNotSent
			}}
			e, table := newEngine(t, client, 1, 0, singleRoute(true))
			e.SetBudget(0, 0)
			for i := range 20 {
				require.NotNil(t, e.Do(t.Context(), newRequest(fmt.Sprint(i), table.Match("h", "/s/"))).Err)
			}
			e.Wait()
			arrived := map[string]int{}
			for _, a := range client.arrivals {
				if a.target != "single-2" {
					arrived[a.id]++
				}
			}
			for id, count := range arrived {
				require.Equal(t, 1, count, id)
			}
		})
	}
}
