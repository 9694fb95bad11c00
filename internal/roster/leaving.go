package roster

import (
	"maps"
	"time"
)

// leavingMarkTime is how long the mark of an instance outlasts its entry, because
// a list that lags may show the instance again.
const leavingMarkTime = time.Hour

// leavingMark records that one process of an instance stated that it is leaving.
type leavingMark struct {
	startedAt time.Time
	deadline  time.Time // not extended once the instance has no entry
}

// MarkLeaving records that a process of an instance stated that it is leaving,
// and reports whether that is new. The view shows the process as leaving
// whatever the list says, until a newer process registers.
func (r *Roster) MarkLeaving(id string, startedAt, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if entry, ok := r.entries[id]; ok && startedAt.Before(entry.StartedAt) {
		return false
	}
	if known, ok := r.leaving[id]; ok && !startedAt.After(known.startedAt) {
		return false
	}
	r.leaving[id] = leavingMark{startedAt: startedAt, deadline: now.Add(leavingMarkTime)}
	r.dirty = true
	return true
}

// dropLeavingMark deletes the mark of an earlier process than the given one.
func (r *Roster) dropLeavingMark(id string, startedAt time.Time) {
	if mark, ok := r.leaving[id]; ok && startedAt.After(mark.startedAt) {
		delete(r.leaving, id)
	}
}

// expireLeavingMarks deletes the marks of instances that have had no entry for
// leavingMarkTime.
func (r *Roster) expireLeavingMarks(now time.Time) {
	for id, mark := range r.leaving {
		if _, ok := r.entries[id]; ok {
			mark.deadline = now.Add(leavingMarkTime)
			r.leaving[id] = mark
		}
	}
	maps.DeleteFunc(r.leaving, func(_ string, mark leavingMark) bool { return now.After(mark.deadline) })
}

// viewEntries returns the entries as the view shows them: those of known services, and
// those with a mark are leaving.
func (r *Roster) viewEntries() map[string]*Entry {
	entries := maps.Clone(r.entries)
	if len(r.services) > 0 {
		maps.DeleteFunc(entries, func(_ string, entry *Entry) bool { return !r.services[entry.Service] })
	}
	for id, mark := range r.leaving {
		entry, ok := entries[id]
		if !ok || entry.Leaving || !entry.StartedAt.Equal(mark.startedAt) {
			continue
		}
		marked := *entry
		marked.Leaving = true
		entries[id] = &marked
	}
	return entries
}
