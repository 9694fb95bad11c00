package planner

import (
	"context"
	"maps"
	"time"

	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/roster"
)

// resetState discards the state of an earlier term as leader. At the start of a
// new term, it reads the newest epoch, the heads and the weight loads. If the
// platform's store was restored, loads that this host knows count on, because the
// store may lack them.
func (p *Planner) resetState(ctx context.Context, leads, restored bool) {
	clear(p.pending)
	clear(p.dissolving)
	clear(p.states)
	clear(p.impairedSince)
	clear(p.retiring)
	clear(p.silences)
	p.steppedAt = p.now()
	known := maps.Clone(p.activeLoads)
	clear(p.activeLoads)
	p.endedLoads = nil
	p.leaderSince = p.now()
	if restored {
		p.restoredAt, p.storeMayLack = p.now(), true
	}
	if leads {
		p.readEpoch(ctx)
		p.readHeads(ctx)
		p.restoreLoads(ctx)
	}
	if p.storeMayLack {
		p.keepLoads(ctx, known)
	}
	p.delayForming()
}

// readEpoch reads the newest epoch. If that fails, the first claim conflicts
// and returns it.
func (p *Planner) readEpoch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	epoch, err := p.Epochs.Newest(ctx)
	if err != nil {
		_ = level.Warn(p.Logger).Log("event", "epoch_unknown", "err", err)
	}
	p.epoch = max(p.epoch, epoch)
}

// readHeads reads the heads of groups from the head store. It includes heads
// whose registration expired before this host started.
func (p *Planner) readHeads(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	p.inheritedHeads, p.formerHeads = nil, nil
	heads, err := p.Heads.Load(ctx)
	if err != nil {
		_ = level.Warn(p.Logger).Log("event", "heads_unknown", "err", err)
		return
	}
	p.inheritedHeads = make(map[roster.GroupKey]flamingodoor.Instance, len(heads))
	p.formerHeads = make(map[string]flamingodoor.Instance, len(heads))
	for _, head := range heads {
		p.formerHeads[head.ID] = head
		p.inheritedHeads[roster.GroupKey{Name: head.Membership.Group, Epoch: head.Membership.Epoch}] = head
	}
}

// restoreHeads adds the heads read at takeover to the roster, for groups of
// which only other members are known.
func (p *Planner) restoreHeads(view *roster.View, now time.Time) {
	restored := false
	for _, group := range view.Groups {
		head, ok := p.inheritedHeads[group.Key()]
		if !ok || group.Head().ID != "" {
			continue
		}
		if _, listed := view.Entries[head.ID]; listed {
			continue
		}
		_ = level.Info(p.Logger).Log("event", "head_recalled", "group", group.Name, "epoch", group.Epoch, "instance", head.ID)
		p.Roster.AddUnlisted(head, now)
		restored = true
	}
	if restored {
		p.Roster.Publish(now)
	}
}
