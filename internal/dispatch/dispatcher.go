// Package dispatch runs admitted requests at endpoints.
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

// Defaults of the dispatcher.
const (
	defaultMaxAttempts           = 4
	defaultPermitTimeout         = time.Second
	defaultProbeTimeout          = 500 * time.Millisecond
	defaultColdFirstChunkTimeout = time.Minute
	defaultServiceTryTimeout     = 5 * time.Second
	defaultEndpointWait          = 2 * time.Second
	defaultResumeWait            = 15 * time.Second
	defaultAvoidTime             = time.Second
	defaultRetryRatio            = 0.1
	defaultRetryFloor            = 10
)

// Parts are what the dispatcher works with. Chooser and RetryBudget have
// defaults; Logger may be nil.
type Parts struct {
	Configuration  flamingodoor.ConfigurationSource
	Freshness      flamingodoor.FreshnessGate
	Health         flamingodoor.HealthView
	HealthRecorder flamingodoor.HealthRecorder
	Permits        flamingodoor.Permits
	Engine         flamingodoor.EngineClient
	Service        flamingodoor.ServiceClient
	Strikes        flamingodoor.CrashTracker
	Chooser        *routing.Chooser
	RetryBudget    *admission.RetryBudget
	HostID         string
	DataCentre     string
	Logger         log.Logger
}

// Dispatcher sends requests to endpoints and retries them where that is safe.
type Dispatcher struct {
	parts                 Parts
	now                   func() time.Time
	maxAttempts           int
	permitTimeout         time.Duration
	probeTimeout          time.Duration
	coldFirstChunkTimeout time.Duration
	serviceTryTimeout     time.Duration
	endpointWait          time.Duration
	resumeWait            time.Duration
	avoidTime             time.Duration
	loads                 loads
	suspects              chan struct{} // holds the suspect in flight, at most one
	background            sync.WaitGroup
}

var _ flamingodoor.ServiceDispatcher = (*Dispatcher)(nil)

// Option changes a default of the dispatcher.
type Option func(*Dispatcher)

// WithClock replaces time.Now.
func WithClock(now func() time.Time) Option {
	return func(d *Dispatcher) { d.now = now }
}

// WithMaxAttempts bounds the sends of one request.
func WithMaxAttempts(attempts int) Option {
	return func(d *Dispatcher) { d.maxAttempts = attempts }
}

// WithColdFirstChunkTimeout bounds the time to the first chunk of a cold
// engine.
func WithColdFirstChunkTimeout(timeout time.Duration) Option {
	return func(d *Dispatcher) { d.coldFirstChunkTimeout = timeout }
}

// WithServiceTryTimeout bounds each try of an idempotent call.
func WithServiceTryTimeout(timeout time.Duration) Option {
	return func(d *Dispatcher) { d.serviceTryTimeout = timeout }
}

// WithEndpointWait sets how long a request waits for an endpoint when there
// is none: before its first send, and to resume an answer.
func WithEndpointWait(first, resume time.Duration) Option {
	return func(d *Dispatcher) { d.endpointWait, d.resumeWait = first, resume }
}

// WithAvoidTime sets how long a request avoids an endpoint that failed it.
func WithAvoidTime(duration time.Duration) Option {
	return func(d *Dispatcher) { d.avoidTime = duration }
}

// New returns a dispatcher.
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
		coldFirstChunkTimeout: defaultColdFirstChunkTimeout, serviceTryTimeout: defaultServiceTryTimeout,
		endpointWait: defaultEndpointWait, resumeWait: defaultResumeWait, avoidTime: defaultAvoidTime,
		loads: newLoads(), suspects: make(chan struct{}, 1),
	}
	for _, option := range options {
		option(d)
	}
	return d
}

// Drain waits until cancellations and releases in the background are done.
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

// loads counts what this host sent to each endpoint.
type loads struct {
	mu         sync.Mutex
	byEndpoint map[string]*load
}

type load struct {
	inFlight int
	changes  []change // of the last loadHistory
}

type change struct {
	at    time.Time
	delta int
}

// loadHistory is longer than any valid report is old.
const loadHistory = 5 * time.Second

func newLoads() loads {
	return loads{byEndpoint: map[string]*load{}}
}

// add counts a sent (1) or ended (-1) request.
func (l *loads) add(endpointID string, now time.Time, delta int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, ok := l.byEndpoint[endpointID]
	if !ok {
		entry = &load{}
		l.byEndpoint[endpointID] = entry
	}
	entry.inFlight += delta
	entry.changes = append(entry.changes, change{now, delta})
	expired := 0
	for expired < len(entry.changes) && now.Sub(entry.changes[expired].at) > loadHistory {
		expired++
	}
	entry.changes = entry.changes[expired:]
}

// get returns the requests in flight and their change since a report.
func (l *loads) get(endpointID string, since time.Time) (inFlight, delta int) {
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
