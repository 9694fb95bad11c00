// Package planner manages the replica groups of model instances. The elected
// leader among the entry hosts forms groups from free instances, opens a group
// when all its members are ready and dissolves a group that lost a member.
package planner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/catalogue"
	"flamingodoor.example/flamingodoor/internal/formation"
	"flamingodoor.example/flamingodoor/internal/roster"
	"flamingodoor.example/flamingodoor/internal/uptime"
)

const (
	// stepInterval is the time between two planning steps. It is well below the
	// time that a group takes to form.
	stepInterval = 100 * time.Millisecond
	// orderTimeout bounds a call to an instance or to the platform. It is
	// several times the delay between data centres.
	orderTimeout = 400 * time.Millisecond
	// incompleteTimeout, plus rejoinDelay for each member, is how long a group of
	// an earlier leader may stay incomplete before it is dissolved.
	incompleteTimeout = 1500 * time.Millisecond
	// headlessTimeout is how long the members of a group with an unknown head
	// stay reserved. The head may have lost its connection to the platform's
	// store and still serve. It is longer than a usual partition.
	headlessTimeout = 15 * time.Second
	// completionMargin is added to the expected time of forming a group or
	// loading weights to get its deadline.
	completionMargin = 2500 * time.Millisecond
	// maxJoinDelay is the longest delay with which an instance may join a
	// group. Instances that first have to load weights take longer.
	maxJoinDelay = 4 * time.Second
	// rejoinDelay is how long an instance takes to join a group of the same
	// model as its previous group.
	rejoinDelay = 200 * time.Millisecond
	// probeInterval is the minimum time between two probes of an instance.
	probeInterval = 500 * time.Millisecond
	// drainTimeout is how long a group may finish its running requests when a
	// member leaves or the group is retired.
	drainTimeout = 1800 * time.Millisecond
	// releaseTime is how long the instances of a group that ends usually take to be
	// free.
	releaseTime = 500 * time.Millisecond
	// releaseTimeout is how long other instances are withheld for those of a group that
	// ends. A head that may still serve can keep its members longer.
	releaseTimeout = 3 * time.Second
	// reportLag is the maximum age of the values in an instance's report.
	reportLag = 300 * time.Millisecond
	// stageRetryDelay is the time between two attempts to load weights onto a
	// busy instance.
	stageRetryDelay = 2 * time.Second
	// memberLoadDivisor divides the maximum number of concurrent loads for loads
	// onto members of groups: these start only while fewer loads are under way
	// than one third of the maximum, rounded down.
	memberLoadDivisor = 3
	// summaryInterval is the time between two log summaries of the fleet.
	summaryInterval = time.Second
	// orderVisibilityDelay is how long orders of another planner take to show in
	// the registrations.
	orderVisibilityDelay = 700 * time.Millisecond
	// registrationIdleTime is how long the number of instances must stay the
	// same before the first groups are formed.
	registrationIdleTime = 800 * time.Millisecond
	// preTrafficLoadDivisor is the factor by which weights load faster before the
	// first request.
	preTrafficLoadDivisor = 10
	// maxOrders bounds the orders to join that are under way: hundreds at once take a
	// small host longer than orderTimeout.
	maxOrders = 128
	// maxBackgroundTasks bounds the calls under way for which a step does not wait.
	maxBackgroundTasks = 64
	// restoreSettleTime is how long after a restore of the platform's store no
	// groups are formed, and none ends for what the store lacks: instances have
	// written again what was lost within about 2 s.
	restoreSettleTime = 2500 * time.Millisecond
)

// Refresher reads the registrations from the platform.
type Refresher interface {
	// Refresh triggers an immediate read, even on a host that normally receives
	// the registrations from the leader.
	Refresh()
	// AsOf returns the time at which the latest read known to this host began.
	// The leader does not adopt reads of other hosts.
	AsOf() time.Time
}

