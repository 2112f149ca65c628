package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

func report(incarnation, sequence uint64, draining bool) Registration {
	return Registration{
		Target: "t", Service: "s", Address: "10.0.0.1:80", DataCentre: "dc", Slots: 2, Draining: draining,
		Incarnation: model.Incarnation(incarnation), Sequence: sequence,
	}
}

// TestOlderReportChangesNothing guards against a delayed report that ends the draining of a target, and against comparing
// the sequence numbers of different incarnations of the same target ID.
func TestOlderReportChangesNothing(t *testing.T) {
	r := New()
	require.Equal(t, Added, r.Put(0, report(5, 3, false)))
	require.Equal(t, Drained, r.Put(0, report(5, 5, true)))
	require.Equal(t, Outdated, r.Put(0, report(5, 4, false)))
	require.Equal(t, Updated, r.Put(0, report(5, 6, false)))
	require.True(t, r.Targets()[0].Draining, "a target must not stop draining within one incarnation")
	require.Equal(t, Outdated, r.Put(0, report(4, 99, false)))
	require.Equal(t, Updated, r.Put(0, report(6, 1, false)))
	require.False(t, r.Targets()[0].Draining, "a new incarnation must have its own sequence")
}

// TestLateReportDoesNotRestoreRemovedTarget guards against a delayed report that registers a removed target again.
func TestLateReportDoesNotRestoreRemovedTarget(t *testing.T) {
	r := New()
	r.Put(0, report(5, 3, false))
	require.Equal(t, Removed, r.Delete(time.Second, "t"))
	require.Equal(t, Outdated, r.Put(time.Second, report(5, 3, false)))
	require.Empty(t, r.Targets())
	require.Equal(t, Added, r.Put(time.Second, report(5, 4, false)))
}

// TestLapsedRegistrationsAreHeld guards against removing live targets whose registrations lapsed while the store was
// unreachable, and against keeping targets that do not renew their registration.
func TestLapsedRegistrationsAreHeld(t *testing.T) {
	r := New()
	r.Put(0, report(5, 3, false))
	other := report(5, 3, false)
	other.Target = "gone"
	r.Put(0, other)
	r.SourceLost()
	require.Empty(t, r.Expire(time.Hour))
	regained := time.Hour
	r.SourceRegained(regained)
	require.Equal(t, Held, r.Delete(regained, "t"))
	require.Equal(t, Held, r.Delete(regained, "gone"))
	require.Equal(t, Updated, r.Put(regained+time.Second, report(5, 4, false)))
	require.Empty(t, r.Expire(regained+2*time.Second))
	require.Equal(t, []model.TargetID{"gone"}, r.Expire(regained+lapseGrace))
	require.Len(t, r.Targets(), 1)
	require.Equal(t, Removed, r.Delete(regained+lapseGrace, "t"), "after the grace period, Delete must remove targets immediately")
}

// TestDrainingTargetIsNotHeld guards against keeping a draining target whose registration ends during an outage.
func TestDrainingTargetIsNotHeld(t *testing.T) {
	r := New()
	r.Put(0, report(5, 3, true))
	r.SourceLost()
	require.Equal(t, Removed, r.Delete(0, "t"))
}

// TestRegistryHoldsNewestReport checks that the registry ends up with the newest report by incarnation and
// sequence, whatever the order of arrival.
func TestRegistryHoldsNewestReport(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New()
		reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Registration {
			return report(rapid.Uint64Range(1, 3).Draw(t, "incarnation"), rapid.Uint64Range(1, 5).Draw(t, "sequence"), false)
		}), 1, 20).Draw(t, "reports")
		latest := reports[0]
		for _, one := range reports {
			r.Put(0, one)
			if isNewer(one, latest.Incarnation, latest.Sequence) {
				latest = one
			}
		}
		require.Equal(t, latest, r.Targets()[0].Registration)
	})
}
