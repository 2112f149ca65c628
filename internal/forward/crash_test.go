package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/evidence"
	"github.com/knapweedrouter/knapweedrouter/internal/exchange"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/monotime"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

// crashingClient is a fake client whose targets may crash when they run a request for /deadly.
type crashingClient struct {
	fakeClient
	down map[string]bool
}

func (c *crashingClient) Probe(_ context.Context, a *exchange.Attempt) (*exchange.Reply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.down[a.Address] {
		return nil, syscall.ECONNREFUSED
	}
	return nil, nil
}

// TestCrashingRequestIsQuarantined guards against a request that crashes every target that runs it and that its caller
// retries at one host after another. It also checks that requests are not quarantined if only their connections were
// lost.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	for _, crash := range []bool{true, false} {
		t.Run(fmt.Sprint(crash), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &crashingClient{down: map[string]bool{}}
				c.respond = func(a *exchange.Attempt) (time.Duration, error) {
					c.mu.Lock()
					defer c.mu.Unlock()
					if c.down[a.Address] {
						return ms, targetclient.ErrNotSent
					}
					if a.Request.URI != "/deadly" {
						return ms, nil
					}
					c.down[a.Address] = crash
					return ms, targetclient.ErrLost
				}
				var engines []*Engine
				route := singleRoute(true)
				_, table := newEngine(t, c, 4, 0, route)
				targets := targetsOf("single")
				for i := range 9 {
					extra := targets[i%3]
					extra.Target += model.TargetID(fmt.Sprint("-", i))
					targets = append(targets, extra)
				}
				giveAddresses(targets)
				shared := evidence.NewLog(1) // package relay has the tests of its exchange between hosts
				for h := range 4 {
					e := New(Config{Client: c, Host: model.HostID(fmt.Sprint("host", h)), ExtraRatio: 0.2, ExtraSlack: 104,
						Evidence: shared})
					e.SetRoutingState(NewRoutingState(table, targets, nil, fleetOf(4)))
					engines = append(engines, e)
				}
				lateArrivals, refused := 0, 0
				for i := range 12 {
					before := len(c.arrivals)
					r := newRequest(fmt.Sprint(i), &table.Routes[0])
					r.Request.URI = "/deadly"
					outcome := engines[i%4].Do(t.Context(), r)
					require.NotNil(t, outcome.Err)
					time.Sleep(500 * ms)
					if i >= 4 {
						lateArrivals += len(c.arrivals) - before
					}
					if outcome.Err.Kind == fault.Quarantined {
						require.Equal(t, fault.NotRun, outcome.Err.Execution)
						require.Equal(t, before, len(c.arrivals))
						refused++
					}
				}
				if crash {
					require.Zero(t, lateArrivals)
					require.Positive(t, refused)
				} else {
					require.Zero(t, refused)
				}
				var waiting sync.WaitGroup
				for i := range 8 {
					waiting.Go(func() {
						require.Nil(t, engines[i%4].Do(t.Context(), newRequest(fmt.Sprint("good", i), &table.Routes[0])).Err)
					})
				}
				waiting.Wait()
			})
		})
	}
}

// outageClient is a fake client whose targets end and start again at random, under whatever they run.
type outageClient struct {
	mu     sync.Mutex
	rng    *rand.Rand
	downAt map[string]time.Time // the start of the latest outage of an address
	upAt   map[string]time.Time
	lossy  float64 // the share of answers that are lost
}

func (c *outageClient) isDown(address string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.upAt[address])
}

// end ends a target for the given time.
func (c *outageClient) end(address string, length time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.downAt[address], c.upAt[address] = time.Now(), time.Now().Add(length)
}

