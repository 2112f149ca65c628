package forward

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/knapweedrouter/knapweedrouter/internal/evidence"
	"github.com/knapweedrouter/knapweedrouter/internal/exchange"
	"github.com/knapweedrouter/knapweedrouter/internal/fault"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/monotime"
	"github.com/knapweedrouter/knapweedrouter/internal/scatter"
	"github.com/knapweedrouter/knapweedrouter/internal/targetclient"
)

const (
	// probeDelay is the delay between a loss and the probe of its target. After it, a crashed process refuses connections.
	probeDelay = 30 * time.Millisecond
	// silenceDelay is the minimum time from the transmission of an attempt to the probe of its target for the lack of an answer.
	silenceDelay = 600 * time.Millisecond
	// probeTimeout and probeTries bound the probes of a target that does not answer. A target that has not answered all of them
	// is silent. They are longer than a target's pauses and queue, and short enough that all hosts know of a third crash
	// before retries of the request count as too late (4 s on all sites).
	probeTimeout = 1200 * time.Millisecond
	probeTries   = 2
	// misdirectedTimeout is shorter: a misdirected attempt waits for no slot, so only pauses of the target delay its answer.
	misdirectedTimeout = 500 * time.Millisecond
	// maxProbeDelay is how much longer than its timeout a probe may take. If it takes longer, this host was paused, and an answer may
	// have come and gone unread.
	maxProbeDelay = 250 * time.Millisecond
	// overdueFactor times the typical latency of a service is how long an attempt must have gone without an answer for its
	// target to be probed. Callers that leave early would otherwise cause probes.
	overdueFactor = 3
	// probeInterval is the minimum time between two probes of an instance.
	probeInterval = 250 * time.Millisecond
	// silentProbeInterval is that time for an instance that is known to be silent. Many hosts may probe it.
	silentProbeInterval = time.Second
	// maxProbes bounds the targets that are probed at the same time. Losses beyond it are left to the news of the registry.
	maxProbes = 32
	// maxProbeReply bounds the memory of the reply to a probe, of which only the head is used.
	maxProbeReply = 256 << 10
	// maxDoubtful bounds the requests without an answer that are remembered.
	maxDoubtful = 4096
)

// endings maps verdicts to the certainty of the end.
var endings = map[TargetVerdict]evidence.Ending{
	LossTargetSilent:       evidence.Silent,
	LossTargetRefuses:      evidence.Gone,
	LossTargetReplaced:     evidence.Replaced,
	LossTargetDeregistered: evidence.Deregistered,
}

