package planner

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/catalogue"
	"flamingodoor.example/flamingodoor/internal/formation"
	"flamingodoor.example/flamingodoor/internal/roster"
)

// planRecord is the record that the claim of an epoch appends to the epoch log.
type planRecord struct {
	Groups []planGroup `json:"groups"`
}

// planGroup is one group of a planRecord.
type planGroup struct {
	Service string   `json:"service"`
	ModelID string   `json:"model_id"`
	Members []string `json:"members"`
}

// proposedGroup is a group to be formed, before its epoch is claimed.
type proposedGroup struct {
	service   string
	model     flamingodoor.ModelSpec
	instances []flamingodoor.Instance
	delay     time.Duration
}

// formGroups claims an epoch for the groups that are worth forming and orders
// their members to join.
func (p *Planner) formGroups(ctx context.Context, index *catalogue.Index, view *roster.View, now time.Time) {
	var proposals []proposedGroup
	for _, service := range index.Services {
		if service.Engine != nil {
			proposals = append(proposals, p.proposeGroups(ctx, service, view, now)...)
		}
	}
	if len(proposals) == 0 {
		return
	}
	epoch, ok := p.claim(ctx, proposals)
	if !ok || !p.Leads() {
		return
	}
	if !p.saveHeads(ctx, proposals, epoch) || !p.Leads() {
		return
	}
	p.orderJoins(ctx, proposals, epoch, now)
}

// groupName returns the name of a group, unique by its epoch and its index in
// the plan.
func groupName(epoch int64, index int) string {
	return fmt.Sprintf("g%d-%d", epoch, index)
}

