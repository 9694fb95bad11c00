// Package roster holds the registered instances and the replica groups that
// their memberships form.
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
	// ghostTime is how long a member whose entry lapsed still counts as part
	// of its open group, because an instance that only lost the store serves on.
	ghostTime = 20 * time.Second
	// lossTime is how long a loss holds without news: longer than an entry of
	// a dead instance stays listed.
	lossTime = 6 * time.Second
)

// Entry is an instance with what this host knows of it.
type Entry struct {
	flamingodoor.Instance
	Listed bool      // in the platform's list
	GoneAt time.Time // when it left the list
}

// Group is a replica group as its members report it.
type Group struct {
	Name         string
	Epoch        int64
	Service      string
	ModelID      string
	FabricDomain string
	DataCentre   string
	Members      []Entry   // by rank; an empty ID where nobody reports the rank
	OpenSince    time.Time // when this host first saw its head open
}

// Key identifies the group.
func (g *Group) Key() GroupKey {
	return GroupKey{Name: g.Name, Epoch: g.Epoch}
}

// Head is the member that receives requests.
func (g *Group) Head() Entry {
	return g.Members[0]
}

// GroupKey identifies one formation of a group.
type GroupKey struct {
	Name  string
	Epoch int64
}

// View is an immutable state of the roster.
type View struct {
	At         time.Time
	Entries    map[string]Entry
	Groups     []*Group
	ByService  map[string][]Entry // listed instances
	lostIDs    map[string]loss
	lostGroups map[GroupKey]time.Time
	retiring   map[GroupKey]time.Time
}

type loss struct {
	born     time.Time
	at       time.Time
	deadline time.Time
}

// answer is the latest proof that an instance lives.
type answer struct {
	born time.Time
	at   time.Time
}

// Lost reports whether the instance stopped answering.
func (v *View) Lost(instance flamingodoor.Instance, now time.Time) bool {
	lost, ok := v.lostIDs[instance.ID]
	return ok && lost.born.Equal(instance.StartedAt) && now.Before(lost.deadline)
}

// Stalled reports whether the group was seen to stand still.
func (v *View) Stalled(key GroupKey, now time.Time) bool {
	deadline, ok := v.lostGroups[key]
	return ok && now.Before(deadline)
}

// Retiring reports whether the group takes no more work.
func (v *View) Retiring(key GroupKey, now time.Time) bool {
	deadline, ok := v.retiring[key]
	return ok && now.Before(deadline)
}

// Serving reports whether the group may receive requests: its head is open
// and every member is in it and answers.
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

// Roster is safe for concurrent use.
type Roster struct {
	mu         sync.Mutex
	entries    map[string]Entry
	lostIDs    map[string]loss
	answers    map[string]answer
	lostGroups map[GroupKey]time.Time
	retiring   map[GroupKey]time.Time
	openSince  map[GroupKey]time.Time
	dirty      bool
	view       atomic.Pointer[View]
	loaded     atomic.Bool
}

// New returns an empty roster.
func New() *Roster {
	r := &Roster{
		entries: make(map[string]Entry), lostIDs: make(map[string]loss), answers: make(map[string]answer), lostGroups: make(map[GroupKey]time.Time),
		retiring: make(map[GroupKey]time.Time), openSince: make(map[GroupKey]time.Time),
	}
	r.view.Store(&View{})
	return r
}

// View returns the latest state.
func (r *Roster) View() *View {
	return r.view.Load()
}

// Loaded reports whether the list has been read once.
func (r *Roster) Loaded() bool {
	return r.loaded.Load()
}

// Replace takes a complete list.
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

// Upsert takes a registration and reports whether it changed.
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
	if ok && known.Listed && same(known.Instance, instance) {
		return false
	}
	if lost, marked := r.lostIDs[instance.ID]; marked && !lost.born.Equal(instance.StartedAt) {
		delete(r.lostIDs, instance.ID)
	}
	r.entries[instance.ID] = Entry{Instance: instance, Listed: true}
	r.dirty = true
	return true
}

