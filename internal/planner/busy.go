package planner

import (
	"time"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/formation"
	"flamingodoor.example/flamingodoor/internal/roster"
)

// busyMembers returns the members of groups that serve, are forming or are not
// fully dissolved, by instance ID. These include an instance whose rank another entry
// names as well: a join would take it out of its group.
func (p *Planner) busyMembers(view *roster.View) map[string]bool {
	busy := make(map[string]bool)
	for _, group := range p.pending {
		for _, member := range group.members {
			busy[member.ID] = true
		}
	}
	for _, entry := range view.Entries {
		if entry.Membership.Group == "" {
			continue
		}
		ending := p.dissolving[entry.GroupKey()]
		if ending == nil || !ending.released(entry.Instance) {
			busy[entry.ID] = true
		}
	}
	return busy
}

// timeToRelease returns the time until the members of a group that ends or retires are
// expected to be free, and whether they can be counted on: a group whose head may still
// serve keeps its members for an unknown time.
func (p *Planner) timeToRelease(key roster.GroupKey, now time.Time) (wait time.Duration, ends bool) {
	if ending := p.dissolving[key]; ending != nil {
		return releaseTime, now.Sub(ending.since) < releaseTimeout
	}
	since, ok := p.retiring[key]
	if !ok {
		return 0, false
	}
	return max(0, drainTimeout-now.Sub(since)) + releaseTime, true
}

// awaitsRelease reports whether a member of a group is not free yet.
func (p *Planner) awaitsRelease(group *roster.Group, member roster.Entry) bool {
	ending := p.dissolving[group.Key()]
	return member.ID != "" && (ending == nil || !ending.released(member.Instance))
}

// busyCandidate returns an instance that has to leave its group first as input to the
// choice of groups.
func (p *Planner) busyCandidate(engine *flamingodoor.EngineSpec, instance flamingodoor.Instance, wait time.Duration, now time.Time) formation.Candidate {
	candidate := p.candidate(engine, instance, now)
	candidate.Busy = true
	for modelID := range candidate.Delays {
		candidate.Delays[modelID] += wait
	}
	return candidate
}
