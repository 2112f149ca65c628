package command

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/julienschmidt/httprouter"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/change"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/membership"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/operatorapi/operatorwire"
)

type fakeAcceptor struct {
	err      error
	accepted []change.Change
}

func (f *fakeAcceptor) Accept(_ context.Context, c change.Change) (model.Generation, error) {
	if f.err != nil {
		return 0, f.err
	}
	f.accepted = append(f.accepted, c)
	return 8, nil
}

type fakePlatform struct {
	catalogue model.Catalogue
	inFlight  int
}

func (f *fakePlatform) Catalogue() *model.Catalogue { return &f.catalogue }

func (f *fakePlatform) Get(id model.TargetID) (model.TargetStatus, bool) {
	return model.TargetStatus{Target: id, State: model.TargetReady, Slots: 2, InFlight: f.inFlight}, true
}

func twoDataCentres() model.Catalogue {
	return model.Catalogue{
		Targets: []model.Target{{ID: "a", DataCentre: "d1", Slots: 2}, {ID: "b", DataCentre: "d2", Slots: 2}},
		Indexes: []model.Index{{ID: "parts", Groups: []model.Group{{ID: "g0", Targets: []model.TargetID{"a", "b"}}}}},
	}
}

func send(t *testing.T, cfg Config, request operatorwire.ChangeRequest) (int, operatorwire.ErrorReply) {
	router := httprouter.New()
	New(zap.NewNop(), cfg).Register(router, func(handle httprouter.Handle) httprouter.Handle { return handle })
	body, err := json.Marshal(request)
	require.NoError(t, err)
	recorder := httptest.NewRecorder()
	router.ServeHTTP(recorder, httptest.NewRequest(http.MethodPost, operatorwire.PathChanges, bytes.NewReader(body)))
	var reply operatorwire.ErrorReply
	if recorder.Code != http.StatusOK {
		require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &reply))
	}
	return recorder.Code, reply
}

func dataCentreOutRequest(force bool) operatorwire.ChangeRequest {
	edit := change.Edit{Op: change.Put, Kind: change.DataCentreOut, ID: "d1", Value: json.RawMessage(`{"id":"d1"}`)}
	return operatorwire.ChangeRequest{Change: change.Change{ID: "x", BasedOn: 7, Edits: []change.Edit{edit}}, Force: force}
}

// TestDataCentreOutNeedsCapacity guards against taking out a data centre whose load the others cannot handle, and against
// a refusal that does not state the remaining slots and the load.
func TestDataCentreOutNeedsCapacity(t *testing.T) {
	acceptor := &fakeAcceptor{}
	platform := &fakePlatform{catalogue: twoDataCentres(), inFlight: 2}
	cfg := Config{Acceptor: acceptor, Catalogues: platform, Statuses: platform}
	status, reply := send(t, cfg, dataCentreOutRequest(false))
	require.Equal(t, http.StatusConflict, status)
	require.Equal(t, fault.InsufficientCapacity, reply.Error.Kind)
	require.Contains(t, reply.Error.Message, "parts/g0: 2 slots remain for 4 requests in flight")
	require.Empty(t, acceptor.accepted)

	status, _ = send(t, cfg, dataCentreOutRequest(true))
	require.Equal(t, http.StatusOK, status)
	platform.inFlight = 1
	status, _ = send(t, cfg, dataCentreOutRequest(false))
	require.Equal(t, http.StatusOK, status)
	require.Len(t, acceptor.accepted, 2)
}

// TestErrorsKeepConflictAndOutcome guards against a conflict reply that omits one of the two changes, and against an
// unknown outcome that is reported as not run.
func TestErrorsKeepConflictAndOutcome(t *testing.T) {
	theirs := change.Accepted{Change: change.Change{ID: "y"}, Generation: 8}
	conflict := &change.Conflict{Current: 8, Yours: dataCentreOutRequest(true).Change, Theirs: []change.Accepted{theirs}}
	platform := &fakePlatform{catalogue: twoDataCentres()}
	cfg := Config{Acceptor: &fakeAcceptor{err: conflict}, Catalogues: platform, Statuses: platform}
	status, reply := send(t, cfg, dataCentreOutRequest(true))
	require.Equal(t, http.StatusConflict, status)
	require.Equal(t, "x", reply.Conflict.Yours.ID)
	require.Equal(t, "y", reply.Conflict.Theirs[0].ID)
	require.Equal(t, fault.NotRun, reply.Error.Execution)

	cfg.Acceptor = &fakeAcceptor{err: context.DeadlineExceeded}
	_, reply = send(t, cfg, dataCentreOutRequest(true))
	require.Equal(t, fault.OutcomeUnknown, reply.Error.Execution)

	status, _ = send(t, cfg, operatorwire.ChangeRequest{Change: change.Change{ID: "z"}})
	require.Equal(t, http.StatusBadRequest, status)
}

// TestRefusalsNameTheCause guards against a refusal that does not identify the invalid edit or value.
func TestRefusalsNameTheCause(t *testing.T) {
	platform := &fakePlatform{catalogue: twoDataCentres()}
	violations := model.Violations{{Path: "$.callers[0].rate", Value: "0", Allowed: "more than 0", Remedy: "raise it"}}
	for _, cause := range []error{violations, errors.New("edit 0: there is no such entry")} {
		err := fault.Wrap(cause, fault.InvalidCatalogue, fault.NotRun, "correct it", "refused")
		_, reply := send(t, Config{Acceptor: &fakeAcceptor{err: err}, Catalogues: platform, Statuses: platform}, dataCentreOutRequest(true))
		if len(reply.Faults) == 0 {
			require.Contains(t, reply.Error.Message, "there is no such entry")
			continue
		}
		require.Equal(t, "$.callers[0].rate", reply.Faults[0].Path)
	}
}

// TestHostOutNeedsAKnownHost guards against accepting a misspelled host ID, which would leave the intended host in
// service.
func TestHostOutNeedsAKnownHost(t *testing.T) {
	acceptor, platform := &fakeAcceptor{}, &fakePlatform{catalogue: twoDataCentres()}
	members := func() []membership.Member { return []membership.Member{{ID: "host-1"}} }
	cfg := Config{Acceptor: acceptor, Catalogues: platform, Statuses: platform, Members: members}
	out := func(id string, force bool) int {
		edit := change.Edit{Op: change.Put, Kind: change.HostOut, ID: id, Value: json.RawMessage(`{}`)}
		status, _ := send(t, cfg, operatorwire.ChangeRequest{Change: change.Change{ID: "x", Edits: []change.Edit{edit}}, Force: force})
		return status
	}
	require.Equal(t, http.StatusNotFound, out("hots-1", false))
	require.Equal(t, http.StatusOK, out("hots-1", true))
	require.Equal(t, http.StatusOK, out("host-1", false))
	require.Len(t, acceptor.accepted, 2)
}