func (c *outageClient) Do(ctx context.Context, a *exchange.Attempt) (*exchange.Reply, error) {
	if c.isDown(a.Address) {
		return nil, fmt.Errorf("%w: %w", targetclient.ErrNotSent, syscall.ECONNREFUSED)
	}
	started := time.Now()
	c.mu.Lock()
	took, lost := time.Duration(5+c.rng.IntN(40))*ms, c.rng.Float64() < c.lossy
	c.mu.Unlock()
	for time.Since(started) < took {
		time.Sleep(ms)
		c.mu.Lock()
		ended := c.downAt[a.Address].After(started)
		c.mu.Unlock()
		switch {
		case ctx.Err() != nil:
			return nil, targetclient.ErrCancelled
		case ended:
			return nil, targetclient.ErrLost
		}
	}
	if lost {
		return nil, targetclient.ErrLost
	}
	return &exchange.Reply{Status: 200, ReplyInfo: exchange.ReplyInfo{Signature: string(a.Target)}}, nil
}

func (c *outageClient) Probe(_ context.Context, a *exchange.Attempt) (*exchange.Reply, error) {
	if c.isDown(a.Address) {
		return nil, syscall.ECONNREFUSED
	}
	return nil, nil
}

// TestCrashesForOtherReasonsRefuseNoRequest guards against refusing proper requests, popular ones among them, because targets
// crash for other reasons: one after the other, all targets of a service at once, and beside lost answers.
func TestCrashesForOtherReasonsRefuseNoRequest(t *testing.T) {
	for seed := range uint64(6) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			c := &outageClient{rng: rng, downAt: map[string]time.Time{}, upAt: map[string]time.Time{}, lossy: 0.05}
			_, table := newEngine(t, &fakeClient{}, 4, 10, singleRoute(true), gatherRoute(10))
			services := []model.ServiceID{"single"}
			for i := range 10 {
				services = append(services, shardName(i))
			}
			targets := targetsOf(services...)
			giveAddresses(targets)
			shared := evidence.NewLog(1)
			var engines []*Engine
			for h := range 4 {
				e := New(Config{Client: c, Host: model.HostID(fmt.Sprint("host", h)), ExtraRatio: 0.2, ExtraSlack: 104, Evidence: shared})
				e.SetRoutingState(NewRoutingState(table, targets, nil, fleetOf(4)))
				engines = append(engines, e)
			}
			var waiting sync.WaitGroup
			var mu sync.Mutex
			quarantined, answered := 0, 0
			for i := range 1500 {
				waiting.Go(func() {
					r := newRequest(fmt.Sprint(i), &table.Routes[i%2])
					r.Request.URI = fmt.Sprint("/", i%16)
					outcome := engines[i%4].Do(t.Context(), r)
					defer outcome.Release()
					mu.Lock()
					defer mu.Unlock()
					if outcome.Err == nil {
						answered++
					} else if outcome.Err.Kind == fault.Quarantined {
						quarantined++
					}
				})
				time.Sleep(25 * ms)
				c.mu.Lock()
				ends, at, length := rng.IntN(8) == 0, rng.IntN(len(targets)), time.Duration(200+rng.IntN(2000))*ms
				c.mu.Unlock()
				if ends {
					c.end(targets[at].Address, length)
				}
				if i%400 == 200 { // all targets of the single service, then of the whole deployment
					for at := range targets {
						if at < replicas || i > 1000 {
							c.end(targets[at].Address, 800*ms)
						}
					}
				}
			}
			waiting.Wait()
			for _, e := range engines {
				e.Wait()
			}
			t.Logf("seed %d: %d answered, %d quarantined, %+v", seed, answered, quarantined, shared.Summary(monotime.Now()))
			require.Zero(t, quarantined, "seed %d", seed)
			require.Greater(t, answered, 1000, "seed %d", seed)
		})
	}
}

