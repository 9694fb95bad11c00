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

// stageTarget is an instance onto whose machine the weights of a model are to be
// loaded.
type stageTarget struct {
	instance flamingodoor.Instance
	modelID  string
	idle     bool // for a group of idle instances alone, so not limited by memberLoadDivisor
}

// stageWeights orders instances to load weights before they need them. Idle
// instances come first, starting with those whose group gains most value per
// second of loading. Members of groups use the remaining capacity of the weight
// store, so that they can serve other models later.
func (p *Planner) stageWeights(ctx context.Context, service flamingodoor.ServiceSpec, view *roster.View, idle map[string]flamingodoor.Instance, models []formation.Model, now time.Time) {
	preTraffic := p.NoRequestsYet()
	p.moveEndedLoads(view)
	var started []flamingodoor.WeightLoad
	targets := p.completingLoads(service.Engine, idle, models, now)
	if preTraffic {
		targets = p.preTrafficTargets(service, view, idle, models, now)
	}
	targets = append(targets, p.memberTargets(service, view, idle, targets, models, now)...)
	var orders errgroup.Group
	for _, target := range targets {
		state := p.stateOf(target.instance)
		if now.Before(state.stagingDeadline) || (!preTraffic && !p.admitLoad(service.Engine, target, now)) {
			continue
		}
		duration := loadTime(service.Engine, target.modelID)
		if preTraffic {
			duration /= preTrafficLoadDivisor
		}
		state.stagingModel, state.stagingDeadline = target.modelID, now.Add(duration+completionMargin)
		if load, ok := p.activeLoads[target.instance.ID]; ok {
			started = append(started, load)
		}
		orders.Go(func() error {
			result := p.sendOrder(ctx, target.instance, state, flamingodoor.InstanceOrder{Kind: flamingodoor.OrderKindStage, ModelID: target.modelID})
			if result == flamingodoor.OrderResultConflict {
				// The instance is busy with an order of an earlier leader.
				state.stagingDeadline = now.Add(stageRetryDelay)
			}
			return nil
		})
	}
	_ = orders.Wait() // results appear in the instances' registrations
	p.saveLoads(ctx, started)
}

// saveLoads adds the started loads to the load store, and removes the ended ones,
// for the next leader to read. Without started loads, it leaves the store as it
// is.
func (p *Planner) saveLoads(ctx context.Context, started []flamingodoor.WeightLoad) {
	if len(started) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	if err := p.Loads.Save(ctx, started, p.endedLoads); err != nil {
		_ = level.Warn(p.Logger).Log("event", "loads_unsaved", "loads", len(started), "err", err)
		return
	}
	p.endedLoads = nil
}

// restoreLoads reads the loads that earlier leaders started, so that this leader
// neither orders a load under way again, which would start it anew, nor exceeds
// the number of concurrent loads that the weight store supports, which would
// slow down all of them.
func (p *Planner) restoreLoads(ctx context.Context) {
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
			p.endedLoads = append(p.endedLoads, load.InstanceID)
			continue
		}
		p.activeLoads[load.InstanceID] = load
		p.loadStarts = append(p.loadStarts, load.StartedAt)
		p.states[load.InstanceID] = &instanceState{
			startedAt: load.InstanceStartedAt, sequence: -1, stagingModel: load.ModelID, stagingDeadline: load.Deadline,
		}
	}
	_ = level.Info(p.Logger).Log("event", "loads_recalled", "under_way", len(p.activeLoads))
}

// completion is a group that can be formed once its missing weights are loaded.
type completion struct {
	targets []stageTarget
	score   float64 // value gained per second of loading
}

// completingLoads returns the loads that complete groups of idle instances, in
// descending order of the value gained per second of loading.
func (p *Planner) completingLoads(engine *flamingodoor.EngineSpec, idle map[string]flamingodoor.Instance, models []formation.Model, now time.Time) []stageTarget {
	instances := make([]flamingodoor.Instance, 0, len(idle))
	for _, instance := range idle {
		instances = append(instances, instance)
	}
	slices.SortFunc(instances, func(a, b flamingodoor.Instance) int { return cmp.Compare(a.ID, b.ID) })
	taken := make(map[string]bool)
	var completions []completion
	for _, domain := range groupByDomain(instances) {
		for _, model := range models {
			p.reserveMembers(engine, domain, model, taken, now)
			targets, ok := p.missingWeights(engine, domain, model, now)
			if !ok || !formation.Worthwhile(models, model.ID) {
				continue
			}
			cost := float64(len(targets)) * loadTime(engine, model.ID).Seconds()
			completions = append(completions, completion{targets: targets, score: formation.Gain(models, model.ID) / cost})
		}
	}
	slices.SortStableFunc(completions, func(a, b completion) int { return cmp.Compare(b.score, a.score) })
	var targets []stageTarget
	for _, group := range completions {
		if slices.ContainsFunc(group.targets, func(target stageTarget) bool { return taken[target.instance.ID] }) {
			continue
		}
		for _, target := range group.targets {
			taken[target.instance.ID] = true
		}
		targets = append(targets, group.targets...)
	}
	return targets
}

