package ticket

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

func init() {
	_ = flag.Set("rapid.seed", "20261")
	_ = flag.Set("rapid.shrinktime", "5s")
	_ = flag.Set("rapid.nofailfile", "true")
}

// packet is a message between hosts. The network delays, loses and repeats it.
type packet struct {
	to     int
	ticket Ticket
	chunk  *Chunk
}

// execution is an operation on its way from a host to a target.
type execution struct {
	host   int
	run    model.Incarnation
	ticket Ticket
}

type key struct {
	origin   Origin
	sequence uint64
}

// world is a fleet under a random schedule. draw returns a number below its argument.
type world struct {
	draw       func(int) int
	naive      bool
	books      []*Book
	runs       []model.Incarnation
	paused     []bool
	moved      map[Origin]Origin // the successor that a stopped host named
	network    []packet
	executions []execution
	tickets    []Ticket
	ran        map[key]int
	notRun     map[key]bool
}

func newWorld(draw func(int) int, naive bool) *world {
	w := &world{draw: draw, naive: naive, ran: map[key]int{}, notRun: map[key]bool{}, moved: map[Origin]Origin{}}
	for i := range 4 {
		w.books = append(w.books, nil)
		w.runs = append(w.runs, 0)
		w.paused = append(w.paused, false)
		w.start(i)
	}
	return w
}

func (w *world) start(host int) {
	w.runs[host]++
	w.books[host] = New(Config{
		Origin:       w.origin(host),
		Address:      fmt.Sprint(host),
		Limits:       Limits{Records: 3, Bytes: 1 << 20, ResultBytes: 8},
		AdoptedBytes: 4 * recordOverhead,
		ChunkBytes:   recordOverhead,
	})
}

func (w *world) origin(host int) Origin {
	return Origin{Host: model.HostID(fmt.Sprint(host)), Incarnation: w.runs[host]}
}

// holder follows the leave notices from the issuer of a ticket to the host that should have its ledger.
func (w *world) holder(origin Origin) (host int) {
	for hops := 0; hops < 4; hops++ {
		next, ok := w.moved[origin]
		if !ok {
			break
		}
		origin = next
	}
	fmt.Sscan(string(origin.Host), &host)
	return host
}

func (w *world) step() {
	host := w.draw(len(w.books))
	switch w.draw(40) {
	case 0, 1, 2, 3:
		if t, ok := w.books[host].Issue("c", "s"); ok {
			w.tickets = append(w.tickets, t)
		}
	case 4:
		w.paused[host] = w.draw(2) == 0
	case 5:
		w.start(host)
	case 6, 7:
		w.stop(host)
	case 8, 9, 10, 11, 12, 13, 14, 15, 16:
		w.send(host)
	case 17, 18, 19, 20, 21, 22, 23, 24:
		w.target()
	default:
		w.deliver()
	}
}

// send lets a caller send a copy of a request to any host, which executes it or forwards it.
func (w *world) send(host int) {
	if len(w.tickets) == 0 {
		return
	}
	t := w.tickets[max(0, len(w.tickets)-1-w.draw(12))]
	if w.books[host].Holds(t.Origin) {
		w.network = append(w.network, packet{to: host, ticket: t})
		return
	}
	w.network = append(w.network, packet{to: w.holder(t.Origin), ticket: t})
	if w.naive && w.draw(3) == 0 { // the reply is lost: the naive host executes the request itself
		w.network = append(w.network, packet{to: host, ticket: t})
	}
}

func (w *world) deliver() {
	if len(w.network) == 0 {
		return
	}
	i := w.draw(len(w.network))
	p := w.network[i]
	if w.paused[p.to] {
		return
	}
	fate := w.draw(5) // 0 loses the packet, 1 delivers it and keeps a copy under way
	if fate != 1 {
		w.network = append(w.network[:i], w.network[i+1:]...)
	}
	switch {
	case fate == 0:
	case p.chunk != nil:
		_, _ = w.books[p.to].Receive(*p.chunk) // the acceptance is never relied upon
	default:
		w.request(p)
	}
}

