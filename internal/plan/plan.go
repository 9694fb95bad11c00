// Package plan runs the planner of configured groups. In each round it compares
// the configuration with the health evidence, records the group changes that
// package placement plans, and sends endpoints the orders to join or leave
// groups. Several hosts plan for each fabric domain, ranked from 0. A planner
// of a higher rank acts later, and only if the change has not taken effect by
// then.
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

// Default settings of a planner.
const (
	// DefaultInterval is the time between two planning rounds.
	DefaultInterval = time.Second
	// DefaultRankDelay is the time that a planner gives each lower rank to
	// carry out a pending task before it acts itself.
	DefaultRankDelay = 2 * time.Second
	// OrderLifetime is the time after which an order is no longer sent. The
	// quarantine of freed hosts is longer, so that no old order reaches them.
	OrderLifetime = 5 * time.Second
)

const (
	callTimeout   = 5 * time.Second // for one record or reservation
	reportTimeout = time.Second     // for one direct query of an endpoint's report
	// maxInputAge bounds the age of the input on which a record is based,
	// because a slow log delays the later records of a round.
	maxInputAge = 5 * time.Second
	// maxCallsInFlight bounds the concurrent orders and reservations. With
	// 1,500 endpoints, those above the limit wait for the next round.
	maxCallsInFlight = 64
)

// Recorder appends a record to the config stream and returns the verdict of
// the state machine.
type Recorder interface {
	Record(ctx context.Context, record *recordv1.Record) (*recordv1.Verdict, error)
}

// Placement plans the changes to groups.
type Placement interface {
	Plan(now time.Time, input placement.Input) []placement.Action
}

// Observer receives the planner's metrics. Every host measures all groups, so
// the values of several hosts must not be added up.
type Observer interface {
	// GroupDown adds time for which the group did not serve. A group that is
	// planned but not formed counts under the identifier that it will have.
	GroupDown(groupID string, down time.Duration)
	// StrandedAccelerators sets the number of accelerators that are in no
	// serving group although group plans need them and the clubs' shares allow
	// them.
	StrandedAccelerators(count int)
	// ChangeRecorded counts a group change by kind and verdict.
	ChangeRecorded(kind string, code recordv1.VerdictCode)
	// OrderSent counts an order; the error is nil if the engine accepted it.
	OrderSent(err error)
}

// Parts are the dependencies of a planner. Placement may be nil; New then uses
// placement.New.
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
	// domain, 0 for the first to act, or false if it is none of them.
	Rank func(fabricDomain string) (int, bool)
}

// Planner records group changes and sends orders.
type Planner struct {
	parts     Parts
	logger    log.Logger
	observer  Observer
	interval  time.Duration
	rankDelay time.Duration

	history   *history
	tasks     *taskTracker
	lastRound time.Time // start of the previous round

	sends      errgroup.Group // orders and reservations in flight
	recordings sync.WaitGroup // recordAll in the background

	mu             sync.Mutex
	recordInFlight bool                      // recordAll is running
	lastRecorded   uint64                    // offset of the last accepted record of this planner
	orders         map[string]*orderProgress // by endpoint identifier
}

// Option changes a default of a planner.
type Option func(*Planner)

// WithLogger sets the logger.
func WithLogger(logger log.Logger) Option {
	return func(p *Planner) { p.logger = logger }
}

// WithObserver sets the receiver of metrics.
func WithObserver(observer Observer) Option {
	return func(p *Planner) { p.observer = observer }
}

// WithInterval sets the time between two rounds.
func WithInterval(interval time.Duration) Option {
	return func(p *Planner) { p.interval = interval }
}

// WithRankDelay sets the delay per rank.
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
		tasks:     newTaskTracker(),
		orders:    map[string]*orderProgress{},
	}
	if planner.parts.Placement == nil {
		planner.parts.Placement = placement.New()
	}
	for _, option := range options {
		option(planner)
	}
	planner.sends.SetLimit(maxCallsInFlight)
	return planner
}

// Run starts a planning round at each interval until the context ends, then waits
// for the calls in flight.
func (p *Planner) Run(ctx context.Context) {
	started := time.Now()
	p.history = newHistory(started)
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	defer p.recordings.Wait()
	defer func() { _ = p.sends.Wait() }()
	for now := started; ; now = time.Now() {
		p.runRound(ctx, now)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// runRound makes one planning round. Without a valid freshness lease it only
// updates the history and the metrics. The first round, and one that begins more
// than three intervals after the previous one, counts as the end of a pause.
func (p *Planner) runRound(ctx context.Context, now time.Time) {
	configuration := p.parts.Configurations.Current()
	if configuration == nil {
		return
	}
	elapsed := now.Sub(p.lastRound)
	paused := p.lastRound.IsZero() || elapsed > 3*p.interval
	p.lastRound = now
	fresh := p.parts.Freshness.Fresh(now)
	// Evidence that expired while this process was paused or cut off says
	// nothing about the endpoints.
	input := p.history.update(now, configuration, p.parts.Health, p.parts.Freshness, fresh && !paused)
	if !paused {
		p.reportMetrics(now, input, elapsed)
	}
	if !fresh {
		p.tasks.clear()
		return
	}
	p.tasks.startRound(now)
	actions := p.planActions(now, input)
	p.recordDue(ctx, now, actions)
	p.sendOrders(ctx, now, input, actions)
	p.tasks.finishRound()
}

// planActions returns the actions of package placement. It returns none while
// earlier actions are being recorded or their records are not yet applied on
// this host. It also returns none if no endpoint is live, because then this
// host is cut off from the endpoints.
func (p *Planner) planActions(now time.Time, input placement.Input) []placement.Action {
	p.mu.Lock()
	wait := p.recordInFlight || input.Configuration.Applied() < p.lastRecorded
	p.mu.Unlock()
	if wait {
		p.tasks.retain(changePrefixes...)
		return nil
	}
	for _, endpoint := range input.Endpoints {
		if endpoint.Live {
			return p.parts.Placement.Plan(now, input)
		}
	}
	return nil
}

// isDue reports whether the task has been pending long enough for this host's
// rank in the fabric domain.
func (p *Planner) isDue(now time.Time, key, domain string) bool {
	since := p.tasks.pendingSince(key, domain)
	rank, isPlanner := p.parts.Rank(domain)
	return isPlanner && now.Sub(since) >= time.Duration(rank)*p.rankDelay
}

// reportMetrics reports the stranded accelerators to the observer, and the
// elapsed time as downtime of each group that does not serve or is planned but
// missing.
func (p *Planner) reportMetrics(now time.Time, input placement.Input, elapsed time.Duration) {
	present := map[string]int{}
	for _, group := range input.Configuration.Groups() {
		present[group.PlanID]++
		if !input.Serving[group.ID] {
			p.observer.GroupDown(group.ID, elapsed)
		}
	}
	for _, plan := range input.Configuration.GroupPlans() {
		missing := plan.Groups - present[plan.ID]
		for index := 0; index < plan.Groups && missing > 0; index++ {
			id := placement.GroupID(plan.ID, index)
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
