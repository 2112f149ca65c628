package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/callerapi"
	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/server"
	"github.com/knapweedrouter/knapweedrouter/internal/settings"
)

const (
	startTimeout      = 10 * time.Second
	readyPollInterval = 100 * time.Millisecond
	// settleTime lets the hosts agree on the fleet table after a start, which the scenarios do not measure.
	settleTime = 5 * time.Second
	clientNode = "client"
)

// router runs the router's server on several hosts.
type router struct {
	env     *environment
	servers []*server.Server
	client  *http.Client
	end     context.CancelFunc
	wait    sync.WaitGroup
}

func (r *router) start(ctx context.Context, env *environment) error {
	r.env = env
	dial := func(ctx context.Context, _, address string) (net.Conn, error) {
		return env.network.At(clientNode).Dial(ctx, address)
	}
	r.client = &http.Client{Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 1000}}
	ctx, r.end = context.WithCancel(ctx)
	for _, h := range env.hosts {
		ports := server.Ports{
			Store:    env.store,
			HostList: env.hostList,
			Targets:  newSimulatedClient(env, h.dataCentre),
			Network:  env.network.At(string(h.id)),
		}
		s := server.New(zap.NewNop(), settings.Settings{
			HostID: h.id, DataCentre: h.dataCentre, Region: h.region,
			CallerListen: h.caller, OperatorListen: h.operator, PeerListen: h.peer,
		}, ports)
		r.servers = append(r.servers, s)
		r.wait.Go(func() { _ = s.Run(ctx) }) // awaitReady detects a host that fails to start
	}
	return r.awaitReady(ctx)
}

func (r *router) awaitReady(ctx context.Context) error {
	for i := range r.servers {
		limit := time.Now().Add(startTimeout)
		for !r.ready(i) {
			if time.Now().After(limit) {
				return fmt.Errorf("host %s is not ready after %s", r.env.hosts[i].id, startTimeout)
			}
			_ = ctxtime.Sleep(ctx, readyPollInterval)
		}
	}
	return ctxtime.Sleep(ctx, settleTime)
}

func (r *router) ready(host int) bool {
	response, err := r.client.Get("http://" + r.env.hosts[host].caller + "/readyz")
	if err != nil {
		return false
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // reading the whole body keeps the connection reusable
	return response.StatusCode == http.StatusOK
}

func (r *router) generation(host int) model.Generation {
	if c := r.servers[host].Catalogue(); c != nil {
		return c.Generation
	}
	return 0
}

func (r *router) stop() {
	r.end()
	r.wait.Wait()
	r.client.CloseIdleConnections()
}

func (r *router) search(ctx context.Context, host int, caller model.CallerID, request callerapi.SearchRequest) answer {
	var reply callerapi.SearchReply
	if err := r.post(ctx, host, caller, "/v1/search", request, &reply); err != nil {
		return answer{err: err}
	}
	return answer{reply: &reply}
}

func (r *router) execute(ctx context.Context, host int, caller model.CallerID, e execution) answer {
	var ticket struct {
		Ticket string `json:"ticket"`
	}
	err := r.post(ctx, host, caller, "/v1/tickets", map[string]any{"service": e.service}, &ticket)
	if err != nil {
		// Without a ticket the operation was never submitted.
		return answer{err: fault.New(err.Kind, fault.NotRun, err.Remedy, "%s", err.Message)}
	}
	body := map[string]any{
		"ticket": ticket.Ticket, "operation": "record", "payload": e.payload, "deadline_ms": e.deadline.Milliseconds(),
	}
	var outcome json.RawMessage
	if err := r.post(ctx, host, caller, "/v1/execute", body, &outcome); err != nil {
		return answer{err: err}
	}
	return answer{done: true}
}

// post sends a request as a caller. If the connection breaks, the outcome is unknown.
func (r *router) post(ctx context.Context, host int, caller model.CallerID, path string, body, reply any) *fault.Error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return fault.Wrap(err, fault.BadRequest, fault.NotRun, "correct the request", "encode")
	}
	url := "http://" + r.env.hosts[host].caller + path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(encoded))
	if err != nil {
		return fault.Wrap(err, fault.BadRequest, fault.NotRun, "correct the request", "request")
	}
	request.Header.Set("Authorization", "Bearer "+string(caller))
	response, err := r.client.Do(request)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, fault.OutcomeUnknown, "ask another host", "connection cut")
	}
	defer response.Body.Close()
	received, err := io.ReadAll(response.Body)
	if err != nil {
		return fault.Wrap(err, fault.Unavailable, fault.OutcomeUnknown, "ask another host", "connection cut")
	}
	if response.StatusCode == http.StatusOK {
		_ = json.Unmarshal(received, reply) // the verifier detects a truncated answer
		return nil
	}
	var refusal callerapi.ErrorReply
	if json.Unmarshal(received, &refusal) != nil || refusal.Error == nil {
		return fault.New(fault.Internal, fault.OutcomeUnknown, "", "%s: %s", response.Status, received)
	}
	return refusal.Error
}