// reserveMembers marks as taken the instances that will form a group of the
// model once the loads under way have ended.
func (p *Planner) reserveMembers(engine *flamingodoor.EngineSpec, domain []flamingodoor.Instance, model formation.Model, taken map[string]bool, now time.Time) {
	var able []string
	loadUnderWay := false
	for _, instance := range domain {
		state := p.stateOf(instance)
		loading := state.stagingModel == model.ID && now.Before(state.stagingDeadline) && !slices.Contains(instance.StagedModels, model.ID)
		_, joinable := p.joinDelays(engine, instance, now)[model.ID]
		loadUnderWay = loadUnderWay || loading
		if (loading || joinable) && !taken[instance.ID] {
			able = append(able, instance.ID)
		}
	}
	if !loadUnderWay || len(able) < model.Size {
		return
	}
	for _, id := range able {
		taken[id] = true
	}
}

// missingWeights returns the idle instances of a domain that have to load
// weights to complete a group of the model, and whether loading can complete
// one. Instances with the fewest usable models come first, because others would
// give up weights that they hold.
func (p *Planner) missingWeights(engine *flamingodoor.EngineSpec, domain []flamingodoor.Instance, model formation.Model, now time.Time) ([]stageTarget, bool) {
	ready := 0
	var lacking []flamingodoor.Instance
	for _, instance := range domain {
		state := p.stateOf(instance)
		_, joinable := p.joinDelays(engine, instance, now)[model.ID]
		switch {
		case joinable, state.stagingModel == model.ID && now.Before(state.stagingDeadline):
			ready++
		case now.Before(state.stagingDeadline):
			// The instance is loading another model.
		default:
			lacking = append(lacking, instance)
		}
	}
	missing := model.Size - ready
	if missing <= 0 || missing > len(lacking) {
		return nil, false
	}
	slices.SortStableFunc(lacking, func(a, b flamingodoor.Instance) int {
		return cmp.Compare(len(p.joinDelays(engine, a, now)), len(p.joinDelays(engine, b, now)))
	})
	targets := make([]stageTarget, 0, missing)
	for _, instance := range lacking[:missing] {
		targets = append(targets, stageTarget{instance: instance, modelID: model.ID, idle: true})
	}
	return targets, true
}

// preTrafficTargets returns a load for every idle instance without weights, of
// the model that its domain is most likely to need. It is used before the first
// request, when loads are short and not limited.
func (p *Planner) preTrafficTargets(service flamingodoor.ServiceSpec, view *roster.View, idle map[string]flamingodoor.Instance, models []formation.Model, now time.Time) []stageTarget {
	var targets []stageTarget
	for _, instance := range idle {
		needed, ok := p.spareModel(view, service.Name, instance.FabricDomain, models)
		if ok && len(p.weightsHeld(service.Engine, instance, now)) == 0 {
			targets = append(targets, stageTarget{instance: instance, modelID: needed, idle: true})
		}
	}
	return targets
}

// memberTargets returns loads for members of groups that lack the weights of a
// model other than that of their group, and for idle instances that can only
// form a group together with such members. Before the first request, when loads are
// cheap and the demand is not known, that is every model.
func (p *Planner) memberTargets(service flamingodoor.ServiceSpec, view *roster.View, idle map[string]flamingodoor.Instance, chosen []stageTarget, models []formation.Model, now time.Time) []stageTarget {
	needed, ok := neediestModel(models)
	if !ok {
		return nil
	}
	var targets []stageTarget
	for _, entry := range view.ByService[service.Name] {
		_, free := idle[entry.ID]
		if free && !p.staysIdle(service.Engine, entry.Instance, chosen, needed, now) {
			continue
		}
		if (!free && entry.Membership.Group == "") || entry.Leaving || !p.reaches(view, entry.Instance, now) || p.Catalogue.Evacuated(entry.DataCentre) {
			continue
		}
		modelID, lacks := p.missingModel(service.Engine, entry.Instance, needed, now)
		if lacks && (modelID == needed || p.NoRequestsYet() || formation.Worthwhile(models, modelID)) {
			targets = append(targets, stageTarget{instance: entry.Instance, modelID: modelID})
		}
	}
	p.prioritise(service, view, targets, needed, now)
	return targets
}

