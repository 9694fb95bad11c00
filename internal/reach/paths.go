// Package reach tracks which instances answer this host, and whether it has lost
// its paths to all of them.
package reach

import (
	"context"
	"hash/maphash"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"flamingodoor.example/flamingodoor"
)

const (
	// suspicionWindow is the longest time between failures in two areas after which
	// a host suspects its own paths.
	suspicionWindow = 500 * time.Millisecond
	// probeTimeout is how long instances have to answer a host that suspects its own
	// paths, several times the delay between data centres.
	probeTimeout = 250 * time.Millisecond
	// maxVerdictTime is how long probes that all fail may take to show anything: a host
	// that is starved of processor time ends them late and misses their answers.
	maxVerdictTime = probeTimeout * 3 / 2
	// probeInterval is the time between the probes of a stranded host.
	probeInterval = 250 * time.Millisecond
	// refusedInterval is the time between two rounds of probes while a host suspects
	// its own paths, if the first ones fail at once.
	refusedInterval = 50 * time.Millisecond
	// probeCount is how many instances are probed at once.
	probeCount = 4
	// heardResolution is the resolution of the times at which instances were heard,
	// which keeps hosts that forward many streams from writing at each event.
	heardResolution = 5 * time.Millisecond
	// heardSlots is the number of such times. Instances share them by a hash.
	heardSlots = 256
)

// Probe reports whether any process answers at the address of an instance before
// the context ends.
type Probe func(ctx context.Context, instance flamingodoor.Instance) bool

// Change is the begin or the end of the time in which a host is stranded.
type Change struct {
	Stranded bool
	At       time.Time
	Since    time.Time // when the paths were lost, as far as this host knows
}

// Option configures Paths.
type Option func(*Paths)

// WithProbe sets the function that probes instances. Without it, Run does nothing.
func WithProbe(probe Probe) Option {
	return func(p *Paths) { p.probe = probe }
}

// WithInstances sets the function that lists the instances to probe.
func WithInstances(instances func() []flamingodoor.Instance) Option {
	return func(p *Paths) { p.instances = instances }
}

// WithControl sets the function that reports whether another host has answered this one
// since the given time. If none has, this host may be starved of processor time, and
// that no instance answers shows nothing.
func WithControl(answered func(since time.Time) bool) Option {
	return func(p *Paths) { p.control = answered }
}

// WithListener sets the function that is called after each change.
func WithListener(changed func(change Change)) Option {
	return func(p *Paths) { p.changed = changed }
}

// WithPartialListener sets the function that is called if no probe of several areas
// is answered although bytes arrive on connections that were opened before.
func WithPartialListener(partial func()) Option {
	return func(p *Paths) { p.partial = partial }
}

// WithClock replaces time.Now.
func WithClock(now func() time.Time) Option {
	return func(p *Paths) { p.now = now }
}

// Paths holds what this host's connections show of its paths to instances. It is
// safe for concurrent use.
type Paths struct {
	probe     Probe
	instances func() []flamingodoor.Instance
	changed   func(change Change)
	control   func(since time.Time) bool
	partial   func()
	now       func() time.Time
	seed      maphash.Seed
	suspected chan struct{}

	started  time.Time                // the origin of heard, whose clock is not set back
	heard    [heardSlots]atomic.Int64 // nanoseconds since the start, at least 1, by hash of the instance
	stranded atomic.Bool
	suspects atomic.Bool // whether an examination is due or under way

	mu          sync.Mutex
	failures    []failure     // since an instance was heard last, one of each area
	since       time.Time     // when the first of the failures occurred, while stranded
	examination chan struct{} // closed at the verdict; nil unless suspects is set
}

// failure is the failure of the path to an instance.
type failure struct {
	area  area
	first time.Time
	last  time.Time
}

// area is a part of the deployment that may fail as a whole: a fabric domain or,
// for instances without one, a service in a data centre.
type area struct {
	fabricDomain string
	dataCentre   string
	service      string
}

func areaOf(instance flamingodoor.Instance) area {
	if instance.FabricDomain != "" {
		return area{fabricDomain: instance.FabricDomain}
	}
	return area{dataCentre: instance.DataCentre, service: instance.Service}
}

var _ flamingodoor.PathState = (*Paths)(nil)

// New returns the paths of a host that has had no failure.
func New(options ...Option) *Paths {
	p := &Paths{
		instances: func() []flamingodoor.Instance { return nil }, changed: func(Change) {}, control: func(time.Time) bool { return true }, partial: func() {}, now: time.Now,
		seed: maphash.MakeSeed(), suspected: make(chan struct{}, 1),
	}
	for _, option := range options {
		option(p)
	}
	p.started = p.now()
	return p
}

// Stranded reports whether no instance answers this host, although other hosts may
// reach them.
func (p *Paths) Stranded() bool {
	return p.stranded.Load()
}

// Suspected reports whether this host examines its own paths at present, because
// instances of several areas failed and none was heard since.
func (p *Paths) Suspected() bool {
	return p.suspects.Load()
}

