// Package permit limits the requests in flight at cold endpoints. Each cold
// endpoint has a few numbered slots; a host may send a request while a majority
// of the endpoint's watchers has granted it a slot.
package permit

import (
	"sync"
	"time"

	"flamingodoor.example/flamingodoor"
)

// Validity is how long a grant is valid. A watcher counts it from the arrival
// of the request.
const Validity = 10 * time.Second

// QuietPeriod is how long a new watcher of an endpoint grants nothing. Earlier
// watchers may have granted slots that are valid for Validity, and hosts that
// have not yet applied the change of watchers may still grant slots for up to
// one freshness lease (3 s).
const QuietPeriod = Validity + 3*time.Second

// Request asks a watcher to grant a slot or to renew its grant.
type Request struct {
	EndpointID string
	// Incarnation is the endpoint's incarnation in the holder's evidence. Grant
	// does not compare it: a slot counts for every incarnation.
	Incarnation string
	Slot        int
	// Holder identifies one claim to a slot. It is unique, so that a delayed
	// release of an earlier claim cannot free a later one.
	Holder             string
	EntryHostsRevision uint64
}

// Decision is the answer of a watcher to a Request.
type Decision struct {
	Granted  bool
	ValidFor time.Duration
	Reason   string
}

// TableOption changes a default of a Table.
type TableOption func(*Table)

// WithFreshness sets the check of this host's freshness lease. A table denies
// all requests without a valid lease, which limits how long a host can act on
// an outdated list of watchers.
func WithFreshness(fresh func(now time.Time) bool) TableOption {
	return func(t *Table) { t.fresh = fresh }
}

// WithQuietPeriod sets how long a new watcher of an endpoint grants nothing.
// The default is QuietPeriod.
func WithQuietPeriod(period time.Duration) TableOption {
	return func(t *Table) { t.quietPeriod = period }
}

// Table holds the slots that this host granted as a watcher. It is safe for
// concurrent use.
type Table struct {
	fresh       func(now time.Time) bool
	quietPeriod time.Duration

	mu        sync.Mutex
	revision  uint64
	endpoints map[string]*endpoint
}

type endpoint struct {
	allowance  int
	quietUntil time.Time
	// idleObserved is set once a probe after quietUntil has shown the endpoint
	// idle, so that no request from before the quiet period can still run.
	idleObserved bool
	slots        map[int]*slot // by number
}

// slot is a slot that was granted at least once. It is free once released. If
// it expires without a release, the endpoint may still run the request; the
// slot then stays occupied until a probe shows the endpoint idle.
type slot struct {
	holder   string
	until    time.Time
	released bool
}

// NewTable returns a Table that grants nothing until Update sets the endpoints
// that this host watches.
func NewTable(options ...TableOption) *Table {
	t := &Table{
		fresh:       func(time.Time) bool { return true },
		quietPeriod: QuietPeriod,
		endpoints:   make(map[string]*endpoint),
	}
	for _, option := range options {
		option(t)
	}
	return t
}

// Update sets the endpoints that this host watches at the entry hosts revision.
// It must be called after every change of the configuration. For an endpoint
// that is new to the table a quiet period begins.
func (t *Table) Update(now time.Time, entryHostsRevision uint64, watched []flamingodoor.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revision = entryHostsRevision
	kept := make(map[string]*endpoint, len(watched))
	for _, w := range watched {
		e, ok := t.endpoints[w.ID]
		if !ok {
			e = &endpoint{quietUntil: now.Add(t.quietPeriod), slots: make(map[int]*slot)}
		}
		e.allowance = w.ColdAllowance
		kept[w.ID] = e
	}
	t.endpoints = kept
}

// Grant decides on a request that arrived at now. The holder of a slot is
// granted it again, which renews it.
func (t *Table) Grant(now time.Time, request Request) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.endpoints[request.EndpointID]
	if !ok {
		return denied("not a watcher of the endpoint")
	}
	if reason := t.denialReason(now, e, request); reason != "" {
		return denied(reason)
	}
	s, ok := e.slots[request.Slot]
	if !ok {
		s = &slot{until: e.quietUntil, released: e.idleObserved}
	}
	if reason := s.denialReason(now, request.Holder); reason != "" {
		return denied(reason)
	}
	e.slots[request.Slot] = &slot{holder: request.Holder, until: now.Add(Validity)}
	return Decision{Granted: true, ValidFor: Validity}
}

// Release frees the slot if the holder has it. The endpoint must no longer run
// the holder's request.
func (t *Table) Release(endpointID string, number int, holder string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.endpoints[endpointID]
	if !ok {
		return
	}
	if s, ok := e.slots[number]; ok && s.holder == holder {
		s.released = true
	}
}

// NeedsProbe reports whether a slot of the endpoint stays occupied until
// ObserveReport receives a report of the idle endpoint.
func (t *Table) NeedsProbe(endpointID string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.endpoints[endpointID]
	if !ok || now.Before(e.quietUntil) {
		return false
	}
	for number := range e.allowance {
		s, ok := e.slots[number]
		if !ok && !e.idleObserved || ok && !s.released && !now.Before(s.until) {
			return true
		}
	}
	return false
}

// ObserveReport frees the slots that expired before the probe began, if the
// endpoint had no request in flight. Fewer requests in flight than the
// allowance are not enough: they may all belong to expired slots, while the
// holders of the other slots have not sent theirs yet.
func (t *Table) ObserveReport(evidence flamingodoor.Evidence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.endpoints[evidence.EndpointID]
	if !ok || evidence.Report.InFlight != 0 {
		return
	}
	if evidence.ProbedAt.After(e.quietUntil) {
		e.idleObserved = true
	}
	for _, s := range e.slots {
		if evidence.ProbedAt.After(s.until) {
			s.released = true
		}
	}
}

// denialReason returns why the request is denied whatever the state of its
// slot, or an empty string.
func (t *Table) denialReason(now time.Time, e *endpoint, request Request) string {
	switch {
	case !t.fresh(now):
		return "watcher has no valid freshness lease"
	case request.EntryHostsRevision != t.revision:
		return "entry hosts revision differs"
	case request.Holder == "":
		return "request names no holder"
	case request.Slot < 0 || request.Slot >= e.allowance:
		return "slot is not below the allowance"
	case now.Before(e.quietUntil):
		return "watcher is new to the endpoint and in its quiet period"
	}
	return ""
}

// denialReason returns why the slot cannot be granted to the holder, or an
// empty string.
func (s *slot) denialReason(now time.Time, holder string) string {
	switch {
	case s.released || s.holder == holder:
		return ""
	case now.Before(s.until):
		return "slot is held by another claim"
	}
	return "slot has expired, but no probe has shown the endpoint idle yet"
}

func denied(reason string) Decision {
	return Decision{Reason: reason}
}