// saveHeads writes the heads of the groups to the head store before any order is
// sent, and reports whether that succeeded.
func (p *Planner) saveHeads(ctx context.Context, proposals []proposedGroup, epoch int64) bool {
	heads := make([]flamingodoor.Instance, 0, len(proposals))
	for i, proposal := range proposals {
		head := proposal.instances[0]
		head.Membership = flamingodoor.Membership{
			Group: groupName(epoch, i), Epoch: epoch, State: flamingodoor.MembershipStateOpen, ModelID: proposal.model.ID,
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

// proposeGroups returns the groups to form in all fabric domains of a service,
// and stages weights onto instances that cannot join a group yet.
func (p *Planner) proposeGroups(ctx context.Context, service flamingodoor.ServiceSpec, view *roster.View, now time.Time) []proposedGroup {
	counts := p.countGroups(view, service.Name, now)
	models := p.formationModels(service, counts, len(view.ByService[service.Name]))
	byID := make(map[string]flamingodoor.Instance)
	for _, instance := range p.freeInstances(view, service.Name, now) {
		byID[instance.ID] = instance
	}
	var proposals []proposedGroup
	for _, groups := range formation.Plan(p.candidates(service, view, now).lists(), models) {
		for _, group := range groups {
			counts[group.ModelID]++
			if group.Waits {
				// Its free members stay free until the others have left their groups.
				withhold(byID, group)
				continue
			}
			proposals = append(proposals, newProposedGroup(service, group, byID))
		}
	}
	if len(proposals) > 0 {
		p.logDemand(models)
	}
	if p.NoRequestsYet() && (len(proposals) > 0 || len(p.pending) > 0) {
		// Weights load quickly before the first request, so loads wait until
		// the groups show which models each domain needs.
		return proposals
	}
	p.stageWeights(ctx, service, view, byID, p.formationModels(service, counts, len(view.ByService[service.Name])), now)
	return proposals
}

// withhold removes the members of a group from the free instances.
func withhold(free map[string]flamingodoor.Instance, group formation.Group) {
	for _, id := range group.Members {
		delete(free, id)
	}
}

// newProposedGroup returns the proposal for a group and removes its members
// from the free instances.
func newProposedGroup(service flamingodoor.ServiceSpec, group formation.Group, free map[string]flamingodoor.Instance) proposedGroup {
	proposal := proposedGroup{service: service.Name, delay: group.Delay}
	for _, spec := range service.Engine.Models {
		if spec.ID == group.ModelID {
			proposal.model = spec
		}
	}
	for _, id := range group.Members {
		proposal.instances = append(proposal.instances, free[id])
	}
	withhold(free, group)
	return proposal
}

// logDemand logs the demand on which the choice of groups is based.
func (p *Planner) logDemand(models []formation.Model) {
	for _, model := range models {
		_ = level.Info(p.Logger).Log("event", "model_demand", "model", model.ID, "work", model.Demand, "groups", model.Groups)
	}
}

// countGroups returns the number of groups that serve or are forming, by model.
func (p *Planner) countGroups(view *roster.View, service string, now time.Time) map[string]float64 {
	counts := make(map[string]float64)
	for _, group := range view.Groups {
		if group.Service != service || p.dissolving[group.Key()] != nil || p.pending[group.Key()] != nil || p.Catalogue.Evacuated(group.DataCentre) {
			continue
		}
		if p.awaited[group.Key()] || view.Serving(group, len(group.Members), now) {
			counts[group.ModelID]++
		}
	}
	for _, group := range p.pending {
		if group.service == service {
			counts[group.modelID]++
		}
	}
	return counts
}

// freeInstances returns the instances of a service that may join a group.
func (p *Planner) freeInstances(view *roster.View, service string, now time.Time) []flamingodoor.Instance {
	busy := p.busyMembers(view)
	var free []flamingodoor.Instance
	for _, entry := range view.ByService[service] {
		if !busy[entry.ID] && p.mayJoin(view, entry, now) {
			free = append(free, entry.Instance)
		}
	}
	return free
}

// mayJoin reports whether an instance may join a group once it is free.
func (p *Planner) mayJoin(view *roster.View, entry *roster.Entry, now time.Time) bool {
	return !entry.Leaving && entry.FabricDomain != "" && p.reaches(view, entry.Instance, now) && !p.Catalogue.Evacuated(entry.DataCentre)
}

// domainCandidates holds the candidates of each fabric domain, by name.
type domainCandidates map[string][]formation.Candidate

// lists returns the candidates of each domain, in the order of the domain names.
func (d domainCandidates) lists() [][]formation.Candidate {
	lists := make([][]formation.Candidate, 0, len(d))
	for _, domain := range slices.Sorted(maps.Keys(d)) {
		lists = append(lists, d[domain])
	}
	return lists
}

// candidates returns the free instances of a service and those whose group ends or
// retires: a group of many members forms of instances that come free one after the
// other.
func (p *Planner) candidates(service flamingodoor.ServiceSpec, view *roster.View, now time.Time) domainCandidates {
	found := make(domainCandidates)
	for _, instance := range p.freeInstances(view, service.Name, now) {
		found[instance.FabricDomain] = append(found[instance.FabricDomain], p.candidate(service.Engine, instance, now))
	}
	for _, group := range view.Groups {
		wait, ends := p.timeToRelease(group.Key(), now)
		if group.Service != service.Name || !ends {
			continue
		}
		for _, member := range group.Members {
			if p.awaitsRelease(group, member) && member.Listed && p.mayJoin(view, &member, now) {
				found[member.FabricDomain] = append(found[member.FabricDomain], p.busyCandidate(service.Engine, member.Instance, wait, now))
			}
		}
	}
	return found
}

// reaches reports whether orders to an instance are likely to arrive: it is marked
// neither as lost nor as unreachable from this host, and has answered its latest order.
func (p *Planner) reaches(view *roster.View, instance flamingodoor.Instance, now time.Time) bool {
	return !view.Lost(instance, now) && !view.Unreachable(instance, now) && !p.stateOf(instance).unanswered.Load()
}

// groupByDomain splits instances by fabric domain, in the order of the domain
// names.
func groupByDomain(instances []flamingodoor.Instance) [][]flamingodoor.Instance {
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

// joinDelays returns how long an instance takes to join a group, by model.
// Models for which it takes longer than maxJoinDelay are absent, and under traffic those
// whose weights it would first have to load: such a join would pass by the limits of the
// weight store.
func (p *Planner) joinDelays(engine *flamingodoor.EngineSpec, instance flamingodoor.Instance, now time.Time) map[string]time.Duration {
	state := p.stateOf(instance)
	lastModel := p.lastModel(instance)
	preTraffic := p.NoRequestsYet()
	delays := make(map[string]time.Duration, len(engine.Models))
	for _, model := range engine.Models {
		var delay time.Duration
		switch {
		case lastModel == model.ID:
			delay = rejoinDelay
		case slices.Contains(instance.StagedModels, model.ID):
			delay = model.WarmTime
		case state.stagingModel == model.ID && now.Before(state.stagingDeadline):
			delay = state.stagingDeadline.Sub(now) + model.WarmTime
		case preTraffic:
			delay = model.LoadTime / preTrafficLoadDivisor
		default:
			continue
		}
		if delay <= maxJoinDelay {
			delays[model.ID] = delay
		}
	}
	return delays
}

// candidate returns the instance as input to the choice of groups.
func (p *Planner) candidate(engine *flamingodoor.EngineSpec, instance flamingodoor.Instance, now time.Time) formation.Candidate {
	return formation.Candidate{ID: instance.ID, LastModel: p.lastModel(instance), Delays: p.joinDelays(engine, instance, now)}
}

// lastModel returns the model of the last group of an instance, or "" if it is not
// known: from its registration, the orders of this leader, what this host has seen
// before the instance left, or the head store.
func (p *Planner) lastModel(instance flamingodoor.Instance) string {
	if instance.Membership.Group != "" {
		return instance.Membership.ModelID
	}
	if ordered := p.stateOf(instance).lastModel; ordered != "" || instance.LastModel != "" {
		return cmp.Or(ordered, instance.LastModel)
	}
	if head, ok := p.formerHeads[instance.ID]; ok && head.StartedAt.Equal(instance.StartedAt) {
		return head.Membership.ModelID
	}
	return ""
}

// claim appends the plan to the epoch log and returns the claimed epoch. On a
// conflict, another host has planned since, and delayForming postpones new groups
// until those of the other host show in the registrations.
func (p *Planner) claim(ctx context.Context, proposals []proposedGroup) (int64, bool) {
	var record planRecord
	for _, proposal := range proposals {
		group := planGroup{Service: proposal.service, ModelID: proposal.model.ID}
		for _, instance := range proposal.instances {
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
	_ = level.Info(p.Logger).Log("event", "claim", "after", p.epoch, "epoch", epoch, "claimed", claimed, "groups", len(proposals))
	p.epoch = epoch
	if !claimed {
		p.delayForming()
	}
	return epoch, claimed
}

// orderJoins orders the members of the proposed groups to join, and tracks the
// groups as pending.
func (p *Planner) orderJoins(ctx context.Context, proposals []proposedGroup, epoch int64, now time.Time) {
	var orders errgroup.Group
	orders.SetLimit(maxOrders)
	for i, proposal := range proposals {
		key := roster.GroupKey{Name: groupName(epoch, i), Epoch: epoch}
		pending := &pendingGroup{
			service: proposal.service, modelID: proposal.model.ID, members: proposal.instances, delay: proposal.delay,
			deadline: now.Add(proposal.delay + completionMargin), unordered: make(map[string]time.Time),
		}
		p.pending[key] = pending
		ids := make([]string, 0, len(proposal.instances))
		for _, instance := range proposal.instances {
			ids = append(ids, instance.ID)
		}
		_ = level.Info(p.Logger).Log("event", "group_forms", "group", key.Name, "epoch", epoch, "model", proposal.model.ID,
			"delay_ms", proposal.delay.Milliseconds(), "head", ids[0], "members", len(ids))
		for _, instance := range proposal.instances {
			state := p.stateOf(instance)
			orders.Go(func() error {
				if !p.orderJoin(ctx, instance, state, key, proposal.model.ID, ids) {
					pending.recordUnordered(instance.ID, p.now())
				}
				return nil
			})
		}
	}
	_ = orders.Wait() // results appear in the members' registrations
}

// orderJoin orders one instance to join a group, and retries once if the order
// sequence was outdated or the answer was lost. It reports whether an order was
// answered.
func (p *Planner) orderJoin(ctx context.Context, instance flamingodoor.Instance, state *instanceState, key roster.GroupKey, modelID string, ids []string) bool {
	order := flamingodoor.InstanceOrder{
		Kind: flamingodoor.OrderKindJoin, Group: key.Name, Epoch: key.Epoch, ModelID: modelID, Members: ids,
	}
	result := p.sendOrder(ctx, instance, state, order)
	if result == flamingodoor.OrderResultConflict || result == flamingodoor.OrderResultUnknown {
		// The order sequence was outdated, or the answer was lost. The retry
		// carries the current sequence, so the instance rejects one of the two
		// orders. The pause is needed because reports show the sequence with a
		// delay.
		p.pause(ctx, reportLag)
		result = p.sendOrder(ctx, instance, state, order)
	}
	state.recordJoin(result, modelID)
	return result != flamingodoor.OrderResultUnknown
}

// recordJoin updates the state after an order to join a group of the model.
func (i *instanceState) recordJoin(result flamingodoor.OrderResult, modelID string) {
	if result == flamingodoor.OrderResultBegun || result == flamingodoor.OrderResultHolds {
		i.mu.Lock()
		i.lastModel = modelID
		i.mu.Unlock()
	}
}

// repeatJoins orders the members again that have not answered an order to join.
func (p *Planner) repeatJoins(ctx context.Context, key roster.GroupKey, group *pendingGroup, now time.Time) {
	ids := make([]string, 0, len(group.members))
	for _, member := range group.members {
		ids = append(ids, member.ID)
	}
	for _, member := range group.members {
		if !group.mayRepeat(member.ID, now) {
			continue
		}
		state := p.stateOf(member)
		p.background(func() {
			result := p.sendOrder(ctx, member, state, flamingodoor.InstanceOrder{
				Kind: flamingodoor.OrderKindJoin, Group: key.Name, Epoch: key.Epoch, ModelID: group.modelID, Members: ids,
			})
			state.recordJoin(result, group.modelID)
			if result != flamingodoor.OrderResultUnknown {
				group.recordOrdered(member.ID, p.now())
			}
		})
	}
}

// recordUnordered records that a member did not answer an order to join.
func (g *pendingGroup) recordUnordered(id string, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.unordered[id] = at
}

// recordOrdered records that a member answered a repeated order to join.
func (g *pendingGroup) recordOrdered(id string, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.joinedAt = at
	delete(g.unordered, id)
}

// mayRepeat reports whether a member may be ordered again now, and records that it is.
func (g *pendingGroup) mayRepeat(id string, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	at, ok := g.unordered[id]
	if !ok || now.Sub(at) < probeInterval {
		return false
	}
	g.unordered[id] = now
	return true
}

// loadTime returns how long loading the weights of a model under traffic takes,
// or 0 if the engine has no such model.
func loadTime(engine *flamingodoor.EngineSpec, modelID string) time.Duration {
	for _, model := range engine.Models {
		if model.ID == modelID {
			return model.LoadTime
		}
	}
	return 0
}