// AwaitExamination waits until the examination of this host's paths, if there is one,
// or the context has ended. It reports whether there was one.
func (p *Paths) AwaitExamination(ctx context.Context) bool {
	p.mu.Lock()
	examination := p.examination
	p.mu.Unlock()
	if examination == nil {
		return false
	}
	select {
	case <-examination:
	case <-ctx.Done():
	}
	return true
}

// Heard records that bytes of an instance arrived. They do not end the time in which
// a host is stranded: connections may live on while new ones fail.
func (p *Paths) Heard(instance flamingodoor.Instance, at time.Time) {
	slot := &p.heard[p.slot(instance.ID)]
	since, known := p.sinceStart(at), slot.Load()
	if known == 0 || since-known >= int64(heardResolution) {
		slot.Store(since)
	}
}

func (p *Paths) slot(instanceID string) uint64 {
	return maphash.String(p.seed, instanceID) % heardSlots
}

// sinceStart returns a time in the unit of heard.
func (p *Paths) sinceStart(at time.Time) int64 {
	return max(0, int64(at.Sub(p.started))) + 1
}

// latestHeard returns when bytes of any instance arrived last, or a time before the
// start.
func (p *Paths) latestHeard() time.Time {
	latest := int64(0)
	for i := range p.heard {
		latest = max(latest, p.heard[i].Load())
	}
	return p.started.Add(time.Duration(latest) - 1)
}

// Failed records that a connection to an instance could not be opened, broke or
// stayed silent.
func (p *Paths) Failed(instance flamingodoor.Instance, at time.Time) {
	if p.stranded.Load() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	heard := p.latestHeard()
	p.failures = slices.DeleteFunc(p.failures, func(f failure) bool { return !f.last.After(heard) || at.Sub(f.last) > suspicionWindow })
	failed := areaOf(instance)
	if known := slices.IndexFunc(p.failures, func(f failure) bool { return f.area == failed }); known >= 0 {
		p.failures[known].last = at
	} else if at.After(heard) {
		p.failures = append(p.failures, failure{area: failed, first: at, last: at})
	}
	if len(p.failures) > 1 && p.probe != nil {
		p.beginExamination()
		signal(p.suspected)
	}
}

// beginExamination is called with the lock held.
func (p *Paths) beginExamination() {
	if p.examination == nil {
		p.examination = make(chan struct{})
		p.suspects.Store(true)
	}
}

func (p *Paths) endExamination() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.examination != nil {
		p.suspects.Store(false)
		close(p.examination)
		p.examination = nil
	}
}

// Run probes instances whenever this host suspects its own paths, and while it is
// stranded, until the context ends.
func (p *Paths) Run(ctx context.Context) {
	if p.probe == nil {
		return
	}
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.suspected:
			p.examine(ctx)
			p.endExamination()
		case <-ticker.C:
			if p.stranded.Load() && p.anyAnswers(ctx, nil) {
				p.end()
			}
		}
	}
}

// examine decides whether this host is stranded: instances of several areas failed,
// and none was heard until the probes have ended.
func (p *Paths) examine(ctx context.Context) {
	failed, since := p.suspicion()
	if p.stranded.Load() || len(failed) < 2 || len(p.instances()) == 0 {
		return
	}
	begun := p.now()
	if p.anyAnswersWithin(ctx, failed) || ctx.Err() != nil || !p.control(begun) || p.now().Sub(begun) > maxVerdictTime {
		return
	}
	if !p.latestHeard().Before(since) {
		p.partial()
		return
	}
	p.mu.Lock()
	p.since = since
	p.mu.Unlock()
	p.stranded.Store(true)
	p.changed(Change{Stranded: true, At: p.now(), Since: since})
}

// anyAnswersWithin probes a few instances, and others if all of these fail at once. It
// reports whether one answers within probeTimeout.
func (p *Paths) anyAnswersWithin(ctx context.Context, failed []area) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if p.anyAnswers(ctx, failed) {
			return true
		}
		pause(ctx, refusedInterval)
	}
	return false
}

// suspicion returns the areas with failures since an instance was heard last, and
// the time of the first failure.
func (p *Paths) suspicion() (failed []area, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	heard := p.latestHeard()
	for _, each := range p.failures {
		if !each.last.After(heard) {
			continue
		}
		failed = append(failed, each.area)
		if since.IsZero() || each.first.Before(since) {
			since = each.first
		}
	}
	return failed, since
}

func (p *Paths) end() {
	if !p.stranded.CompareAndSwap(true, false) {
		return
	}
	p.mu.Lock()
	since := p.since
	p.failures = nil
	p.mu.Unlock()
	p.changed(Change{At: p.now(), Since: since})
}

// anyAnswers probes a few instances, those outside the failed areas first, and
// reports whether one answers. All probes end with their time.
func (p *Paths) anyAnswers(ctx context.Context, failed []area) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	chosen := choose(p.instances(), failed)
	answers := make(chan bool, len(chosen))
	for _, instance := range chosen {
		go func() {
			answered := p.probe(ctx, instance)
			if answered {
				p.Heard(instance, p.now())
			}
			answers <- answered
		}()
	}
	for range chosen {
		if <-answers {
			return true
		}
	}
	return false
}

// signal sends to a channel that holds one signal, unless it does.
func signal(to chan struct{}) {
	select {
	case to <- struct{}{}:
	default:
	}
}
