package share

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// ownedAmount returns the part of the grant that this host owns: the smallest of its shares in the tables that
// were in force within the takeover wait. Until the wait is over, another host may still use the difference.
func (s *State) ownedAmount(e *entry, now time.Duration) float64 {
	lowest := math.Inf(1)
	for _, table := range s.tables {
		if table.replacedAt == never || table.replacedAt+e.key.takeoverWait() > now {
			lowest = min(lowest, s.ownShare(e, table))
		}
	}
	return lowest
}

func (s *State) ownShare(e *entry, table heldTable) float64 {
	if len(table.hosts) == 0 {
		return 0
	}
	if part, ok := e.shares[table.generation]; ok {
		return part
	}
	owners := table.owners(e.key)
	part := ownerShare(e.key.Kind, e.grant, slices.Index(owners, s.cfg.Self), len(owners))
	if e.shares == nil {
		e.shares = map[uint64]float64{}
	}
	e.shares[table.generation] = part
	return part
}

// otherOwners returns the other owners of the key in the newest table and caches their shares in ownerShares.
func (s *State) otherOwners(e *entry) []model.HostID {
	newest := s.newest()
	if e.ownerShares == nil || e.ownerSharesGeneration != newest.generation || e.ownerSharesGrant != e.grant {
		e.ownerShares = map[model.HostID]float64{}
		e.ownerSharesGeneration = newest.generation
		e.ownerSharesGrant = e.grant
		owners := newest.owners(e.key)
		for position, owner := range owners {
			if part := ownerShare(e.key.Kind, e.grant, position, len(owners)); owner != s.cfg.Self && part > 0 {
				e.ownerShares[owner] = part
			}
		}
	}
	return slices.Sorted(maps.Keys(e.ownerShares))
}

// advance brings the entry up to now. It stops at each loan expiry and each share increase in order, so that
// tokens accrue at the rate in force at the time.
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

// nextChange returns the earliest time after the bucket's timestamp at which the usable amount changes.
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

// refreshRate recomputes the bucket's rate at now, after the usable amount has changed.
func (s *State) refreshRate(e *entry, now time.Duration) {
	e.bucket.advance(now)
	e.bucket.setRate(s.bucketRate(e, now))
}

// pruneTables removes replaced tables whose takeover wait is over for every kind of key.
func (s *State) pruneTables(now time.Duration) {
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

// activeKeys returns the sorted keys that Tick has to process. An idle key costs one comparison.
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

func sortMessages(messages []OutgoingMessage) {
	slices.SortFunc(messages, func(a, b OutgoingMessage) int { return cmp.Compare(a.To, b.To) })
}
