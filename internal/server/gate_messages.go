package server

import (
	"context"
	"fmt"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/knapweedrouter/knapweedrouter/internal/coldstart"
	"github.com/knapweedrouter/knapweedrouter/internal/ctxtime"
	"github.com/knapweedrouter/knapweedrouter/internal/eligibility"
	"github.com/knapweedrouter/knapweedrouter/internal/membership"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
	"github.com/knapweedrouter/knapweedrouter/internal/peer"
	"github.com/knapweedrouter/knapweedrouter/internal/rumor"
	"github.com/knapweedrouter/knapweedrouter/internal/share"
)

// Kinds of peer frames for shares, cold targets and target state.
const (
	kindLoanRequest   peer.Kind = "loan_request"
	kindLoanGrant     peer.Kind = "loan_grant"
	kindLoanReturn    peer.Kind = "loan_return"
	kindTableQuestion peer.Kind = "table_question"
	kindTableAnswer   peer.Kind = "table_answer"
	kindColdProgress  peer.Kind = "cold_progress"
	kindEvidence      peer.Kind = "evidence"
)

const (
	evidenceTimeout = 500 * time.Millisecond
	evidenceRetry   = 200 * time.Millisecond
	// maxEvidenceStatements limits the statements of each type in one reply.
	maxEvidenceStatements = 8192
)

// evidenceRequest requests a host's statements about targets.
type evidenceRequest struct{}

// evidenceReply contains a host's statements about targets.
type evidenceReply struct {
	Phases   []coldstart.Statement   `msgpack:"phases"`
	Draining []eligibility.Statement `msgpack:"draining"`
}

// register registers the handlers of frames and the subscriptions to notices.
func (g *gates) register() {
	handleShare[share.LoanRequest](g, kindLoanRequest)
	handleShare[share.LoanGrant](g, kindLoanGrant)
	handleShare[share.LoanReturn](g, kindLoanReturn)
	handleShare[share.TableQuestion](g, kindTableQuestion)
	handleShare[share.TableAnswer](g, kindTableAnswer)
	g.transport.Handle(kindColdProgress, g.handleProgress)
	g.transport.Handle(kindEvidence, g.handleEvidence)
	g.view.Subscribe(rumor.TopicCold, g.receiveCold)
	g.view.Subscribe(rumor.TopicDraining, g.receiveDraining)
	g.view.Subscribe(rumor.TopicLeave, g.receiveLeave)
}

func handleShare[M share.Message](g *gates, kind peer.Kind) {
	g.transport.Handle(kind, func(_ context.Context, from peer.Sender, decode func(any) error) (any, error) {
		var message M
		if err := decode(&message); err != nil {
			return nil, err
		}
		g.update(func(now time.Duration) {
			sender := share.Sender{Host: from.Host, Incarnation: from.Incarnation}
			g.messages = append(g.messages, g.shares.Step(now, sender, message)...)
		})
		return nil, nil
	})
}

func (g *gates) handleProgress(_ context.Context, from peer.Sender, decode func(any) error) (any, error) {
	var progress coldstart.Progress
	if err := decode(&progress); err != nil {
		return nil, err
	}
	g.update(func(now time.Duration) {
		if g.ownerOf(progress.Target) == g.self {
			g.publishPhase(g.phases.ApplyProgress(now, from.Host, progress))
		}
	})
	return nil, nil
}

func (g *gates) handleEvidence(context.Context, peer.Sender, func(any) error) (any, error) {
	var reply evidenceReply
	g.update(func(time.Duration) {
		reply.Phases = g.phases.Statements()
		reply.Draining = g.eligibility.Statements()
	})
	reply.Phases = reply.Phases[:min(len(reply.Phases), maxEvidenceStatements)]
	reply.Draining = reply.Draining[:min(len(reply.Draining), maxEvidenceStatements)]
	return reply, nil
}

