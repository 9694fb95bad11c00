// Package planner keeps replica groups whole: the leading entry host forms
// groups of free instances, opens them when all members are ready and
// dissolves those that lost a member.
package planner

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/catalogue"
	"flamingodoor.example/flamingodoor/internal/formation"
	"flamingodoor.example/flamingodoor/internal/roster"
)

const (
	// stepEvery is the planner's resolution, well below the time that a group
	// takes to form.
	stepEvery = 100 * time.Millisecond
	// orderTimeout is several times the delay between data centres.
	orderTimeout = 400 * time.Millisecond
	// adoptAfter is how long a group of another planner may stay incomplete.
	adoptAfter = 1500 * time.Millisecond
	// headlessTime is how long the members of a group wait whose head nobody
	// knows: it may have lost the store and still serve. It is
	// longer than a usual partition.
	headlessTime = 15 * time.Second
	// formSlack is the time beyond the members' delays in which a group forms.
	formSlack = 2500 * time.Millisecond
	// quickDelay separates members that are ready soon from those that have
	// to load weights.
	quickDelay = 4 * time.Second
	// rejoinDelay is the time of a join with the model of the last group.
	rejoinDelay = 200 * time.Millisecond
	// probeEvery separates two questions to a member that left the list.
	probeEvery = 500 * time.Millisecond
	// drainPatience is how long a leaving member's group may finish its work.
	drainPatience = 1800 * time.Millisecond
	// reportLag is how old the values of a report may be.
	reportLag = 300 * time.Millisecond
	// stageAgainAfter separates two attempts to load weights onto a busy
	// instance.
	stageAgainAfter = 2 * time.Second
	// memberLoadShare is the part of the loads at once, one in so many, that
	// members of groups may use.
	memberLoadShare = 3
	// summaryEvery separates two log lines of the fleet's state.
	summaryEvery = time.Second
	// settleTime is how long orders of another planner take to show.
	settleTime = 700 * time.Millisecond
	// registrationTime without a new instance ends the wait before the first
	// groups are formed.
	registrationTime = 800 * time.Millisecond
	// quietLoadShare is the part of the load time that weights take before
	// the first request.
	quietLoadShare = 10
)

// Refresher reads the registrations from the platform.
type Refresher interface {
	// Refresh reads them at once, also on a host that is fed.
	Refresh()
	// AsOf is when the latest read began that is known here. A leading host
	// takes none of others.
	AsOf() time.Time
}

// Parts are what a planner works with.
type Parts struct {
	Book      *catalogue.Book
	Roster    *roster.Roster
	Instances flamingodoor.InstanceClient
	Epochs    flamingodoor.EpochLog
	Heads     flamingodoor.HeadStore
	Loads     flamingodoor.LoadStore
	Election  flamingodoor.Election
	Refresher Refresher
	// ReachedElsewhere reports whether another host gets an answer from an
	// instance that this one does not reach.
	ReachedElsewhere func(ctx context.Context, instance flamingodoor.Instance) bool
	// InFlight is the work of all hosts at a head.
	InFlight func(instanceID string) int
	// Found tells all hosts that an instance answered at a time.
	Found func(instance flamingodoor.Instance, at time.Time)
	// Retire takes new work off a group on all hosts.
	Retire func(key roster.GroupKey)
	// Work is the engine seconds asked a second of a model by all hosts.
	Work func(service, modelID string) float64
	// Quiet reports that no host has seen a request yet.
	Quiet  func() bool
	Logger log.Logger
}

