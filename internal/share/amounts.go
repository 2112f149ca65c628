package share

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// effective returns the part of the grant that this host owns: the smallest of its parts in the tables that it held
// within the takeover wait. Another host may still use the rest.
func (s *State) effective(e *entry, now time.Duration) float64 {
	lowest := math.Inf(1)
	for _, table := range s.tables {
		if table.replacedAt == never || table.replacedAt+e.key.takeoverWait() > now {
			lowest = min(lowest, s.part(e, table))
		}
	}
	return lowest
}

func (s *State) part(e *entry, table heldTable) float64 {
	if len(table.hosts) == 0 {
		return 0
	}
	if part, ok := e.shares[table.generation]; ok {
		return part
	}
	owners := table.owners(e.key)
	part := portion(e.key.Kind, e.grant, slices.Index(owners, s.cfg.Self), len(owners))
	if e.shares == nil {
		e.shares = map[uint64]float64{}
	}
	e.shares[table.generation] = part
	return part
}

// lenders returns the other owners of the key in the newest table and notes their parts.
func (s *State) lenders(e *entry) []model.HostID {
	newest := s.newest()
	if e.portions == nil || e.portionsOf != newest.generation || e.portionsGrant != e.grant {
		e.portions = map[model.HostID]float64{}
		e.portionsOf = newest.generation
		e.portionsGrant = e.grant
		owners := newest.owners(e.key)
		for position, owner := range owners {
			if part := portion(e.key.Kind, e.grant, position, len(owners)); owner != s.cfg.Self && part > 0 {
				e.portions[owner] = part
			}
		}
	}
	return slices.Sorted(maps.Keys(e.portions))
}

// advance carries the entry to now, past each end of a loan and each gain of a share in order, so that every token is
// counted at the rate that was in force when it accrued.
func (s *State) advance(e *entry, now time.Duration) {
	for next := s.nextChange(e); next <= now; next = s.nextChange(e) {
		e.bucket.advance(next)
		e.expireBorrowed(next)
		e.expireLent(next)
		e.bucket.setRate(s.bucketRate(e, next))
		e.bucket.at = max(e.bucket.at, next)
	}
	e.bucket.advance(now)
	e.expireLent(now)
}

func (s *State) advanceAll(now time.Duration) {
	for _, e := range s.entries {
		s.advance(e, now)
	}
}

// nextChange returns the earliest change of the usable amount after the bucket's time.
func (s *State) nextChange(e *entry) time.Duration {
	next := min(e.nextBorrowedExpiry(), e.nextLentExpiry())
	for _, table := range s.tables {
		if table.replacedAt == never {
			continue
		}
		if gain := table.replacedAt + e.key.takeoverWait(); gain > e.bucket.at {
			next = min(next, gain)
		}
	}
	return next
}

func (s *State) bucketRate(e *entry, now time.Duration) float64 {
	if e.key.Kind.isUnits() {
		return 0
	}
	return s.usable(e, now)
}

// refreshRate applies a change of the usable amount at now.
func (s *State) refreshRate(e *entry, now time.Duration) {
	e.bucket.advance(now)
	e.bucket.setRate(s.bucketRate(e, now))
}

// forgetTables drops replaced tables that have no effect any more.
func (s *State) forgetTables(now time.Duration) {
	longest := Key{Kind: InFlight}.takeoverWait()
	kept := s.tables[:0]
	for _, table := range s.tables {
		if table.replacedAt == never || table.replacedAt+longest > now {
			kept = append(kept, table)
			continue
		}
		for _, e := range s.entries {
			delete(e.shares, table.generation)
		}
	}
	s.tables = kept
}

// activeKeys returns the keys that Tick has work for. An idle caller costs one comparison.
func (s *State) activeKeys(now time.Duration) []Key {
	var keys []Key
	for key, e := range s.entries {
		if e.grant <= 0 || now-e.usedAt <= lenderTerm(LongestTerm) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.ID, b.ID))
	})
	return keys
}

func sortSends(sends []Send) {
	slices.SortFunc(sends, func(a, b Send) int { return cmp.Compare(a.To, b.To) })
}