// fingerprint returns a hash of the content of a request. It does not depend on the caller or the request ID.
func fingerprint(r *exchange.Request) uint64 {
	digest := xxhash.New()
	for _, part := range []string{r.Method, r.Host, r.URI} {
		_, _ = digest.WriteString(part) // the Write methods of a digest never fail
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(r.Body)
	return digest.Sum64()
}

func (t *targetState) instance() evidence.Instance {
	return evidence.Instance{Target: t.id, Incarnation: t.incarnation}
}

// requestOf returns what is known of the answers to a request. The caller holds e.mu.
func (e *Engine) requestOf(fingerprint uint64) *evidence.Request {
	if known := e.doubtful[fingerprint]; known != nil {
		return known
	}
	return &evidence.Request{Fingerprint: fingerprint}
}

// judge returns the judgement on a request.
func (e *Engine) judge(fingerprint uint64) evidence.Judgement {
	return e.cfg.Evidence.Judge(monotime.Now(), fingerprint)
}

// quarantineError returns the error for a request that crashes targets.
func quarantineError(j evidence.Judgement, execution fault.Execution) *fault.Error {
	return fault.New(fault.Quarantined, execution, "send another request", "the request has crashed %d targets", j.Crashes).
		WithRetryAfter(max(minRetryAfter, j.Left))
}

// recordEnding updates the evidence after an attempt. It returns the decisions to report. The caller holds e.mu.
func (r *run) recordEnding(p *pickedTarget, reply *exchange.Reply, err error) []TargetDecision {
	e, attempt, now := r.engine, evidence.Attempt{Request: r.evidence, Sent: p.sent}, monotime.Now()
	witness := &p.state.witness
	if reply != nil && !reply.WrongTarget {
		witness.Replied(now, p.sent)
	}
	switch {
	case err == nil, errors.Is(err, exchange.ErrFailure) && reply.Signature != "":
		witness.Answered(attempt)
		return r.recordAnswer(now)
	case errors.Is(err, targetclient.ErrDraining):
		witness.Ran(attempt)
		return e.recordEnd(p.state, LossTargetReplaced)
	case errors.Is(err, syscall.ECONNREFUSED):
		witness.Ran(attempt)
		return e.recordEnd(p.state, LossTargetRefuses)
	case scatter.Classify(err).NotRun():
		witness.Ran(attempt)
		return nil
	}
	r.unanswered = true
	lost := errors.Is(err, targetclient.ErrLost)
	if attempt, ended := witness.Unanswered(now, attempt, lost); ended {
		return e.recordCrashes(p.state, []evidence.Attempt{attempt}, p.state.endVerdict)
	}
	if r.evidence.Answered {
		return nil
	}
	if len(e.doubtful) >= maxDoubtful {
		clear(e.doubtful) // their attempts at instances that end are then blamed although another run was answered
	}
	e.doubtful[r.fingerprint] = r.evidence
	switch {
	case lost:
		e.startProbe(*p, max(probeDelay, p.state.untilProbe(now)))
	case errors.Is(err, targetclient.ErrNoReply), now-p.sent >= r.overdue(p.service):
		e.startProbe(*p, max(0, p.sent+silenceDelay-now))
	}
	return nil
}

// probeOverdue probes the targets of attempts that have had no answer for long, unless any target has answered the request.
func (r *run) probeOverdue() {
	e := r.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.evidence.Answered {
		return
	}
	now := monotime.Now()
	for i := range r.picked {
		p := &r.picked[i]
		if p.state.witness.IsRunning(r.evidence) && now-p.sent >= r.overdue(p.service) {
			e.startProbe(*p, 0)
		}
	}
}

// overdue returns the time after which the lack of an answer is a reason to probe the target. The caller holds e.mu.
func (r *run) overdue(service *serviceState) time.Duration {
	typical := service.latency.Typical(r.engine.now())
	if typical == 0 {
		return max(silenceDelay, r.objective())
	}
	return max(silenceDelay, overdueFactor*typical)
}

// recordAnswer records that a target has answered the request. The caller holds e.mu.
func (r *run) recordAnswer(now time.Duration) []TargetDecision {
	e := r.engine
	if r.evidence.Answered {
		return nil
	}
	r.evidence.Answered = true
	delete(e.doubtful, r.fingerprint)
	if !e.cfg.Evidence.RecordAnswer(now, r.fingerprint) {
		return nil
	}
	return []TargetDecision{{Fingerprint: r.fingerprint, Verdict: LossRefuted, Judgement: e.judge(r.fingerprint)}}
}

// recordEnd records that an instance has ended. The caller holds e.mu.
func (e *Engine) recordEnd(t *targetState, verdict TargetVerdict) []TargetDecision {
	t.endVerdict = verdict
	return e.recordCrashes(t, t.witness.Ended(monotime.Now(), endings[verdict]), verdict)
}

// recordCrashes adds the end of an instance to the evidence against the requests that were there.
func (e *Engine) recordCrashes(t *targetState, attempts []evidence.Attempt, verdict TargetVerdict) []TargetDecision {
	now := monotime.Now()
	instance := t.instance()
	var decisions []TargetDecision
	for _, a := range attempts {
		fact := evidence.Fact{
			Kind: evidence.Crashed, Fingerprint: a.Request.Fingerprint, Instance: instance, Silent: !a.Cut, Age: now - a.Sent,
		}
		if e.cfg.Evidence.Observe(now, fact) {
			decisions = append(decisions, TargetDecision{
				Fingerprint: fact.Fingerprint, Instance: instance, Verdict: verdict, Judgement: e.judge(fact.Fingerprint),
			})
		}
	}
	return decisions
}

// recordRegistrations compares the instances with attempts to the registered ones. The caller holds e.mu.
func (e *Engine) recordRegistrations(previous, current *RoutingState) []TargetDecision {
	var decisions []TargetDecision
	moved := newAddresses(previous, current)
	for id, t := range e.targets {
		registered, ok := current.registered[id]
		switch holder := moved[t.address]; {
		case ok && registered.Incarnation == t.incarnation && registered.Draining:
			t.witness.Leaving()
		case !t.witness.IsWaiting():
		case ok && registered.Incarnation > t.incarnation, holder != "" && holder != id:
			decisions = append(decisions, e.recordEnd(t, LossTargetReplaced)...)
		case !ok:
			decisions = append(decisions, e.recordEnd(t, LossTargetDeregistered)...)
		}
	}
	return decisions
}

// newAddresses returns the addresses of the targets that were not registered before.
func newAddresses(previous, current *RoutingState) map[string]model.TargetID {
	added := map[string]model.TargetID{}
	if previous == nil {
		return added
	}
	for id, t := range current.registered {
		if !previous.IsRegistered(id) {
			added[t.Address] = id
		}
	}
	return added
}

// ReportLearned reports facts that another host has found.
func (e *Engine) ReportLearned(from model.HostID, facts []evidence.Fact) {
	decisions := make([]TargetDecision, len(facts))
	e.mu.Lock()
	for i, f := range facts {
		decisions[i] = TargetDecision{
			Fingerprint: f.Fingerprint, Instance: f.Instance, Verdict: LossLearned, Judgement: e.judge(f.Fingerprint), Source: from,
		}
		switch f.Kind {
		case evidence.Answered:
			decisions[i].Verdict = LossRefuted
		case evidence.Leaving:
			decisions[i].Verdict = TargetLeaving
			e.markLeaving(f.Instance)
		case evidence.Crashed:
			e.markEnded(f.Instance, monotime.Now()-f.Age)
		}
	}
	e.mu.Unlock()
	e.reportDecisions(decisions)
}

// markEnded applies the end of an instance under an attempt that another host has sent at the given time, unless the instance has
// replied to this host since. The caller holds e.mu.
func (e *Engine) markEnded(i evidence.Instance, sent time.Duration) {
	t := e.targets[i.Target]
	if t != nil && t.incarnation == i.Incarnation && !t.witness.HasRepliedSince(sent) {
		t.endLearned = true
	}
}

// reportDecisions passes decisions to the observer. The caller does not hold e.mu.
func (e *Engine) reportDecisions(decisions []TargetDecision) {
	if e.cfg.Observer == nil {
		return
	}
	for _, d := range decisions {
		e.cfg.Observer.TargetJudged(d)
	}
}

// mayBeAsked reports whether a target may get health checks: it is not out, has not asked for fewer requests, and is not cold. The
// caller holds e.mu.
func (e *Engine) mayBeAsked(p *pickedTarget) bool {
	return p.state.isWilling(e.now()) && !p.state.isCold(e.now(), &p.target) &&
		slices.Contains(e.routingState.Load().Eligible(p.target.Service), p.state.id)
}

// probe is a question to a target that has not answered an attempt.
type probe struct {
	path        string
	misdirected bool
	tries       int
	timeout     time.Duration
}

// newProbe returns the probe of a target: a health check, or, if the target may not be asked or its service has no resource for it, an
// attempt that any target turns away. The caller holds e.mu.
func (e *Engine) newProbe(p *pickedTarget) probe {
	health := e.routingState.Load().Table.Services[p.target.Service].HealthPath
	switch {
	case e.now() < p.state.quietUntil:
		return probe{path: "/", misdirected: true, tries: 1, timeout: probeTimeout}
	case health == "" || !e.mayBeAsked(p):
		return probe{path: "/", misdirected: true, tries: probeTries, timeout: misdirectedTimeout}
	}
	return probe{path: health, tries: probeTries, timeout: probeTimeout}
}

// untilProbe returns the time until the target may be probed again. It returns 0 if that takes longer than between any two probes, because
// the target wants nothing for a while.
func (t *targetState) untilProbe(now time.Duration) time.Duration {
	if left := t.nextProbe - now; t.probed && left <= silentProbeInterval {
		return max(0, left)
	}
	return 0
}

// startProbe probes a target that has not answered an attempt, unless that is being done already. One that wants nothing for a
// while is probed once in that time. The caller holds e.mu.
func (e *Engine) startProbe(p pickedTarget, delay time.Duration) {
	now, t := monotime.Now(), p.state
	if t.probing || t.probed && now+delay < t.nextProbe {
		return
	}
	interval := probeInterval
	if t.witness.IsSilent() {
		interval = silentProbeInterval
	}
	t.probed, t.nextProbe = true, now+max(delay+interval, t.quietUntil-e.now())
	if e.probes >= maxProbes {
		decision := TargetDecision{Instance: t.instance(), Verdict: LossNotProbed}
		e.tasks.Go(func() { e.reportDecisions([]TargetDecision{decision}) })
		return
	}
	t.probing = true
	e.probes++
	question := e.newProbe(&p)
	e.tasks.Go(func() {
		time.Sleep(delay)
		asked := monotime.Now()
		reply, verdict := e.ask(&p, question)
		e.reportDecisions(e.recordProbe(p.state, asked, reply, verdict))
	})
}

// ask sends a probe until the target answers it or has been silent too often.
func (e *Engine) ask(p *pickedTarget, question probe) (*exchange.Reply, TargetVerdict) {
	verdict := LossTargetSilent
	var reply *exchange.Reply
	for try := 0; try < question.tries && verdict == LossTargetSilent; try++ {
		reply, verdict = e.askOnce(p, question)
	}
	return reply, verdict
}

// askOnce sends a probe. It returns the reply of the target's instance; that to a misdirected probe may be of another one.
func (e *Engine) askOnce(p *pickedTarget, question probe) (*exchange.Reply, TargetVerdict) {
	ctx, cancel := context.WithTimeout(context.Background(), question.timeout)
	defer cancel()
	started := monotime.Now()
	memory := e.cfg.Replies.Open(maxProbeReply)
	defer memory.Release()
	reply, err := e.cfg.Client.Probe(ctx, &exchange.Attempt{
		Request:     &exchange.Request{Method: http.MethodGet, URI: question.path, Host: p.target.Address},
		Target:      p.target.Target,
		Address:     p.target.Address,
		Deadline:    time.Now().Add(question.timeout),
		Misdirected: question.misdirected,

		MaxReplyBytes: maxProbeReply,
		Memory:        memory,
	})
	var timeout net.Error
	switch {
	case errors.Is(err, targetclient.ErrDraining):
		return nil, LossTargetReplaced
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, LossTargetRefuses
	case errors.Is(err, targetclient.ErrNoReply), errors.Is(err, targetclient.ErrCancelled), errors.As(err, &timeout) && timeout.Timeout():
		if monotime.Now()-started > question.timeout+maxProbeDelay {
			return nil, LossNotProbed
		}
		return nil, LossTargetSilent
	case err != nil:
		return nil, LossTargetAccepts
	case question.misdirected:
		return nil, LossTargetAnswers
	}
	return reply, LossTargetAnswers
}

// recordProbe records the result of a probe that was first sent at the given time.
func (e *Engine) recordProbe(t *targetState, asked time.Duration, reply *exchange.Reply, verdict TargetVerdict) []TargetDecision {
	e.mu.Lock()
	defer e.mu.Unlock()
	t.probing, t.endLearned = false, false
	e.probes--
	decisions := []TargetDecision{{Instance: t.instance(), Verdict: verdict}}
	switch {
	case reply != nil:
		t.witness.Replied(monotime.Now(), asked)
		return append(decisions, e.recordWishes(t, reply)...)
	case verdict == LossTargetAnswers:
		t.witness.Reached(asked)
		return decisions
	case verdict == LossTargetAccepts, verdict == LossNotProbed:
		return decisions
	}
	if ended := e.recordEnd(t, verdict); len(ended) > 0 {
		return ended
	}
	return decisions
}
