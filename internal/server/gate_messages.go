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

// The kinds of frames of shares, cold targets and evidence.
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
	// maxEvidence bounds the statements of one frame.
	maxEvidence = 8192
)

// evidenceRequest asks a host for what it knows about targets.
type evidenceRequest struct{}

// evidenceReply is what a host knows about targets.
type evidenceReply struct {
	Phases   []coldstart.Statement   `msgpack:"phases"`
	Draining []eligibility.Statement `msgpack:"draining"`
}

// register sets the handlers of frames and notices.
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
		g.do(func(now time.Duration) {
			sender := share.Sender{Host: from.Host, Incarnation: from.Incarnation}
			g.sends = append(g.sends, g.shares.Step(now, sender, message)...)
		})
		return nil, nil
	})
}

func (g *gates) handleProgress(_ context.Context, from peer.Sender, decode func(any) error) (any, error) {
	var progress coldstart.Progress
	if err := decode(&progress); err != nil {
		return nil, err
	}
	g.do(func(now time.Duration) {
		if g.ownerOf(progress.Target) == g.self {
			g.spreadPhase(g.phases.Progress(now, from.Host, progress))
		}
	})
	return nil, nil
}

func (g *gates) handleEvidence(context.Context, peer.Sender, func(any) error) (any, error) {
	var reply evidenceReply
	g.do(func(time.Duration) {
		reply.Phases = g.phases.Statements()
		reply.Draining = g.eligibility.Statements()
	})
	reply.Phases = reply.Phases[:min(len(reply.Phases), maxEvidence)]
	reply.Draining = reply.Draining[:min(len(reply.Draining), maxEvidence)]
	return reply, nil
}

// fetchEvidence asks one member after the other until one has told what it knows. A target that no member knows is cold.
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
	g.do(func(now time.Duration) {
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

// spreadPhase queues a notice about the phase of a target, if there is news.
func (g *gates) spreadPhase(statement coldstart.Statement, news bool) {
	if !news {
		return
	}
	epoch := 2 * statement.Epoch
	if !statement.Warm {
		epoch++ // of two notices of one epoch, the cold one replaces the other
	}
	g.notice(rumor.TopicCold, noticeKey(statement.Target, statement.Incarnation), epoch, statement)
}

func (g *gates) spreadDraining(statement eligibility.Statement) {
	epoch := 2 * statement.Sequence
	if statement.Draining {
		epoch++ // of two notices of one sequence, the draining one replaces the other
	}
	g.notice(rumor.TopicDraining, noticeKey(statement.Target, statement.Incarnation), epoch, statement)
}

func noticeKey(target model.TargetID, incarnation model.Incarnation) string {
	return fmt.Sprintf("%s/%016x", target, uint64(incarnation))
}

func (g *gates) notice(topic rumor.Topic, key string, epoch uint64, payload any) {
	encoded, err := msgpack.Marshal(payload)
	if err != nil {
		g.logger.Error("notice cannot be encoded", zap.String("key", key), zap.Error(err))
		return
	}
	g.notices = append(g.notices, rumor.Notice{Topic: topic, Key: key, Epoch: epoch, Origin: g.self, Payload: encoded})
}

func (g *gates) receiveCold(notice rumor.Notice) {
	var statement coldstart.Statement
	if err := msgpack.Unmarshal(notice.Payload, &statement); err == nil {
		g.do(func(now time.Duration) { g.phases.Apply(now, statement) })
	}
}

func (g *gates) receiveDraining(notice rumor.Notice) {
	var statement eligibility.Statement
	if err := msgpack.Unmarshal(notice.Payload, &statement); err != nil {
		return
	}
	g.do(func(now time.Duration) {
		if _, returned := g.eligibility.Apply(now, statement); returned {
			g.spreadPhase(g.phases.Return(now, statement.Target))
		}
	})
}

func (g *gates) receiveLeave(notice rumor.Notice) {
	g.do(func(time.Duration) {
		g.eligibility.SetLeaving(model.HostID(notice.Key), model.Incarnation(notice.Epoch))
	})
}

// deliver sends what was decided. A frame that is dropped is made up for by the next request, or by the end of a loan.
func (g *gates) deliver(out outbox, addresses map[model.HostID]string) {
	for _, send := range out.sends {
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
		_ = g.transport.Send(address, kind, body) // see deliver
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
