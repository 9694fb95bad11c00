// Package roster holds the registered instances, what this host knows of their
// health, and the replica groups that their memberships form. Successive
// processes may register under one instance ID; StartedAt distinguishes them.
package roster

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"flamingodoor.example/flamingodoor"
)

const (
	// unlistedMemberTime is how long an instance that left the list is still
	// kept as a member of its group. An instance that only lost its connection
	// to the store keeps serving.
	unlistedMemberTime = 20 * time.Second
	// markTimeout is how long an instance or a group stays marked as lost,
	// stalled or retiring unless the mark is renewed. A dead instance leaves
	// the list earlier.
	markTimeout = 6 * time.Second
)

// Entry is an instance and whether the platform's list shows it.
type Entry struct {
	flamingodoor.Instance
	Listed     bool      // shown by the platform's list
	UnlistedAt time.Time // when it left the list
}

// Group is a replica group, assembled from the memberships that its members
// report.
type Group struct {
	Name         string
	Epoch        int64
	Service      string
	ModelID      string
	FabricDomain string
	DataCentre   string
	Members      []Entry   // by rank; the ID is empty where no instance reports the rank
	OpenSince    time.Time // when this host first saw the head open
}

// Key returns the key of this formation of the group.
func (g *Group) Key() GroupKey {
	return GroupKey{Name: g.Name, Epoch: g.Epoch}
}

// Head returns the member of rank 0, which receives the requests. Its ID is
// empty if no instance reports the rank.
func (g *Group) Head() Entry {
	return g.Members[0]
}

// GroupKey identifies one formation of a group: a group that forms again has a
// new epoch.
type GroupKey struct {
	Name  string
	Epoch int64
}

// View is an immutable snapshot of the roster.
type View struct {
	At            time.Time // when the view was built; the same while the roster does not change
	Entries       map[string]Entry
	Groups        []*Group
	ByService     map[string][]Entry // listed instances, sorted by ID
	lostInstances map[string]lossMark
	stalledGroups map[GroupKey]time.Time // when the mark expires
	retiring      map[GroupKey]time.Time // when the mark expires
}

// lossMark marks one process of an instance as lost until the deadline.
type lossMark struct {
	startedAt time.Time
	at        time.Time
	deadline  time.Time
}

// lastAnswer is the latest time at which one process of an instance answered.
type lastAnswer struct {
	startedAt time.Time
	at        time.Time
}

// Lost reports whether this process of the instance is marked as lost because it
// did not answer.
func (v *View) Lost(instance flamingodoor.Instance, now time.Time) bool {
	lost, ok := v.lostInstances[instance.ID]
	return ok && lost.startedAt.Equal(instance.StartedAt) && now.Before(lost.deadline)
}

// Stalled reports whether the group is marked as making no progress.
func (v *View) Stalled(key GroupKey, now time.Time) bool {
	deadline, ok := v.stalledGroups[key]
	return ok && now.Before(deadline)
}

// Retiring reports whether the group is marked as taking no new work.
func (v *View) Retiring(key GroupKey, now time.Time) bool {
	deadline, ok := v.retiring[key]
	return ok && now.Before(deadline)
}

// Serving reports whether the group of the given size may receive requests: its
// head is listed and open, every member is present, ready, not leaving and not
// lost, and the group is marked neither as stalled nor as retiring.
func (v *View) Serving(group *Group, size int, now time.Time) bool {
	if len(group.Members) != size || v.Stalled(group.Key(), now) || v.Retiring(group.Key(), now) {
		return false
	}
	head := group.Head()
	if !head.Listed || head.Membership.State != flamingodoor.MembershipStateOpen {
		return false
	}
	for _, member := range group.Members {
		if member.ID == "" || member.Leaving || v.Lost(member.Instance, now) {
			return false
		}
		state := member.Membership.State
		if state != flamingodoor.MembershipStateOpen && state != flamingodoor.MembershipStateReady {
			return false
		}
	}
	return true
}

// Roster collects changes and publishes them as views. It is safe for
// concurrent use.
type Roster struct {
	mu            sync.Mutex
	entries       map[string]Entry       // by instance ID
	lostInstances map[string]lossMark    // by instance ID
	answers       map[string]lastAnswer  // by instance ID
	stalledGroups map[GroupKey]time.Time // when the mark expires
	retiring      map[GroupKey]time.Time // when the mark expires
	openSince     map[GroupKey]time.Time
	dirty         bool // changed since the latest view
	view          atomic.Pointer[View]
	loaded        atomic.Bool
}

