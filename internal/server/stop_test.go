package server

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/callerapi"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// stopFixture is a host whose requests take a fixed time.
type stopFixture struct {
	stopper stopper
	handler http.Handler
}

func newStopFixture(duration time.Duration) *stopFixture {
	s := &stopFixture{}
	s.handler = s.stopper.wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			time.Sleep(duration)
		}
		w.WriteHeader(http.StatusOK)
	}))
	return s
}

func (s *stopFixture) request(method string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	s.handler.ServeHTTP(w, httptest.NewRequest(method, "/", nil))
	return w
}

// Guards against a planned stop that refuses work before the load balancer has noticed, that hands over its state while
// requests are running, or that announces the leave before the hand-over (P9).
func TestPlannedStopOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStopFixture(9 * time.Second)
		require.Equal(t, http.StatusOK, s.request(http.MethodGet).Code)
		running := make(chan *httptest.ResponseRecorder, 2)
		go func() { running <- s.request(http.MethodPost) }()
		time.Sleep(time.Second)
		start := time.Now()
		var handedOver, left, ended time.Duration
		done := make(chan struct{})
		go func() {
			s.stopper.plannedStop(t.Context(), zap.NewNop(), stopHooks{
				handOver:      []func(context.Context){func(context.Context) { handedOver = time.Since(start) }},
				announceLeave: func() { left = time.Since(start); require.NotZero(t, handedOver) },
			})
			ended = time.Since(start)
			close(done)
		}()
		time.Sleep(1900 * time.Millisecond)
		require.Equal(t, http.StatusServiceUnavailable, s.request(http.MethodGet).Code)
		go func() { running <- s.request(http.MethodPost) }() // the balancer has not noticed yet
		time.Sleep(200 * time.Millisecond)
		refused := s.request(http.MethodPost)
		var reply callerapi.ErrorReply
		require.NoError(t, json.Unmarshal(refused.Body.Bytes(), &reply))
		require.Equal(t, fault.Stopping, reply.Error.Kind)
		require.Equal(t, fault.NotRun, reply.Error.Execution)
		for range 2 {
			finished := <-running
			require.Equal(t, http.StatusOK, finished.Code)
			require.Equal(t, "close", finished.Header().Get("Connection"))
		}
		<-done
		require.InDelta(t, 10.9, handedOver.Seconds(), 0.05)
		require.GreaterOrEqual(t, left, handedOver)
		require.Less(t, ended, 11500*time.Millisecond)
	})
}

// Guards against a long-running request that keeps a host from stopping.
func TestPlannedStopIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStopFixture(time.Minute)
		ended := make(chan struct{})
		go func() {
			s.request(http.MethodPost)
			close(ended)
		}()
		time.Sleep(time.Second)
		start := time.Now()
		s.stopper.plannedStop(t.Context(), zap.NewNop(), stopHooks{})
		require.InDelta(t, 32, time.Since(start).Seconds(), 0.1)
		<-ended
	})
}

// Guards against a host that keeps accepting work after operators took it or its data centre out of service, that
// interrupts requests in progress, or that doesn't return to service (P4, P9).
func TestHostOutAndBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStopFixture(4 * time.Second)
		running := make(chan int, 1)
		go func() { running <- s.request(http.MethodPost).Code }()
		time.Sleep(time.Second)
		catalogue := &model.Catalogue{DataCentresOut: []model.DataCentreOut{{ID: "dc-1"}}, HostsOut: []model.HostOut{{ID: "h9"}}}
		require.True(t, isHostOut(catalogue, "h9", "dc-2"))
		require.False(t, isHostOut(catalogue, "h1", "dc-2"))
		require.True(t, s.stopper.setOut(isHostOut(catalogue, "h1", "dc-1")))
		require.Equal(t, http.StatusServiceUnavailable, s.request(http.MethodGet).Code)
		time.Sleep(balancerWait)
		require.False(t, s.stopper.setOut(true))
		refused := s.request(http.MethodPost)
		require.Contains(t, refused.Body.String(), string(fault.NotRun))
		require.Equal(t, http.StatusOK, <-running)
		require.True(t, s.stopper.setOut(false))
		require.Equal(t, http.StatusOK, s.request(http.MethodGet).Code)
		require.Equal(t, http.StatusOK, s.request(http.MethodPost).Code)
	})
}
