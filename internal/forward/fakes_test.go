package forward

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/exchange"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/registry"
	"github.com/knapweedrouter/knapweedrouter/internal/relay"
	"github.com/knapweedrouter/knapweedrouter/internal/routing"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

const ms = time.Millisecond

// fakeClient is a fake exchange.Client. The respond function returns the duration and the error of an attempt.
type fakeClient struct {
	mu       sync.Mutex
	respond  func(a *exchange.Attempt) (time.Duration, error)
	arrivals []arrival
}

type arrival struct {
	at       time.Time
	id       string
	target   model.TargetID
	deadline time.Time
	ran      bool
}

func (f *fakeClient) Do(ctx context.Context, a *exchange.Attempt) (*exchange.Reply, error) {
	took, err := f.respond(a)
	f.mu.Lock()
	f.arrivals = append(f.arrivals, arrival{time.Now(), a.Request.ID, a.Target, a.Deadline, !targetclient.IsNotRun(err)})
	f.mu.Unlock()
	timer := time.NewTimer(min(took, time.Until(a.Deadline)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, targetclient.ErrCancelled
	}
	if !time.Now().Before(a.Deadline) {
		return nil, targetclient.ErrNoReply
	}
	reply := &exchange.Reply{Status: http.StatusOK, ReplyInfo: exchange.ReplyInfo{Signature: string(a.Target)}}
	if err != nil {
		return reply, err
	}
	return reply, nil
}

func (f *fakeClient) Probe(context.Context, *exchange.Attempt) (*exchange.Reply, error) {
	return nil, nil
}

// respondAfter returns a respond function that succeeds after the given duration.
func respondAfter(d time.Duration) func(*exchange.Attempt) (time.Duration, error) {
	return func(*exchange.Attempt) (time.Duration, error) { return d, nil }
}

// fleetOf returns a fleet whose hosts have equal shares.
func fleetOf(hosts int) relay.Fleet {
	f := relay.Fleet{Hosts: hosts, Part: 1 / float64(hosts)}
	for i := range hosts {
		f.Relays = append(f.Relays, model.HostID(fmt.Sprint("host", i)))
	}
	return f
}

const replicas = 3

func shardName(i int) model.ServiceID { return model.ServiceID(fmt.Sprintf("shard%02d", i)) }

// targetsOf returns one target in each of three data centres for every service.
func targetsOf(services ...model.ServiceID) []registry.Target {
	var all []registry.Target
	for _, service := range services {
		for r := range replicas {
			all = append(all, registry.Target{Registration: registry.Registration{
				Target: model.TargetID(fmt.Sprintf("%s-%d", service, r)), Service: service, Address: "10.0.0.1:80",
				DataCentre: model.DataCentreID(fmt.Sprint("dc", r)), Slots: 2,
			}})
		}
	}
	return all
}

// giveAddresses gives each target an address of its own.
func giveAddresses(targets []registry.Target) {
	for i := range targets {
		targets[i].Address = fmt.Sprintf("10.0.0.%d:80", i)
	}
}

func gatherRoute(shards int) routing.Route {
	r := routing.Route{
		Name: "gather", Host: "h", Prefix: "/g/", Repeatable: true, Timeout: time.Second, Objective: 100 * ms, MaxAttempts: 2,
		TopRecords: 5, MinCoverage: 0.75,
	}
	for i := range shards {
		r.Shards = append(r.Shards, shardName(i))
	}
	return r
}

func singleRoute(repeatable bool) routing.Route {
	return routing.Route{
		Name: "single", Host: "h", Prefix: "/s/", Repeatable: repeatable, Timeout: time.Second, Objective: 400 * ms, MaxAttempts: 2,
		Split: []routing.WeightedService{{Service: "single", Weight: 1}},
	}
}

func newEngine(t require.TestingT, client exchange.Client, hosts int, shards int, routes ...routing.Route) (*Engine, *routing.Table) {
	services := []routing.Service{{ID: "single"}}
	names := []model.ServiceID{"single"}
	for i := range shards {
		services = append(services, routing.Service{ID: shardName(i)})
		names = append(names, shardName(i))
	}
	table, err := routing.New(1, routes, services, routing.ClientLimits{})
	require.NoError(t, err)
	e := New(Config{Client: client, Host: "host", ExtraRatio: 0.2, ExtraSlack: 104})
	e.SetRoutingState(NewRoutingState(table, targetsOf(names...), nil, fleetOf(hosts)))
	return e, table
}

func newRequest(id string, route *routing.Route) Request {
	now := time.Now()
	return Request{Request: &exchange.Request{ID: id, Method: "GET", URI: "/"}, Route: route, Arrived: now, Deadline: now.Add(route.Timeout)}
}
