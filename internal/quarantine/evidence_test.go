package quarantine

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// lose lets the target crash while the request is in flight there beside others, and returns the verdict before it.
func lose(s *State, target model.TargetID, incarnation model.Incarnation, beside int) Verdict {
	s.Seen(0, target, incarnation)
	run := s.Admit(0, 1)
	for i := range 1 + beside {
		s.Started(Attempt{
			ID: model.AttemptID{Sequence: uint64(i)}, Target: target,
			Fingerprint: Fingerprint(1 + i), Alone: i == 0 && run.Verdict == Alone,
		})
	}
	for i := range 1 + beside {
		s.Lost(0, model.AttemptID{Sequence: uint64(i)}, target)
	}
	s.End(run, false)
	return run.Verdict
}

// TestBusyHostsQuarantineAfterThreeRunsAlone guards against evidence that gets thinner with the load.
func TestBusyHostsQuarantineAfterThreeRunsAlone(t *testing.T) {
	s := New("h")
	var verdicts []Verdict
	for _, target := range []model.TargetID{"a", "b", "c", "d", "e"} {
		verdicts = append(verdicts, lose(s, target, 1, 19))
	}
	require.Equal(t, []Verdict{Normal, Alone, Alone, Alone, Quarantined}, verdicts)
}

// TestSickTargetQuarantinesNothing guards against a target that crashes by itself, whatever it is sent.
func TestSickTargetQuarantinesNothing(t *testing.T) {
	s := New("h")
	for i := range 5 {
		require.NotEqual(t, Quarantined, lose(s, "sick", model.Incarnation(i+1), 0))
	}
}

// TestSuspectRunsOnceAtATime guards against copies of a suspect that each lose a target.
func TestSuspectRunsOnceAtATime(t *testing.T) {
	s := New("h")
	lose(s, "a", 1, 0)
	first := s.Admit(0, 1)
	require.Equal(t, Alone, first.Verdict)
	require.Equal(t, Busy, s.Admit(0, 1).Verdict)
	s.End(first, true)
	require.Equal(t, Normal, s.Admit(0, 1).Verdict, "the whole run cleared it")
}

// TestFurtherReportReleases guards against an innocent request that seemed to be the only one at two lost targets.
func TestFurtherReportReleases(t *testing.T) {
	s := New("h")
	lose(s, "a", 1, 1)
	lose(s, "b", 1, 0)
	require.Equal(t, Quarantined, s.Admit(0, 1).Verdict)
	entries := []Entry{{Fingerprint: 100, Alone: true}, {Fingerprint: 101}, {Fingerprint: 102}}
	s.Step(0, Message{Report: &Report{Host: "other", Target: "b", Incarnation: 1, Entries: entries}})
	require.Equal(t, Alone, s.Admit(0, 1).Verdict)
}

// TestLostTargetAccusesNobodyTwice guards against requests that become suspects because they were sent to a target which
// had crashed before.
func TestLostTargetAccusesNobodyTwice(t *testing.T) {
	s := New("h")
	lose(s, "a", 1, 0)
	id := model.AttemptID{Sequence: 9}
	s.Started(Attempt{ID: id, Target: "a", Fingerprint: 7})
	s.Lost(0, id, "a")
	require.Equal(t, Normal, s.Admit(0, 7).Verdict)
	s.Seen(0, "a", 2)
	s.Started(Attempt{ID: id, Target: "a", Fingerprint: 7})
	s.Lost(0, id, "a")
	require.Equal(t, Alone, s.Admit(0, 7).Verdict, "the next run of the target counts again")
}

// TestRunAloneCountsBesideAnEarlierRun guards against a lost run alone that an earlier run of the same request at the same
// target hides.
func TestRunAloneCountsBesideAnEarlierRun(t *testing.T) {
	for range 20 { // the order of a map must not matter
		s := New("h")
		lose(s, "a", 1, 0)
		s.Seen(0, "b", 1)
		s.Started(Attempt{ID: model.AttemptID{Sequence: 8}, Target: "b", Fingerprint: 1})
		s.Started(Attempt{ID: model.AttemptID{Sequence: 9}, Target: "b", Fingerprint: 1, Alone: true})
		s.Lost(0, model.AttemptID{Sequence: 8}, "b")
		require.Equal(t, Quarantined, s.Admit(0, 1).Verdict)
	}
}
