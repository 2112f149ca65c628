package forward

import (
	"context"
	"errors"
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
	probeDelay   = 30 * time.Millisecond
	probeTimeout = 300 * time.Millisecond
	// probeInterval is the minimum time between two probes of an instance.
	probeInterval = 250 * time.Millisecond
	// maxProbes bounds the concurrent probes. Losses beyond it are left to the news of the registry.
	maxProbes = 8
	// maxDoubtful bounds the requests without an answer that are remembered.
	maxDoubtful = 4096
)

// endings maps verdicts to the certainty of the end.
var endings = map[TargetVerdict]evidence.Ending{
	LossTargetRefuses:      evidence.Gone,
	LossTargetReplaced:     evidence.Gone,
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
	if witness.Unanswered(now, attempt) {
		return e.recordCrashes(p.state, []evidence.Attempt{attempt}, p.state.endVerdict)
	}
	if r.evidence.Answered {
		return nil
	}
	if len(e.doubtful) >= maxDoubtful {
		clear(e.doubtful) // their attempts at instances that end are then blamed although another run was answered
	}
	e.doubtful[r.fingerprint] = r.evidence
	if errors.Is(err, targetclient.ErrLost) {
		e.startProbe(*p)
	}
	return nil
}

// recordAnswer records that a target has answered the request. The caller holds e.mu.
func (r *run) recordAnswer(now time.Duration) []TargetDecision {
	e := r.engine
	if r.evidence.Answered {
		return nil
	}
	r.evidence.Answered = true
	delete(e.doubtful, r.fingerprint)
	if !e.cfg.Evidence.IsSuspect(r.fingerprint) {
		return nil
	}
	e.cfg.Evidence.Observe(now, evidence.Fact{Kind: evidence.Answered, Fingerprint: r.fingerprint})
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
		fact := evidence.Fact{Kind: evidence.Crashed, Fingerprint: a.Request.Fingerprint, Instance: instance, Age: now - a.Sent}
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
		}
	}
	e.mu.Unlock()
	e.reportDecisions(decisions)
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

// startProbe asks for the state of a target that lost an attempt, unless that is being done already. The caller holds e.mu.
func (e *Engine) startProbe(p pickedTarget) {
	now := monotime.Now()
	if p.state.probing || p.state.probed && now < p.state.nextProbe || e.probes >= maxProbes {
		return
	}
	p.state.probing, p.state.probed, p.state.nextProbe = true, true, now+probeInterval
	e.probes++
	e.tasks.Go(func() { e.probe(p) })
}

func (e *Engine) probe(p pickedTarget) {
	timer := time.NewTimer(probeDelay)
	defer timer.Stop()
	<-timer.C
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	err := e.cfg.Client.Probe(ctx, &exchange.Attempt{
		Target: p.target.Target, Address: p.target.Address, MaxConnections: p.connections, Deadline: time.Now().Add(probeTimeout),
	})
	e.reportDecisions(e.recordProbe(p.state, err))
}

// recordProbe records the result of a probe.
func (e *Engine) recordProbe(t *targetState, err error) []TargetDecision {
	e.mu.Lock()
	defer e.mu.Unlock()
	t.probing = false
	e.probes--
	switch {
	case err == nil:
		return []TargetDecision{{Instance: t.instance(), Verdict: LossTargetAccepts}}
	case errors.Is(err, syscall.ECONNREFUSED):
		return e.recordEnd(t, LossTargetRefuses)
	}
	return []TargetDecision{{Instance: t.instance(), Verdict: LossTargetSilent}}
}