// Parts are the dependencies of a Planner.
type Parts struct {
	Catalogue *catalogue.Cache
	Roster    *roster.Roster
	Instances flamingodoor.InstanceClient
	Epochs    flamingodoor.EpochLog
	Heads     flamingodoor.HeadStore
	Loads     flamingodoor.LoadStore
	Election  flamingodoor.Election
	Refresher Refresher
	// ReachedElsewhere reports whether another host gets an answer from an
	// instance that this host cannot reach, and whether that is known.
	ReachedElsewhere func(ctx context.Context, instance flamingodoor.Instance) (reached, known bool)
	// PathsSound reports whether new connections of this host reach instances of another
	// area than that of the given one; nil if they always do.
	PathsSound func(ctx context.Context, instance flamingodoor.Instance) bool
	// NoneConnects reports whether sound peers state that the machine of an instance
	// does not answer the opening of a connection; nil if that is never known.
	NoneConnects func(ctx context.Context, instance flamingodoor.Instance) bool
	// Stranded reports whether this host has lost its paths to all instances; nil if
	// it never has.
	Stranded func() bool
	// HasSoundPeer reports whether another host that runs has paths to instances; nil
	// if one always has.
	HasSoundPeer func() bool
	// StandsForElection reports whether this host should be a candidate, given
	// whether it is one; nil if it always is.
	StandsForElection func(stands bool) bool
	// InFlight returns the number of requests that all hosts have in flight at
	// the head of a group.
	InFlight func(instanceID string) int
	// AnnounceReachable notifies all hosts that an instance answered a probe that
	// was sent at the given time.
	AnnounceReachable func(instance flamingodoor.Instance, at time.Time)
	// Retire makes all hosts stop sending new requests to a group.
	Retire func(key roster.GroupKey)
	// Demand returns the demand for a model at all hosts, in engine seconds per
	// second.
	Demand func(service, modelID string) float64
	// DemandCoverage returns the share of the known hosts whose reports of demand this
	// host has; nil if it always has all.
	DemandCoverage func() float64
	// NoRequestsYet reports whether no host has received a request since the first start
	// of the whole system. Until then, loads of weights are short and not limited.
	NoRequestsYet func() bool
	Logger        log.Logger
}

// Planner forms and dissolves groups while its host is the leader.
type Planner struct {
	Parts
	now        func() time.Time
	uptime     func() time.Time // of the lease
	pause      func(ctx context.Context, duration time.Duration)
	background func(task func())

	renewals chan struct{}
	findings chan struct{} // Wake was called
	yields   atomic.Bool   // whether other hosts should lead
	restored atomic.Bool   // the platform's store was restored since the latest step

	mu         sync.Mutex
	leadsUntil time.Time

	candidacy candidacy

	// The fields below are used only by the goroutine that calls Step.
	epoch          int64
	states         map[string]*instanceState // by instance ID
	pending        map[roster.GroupKey]*pendingGroup
	dissolving     map[roster.GroupKey]*dissolution
	impairedSince  map[roster.GroupKey]time.Time             // when a group was found incomplete, without a head or with a leaving member
	retiring       map[roster.GroupKey]time.Time             // when a group was retired
	inheritedHeads map[roster.GroupKey]flamingodoor.Instance // of groups formed before this host became leader
	formerHeads    map[string]flamingodoor.Instance          // by instance ID, with the last group that they led before this host became leader
	listedSince    time.Time                                 // when this host first had a list of instances
	restoredAt     time.Time                                 // when the platform's store was last restored
	storeMayLack   bool                                      // whether the restored store may lack heads and loads that this host knows
	probedAt       map[string]time.Time                      // by instance ID, of those that are not marked as lost
	silences       map[string]*silence                       // by instance ID, of instances that are marked as lost
	awaited        map[roster.GroupKey]bool                  // groups that would serve but for silent members
	activeLoads    map[string]flamingodoor.WeightLoad        // by instance ID
	loadStarts     []time.Time                               // of the latest loads, also of those that have ended
	endedLoads     []string                                  // instances whose ended loads are still in the load store
	wasLeading     bool
	steppedAt      time.Time // of the latest step
	summarisedAt   time.Time
	rebalancedAt   time.Time
	knownInstances int       // number of instances in the previous step
	countChangedAt time.Time // when the number of instances last changed
	listAsOf       time.Time // of the registrations that the current step sees
	leaderSince    time.Time // when this host last gained or lost the leadership
	formAfter      time.Time // no groups are formed before this time
}

