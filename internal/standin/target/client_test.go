package target_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/standin/target"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient/targettest"
)

func TestClientConformance(t *testing.T) {
	targettest.Run(t, func(targets map[model.TargetID]*target.Target) (targetclient.TargetClient, func()) {
		return target.NewClient(targets, nil), func() {}
	})
}

// TestClientSpendsNetworkDelay guards against benchmarks that ignore the delay between data centres.
func TestClientSpendsNetworkDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		targets := targettest.NewTargets()
		client := target.NewClient(targets, func(model.Target) time.Duration { return 7 * time.Millisecond })
		started := time.Now()
		_, err := client.Status(context.Background(), model.Target{ID: "t"})
		require.NoError(t, err)
		require.Equal(t, 14*time.Millisecond, time.Since(started))
	})
}
