package callerapi

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/execute"
	"github.com/knapweedrouter/knapweedrouter/internal/explain"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

type fakeExecutor struct{ executed int }

func (f *fakeExecutor) Issue(model.CallerID, model.ServiceID) (string, error) { return "T", nil }

func (f *fakeExecutor) Execute(context.Context, model.Caller, execute.Request) (json.RawMessage, error) {
	f.executed++
	return json.RawMessage(`{}`), nil
}

// tokenCatalogue provides a catalogue whose caller has two valid tokens, "old" and "new".
type tokenCatalogue struct{ catalogue *model.Catalogue }

func (t *tokenCatalogue) Catalogue() *model.Catalogue { return t.catalogue }

func (t *tokenCatalogue) Ready() error { return nil }

func newTokenCatalogue() *tokenCatalogue {
	return &tokenCatalogue{&model.Catalogue{Callers: []model.Caller{{
		ID: "c", Searches: []model.SearchID{"s"}, Services: []model.ServiceID{"pay"},
		TokenSHA256: []string{
			"cba06b5736faf67e54b07b561eae94395e774c517a7d910a54369e1263ccfbd4",
			"11507a0e2f5e69d5dfa40a62a1bd7b6ee57e6bcd85c67c9b8431b36fff21c437",
		},
	}}}}
}

func newTestAPI(catalogues Catalogues) (http.Handler, *fakeExecutor) {
	api := New(zap.NewNop(), partialSearcher{}, catalogues, metrics.NewSet(), explain.NewRecorder(16))
	executor := &fakeExecutor{}
	api.SetExecutor(executor)
	return api.Handler(), executor
}

func post(handler http.Handler, path, token, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response := httptest.NewRecorder()
	handler.ServeHTTP(response, request)
	return response
}

// Guards against bodies that are expensive to process, crash the decoder, or are only partly decoded.
func TestMalformedBodiesAreRefused(t *testing.T) {
	handler, executor := newTestAPI(newTokenCatalogue())
	search := `{"search":"s","limit":1,"deadline_ms":10,"query":%s}`
	nested := strings.Repeat("[", 5000) + strings.Repeat("]", 5000)
	long := strings.Repeat("x", 2000)
	cases := []struct {
		path, body string
		kind       fault.Kind
	}{
		{"/v1/search", fmt.Sprintf(search, `"`+strings.Repeat("x", model.MaxBodyBytes)+`"`), fault.TooLarge},
		{"/v1/search", fmt.Sprintf(search, nested), fault.BadRequest},
		{"/v1/search", fmt.Sprintf(search, "1") + "{}", fault.BadRequest},
		{"/v1/search", `{"search":"s","limit":1,"deadline_ms":10,"unknown":1}`, fault.BadRequest},
		{"/v1/search", `{"search":"` + long + `","limit":1,"deadline_ms":10}`, fault.BadRequest},
		{"/v1/search", `{"search":"s","limit":1,"deadline_ms":10`, fault.BadRequest},
		{"/v1/search", ``, fault.BadRequest},
		{"/v1/tickets", `{"service":"` + long + `"}`, fault.BadRequest},
		{"/v1/tickets", `{"service":"other"}`, fault.Forbidden},
		{"/v1/execute", `{"ticket":"` + long + `","operation":"o","deadline_ms":10}`, fault.TicketInvalid},
		{"/v1/execute", `{"ticket":"t","operation":"` + long + `","deadline_ms":10}`, fault.BadRequest},
		{"/v1/execute", `{"ticket":"t","operation":"o","deadline_ms":10001}`, fault.BadRequest},
		{"/v1/execute", `{"ticket":"t","operation":"o","deadline_ms":10,"payload":` + nested + `}`, fault.BadRequest},
	}
	for _, c := range cases {
		response := post(handler, c.path, "old", c.body)
		refusal, err := fault.Decode(response.Body.Bytes())
		require.NoError(t, err)
		require.Equal(t, c.kind, refusal.Kind, "%.80s", c.body)
		require.Equal(t, fault.NotRun, refusal.Execution)
		require.NotEmpty(t, refusal.Remedy)
	}
	require.Zero(t, executor.executed)
}

