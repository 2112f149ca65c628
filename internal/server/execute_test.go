package server

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/control"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/membership"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/rumor"
	"github.com/knapweedrouter/knapweedrouter/internal/settings"
)

// Guards against ledgers being handed over to a host that is stopping or out of service as well.
func TestSuccessorsAreInService(t *testing.T) {
	members := []membership.Member{
		{ID: "self", Address: "self", State: membership.Alive},
		{ID: "alive", Address: "alive", State: membership.Alive},
		{ID: "leaving", Address: "leaving", State: membership.Leaving},
		{ID: "suspect", Address: "suspect", State: membership.Suspect},
		{ID: "out", Address: "out", State: membership.Alive},
		{ID: "away", Address: "away", State: membership.Alive, DataCentre: "gone"},
	}
	catalogue := &model.Catalogue{
		HostsOut:       []model.HostOut{{ID: "out"}},
		DataCentresOut: []model.DataCentreOut{{ID: "gone"}},
	}
	require.Equal(t, []string{"alive"}, successors("self", members, catalogue))
}

// singleHostView is the control view of a host without peers. Its catalogue can be replaced.
type singleHostView struct {
	control.View
	catalogue atomic.Pointer[model.Catalogue]
}

func (v *singleHostView) Catalogue() *model.Catalogue               { return v.catalogue.Load() }
func (v *singleHostView) Members() []membership.Member              { return nil }
func (v *singleHostView) Subscribe(rumor.Topic, func(rumor.Notice)) {}
func (v *singleHostView) setOut(hosts ...model.HostOut) {
	v.catalogue.Store(&model.Catalogue{HostsOut: hosts})
}

// Guards against a host that still issues tickets after operators have taken it out of service, or that issues none after
// its return (P4).
func TestHostOutOfServiceIssuesNoTickets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(zap.NewNop(), settings.Settings{HostID: "h1"}, Ports{})
		view := &singleHostView{}
		view.setOut()
		engine := s.newExecutor(1, nil, view)
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			s.watchOut(ctx, engine, view)
		}()
		_, err := engine.Issue("c", "payouts")
		require.NoError(t, err)
		view.setOut(model.HostOut{ID: "h1"})
		time.Sleep(time.Second)
		_, err = engine.Issue("c", "payouts")
		require.True(t, fault.IsKind(err, fault.Stopping))
		view.setOut()
		time.Sleep(time.Second)
		_, err = engine.Issue("c", "payouts")
		require.NoError(t, err)
		cancel()
		<-ended
	})
}