// Planner forms and dissolves groups while it leads.
type Planner struct {
	Parts
	now        func() time.Time
	pause      func(ctx context.Context, length time.Duration)
	background func(work func())

	renewals chan struct{}

	mu         sync.Mutex
	leadsUntil time.Time

	// Used by the loop alone.
	epoch      int64
	members    map[string]*memberState
	pending    map[roster.GroupKey]*pendingGroup
	dissolving map[roster.GroupKey]*dissolution
	firstSeen  map[roster.GroupKey]time.Time
	retiring   map[roster.GroupKey]time.Time
	heads      map[roster.GroupKey]flamingodoor.Instance // of groups formed before this host led
	probed     map[string]time.Time
	loads      map[string]flamingodoor.WeightLoad // under way, by instance
	loaded     []string                           // instances whose loads are over, still in the register
	wasLeading bool
	summarised time.Time
	rebalanced time.Time
	known      int       // instances of the previous step
	grownAt    time.Time // when their number last changed
	ledSince   time.Time // when this host took the lead
	holdUntil  time.Time // no groups are formed before
}

// memberState is what the planner knows of an instance beyond its entry.
type memberState struct {
	mu        sync.Mutex
	born      time.Time
	sequence  int64 // accepted orders; below 0 until it is asked
	lastModel string
	staging   string
	stagedBy  time.Time // when the staging under way is over
}

// pendingGroup is a group that forms.
type pendingGroup struct {
	service  string
	model    string
	members  []flamingodoor.Instance
	deadline time.Time
	opening  bool
}

// dissolution is a group that ends.
type dissolution struct {
	reason string
	done   bool
	since  time.Time
	// presumed is set if the head neither is listed nor answers any host; listed
	// are the members that were listed then. Others may have been cut off.
	presumed bool
	listed   map[string]bool
}

// Option changes a setting of a Planner.
type Option func(*Planner)

// WithClock sets the clock and how the planner waits.
func WithClock(now func() time.Time, pause func(ctx context.Context, length time.Duration)) Option {
	return func(p *Planner) { p.now, p.pause = now, pause }
}

// WithBackground sets how work runs for which a step does not wait.
func WithBackground(run func(work func())) Option {
	return func(p *Planner) { p.background = run }
}

// New returns a planner.
func New(parts Parts, options ...Option) *Planner {
	p := &Planner{
		Parts: parts, now: time.Now, pause: sleep, background: func(work func()) { go work() }, renewals: make(chan struct{}, 1), members: make(map[string]*memberState),
		pending: make(map[roster.GroupKey]*pendingGroup), dissolving: make(map[roster.GroupKey]*dissolution),
		firstSeen: make(map[roster.GroupKey]time.Time), retiring: make(map[roster.GroupKey]time.Time), probed: make(map[string]time.Time), loads: make(map[string]flamingodoor.WeightLoad),
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// Leads reports whether this host plans.
func (p *Planner) Leads() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.now().Before(p.leadsUntil)
}

// RunElection renews the lease until the context ends.
func (p *Planner) RunElection(ctx context.Context, every time.Duration) {
	failed := false
	for ctx.Err() == nil {
		leads, deadline, err := p.Election.Renew(ctx)
		if err != nil && !failed {
			_ = level.Warn(p.Logger).Log("event", "election_lost_store", "err", err)
		}
		failed = err != nil
		if err == nil {
			p.lead(leads, deadline)
		}
		p.awaitRenewal(ctx, every)
	}
}

// Renew asks for the election's result at once, after another host stopped.
func (p *Planner) Renew() {
	select {
	case p.renewals <- struct{}{}:
	default:
	}
}

func (p *Planner) awaitRenewal(ctx context.Context, every time.Duration) {
	timer := time.NewTimer(every)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-p.renewals:
	}
}

func (p *Planner) lead(leads bool, deadline time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !leads {
		deadline = time.Time{}
	}
	p.leadsUntil = deadline
}

// Run plans until the context ends.
func (p *Planner) Run(ctx context.Context) {
	ticker := time.NewTicker(stepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.Step(ctx)
		}
	}
}

