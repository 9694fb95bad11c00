package planner

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/catalogue"
	"flamingodoor.example/flamingodoor/internal/formation"
	"flamingodoor.example/flamingodoor/internal/roster"
)

// planRecord is the content of a claim in the coordination log.
type planRecord struct {
	Groups []planGroup `json:"groups"`
}

type planGroup struct {
	Service string   `json:"service"`
	ModelID string   `json:"model_id"`
	Members []string `json:"members"`
}

// choice is a group that is about to be claimed.
type choice struct {
	service   string
	model     flamingodoor.ModelSpec
	instances []flamingodoor.Instance
	delay     time.Duration
}

// form claims an epoch for the groups that are worth forming and orders their
// members to join.
func (p *Planner) form(ctx context.Context, index *catalogue.Index, view *roster.View, now time.Time) {
	var choices []choice
	for _, service := range index.Services {
		if service.Engine != nil {
			choices = append(choices, p.chooseFor(ctx, service, view, now)...)
		}
	}
	if len(choices) == 0 {
		return
	}
	epoch, ok := p.claim(ctx, choices)
	if !ok {
		return
	}
	if !p.saveHeads(ctx, choices, epoch) {
		return
	}
	p.join(ctx, choices, epoch, now)
}

// groupName names a group of a plan.
func groupName(epoch int64, index int) string {
	return fmt.Sprintf("g%d-%d", epoch, index)
}

