package processtest

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestKilledHostDoesNotStopTheOthers guards against hosts that need one another to answer a search.
func TestKilledHostDoesNotStopTheOthers(t *testing.T) {
	c := Start(t, Small(3))
	c.Hosts[0].Kill()
	for range 20 {
		for _, h := range c.Hosts[1:] {
			reply, refusal := h.Search("after the kill")
			require.Nil(t, refusal)
			require.Equal(t, reply.Coverage.Total, reply.Coverage.Answered)
		}
	}
	c.Hosts[0].Start()
	c.Hosts[0].AwaitFullCoverage()
}
