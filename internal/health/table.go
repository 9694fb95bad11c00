// Package health stores the health evidence of endpoints, from this host's own
// probes and from the digests of its peers.
package health

import (
	"fmt"
	"sync"
	"time"

	"flamingodoor.example/flamingodoor"
)

// Validity is how long evidence is valid after the start of its probe.
const Validity = 3 * time.Second

const (
	defaultMaxEndpoints = 20_000
	// maxWatchers limits the evidence of one endpoint. An endpoint has three
	// watchers, and another three while the member list changes.
	maxWatchers = 6
)

// Option changes a default of a Table.
type Option func(*Table)

// WithMaxEndpoints limits the number of endpoints in the table. The default is
// 20,000.
func WithMaxEndpoints(limit int) Option {
	return func(t *Table) { t.maxEndpoints = limit }
}

// Table stores the latest evidence of each endpoint and watcher. It is safe for
// concurrent use.
type Table struct {
	maxEndpoints int

	mu        sync.RWMutex
	endpoints map[string]*entry // by endpoint ID
}

var (
	_ flamingodoor.HealthView     = (*Table)(nil)
	_ flamingodoor.HealthRecorder = (*Table)(nil)
)

// entry is the evidence of one endpoint.
type entry struct {
	byWatcher map[string]flamingodoor.Evidence // by host ID of the watcher
	// invalidatedAt is the time of the latest failure that this host saw.
	// Evidence from probes that started earlier is invalid.
	invalidatedAt time.Time
}

// New returns an empty table.
func New(options ...Option) *Table {
	t := &Table{maxEndpoints: defaultMaxEndpoints, endpoints: make(map[string]*entry)}
	for _, option := range options {
		option(t)
	}
	return t
}

// Record stores the evidence, unless the table has evidence from a later probe
// of the same watcher, the probe started before the latest call of Invalidate, or
// the table is full. If maxWatchers other watchers have evidence of the endpoint,
// the oldest of it is replaced, or the new evidence is dropped if none is older.
// A deadline later than Validity after the start of the probe is reduced to that
// time.
func (t *Table) Record(evidence flamingodoor.Evidence) {
	if limit := evidence.ProbedAt.Add(Validity); evidence.Deadline.After(limit) {
		evidence.Deadline = limit
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entryOf(evidence.EndpointID)
	if e == nil || evidence.ProbedAt.Before(e.invalidatedAt) {
		return
	}
	previous, ok := e.byWatcher[evidence.Watcher]
	if ok && previous.ProbedAt.After(evidence.ProbedAt) {
		return
	}
	if !ok && len(e.byWatcher) >= maxWatchers && !e.dropOldestBefore(evidence.ProbedAt) {
		return
	}
	e.byWatcher[evidence.Watcher] = evidence
}

// Invalidate discards the evidence from probes that started before now, and
// makes Record ignore such evidence from then on.
func (t *Table) Invalidate(endpointID string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entryOf(endpointID)
	if e == nil || now.Before(e.invalidatedAt) {
		return
	}
	e.invalidatedAt = now
	for watcher, evidence := range e.byWatcher {
		if evidence.ProbedAt.Before(now) {
			delete(e.byWatcher, watcher)
		}
	}
}

// Endpoint returns the report of the latest probe, or false if there is no valid
// evidence.
func (t *Table) Endpoint(endpointID string, now time.Time) (flamingodoor.EndpointHealth, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.endpoint(endpointID, now)
}

// GroupServing reports whether the latest valid evidence of every member shows
// that it is cold or warm and has the group's ID, the group's fencing number and
// its own member index. If not, it also returns the reason.
func (t *Table) GroupServing(group flamingodoor.Group, now time.Time) (bool, string) {
	if len(group.EndpointIDs) == 0 {
		return false, "group has no members"
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	for i, endpointID := range group.EndpointIDs {
		health, ok := t.endpoint(endpointID, now)
		if !ok {
			return false, fmt.Sprintf("member %d (%s) has no valid evidence", i, endpointID)
		}
		if reason := mismatch(group, i, health.Report); reason != "" {
			return false, fmt.Sprintf("member %d (%s) %s", i, endpointID, reason)
		}
	}
	return true, ""
}

// Prune drops endpoints that the configuration does not contain.
func (t *Table) Prune(configuration flamingodoor.Configuration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.endpoints {
		if _, ok := configuration.Endpoint(id); !ok {
			delete(t.endpoints, id)
		}
	}
}

// endpoint implements Endpoint. The caller must hold t.mu.
func (t *Table) endpoint(endpointID string, now time.Time) (flamingodoor.EndpointHealth, bool) {
	e, ok := t.endpoints[endpointID]
	if !ok {
		return flamingodoor.EndpointHealth{}, false
	}
	var health flamingodoor.EndpointHealth
	for _, evidence := range e.byWatcher {
		if !now.Before(evidence.Deadline) {
			continue
		}
		health.Watchers++
		if health.Watchers > 1 && !evidence.ProbedAt.After(health.ProbedAt) {
			continue
		}
		health.Report = evidence.Report
		health.ProbedAt = evidence.ProbedAt
		health.Deadline = evidence.Deadline
	}
	return health, health.Watchers > 0
}

// entryOf returns the entry of the endpoint and creates it if necessary. It
// returns nil if the table is full.
func (t *Table) entryOf(endpointID string) *entry {
	if e, ok := t.endpoints[endpointID]; ok {
		return e
	}
	if len(t.endpoints) >= t.maxEndpoints {
		return nil
	}
	e := &entry{byWatcher: make(map[string]flamingodoor.Evidence)}
	t.endpoints[endpointID] = e
	return e
}

// dropOldestBefore drops the oldest evidence if its probe started before the
// given time, and reports whether it did.
func (e *entry) dropOldestBefore(limit time.Time) bool {
	oldestWatcher, oldestProbe := "", limit
	for watcher, evidence := range e.byWatcher {
		if evidence.ProbedAt.Before(oldestProbe) {
			oldestWatcher, oldestProbe = watcher, evidence.ProbedAt
		}
	}
	if !oldestProbe.Before(limit) {
		return false
	}
	delete(e.byWatcher, oldestWatcher)
	return true
}

// mismatch returns why the report does not show a serving member of the group,
// or an empty string if it does.
func mismatch(group flamingodoor.Group, index int, report flamingodoor.Report) string {
	if report.State != flamingodoor.EndpointStateCold && report.State != flamingodoor.EndpointStateWarm {
		return "is " + report.State.String()
	}
	if report.GroupID != group.ID {
		return fmt.Sprintf("reports group %q", report.GroupID)
	}
	if report.FencingNumber != group.FencingNumber {
		return fmt.Sprintf("reports fencing number %d instead of %d", report.FencingNumber, group.FencingNumber)
	}
	if report.MemberIndex != index {
		return fmt.Sprintf("reports member index %d", report.MemberIndex)
	}
	return ""
}
