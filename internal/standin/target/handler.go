package target

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/julienschmidt/httprouter"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
	"github.com/knapweedrouter/knapweedrouter/internal/targetwire"
)

// Handler serves a target stand-in over HTTP, with control endpoints for tests under /standin/.
type Handler struct{ target *Target }

// NewHandler returns an http.Handler for the target.
func NewHandler(t *Target) http.Handler {
	h := &Handler{target: t}
	router := httprouter.New()
	router.POST(targetwire.PathSearch, h.search)
	router.POST(targetwire.PathExecute, h.execute)
	router.POST(targetwire.PathCancel, h.cancel)
	router.GET(targetwire.PathStatus, h.status)
	router.GET("/standin/records", h.records)
	router.PUT("/standin/state", h.setState)
	router.PUT("/standin/poison", h.setPoison)
	router.POST("/standin/crash", h.crash)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if t.isSilenced(r.Context()) {
			hang(r)
		}
		router.ServeHTTP(w, r)
	})
}

// abortOnFault ends the request without a reply if the fault requires it.
func abortOnFault(r *http.Request, fault Fault) {
	switch fault {
	case FaultSilent:
		hang(r)
	case FaultReset:
		panic(http.ErrAbortHandler)
	}
}

// replyWithFault sends a reply. A truncated reply carries the checksum of the original.
func replyWithFault(w http.ResponseWriter, original, sent any, fault Fault) {
	if fault == FaultTruncated {
		body, err := json.Marshal(original)
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set(targetwire.HeaderChecksum, targetwire.Checksum(body))
	}
	reply(w, http.StatusOK, sent)
}

func (h *Handler) search(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request targetclient.SearchRequest
	if !decode(w, r, &request) {
		return
	}
	answer, err := h.target.Search(r.Context(), request)
	if err != nil {
		replyError(w, request.Attempt, err)
		return
	}
	fault := h.target.takeFault()
	abortOnFault(r, fault)
	replyWithFault(w, answer, h.target.applyFault(fault, request, answer), fault)
}

func (h *Handler) execute(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request targetclient.ExecuteRequest
	if !decode(w, r, &request) {
		return
	}
	answer, err := h.target.Execute(r.Context(), request)
	if err != nil {
		replyError(w, request.Attempt, err)
		return
	}
	fault := h.target.takeFault()
	abortOnFault(r, fault)
	sent := answer
	if fault != "" {
		sent.Attempt.Sequence++
	}
	replyWithFault(w, answer, sent, fault)
}

func (h *Handler) cancel(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request targetwire.Cancel
	if !decode(w, r, &request) {
		return
	}
	var attempt model.AttemptID
	if err := attempt.UnmarshalText([]byte(request.Attempt)); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	h.target.Cancel(attempt)
	reply(w, http.StatusOK, request)
}

func (h *Handler) status(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if !h.target.Available() {
		panic(http.ErrAbortHandler)
	}
	reply(w, http.StatusOK, h.target.Status())
}

func (h *Handler) records(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	reply(w, http.StatusOK, h.target.Records())
}

func (h *Handler) setState(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request struct {
		State model.TargetState `json:"state"`
	}
	if !decode(w, r, &request) {
		return
	}
	if request.State == model.TargetCold {
		h.target.TurnCold()
	} else {
		h.target.SetState(request.State)
	}
	reply(w, http.StatusOK, request)
}

func (h *Handler) setPoison(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request struct {
		Text string `json:"text"`
	}
	if !decode(w, r, &request) {
		return
	}
	h.target.SetPoison(request.Text)
	reply(w, http.StatusOK, request)
}

func (h *Handler) crash(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	h.target.Crash()
	reply(w, http.StatusOK, h.target.Status())
}

// replyError sends the protocol error for err. If the attempt was lost or the target is down, it aborts the connection
// without a reply.
func replyError(w http.ResponseWriter, attempt model.AttemptID, err error) {
	if errors.Is(err, targetclient.ErrLost) || errors.Is(err, targetclient.ErrNotSent) {
		panic(http.ErrAbortHandler)
	}
	status, code := http.StatusInternalServerError, "internal"
	switch {
	case errors.Is(err, targetclient.ErrVersionGone):
		status, code = http.StatusConflict, targetwire.CodeVersionGone
	case errors.Is(err, targetclient.ErrShed):
		status, code = http.StatusServiceUnavailable, targetwire.CodeShed
	case errors.Is(err, targetclient.ErrDraining):
		status, code = http.StatusServiceUnavailable, targetwire.CodeDraining
	case errors.Is(err, targetclient.ErrCancelled):
		status, code = http.StatusRequestTimeout, targetwire.CodeCancelled
	case errors.Is(err, targetclient.ErrDeadline):
		status, code = http.StatusGatewayTimeout, targetwire.CodeDeadline
	}
	reply(w, status, targetwire.Error{Code: code, Attempt: attempt.String()})
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if w.Header().Get(targetwire.HeaderChecksum) == "" {
		w.Header().Set(targetwire.HeaderChecksum, targetwire.Checksum(body))
	}
	w.WriteHeader(status)
	_, _ = w.Write(body) // fails only if the client has disconnected
}