// fetchEvidence asks the other members in turn for their statements about targets until one reply has been applied. A
// target that no member has statements about is cold.
func (g *gates) fetchEvidence(ctx context.Context) {
	for ctx.Err() == nil {
		for _, member := range g.view.Members() {
			if member.ID != g.self && member.State == membership.Alive && g.fetchFrom(ctx, member.Address) {
				return
			}
		}
		ctxtime.Sleep(ctx, evidenceRetry)
	}
}

func (g *gates) fetchFrom(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	var reply evidenceReply
	if err := g.transport.Call(ctx, address, kindEvidence, evidenceRequest{}, &reply); err != nil {
		return false
	}
	applied := false
	g.update(func(now time.Duration) {
		applied = g.catalogue != nil
		for _, statement := range reply.Phases {
			g.phases.Apply(now, statement)
		}
		for _, statement := range reply.Draining {
			g.eligibility.Apply(now, statement)
		}
	})
	return applied
}

// publishPhase queues a notice about the phase of a target if the phase has changed.
func (g *gates) publishPhase(statement coldstart.Statement, changed bool) {
	if !changed {
		return
	}
	epoch := 2 * statement.Epoch
	if !statement.Warm {
		epoch++ // of two notices with the same epoch, the cold one takes precedence
	}
	g.queueNotice(rumor.TopicCold, noticeKey(statement.Target, statement.Incarnation), epoch, statement)
}

func (g *gates) publishDraining(statement eligibility.Statement) {
	epoch := 2 * statement.Sequence
	if statement.Draining {
		epoch++ // of two notices with the same sequence number, the draining one takes precedence
	}
	g.queueNotice(rumor.TopicDraining, noticeKey(statement.Target, statement.Incarnation), epoch, statement)
}

func noticeKey(target model.TargetID, incarnation model.Incarnation) string {
	return fmt.Sprintf("%s/%016x", target, uint64(incarnation))
}

func (g *gates) queueNotice(topic rumor.Topic, key string, epoch uint64, payload any) {
	encoded, err := msgpack.Marshal(payload)
	if err != nil {
		g.logger.Error("cannot encode notice", zap.String("key", key), zap.Error(err))
		return
	}
	g.notices = append(g.notices, rumor.Notice{Topic: topic, Key: key, Epoch: epoch, Origin: g.self, Payload: encoded})
}

func (g *gates) receiveCold(notice rumor.Notice) {
	var statement coldstart.Statement
	if err := msgpack.Unmarshal(notice.Payload, &statement); err == nil {
		g.update(func(now time.Duration) { g.phases.Apply(now, statement) })
	}
}

func (g *gates) receiveDraining(notice rumor.Notice) {
	var statement eligibility.Statement
	if err := msgpack.Unmarshal(notice.Payload, &statement); err != nil {
		return
	}
	g.update(func(now time.Duration) {
		if _, returned := g.eligibility.Apply(now, statement); returned {
			g.publishPhase(g.phases.MarkReturned(now, statement.Target))
		}
	})
}

func (g *gates) receiveLeave(notice rumor.Notice) {
	g.update(func(time.Duration) {
		g.eligibility.SetLeaving(model.HostID(notice.Key), model.Incarnation(notice.Epoch))
	})
}

// deliver sends the messages of an outbox. Dropped frames need no retransmission: the next request, or the expiry of a
// loan, makes up for them.
func (g *gates) deliver(out outbox, addresses map[model.HostID]string) {
	for _, send := range out.messages {
		g.send(addresses[send.To], kindOf(send.Message), send.Message)
	}
	for _, report := range out.reports {
		g.send(addresses[report.to], kindColdProgress, report.progress)
	}
	for _, notice := range out.notices {
		g.view.Publish(notice)
	}
}

func (g *gates) send(address string, kind peer.Kind, body any) {
	if address != "" {
		_ = g.transport.Send(address, kind, body) // frames may be lost; see deliver
	}
}

func kindOf(message share.Message) peer.Kind {
	switch message.(type) {
	case share.LoanRequest:
		return kindLoanRequest
	case share.LoanGrant:
		return kindLoanGrant
	case share.TableQuestion:
		return kindTableQuestion
	case share.TableAnswer:
		return kindTableAnswer
	}
	return kindLoanReturn
}
