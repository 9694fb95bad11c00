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
	// markRenewal is by how much a mark must be extended to be published again.
	// Each loss arrives in many messages, whose delays differ a little.
	markRenewal = time.Second
)

// Entry is an instance and whether the platform's list shows it.
type Entry struct {
	flamingodoor.Instance
	Listed     bool      // shown by the platform's list
	UnlistedAt time.Time // when it left the list
}

// View is an immutable snapshot of the roster. Its entries must not be changed.
type View struct {
	At            time.Time // when the view was built; the same while the roster does not change
	Entries       map[string]*Entry
	Groups        []*Group
	ByService     map[string][]*Entry // listed instances, sorted by ID
	lostInstances map[string]lossMark
	unreachable   map[string]lossMark    // from this host
	stalledGroups map[GroupKey]time.Time // when the mark expires
	retiring      map[GroupKey]time.Time // when the mark expires
}

// lossMark marks one process of an instance as lost, or as unreachable from this
// host, until the deadline.
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

// Replaced reports whether another instance has started later at the address of an
// instance, so that an answer from there is not known to be that of the instance.
func (v *View) Replaced(instance flamingodoor.Instance) bool {
	for _, entry := range v.Entries {
		if entry.Address == instance.Address && entry.ID != instance.ID && entry.StartedAt.After(instance.StartedAt) {
			return true
		}
	}
	return false
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
	entries       map[string]*Entry      // by instance ID; entries are replaced, not changed
	lostInstances map[string]lossMark    // by instance ID
	unreachable   map[string]lossMark    // from this host, by instance ID
	answers       map[string]lastAnswer  // by instance ID
	stalledGroups map[GroupKey]time.Time // when the mark expires
	retiring      map[GroupKey]time.Time // when the mark expires
	leaving       map[string]leavingMark // by instance ID
	openSince     map[GroupKey]time.Time
	services      map[string]bool // named by a configuration so far
	unlisted      int             // entries that are not listed
	dirty         bool            // entries changed since the latest view
	marksDirty    bool            // marks changed since the latest view
	view          atomic.Pointer[View]
	loaded        atomic.Bool
}

