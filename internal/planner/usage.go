package planner

import (
	"time"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/roster"
)

// instanceUsage is what a listed instance is doing.
type instanceUsage int

const (
	usageFree      instanceUsage = iota // may join a group
	usageServing                        // a member of a group that serves
	usageForming                        // a member of a group that forms
	usageClosing                        // a member of a group that retires or ends
	usageBroken                         // a member of a group that cannot serve
	usageLeaving                        // stops
	usageLost                           // does not answer
	usageEvacuated                      // in a data centre that gets no requests
	usageUnplaced                       // states no fabric domain
	usageCount
)

// countUsage returns how many listed instances of a service have each usage.
func (p *Planner) countUsage(view *roster.View, service string, now time.Time) [usageCount]int {
	members := p.memberUsage(view, now)
	var counts [usageCount]int
	for _, entry := range view.ByService[service] {
		counts[p.usage(view, entry, members, now)]++
	}
	return counts
}

// usage returns what an instance is doing, given the usage of the members of groups. The
// reason for which an instance cannot join any group comes first.
func (p *Planner) usage(view *roster.View, entry *roster.Entry, members map[string]instanceUsage, now time.Time) instanceUsage {
	usage, isMember := members[entry.ID]
	switch {
	case !p.reaches(view, entry.Instance, now):
		return usageLost
	case p.Catalogue.Evacuated(entry.DataCentre):
		return usageEvacuated
	case entry.Leaving:
		return usageLeaving
	case isMember:
		return usage
	case entry.FabricDomain == "":
		return usageUnplaced
	default:
		return usageFree
	}
}

// memberUsage returns the usage of the members that busyMembers returns.
func (p *Planner) memberUsage(view *roster.View, now time.Time) map[string]instanceUsage {
	members := make(map[string]instanceUsage)
	for _, group := range p.pending {
		for _, member := range group.members {
			members[member.ID] = usageForming
		}
	}
	for _, group := range view.Groups {
		ending := p.dissolving[group.Key()]
		for _, member := range group.Members {
			if ending == nil || !ending.released(member.Instance) {
				members[member.ID] = p.usageInGroup(view, group, member, now)
			}
		}
	}
	return members
}

// usageInGroup returns the usage of a member of a group.
func (p *Planner) usageInGroup(view *roster.View, group *roster.Group, member roster.Entry, now time.Time) instanceUsage {
	key := group.Key()
	_, retires := p.retiring[key]
	switch {
	case p.dissolving[key] != nil, retires, view.Retiring(key, now), member.Membership.State == flamingodoor.MembershipStateClosing:
		return usageClosing
	case p.pending[key] != nil:
		return usageForming
	case view.Serving(group, len(group.Members), now):
		return usageServing
	case member.Membership.State == flamingodoor.MembershipStateJoining, member.Membership.State == flamingodoor.MembershipStateReady:
		return usageForming
	default:
		return usageBroken
	}
}

// countLoading returns how many of the free instances load weights.
func (p *Planner) countLoading(free []flamingodoor.Instance) int {
	count := 0
	for _, instance := range free {
		if _, loads := p.activeLoads[instance.ID]; loads {
			count++
		}
	}
	return count
}
