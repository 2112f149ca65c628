package query

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
	"github.com/sourcegraph/conc/pool"

	"github.com/knapweedrouter/knapweedrouter/internal/membership"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/operatorapi/operatorwire"
	"github.com/knapweedrouter/knapweedrouter/internal/peer"
)

// KindStatus is the kind of the frame that requests the configuration status of a host.
const KindStatus peer.Kind = "configuration_status"

const (
	maxStatusCalls = 64 // concurrent calls per request
	statusTimeout  = 500 * time.Millisecond
)

// StatusRequest is the body of a KindStatus frame.
type StatusRequest struct{}

// HandleStatus registers a handler that answers KindStatus frames with the status of this host.
func HandleStatus(transport peer.Transport, own func() operatorwire.HostStatus) {
	transport.Handle(KindStatus, func(context.Context, peer.Sender, func(any) error) (any, error) {
		return own(), nil
	})
}

func (h *Handler) status(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	operatorwire.Write(w, http.StatusOK, Summarize(h.collectStatuses(r.Context())))
}

// collectStatuses returns the status of every member, in no particular order.
func (h *Handler) collectStatuses(ctx context.Context) []operatorwire.HostStatus {
	statuses := []operatorwire.HostStatus{h.cfg.Own()}
	var mu sync.Mutex
	calls := pool.New().WithMaxGoroutines(maxStatusCalls)
	for _, member := range h.cfg.View.Members() {
		if member.ID == h.cfg.Host {
			continue
		}
		calls.Go(func() {
			status := h.fetchStatus(ctx, member)
			mu.Lock()
			defer mu.Unlock()
			statuses = append(statuses, status)
		})
	}
	calls.Wait()
	return statuses
}

func (h *Handler) fetchStatus(ctx context.Context, member membership.Member) operatorwire.HostStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	sent := time.Now()
	var status operatorwire.HostStatus
	if err := h.cfg.Peers.Call(ctx, member.Address, KindStatus, StatusRequest{}, &status); err != nil {
		return operatorwire.HostStatus{Host: member.ID, DataCentre: member.DataCentre, Failure: err.Error()}
	}
	// The age of the reply is estimated as half of the round-trip time.
	status.InForceMS += time.Since(sent).Milliseconds() / 2
	return status
}

// Summarize reports how far the newest generation among the statuses has been rolled out.
func Summarize(statuses []operatorwire.HostStatus) operatorwire.ConfigurationStatus {
	result := operatorwire.ConfigurationStatus{Hosts: len(statuses), Lagging: []operatorwire.HostStatus{}, Fenced: []model.HostID{}}
	for _, status := range statuses {
		result.Generation = max(result.Generation, status.Generation)
		if status.Fenced {
			result.Fenced = append(result.Fenced, status.Host)
		}
	}
	slices.Sort(result.Fenced)
	var ages []int64
	for _, status := range statuses {
		if status.Failure != "" || !hasGeneration(status, result.Generation) {
			result.Lagging = append(result.Lagging, status)
			continue
		}
		ages = append(ages, status.InForceMS)
	}
	result.InForce = len(ages)
	if len(ages) > 0 {
		result.SpreadMS = slices.Max(ages) - slices.Min(ages)
	}
	slices.SortFunc(result.Lagging, func(a, b operatorwire.HostStatus) int {
		return strings.Compare(string(a.Host), string(b.Host))
	})
	return result
}

func hasGeneration(status operatorwire.HostStatus, generation model.Generation) bool {
	return generation > 0 && status.Generation == generation
}