// Step plans once, if this host leads.
func (p *Planner) Step(ctx context.Context) {
	leads := p.Leads()
	if leads != p.wasLeading {
		p.wasLeading = leads
		p.begin(ctx, leads)
		_ = level.Info(p.Logger).Log("event", "leadership", "leads", leads, "epoch", p.epoch)
	}
	index := p.Book.Index()
	if !leads || index == nil || !p.Roster.Loaded() {
		return
	}
	now := p.now()
	if p.Refresher.AsOf().Before(p.ledSince) {
		// What this host was fed may lack the last groups of an earlier planner.
		p.Refresher.Refresh()
		return
	}
	p.recallHeads(p.Roster.View(), now)
	view := p.Roster.View()
	p.summarise(index, view, now)
	p.probeGhosts(ctx, view, now)
	p.checkLosses(ctx, view, now)
	p.advance(ctx, view, now)
	p.review(index, view, now)
	p.dissolve(ctx, view, now)
	if p.mayForm(now) && p.settled(view, now) {
		p.rebalance(index, view, now)
		p.form(ctx, index, view, now)
	}
	if len(p.pending) > 0 {
		p.Refresher.Refresh()
	}
}

// begin forgets what only the previous time as leader knew.
func (p *Planner) begin(ctx context.Context, leads bool) {
	clear(p.pending)
	clear(p.dissolving)
	clear(p.members)
	clear(p.firstSeen)
	clear(p.retiring)
	clear(p.loads)
	p.loaded = nil
	p.ledSince = p.now()
	if leads {
		p.readEpoch(ctx)
		p.loadHeads(ctx)
		p.recallLoads(ctx)
	}
	p.hold()
}

// readEpoch asks for the newest epoch. Without it, the first claim finds it by
// a conflict.
func (p *Planner) readEpoch(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	epoch, err := p.Epochs.Newest(ctx)
	if err != nil {
		_ = level.Warn(p.Logger).Log("event", "epoch_unknown", "err", err)
	}
	p.epoch = max(p.epoch, epoch)
}

// loadHeads reads which instances led groups, for those whose entry lapsed
// before this host started.
func (p *Planner) loadHeads(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	p.heads = nil
	heads, err := p.Heads.Load(ctx)
	if err != nil {
		_ = level.Warn(p.Logger).Log("event", "heads_unknown", "err", err)
		return
	}
	p.heads = make(map[roster.GroupKey]flamingodoor.Instance, len(heads))
	for _, head := range heads {
		p.heads[roster.GroupKey{Name: head.Membership.Group, Epoch: head.Membership.Epoch}] = head
	}
}

// recallHeads adds the heads of groups of which only other members are known.
func (p *Planner) recallHeads(view *roster.View, now time.Time) {
	recalled := false
	for _, group := range view.Groups {
		head, ok := p.heads[group.Key()]
		if !ok || group.Head().ID != "" {
			continue
		}
		if _, listed := view.Entries[head.ID]; listed {
			continue
		}
		_ = level.Info(p.Logger).Log("event", "head_recalled", "group", group.Name, "epoch", group.Epoch, "instance", head.ID)
		p.Roster.AddUnlisted(head, now)
		recalled = true
	}
	if recalled {
		p.Roster.Publish(now)
	}
}

// mayForm reports whether the orders of an earlier planner show in what this
// host read.
func (p *Planner) mayForm(now time.Time) bool {
	if now.Before(p.holdUntil) {
		return false
	}
	if p.Refresher.AsOf().Before(p.holdUntil) {
		p.Refresher.Refresh()
		return false
	}
	return true
}

// hold lets the orders of an earlier planner show in the entries.
func (p *Planner) hold() {
	if !p.Quiet() {
		p.holdUntil = p.now().Add(settleTime)
	}
	p.Refresher.Refresh()
}

// settled reports whether the first registrations have come in: groups made of
// the first few would leave the others in the wrong numbers.
func (p *Planner) settled(view *roster.View, now time.Time) bool {
	if len(view.Entries) != p.known {
		p.known, p.grownAt = len(view.Entries), now
		p.Refresher.Refresh()
	}
	return !p.Quiet() || now.Sub(p.grownAt) > registrationTime
}

func (p *Planner) member(instance flamingodoor.Instance) *memberState {
	state, ok := p.members[instance.ID]
	if !ok || !state.born.Equal(instance.StartedAt) {
		state = &memberState{born: instance.StartedAt, sequence: -1}
		p.members[instance.ID] = state
	}
	return state
}