// pendingGroup is a group whose members are joining.
type pendingGroup struct {
	service  string
	modelID  string
	members  []flamingodoor.Instance
	delay    time.Duration // that the members take to join
	deadline time.Time
	opening  bool      // the head has been ordered to open
	retryAt  time.Time // when the head is ordered again after an order without an answer

	mu        sync.Mutex
	unordered map[string]time.Time // latest order to join, by ID of members without an answer
	joinedAt  time.Time            // when a member last answered a repeated order to join
}

// late reports whether the members should have been ready or the head open by now. A
// member that was silent joins later.
func (g *pendingGroup) late(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.After(g.deadline) && now.Sub(g.joinedAt) > g.delay+completionMargin
}

// Option changes a setting of a Planner.
type Option func(*Planner)

// WithClock replaces the clock and the function that pauses for a duration.
func WithClock(now func() time.Time, pause func(ctx context.Context, duration time.Duration)) Option {
	return func(p *Planner) { p.now, p.uptime, p.pause = now, now, pause }
}

// WithUptime replaces uptime.Now, by which the lease is counted.
func WithUptime(now func() time.Time) Option {
	return func(p *Planner) { p.uptime = now }
}

// WithBackground replaces the function that runs tasks for which a step does not
// wait. The default starts a goroutine for each task.
func WithBackground(run func(task func())) Option {
	return func(p *Planner) { p.background = run }
}

// New returns a planner that does not lead until an election is won.
func New(parts Parts, options ...Option) *Planner {
	p := &Planner{
		Parts: parts, now: time.Now, uptime: uptime.Now, pause: sleep, background: bounded(maxBackgroundTasks), renewals: make(chan struct{}, 1), states: make(map[string]*instanceState),
		pending: make(map[roster.GroupKey]*pendingGroup), dissolving: make(map[roster.GroupKey]*dissolution),
		impairedSince: make(map[roster.GroupKey]time.Time), retiring: make(map[roster.GroupKey]time.Time), probedAt: make(map[string]time.Time), silences: make(map[string]*silence), awaited: make(map[roster.GroupKey]bool), findings: make(chan struct{}, 1), activeLoads: make(map[string]flamingodoor.WeightLoad),
	}
	p.candidacy.stands = true
	if p.Stranded == nil {
		p.Stranded = func() bool { return false }
	}
	if p.NoneConnects == nil {
		p.NoneConnects = func(context.Context, flamingodoor.Instance) bool { return false }
	}
	if p.PathsSound == nil {
		p.PathsSound = func(context.Context, flamingodoor.Instance) bool { return true }
	}
	if p.HasSoundPeer == nil {
		p.HasSoundPeer = func() bool { return true }
	}
	for _, option := range options {
		option(p)
	}
	return p
}

// bounded returns a function that runs tasks in the background, unless the given
// number is under way. All tasks are repeated later, and more would only starve a host
// with little processor time.
func bounded(limit int) func(task func()) {
	running := make(chan struct{}, limit)
	return func(task func()) {
		select {
		case running <- struct{}{}:
			go func() {
				defer func() { <-running }()
				task()
			}()
		default:
		}
	}
}

// Run calls Step periodically, and after Wake, until the context ends.
func (p *Planner) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-p.findings:
		}
		p.Step(ctx)
	}
}

// Wake makes Run take a step now, because an instance was marked as lost or found to be
// gone.
func (p *Planner) Wake() {
	select {
	case p.findings <- struct{}{}:
	default:
	}
}

// Step runs one round of planning if this host is the leader.
func (p *Planner) Step(ctx context.Context) {
	leads, restored := p.Leads(), p.restored.Swap(false)
	if leads != p.wasLeading || restored {
		p.wasLeading = leads
		p.resetState(ctx, leads, restored)
		_ = level.Info(p.Logger).Log("event", "leadership", "leads", leads, "epoch", p.epoch)
	}
	if p.listedSince.IsZero() && p.Roster.Loaded() {
		p.listedSince = p.now()
	}
	index := p.Catalogue.Index()
	if !leads || index == nil || !p.Roster.Loaded() {
		return
	}
	now := p.now()
	if p.handOver(ctx) {
		return
	}
	// The view is taken after this: it shows what this read has found.
	p.listAsOf = p.Refresher.AsOf()
	if p.listAsOf.Before(p.leaderSince) {
		// Registrations received from the previous leader may lack the last
		// groups that it formed.
		p.Refresher.Refresh()
		return
	}
	defer func() { p.steppedAt = now }()
	p.restoreHeads(p.Roster.View(), now)
	p.saveLostHeads(ctx, p.Roster.View(), now)
	p.plan(ctx, index, p.Roster.View(), now)
	if len(p.pending) > 0 {
		p.Refresher.Refresh()
	}
}

