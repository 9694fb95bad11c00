// Package watch probes the endpoints that this host watches.
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
	// Below the period, so that the probes of one endpoint do not overlap.
	defaultTimeout  = 900 * time.Millisecond
	defaultValidity = 3 * time.Second
)

// Parts are what a Watcher works with.
type Parts struct {
	HostID   string
	Engine   flamingodoor.EngineClient
	Recorder flamingodoor.HealthRecorder
	// Watched returns the endpoints that this host watches now.
	Watched func() []flamingodoor.Endpoint
	Logger  log.Logger
}

// Option changes a setting of a Watcher.
type Option func(*Watcher)

// WithPeriod sets the time between two probes of an endpoint.
func WithPeriod(period time.Duration) Option {
	return func(w *Watcher) { w.period = period }
}

// WithTimeout sets the longest duration of one probe.
func WithTimeout(timeout time.Duration) Option {
	return func(w *Watcher) { w.timeout = timeout }
}

// WithObserver adds a function that sees the evidence of every own probe.
func WithObserver(observe func(flamingodoor.Evidence)) Option {
	return func(w *Watcher) { w.observers = append(w.observers, observe) }
}

// Watcher probes endpoints and records what they report.
type Watcher struct {
	parts     Parts
	period    time.Duration
	timeout   time.Duration
	observers []func(flamingodoor.Evidence)

	mu      sync.Mutex
	failing map[string]bool
}

// New returns a watcher. It probes in Run and ProbeNow only.
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

// Run probes every watched endpoint once in each period until the context
// ends. It returns nil after the last probe has ended.
func (w *Watcher) Run(ctx context.Context) error {
	var probes sync.WaitGroup
	defer probes.Wait()
	ticker := time.NewTicker(w.period)
	defer ticker.Stop()
	for {
		watched := w.parts.Watched()
		w.forget(watched)
		for _, endpoint := range watched {
			probes.Go(func() { w.probeLater(ctx, endpoint) })
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// ProbeNow probes the endpoint once and records the evidence. The error has
// CodeEndpointFailed when the endpoint does not answer in time.
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

// probeLater waits for the endpoint's place in the period, which depends on
// its identifier, so that probes are spread over the period.
func (w *Watcher) probeLater(ctx context.Context, endpoint flamingodoor.Endpoint) {
	const places = 1000
	place := xxhash.Sum64String(endpoint.ID) % places
	timer := time.NewTimer(w.period / places * time.Duration(place))
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
	w.logChange(endpoint, err)
}

// logChange writes one line when probes of an endpoint start or stop failing.
func (w *Watcher) logChange(endpoint flamingodoor.Endpoint, err error) {
	w.mu.Lock()
	known := w.failing[endpoint.ID]
	w.failing[endpoint.ID] = err != nil
	w.mu.Unlock()
	if err != nil && !known {
		_ = level.Warn(w.parts.Logger).Log("event", "endpoint_unreachable", "endpoint", endpoint.ID, "err", err)
	}
	if err == nil && known {
		_ = level.Info(w.parts.Logger).Log("event", "endpoint_reachable_again", "endpoint", endpoint.ID)
	}
}

// forget drops the state of endpoints that are no longer watched.
func (w *Watcher) forget(watched []flamingodoor.Endpoint) {
	kept := make(map[string]bool, len(watched))
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, endpoint := range watched {
		kept[endpoint.ID] = w.failing[endpoint.ID]
	}
	w.failing = kept
}
