package operatorapi

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/julienschmidt/httprouter"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/operatorapi/operatorwire"
	"github.com/knapweedrouter/knapweedrouter/internal/statedump"
)

type changesRoute struct{ calls int }

func (c *changesRoute) Register(router *httprouter.Router, wrap func(httprouter.Handle) httprouter.Handle) {
	router.POST(operatorwire.PathChanges, wrap(func(http.ResponseWriter, *http.Request, httprouter.Params) { c.calls++ }))
}

// TestOperatorsNeedAToken guards against access to changes, dumps or profiles without an operator token. This includes
// the case where no token is configured, in which an empty token must not match an absent one.
func TestOperatorsNeedAToken(t *testing.T) {
	for _, tokens := range [][][]byte{nil, {[]byte("old-token"), []byte("new-token")}} {
		route := &changesRoute{}
		api := New(zap.NewNop(), Config{
			Tokens: tokens, Metrics: metrics.NewSet(), Dumps: statedump.New(),
			Ready: func() error { return nil }, Routes: []Routes{route},
		})
		status := func(method, path, authorization string) int {
			request := httptest.NewRequest(method, path, nil)
			request.Header.Set("Authorization", authorization)
			recorder := httptest.NewRecorder()
			api.Handler().ServeHTTP(recorder, request)
			return recorder.Code
		}
		for _, path := range []string{operatorwire.PathMetrics, operatorwire.PathHealth, operatorwire.PathReady} {
			require.Equal(t, http.StatusOK, status(http.MethodGet, path, ""))
		}
		for _, authorization := range []string{"", "Bearer ", "Bearer wrong", "old-toke"} {
			require.Equal(t, http.StatusUnauthorized, status(http.MethodPost, operatorwire.PathChanges, authorization))
			require.Equal(t, http.StatusUnauthorized, status(http.MethodGet, operatorwire.PathState, authorization))
			require.Equal(t, http.StatusUnauthorized, status(http.MethodGet, operatorwire.PathProfiles+"heap", authorization))
		}
		require.Zero(t, route.calls)
		for _, token := range tokens {
			require.Equal(t, http.StatusOK, status(http.MethodPost, operatorwire.PathChanges, "Bearer "+string(token)))
		}
		require.Equal(t, len(tokens), route.calls)
	}
}
