package planner

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/formation"
	"flamingodoor.example/flamingodoor/internal/roster"
)

// stageTarget is an instance that lacks the weights of a model.
type stageTarget struct {
	instance flamingodoor.Instance
	modelID  string
	idle     bool
}

// stage loads weights onto hosts ahead of need. Idle instances come first,
// where the fewest loads complete a group; the members of groups use what is
// left of the weight store, so that they can serve any model later.
func (p *Planner) stage(ctx context.Context, service flamingodoor.ServiceSpec, view *roster.View, idle map[string]flamingodoor.Instance, models []formation.Model, now time.Time) {
	quiet := p.Quiet()
	p.forgetLoads(view)
	var begun []flamingodoor.WeightLoad
	targets := p.completing(service.Engine, idle, models, now)
	if quiet {
		targets = p.anyIdle(service, view, idle, models, now)
	}
	targets = append(targets, p.membersLacking(service, view, idle, targets, models, now)...)
	var orders errgroup.Group
	for _, target := range targets {
		state := p.member(target.instance)
		if now.Before(state.stagedBy) || (!quiet && !p.mayLoad(service.Engine, target, now)) {
			continue
		}
		length := loadTime(service.Engine, target.modelID)
		if quiet {
			length /= quietLoadShare
		}
		state.staging, state.stagedBy = target.modelID, now.Add(length+formSlack)
		if load, ok := p.loads[target.instance.ID]; ok {
			begun = append(begun, load)
		}
		orders.Go(func() error {
			result := p.order(ctx, target.instance, state, flamingodoor.InstanceOrder{Kind: flamingodoor.OrderKindStage, ModelID: target.modelID})
			if result == flamingodoor.OrderResultConflict {
				// It is busy with an order of an earlier planner.
				state.stagedBy = now.Add(stageAgainAfter)
			}
			return nil
		})
	}
	_ = orders.Wait() // results show in the members' entries
	p.saveLoads(ctx, begun)
}

// saveLoads registers loads for a host that leads later.
func (p *Planner) saveLoads(ctx context.Context, begun []flamingodoor.WeightLoad) {
	if len(begun) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := p.Loads.Save(ctx, begun, p.loaded); err != nil {
		_ = level.Warn(p.Logger).Log("event", "loads_unsaved", "loads", len(begun), "err", err)
		return
	}
	p.loaded = nil
}

// recallLoads reads what earlier leading hosts load: a second order would
// start a load again, and more at once than the weight store bears slow down
// all of them.
func (p *Planner) recallLoads(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	loads, err := p.Loads.Load(ctx)
	if err != nil {
		_ = level.Warn(p.Logger).Log("event", "loads_unknown", "err", err)
		return
	}
	now := p.now()
	for _, load := range loads {
		if now.After(load.Deadline) {
			p.loaded = append(p.loaded, load.InstanceID)
			continue
		}
		p.loads[load.InstanceID] = load
		p.members[load.InstanceID] = &memberState{
			born: load.InstanceStartedAt, sequence: -1, staging: load.ModelID, stagedBy: load.Deadline,
		}
	}
	_ = level.Info(p.Logger).Log("event", "loads_recalled", "under_way", len(p.loads))
}

// completion is a group that loads can complete.
type completion struct {
	targets []stageTarget
	score   float64 // value gained for a second of loading
}

// completing lists the loads that make whole groups of idle instances, the
// best value for the time of the weight store first.
func (p *Planner) completing(engine *flamingodoor.EngineSpec, idle map[string]flamingodoor.Instance, models []formation.Model, now time.Time) []stageTarget {
	instances := make([]flamingodoor.Instance, 0, len(idle))
	for _, instance := range idle {
		instances = append(instances, instance)
	}
	slices.SortFunc(instances, func(a, b flamingodoor.Instance) int { return cmp.Compare(a.ID, b.ID) })
	taken := make(map[string]bool)
	var found []completion
	for _, domain := range domainsOf(instances) {
		for _, model := range models {
			p.reserve(engine, domain, model, taken, now)
			targets, ok := p.lacksFor(engine, domain, model, now)
			if !ok || !formation.Worthwhile(models, model.ID) {
				continue
			}
			cost := float64(len(targets)) * loadTime(engine, model.ID).Seconds()
			found = append(found, completion{targets: targets, score: formation.Gain(models, model.ID) / cost})
		}
	}
	slices.SortStableFunc(found, func(a, b completion) int { return cmp.Compare(b.score, a.score) })
	var targets []stageTarget
	for _, each := range found {
		if slices.ContainsFunc(each.targets, func(target stageTarget) bool { return taken[target.instance.ID] }) {
			continue
		}
		for _, target := range each.targets {
			taken[target.instance.ID] = true
		}
		targets = append(targets, each.targets...)
	}
	return targets
}

