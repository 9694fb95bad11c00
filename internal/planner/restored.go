package planner

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/roster"
)

// listSettled reports whether an instance that the list of instances lacks, or shows as
// it was before, can be taken to be so: the platform's store has not been restored
// lately. A host that has just read the list for the first time cannot know that.
func (p *Planner) listSettled(now time.Time) bool {
	return now.Sub(p.listedSince) >= restoreSettleTime && now.Sub(p.restoredAt) >= restoreSettleTime
}

// mayLackRegistrations reports whether a group may be complete although the list of
// instances does not show it.
func (p *Planner) mayLackRegistrations(members memberSummary, head roster.Entry, now time.Time) bool {
	shown := members.complete && head.Listed
	return !shown && head.Membership.State != flamingodoor.MembershipStateBroken && !p.listSettled(now)
}

// saveLostHeads saves the heads of known groups that the head store lacks since the
// platform's store was restored, until the list of instances has settled.
func (p *Planner) saveLostHeads(ctx context.Context, view *roster.View, now time.Time) {
	if !p.storeMayLack || p.inheritedHeads == nil {
		return
	}
	var lost []flamingodoor.Instance
	for _, group := range view.Groups {
		head := group.Head()
		if _, saved := p.inheritedHeads[group.Key()]; !saved && head.ID != "" {
			lost = append(lost, head.Instance)
		}
	}
	if len(lost) > 0 {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		if err := p.Heads.Save(ctx, lost); err != nil {
			_ = level.Warn(p.Logger).Log("event", "heads_unsaved", "lost", len(lost), "err", err)
			return
		}
		_ = level.Info(p.Logger).Log("event", "lost_heads_saved", "heads", len(lost))
	}
	for _, head := range lost {
		p.inheritedHeads[groupKey(head.Membership)] = head
	}
	p.storeMayLack = !p.listSettled(now)
}

// keepLoads keeps the weight loads that this host knows from before a restore of the
// platform's store, until they end, and saves them if it leads.
func (p *Planner) keepLoads(ctx context.Context, known map[string]flamingodoor.WeightLoad) {
	now := p.now()
	var lost []flamingodoor.WeightLoad
	for id, load := range known {
		if _, stored := p.activeLoads[id]; stored || now.After(load.Deadline) {
			continue
		}
		p.activeLoads[id] = load
		p.states[id] = &instanceState{startedAt: load.InstanceStartedAt, sequence: -1, stagingModel: load.ModelID, stagingDeadline: load.Deadline}
		lost = append(lost, load)
	}
	if len(lost) == 0 || !p.wasLeading {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := p.Loads.Save(ctx, lost, nil); err != nil {
		_ = level.Warn(p.Logger).Log("event", "loads_unsaved", "lost", len(lost), "err", err)
	}
}
