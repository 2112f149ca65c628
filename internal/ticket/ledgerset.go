package ticket

import (
	"cmp"
	"slices"

	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Config configures the ledgers of a host.
type Config struct {
	// Origin is the current incarnation of this host.
	Origin Origin
	// Address is the IP:port of this host's peer listener.
	Address string
	Limits  Limits
	// AdoptedBytes bounds the memory of all ledgers adopted from other hosts, in bytes.
	AdoptedBytes int
	// ChunkBytes is the estimated size above which handover messages are split, in bytes.
	ChunkBytes int
}

// DefaultConfig returns the configuration for production hosts.
func DefaultConfig(origin Origin, address string) Config {
	return Config{
		Origin:       origin,
		Address:      address,
		Limits:       Limits{Records: 65_536, Bytes: 16 << 20, ResultBytes: 16 << 10},
		AdoptedBytes: 16 << 20,
		ChunkBytes:   32 << 10,
	}
}

const (
	// maxOrigins bounds the origins whose ledgers a host remembers to have adopted. A forgotten ledger could be
	// adopted a second time, so a full table refuses further ledgers.
	maxOrigins = 4096
	// maxChunks bounds the chunks of one ledger.
	maxChunks = 4096
	// maxIncoming bounds the ledgers being received at once. Above it, the oldest incomplete one is dropped: its
	// sender has died, or will send the chunks again.
	maxIncoming = 4
)

// LedgerSet holds the ledgers of a host: its own and those adopted from other hosts. It is not safe for concurrent
// use.
type LedgerSet struct {
	cfg    Config
	own    *ledger
	closed bool
	// successor is the only host that may receive the ledgers.
	successor     Origin
	adopted       map[Origin]*ledger // nil for an adopted ledger that has been evicted
	adoptedOrder  []Origin           // the adopted ledgers that have not been evicted, oldest first
	incoming      map[Origin]*incoming
	incomingOrder []Origin // the incoming ledgers in the order of their first chunk
}

// New returns a set with an empty ledger of its own.
func New(cfg Config) *LedgerSet {
	return &LedgerSet{
		cfg:      cfg,
		own:      newLedger(cfg.Limits),
		adopted:  map[Origin]*ledger{},
		incoming: map[Origin]*incoming{},
	}
}

// Issue returns a new ticket. It returns false once the set is closed.
func (s *LedgerSet) Issue(caller model.CallerID, service model.ServiceID) (Ticket, bool) {
	if s.closed {
		return Ticket{}, false
	}
	t := Ticket{
		Origin: s.cfg.Origin, Address: s.cfg.Address, Sequence: s.own.next, Caller: caller, Service: service,
	}
	s.own.next++
	return t, true
}

// Begin looks up the ticket and, if it may be executed now, records it as running. The fingerprint identifies the
// contents of the request. The outcome is set only for the verdict Finished.
func (s *LedgerSet) Begin(t Ticket, fingerprint uint64) (Verdict, Outcome) {
	l := s.ledgerOf(t.Origin)
	if l == nil {
		return NotHeld, Outcome{}
	}
	return l.begin(t.Sequence, fingerprint)
}

// Finish records the outcome of a ticket for which Begin returned Execute.
func (s *LedgerSet) Finish(t Ticket, outcome Outcome) {
	if l := s.ledgerOf(t.Origin); l != nil {
		l.finish(t.Sequence, outcome)
	}
}

func (s *LedgerSet) ledgerOf(origin Origin) *ledger {
	if origin == s.cfg.Origin {
		return s.own
	}
	return s.adopted[origin]
}

// Holds reports whether this host has the ledger of the origin.
func (s *LedgerSet) Holds(origin Origin) bool { return s.ledgerOf(origin) != nil }

// Close permanently stops issuing and executing tickets on this host.
func (s *LedgerSet) Close() {
	s.closed = true
	s.own.closed = true
	for _, l := range s.adopted {
		if l != nil {
			l.closed = true
		}
	}
	clear(s.incoming)
	s.incomingOrder = nil
}

// Export returns the closed ledgers as chunks for the successor. It returns nil while the set is open, because an
// open ledger must not be used on two hosts, and for any successor other than the first one named.
func (s *LedgerSet) Export(successor Origin) []Chunk {
	if s.successor == (Origin{}) {
		s.successor = successor
	}
	if !s.closed || s.successor != successor {
		return nil
	}
	chunks := s.own.chunks(s.cfg.Origin, successor, s.cfg.ChunkBytes)
	for _, origin := range s.adoptedOrder {
		chunks = append(chunks, s.adopted[origin].chunks(origin, successor, s.cfg.ChunkBytes)...)
	}
	return chunks
}

// Receive adds a chunk of another host's ledger. It returns true once the ledger is complete and adopted by this
// host. Chunks may arrive in any order and more than once.
func (s *LedgerSet) Receive(chunk Chunk) (bool, error) {
	if chunk.Total < 1 || chunk.Total > maxChunks || chunk.Index < 0 || chunk.Index >= chunk.Total {
		return false, ErrInvalidChunk
	}
	if l, known := s.adopted[chunk.Origin]; known {
		return l != nil, nil
	}
	if s.closed || chunk.Successor != s.cfg.Origin || len(s.adopted)+len(s.incoming) >= maxOrigins {
		return false, ErrRefused
	}
	in := s.incoming[chunk.Origin]
	if in == nil {
		in = s.startIncoming(chunk)
	}
	if err := in.add(chunk); err != nil {
		s.dropIncoming(chunk.Origin)
		return false, err
	}
	if in.complete() {
		s.adopt(chunk.Origin, in.ledger)
	}
	return in.complete(), nil
}

func (s *LedgerSet) startIncoming(chunk Chunk) *incoming {
	for len(s.incomingOrder) >= maxIncoming {
		s.dropIncoming(s.incomingOrder[0])
	}
	in := newIncoming(s.cfg.Limits, chunk)
	s.incoming[chunk.Origin] = in
	s.incomingOrder = append(s.incomingOrder, chunk.Origin)
	return in
}

func (s *LedgerSet) dropIncoming(origin Origin) {
	delete(s.incoming, origin)
	s.incomingOrder = slices.DeleteFunc(s.incomingOrder, func(o Origin) bool { return o == origin })
}

// adopt adds a complete ledger and evicts the oldest adopted ones above the memory limit.
func (s *LedgerSet) adopt(origin Origin, l *ledger) {
	s.dropIncoming(origin)
	s.adopted[origin] = l
	s.adoptedOrder = append(s.adoptedOrder, origin)
	for len(s.adoptedOrder) > 1 && s.adoptedBytes() > s.cfg.AdoptedBytes {
		s.adopted[s.adoptedOrder[0]] = nil
		s.adoptedOrder = s.adoptedOrder[1:]
	}
}

func (s *LedgerSet) adoptedBytes() int {
	sum := 0
	for _, origin := range s.adoptedOrder {
		sum += s.adopted[origin].bytes
	}
	return sum
}

// Statistics summarizes a LedgerSet for state dumps.
type Statistics struct {
	Closed       bool     `json:"closed"`
	Issued       uint64   `json:"issued"`
	LowWater     uint64   `json:"low_water"`
	Records      int      `json:"records"`
	Bytes        int      `json:"bytes"`
	Adopted      []Origin `json:"adopted"`
	AdoptedBytes int      `json:"adopted_bytes"`
}

// Statistics returns the current sizes.
func (s *LedgerSet) Statistics() Statistics {
	adopted := slices.Clone(s.adoptedOrder)
	slices.SortFunc(adopted, func(x, y Origin) int { return cmp.Compare(x.Host, y.Host) })
	return Statistics{
		Closed: s.closed, Issued: s.own.next, LowWater: s.own.lowWater, Records: len(s.own.records),
		Bytes: s.own.bytes, Adopted: adopted, AdoptedBytes: s.adoptedBytes(),
	}
}

// UnknownOutcome returns the outcome of a ticket for which no host can tell any more whether it was used.
func UnknownOutcome() Outcome {
	return Outcome{Execution: fault.OutcomeUnknown, Fault: fault.New(fault.TicketGone, fault.OutcomeUnknown,
		"read the state from the service itself; do not send the operation again without it",
		"no host can tell any more whether the ticket was used")}
}
