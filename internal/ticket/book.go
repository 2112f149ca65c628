package ticket

import (
	"cmp"
	"slices"

	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// Config bounds the ledgers of a host.
type Config struct {
	// Origin is this run of this host.
	Origin Origin
	// Address is the IP:port of this host's peer listener.
	Address string
	Limits  Limits
	// AdoptedBytes is the memory of all ledgers taken over from other hosts, in bytes.
	AdoptedBytes int
	// ChunkBytes is the estimated size of a handover message, in bytes.
	ChunkBytes int
}

// DefaultConfig returns the bounds of a production host.
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
	// maxOrigins bounds the origins that a host remembers to have taken over. A forgotten one could be taken over twice,
	// so a full table refuses further ledgers.
	maxOrigins = 4096
	// maxChunks bounds the chunks of one ledger.
	maxChunks = 4096
	// maxIncoming bounds the ledgers that arrive at once. The oldest incomplete one is dropped over it: its sender has
	// died, or sends the chunk again.
	maxIncoming = 4
)

// Book holds the ledgers of a host: its own and those taken over. It is not safe for concurrent use.
type Book struct {
	cfg    Config
	own    *ledger
	closed bool
	// successor is the only host that the ledgers are given to.
	successor Origin
	adopted   map[Origin]*ledger // nil for a ledger that was taken over and has aged out
	order     []Origin           // of adoption, for those that have not aged out
	incoming  map[Origin]*incoming
	started   []Origin // the incoming ledgers in the order of their first chunk
}

// New returns a book with an empty ledger.
func New(cfg Config) *Book {
	return &Book{
		cfg:      cfg,
		own:      newLedger(cfg.Limits),
		adopted:  map[Origin]*ledger{},
		incoming: map[Origin]*incoming{},
	}
}

// Issue returns a fresh ticket. It returns false once the book is closed.
func (b *Book) Issue(caller model.CallerID, service model.ServiceID) (Ticket, bool) {
	if b.closed {
		return Ticket{}, false
	}
	t := Ticket{
		Origin: b.cfg.Origin, Address: b.cfg.Address, Sequence: b.own.next, Caller: caller, Service: service,
	}
	b.own.next++
	return t, true
}

// Begin looks the ticket up and records it as running if it may be executed now. The fingerprint identifies the
// request's contents. The outcome is set for the verdict Finished.
func (b *Book) Begin(t Ticket, fingerprint uint64) (Verdict, Outcome) {
	l := b.find(t.Origin)
	if l == nil {
		return NotHeld, Outcome{}
	}
	return l.begin(t.Sequence, fingerprint)
}

// Finish records the outcome of a ticket that Begin let execute.
func (b *Book) Finish(t Ticket, outcome Outcome) {
	if l := b.find(t.Origin); l != nil {
		l.finish(t.Sequence, outcome)
	}
}

func (b *Book) find(origin Origin) *ledger {
	if origin == b.cfg.Origin {
		return b.own
	}
	return b.adopted[origin]
}

// Holds tells whether this host has the ledger of the origin.
func (b *Book) Holds(origin Origin) bool { return b.find(origin) != nil }

// Close ends all issue and execution on this host, for good.
func (b *Book) Close() {
	b.closed = true
	b.own.closed = true
	for _, l := range b.adopted {
		if l != nil {
			l.closed = true
		}
	}
	clear(b.incoming)
	b.started = nil
}

// Export returns the closed ledgers in chunks for the successor. It returns nil while the book is open, because a ledger
// that is open here must not be used elsewhere, and for any successor but the first one named.
func (b *Book) Export(successor Origin) []Chunk {
	if b.successor == (Origin{}) {
		b.successor = successor
	}
	if !b.closed || b.successor != successor {
		return nil
	}
	chunks := b.own.chunks(b.cfg.Origin, successor, b.cfg.ChunkBytes)
	for _, origin := range b.order {
		chunks = append(chunks, b.adopted[origin].chunks(origin, successor, b.cfg.ChunkBytes)...)
	}
	return chunks
}

// Receive takes a chunk of another host's ledger. It returns true once the ledger is complete and held here. Chunks may
// arrive in any order and more than once.
func (b *Book) Receive(chunk Chunk) (bool, error) {
	if chunk.Total < 1 || chunk.Total > maxChunks || chunk.Index < 0 || chunk.Index >= chunk.Total {
		return false, ErrChunk
	}
	if l, known := b.adopted[chunk.Origin]; known {
		return l != nil, nil
	}
	if b.closed || chunk.Successor != b.cfg.Origin || len(b.adopted)+len(b.incoming) >= maxOrigins {
		return false, ErrRefused
	}
	in := b.incoming[chunk.Origin]
	if in == nil {
		in = b.startIncoming(chunk)
	}
	if err := in.add(chunk); err != nil {
		b.dropIncoming(chunk.Origin)
		return false, err
	}
	if in.complete() {
		b.adopt(chunk.Origin, in.ledger)
	}
	return in.complete(), nil
}

func (b *Book) startIncoming(chunk Chunk) *incoming {
	for len(b.started) >= maxIncoming {
		b.dropIncoming(b.started[0])
	}
	in := newIncoming(b.cfg.Limits, chunk)
	b.incoming[chunk.Origin] = in
	b.started = append(b.started, chunk.Origin)
	return in
}

func (b *Book) dropIncoming(origin Origin) {
	delete(b.incoming, origin)
	b.started = slices.DeleteFunc(b.started, func(o Origin) bool { return o == origin })
}

// adopt takes a complete ledger and lets the oldest taken-over ones age out over the bound.
func (b *Book) adopt(origin Origin, l *ledger) {
	b.dropIncoming(origin)
	b.adopted[origin] = l
	b.order = append(b.order, origin)
	for len(b.order) > 1 && b.adoptedBytes() > b.cfg.AdoptedBytes {
		b.adopted[b.order[0]] = nil
		b.order = b.order[1:]
	}
}

func (b *Book) adoptedBytes() int {
	sum := 0
	for _, origin := range b.order {
		sum += b.adopted[origin].bytes
	}
	return sum
}

// Statistics describes a book for state dumps.
type Statistics struct {
	Closed       bool     `json:"closed"`
	Issued       uint64   `json:"issued"`
	LowWater     uint64   `json:"low_water"`
	Records      int      `json:"records"`
	Bytes        int      `json:"bytes"`
	Adopted      []Origin `json:"adopted"`
	AdoptedBytes int      `json:"adopted_bytes"`
}

// Statistics returns the present sizes.
func (b *Book) Statistics() Statistics {
	adopted := slices.Clone(b.order)
	slices.SortFunc(adopted, func(x, y Origin) int { return cmp.Compare(x.Host, y.Host) })
	return Statistics{
		Closed: b.closed, Issued: b.own.next, LowWater: b.own.lowWater, Records: len(b.own.records),
		Bytes: b.own.bytes, Adopted: adopted, AdoptedBytes: b.adoptedBytes(),
	}
}

// UnknownOutcome returns the outcome of a ticket whose use cannot be determined any more.
func UnknownOutcome() Outcome {
	return Outcome{Execution: fault.OutcomeUnknown, Fault: fault.New(fault.TicketGone, fault.OutcomeUnknown,
		"read the state from the service itself; do not send the operation again without it",
		"no host can tell any more whether the ticket was used")}
}