// prioritise sorts the targets: loads of the needed model first, and then by
// domain. The first domain is the one where the most instances hold or load the
// weights of that model without being in one of its groups. Loads spread over all
// domains would complete no group.
func (p *Planner) prioritise(service flamingodoor.ServiceSpec, view *roster.View, targets []stageTarget, needed string, now time.Time) {
	able := make(map[string]int)
	for _, entry := range view.ByService[service.Name] {
		state := p.stateOf(entry.Instance)
		_, held := p.weightsHeld(service.Engine, entry.Instance, now)[needed]
		loading := state.stagingModel == needed && now.Before(state.stagingDeadline)
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

// staysIdle reports whether an idle instance would stay idle: it cannot join a
// group of the needed model, is not loading weights, and no chosen load in its
// domain completes a group.
func (p *Planner) staysIdle(engine *flamingodoor.EngineSpec, instance flamingodoor.Instance, chosen []stageTarget, needed string, now time.Time) bool {
	if _, joinable := p.joinDelays(engine, instance, now)[needed]; joinable || now.Before(p.stateOf(instance).stagingDeadline) {
		return false
	}
	return !slices.ContainsFunc(chosen, func(target stageTarget) bool {
		return target.instance.FabricDomain == instance.FabricDomain
	})
}

// missingModel returns a model whose weights an instance should load, the needed
// model before others. It returns none if the load would displace staged weights
// of the needed model, unless that is the model of the instance's current group,
// which it can rejoin without staged weights.
func (p *Planner) missingModel(engine *flamingodoor.EngineSpec, instance flamingodoor.Instance, needed string, now time.Time) (string, bool) {
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

// weightsHeld returns the join delays of the models whose weights the instance
// holds, without those that it is still loading or could only load quickly before
// the first request.
func (p *Planner) weightsHeld(engine *flamingodoor.EngineSpec, instance flamingodoor.Instance, now time.Time) map[string]time.Duration {
	held := p.joinDelays(engine, instance, now)
	lastModel := p.lastModel(instance)
	for _, model := range engine.Models {
		if lastModel != model.ID && !slices.Contains(instance.StagedModels, model.ID) {
			delete(held, model.ID)
		}
	}
	return held
}

// moveEndedLoads moves the loads that have ended, or whose instance is gone, from
// the active loads to the ended ones.
func (p *Planner) moveEndedLoads(view *roster.View) {
	for id, load := range p.activeLoads {
		entry, ok := view.Entries[id]
		if !ok || !entry.Listed || slices.Contains(entry.StagedModels, load.ModelID) || view.At.After(load.Deadline) {
			delete(p.activeLoads, id)
			p.endedLoads = append(p.endedLoads, id)
		}
	}
}

// admitLoad reports whether a load fits the rate and concurrency limits of the
// weight store, and records it as active if so. More concurrent loads would only
// make each take longer.
func (p *Planner) admitLoad(engine *flamingodoor.EngineSpec, target stageTarget, now time.Time) bool {
	rate := engine.LoadsPerSecond
	if rate <= 0 {
		rate = 1
	}
	// An order may take up to orderTimeout to arrive, and the ones after it less.
	window := time.Duration(max(1, 1/rate)*float64(time.Second)) + orderTimeout
	p.loadStarts = slices.DeleteFunc(p.loadStarts, func(begun time.Time) bool { return now.Sub(begun) >= window })
	limit := max(1, engine.MaxConcurrentLoads)
	if !target.idle {
		limit /= memberLoadDivisor
	}
	if len(p.activeLoads) >= limit || float64(len(p.loadStarts)+1) > max(1, rate) {
		return false
	}
	p.loadStarts = append(p.loadStarts, now)
	p.activeLoads[target.instance.ID] = flamingodoor.WeightLoad{
		InstanceID: target.instance.ID, InstanceStartedAt: target.instance.StartedAt, ModelID: target.modelID,
		StartedAt: now, Deadline: now.Add(loadTime(engine, target.modelID) + completionMargin),
	}
	return true
}

// neediestModel returns the model for which one more group adds the most value
// per instance, and whether any model gains.
func neediestModel(models []formation.Model) (string, bool) {
	best, gain := "", 0.0
	for _, model := range models {
		if added := formation.Gain(models, model.ID) / float64(max(1, model.Size)); added > gain {
			best, gain = model.ID, added
		}
	}
	return best, best != ""
}
