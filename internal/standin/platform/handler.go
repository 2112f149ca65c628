package platform

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/julienschmidt/httprouter"

	"github.com/knapweedrouter/knapweedrouter/internal/hostlist"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

// Handler serves a store and a host list over HTTP, with control endpoints for tests under /standin/.
type Handler struct {
	store *Store
	hosts *HostList
}

// NewHandler returns an http.Handler for the store and the host list.
func NewHandler(kv *Store, hosts *HostList) http.Handler {
	h := &Handler{store: kv, hosts: hosts}
	router := httprouter.New()
	router.POST("/v3/kv/range", h.get)
	router.POST("/v3/kv/txn", h.compareAndSwap)
	router.POST("/v3/watch", h.watch)
	router.GET("/v1/hosts", h.listHosts)
	router.PUT("/standin/hosts", h.setHosts)
	router.PUT("/standin/faults", h.setFaults)
	router.GET("/standin/calls", h.calls)
	return router
}

type keyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision string `json:"mod_revision"`
}

func toKeyValue(entry store.Entry) keyValue {
	return keyValue{Key: []byte(entry.Key), Value: entry.Value, ModRevision: formatRevision(entry.Revision)}
}

func formatRevision(revision store.Revision) string { return strconv.FormatUint(uint64(revision), 10) }

func (h *Handler) get(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request struct {
		Key []byte `json:"key"`
	}
	if !decode(w, r, &request) {
		return
	}
	entry, err := h.store.Get(r.Context(), string(request.Key))
	if errors.Is(err, store.ErrNotFound) {
		reply(w, map[string]any{"kvs": []keyValue{}})
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	reply(w, map[string]any{"kvs": []keyValue{toKeyValue(entry)}})
}

type txnRequest struct {
	Compare []struct {
		Key         []byte `json:"key"`
		ModRevision string `json:"mod_revision"`
	} `json:"compare"`
	Success []struct {
		Put struct {
			Key   []byte `json:"key"`
			Value []byte `json:"value"`
		} `json:"request_put"`
	} `json:"success"`
}

func (h *Handler) compareAndSwap(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request txnRequest
	if !decode(w, r, &request) {
		return
	}
	if len(request.Compare) != 1 || len(request.Success) != 1 {
		http.Error(w, "this stand-in supports exactly one compare and one put", http.StatusBadRequest)
		return
	}
	expected, err := strconv.ParseUint(request.Compare[0].ModRevision, 10, 64)
	if err != nil {
		http.Error(w, "mod_revision is not a number", http.StatusBadRequest)
		return
	}
	put := request.Success[0].Put
	revision, err := h.store.CompareAndSwap(r.Context(), string(put.Key), store.Revision(expected), put.Value)
	switch {
	case errors.Is(err, store.ErrConflict):
		reply(w, map[string]any{"succeeded": false})
	case errors.Is(err, store.ErrOutcomeUnknown):
		dropConnection(w)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		header := map[string]string{"revision": formatRevision(revision)}
		reply(w, map[string]any{"succeeded": true, "header": header})
	}
}

func (h *Handler) watch(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request struct {
		Create struct {
			Key           []byte `json:"key"`
			StartRevision string `json:"start_revision"`
		} `json:"create_request"`
	}
	if !decode(w, r, &request) {
		return
	}
	start, err := strconv.ParseUint(request.Create.StartRevision, 10, 64)
	if err != nil || start == 0 {
		http.Error(w, "start_revision is not a positive number", http.StatusBadRequest)
		return
	}
	entry, err := h.store.Watch(r.Context(), string(request.Create.Key), store.Revision(start-1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	event := map[string]any{"kv": toKeyValue(entry)}
	reply(w, map[string]any{"result": map[string]any{"events": []any{event}}})
}

func (h *Handler) listHosts(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	records, err := h.hosts.Hosts(r.Context())
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	reply(w, records)
}

func (h *Handler) setHosts(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var records []hostlist.Record
	if !decode(w, r, &records) {
		return
	}
	h.hosts.Set(records)
	reply(w, records)
}

func (h *Handler) setFaults(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var faults Faults
	if !decode(w, r, &faults) {
		return
	}
	h.store.SetFaults(faults)
	reply(w, faults)
}

func (h *Handler) calls(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	reply(w, h.store.Calls())
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value) // fails only if the client has disconnected
}

// dropConnection closes the connection without a reply to a write that took effect.
func dropConnection(w http.ResponseWriter) {
	if hijacker, ok := w.(http.Hijacker); ok {
		if connection, _, err := hijacker.Hijack(); err == nil {
			connection.Close()
		}
	}
}
