package server

import (
	"context"
	"time"

	"github.com/knapweedrouter/knapweedrouter/internal/coldstart"
	"github.com/knapweedrouter/knapweedrouter/internal/model"
)

// returnLoans returns everything that this host has borrowed, so that others can use it before the loans expire. The shares
// that this host owns move to other hosts with the next fleet table.
func (g *gates) returnLoans(context.Context) {
	g.update(func(now time.Duration) { g.messages = append(g.messages, g.shares.ReturnAll(now)...) })
}

// targetDump describes one target in state dumps.
type targetDump struct {
	Target    model.TargetID  `json:"target"`
	Phase     coldstart.Phase `json:"phase"`
	Eligible  bool            `json:"eligible"`
	Owner     model.HostID    `json:"permit_owner,omitempty"`
	Allowance int             `json:"allowance,omitempty"`
}

func (g *gates) dumpShares() (dump any) {
	g.update(func(now time.Duration) { dump = g.shares.Dump(now) })
	return dump
}

func (g *gates) dumpTargets() any {
	dump := []targetDump{}
	g.update(func(now time.Duration) {
		if g.catalogue == nil {
			return
		}
		for _, t := range g.catalogue.Targets {
			state := targetDump{Target: t.ID, Phase: g.phases.Phase(t.ID), Eligible: g.isEligibleLocked(t.ID)}
			if state.Phase != coldstart.Warm {
				state.Owner = g.ownerOf(t.ID)
				state.Allowance = g.phases.Allowance(now, t.ID)
			}
			dump = append(dump, state)
		}
	})
	return dump
}
