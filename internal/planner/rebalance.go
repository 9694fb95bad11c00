package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/catalogue"
	"flamingodoor.example/flamingodoor/internal/formation"
	"flamingodoor.example/flamingodoor/internal/roster"
)

const (
	// rebalanceInterval is the minimum time between two checks for groups to
	// retire.
	rebalanceInterval = 700 * time.Millisecond
	// minRebalanceGain is the minimum gain of a retirement, in the engine seconds
	// per second of formation.Value. It is well above the work lost while a group
	// changes its model.
	minRebalanceGain = 0.25
	// retirementCost is charged for each retired group, in the same unit: what the group
	// could have served until its members are free, over the time in which a new group
	// pays back its formation.
	retirementCost = 0.08
)

// retirement is a set of groups of one model and domain to retire, so that their
// instances can form groups of another model.
type retirement struct {
	domain string
	groups []*roster.Group
	gain   float64 // increase of formation.Value, in engine seconds per second
}

// rebalance retires groups whose instances, together with the other candidates of their
// domain, would add more value in groups of another model.
func (p *Planner) rebalance(index *catalogue.Index, view *roster.View, now time.Time) {
	if now.Sub(p.rebalancedAt) < rebalanceInterval || p.NoRequestsYet() {
		return
	}
	p.rebalancedAt = now
	for _, service := range index.Services {
		if service.Engine == nil {
			continue
		}
		balance := p.newBalance(service, view, now)
		for best := balance.bestRetirement(); len(best.groups) > 0; best = balance.bestRetirement() {
			balance.retire(best)
			p.startRetirement(best, now)
		}
	}
}

// startRetirement makes all hosts stop sending new requests to the groups.
func (p *Planner) startRetirement(chosen retirement, now time.Time) {
	for _, group := range chosen.groups {
		p.retiring[group.Key()] = now
		p.Retire(group.Key())
		_ = level.Info(p.Logger).Log("event", "group_retires", "group", group.Name, "epoch", group.Epoch,
			"model", group.ModelID, "groups", len(chosen.groups), "gain", chosen.gain)
	}
}

// balance is the state of a service from which groups to retire are chosen. Groups that
// form, and those that are expected to form of the candidates, count as serving.
type balance struct {
	planner    *Planner
	engine     *flamingodoor.EngineSpec
	now        time.Time
	candidates domainCandidates
	planned    map[string][]formation.Group // by domain
	serving    map[domainModel][]*roster.Group
	counted    []formation.Model // without the planned groups
	expected   []formation.Model // with them
	retiring   map[string]bool   // domains that retire groups
	largest    int               // members of the largest group
}

func (p *Planner) newBalance(service flamingodoor.ServiceSpec, view *roster.View, now time.Time) *balance {
	b := &balance{
		planner: p, engine: service.Engine, now: now, candidates: p.candidates(service, view, now),
		planned: make(map[string][]formation.Group), serving: p.servingGroups(service.Name, view, now), retiring: make(map[string]bool),
		counted: p.formationModels(service, p.countGroups(view, service.Name, now), len(view.ByService[service.Name])),
	}
	for _, model := range b.counted {
		b.largest = max(b.largest, model.Size)
	}
	b.expected = b.counted
	for _, groups := range formation.Plan(b.candidates.lists(), b.counted) {
		for _, group := range groups {
			domain := view.Entries[group.Members[0]].FabricDomain
			b.planned[domain] = append(b.planned[domain], group)
		}
		b.expected = formation.WithGroups(b.expected, groups)
	}
	for _, group := range view.Groups {
		if _, retires := p.retiring[group.Key()]; retires {
			b.retiring[group.FabricDomain] = true
		}
	}
	return b
}

// bestRetirement evaluates the groups of each model in each domain, first one at
// a time and then combined until they have enough members for a group of any
// model. It returns the set with the largest gain above minRebalanceGain, or no
// groups.
func (b *balance) bestRetirement() retirement {
	best := retirement{gain: minRebalanceGain}
	for _, key := range slices.SortedFunc(maps.Keys(b.serving), domainModel.compare) {
		groups := b.serving[key]
		if b.retiring[key.domain] {
			continue
		}
		singles := make([]retirement, 0, len(groups))
		for _, group := range groups {
			singles = append(singles, b.evaluate(key.domain, []*roster.Group{group}))
		}
		slices.SortStableFunc(singles, func(a, b retirement) int { return cmp.Compare(b.gain, a.gain) })
		var combined []*roster.Group
		for _, single := range singles {
			combined = append(combined, single.groups...)
			option := single
			if len(combined) > 1 {
				option = b.evaluate(key.domain, slices.Clone(combined))
			}
			if option.gain > best.gain {
				best = option
			}
			if len(combined)*len(single.groups[0].Members) >= b.largest {
				break
			}
		}
	}
	return best
}

// evaluate returns the retirement of groups of a domain, which all have one model, with
// the value gained if their members form new groups with the candidates of the domain,
// less the cost of the retirements.
func (b *balance) evaluate(domain string, groups []*roster.Group) retirement {
	remaining, plan := b.planWithout(domain, groups)
	gain := formation.Value(formation.WithGroups(remaining, plan)) - formation.Value(b.expected) - retirementCost*float64(len(groups))
	return retirement{domain: domain, groups: groups, gain: gain}
}

// planWithout returns the models without the groups and without what is planned in
// their domain, and the groups that the domain would form instead.
func (b *balance) planWithout(domain string, groups []*roster.Group) ([]formation.Model, []formation.Group) {
	candidates := slices.Clone(b.candidates[domain])
	remaining := b.counted
	for other, planned := range b.planned {
		if other != domain {
			remaining = formation.WithGroups(remaining, planned)
		}
	}
	remaining = slices.Clone(remaining)
	for _, group := range groups {
		for _, member := range group.Members {
			candidates = append(candidates, b.planner.busyCandidate(b.engine, member.Instance, drainTimeout+releaseTime, b.now))
		}
		for i := range remaining {
			if remaining[i].ID == group.ModelID {
				remaining[i].Groups--
			}
		}
	}
	return remaining, formation.Plan([][]formation.Candidate{candidates}, remaining)[0]
}

// retire counts a retirement as decided.
func (b *balance) retire(chosen retirement) {
	remaining, plan := b.planWithout(chosen.domain, chosen.groups)
	b.retiring[chosen.domain] = true
	b.planned[chosen.domain] = plan
	b.expected = formation.WithGroups(remaining, plan)
	for _, group := range chosen.groups {
		for i := range b.counted {
			if b.counted[i].ID == group.ModelID {
				b.counted[i].Groups--
			}
		}
	}
}

// domainModel identifies the groups of a model in a fabric domain.
type domainModel struct {
	domain  string
	modelID string
}

// compare orders by domain, then by model.
func (d domainModel) compare(other domainModel) int {
	return cmp.Or(cmp.Compare(d.domain, other.domain), cmp.Compare(d.modelID, other.modelID))
}

// servingGroups returns the groups of a service that serve, by domain and model.
func (p *Planner) servingGroups(service string, view *roster.View, now time.Time) map[domainModel][]*roster.Group {
	groups := make(map[domainModel][]*roster.Group)
	for _, group := range view.Groups {
		if group.Service != service || p.dissolving[group.Key()] != nil || p.Catalogue.Evacuated(group.DataCentre) ||
			!view.Serving(group, len(group.Members), now) {
			continue
		}
		key := domainModel{group.FabricDomain, group.ModelID}
		groups[key] = append(groups[key], group)
	}
	return groups
}