func (w *world) request(p packet) {
	verdict, outcome := w.books[p.to].Begin(p.ticket, 1)
	if w.naive {
		verdict = Execute
	}
	switch verdict {
	case Execute:
		w.executions = append(w.executions, execution{p.to, w.runs[p.to], p.ticket})
	case Finished:
		w.answer(p.ticket, outcome)
	case Closed, NotHeld:
		if next := w.holder(p.ticket.Origin); next != p.to {
			w.network = append(w.network, packet{to: next, ticket: p.ticket})
		}
	}
}

// target moves an operation on: refused with proof, run with the reply lost, or run with a reply.
func (w *world) target() {
	if len(w.executions) == 0 {
		return
	}
	i := w.draw(len(w.executions))
	e := w.executions[i]
	if w.paused[e.host] {
		return
	}
	w.executions = append(w.executions[:i], w.executions[i+1:]...)
	outcome := []Outcome{
		{Execution: fault.NotRun, Fault: fault.New(fault.Overloaded, fault.NotRun, "", "shed")},
		UnknownOutcome(),
		{Execution: fault.Ran, Result: []byte("done")},
	}[w.draw(3)]
	if outcome.Execution != fault.NotRun {
		w.ran[key{e.ticket.Origin, e.ticket.Sequence}]++
	}
	if e.run != w.runs[e.host] {
		return // the host was killed in the meantime
	}
	w.books[e.host].Finish(e.ticket, outcome)
	w.answer(e.ticket, outcome)
	if w.naive && outcome.Execution == fault.OutcomeUnknown { // retry on a lost reply
		w.executions = append(w.executions, e)
	}
}

func (w *world) answer(t Ticket, outcome Outcome) {
	if outcome.Execution == fault.NotRun {
		w.notRun[key{t.Origin, t.Sequence}] = true
	}
}

// stop is a planned stop: the closed ledgers go to one successor, the acceptance may be lost.
func (w *world) stop(host int) {
	if _, stopped := w.moved[w.origin(host)]; stopped {
		return
	}
	successor := (host + 1 + w.draw(len(w.books)-1)) % len(w.books)
	w.moved[w.origin(host)] = w.origin(successor)
	w.books[host].Close()
	for _, chunk := range w.books[host].Export(w.origin(successor)) {
		w.network = append(w.network, packet{to: successor, chunk: &chunk})
	}
}

// violation runs a schedule and describes the first broken promise, if any.
func violation(draw func(int) int, naive bool, steps int) string {
	w := newWorld(draw, naive)
	for range steps {
		w.step()
	}
	for k, count := range w.ran {
		if count > 1 {
			return fmt.Sprintf("ticket %v ran %d times", k, count)
		}
		if w.notRun[k] {
			return fmt.Sprintf("ticket %v ran and was reported as not run", k)
		}
	}
	return ""
}

// TestTicketsRunAtMostOnceAndNotRunIsTrue guards P6 and P7 under lost, delayed and repeated messages, pauses, kills,
// restarts and planned stops whose acceptance is lost.
func TestTicketsRunAtMostOnceAndNotRunIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "choice") }
		require.Empty(t, violation(draw, false, 300))
	})
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 7))
		require.Empty(t, violation(rng.IntN, false, 2000), "seed %d", seed)
	}
}

// TestNaiveExecutionBreaksThePromises shows that the schedules find the faults of a host that executes whatever arrives
// and retries when a reply is lost.
func TestNaiveExecutionBreaksThePromises(t *testing.T) {
	broken := 0
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 7))
		if violation(rng.IntN, true, 300) != "" {
			broken++
		}
	}
	require.Greater(t, broken, 40)
	t.Logf("the naive version broke a promise in %d of 50 schedules", broken)
}
