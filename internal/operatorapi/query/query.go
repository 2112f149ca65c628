// Package query implements the operators' read-only queries.
package query

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"github.com/julienschmidt/httprouter"

	"github.com/knapweedrouter/knapweedrouter/internal/change"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/membership"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/operatorapi/operatorwire"
	"github.com/knapweedrouter/knapweedrouter/internal/peer"
)

// View provides the catalogue and the membership of the fleet.
type View interface {
	// Catalogue returns the catalogue in force, or nil if there is none yet.
	Catalogue() *model.Catalogue
	// Members returns the known members that are not dead, including this host.
	Members() []membership.Member
}

// History provides the recently accepted changes.
type History interface {
	// Changes returns the accepted changes that are still stored, ordered by generation.
	Changes(ctx context.Context) ([]change.Accepted, error)
}

// Explainer provides the records of recent queries.
type Explainer interface {
	// Explain returns the record of a query that this host answered recently, as a value that can be marshaled to JSON.
	Explain(queryID string) (any, bool)
}

// Caller sends requests to other hosts.
type Caller interface {
	Call(ctx context.Context, address string, kind peer.Kind, body, reply any) error
}

// Config holds the dependencies of the queries.
type Config struct {
	Host      model.HostID
	View      View
	History   History
	Explainer Explainer
	Peers     Caller
	// Own returns the configuration status of this host.
	Own func() operatorwire.HostStatus
}

// Handler serves the queries.
type Handler struct{ cfg Config }

// New returns a handler for the queries.
func New(cfg Config) *Handler { return &Handler{cfg: cfg} }

// Register adds the routes to the router. wrap adds operator authentication to a handler.
func (h *Handler) Register(router *httprouter.Router, wrap func(httprouter.Handle) httprouter.Handle) {
	router.GET(operatorwire.PathCatalogue, wrap(h.catalogue))
	router.GET(operatorwire.PathCatalogue+"/:kind", wrap(h.entries))
	router.GET(operatorwire.PathCatalogue+"/:kind/:id", wrap(h.entry))
	router.GET(operatorwire.PathHistory, wrap(h.history))
	router.GET(operatorwire.PathStatus, wrap(h.status))
	router.GET(operatorwire.PathHosts, wrap(h.hosts))
	router.GET(operatorwire.PathDataCentres, wrap(h.dataCentres))
	router.GET(operatorwire.PathExplain+"/:id", wrap(h.explain))
}

// currentCatalogue returns the catalogue in force. If there is none, it writes an error response and returns nil.
func (h *Handler) currentCatalogue(w http.ResponseWriter) *model.Catalogue {
	catalogue := h.cfg.View.Catalogue()
	if catalogue == nil {
		operatorwire.WriteError(w, fault.New(fault.NotReady, fault.NotRun, "use another host", "this host has no configuration yet"))
	}
	return catalogue
}

func (h *Handler) catalogue(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if catalogue := h.currentCatalogue(w); catalogue != nil {
		operatorwire.Write(w, http.StatusOK, catalogue)
	}
}

func (h *Handler) entries(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	catalogue := h.currentCatalogue(w)
	if catalogue == nil {
		return
	}
	kind, err := change.ParseKind(params.ByName("kind"))
	if err != nil {
		operatorwire.WriteError(w, fault.Wrap(err, fault.BadRequest, fault.NotRun, "use a kind of the catalogue", "unknown kind"))
		return
	}
	operatorwire.Write(w, http.StatusOK, operatorwire.Entries{
		Generation: catalogue.Generation,
		Entries:    change.Entries(catalogue, kind),
	})
}

func (h *Handler) entry(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	catalogue := h.currentCatalogue(w)
	if catalogue == nil {
		return
	}
	kind, err := change.ParseKind(params.ByName("kind"))
	if err != nil {
		operatorwire.WriteError(w, fault.Wrap(err, fault.BadRequest, fault.NotRun, "use a kind of the catalogue", "unknown kind"))
		return
	}
	for _, entry := range change.Entries(catalogue, kind) {
		if entry.ID == params.ByName("id") {
			operatorwire.Write(w, http.StatusOK, operatorwire.Entries{
				Generation: catalogue.Generation, Entries: []change.Entry{entry},
			})
			return
		}
	}
	operatorwire.WriteError(w, fault.New(fault.NotFound, fault.NotRun,
		"list the entries of the kind", "there is no %s %q", kind, params.ByName("id")))
}

func (h *Handler) history(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	changes, err := h.cfg.History.Changes(r.Context())
	if err != nil {
		operatorwire.WriteError(w, err)
		return
	}
	operatorwire.Write(w, http.StatusOK, operatorwire.History{Changes: changes})
}

func (h *Handler) hosts(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	catalogue := h.currentCatalogue(w)
	if catalogue == nil {
		return
	}
	var reply operatorwire.Hosts
	out := map[model.HostID]model.HostOut{}
	for _, entry := range catalogue.HostsOut {
		out[entry.ID] = entry
	}
	for _, member := range h.cfg.View.Members() {
		entry, isOut := out[member.ID]
		delete(out, member.ID)
		reply.Hosts = append(reply.Hosts, operatorwire.Host{Member: member, Out: isOut, Reason: entry.Reason})
	}
	for _, entry := range out {
		member := membership.Member{ID: entry.ID, State: membership.Dead}
		reply.Hosts = append(reply.Hosts, operatorwire.Host{Member: member, Out: true, Reason: entry.Reason})
	}
	slices.SortFunc(reply.Hosts, func(a, b operatorwire.Host) int { return strings.Compare(string(a.ID), string(b.ID)) })
	operatorwire.Write(w, http.StatusOK, reply)
}

func (h *Handler) dataCentres(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	catalogue := h.currentCatalogue(w)
	if catalogue == nil {
		return
	}
	var reply operatorwire.DataCentres
	for _, centre := range catalogue.DataCentres {
		row := operatorwire.DataCentre{DataCentreInfo: centre}
		for _, out := range catalogue.DataCentresOut {
			if out.ID == centre.ID {
				row.Out, row.Reason = true, out.Reason
			}
		}
		for _, target := range catalogue.Targets {
			if target.DataCentre == centre.ID {
				row.Targets++
				row.Slots += target.Slots
			}
		}
		for _, member := range h.cfg.View.Members() {
			if member.DataCentre == centre.ID {
				row.Hosts++
			}
		}
		reply.DataCentres = append(reply.DataCentres, row)
	}
	operatorwire.Write(w, http.StatusOK, reply)
}

func (h *Handler) explain(w http.ResponseWriter, _ *http.Request, params httprouter.Params) {
	record, ok := h.cfg.Explainer.Explain(params.ByName("id"))
	if !ok {
		operatorwire.WriteError(w, fault.New(fault.NotFound, fault.NotRun,
			"request the record from the host that answered the query, soon after the query", "this host has no record of query %q", params.ByName("id")))
		return
	}
	operatorwire.Write(w, http.StatusOK, record)
}
