package quarantine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
)

// TestRestartedHostKeepsQuarantines guards against a host that runs a quarantined request after a restart, because the notices
// came before it.
func TestRestartedHostKeepsQuarantines(t *testing.T) {
	s := New("h")
	crashDuringRun(s, "a", 1, 0)
	crashDuringRun(s, "b", 1, 0)
	require.Equal(t, Quarantined, s.Admit(0, 1).Verdict)
	crashDuringRun(s, "c", 1, 3) // requests 2 to 4 were beside it
	encoded, err := msgpack.Marshal(s.Snapshot(time.Minute))
	require.NoError(t, err)
	var snapshot Snapshot
	require.NoError(t, msgpack.Unmarshal(encoded, &snapshot))

	restarted := New("h")
	const started = time.Second // its clock begins anew
	restarted.Merge(started, snapshot)
	restarted.Merge(started, snapshot)
	run := restarted.Admit(started, 1)
	require.Equal(t, Quarantined, run.Verdict)
	require.Equal(t, quarantineDuration-time.Minute, run.RetryAfter, "the quarantine does not begin again")
	require.Equal(t, Alone, restarted.Admit(started, 2).Verdict, "a suspect runs alone")
	require.Equal(t, Normal, restarted.Admit(started, 9).Verdict)
	after := started + quarantineDuration
	require.Equal(t, Alone, restarted.Admit(after, 1).Verdict)
}