// New returns an empty roster.
func New() *Roster {
	r := &Roster{
		entries: make(map[string]Entry), lostInstances: make(map[string]lossMark), answers: make(map[string]lastAnswer), stalledGroups: make(map[GroupKey]time.Time),
		retiring: make(map[GroupKey]time.Time), openSince: make(map[GroupKey]time.Time),
	}
	r.view.Store(&View{})
	return r
}

// View returns the view that was published last.
func (r *Roster) View() *View {
	return r.view.Load()
}

// Loaded reports whether a complete list has been applied.
func (r *Roster) Loaded() bool {
	return r.loaded.Load()
}

// Replace applies a complete list. Instances that are not in it leave the list.
func (r *Roster) Replace(instances []flamingodoor.Instance, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	listed := make(map[string]bool, len(instances))
	for _, instance := range instances {
		listed[instance.ID] = true
		r.upsert(instance)
	}
	for id := range r.entries {
		if !listed[id] {
			r.remove(id, now)
		}
	}
	r.loaded.Store(true)
}

// Upsert applies a registration and reports whether it changed anything.
// Registrations of earlier processes are ignored.
func (r *Roster) Upsert(instance flamingodoor.Instance) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.upsert(instance)
}

func (r *Roster) upsert(instance flamingodoor.Instance) bool {
	known, ok := r.entries[instance.ID]
	if ok && instance.StartedAt.Before(known.StartedAt) {
		return false
	}
	if ok && known.Listed && sameRegistration(known.Instance, instance) {
		return false
	}
	if lost, isLost := r.lostInstances[instance.ID]; isLost && !lost.startedAt.Equal(instance.StartedAt) {
		delete(r.lostInstances, instance.ID)
	}
	r.entries[instance.ID] = Entry{Instance: instance, Listed: true}
	r.dirty = true
	return true
}

// sameRegistration reports whether the registrations have no relevant
// difference. Times until which an instance is cold are recomputed at each read,
// so differences of less than 100 ms are ignored.
func sameRegistration(known, instance flamingodoor.Instance) bool {
	return known.StartedAt.Equal(instance.StartedAt) && known.Address == instance.Address && known.Leaving == instance.Leaving &&
		known.Membership == instance.Membership && known.Service == instance.Service &&
		known.FabricDomain == instance.FabricDomain && slices.Equal(known.StagedModels, instance.StagedModels) &&
		instance.ColdUntil.Sub(known.ColdUntil).Abs() < 100*time.Millisecond
}

// Remove takes an instance off the list and reports whether it was listed.
func (r *Roster) Remove(id string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.remove(id, now)
}

func (r *Roster) remove(id string, now time.Time) bool {
	entry, ok := r.entries[id]
	if !ok || !entry.Listed {
		return false
	}
	entry.Listed, entry.UnlistedAt = false, now
	r.entries[id] = entry
	r.dirty = true
	return true
}

// AddUnlisted adds an instance that was listed before this host started, unless
// it is known. It counts as unlisted since now.
func (r *Roster) AddUnlisted(instance flamingodoor.Instance, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.entries[instance.ID]; ok {
		return
	}
	r.entries[instance.ID] = Entry{Instance: instance, UnlistedAt: now}
	r.dirty = true
}

// MarkLost records that a process of an instance did not answer at a time. The
// mark is ignored if the same process is known to have answered at that time or
// later.
func (r *Roster) MarkLost(id string, startedAt, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if latest, ok := r.answers[id]; ok && latest.startedAt.Equal(startedAt) && !at.After(latest.at) {
		return
	}
	if known, ok := r.lostInstances[id]; ok && known.startedAt.Equal(startedAt) && !at.After(known.at) {
		return
	}
	r.lostInstances[id] = lossMark{startedAt: startedAt, at: at, deadline: at.Add(markTimeout)}
	r.dirty = true
}

