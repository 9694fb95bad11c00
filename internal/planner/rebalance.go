package planner

import (
	"cmp"
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
	// retire, so that the effect of one retirement is visible before the next.
	rebalanceInterval = 700 * time.Millisecond
	// minRebalanceGain is the minimum gain of a retirement, in the engine seconds
	// per second of formation.Value. It is well above the work lost while a group
	// changes its model.
	minRebalanceGain = 0.25
)

// retirement is a set of groups of one model and domain to retire, so that their
// instances can form groups of another model.
type retirement struct {
	groups []*roster.Group
	gain   float64 // increase of formation.Value, in engine seconds per second
}

// rebalance retires the groups whose instances, together with the idle ones of
// their domain, would add most value in groups of another model.
func (p *Planner) rebalance(index *catalogue.Index, view *roster.View, now time.Time) {
	if len(p.pending) > 0 || len(p.retiring) > 0 || now.Sub(p.rebalancedAt) < rebalanceInterval || p.NoRequestsYet() {
		return
	}
	p.rebalancedAt = now
	for _, service := range index.Services {
		if service.Engine == nil {
			continue
		}
		best := p.bestRetirement(service, view, now)
		for _, group := range best.groups {
			p.retiring[group.Key()] = now
			p.Retire(group.Key())
			_ = level.Info(p.Logger).Log("event", "group_retires", "group", group.Name, "epoch", group.Epoch,
				"model", group.ModelID, "groups", len(best.groups), "gain", best.gain)
		}
	}
}

// bestRetirement evaluates the groups of each model in each domain, first one at
// a time and then combined until they have enough members for a group of any
// model. It returns the set with the largest gain above minRebalanceGain, or no
// groups.
func (p *Planner) bestRetirement(service flamingodoor.ServiceSpec, view *roster.View, now time.Time) retirement {
	counts := p.countGroups(view, service.Name, now)
	models := p.formationModels(service, counts, len(view.ByService[service.Name]))
	free := make(map[string][]formation.Candidate)
	for _, instance := range p.freeInstances(view, service.Name, now) {
		free[instance.FabricDomain] = append(free[instance.FabricDomain], p.candidate(service.Engine, instance, now))
	}
	largestSize := 0
	for _, model := range models {
		largestSize = max(largestSize, model.Size)
	}
	best := retirement{gain: minRebalanceGain}
	for key, groups := range p.servingGroups(service.Name, view, now) {
		singles := make([]retirement, 0, len(groups))
		for _, group := range groups {
			alone := []*roster.Group{group}
			singles = append(singles, retirement{groups: alone, gain: p.retirementGain(service.Engine, alone, free[key.domain], models, now)})
		}
		slices.SortStableFunc(singles, func(a, b retirement) int { return cmp.Compare(b.gain, a.gain) })
		var combined []*roster.Group
		for _, single := range singles {
			combined = append(combined, single.groups...)
			gain := single.gain
			if len(combined) > 1 {
				gain = p.retirementGain(service.Engine, combined, free[key.domain], models, now)
			}
			if gain > best.gain {
				best = retirement{groups: slices.Clone(combined), gain: gain}
			}
			if len(combined)*len(single.groups[0].Members) >= largestSize {
				break
			}
		}
	}
	return best
}

// domainModel identifies the groups of a model in a fabric domain.
type domainModel struct {
	domain  string
	modelID string
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

// retirementGain returns the value gained if the members of the groups, which all
// have one model, form new groups with the free instances of their domain.
func (p *Planner) retirementGain(engine *flamingodoor.EngineSpec, groups []*roster.Group, free []formation.Candidate, models []formation.Model, now time.Time) float64 {
	candidates := slices.Clone(free)
	remaining := slices.Clone(models)
	for _, group := range groups {
		for _, member := range group.Members {
			candidates = append(candidates, p.candidate(engine, member.Instance, now))
		}
		for i := range remaining {
			if remaining[i].ID == group.ModelID {
				remaining[i].Groups--
			}
		}
	}
	plan := formation.Plan([][]formation.Candidate{candidates}, remaining)
	return formation.Value(formation.WithGroups(remaining, plan[0])) - formation.Value(models)
}
