package roster

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"flamingodoor.example/flamingodoor"
)

// unreachableTimeout is how long an instance counts as unreachable from this host
// after the latest failure, unless it answers.
const unreachableTimeout = 3 * time.Second

// Unreachable reports whether this process of the instance did not answer this
// host lately. Other hosts may still reach it: unlike a loss, this says nothing
// about the instance.
func (v *View) Unreachable(instance flamingodoor.Instance, now time.Time) bool {
	mark, ok := v.unreachable[instance.ID]
	return ok && mark.startedAt.Equal(instance.StartedAt) && now.Before(mark.deadline)
}

// UnreachableInstances returns the listed instances whose processes are marked as
// unreachable from this host, those with the oldest marks first. Others get no
// requests until they are listed again.
func (v *View) UnreachableInstances(now time.Time) []flamingodoor.Instance {
	var instances []flamingodoor.Instance
	for id := range v.unreachable {
		if entry, ok := v.Entries[id]; ok && entry.Listed && v.Unreachable(entry.Instance, now) {
			instances = append(instances, entry.Instance)
		}
	}
	slices.SortFunc(instances, func(a, b flamingodoor.Instance) int {
		return cmp.Or(v.unreachable[a.ID].deadline.Compare(v.unreachable[b.ID].deadline), compareStrings(a.ID, b.ID))
	})
	return instances
}

// MarkUnreachable records that a process of an instance did not answer this host
// at a time, and reports whether that is new.
func (r *Roster) MarkUnreachable(id string, startedAt, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.unreachable[id]
	ok = ok && known.startedAt.Equal(startedAt)
	mark := lossMark{startedAt: startedAt, at: at, deadline: at.Add(unreachableTimeout)}
	if ok && mark.deadline.Sub(known.deadline) < markRenewal {
		return false
	}
	r.unreachable[id] = mark
	r.marksDirty = true
	return true
}

// MarkReached records that a process of an instance answered this host at a time.
// It removes an earlier mark as unreachable and reports whether there was one.
func (r *Roster) MarkReached(id string, startedAt, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.unreachable[id]
	if !ok || !known.startedAt.Equal(startedAt) || known.at.After(at) {
		return false
	}
	delete(r.unreachable, id)
	r.marksDirty = true
	return true
}

func (r *Roster) expireUnreachable(now time.Time) {
	before := len(r.unreachable)
	maps.DeleteFunc(r.unreachable, func(_ string, mark lossMark) bool { return now.After(mark.deadline) })
	r.marksDirty = r.marksDirty || len(r.unreachable) != before
}
