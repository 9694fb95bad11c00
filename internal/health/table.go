// Package health keeps the health evidence of endpoints.
package health

import (
	"fmt"
	"sync"
	"time"

	"flamingodoor.example/flamingodoor"
)

// Validity is how long evidence counts, from the start of its probe.
const Validity = 3 * time.Second

const (
	defaultMaxEndpoints = 20_000
	// Three watchers, and as many again while the entry hosts change.
	maxWatchers = 6
)

// Option changes a setting of a Table.
type Option func(*Table)

// WithMaxEndpoints limits the number of endpoints with evidence.
func WithMaxEndpoints(limit int) Option {
	return func(t *Table) { t.maxEndpoints = limit }
}

// Table holds evidence by endpoint and watcher. It is safe for concurrent use.
type Table struct {
	maxEndpoints int

	mu        sync.RWMutex
	endpoints map[string]*entry
}

var (
	_ flamingodoor.HealthView     = (*Table)(nil)
	_ flamingodoor.HealthRecorder = (*Table)(nil)
)

type entry struct {
	byWatcher map[string]flamingodoor.Evidence
	// Evidence from probes begun before this time does not count.
	suspected time.Time
}

// New returns an empty table.
func New(options ...Option) *Table {
	t := &Table{maxEndpoints: defaultMaxEndpoints, endpoints: make(map[string]*entry)}
	for _, option := range options {
		option(t)
	}
	return t
}

// Record stores the evidence unless a later probe of the same watcher is
// known. The deadline is at most Validity after the start of the probe.
func (t *Table) Record(evidence flamingodoor.Evidence) {
	if limit := evidence.ProbedAt.Add(Validity); evidence.Deadline.After(limit) {
		evidence.Deadline = limit
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entryOf(evidence.EndpointID)
	if e == nil || evidence.ProbedAt.Before(e.suspected) {
		return
	}
	known, ok := e.byWatcher[evidence.Watcher]
	if ok && known.ProbedAt.After(evidence.ProbedAt) {
		return
	}
	if !ok && len(e.byWatcher) >= maxWatchers && !e.dropOlder(evidence.ProbedAt) {
		return
	}
	e.byWatcher[evidence.Watcher] = evidence
}

// Suspect makes evidence from probes begun before now invalid.
func (t *Table) Suspect(endpointID string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entryOf(endpointID)
	if e == nil || now.Before(e.suspected) {
		return
	}
	e.suspected = now
	for watcher, evidence := range e.byWatcher {
		if evidence.ProbedAt.Before(now) {
			delete(e.byWatcher, watcher)
		}
	}
}

// Endpoint returns the report of the latest probe, or false when no evidence
// is valid.
func (t *Table) Endpoint(endpointID string, now time.Time) (flamingodoor.EndpointHealth, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.endpoint(endpointID, now)
}

// GroupServing reports whether the latest valid report of every member names
// the group, its fencing number and its member index in a serving state.
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

// Prune drops endpoints that the configuration does not name.
func (t *Table) Prune(configuration flamingodoor.Configuration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.endpoints {
		if _, ok := configuration.Endpoint(id); !ok {
			delete(t.endpoints, id)
		}
	}
}

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

// entryOf returns nil for a new endpoint when the table is full.
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

// dropOlder drops the oldest evidence if it is older than the given time.
func (e *entry) dropOlder(than time.Time) bool {
	oldest, at := "", than
	for watcher, evidence := range e.byWatcher {
		if evidence.ProbedAt.Before(at) {
			oldest, at = watcher, evidence.ProbedAt
		}
	}
	if !at.Before(than) {
		return false
	}
	delete(e.byWatcher, oldest)
	return true
}

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
