// Package permit gives out numbered slots of cold endpoints.
package permit

import (
	"sync"
	"time"

	"flamingodoor.example/flamingodoor"
)

// Validity is how long a grant lasts, from the arrival of the request at the
// watcher.
const Validity = 10 * time.Second

// QuietPeriod is how long a new watcher of an endpoint grants nothing. Grants of
// watchers that it does not know of may last for Validity; those of hosts that
// have yet to apply the change of the watchers begin up to a freshness lease
// (3 s) later.
const QuietPeriod = Validity + 3*time.Second

// Request asks for a slot or renews it.
type Request struct {
	EndpointID  string
	Incarnation string
	Slot        int
	// Holder is unique for each claim of a slot, so that a late release of an
	// earlier claim cannot free a later one.
	Holder          string
	MembersRevision uint64
}

// Decision is the answer to a request.
type Decision struct {
	Granted  bool
	ValidFor time.Duration
	Reason   string
}

// TableOption changes a setting of a Table.
type TableOption func(*Table)

// WithFreshness refuses grants while this host's freshness lease does not
// hold, which bounds how long it can follow an old list of watchers.
func WithFreshness(fresh func(now time.Time) bool) TableOption {
	return func(t *Table) { t.fresh = fresh }
}

// WithQuietPeriod sets how long a new watcher of an endpoint grants nothing.
func WithQuietPeriod(quiet time.Duration) TableOption {
	return func(t *Table) { t.quiet = quiet }
}

// Table holds the slots that this host granted as a watcher. It is safe for
// concurrent use.
type Table struct {
	fresh func(now time.Time) bool
	quiet time.Duration

	mu        sync.Mutex
	revision  uint64
	endpoints map[string]*endpoint
}

type endpoint struct {
	allowance  int
	quietUntil time.Time
	// idleSeen tells that no request can be left from before quietUntil.
	idleSeen bool
	slots    map[int]*slot
}

// slot is a slot that was granted at least once. It is free when released.
// After an expiry without a release the endpoint may still run the request,
// so that the slot stays taken until a probe shows the endpoint idle.
type slot struct {
	holder   string
	until    time.Time
	released bool
}

// NewTable returns a table that grants nothing until Update names the
// endpoints that this host watches.
func NewTable(options ...TableOption) *Table {
	t := &Table{
		fresh:     func(time.Time) bool { return true },
		quiet:     QuietPeriod,
		endpoints: make(map[string]*endpoint),
	}
	for _, option := range options {
		option(t)
	}
	return t
}

// Update sets the endpoints that this host watches by the members revision.
// It must be called after every change of the configuration. Endpoints that
// are new to the table are quiet at first.
func (t *Table) Update(now time.Time, membersRevision uint64, watched []flamingodoor.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.revision = membersRevision
	kept := make(map[string]*endpoint, len(watched))
	for _, w := range watched {
		e, ok := t.endpoints[w.ID]
		if !ok {
			e = &endpoint{quietUntil: now.Add(t.quiet), slots: make(map[int]*slot)}
		}
		e.allowance = w.ColdAllowance
		kept[w.ID] = e
	}
	t.endpoints = kept
}

// Grant decides on a request that arrived at the given time.
func (t *Table) Grant(now time.Time, request Request) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.endpoints[request.EndpointID]
	if !ok {
		return denied("not a watcher of the endpoint")
	}
	if reason := t.refusal(now, e, request); reason != "" {
		return denied(reason)
	}
	s, ok := e.slots[request.Slot]
	if !ok {
		s = &slot{until: e.quietUntil, released: e.idleSeen}
	}
	if reason := s.refusal(now, request.Holder); reason != "" {
		return denied(reason)
	}
	e.slots[request.Slot] = &slot{holder: request.Holder, until: now.Add(Validity)}
	return Decision{Granted: true, ValidFor: Validity}
}

// Release frees a slot that the holder has. The endpoint must not run the
// request any more.
func (t *Table) Release(endpointID string, slotNumber int, holder string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.endpoints[endpointID]
	if !ok {
		return
	}
	if s, ok := e.slots[slotNumber]; ok && s.holder == holder {
		s.released = true
	}
}

// NeedsProbe reports whether a slot of the endpoint has expired without a
// release and waits for ObserveReport.
func (t *Table) NeedsProbe(endpointID string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.endpoints[endpointID]
	if !ok || now.Before(e.quietUntil) {
		return false
	}
	for number := range e.allowance {
		s, ok := e.slots[number]
		if !ok && !e.idleSeen || ok && !s.released && !now.Before(s.until) {
			return true
		}
	}
	return false
}

// ObserveReport frees the slots that expired before the probe began if the
// endpoint had no request in flight. A report of fewer requests than the
// allowance is not enough: they may all be requests whose slots expired, while
// the holders of the other slots have yet to send theirs.
func (t *Table) ObserveReport(evidence flamingodoor.Evidence) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.endpoints[evidence.EndpointID]
	if !ok || evidence.Report.InFlight != 0 {
		return
	}
	if evidence.ProbedAt.After(e.quietUntil) {
		e.idleSeen = true
	}
	for _, s := range e.slots {
		if evidence.ProbedAt.After(s.until) {
			s.released = true
		}
	}
}

func (t *Table) refusal(now time.Time, e *endpoint, request Request) string {
	switch {
	case !t.fresh(now):
		return "watcher has no freshness lease"
	case request.MembersRevision != t.revision:
		return "members revision differs"
	case request.Holder == "":
		return "request names no holder"
	case request.Slot < 0 || request.Slot >= e.allowance:
		return "slot is not below the allowance"
	case now.Before(e.quietUntil):
		return "watcher is new"
	}
	return ""
}

func (s *slot) refusal(now time.Time, holder string) string {
	switch {
	case s.released || s.holder == holder:
		return ""
	case now.Before(s.until):
		return "slot is held"
	}
	return "slot expired and awaits a probe of the idle endpoint"
}

func denied(reason string) Decision {
	return Decision{Reason: reason}
}
