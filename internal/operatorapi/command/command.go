// Package command implements the operators' commands, which change the catalogue.
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

// maxChangeBytes limits the body of a change. A change is stored inline in the head value, which is limited to 1 MiB.
const maxChangeBytes = 512 << 10

// Catalogues provides the catalogue in force, or nil if there is none yet.
type Catalogues interface{ Catalogue() *model.Catalogue }

// Statuses provides the last status report of each target.
type Statuses interface {
	Get(target model.TargetID) (model.TargetStatus, bool)
}

// Config holds the dependencies of the commands.
type Config struct {
	Acceptor   change.Acceptor
	Catalogues Catalogues
	Statuses   Statuses
	// Members returns the known hosts that are not dead.
	Members func() []membership.Member
}

// Handler handles the commands.
type Handler struct {
	logger *zap.Logger
	cfg    Config
}

// New returns a handler for the commands.
func New(logger *zap.Logger, cfg Config) *Handler { return &Handler{logger: logger, cfg: cfg} }

// Register adds the routes to the router. wrap adds operator authentication to a handler.
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
	if err := checkSyntax(request.Change); err != nil {
		return 0, err
	}
	if err := h.checkSafety(request); err != nil {
		return 0, err
	}
	generation, err := h.cfg.Acceptor.Accept(r.Context(), request.Change)
	var conflict *change.Conflict
	if err == nil || errors.As(err, &conflict) {
		return generation, err
	}
	return 0, fault.As(err)
}

// checkSafety rejects a change that is likely to be harmful, unless it is forced. It does not consult the store, so for a
// repeated change, which may have been accepted already, the error reports an unknown outcome.
func (h *Handler) checkSafety(request operatorwire.ChangeRequest) error {
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
	uncertain.Remedy = "look for the change in the history; if it is missing, " + uncertain.Remedy
	return &uncertain
}

// checkHosts rejects taking out an unknown host, because its ID is probably misspelled.
func (h *Handler) checkHosts(c change.Change) error {
	for _, edit := range c.Edits {
		if edit.Kind != change.HostOut || edit.Op != change.Put {
			continue
		}
		isHost := func(m membership.Member) bool { return string(m.ID) == edit.ID }
		if !slices.ContainsFunc(h.cfg.Members(), isHost) {
			return fault.New(fault.NotFound, fault.NotRun, "check the ID with host list, or repeat with --force to take out a dead host",
				"there is no live host %q", edit.ID)
		}
	}
	return nil
}

const maxChangeIDLength = 64

func checkSyntax(c change.Change) error {
	switch {
	case c.ID == "" || len(c.ID) > maxChangeIDLength:
		return invalidChange("send a unique ID of 1 to 64 bytes", "the change has no valid ID")
	case len(c.Edits) == 0:
		return invalidChange("send at least one edit", "the change has no edit")
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
		return invalidChange("use put or delete", "edit %d has the operation %q", i, edit.Op)
	}
	if kind, err := change.ParseKind(string(edit.Kind)); err != nil || kind != edit.Kind {
		return invalidChange("use a kind of the catalogue", "edit %d has the kind %q", i, edit.Kind)
	}
	if edit.ID == "" {
		return invalidChange("specify the ID of the entry", "edit %d has no entry ID", i)
	}
	if edit.Op == change.Put && len(edit.Value) == 0 {
		return invalidChange("send the entry as the edit's value", "edit %d puts %s %s without a value", i, edit.Kind, edit.ID)
	}
	return nil
}

func invalidChange(remedy, format string, args ...any) error {
	return fault.New(fault.BadRequest, fault.NotRun, remedy, format, args...)
}
