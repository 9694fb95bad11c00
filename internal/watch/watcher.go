// Package watch probes the endpoints that this host watches and records their
// health evidence.
package watch

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor"
)

const (
	defaultPeriod = time.Second
	// defaultTimeout is below the period, so that the probes of one endpoint do
	// not overlap.
	defaultTimeout  = 900 * time.Millisecond
	defaultValidity = 3 * time.Second // of evidence, from the start of its probe
)

// Parts are the dependencies of a Watcher. Without a Logger nothing is logged.
type Parts struct {
	HostID   string
	Engine   flamingodoor.EngineClient
	Recorder flamingodoor.HealthRecorder
	// Watched returns the endpoints that this host currently watches.
	Watched func() []flamingodoor.Endpoint
	Logger  log.Logger
}

// Option changes a default of a Watcher.
type Option func(*Watcher)

// WithPeriod sets the time between two probes of an endpoint. The default is
// 1 s.
func WithPeriod(period time.Duration) Option {
	return func(w *Watcher) { w.period = period }
}

// WithTimeout sets the timeout of one probe. The default is 900 ms.
func WithTimeout(timeout time.Duration) Option {
	return func(w *Watcher) { w.timeout = timeout }
}

// WithObserver adds a function that is called with the evidence of every
// successful probe of this host.
func WithObserver(observe func(flamingodoor.Evidence)) Option {
	return func(w *Watcher) { w.observers = append(w.observers, observe) }
}

// Watcher probes endpoints and records their reports as evidence.
type Watcher struct {
	parts     Parts
	period    time.Duration
	timeout   time.Duration
	observers []func(flamingodoor.Evidence)

	mu      sync.Mutex
	failing map[string]bool // by endpoint ID: the latest probe failed
}

// New returns a Watcher. It probes only in Run and ProbeNow.
func New(parts Parts, options ...Option) *Watcher {
	if parts.Logger == nil {
		parts.Logger = log.NewNopLogger()
	}
	w := &Watcher{
		parts:   parts,
		period:  defaultPeriod,
		timeout: defaultTimeout,
		failing: make(map[string]bool),
	}
	for _, option := range options {
		option(w)
	}
	return w
}

// Run probes every watched endpoint once per period until the context ends. It
// waits for the probes in progress and returns nil.
func (w *Watcher) Run(ctx context.Context) error {
	var probes sync.WaitGroup
	defer probes.Wait()
	ticker := time.NewTicker(w.period)
	defer ticker.Stop()
	for {
		watched := w.parts.Watched()
		w.dropUnwatched(watched)
		for _, endpoint := range watched {
			probes.Go(func() { w.probeAfterOffset(ctx, endpoint) })
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// ProbeNow probes the endpoint once and records the evidence. The error has
// CodeEndpointFailed if the endpoint does not answer in time or reports no
// incarnation.
func (w *Watcher) ProbeNow(ctx context.Context, endpoint flamingodoor.Endpoint) (flamingodoor.Evidence, error) {
	ctx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	start := time.Now()
	report, err := w.parts.Engine.Report(ctx, endpoint)
	if err != nil {
		return flamingodoor.Evidence{}, flamingodoor.NewError(flamingodoor.CodeEndpointFailed, flamingodoor.RunStateNotRun, err)
	}
	if report.Incarnation == "" {
		return flamingodoor.Evidence{}, flamingodoor.Errorf(flamingodoor.CodeEndpointFailed, "report of endpoint %s has no incarnation", endpoint.ID)
	}
	evidence := flamingodoor.Evidence{
		EndpointID: endpoint.ID,
		Watcher:    w.parts.HostID,
		Report:     report,
		ProbedAt:   start,
		Deadline:   start.Add(defaultValidity),
	}
	w.parts.Recorder.Record(evidence)
	for _, observe := range w.observers {
		observe(evidence)
	}
	return evidence, nil
}

// probeAfterOffset probes the endpoint after a fixed offset into the period. The
// offset is derived from the endpoint's ID, which spreads the probes of all
// endpoints over the period.
func (w *Watcher) probeAfterOffset(ctx context.Context, endpoint flamingodoor.Endpoint) {
	const steps = 1000
	step := xxhash.Sum64String(endpoint.ID) % steps
	timer := time.NewTimer(w.period / steps * time.Duration(step))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return
	case <-timer.C:
	}
	_, err := w.ProbeNow(ctx, endpoint)
	if ctx.Err() != nil {
		return
	}
	w.logTransition(endpoint, err)
}

// logTransition logs when the probes of an endpoint start or stop failing.
func (w *Watcher) logTransition(endpoint flamingodoor.Endpoint, err error) {
	w.mu.Lock()
	wasFailing := w.failing[endpoint.ID]
	w.failing[endpoint.ID] = err != nil
	w.mu.Unlock()
	if err != nil && !wasFailing {
		_ = level.Warn(w.parts.Logger).Log("event", "endpoint_unreachable", "endpoint", endpoint.ID, "err", err)
	}
	if err == nil && wasFailing {
		_ = level.Info(w.parts.Logger).Log("event", "endpoint_reachable_again", "endpoint", endpoint.ID)
	}
}

// dropUnwatched drops the state of endpoints that are no longer watched.
func (w *Watcher) dropUnwatched(watched []flamingodoor.Endpoint) {
	kept := make(map[string]bool, len(watched))
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, endpoint := range watched {
		kept[endpoint.ID] = w.failing[endpoint.ID]
	}
	w.failing = kept
}
