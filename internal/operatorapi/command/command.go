// Package command serves the operators' commands: changes to the catalogue.
package command

import (
	"errors"
	"net/http"
	"slices"

	"github.com/julienschmidt/httprouter"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/change"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/membership"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/operatorapi/operatorwire"
)

// maxChangeBytes bounds the body of a change. A change is kept inline in the store's head value of 1 MiB.
const maxChangeBytes = 512 << 10

// Catalogues gives the catalogue in force, or nil before the first.
type Catalogues interface{ Catalogue() *model.Catalogue }

// Statuses gives the last report of a target.
type Statuses interface {
	Get(target model.TargetID) (model.TargetStatus, bool)
}

// Config holds the ports of the commands.
type Config struct {
	Acceptor   change.Acceptor
	Catalogues Catalogues
	Statuses   Statuses
	// Members returns the known hosts that are not dead.
	Members func() []membership.Member
}

// Handler serves the commands.
type Handler struct {
	logger *zap.Logger
	cfg    Config
}

// New returns the handler of the commands.
func New(logger *zap.Logger, cfg Config) *Handler { return &Handler{logger: logger, cfg: cfg} }

// Register adds the routes. wrap authenticates operators.
func (h *Handler) Register(router *httprouter.Router, wrap func(httprouter.Handle) httprouter.Handle) {
	router.POST(operatorwire.PathChanges, wrap(h.change))
}

func (h *Handler) change(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var request operatorwire.ChangeRequest
	if err := operatorwire.Read(w, r, maxChangeBytes, &request); err != nil {
		operatorwire.WriteError(w, err)
		return
	}
	generation, err := h.accept(r, request)
	if err != nil {
		h.logger.Warn("change refused", zap.String("change", request.ID), zap.String("author", request.Author), zap.Error(err))
		operatorwire.WriteError(w, err)
		return
	}
	h.logger.Info("change accepted", zap.String("change", request.ID), zap.String("author", request.Author),
		zap.Uint64("generation", uint64(generation)), zap.Int("edits", len(request.Edits)))
	operatorwire.Write(w, http.StatusOK, operatorwire.ChangeReply{ChangeID: request.ID, Generation: generation})
}

func (h *Handler) accept(r *http.Request, request operatorwire.ChangeRequest) (model.Generation, error) {
	if err := checkForm(request.Change); err != nil {
		return 0, err
	}
	if err := h.checkEffect(request); err != nil {
		return 0, err
	}
	generation, err := h.cfg.Acceptor.Accept(r.Context(), request.Change)
	var conflict *change.Conflict
	if err == nil || errors.As(err, &conflict) {
		return generation, err
	}
	return 0, fault.As(err)
}

// checkEffect refuses a change that would probably do harm, unless it is forced. The store has not been asked yet, so
// that for a change that may have been accepted before, the refusal does not tell the outcome.
func (h *Handler) checkEffect(request operatorwire.ChangeRequest) error {
	if request.Force {
		return nil
	}
	err := h.checkHosts(request.Change)
	if err == nil {
		err = h.checkCapacity(request.Change)
	}
	if err == nil || !request.Repeat {
		return err
	}
	uncertain := *fault.As(err)
	uncertain.Execution = fault.OutcomeUnknown
	uncertain.Remedy = "look into the history for the change; if it is not there, " + uncertain.Remedy
	return &uncertain
}

// checkHosts refuses to take out a host that nobody knows, because its id is probably misspelled.
func (h *Handler) checkHosts(c change.Change) error {
	for _, edit := range c.Edits {
		if edit.Kind != change.HostOut || edit.Op != change.Put {
			continue
		}
		isHost := func(m membership.Member) bool { return string(m.ID) == edit.ID }
		if !slices.ContainsFunc(h.cfg.Members(), isHost) {
			return fault.New(fault.NotFound, fault.NotRun, "see host list, or repeat with --force to take out a host that is dead",
				"there is no live host %q", edit.ID)
		}
	}
	return nil
}

const maxChangeIDLength = 64

func checkForm(c change.Change) error {
	switch {
	case c.ID == "" || len(c.ID) > maxChangeIDLength:
		return badChange("send an id of 1 to 64 bytes that no other change has", "the change has no valid id")
	case len(c.Edits) == 0:
		return badChange("send at least one edit", "the change has no edit")
	}
	for i, edit := range c.Edits {
		if err := checkEdit(i, edit); err != nil {
			return err
		}
	}
	return nil
}

func checkEdit(i int, edit change.Edit) error {
	if edit.Op != change.Put && edit.Op != change.Delete {
		return badChange("use put or delete", "edit %d has the operation %q", i, edit.Op)
	}
	if kind, err := change.ParseKind(string(edit.Kind)); err != nil || kind != edit.Kind {
		return badChange("use a kind of the catalogue", "edit %d has the kind %q", i, edit.Kind)
	}
	if edit.ID == "" {
		return badChange("name the entry", "edit %d has no entry id", i)
	}
	if edit.Op == change.Put && len(edit.Value) == 0 {
		return badChange("send the entry as the edit's value", "edit %d puts %s %s without a value", i, edit.Kind, edit.ID)
	}
	return nil
}

func badChange(remedy, format string, args ...any) error {
	return fault.New(fault.BadRequest, fault.NotRun, remedy, format, args...)
}
