package processtest

import (
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/deployment"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// BenchmarkEntryHost measures the CPU time of a whole host process per search, for different numbers of shards: caller
// listener, routing decisions, connections to targets and control. The targets are stand-ins in another process.
func BenchmarkEntryHost(b *testing.B) {
	for _, shards := range []int{10, 30, 61} {
		b.Run(fmt.Sprint(shards), func(b *testing.B) {
			d := Small(1)
			server := deployment.Server{Slots: 16, Connections: 60, ConnectMS: 1}
			d.Indexes = []deployment.Index{{ID: "parts", Groups: shards, ServersPerGroup: 2, Server: server}}
			d.Searches = []model.Search{{ID: "parts", Indexes: []model.IndexID{"parts"}}}
			c := Start(b, d)
			h := c.Hosts[0]
			const queries, workers = 2000, 4
			for range b.N {
				var wg sync.WaitGroup
				for range workers {
					wg.Go(func() {
						for i := range queries / workers {
							_, refusal := h.Search(fmt.Sprint("load-", i))
							require.Nil(b, refusal)
						}
					})
				}
				wg.Wait()
			}
			h.Terminate()
			h.AwaitExit()
			state := h.command.ProcessState
			spent := state.UserTime() + state.SystemTime()
			sent := float64(queries * b.N)
			b.ReportMetric(float64(spent.Microseconds())/sent, "cpu-µs/query")
			b.ReportMetric(float64(spent.Microseconds())/sent/float64(shards), "cpu-µs/attempt")
		})
	}
}
