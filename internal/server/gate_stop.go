package server

import (
	"context"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/coldstart"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// handOver gives back what this host has borrowed, so that others can use it before the loans end. Its own shares pass on
// with the next fleet table.
func (g *gates) handOver(context.Context) {
	g.do(func(now time.Duration) { g.sends = append(g.sends, g.shares.ReturnAll(now)...) })
}

// targetPhase is the state of one target in dumps.
type targetPhase struct {
	Target    model.TargetID  `json:"target"`
	Phase     coldstart.Phase `json:"phase"`
	Eligible  bool            `json:"eligible"`
	Owner     model.HostID    `json:"permit_owner,omitempty"`
	Allowance int             `json:"allowance,omitempty"`
}

func (g *gates) dumpShares() (dump any) {
	g.do(func(now time.Duration) { dump = g.shares.Dump(now) })
	return dump
}

func (g *gates) dumpTargets() any {
	dump := []targetPhase{}
	g.do(func(now time.Duration) {
		if g.catalogue == nil {
			return
		}
		for _, t := range g.catalogue.Targets {
			state := targetPhase{Target: t.ID, Phase: g.phases.Phase(t.ID), Eligible: g.isEligible(t.ID)}
			if state.Phase != coldstart.Warm {
				state.Owner = g.ownerOf(t.ID)
				state.Allowance = g.phases.Allowance(now, t.ID)
			}
			dump = append(dump, state)
		}
	})
	return dump
}