// TestSuspectIsNotSentOnWhileItRuns guards against further attempts of a request that is in progress when its crashes become
// known.
func TestSuspectIsNotSentOnWhileItRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &crashingClient{down: map[string]bool{}}
		c.respond = func(a *exchange.Attempt) (time.Duration, error) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.down[a.Address] = true
			return 40 * ms, targetclient.ErrLost
		}
		route := singleRoute(true)
		route.MaxAttempts = 10
		e, table := newEngine(t, c, 1, 0, route)
		targets := targetsOf("single", "single", "single", "single")
		giveAddresses(targets)
		for i := range targets {
			targets[i].Target += model.TargetID(fmt.Sprint("-", i))
		}
		e.SetRoutingState(NewRoutingState(table, targets, nil, fleetOf(1)))
		started := time.Now()
		outcome := e.Do(t.Context(), newRequest("a", &table.Routes[0]))
		took := time.Since(started)
		e.Wait()
		require.Equal(t, fault.OutcomeUnknown, outcome.Err.Execution, "it has run")
		require.LessOrEqual(t, len(c.arrivals), 3)
		require.Less(t, took, 300*ms, "the answer does not wait for the deadline")
	})
}

// TestSilentAndReplacedTargetsCount guards against not seeing the end of a target that reset no connection, or whose address
// accepts connections again at once: the registry names the next instance.
func TestSilentAndReplacedTargetsCount(t *testing.T) {
	for _, err := range []error{targetclient.ErrLost, targetclient.ErrNoReply} {
		synctest.Test(t, func(t *testing.T) {
			c := &crashingClient{down: map[string]bool{}}
			c.respond = func(*exchange.Attempt) (time.Duration, error) { return ms, err }
			route := singleRoute(true)
			route.MaxAttempts = 1
			e, table := newEngine(t, c, 1, 0, route)
			targets := targetsOf("single")
			giveAddresses(targets)
			for incarnation := range 4 {
				for i := range targets {
					targets[i].Incarnation = model.Incarnation(incarnation + 1)
				}
				out := map[model.DataCentreID]bool{"dc0": true, "dc1": true, "dc2": true} // all but one, so that the targets differ
				delete(out, model.DataCentreID(fmt.Sprint("dc", incarnation%replicas)))
				e.SetRoutingState(NewRoutingState(table, targets, out, fleetOf(1)))
				outcome := e.Do(t.Context(), newRequest("a", &table.Routes[0]))
				require.Equal(t, incarnation == 3, outcome.Err.Kind == fault.Quarantined, "%v, run %d: %v", err, incarnation+1, outcome.Err)
				time.Sleep(time.Second)
			}
			e.Wait()
			require.Len(t, c.arrivals, 3)
		})
	}
}

// TestCrashOfAColdTargetIsKnownAtOnce guards against a request that goes on to the next target because nobody asks what became of one
// that was cold, wanted nothing or was out when it was lost: it gets no health check then, but a connection shows its end.
func TestCrashOfAColdTargetIsKnownAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &crashingClient{down: map[string]bool{}}
		c.respond = func(a *exchange.Attempt) (time.Duration, error) {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.down[a.Address] = true
			return ms, targetclient.ErrLost
		}
		route := singleRoute(true)
		route.MaxAttempts = 1
		e, table := newEngine(t, c, 1, 0, route)
		targets := targetsOf("single")
		giveAddresses(targets)
		for i := range targets {
			targets[i].ColdUntil = e.now() + time.Hour
		}
		e.SetRoutingState(NewRoutingState(table, targets, nil, fleetOf(1)))
		outcome := e.Do(t.Context(), newRequest("a", &table.Routes[0]))
		require.NotNil(t, outcome.Err)
		time.Sleep(2 * probeDelay)
		require.Equal(t, 1, e.cfg.Evidence.Summary(monotime.Now()).Suspects)
		e.Wait()
	})
}

// silentClient is a fake client whose targets lose what they run and answer no probe.
type silentClient struct {
	fakeClient
	probes []exchange.Attempt
	// probe returns the result of a probe; nil means that there is no answer.
	probe func(*exchange.Attempt) (*exchange.Reply, error)
}