// Guards against a token rotation that rejects the old or the new token too early or accepts the old one too long, and
// against accepting tokens that almost match or are too long.
func TestBothTokensOfACallerAreValid(t *testing.T) {
	catalogues := newTokenCatalogue()
	handler, executor := newTestAPI(catalogues)
	body := `{"ticket":"t","operation":"o","deadline_ms":10}`
	for _, token := range []string{"old", "new"} {
		require.Equal(t, http.StatusOK, post(handler, "/v1/execute", token, body).Code)
	}
	for _, token := range []string{"", " ", "ol", "oldx", strings.Repeat("x", 100_000)} {
		response := post(handler, "/v1/execute", token, body)
		refusal, err := fault.Decode(response.Body.Bytes())
		require.NoError(t, err)
		require.Equal(t, fault.Unauthenticated, refusal.Kind)
		require.Equal(t, fault.OutcomeUnknown, refusal.Execution, "an earlier copy may have run")
	}
	rotated := *catalogues.catalogue
	rotated.Callers = []model.Caller{rotated.Callers[0]}
	rotated.Callers[0].TokenSHA256 = rotated.Callers[0].TokenSHA256[1:]
	catalogues.catalogue = &rotated
	require.Equal(t, http.StatusUnauthorized, post(handler, "/v1/execute", "old", body).Code)
	require.Equal(t, 2, executor.executed)
}

// Guards against callers that keep requests open by sending them byte by byte.
func TestSlowSenderIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		handler, _ := newTestAPI(newTokenCatalogue())
		clientConn, serverConn := net.Pipe()
		sent := make(chan struct{})
		defer func() {
			clientConn.Close()
			<-sent
		}()
		server := &http.Server{Handler: handler, ReadTimeout: 2 * time.Second}
		go server.Serve(&singleConnListener{connection: serverConn, closed: make(chan struct{})})
		defer server.Close()
		started := time.Now()
		go func() {
			defer close(sent)
			head := "POST /v1/search HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer old\r\nContent-Length: 1000\r\n\r\n"
			_, _ = io.WriteString(clientConn, head)
			for {
				if _, err := io.WriteString(clientConn, " "); err != nil {
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}()
		response, err := http.ReadResponse(bufio.NewReader(clientConn), nil)
		require.NoError(t, err)
		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		refusal, err := fault.Decode(body)
		require.NoError(t, err)
		require.Equal(t, fault.BadRequest, refusal.Kind)
		require.LessOrEqual(t, time.Since(started), 3*time.Second)
	})
}

// singleConnListener is a listener that accepts a single connection.
type singleConnListener struct {
	connection net.Conn
	closed     chan struct{}
}

func (l *singleConnListener) Accept() (net.Conn, error) {
	if l.connection == nil {
		<-l.closed
		return nil, net.ErrClosed
	}
	c := l.connection
	l.connection = nil
	return c, nil
}

func (l *singleConnListener) Close() error {
	close(l.closed)
	return nil
}

func (l *singleConnListener) Addr() net.Addr { return &net.TCPAddr{} }

// Guards against bodies that cause a panic, or that are accepted although they exceed a limit.
func FuzzRequests(f *testing.F) {
	f.Fuzz(func(t *testing.T, body []byte) {
		var search SearchRequest
		if decodeStrict(body, &search) == nil {
			require.LessOrEqual(t, jsonDepth(body), model.MaxJSONDepth)
			require.True(t, json.Valid(body))
		}
		var executed ExecuteRequest
		if decodeStrict(body, &executed) == nil && executed.check() == nil {
			require.NotEmpty(t, executed.Ticket)
			require.LessOrEqual(t, len(executed.Operation), maxNameBytes)
			require.Positive(t, executed.DeadlineMS)
		}
		if refusal, err := fault.Decode(body); err == nil {
			require.True(t, refusal.Execution.Valid())
		}
	})
}
