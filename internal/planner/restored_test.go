package planner_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/roster"
)

// lossyHeads is a head store whose records can be lost.
type lossyHeads struct {
	heads map[string]flamingodoor.Instance
}

func (l *lossyHeads) Save(_ context.Context, heads []flamingodoor.Instance) error {
	for _, head := range heads {
		l.heads[head.ID] = head
	}
	return nil
}

func (l *lossyHeads) Load(context.Context) ([]flamingodoor.Instance, error) {
	heads := make([]flamingodoor.Instance, 0, len(l.heads))
	for _, head := range l.heads {
		heads = append(heads, head)
	}
	return heads, nil
}

// Guards against the heads of serving groups that no later leader knows, because the
// platform's store was restored from a copy that lacks them. Such a leader freed the
// members of a head that was not listed, although it served.
func TestHeadsThatARestoreLostAreSavedAgain(t *testing.T) {
	h := newHarness(t)
	h.demand = map[string]float64{large: 2}
	h.add("d0", 5, large)
	store := &lossyHeads{heads: make(map[string]flamingodoor.Instance)}
	p := h.startLeader()
	p.Heads = store
	h.run(5*time.Second, p)
	head := h.openHead()
	assert.Equal(t, len(store.heads), 1)
	clear(store.heads)
	p.StoreRestored()
	for !p.Leads() {
		time.Sleep(time.Millisecond)
	}
	h.run(time.Second, p)
	assert.Equal(t, store.heads[head].Membership.Group, h.roster.View().Entries[head].Membership.Group)

	h.fleet.SetUnlisted(head, true)
	h.roster = roster.New()
	successor := h.startLeader()
	successor.Heads = store
	h.run(6*time.Second, successor)
	assert.Equal(t, h.fleet.OpenGroups(large), 1)
}

// Guards against a leader that dissolves a serving group right after a restore of the
// store, because the copy lacks registrations or the record of the head (soak, seed
// 3002). A leader that started during the restore was not told about it.
func TestGroupOutlastsARestoreThatLostItsRegistrations(t *testing.T) {
	for n, test := range []struct {
		lost       int // rank of the member whose registration the copy lacks
		recordLost bool
		seen       bool          // by the leader, rather than before it started
		written    time.Duration // after the restore
	}{
		{0, true, true, 2 * time.Second},
		{0, true, false, 2 * time.Second},
		{0, false, true, 2 * time.Second},
		{0, false, false, 2 * time.Second},
		{2, false, true, 2 * time.Second},
		{2, false, false, 2 * time.Second},
		{2, false, true, 4 * time.Second},
	} {
		h := newHarness(t)
		_, members := h.openGroup()
		if test.recordLost {
			h.fleet.ForgetHead(members[0])
		}
		h.fleet.SetUnlisted(members[test.lost], true)
		h.roster = roster.New()
		p := h.startLeader()
		if test.seen {
			p.StoreRestored()
		}
		for !p.Leads() {
			time.Sleep(time.Millisecond)
		}
		leaves := h.countLeaves()
		h.run(test.written, p)
		h.fleet.SetUnlisted(members[test.lost], false)
		h.run(4*time.Second, p)
		assert.Equal(t, *leaves > 0, test.written > 3*time.Second, "case %d", n)
		if *leaves == 0 {
			assert.Equal(t, h.openHead(), members[0], "case %d", n)
		}
		heads, err := h.fleet.Load(t.Context())
		assert.NilError(t, err)
		saved := slices.ContainsFunc(heads, func(head flamingodoor.Instance) bool { return head.ID == members[0] })
		assert.Assert(t, saved || !test.seen, "case %d", n)
	}
}

// Guards against weight loads that are ordered again because the store has lost that
// they are under way, and against groups that are formed before instances have written
// their registrations again.
func TestLeaderKeepsItsLoadsAndWaitsAfterARestore(t *testing.T) {
	h := newHarness(t)
	h.demand = map[string]float64{large: 3}
	h.add("d0", 3, large)
	h.add("d0", 1)
	h.add("d1", 9)
	counts := h.countStageOrders()
	p := h.startLeader()
	h.run(3*time.Second, p)
	loads, err := h.loads.Load(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, len(loads) > 0)
	ended := make([]string, 0, len(loads))
	for _, load := range loads {
		ended = append(ended, load.InstanceID)
	}
	assert.NilError(t, h.loads.Save(t.Context(), nil, ended))
	p.StoreRestored()
	for !p.Leads() {
		time.Sleep(time.Millisecond)
	}
	h.add("d2", 4, large)
	h.run(2*time.Second, p)
	assert.Equal(t, len(h.roster.View().Groups), 0, "a group was formed before the registrations have settled")
	again, err := h.loads.Load(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, len(again) >= len(loads), "%d of %d loads are stored again", len(again), len(loads))
	h.run(4*time.Second, p)
	for id, count := range counts {
		assert.Equal(t, count, 1, "instance %s", id)
	}
	assert.Assert(t, h.fleet.OpenGroups(large) > 0)
}