// New returns an empty roster.
func New() *Roster {
	r := &Roster{
		entries: make(map[string]*Entry), lostInstances: make(map[string]lossMark), unreachable: make(map[string]lossMark), answers: make(map[string]lastAnswer), stalledGroups: make(map[GroupKey]time.Time),
		retiring: make(map[GroupKey]time.Time), leaving: make(map[string]leavingMark), openSince: make(map[GroupKey]time.Time),
		services: make(map[string]bool),
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

// AddServices adds services that a configuration names. Once there are some, the view
// shows the instances of these alone: the entry of another service comes from another
// writer, and names no instance to use.
func (r *Roster) AddServices(services map[string]flamingodoor.ServiceSpec) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for name := range services {
		if !r.services[name] {
			r.services[name], r.dirty = true, true
		}
	}
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
	r.dropLeavingMark(instance.ID, instance.StartedAt)
	if ok && !known.Listed {
		r.unlisted--
	}
	instance.LastModel = lastModel(known, instance)
	r.entries[instance.ID] = &Entry{Instance: instance, Listed: true}
	r.dirty = true
	return true
}

// lastModel returns the model of the last group in which the process of a registration
// was ready. The registration does not show it any more once the process has left. known
// is the entry of the instance before; it may be nil.
func lastModel(known *Entry, instance flamingodoor.Instance) string {
	membership := instance.Membership
	sameProcess := known != nil && known.StartedAt.Equal(instance.StartedAt)
	switch {
	case membership.Group != "" && membership.State != flamingodoor.MembershipStateJoining:
		return membership.ModelID
	case !sameProcess, membership.Group != "" && membership.ModelID != known.LastModel:
		return ""
	default:
		return known.LastModel
	}
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
	r.entries[id] = &Entry{Instance: entry.Instance, UnlistedAt: now}
	r.unlisted++
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
	r.entries[instance.ID] = &Entry{Instance: instance, UnlistedAt: now}
	r.unlisted++
	r.dirty = true
}

// MarkLost records that a process of an instance did not answer at a time, and
// reports whether that is new. The mark is ignored if the same process is known to
// have answered at that time or later.
func (r *Roster) MarkLost(id string, startedAt, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if latest, ok := r.answers[id]; ok && latest.startedAt.Equal(startedAt) && !at.After(latest.at) {
		return false
	}
	known, ok := r.lostInstances[id]
	ok = ok && known.startedAt.Equal(startedAt)
	if ok && !at.After(known.at) {
		return false
	}
	mark := lossMark{startedAt: startedAt, at: at, deadline: at.Add(markTimeout)}
	if ok && mark.deadline.Sub(known.deadline) < markRenewal {
		mark.deadline = known.deadline
		r.lostInstances[id] = mark
		return false
	}
	r.lostInstances[id] = mark
	r.marksDirty = true
	return true
}

// MarkAlive records that a process of an instance answered at a time. It removes
// an earlier mark as lost, which came from a host that could not reach the
// instance. An answer that was given before the latest known one changes nothing.
func (r *Roster) MarkAlive(id string, startedAt, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if latest, ok := r.answers[id]; ok && (startedAt.Before(latest.startedAt) || (startedAt.Equal(latest.startedAt) && at.Before(latest.at))) {
		return
	}
	r.answers[id] = lastAnswer{startedAt: startedAt, at: at}
	if known, ok := r.lostInstances[id]; ok && known.startedAt.Equal(startedAt) && !known.at.After(at) {
		delete(r.lostInstances, id)
		r.marksDirty = true
	}
}

// MarkStalled records that a group makes no progress although its members
// answer, and reports whether that is new.
func (r *Roster) MarkStalled(key GroupKey, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.markGroup(r.stalledGroups, key, now)
}

// MarkRetiring records that a group takes no new work, and reports whether that
// is new.
func (r *Roster) MarkRetiring(key GroupKey, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.markGroup(r.retiring, key, now)
}

// markGroup extends a mark of a group, unless only by less than markRenewal.
func (r *Roster) markGroup(marks map[GroupKey]time.Time, key GroupKey, now time.Time) bool {
	deadline := now.Add(markTimeout)
	if deadline.Sub(marks[key]) < markRenewal {
		return false
	}
	marks[key] = deadline
	r.marksDirty = true
	return true
}

// Publish drops what has expired and makes the changes visible in a new view. If
// only marks changed, the view shares its entries and groups with the one before.
func (r *Roster) Publish(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	if !r.dirty && !r.marksDirty {
		return
	}
	next := *r.view.Load()
	if r.dirty {
		next = r.buildView(now)
	}
	next.At = now
	next.lostInstances, next.stalledGroups, next.retiring = maps.Clone(r.lostInstances), maps.Clone(r.stalledGroups), maps.Clone(r.retiring)
	next.unreachable = maps.Clone(r.unreachable)
	r.dirty, r.marksDirty = false, false
	r.view.Store(&next)
}

func (r *Roster) expire(now time.Time) {
	r.expireLeavingMarks(now)
	if r.unlisted > 0 {
		r.expireUnlisted(now)
	}
	maps.DeleteFunc(r.lostInstances, func(_ string, lost lossMark) bool { return now.After(lost.deadline) })
	r.expireUnreachable(now)
	maps.DeleteFunc(r.answers, func(_ string, latest lastAnswer) bool { return now.Sub(latest.at) > markTimeout })
	maps.DeleteFunc(r.stalledGroups, func(_ GroupKey, deadline time.Time) bool { return now.After(deadline) })
	maps.DeleteFunc(r.retiring, func(_ GroupKey, deadline time.Time) bool { return now.After(deadline) })
}

func (r *Roster) expireUnlisted(now time.Time) {
	for id, entry := range r.entries {
		if !entry.Listed && now.Sub(entry.UnlistedAt) > unlistedMemberTime {
			delete(r.entries, id)
			r.unlisted--
			r.dirty = true
		}
	}
}

// buildView returns a view without marks.
func (r *Roster) buildView(now time.Time) View {
	view := View{Entries: r.viewEntries(), ByService: make(map[string][]*Entry)}
	groups := make(map[GroupKey]*Group)
	sizes := make(map[GroupKey]int)
	for _, entry := range view.Entries {
		if entry.Listed {
			view.ByService[entry.Service] = append(view.ByService[entry.Service], entry)
		}
		if entry.inGroup() {
			sizes[entry.GroupKey()] = max(sizes[entry.GroupKey()], entry.Membership.Rank+1)
		}
	}
	for _, entry := range view.Entries {
		if entry.inGroup() {
			addMember(groups, entry, sizes[entry.GroupKey()])
		}
	}
	for _, group := range groups {
		group.describe()
		view.Groups = append(view.Groups, group)
	}
	r.recordOpenSince(groups, now)
	slices.SortFunc(view.Groups, func(a, b *Group) int { return compareKeys(a.Key(), b.Key()) })
	for _, entries := range view.ByService {
		slices.SortFunc(entries, func(a, b *Entry) int { return compareStrings(a.ID, b.ID) })
	}
	return view
}

// recordOpenSince sets the OpenSince of each group whose head is open, and drops
// the times of groups that no longer exist.
func (r *Roster) recordOpenSince(groups map[GroupKey]*Group, now time.Time) {
	maps.DeleteFunc(r.openSince, func(key GroupKey, _ time.Time) bool { return groups[key] == nil })
	for key, group := range groups {
		if group.Head().Membership.State != flamingodoor.MembershipStateOpen {
			continue
		}
		if _, ok := r.openSince[key]; !ok {
			r.openSince[key] = now
		}
		group.OpenSince = r.openSince[key]
	}
}
