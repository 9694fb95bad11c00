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
	// rebalanceEvery lets the effect of one change show before the next.
	rebalanceEvery = 700 * time.Millisecond
	// rebalanceGain is the least gain of a change, in served engine seconds a
	// second: well above the work lost while a group changes its model.
	rebalanceGain = 0.25
)

// change is a set of groups of one domain that end for others.
type change struct {
	groups []*roster.Group
	gain   float64 // served engine seconds a second
}

// rebalance retires the groups whose instances, with the idle ones of their
// domain, serve most when they change to another model.
func (p *Planner) rebalance(index *catalogue.Index, view *roster.View, now time.Time) {
	if len(p.pending) > 0 || len(p.retiring) > 0 || now.Sub(p.rebalanced) < rebalanceEvery || p.NoRequestsYet() {
		return
	}
	p.rebalanced = now
	for _, service := range index.Services {
		if service.Engine == nil {
			continue
		}
		best := p.bestChange(service, view, now)
		for _, group := range best.groups {
			p.retiring[group.Key()] = now
			p.Retire(group.Key())
			_ = level.Info(p.Logger).Log("event", "group_retires", "group", group.Name, "epoch", group.Epoch,
				"model", group.ModelID, "groups", len(best.groups), "gain", best.gain)
		}
	}
}

// bestChange tries the groups of each model in each domain, one alone and then
// more of them until they have enough members for a group of any model.
func (p *Planner) bestChange(service flamingodoor.ServiceSpec, view *roster.View, now time.Time) change {
	counts := p.groupCounts(view, service.Name, now)
	models := p.models(service, counts, len(view.ByService[service.Name]))
	free := make(map[string][]formation.Candidate)
	for _, instance := range p.free(view, service.Name, now) {
		free[instance.FabricDomain] = append(free[instance.FabricDomain], p.candidate(service.Engine, instance, now))
	}
	enough := 0
	for _, model := range models {
		enough = max(enough, model.Size)
	}
	best := change{gain: rebalanceGain}
	for place, groups := range p.servingGroups(service.Name, view, now) {
		singles := make([]change, 0, len(groups))
		for _, group := range groups {
			one := []*roster.Group{group}
			singles = append(singles, change{groups: one, gain: p.gain(service.Engine, one, free[place.domain], models, now)})
		}
		slices.SortStableFunc(singles, func(a, b change) int { return cmp.Compare(b.gain, a.gain) })
		var together []*roster.Group
		for _, single := range singles {
			together = append(together, single.groups...)
			gain := single.gain
			if len(together) > 1 {
				gain = p.gain(service.Engine, together, free[place.domain], models, now)
			}
			if gain > best.gain {
				best = change{groups: slices.Clone(together), gain: gain}
			}
			if len(together)*len(single.groups[0].Members) >= enough {
				break
			}
		}
	}
	return best
}

// domainModel names the groups of a model in a domain.
type domainModel struct {
	domain  string
	modelID string
}

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

// gain is what groups of one model and the free instances of their domain
// serve beyond the present, if they form anew.
func (p *Planner) gain(engine *flamingodoor.EngineSpec, groups []*roster.Group, free []formation.Candidate, models []formation.Model, now time.Time) float64 {
	candidates := slices.Clone(free)
	fewer := slices.Clone(models)
	for _, group := range groups {
		for _, member := range group.Members {
			candidates = append(candidates, p.candidate(engine, member.Instance, now))
		}
		for i := range fewer {
			if fewer[i].ID == group.ModelID {
				fewer[i].Groups--
			}
		}
	}
	plan := formation.Plan([][]formation.Candidate{candidates}, fewer)
	return formation.Value(formation.WithGroups(fewer, plan[0])) - formation.Value(models)
}
