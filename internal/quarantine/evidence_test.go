package quarantine

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// crashDuringRun crashes the target while request 1 and the given number of other requests are in flight there. It
// returns the verdict for request 1 before the crash.
func crashDuringRun(s *State, target model.TargetID, incarnation model.Incarnation, others int) Verdict {
	s.ObserveIncarnation(0, target, incarnation)
	run := s.Admit(0, 1)
	for i := range 1 + others {
		s.Started(Attempt{
			ID: model.AttemptID{Sequence: uint64(i)}, Target: target,
			Fingerprint: Fingerprint(1 + i), Alone: i == 0 && run.Verdict == Alone,
		})
	}
	for i := range 1 + others {
		s.Lost(0, model.AttemptID{Sequence: uint64(i)}, target)
	}
	s.End(run, false)
	return run.Verdict
}

// TestBusyHostsQuarantineAfterThreeIsolatedRuns guards against evidence that becomes too weak under load, when many
// requests are in flight at each lost target.
func TestBusyHostsQuarantineAfterThreeIsolatedRuns(t *testing.T) {
	s := New("h")
	var verdicts []Verdict
	for _, target := range []model.TargetID{"a", "b", "c", "d", "e"} {
		verdicts = append(verdicts, crashDuringRun(s, target, 1, 19))
	}
	require.Equal(t, []Verdict{Normal, Alone, Alone, Alone, Quarantined}, verdicts)
}

// TestUnstableTargetCausesNoQuarantine guards against quarantining requests to a target that crashes regardless of
// what it is sent.
func TestUnstableTargetCausesNoQuarantine(t *testing.T) {
	s := New("h")
	for i := range 5 {
		require.NotEqual(t, Quarantined, crashDuringRun(s, "sick", model.Incarnation(i+1), 0))
	}
}

// TestSuspectRunsOnceAtATime guards against concurrent copies of a suspect each crashing a target.
func TestSuspectRunsOnceAtATime(t *testing.T) {
	s := New("h")
	crashDuringRun(s, "a", 1, 0)
	first := s.Admit(0, 1)
	require.Equal(t, Alone, first.Verdict)
	require.Equal(t, Busy, s.Admit(0, 1).Verdict)
	s.End(first, true)
	require.Equal(t, Normal, s.Admit(0, 1).Verdict, "the complete run cleared the request")
}

// TestLaterReportReleasesQuarantinedRequest guards against holding an innocent request in quarantine after a report
// shows that other requests were at the lost targets too.
func TestLaterReportReleasesQuarantinedRequest(t *testing.T) {
	s := New("h")
	crashDuringRun(s, "a", 1, 1)
	crashDuringRun(s, "b", 1, 0)
	require.Equal(t, Quarantined, s.Admit(0, 1).Verdict)
	entries := []Entry{{Fingerprint: 100, Alone: true}, {Fingerprint: 101}, {Fingerprint: 102}}
	s.Step(0, Message{Report: &Report{Host: "other", Target: "b", Incarnation: 1, Entries: entries}})
	require.Equal(t, Alone, s.Admit(0, 1).Verdict)
}

// TestRequestsSentAfterCrashAreNotSuspected guards against suspecting requests that were sent to a target after it had
// crashed.
func TestRequestsSentAfterCrashAreNotSuspected(t *testing.T) {
	s := New("h")
	crashDuringRun(s, "a", 1, 0)
	id := model.AttemptID{Sequence: 9}
	s.Started(Attempt{ID: id, Target: "a", Fingerprint: 7})
	s.Lost(0, id, "a")
	require.Equal(t, Normal, s.Admit(0, 7).Verdict)
	s.ObserveIncarnation(0, "a", 2)
	s.Started(Attempt{ID: id, Target: "a", Fingerprint: 7})
	s.Lost(0, id, "a")
	require.Equal(t, Alone, s.Admit(0, 7).Verdict, "the next incarnation of the target counts again")
}

// TestIsolatedRunCountsDespiteEarlierRun guards against ignoring a lost isolated run because an earlier run of the
// same request is in flight at the same target.
func TestIsolatedRunCountsDespiteEarlierRun(t *testing.T) {
	for range 20 { // the result must not depend on map order
		s := New("h")
		crashDuringRun(s, "a", 1, 0)
		s.ObserveIncarnation(0, "b", 1)
		s.Started(Attempt{ID: model.AttemptID{Sequence: 8}, Target: "b", Fingerprint: 1})
		s.Started(Attempt{ID: model.AttemptID{Sequence: 9}, Target: "b", Fingerprint: 1, Alone: true})
		s.Lost(0, model.AttemptID{Sequence: 8}, "b")
		require.Equal(t, Quarantined, s.Admit(0, 1).Verdict)
	}
}
