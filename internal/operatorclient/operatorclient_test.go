package operatorclient

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/change"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/operatorapi/operatorwire"
)

// fakeFleet simulates hosts that share a record of accepted change IDs.
type fakeFleet struct {
	t        *testing.T
	mu       sync.Mutex
	accepted map[string]model.Generation
	attempts int
}

func (f *fakeFleet) host(behaviour string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request operatorwire.ChangeRequest
		require.NoError(f.t, json.NewDecoder(r.Body).Decode(&request))
		f.mu.Lock()
		defer f.mu.Unlock()
		f.attempts++
		switch behaviour {
		case "accept", "accept, then lose the reply":
			if _, ok := f.accepted[request.ID]; !ok {
				f.accepted[request.ID] = model.Generation(8 + len(f.accepted))
			}
			if behaviour == "accept" {
				operatorwire.Write(w, http.StatusOK, operatorwire.ChangeReply{ChangeID: request.ID, Generation: f.accepted[request.ID]})
				return
			}
			panic(http.ErrAbortHandler)
		case "conflict":
			operatorwire.WriteError(w, &change.Conflict{Current: 9, Yours: request.Change})
		case "conflict, and the record may have been dropped":
			cause := &change.Conflict{Current: 9, Yours: request.Change}
			operatorwire.WriteError(w, fault.Wrap(cause, fault.Conflict, fault.OutcomeUnknown, "", "old"))
		default:
			operatorwire.WriteError(w, fault.New(fault.Kind(behaviour), fault.NotRun, "none", "refused"))
		}
	}))
	f.t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestChangeIsSafeOverSeveralHosts guards against a change that is accepted twice, lost, or reported as refused while a
// host that did not answer may have accepted it.
func TestChangeIsSafeOverSeveralHosts(t *testing.T) {
	const silent = "accept, then lose the reply"
	for _, test := range []struct {
		hosts     []string
		execution fault.Execution // empty if the change is reported as accepted
		attempts  int
	}{
		{[]string{"accept"}, "", 1},
		{[]string{silent, "accept"}, "", 2},
		{[]string{silent, silent}, fault.OutcomeUnknown, 2},
		{[]string{silent, "insufficient_capacity"}, fault.OutcomeUnknown, 2},
		{[]string{silent, "conflict"}, fault.NotRun, 2},
		{[]string{"conflict, and the record may have been dropped", "accept"}, fault.OutcomeUnknown, 1},
		{[]string{"cut_off", "accept"}, "", 2},
		{[]string{"cut_off", "cut_off"}, fault.NotRun, 2},
		{[]string{"invalid_catalogue", "accept"}, fault.NotRun, 1},
		{[]string{"closed", "accept"}, "", 1},
	} {
		f := &fakeFleet{t: t, accepted: map[string]model.Generation{}}
		var hosts []string
		for _, behaviour := range test.hosts {
			if behaviour == "closed" {
				hosts = append(hosts, "127.0.0.1:1")
				continue
			}
			hosts = append(hosts, f.host(behaviour))
		}
		request := operatorwire.ChangeRequest{Change: change.Change{ID: NewChangeID()}}
		_, err := New(Config{Hosts: hosts, Token: "t"}).Change(context.Background(), request)
		f.mu.Lock()
		defer f.mu.Unlock()
		require.Equal(t, test.attempts, f.attempts, test.hosts)
		require.LessOrEqual(t, len(f.accepted), 1, test.hosts)
		if test.execution == "" {
			require.NoError(t, err, test.hosts)
			continue
		}
		require.Equal(t, test.execution, fault.As(err).Execution, test.hosts)
	}
}
