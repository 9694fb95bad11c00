package planner

import (
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

// rebalance retires the group whose instances, with the idle ones of their
// domain, serve most when they change to another model.
func (p *Planner) rebalance(index *catalogue.Index, view *roster.View, now time.Time) {
	if len(p.pending) > 0 || len(p.retiring) > 0 || now.Sub(p.rebalanced) < rebalanceEvery || p.Quiet() {
		return
	}
	p.rebalanced = now
	for _, service := range index.Services {
		if service.Engine == nil {
			continue
		}
		if group, gain := p.worstPlaced(service, view, now); group != nil {
			p.retiring[group.Key()] = now
			p.Retire(group.Key())
			_ = level.Info(p.Logger).Log("event", "group_retires", "group", group.Name, "epoch", group.Epoch,
				"model", group.ModelID, "gain", gain)
		}
	}
}

func (p *Planner) worstPlaced(service flamingodoor.ServiceSpec, view *roster.View, now time.Time) (*roster.Group, float64) {
	counts := p.groupCounts(view, service.Name, now)
	models := p.models(service, counts, len(view.ByService[service.Name]))
	free := make(map[string][]formation.Candidate)
	for _, instance := range p.free(view, service.Name, now) {
		free[instance.FabricDomain] = append(free[instance.FabricDomain], p.candidate(service.Engine, instance, now))
	}
	present := formation.Value(models)
	var worst *roster.Group
	best := rebalanceGain
	for _, group := range view.Groups {
		if group.Service != service.Name || p.dissolving[group.Key()] != nil || p.Book.Evacuated(group.DataCentre) ||
			!view.Serving(group, len(group.Members), now) {
			continue
		}
		candidates := append([]formation.Candidate(nil), free[group.FabricDomain]...)
		for _, member := range group.Members {
			candidates = append(candidates, p.candidate(service.Engine, member.Instance, now))
		}
		without := p.without(models, group.ModelID)
		plan := formation.Plan([][]formation.Candidate{candidates}, without)
		if gain := formation.Value(formation.With(without, plan[0])) - present; gain > best {
			worst, best = group, gain
		}
	}
	return worst, best
}

func (p *Planner) without(models []formation.Model, modelID string) []formation.Model {
	fewer := append([]formation.Model(nil), models...)
	for i := range fewer {
		if fewer[i].ID == modelID {
			fewer[i].Groups--
		}
	}
	return fewer
}
