package gateway

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/evidence"
	"github.com/knapweedrouter/knapweedrouter/internal/forward"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/registry"
	"github.com/knapweedrouter/knapweedrouter/internal/relay"
	"github.com/knapweedrouter/knapweedrouter/internal/routing"
	"github.com/knapweedrouter/knapweedrouter/internal/store"
)

// panickingDecoder takes the key of an entry for a target and panics on the value "panic" and on the key "panic".
type panickingDecoder struct{}

func (panickingDecoder) ParseKey(key string) StoreKey {
	if key == "panic" {
		panic("unexpected")
	}
	return StoreKey{Kind: KeyTarget, Target: model.TargetID(key)}
}

func (panickingDecoder) Table([]byte) (*routing.Table, error) { return nil, errors.New("unused") }

func (panickingDecoder) Registration(id model.TargetID, value []byte) (registry.Registration, error) {
	if string(value) == "panic" {
		panic("unexpected")
	}
	return registry.Registration{Target: id, Service: "s", Address: "127.0.0.1:1", Incarnation: 1}, nil
}

// TestUnexpectedEntryIsIgnored guards against one entry of the store that takes every process down at each start.
func TestUnexpectedEntryIsIgnored(t *testing.T) {
	s := newState(zap.NewNop(), panickingDecoder{}, forward.New(forward.Config{}), func() relay.Fleet { return relay.Fleet{} },
		func(evidence.Instance) bool { return false })
	s.Reset([]store.Entry{{Key: "a"}, {Key: "b", Value: []byte("panic")}, {Key: "c"}}, 1)
	require.Len(t, s.registry.Targets(), 2)
	s.Apply([]store.Change{{Entry: store.Entry{Key: "d", Value: []byte("panic")}}, {Entry: store.Entry{Key: "e"}}})
	require.Len(t, s.registry.Targets(), 3)
	s.Apply([]store.Change{{Entry: store.Entry{Key: "panic"}}, {Entry: store.Entry{Key: "panic"}, Removed: true}, {Entry: store.Entry{Key: "f"}}})
	require.Len(t, s.registry.Targets(), 4)
	s.Reset([]store.Entry{{Key: "panic"}, {Key: "g"}}, 1)
	require.True(t, s.registry.Targets()[len(s.registry.Targets())-1].Target == "g")
}