// plan runs the parts of a step. It stops between two of them when the term of this
// host ends, also if another term has begun since a restore of the platform's store:
// what one part did not find out must not lead the next one to act.
func (p *Planner) plan(ctx context.Context, index *catalogue.Index, view *roster.View, now time.Time) {
	for _, part := range []func(){
		func() { p.logSummary(index, view, now) },
		func() { p.probeDoubtful(ctx, view, now) },
		func() { p.probeLost(ctx, view, now) },
		func() { p.probeUnanswered(ctx, view, now) },
		func() { p.advancePending(ctx, view, now) },
		func() { p.reviewGroups(index, view, now) },
		func() { p.dissolve(ctx, view, now) },
		func() { p.releaseMembers(ctx, view, now) },
		func() { p.planGroups(ctx, index, view, now) },
	} {
		if !p.Leads() || p.restored.Load() {
			return
		}
		part()
	}
}

// planGroups retires and forms groups once the registrations show the orders of
// earlier leaders.
func (p *Planner) planGroups(ctx context.Context, index *catalogue.Index, view *roster.View, now time.Time) {
	if !p.mayForm(now) || !p.registrationsSettled(view, now) {
		return
	}
	p.rebalance(index, view, now)
	p.formGroups(ctx, index, view, now)
}

// mayForm reports whether this host has read registrations recent enough to
// show the orders of an earlier leader.
func (p *Planner) mayForm(now time.Time) bool {
	if now.Before(p.formAfter) {
		return false
	}
	if p.listAsOf.Before(p.formAfter) {
		p.Refresher.Refresh()
		return false
	}
	return true
}

// delayForming postpones new groups until the orders of another planner, and what a
// restore of the platform's store has lost, show in the registrations. Before the
// first request, it only triggers a read of the registrations.
func (p *Planner) delayForming() {
	if !p.NoRequestsYet() {
		p.formAfter = p.now().Add(orderVisibilityDelay)
	}
	if settled := p.restoredAt.Add(restoreSettleTime); settled.After(p.formAfter) {
		p.formAfter = settled
	}
	p.Refresher.Refresh()
}

// registrationsSettled reports whether the initial registrations are complete.
// Groups formed from the first few instances would leave the rest in numbers
// that do not fit the group sizes.
func (p *Planner) registrationsSettled(view *roster.View, now time.Time) bool {
	if len(view.Entries) != p.knownInstances {
		p.knownInstances, p.countChangedAt = len(view.Entries), now
		p.Refresher.Refresh()
	}
	return !p.NoRequestsYet() || now.Sub(p.countChangedAt) > registrationIdleTime
}

// modelSpec returns the specification of a service's model, and whether it
// exists.
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

// formationModels returns the demand and the number of groups of each model of
// a service. While the measured demand is below minMeasuredDemand, the demand is
// derived from the configured shares, on the assumption that it keeps half of the
// service's instances busy.
func (p *Planner) formationModels(service flamingodoor.ServiceSpec, counts map[string]float64, instances int) []formation.Model {
	models := make([]formation.Model, 0, len(service.Engine.Models))
	measured := 0.0
	for _, model := range service.Engine.Models {
		measured += p.Demand(service.Name, model.ID)
	}
	for _, model := range service.Engine.Models {
		demand := p.Demand(service.Name, model.ID)
		if measured < minMeasuredDemand {
			demand = model.InitialShare * float64(instances) / float64(max(1, model.InstancesPerGroup)) / 2
		}
		models = append(models, formation.Model{ID: model.ID, Size: model.InstancesPerGroup, Demand: demand, Groups: counts[model.ID]})
	}
	return models
}

// minMeasuredDemand is the demand of a service, in engine seconds per second, at
// which the measured values replace those derived from the configured shares.
const minMeasuredDemand = 0.3

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
