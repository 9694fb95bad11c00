package roster

import (
	"slices"
	"time"
)

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

// maxMembers bounds the ranks of a group: a group has as many places as its
// highest rank tells.
const maxMembers = 1024

// inGroup reports whether the entry has a membership with a valid rank.
func (e *Entry) inGroup() bool {
	return e.Membership.Group != "" && e.Membership.Rank >= 0 && e.Membership.Rank < maxMembers
}

// GroupKey returns the key of the group that the entry names, which is empty if it names
// none.
func (e *Entry) GroupKey() GroupKey {
	return GroupKey{Name: e.Membership.Group, Epoch: e.Membership.Epoch}
}

// addMember adds an entry to its group, which has the size.
func addMember(groups map[GroupKey]*Group, entry *Entry, size int) {
	key := entry.GroupKey()
	group, ok := groups[key]
	if !ok {
		group = &Group{Name: key.Name, Epoch: key.Epoch, Members: make([]Entry, size)}
		groups[key] = group
	}
	if holder := &group.Members[entry.Membership.Rank]; holder.ID == "" || entry.precedes(holder) {
		*holder = *entry
	}
}

// precedes reports which of two entries that name the same rank holds it: a listed one,
// and otherwise the same one in each view.
func (e *Entry) precedes(holder *Entry) bool {
	if e.Listed != holder.Listed {
		return e.Listed
	}
	return e.ID < holder.ID
}

// describe sets what the members state of the group, the first of them before the others.
func (g *Group) describe() {
	for _, member := range slices.Backward(g.Members) {
		if member.ID == "" {
			continue
		}
		g.Service, g.FabricDomain, g.DataCentre = member.Service, member.FabricDomain, member.DataCentre
		if member.Membership.ModelID != "" {
			g.ModelID = member.Membership.ModelID
		}
	}
}