// reserve keeps the instances of a group that loads under way will complete.
func (p *Planner) reserve(engine *flamingodoor.EngineSpec, domain []flamingodoor.Instance, model formation.Model, taken map[string]bool, now time.Time) {
	var able []string
	coming := false
	for _, instance := range domain {
		state := p.member(instance)
		loading := state.staging == model.ID && now.Before(state.stagedBy) && !slices.Contains(instance.StagedModels, model.ID)
		_, quick := p.delays(engine, instance, now)[model.ID]
		coming = coming || loading
		if (loading || quick) && !taken[instance.ID] {
			able = append(able, instance.ID)
		}
	}
	if !coming || len(able) < model.Size {
		return
	}
	for _, id := range able {
		taken[id] = true
	}
}

// lacksFor lists the idle instances of a domain that need weights to complete
// a group of the model. Empty ones come first, since others give up weights.
func (p *Planner) lacksFor(engine *flamingodoor.EngineSpec, domain []flamingodoor.Instance, model formation.Model, now time.Time) ([]stageTarget, bool) {
	ready := 0
	var lacking []flamingodoor.Instance
	for _, instance := range domain {
		state := p.member(instance)
		_, quick := p.delays(engine, instance, now)[model.ID]
		switch {
		case quick, state.staging == model.ID && now.Before(state.stagedBy):
			ready++
		case now.Before(state.stagedBy):
			// It loads another model.
		default:
			lacking = append(lacking, instance)
		}
	}
	missing := model.Size - ready
	if missing <= 0 || missing > len(lacking) {
		return nil, false
	}
	slices.SortStableFunc(lacking, func(a, b flamingodoor.Instance) int {
		return cmp.Compare(len(p.delays(engine, a, now)), len(p.delays(engine, b, now)))
	})
	targets := make([]stageTarget, 0, missing)
	for _, instance := range lacking[:missing] {
		targets = append(targets, stageTarget{instance: instance, modelID: model.ID, idle: true})
	}
	return targets, true
}

// anyIdle gives every empty instance the model that its domain may need, while
// loads are short and free.
func (p *Planner) anyIdle(service flamingodoor.ServiceSpec, view *roster.View, idle map[string]flamingodoor.Instance, models []formation.Model, now time.Time) []stageTarget {
	var targets []stageTarget
	for _, instance := range idle {
		needed, ok := p.spareModel(view, service.Name, instance.FabricDomain, models)
		if ok && len(p.weightsHeld(service.Engine, instance, now)) == 0 {
			targets = append(targets, stageTarget{instance: instance, modelID: needed, idle: true})
		}
	}
	return targets
}

// membersLacking lists members of groups that could not soon serve a model
// which their own group does not, and idle instances that wait for members of
// such groups.
func (p *Planner) membersLacking(service flamingodoor.ServiceSpec, view *roster.View, idle map[string]flamingodoor.Instance, chosen []stageTarget, models []formation.Model, now time.Time) []stageTarget {
	needed, ok := neediest(models)
	if !ok {
		return nil
	}
	var targets []stageTarget
	for _, entry := range view.ByService[service.Name] {
		_, free := idle[entry.ID]
		if free && !p.idleForGood(service.Engine, entry.Instance, chosen, needed, now) {
			continue
		}
		if (!free && entry.Membership.Group == "") || entry.Leaving || view.Lost(entry.Instance, now) || p.Book.Evacuated(entry.DataCentre) {
			continue
		}
		modelID, lacks := p.lacking(service.Engine, entry.Instance, needed, now)
		if lacks && (modelID == needed || formation.Worthwhile(models, modelID)) {
			targets = append(targets, stageTarget{instance: entry.Instance, modelID: modelID})
		}
	}
	p.concentrate(service, view, targets, needed, now)
	return targets
}

