package share

import "time"

// KeyDump is the state of one key at this host, for state dumps. Amounts are rates per second or units.
type KeyDump struct {
	Kind     Kind    `json:"kind"`
	ID       string  `json:"id"`
	Grant    float64 `json:"grant"`
	Owned    float64 `json:"owned"`
	Lent     float64 `json:"lent"`
	Borrowed float64 `json:"borrowed"`
	Usable   float64 `json:"usable"`
	Wanted   float64 `json:"wanted"`
	InUse    float64 `json:"in_use"`
}

// maxDump bounds the number of keys in a dump.
const maxDump = 1000

// Dump returns the state of the active keys.
func (s *State) Dump(now time.Duration) []KeyDump {
	var dump []KeyDump
	for _, key := range s.activeKeys(now) {
		if len(dump) == maxDump {
			break
		}
		e := s.entries[key]
		s.advance(e, now)
		dump = append(dump, KeyDump{
			Kind:     key.Kind,
			ID:       key.ID,
			Grant:    e.grant,
			Owned:    s.ownedAmount(e, now),
			Lent:     e.lent(),
			Borrowed: e.borrowed(),
			Usable:   s.usable(e, now),
			Wanted:   e.wanted(now),
			InUse:    e.inUse(),
		})
	}
	return dump
}