func same(known, instance flamingodoor.Instance) bool {
	return known.StartedAt.Equal(instance.StartedAt) && known.Address == instance.Address && known.Leaving == instance.Leaving &&
		known.Membership == instance.Membership && known.Service == instance.Service &&
		known.FabricDomain == instance.FabricDomain && slices.Equal(known.StagedModels, instance.StagedModels) &&
		instance.ColdUntil.Sub(known.ColdUntil).Abs() < 100*time.Millisecond
}

// Remove takes an instance out of the list and reports whether it was there.
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
	entry.Listed, entry.GoneAt = false, now
	r.entries[id] = entry
	r.dirty = true
	return true
}

// Remember adds an instance that was listed before this host started.
func (r *Roster) Remember(instance flamingodoor.Instance, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.entries[instance.ID]; ok {
		return
	}
	r.entries[instance.ID] = Entry{Instance: instance, GoneAt: now}
	r.dirty = true
}

// MarkLost notes that an instance did not answer at a time. It counts unless the
// instance answered later.
func (r *Roster) MarkLost(id string, born, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answered, ok := r.answers[id]; ok && answered.born.Equal(born) && !at.After(answered.at) {
		return
	}
	if known, ok := r.lostIDs[id]; ok && known.born.Equal(born) && !at.After(known.at) {
		return
	}
	r.lostIDs[id] = loss{born: born, at: at, deadline: at.Add(lossTime)}
	r.dirty = true
}

// MarkFound notes that an instance answered at a time: losses found before were
// those of a host that did not reach it.
func (r *Roster) MarkFound(id string, born, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.answers[id] = answer{born: born, at: at}
	if known, ok := r.lostIDs[id]; ok && known.born.Equal(born) && !known.at.After(at) {
		delete(r.lostIDs, id)
		r.dirty = true
	}
}

// MarkStalled notes that a group stands still although its members answer.
func (r *Roster) MarkStalled(key GroupKey, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lostGroups[key] = now.Add(lossTime)
	r.dirty = true
}

// MarkRetiring notes that a group takes no more work.
func (r *Roster) MarkRetiring(key GroupKey, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retiring[key] = now.Add(lossTime)
	r.dirty = true
}

// Publish makes the changes visible.
func (r *Roster) Publish(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire(now)
	if !r.dirty {
		return
	}
	r.dirty = false
	r.view.Store(r.build(now))
}

func (r *Roster) expire(now time.Time) {
	for id, entry := range r.entries {
		if !entry.Listed && now.Sub(entry.GoneAt) > ghostTime {
			delete(r.entries, id)
			r.dirty = true
		}
	}
	maps.DeleteFunc(r.lostIDs, func(_ string, lost loss) bool { return now.After(lost.deadline) })
	maps.DeleteFunc(r.answers, func(_ string, answered answer) bool { return now.Sub(answered.at) > lossTime })
	maps.DeleteFunc(r.lostGroups, func(_ GroupKey, deadline time.Time) bool { return now.After(deadline) })
	maps.DeleteFunc(r.retiring, func(_ GroupKey, deadline time.Time) bool { return now.After(deadline) })
}

func (r *Roster) build(now time.Time) *View {
	view := &View{
		At: now, Entries: maps.Clone(r.entries), ByService: make(map[string][]Entry),
		lostIDs: maps.Clone(r.lostIDs), lostGroups: maps.Clone(r.lostGroups),
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
	r.noteOpen(groups, now)
	slices.SortFunc(view.Groups, func(a, b *Group) int { return compareKeys(a.Key(), b.Key()) })
	for _, entries := range view.ByService {
		slices.SortFunc(entries, func(a, b Entry) int { return compareStrings(a.ID, b.ID) })
	}
	return view
}

// noteOpen keeps since when the heads of groups are open.
func (r *Roster) noteOpen(groups map[GroupKey]*Group, now time.Time) {
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
	const mostMembers = 1024
	if rank < 0 || rank >= mostMembers {
		return
	}
	for len(group.Members) <= rank {
		group.Members = append(group.Members, Entry{})
	}
	// Of two lives that report one rank, the listed one counts.
	if group.Members[rank].ID == "" || entry.Listed {
		group.Members[rank] = entry
	}
}