func (c *silentClient) Do(ctx context.Context, a *exchange.Attempt) (*exchange.Reply, error) {
	_, err := c.fakeClient.Do(ctx, a)
	return nil, err
}

func (c *silentClient) Probe(_ context.Context, a *exchange.Attempt) (*exchange.Reply, error) {
	c.mu.Lock()
	c.probes = append(c.probes, exchange.Attempt{Target: a.Target, Misdirected: a.Misdirected})
	c.mu.Unlock()
	if c.probe != nil {
		return c.probe(a)
	}
	return nil, targetclient.ErrNoReply
}

// TestSilentTargetThatMayNotBeAskedIsProbed guards against not seeing the end of a target that was cold, wanted nothing or was out,
// accepts connections and answers nothing: it may get no health check, but an attempt that any instance turns away.
func TestSilentTargetThatMayNotBeAskedIsProbed(t *testing.T) {
	for state, probes := range map[string]int{"cold": probeTries, "quiet": 1, "out": probeTries} {
		for _, lost := range []error{targetclient.ErrLost, targetclient.ErrNoReply} {
			t.Run(fmt.Sprint(state, " ", lost), func(t *testing.T) {
				t.Parallel()
				c := &silentClient{}
				route := singleRoute(true)
				route.MaxAttempts = 1
				e, table := newEngine(t, c, 1, 0, route)
				targets := targetsOf("single")[:1]
				giveAddresses(targets)
				if state == "cold" {
					targets[0].ColdUntil = e.now() + time.Hour
				}
				e.SetRoutingState(NewRoutingState(table, targets, nil, fleetOf(1)))
				c.respond = func(*exchange.Attempt) (time.Duration, error) {
					switch state {
					case "quiet":
						e.mu.Lock()
						e.targets[targets[0].Target].quietUntil = e.now() + 3*time.Second
						e.mu.Unlock()
					case "out":
						out := map[model.DataCentreID]bool{targets[0].DataCentre: true}
						e.SetRoutingState(NewRoutingState(table, targets, out, fleetOf(1)))
					}
					return ms, lost
				}
				require.NotNil(t, e.Do(t.Context(), newRequest("a", &table.Routes[0])).Err)
				e.Wait()
				require.Equal(t, 1, e.cfg.Evidence.Summary(monotime.Now()).Suspects)
				require.Len(t, c.probes, probes)
				for _, p := range c.probes {
					require.True(t, p.Misdirected)
				}
			})
		}
	}
}

// TestPausedHostTakesNoTargetForSilent guards against taking targets for silent because this host was paused while it waited for the
// answers to its probes.
func TestPausedHostTakesNoTargetForSilent(t *testing.T) {
	t.Parallel()
	c := &silentClient{}
	c.respond = func(*exchange.Attempt) (time.Duration, error) { return ms, targetclient.ErrLost }
	c.probe = func(*exchange.Attempt) (*exchange.Reply, error) {
		time.Sleep(probeTimeout + 2*maxProbeDelay)
		return nil, targetclient.ErrNoReply
	}
	e, table := newEngine(t, c, 1, 0, singleRoute(true))
	require.NotNil(t, e.Do(t.Context(), newRequest("a", &table.Routes[0])).Err)
	e.Wait()
	require.Zero(t, e.cfg.Evidence.Summary(monotime.Now()).Suspects)
}