// MarkAlive records that a process of an instance answered at a time. It removes
// an earlier mark as lost, which came from a host that could not reach the
// instance.
func (r *Roster) MarkAlive(id string, startedAt, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[id] = lastAnswer{startedAt: startedAt, at: at}
	if known, ok := r.lostInstances[id]; ok && known.startedAt.Equal(startedAt) && !known.at.After(at) {
		delete(r.lostInstances, id)
		r.dirty = true
	}
}

// MarkStalled records that a group makes no progress although its members
// answer.
func (r *Roster) MarkStalled(key GroupKey, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stalledGroups[key] = now.Add(markTimeout)
	r.dirty = true
}

// MarkRetiring records that a group takes no new work.
func (r *Roster) MarkRetiring(key GroupKey, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retiring[key] = now.Add(markTimeout)
	r.dirty = true
}

// Publish drops what has expired and makes the changes visible in a new view.
func (r *Roster) Publish(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	if !r.dirty {
		return
	}
	r.dirty = false
	r.view.Store(r.buildView(now))
}

func (r *Roster) expire(now time.Time) {
	for id, entry := range r.entries {
		if !entry.Listed && now.Sub(entry.UnlistedAt) > unlistedMemberTime {
			delete(r.entries, id)
			r.dirty = true
		}
	}
	maps.DeleteFunc(r.lostInstances, func(_ string, lost lossMark) bool { return now.After(lost.deadline) })
	maps.DeleteFunc(r.answers, func(_ string, latest lastAnswer) bool { return now.Sub(latest.at) > markTimeout })
	maps.DeleteFunc(r.stalledGroups, func(_ GroupKey, deadline time.Time) bool { return now.After(deadline) })
	maps.DeleteFunc(r.retiring, func(_ GroupKey, deadline time.Time) bool { return now.After(deadline) })
}

func (r *Roster) buildView(now time.Time) *View {
	view := &View{
		At: now, Entries: maps.Clone(r.entries), ByService: make(map[string][]Entry),
		lostInstances: maps.Clone(r.lostInstances), stalledGroups: maps.Clone(r.stalledGroups),
		retiring: maps.Clone(r.retiring),
	}
	groups := make(map[GroupKey]*Group)
	for _, entry := range r.entries {
		if entry.Listed {
			view.ByService[entry.Service] = append(view.ByService[entry.Service], entry)
		}
		if entry.Membership.Group != "" {
			addMember(groups, entry)
		}
	}
	for _, group := range groups {
		view.Groups = append(view.Groups, group)
	}
	r.recordOpenSince(groups, now)
	slices.SortFunc(view.Groups, func(a, b *Group) int { return compareKeys(a.Key(), b.Key()) })
	for _, entries := range view.ByService {
		slices.SortFunc(entries, func(a, b Entry) int { return compareStrings(a.ID, b.ID) })
	}
	return view
}

// recordOpenSince sets the OpenSince of each group whose head is open, and drops
// the times of groups that no longer exist.
func (r *Roster) recordOpenSince(groups map[GroupKey]*Group, now time.Time) {
	maps.DeleteFunc(r.openSince, func(key GroupKey, _ time.Time) bool { return groups[key] == nil })
	for key, group := range groups {
		if len(group.Members) == 0 || group.Head().Membership.State != flamingodoor.MembershipStateOpen {
			continue
		}
		if _, ok := r.openSince[key]; !ok {
			r.openSince[key] = now
		}
		group.OpenSince = r.openSince[key]
	}
}

func addMember(groups map[GroupKey]*Group, entry Entry) {
	key := GroupKey{Name: entry.Membership.Group, Epoch: entry.Membership.Epoch}
	group, ok := groups[key]
	if !ok {
		group = &Group{
			Name: key.Name, Epoch: key.Epoch, Service: entry.Service, ModelID: entry.Membership.ModelID,
			FabricDomain: entry.FabricDomain, DataCentre: entry.DataCentre,
		}
		groups[key] = group
	}
	if group.ModelID == "" {
		group.ModelID = entry.Membership.ModelID
	}
	rank := entry.Membership.Rank
	const maxMembers = 1024 // Members grows to the highest rank reported
	if rank < 0 || rank >= maxMembers {
		return
	}
	for len(group.Members) <= rank {
		group.Members = append(group.Members, Entry{})
	}
	// If several instances report the same rank, a listed one takes precedence.
	if group.Members[rank].ID == "" || entry.Listed {
		group.Members[rank] = entry
	}
}
