// Package dispatch sends admitted requests to endpoints.
package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/admission"
	"flamingodoor.example/flamingodoor/internal/routing"
)

// Defaults of the options, and settings without an option.
const (
	defaultMaxAttempts           = 4
	defaultPermitTimeout         = time.Second
	defaultProbeTimeout          = 500 * time.Millisecond
	defaultColdFirstChunkTimeout = time.Minute
	defaultServiceAttemptTimeout = 5 * time.Second
	defaultEndpointWait          = 2 * time.Second
	defaultResumeWait            = 15 * time.Second
	defaultAvoidTime             = time.Second
	defaultRetryRatio            = 0.1 // retries per request
	defaultRetryFloor            = 10  // further retries in 10 s
)

// Parts are the dependencies of a Dispatcher. Chooser, RetryBudget and Logger
// may be nil; New then uses defaults, and a logger that discards everything.
type Parts struct {
	Configuration  flamingodoor.ConfigurationSource
	Freshness      flamingodoor.FreshnessGate
	Health         flamingodoor.HealthView
	HealthRecorder flamingodoor.HealthRecorder
	Permits        flamingodoor.Permits
	Engine         flamingodoor.EngineClient
	Service        flamingodoor.ServiceClient
	CrashTracker   flamingodoor.CrashTracker
	Chooser        *routing.Chooser
	RetryBudget    *admission.RetryBudget
	HostID         string
	DataCentre     string
	Logger         log.Logger
}

// Dispatcher sends requests to endpoints and retries those that can be repeated
// safely.
type Dispatcher struct {
	parts                 Parts
	now                   func() time.Time
	maxAttempts           int
	permitTimeout         time.Duration
	probeTimeout          time.Duration
	coldFirstChunkTimeout time.Duration
	serviceAttemptTimeout time.Duration
	endpointWait          time.Duration
	resumeWait            time.Duration
	avoidTime             time.Duration
	loads                 loadTracker
	suspectSlot           chan struct{} // holds an element while a suspect request is in flight
	background            sync.WaitGroup
}

var _ flamingodoor.ServiceDispatcher = (*Dispatcher)(nil)

// Option changes a default of a Dispatcher.
type Option func(*Dispatcher)

// WithClock sets the clock of the dispatcher. The default is time.Now.
func WithClock(now func() time.Time) Option {
	return func(d *Dispatcher) { d.now = now }
}

// WithMaxAttempts limits how many times one request is sent. Attempts of a
// model request that an overloaded engine refused do not count.
func WithMaxAttempts(attempts int) Option {
	return func(d *Dispatcher) { d.maxAttempts = attempts }
}

// WithColdFirstChunkTimeout limits the time until the first chunk from a cold
// engine.
func WithColdFirstChunkTimeout(timeout time.Duration) Option {
	return func(d *Dispatcher) { d.coldFirstChunkTimeout = timeout }
}

// WithServiceAttemptTimeout limits the duration of each attempt of an
// idempotent call.
func WithServiceAttemptTimeout(timeout time.Duration) Option {
	return func(d *Dispatcher) { d.serviceAttemptTimeout = timeout }
}

// WithEndpointWait sets how long a request waits when no endpoint is available:
// first applies until the answer has begun, resume to an interrupted answer.
func WithEndpointWait(first, resume time.Duration) Option {
	return func(d *Dispatcher) { d.endpointWait, d.resumeWait = first, resume }
}

// WithAvoidTime sets how long a request does not use an endpoint again after a
// failed attempt there. It is also the mean delay of a model request that an
// overloaded engine refused while the retry budget is used up.
func WithAvoidTime(duration time.Duration) Option {
	return func(d *Dispatcher) { d.avoidTime = duration }
}

// New returns a Dispatcher with the given dependencies.
func New(parts Parts, options ...Option) *Dispatcher {
	if parts.Chooser == nil {
		parts.Chooser = routing.New(routing.WithDataCentre(parts.DataCentre))
	}
	if parts.RetryBudget == nil {
		parts.RetryBudget = admission.NewRetryBudget(defaultRetryRatio, defaultRetryFloor)
	}
	if parts.Logger == nil {
		parts.Logger = log.NewNopLogger()
	}
	parts.Logger = log.With(parts.Logger, "host", parts.HostID)
	d := &Dispatcher{
		parts: parts, now: time.Now, maxAttempts: defaultMaxAttempts,
		permitTimeout: defaultPermitTimeout, probeTimeout: defaultProbeTimeout,
		coldFirstChunkTimeout: defaultColdFirstChunkTimeout, serviceAttemptTimeout: defaultServiceAttemptTimeout,
		endpointWait: defaultEndpointWait, resumeWait: defaultResumeWait, avoidTime: defaultAvoidTime,
		loads: newLoadTracker(), suspectSlot: make(chan struct{}, 1),
	}
	for _, option := range options {
		option(d)
	}
	return d
}

// Drain waits until the cancellations and permit releases that run in the
// background have ended. It fails with CodeDeadlineExceeded if ctx ends first.
func (d *Dispatcher) Drain(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		d.background.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return flamingodoor.NewError(flamingodoor.CodeDeadlineExceeded, flamingodoor.RunStateMayHaveRun, context.Cause(ctx))
	}
}

// loadTracker counts the requests that this host has in flight at each
// endpoint.
type loadTracker struct {
	mu         sync.Mutex
	byEndpoint map[string]*endpointLoad
}

type endpointLoad struct {
	inFlight int
	changes  []loadChange // within the last loadHistory
}

type loadChange struct {
	at    time.Time
	delta int
}

// loadHistory is how long changes are kept. It is longer than the age of any
// report that is still valid.
const loadHistory = 5 * time.Second

func newLoadTracker() loadTracker {
	return loadTracker{byEndpoint: map[string]*endpointLoad{}}
}

// add changes the number of requests in flight by delta: 1 when a request is
// sent, -1 when it has ended.
func (l *loadTracker) add(endpointID string, now time.Time, delta int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, ok := l.byEndpoint[endpointID]
	if !ok {
		entry = &endpointLoad{}
		l.byEndpoint[endpointID] = entry
	}
	entry.inFlight += delta
	entry.changes = append(entry.changes, loadChange{now, delta})
	expired := 0
	for expired < len(entry.changes) && now.Sub(entry.changes[expired].at) > loadHistory {
		expired++
	}
	entry.changes = entry.changes[expired:]
}

// get returns the number of requests in flight and its change since the time of
// a report.
func (l *loadTracker) get(endpointID string, since time.Time) (inFlight, delta int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, ok := l.byEndpoint[endpointID]
	if !ok {
		return 0, 0
	}
	for _, change := range entry.changes {
		if change.at.After(since) {
			delta += change.delta
		}
	}
	return entry.inFlight, delta
}