// TestEndedTargetsAreProbedInsteadOfUsed guards against requests that wait until their deadline at targets that are known, here or by
// another host, to answer nothing; and against never using such a target again once it answers.
func TestEndedTargetsAreProbedInsteadOfUsed(t *testing.T) {
	for _, how := range []string{"seen", "learned", "learned before the first use"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			c := &silentClient{}
			c.respond = respondAfter(ms)
			route := singleRoute(true)
			e, table := newEngine(t, c, 1, 0, route)
			targets := targetsOf("single")
			giveAddresses(targets)
			e.SetRoutingState(NewRoutingState(table, targets, nil, fleetOf(1)))
			ended := evidence.Instance{Target: targets[0].Target, Incarnation: targets[0].Incarnation}
			fact := evidence.Fact{Kind: evidence.Crashed, Fingerprint: 1, Instance: ended}
			if how == "learned before the first use" {
				e.cfg.Evidence.Observe(monotime.Now(), fact)
			}
			e.mu.Lock()
			for i := range targets {
				e.target(&targets[i])
			}
			e.mu.Unlock()
			switch how {
			case "seen":
				e.targets[ended.Target].witness.Ended(monotime.Now(), evidence.Silent)
			case "learned":
				e.ReportLearned("other", []evidence.Fact{fact})
			}
			for i := range 30 {
				require.Nil(t, e.Do(t.Context(), newRequest(fmt.Sprint(i), &table.Routes[0])).Err)
			}
			e.Wait()
			for _, a := range c.arrivals {
				require.NotEqual(t, targets[0].Target, a.target)
			}
			require.Len(t, c.probes, probeTries)
			c.probe = func(*exchange.Attempt) (*exchange.Reply, error) { return &exchange.Reply{Status: 421}, nil }
			time.Sleep(silentProbeInterval)
			require.Eventually(t, func() bool {
				require.Nil(t, e.Do(t.Context(), newRequest("b", &table.Routes[0])).Err)
				e.Wait()
				return c.arrivals[len(c.arrivals)-1].target == targets[0].Target
			}, time.Second, ms)
		})
	}
}

// TestRequestToAllShardsLeavesEachShardATarget guards against one run of a request to all shards that crashes every target of every
// shard, because its retries are sent before the first end is known; and against holding back the retries of a proper one.
func TestRequestToAllShardsLeavesEachShardATarget(t *testing.T) {
	const shards = 10
	for _, deadly := range []bool{true, false} {
		t.Run(fmt.Sprint("deadly ", deadly), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &crashingClient{down: map[string]bool{}}
				reset := map[string]bool{}
				c.respond = func(a *exchange.Attempt) (time.Duration, error) {
					c.mu.Lock()
					defer c.mu.Unlock()
					switch {
					case c.down[a.Address]:
						return ms, targetclient.ErrNotSent
					case deadly:
						c.down[a.Address] = true
						return 4 * ms, targetclient.ErrLost
					case len(reset) < shards && !reset[a.Address]: // all first connections are reset
						reset[a.Address] = true
						return 4 * ms, targetclient.ErrLost
					}
					return 4 * ms, nil
				}
				route := gatherRoute(shards)
				route.MaxAttempts = replicas
				e, table := newEngine(t, c, 1, shards, route)
				var services []model.ServiceID
				for i := range shards {
					services = append(services, shardName(i))
				}
				targets := targetsOf(services...)
				giveAddresses(targets)
				e.SetRoutingState(NewRoutingState(table, targets, nil, fleetOf(1)))
				started := time.Now()
				outcome := e.Do(t.Context(), newRequest("a", &table.Routes[0]))
				took := time.Since(started)
				e.Wait()
				if !deadly {
					require.Nil(t, outcome.Err)
					require.NotContains(t, outcome.Replies, (*exchange.Reply)(nil))
					require.Less(t, took, 50*ms)
					return
				}
				require.NotNil(t, outcome.Err)
				require.Less(t, took, 200*ms, "the answer does not wait for the deadline")
				crashed := map[model.ServiceID]int{}
				for _, x := range targets {
					if c.down[x.Address] {
						crashed[x.Service]++
					}
				}
				t.Logf("%d of %d targets crashed", len(c.down), len(targets))
				intact := 0
				for _, service := range services {
					if crashed[service] < replicas {
						intact++
					}
				}
				require.Equal(t, shards, intact)
			})
		})
	}
}