// order gives an order with the number of orders that the instance accepted,
// so that one which arrives late finds another number.
func (p *Planner) order(ctx context.Context, instance flamingodoor.Instance, state *memberState, order flamingodoor.InstanceOrder) flamingodoor.OrderResult {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	state.mu.Lock()
	defer state.mu.Unlock()
	if state.sequence < 0 {
		report, err := p.Instances.Report(ctx, instance.Address)
		if err != nil {
			_ = level.Info(p.Logger).Log("event", "report_failed", "instance", instance.ID, "err", err)
			return flamingodoor.OrderResultUnknown
		}
		state.sequence = report.OrderSequence
	}
	order.Sequence = state.sequence
	result, err := p.Instances.Order(ctx, instance, order)
	switch result {
	case flamingodoor.OrderResultBegun:
		state.sequence++
	case flamingodoor.OrderResultHolds:
		if order.Kind == flamingodoor.OrderKindLeave {
			// A leave is done at once and counts.
			state.sequence++
		}
	default:
		state.sequence = -1
	}
	_ = level.Info(p.Logger).Log("event", "order", "kind", order.Kind, "instance", instance.ID, "group", order.Group,
		"epoch", order.Epoch, "model", order.ModelID, "sequence", order.Sequence, "result", result, "err", err)
	return result
}

// summarise logs the state of the fleet once in a while.
func (p *Planner) summarise(index *catalogue.Index, view *roster.View, now time.Time) {
	if now.Sub(p.summarised) < summaryEvery {
		return
	}
	p.summarised = now
	for _, service := range index.Services {
		if service.Engine == nil {
			continue
		}
		counts := p.groupCounts(view, service.Name, now)
		for _, domain := range domainsOf(p.free(view, service.Name, now)) {
			for _, instance := range domain {
				_ = level.Debug(p.Logger).Log("event", "idle_instance", "instance", instance.ID, "domain", instance.FabricDomain,
					"staged", strings.Join(instance.StagedModels, "+"), "group", instance.Membership.Group, "delays", fmt.Sprint(p.delays(service.Engine, instance, now)))
			}
		}
		for _, model := range service.Engine.Models {
			_ = level.Info(p.Logger).Log("event", "fleet", "service", service.Name, "model", model.ID, "groups", counts[model.ID],
				"work", p.Work(service.Name, model.ID), "listed", len(view.ByService[service.Name]),
				"free", len(p.free(view, service.Name, now)), "pending", len(p.pending))
		}
	}
}

// sizes of the models of a service.
func modelSpec(index *catalogue.Index, service, modelID string) (flamingodoor.ModelSpec, bool) {
	spec, ok := index.Services[service]
	if !ok || spec.Engine == nil {
		return flamingodoor.ModelSpec{}, false
	}
	for _, model := range spec.Engine.Models {
		if model.ID == modelID {
			return model, true
		}
	}
	return flamingodoor.ModelSpec{}, false
}

// work of the models of a service, from what was asked or, before the first
// request, from the configuration.
func (p *Planner) models(service flamingodoor.ServiceSpec, counts map[string]float64, total int) []formation.Model {
	models := make([]formation.Model, 0, len(service.Engine.Models))
	asked := 0.0
	for _, model := range service.Engine.Models {
		asked += p.Work(service.Name, model.ID)
	}
	for _, model := range service.Engine.Models {
		work := p.Work(service.Name, model.ID)
		if asked < leastAsked {
			work = model.InitialShare * float64(total) / float64(max(1, model.InstancesPerGroup)) / 2
		}
		models = append(models, formation.Model{ID: model.ID, Size: model.InstancesPerGroup, Work: work, Groups: counts[model.ID]})
	}
	return models
}

// leastAsked is the work, in engine seconds a second, from which the measured
// demand replaces the configured one.
const leastAsked = 0.3

func sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
