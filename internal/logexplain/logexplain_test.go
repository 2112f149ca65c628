package logexplain

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func explain(t *testing.T, id string, logs ...string) (Explanation, bool) {
	var readers []io.ReadSeeker
	for _, log := range logs {
		readers = append(readers, strings.NewReader(log))
	}
	found, ok, err := Explain(readers, id)
	require.NoError(t, err)
	return found, ok
}

const refused = `{"ts":"2026-01-01T00:00:10.5Z","msg":"request refused","host":"h1","id":"abc","kind":"not_ready","execution":"not_run","reason":"r"}`

// TestEvidenceMatchesTimeAndHost guards against evidence from other hosts or other times.
func TestEvidenceMatchesTimeAndHost(t *testing.T) {
	line := func(second int, host, message string) string {
		return fmt.Sprintf(`{"ts":"2026-01-01T00:00:%02dZ","msg":%q,"host":%q}`, second, message, host)
	}
	found, ok := explain(t, "abc",
		"not JSON\n {broken\n"+line(9, "h1", "host started")+"\n"+refused+"\n"+line(11, "h1", "configuration in force")+"\n"+line(40, "h1", "store lost"),
		line(10, "h2", "store lost"))
	require.True(t, ok)
	require.Len(t, found.Lines, 1)
	require.Len(t, found.Evidence, 2)
	require.Contains(t, string(found.Evidence[0]), "host started")
	require.Contains(t, found.Causes[0], "no configuration")
}

// TestOtherFailuresOfATargetAreEvidence guards against missing that a target also failed other requests.
func TestOtherFailuresOfATargetAreEvidence(t *testing.T) {
	line := func(id, ended string) string {
		return fmt.Sprintf(`{"ts":"2026-01-01T00:00:10Z","msg":"request partial","host":"h-%s","id":%q,"answered":1,"shards":2,"took_ms":60,`+
			`"attempts":[{"service":"s","target":"t1","kind":"first","sent_ms":1%s}]}`, id, id, ended)
	}
	found, ok := explain(t, "abc", line("abc", "")+"\n"+line("slow", "")+"\n"+line("fine", `,"ended_ms":5`))
	require.True(t, ok)
	require.Len(t, found.Evidence, 1)
	require.Contains(t, string(found.Evidence[0]), "slow")
	require.Equal(t, "first attempt at t1 of s, sent at 1 ms, expected to take 0 ms: no answer for 59 ms", found.Causes[1])
}

// TestCrashesExplainAQuarantinedRequest guards against an explanation of a quarantine without the crashes, which other hosts
// found minutes before.
func TestCrashesExplainAQuarantinedRequest(t *testing.T) {
	verdict := func(fingerprint string) string {
		return fmt.Sprintf(`{"ts":"2026-01-01T00:00:01Z","msg":"lost attempt judged","host":"h9","verdict":"target refuses","fingerprint":%q}`, fingerprint)
	}
	found, ok := explain(t, "abc", `{"ts":"2026-01-01T00:01:30Z","msg":"request refused","host":"h1","id":"abc","kind":"quarantined",`+
		`"execution":"not_run","reason":"r","fingerprint":"f1"}`, verdict("f1")+"\n"+verdict("f2"))
	require.True(t, ok)
	require.Len(t, found.Evidence, 1)
	require.Contains(t, string(found.Evidence[0]), "f1")
}

// TestEvidenceIsBounded guards against unreadably long explanations and requires the lines closest to the request to be
// kept.
func TestEvidenceIsBounded(t *testing.T) {
	var log strings.Builder
	for i := range 200 {
		fmt.Fprintf(&log, `{"ts":"2026-01-01T00:00:%02d.%03dZ","msg":"store lost","host":"h1"}`+"\n", 6+i/25, i%25*40)
	}
	found, ok := explain(t, "abc", refused+"\n"+log.String())
	require.True(t, ok)
	require.Len(t, found.Evidence, maxEvidence)
	require.Contains(t, string(found.Evidence[maxEvidence/2]), "00:00:10")
}

// TestUnknownRequestIsReported guards against an empty explanation for an unknown request ID.
func TestUnknownRequestIsReported(t *testing.T) {
	_, ok := explain(t, "xyz", refused)
	require.False(t, ok)
}