// saveHeads registers the heads before any order is given.
func (p *Planner) saveHeads(ctx context.Context, choices []choice, epoch int64) bool {
	heads := make([]flamingodoor.Instance, 0, len(choices))
	for i, made := range choices {
		head := made.instances[0]
		head.Membership = flamingodoor.Membership{
			Group: groupName(epoch, i), Epoch: epoch, State: flamingodoor.MembershipStateOpen, ModelID: made.model.ID,
		}
		heads = append(heads, head)
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	if err := p.Heads.Save(ctx, heads); err != nil {
		_ = level.Warn(p.Logger).Log("event", "heads_unsaved", "epoch", epoch, "err", err)
		return false
	}
	return true
}

// chooseFor chooses the groups of all domains of a service, and stages weights
// on instances that no group can use yet.
func (p *Planner) chooseFor(ctx context.Context, service flamingodoor.ServiceSpec, view *roster.View, now time.Time) []choice {
	counts := p.groupCounts(view, service.Name, now)
	models := p.models(service, counts, len(view.ByService[service.Name]))
	domains := domainsOf(p.free(view, service.Name, now))
	candidates := make([][]formation.Candidate, len(domains))
	byID := make(map[string]flamingodoor.Instance)
	for i, domain := range domains {
		for _, instance := range domain {
			byID[instance.ID] = instance
			candidates[i] = append(candidates[i], p.candidate(service.Engine, instance, now))
		}
	}
	var choices []choice
	for _, groups := range formation.Plan(candidates, models) {
		for _, group := range groups {
			choices = append(choices, choiceOf(service, group, byID))
			counts[group.ModelID]++
		}
	}
	if len(choices) > 0 {
		p.noteDemand(models)
	}
	if p.Quiet() && (len(choices) > 0 || len(p.pending) > 0) {
		// Loads are short until the first request: they wait for the groups that
		// show what each domain may need.
		return choices
	}
	p.stage(ctx, service, view, byID, p.models(service, counts, len(view.ByService[service.Name])), now)
	return choices
}

// choiceOf takes the members of a group out of the free instances.
func choiceOf(service flamingodoor.ServiceSpec, group formation.Group, free map[string]flamingodoor.Instance) choice {
	made := choice{service: service.Name, delay: group.Delay}
	for _, spec := range service.Engine.Models {
		if spec.ID == group.ModelID {
			made.model = spec
		}
	}
	for _, id := range group.Members {
		made.instances = append(made.instances, free[id])
		delete(free, id)
	}
	return made
}

// noteDemand logs what the choice of groups is based on.
func (p *Planner) noteDemand(models []formation.Model) {
	for _, model := range models {
		_ = level.Info(p.Logger).Log("event", "model_demand", "model", model.ID, "work", model.Work, "groups", model.Groups)
	}
}

// groupCounts counts the groups that serve or form, by model.
func (p *Planner) groupCounts(view *roster.View, service string, now time.Time) map[string]float64 {
	counts := make(map[string]float64)
	for _, group := range view.Groups {
		if group.Service != service || p.dissolving[group.Key()] != nil || p.pending[group.Key()] != nil || p.Book.Evacuated(group.DataCentre) {
			continue
		}
		if view.Serving(group, len(group.Members), now) {
			counts[group.ModelID]++
		}
	}
	for _, group := range p.pending {
		if group.service == service {
			counts[group.model]++
		}
	}
	return counts
}

// free lists the instances that may join a group.
func (p *Planner) free(view *roster.View, service string, now time.Time) []flamingodoor.Instance {
	busy := p.busy(view, now)
	var free []flamingodoor.Instance
	for _, entry := range view.ByService[service] {
		if busy[entry.ID] || entry.Leaving || entry.FabricDomain == "" || view.Lost(entry.Instance, now) || p.Book.Evacuated(entry.DataCentre) {
			continue
		}
		free = append(free, entry.Instance)
	}
	return free
}

// busy are the members of groups that serve, form or have yet to end.
func (p *Planner) busy(view *roster.View, now time.Time) map[string]bool {
	busy := make(map[string]bool)
	for _, group := range p.pending {
		for _, member := range group.members {
			busy[member.ID] = true
		}
	}
	for _, group := range view.Groups {
		if p.ended(view, group, now) {
			continue
		}
		for _, member := range group.Members {
			busy[member.ID] = true
		}
	}
	return busy
}

// ended reports whether no head leads the group any more.
func (p *Planner) ended(view *roster.View, group *roster.Group, now time.Time) bool {
	if ending := p.dissolving[group.Key()]; ending != nil {
		return ending.done
	}
	return group.Head().ID == "" && (p.headElsewhereNow(view, group.Key()) || p.headless(group, now))
}

// headElsewhereNow reports whether the register shows that the group's head
// leads it no more: it was registered with a later group, or is listed with
// another membership.
func (p *Planner) headElsewhereNow(view *roster.View, key roster.GroupKey) bool {
	if p.heads == nil {
		return false
	}
	head, ok := p.heads[key]
	if !ok {
		return true
	}
	entry, known := view.Entries[head.ID]
	return known && entry.Listed
}

// headless reports whether a group has had no head for long enough that its
// head is gone and did not merely lose the store.
func (p *Planner) headless(group *roster.Group, now time.Time) bool {
	seen, ok := p.firstSeen[group.Key()]
	if !ok {
		p.firstSeen[group.Key()] = now
		return false
	}
	return now.Sub(seen) > headlessTime
}

func domainsOf(instances []flamingodoor.Instance) [][]flamingodoor.Instance {
	byDomain := make(map[string][]flamingodoor.Instance)
	for _, instance := range instances {
		byDomain[instance.FabricDomain] = append(byDomain[instance.FabricDomain], instance)
	}
	names := make([]string, 0, len(byDomain))
	for name := range byDomain {
		names = append(names, name)
	}
	slices.Sort(names)
	domains := make([][]flamingodoor.Instance, 0, len(names))
	for _, name := range names {
		domains = append(domains, byDomain[name])
	}
	return domains
}

// delays returns how soon an instance is ready for each model that it can
// join without loading weights during traffic.
func (p *Planner) delays(engine *flamingodoor.EngineSpec, instance flamingodoor.Instance, now time.Time) map[string]time.Duration {
	state := p.member(instance)
	quiet := p.Quiet()
	delays := make(map[string]time.Duration, len(engine.Models))
	for _, model := range engine.Models {
		delay := model.LoadTime
		switch {
		case state.lastModel == model.ID || (instance.Membership.Group != "" && instance.Membership.ModelID == model.ID):
			delay = rejoinDelay
		case slices.Contains(instance.StagedModels, model.ID):
			delay = model.WarmTime
		case state.staging == model.ID && now.Before(state.stagedBy):
			delay = state.stagedBy.Sub(now) + model.WarmTime
		case quiet:
			delay = model.LoadTime / quietLoadShare
		}
		if delay <= quickDelay {
			delays[model.ID] = delay
		}
	}
	return delays
}

func (p *Planner) candidate(engine *flamingodoor.EngineSpec, instance flamingodoor.Instance, now time.Time) formation.Candidate {
	last := p.member(instance).lastModel
	if instance.Membership.Group != "" {
		last = instance.Membership.ModelID
	}
	return formation.Candidate{ID: instance.ID, Last: last, Delays: p.delays(engine, instance, now)}
}

// claim appends the plan to the coordination log. A conflict means that
// another host planned since: its groups show in the next step.
func (p *Planner) claim(ctx context.Context, choices []choice) (int64, bool) {
	var record planRecord
	for _, made := range choices {
		group := planGroup{Service: made.service, ModelID: made.model.ID}
		for _, instance := range made.instances {
			group.Members = append(group.Members, instance.ID)
		}
		record.Groups = append(record.Groups, group)
	}
	data, err := json.Marshal(record)
	if err != nil {
		_ = level.Error(p.Logger).Log("event", "plan_unencodable", "err", err)
		return 0, false
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	epoch, claimed, err := p.Epochs.Claim(ctx, p.epoch, data)
	if err != nil {
		_ = level.Warn(p.Logger).Log("event", "claim_failed", "after", p.epoch, "err", err)
		return 0, false
	}
	_ = level.Info(p.Logger).Log("event", "claim", "after", p.epoch, "epoch", epoch, "claimed", claimed, "groups", len(choices))
	p.epoch = epoch
	if !claimed {
		p.hold()
	}
	return epoch, claimed
}

func (p *Planner) join(ctx context.Context, choices []choice, epoch int64, now time.Time) {
	var orders errgroup.Group
	for i, made := range choices {
		key := roster.GroupKey{Name: groupName(epoch, i), Epoch: epoch}
		p.pending[key] = &pendingGroup{
			service: made.service, model: made.model.ID, members: made.instances,
			deadline: now.Add(made.delay + formSlack),
		}
		ids := make([]string, 0, len(made.instances))
		for _, instance := range made.instances {
			ids = append(ids, instance.ID)
		}
		_ = level.Info(p.Logger).Log("event", "group_forms", "group", key.Name, "epoch", epoch, "model", made.model.ID,
			"delay_ms", made.delay.Milliseconds(), "head", ids[0], "members", len(ids))
		for _, instance := range made.instances {
			state := p.member(instance)
			orders.Go(func() error {
				p.joinOne(ctx, instance, state, key, made.model.ID, ids)
				return nil
			})
		}
	}
	_ = orders.Wait() // results show in the members' entries
}

func (p *Planner) joinOne(ctx context.Context, instance flamingodoor.Instance, state *memberState, key roster.GroupKey, modelID string, ids []string) {
	order := flamingodoor.InstanceOrder{
		Kind: flamingodoor.OrderKindJoin, Group: key.Name, Epoch: key.Epoch, ModelID: modelID, Members: ids,
	}
	result := p.order(ctx, instance, state, order)
	if result == flamingodoor.OrderResultConflict || result == flamingodoor.OrderResultUnknown {
		// The number of orders was out of date, or the answer was lost: the
		// second order names the present number, and one of them is refused.
		// Reports show it a little later.
		p.pause(ctx, reportLag)
		result = p.order(ctx, instance, state, order)
	}
	if result == flamingodoor.OrderResultBegun || result == flamingodoor.OrderResultHolds {
		state.mu.Lock()
		state.lastModel = modelID
		state.mu.Unlock()
	}
}

func loadTime(engine *flamingodoor.EngineSpec, modelID string) time.Duration {
	for _, model := range engine.Models {
		if model.ID == modelID {
			return model.LoadTime
		}
	}
	return 0
}
