// Package plan runs the planner: it records the group changes that placement
// asks for and sends the members of groups their orders.
package plan

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"flamingodoor.example/flamingodoor"
	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
	"flamingodoor.example/flamingodoor/internal/placement"
)

// Defaults of a planner.
const (
	// DefaultInterval is the time between two rounds.
	DefaultInterval = time.Second
	// DefaultRankDelay is the time for which each lower rank must have acted
	// without effect before a planner acts.
	DefaultRankDelay = 2 * time.Second
	// OrderLifetime is the time after which an order is not sent any more. The
	// quarantine of freed hosts exceeds it.
	OrderLifetime = 5 * time.Second
)

const (
	callTimeout   = 5 * time.Second // of a record or a reservation
	reportTimeout = time.Second
	// batchLifetime bounds the age of the view on which a record is based
	// while the log is slow.
	batchLifetime = 5 * time.Second
	// maxSends bounds the orders and reservations in flight. At 1,500
	// endpoints the rest waits for the next round.
	maxSends = 64
)

// Recorder appends a record to the config stream and returns the verdict of
// the state machine.
type Recorder interface {
	Record(ctx context.Context, record *recordv1.Record) (*recordv1.Verdict, error)
}

// Placement decides on groups.
type Placement interface {
	Plan(now time.Time, input placement.Input) []placement.Action
}

// Observer receives the planner's measures. Every host measures all groups,
// so values of several hosts must not be added.
type Observer interface {
	// GroupDown adds time in which the group, or the missing group of that
	// name, did not serve.
	GroupDown(groupID string, down time.Duration)
	// StrandedAccelerators sets the number of accelerators outside serving
	// groups that the plans and shares would use.
	StrandedAccelerators(count int)
	// ChangeRecorded counts a group change by kind and verdict.
	ChangeRecorded(kind string, code recordv1.VerdictCode)
	// OrderSent counts an order; the error is nil if the engine took it.
	OrderSent(err error)
}

// Parts are what a planner works with.
type Parts struct {
	HostID         string
	Configurations flamingodoor.ConfigurationSource
	Health         flamingodoor.HealthView
	Freshness      flamingodoor.FreshnessGate
	Recorder       Recorder
	Engine         flamingodoor.EngineClient
	Weights        flamingodoor.WeightStore
	Placement      Placement
	// Rank returns the rank of this host among the planners of a fabric
	// domain, or false if it is none of them.
	Rank func(fabricDomain string) (int, bool)
}

// Planner plans groups and sends orders.
type Planner struct {
	parts     Parts
	logger    log.Logger
	observer  Observer
	interval  time.Duration
	rankDelay time.Duration

	view  *view
	needs *needs
	last  time.Time // start of the previous round

	sends     errgroup.Group
	recording sync.WaitGroup

	mu       sync.Mutex
	busy     bool   // a batch of records is in flight
	recorded uint64 // offset of the last accepted record of this planner
	orders   map[string]*orderState
}

// Option changes a default of a planner.
type Option func(*Planner)

// WithLogger sets the logger.
func WithLogger(logger log.Logger) Option {
	return func(p *Planner) { p.logger = logger }
}

// WithObserver sets the receiver of measures.
func WithObserver(observer Observer) Option {
	return func(p *Planner) { p.observer = observer }
}

// WithInterval sets the time between two rounds.
func WithInterval(interval time.Duration) Option {
	return func(p *Planner) { p.interval = interval }
}

// WithRankDelay sets the delay for each rank.
func WithRankDelay(delay time.Duration) Option {
	return func(p *Planner) { p.rankDelay = delay }
}

// New returns a planner.
func New(parts Parts, options ...Option) *Planner {
	planner := &Planner{
		parts:     parts,
		logger:    log.NewNopLogger(),
		observer:  noObserver{},
		interval:  DefaultInterval,
		rankDelay: DefaultRankDelay,
		needs:     newNeeds(),
		orders:    map[string]*orderState{},
	}
	if planner.parts.Placement == nil {
		planner.parts.Placement = placement.New()
	}
	for _, option := range options {
		option(planner)
	}
	planner.sends.SetLimit(maxSends)
	return planner
}

// Run plans each interval until the context ends, then waits for the calls in
// flight.
func (p *Planner) Run(ctx context.Context) {
	started := time.Now()
	p.view = newView(started)
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	defer p.recording.Wait()
	defer func() { _ = p.sends.Wait() }()
	for now := started; ; now = time.Now() {
		p.round(ctx, now)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *Planner) round(ctx context.Context, now time.Time) {
	configuration := p.parts.Configurations.Current()
	if configuration == nil {
		return
	}
	elapsed := now.Sub(p.last)
	paused := p.last.IsZero() || elapsed > 3*p.interval
	p.last = now
	fresh := p.parts.Freshness.Fresh(now)
	// Evidence that expired while this process was paused or cut off says
	// nothing about the endpoints.
	input := p.view.update(now, configuration, p.parts.Health, p.parts.Freshness, fresh && !paused)
	if !paused {
		p.measure(now, input, elapsed)
	}
	if !fresh {
		p.needs.clear()
		return
	}
	p.needs.begin(now)
	actions := p.plan(now, input)
	p.change(ctx, now, actions)
	p.order(ctx, now, input, actions)
	p.needs.end()
}

// plan returns the actions of placement. It returns none while a batch is in
// flight or not yet applied here, and none if no endpoint is live, because
// then this host is cut off from the endpoints.
func (p *Planner) plan(now time.Time, input placement.Input) []placement.Action {
	p.mu.Lock()
	wait := p.busy || input.Configuration.Applied() < p.recorded
	p.mu.Unlock()
	if wait {
		p.needs.keep(changePrefixes...)
		return nil
	}
	for _, endpoint := range input.Endpoints {
		if endpoint.Live {
			return p.parts.Placement.Plan(now, input)
		}
	}
	return nil
}

// due reports whether the need has stood long enough for this host's rank.
func (p *Planner) due(now time.Time, key, domain string) bool {
	since := p.needs.since(key, domain)
	rank, planner := p.parts.Rank(domain)
	return planner && now.Sub(since) >= time.Duration(rank)*p.rankDelay
}

func (p *Planner) measure(now time.Time, input placement.Input, elapsed time.Duration) {
	present := map[string]int{}
	for _, group := range input.Configuration.Groups() {
		present[group.PlanID]++
		if !input.Serving[group.ID] {
			p.observer.GroupDown(group.ID, elapsed)
		}
	}
	for _, plan := range input.Configuration.GroupPlans() {
		missing := plan.Groups - present[plan.ID]
		for place := 0; place < plan.Groups && missing > 0; place++ {
			id := placement.GroupID(plan.ID, place)
			if _, exists := input.Configuration.Group(id); !exists {
				p.observer.GroupDown(id, elapsed)
				missing--
			}
		}
	}
	p.observer.StrandedAccelerators(placement.Stranded(now, input))
}

func (p *Planner) warn(event string, err error, keyvals ...any) {
	_ = level.Warn(p.logger).Log(append([]any{"event", event, "err", err}, keyvals...)...)
}

func (p *Planner) info(event string, keyvals ...any) {
	_ = level.Info(p.logger).Log(append([]any{"event", event}, keyvals...)...)
}

type noObserver struct{}

func (noObserver) GroupDown(string, time.Duration)             {}
func (noObserver) StrandedAccelerators(int)                    {}
func (noObserver) ChangeRecorded(string, recordv1.VerdictCode) {}
func (noObserver) OrderSent(error)                             {}