// concentrate puts the loads of the needed model first, and those of the domain
// in front that lacks the fewest for a group: loads spread over all domains would
// complete none.
func (p *Planner) concentrate(service flamingodoor.ServiceSpec, view *roster.View, targets []stageTarget, needed string, now time.Time) {
	able := make(map[string]int)
	for _, entry := range view.ByService[service.Name] {
		state := p.member(entry.Instance)
		_, held := p.weightsHeld(service.Engine, entry.Instance, now)[needed]
		loading := state.staging == needed && now.Before(state.stagedBy)
		if (held || loading) && entry.Membership.ModelID != needed && !entry.Leaving {
			able[entry.FabricDomain]++
		}
	}
	slices.SortStableFunc(targets, func(a, b stageTarget) int {
		return cmp.Or(
			-compareBool(a.modelID == needed, b.modelID == needed),
			cmp.Compare(able[b.instance.FabricDomain], able[a.instance.FabricDomain]),
			cmp.Compare(a.instance.FabricDomain, b.instance.FabricDomain),
		)
	})
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// idleForGood reports whether an idle instance lacks the needed model and no
// load that was chosen makes a group of it.
func (p *Planner) idleForGood(engine *flamingodoor.EngineSpec, instance flamingodoor.Instance, chosen []stageTarget, needed string, now time.Time) bool {
	if _, quick := p.delays(engine, instance, now)[needed]; quick || now.Before(p.member(instance).stagedBy) {
		return false
	}
	return !slices.ContainsFunc(chosen, func(target stageTarget) bool {
		return target.instance.FabricDomain == instance.FabricDomain
	})
}

// lacking names a model that a member could not join soon, the needed one
// before others. It is one whose weights displace none that the instance
// needs: it joins the model of its present group without them.
func (p *Planner) lacking(engine *flamingodoor.EngineSpec, instance flamingodoor.Instance, needed string, now time.Time) (string, bool) {
	held := p.weightsHeld(engine, instance, now)
	if _, ok := held[needed]; !ok {
		return needed, true
	}
	if slices.Contains(instance.StagedModels, needed) && instance.Membership.ModelID != needed {
		return "", false
	}
	for _, model := range engine.Models {
		if _, ok := held[model.ID]; !ok {
			return model.ID, true
		}
	}
	return "", false
}

// weightsHeld are the delays without the short loads before the first request.
func (p *Planner) weightsHeld(engine *flamingodoor.EngineSpec, instance flamingodoor.Instance, now time.Time) map[string]time.Duration {
	held := p.delays(engine, instance, now)
	state := p.member(instance)
	for _, model := range engine.Models {
		if state.lastModel != model.ID && instance.Membership.ModelID != model.ID && !slices.Contains(instance.StagedModels, model.ID) {
			delete(held, model.ID)
		}
	}
	return held
}

// forgetLoads drops loads that are done or whose instance is gone.
func (p *Planner) forgetLoads(view *roster.View) {
	for id, load := range p.loads {
		entry, ok := view.Entries[id]
		if !ok || !entry.Listed || slices.Contains(entry.StagedModels, load.ModelID) || view.At.After(load.Deadline) {
			delete(p.loads, id)
			p.loaded = append(p.loaded, id)
		}
	}
}

// mayLoad takes a load from the rate and the number at once that the weight
// store bears. More at once would only make each take longer.
func (p *Planner) mayLoad(engine *flamingodoor.EngineSpec, target stageTarget, now time.Time) bool {
	recent := 0
	for _, load := range p.loads {
		if now.Sub(load.StartedAt) < time.Second {
			recent++
		}
	}
	atOnce := max(1, engine.MaxConcurrentLoads)
	if !target.idle {
		atOnce /= memberLoadShare
	}
	if len(p.loads) >= atOnce || float64(recent+1) > max(1, engine.LoadsPerSecond) {
		return false
	}
	p.loads[target.instance.ID] = flamingodoor.WeightLoad{
		InstanceID: target.instance.ID, InstanceStartedAt: target.instance.StartedAt, ModelID: target.modelID,
		StartedAt: now, Deadline: now.Add(loadTime(engine, target.modelID) + formSlack),
	}
	return true
}

// neediest names the model for which an instance, as part of a group, adds
// the most value.
func neediest(models []formation.Model) (string, bool) {
	best, gain := "", 0.0
	for _, model := range models {
		if added := formation.Gain(models, model.ID) / float64(max(1, model.Size)); added > gain {
			best, gain = model.ID, added
		}
	}
	return best, best != ""
}
