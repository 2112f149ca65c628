package quarantine

import "time"

// Snapshot is the evidence of one host, which a host that starts takes over. Notices reach only hosts that run at that moment.
type Snapshot struct {
	Reports     []Report     `msgpack:"reports"`
	Quarantines []Quarantine `msgpack:"quarantines"`
}

// Quarantine is a request that is refused for the time that is left.
type Quarantine struct {
	Fingerprint Fingerprint   `msgpack:"fingerprint"`
	Left        time.Duration `msgpack:"left"`
}

// Snapshot returns the evidence at now.
func (s *State) Snapshot(now time.Duration) Snapshot {
	var snapshot Snapshot
	s.losses.each(func(key lossKey, l *loss) {
		report := Report{Host: s.self, Target: key.target, Incarnation: key.incarnation}
		for fingerprint, alone := range l.ranAlone {
			report.Entries = append(report.Entries, Entry{Fingerprint: fingerprint, Alone: alone})
		}
		if len(report.Entries) > 0 && len(report.Entries) <= maxSuspectsPerLoss {
			snapshot.Reports = append(snapshot.Reports, report)
		}
	})
	s.suspects.each(func(fingerprint Fingerprint, found *suspect) {
		if now < found.quarantinedUntil {
			snapshot.Quarantines = append(snapshot.Quarantines, Quarantine{fingerprint, found.quarantinedUntil - now})
		}
	})
	return snapshot
}

// Merge takes over the evidence of another host. Quarantines last as long as there; they do not begin again.
func (s *State) Merge(now time.Duration, snapshot Snapshot) {
	for _, report := range snapshot.Reports {
		if len(report.Entries) <= maxSuspectsPerLoss {
			s.addEntries(report)
		}
	}
	for _, q := range snapshot.Quarantines {
		found := s.suspectOf(q.Fingerprint)
		found.quarantinedUntil = max(found.quarantinedUntil, now+min(q.Left, quarantineDuration))
	}
}
