package roster_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/roster"
)

var start = time.Unix(1_800_000_000, 0)

func member(rank int) flamingodoor.Instance {
	state := flamingodoor.MembershipStateReady
	if rank == 0 {
		state = flamingodoor.MembershipStateOpen
	}
	return flamingodoor.Instance{
		ID: fmt.Sprint("i-", rank), Service: "llm", FabricDomain: "d", StartedAt: start, Slots: 8,
		Membership: flamingodoor.Membership{Group: "g", Epoch: 3, Rank: rank, State: state, ModelID: "m"},
	}
}

func group(t *testing.T, r *roster.Roster) (*roster.View, *roster.Group) {
	t.Helper()
	r.Publish(start)
	view := r.View()
	for _, group := range view.Groups {
		if group.Name == "g" && group.Epoch == 3 {
			return view, group
		}
	}
	t.Fatal("no group g")
	return nil, nil
}

func newFilledRoster() *roster.Roster {
	r := roster.New()
	r.Replace([]flamingodoor.Instance{member(0), member(1), member(2)}, start)
	return r
}

func serving(t *testing.T, r *roster.Roster, now time.Time) bool {
	t.Helper()
	view, current := group(t, r)
	return view.Serving(current, 3, now)
}

// A group whose members are all present and ready serves. The other tests start
// from this group.
func TestWholeGroupServes(t *testing.T) {
	assert.Assert(t, serving(t, newFilledRoster(), start))
}

// Losses that were found before an instance answered must not count, in
// whichever order the reports of the loss and of the answer arrive.
func TestAnswerEndsEarlierLosses(t *testing.T) {
	r := newFilledRoster()
	answeredAt := start.Add(time.Second)
	r.MarkLost("i-1", start, start)
	assert.Assert(t, !serving(t, r, answeredAt))
	r.MarkAlive("i-1", start, answeredAt)
	assert.Assert(t, serving(t, r, answeredAt))
	r.MarkLost("i-1", start, answeredAt.Add(-time.Millisecond))
	assert.Assert(t, serving(t, r, answeredAt))
	r.MarkLost("i-1", start, answeredAt.Add(time.Millisecond))
	assert.Assert(t, !serving(t, r, answeredAt))
}

// A group must receive no work while a member is missing, whichever field shows
// it.
func TestIncompleteGroupDoesNotServe(t *testing.T) {
	inOtherGroup := member(1)
	inOtherGroup.Membership.Epoch = 4
	leaving := member(1)
	leaving.Leaving = true
	joining := member(1)
	joining.Membership.State = flamingodoor.MembershipStateJoining
	restarted := member(1)
	restarted.StartedAt, restarted.Membership = start.Add(time.Second), flamingodoor.Membership{}
	notOpen := member(0)
	notOpen.Membership.State = flamingodoor.MembershipStateReady
	for name, changed := range map[string]flamingodoor.Instance{
		"joined another group": inOtherGroup, "leaving": leaving, "still joining": joining, "restarted": restarted, "head not open": notOpen,
	} {
		t.Run(name, func(t *testing.T) {
			r := newFilledRoster()
			r.Upsert(changed)
			assert.Assert(t, !serving(t, r, start))
		})
	}
}

// Guards against sending requests to a group with a lost member, and against a
// mark as lost that never expires.
func TestLostMemberStopsTheGroup(t *testing.T) {
	r := newFilledRoster()
	r.MarkLost("i-2", start, start)
	assert.Assert(t, !serving(t, r, start))
	assert.Assert(t, serving(t, r, start.Add(time.Minute)), "a mark as lost that is not renewed must expire")
}

// Guards against a partition of one host that takes groups from all: what this host
// does not reach gets none of its requests, and is not lost.
func TestUnreachableInstances(t *testing.T) {
	next := start.Add(time.Second)
	for name, test := range map[string]struct {
		id              string
		change          func(r *roster.Roster)
		headUnreachable bool
		unreachable     int
	}{
		"head":             {"i-0", func(*roster.Roster) {}, true, 1},
		"other member":     {"i-1", func(*roster.Roster) {}, false, 1},
		"reached again":    {"i-0", func(r *roster.Roster) { assert.Assert(t, r.MarkReached("i-0", start, next)) }, false, 0},
		"reached before":   {"i-0", func(r *roster.Roster) { assert.Assert(t, !r.MarkReached("i-0", start, start.Add(-1))) }, true, 1},
		"earlier process":  {"i-0", func(r *roster.Roster) { assert.Assert(t, !r.MarkReached("i-0", start.Add(-time.Hour), next)) }, true, 1},
		"mark not renewed": {"i-0", func(*roster.Roster) { next = start.Add(time.Minute) }, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			next = start.Add(time.Second)
			r := newFilledRoster()
			assert.Assert(t, r.MarkUnreachable(test.id, start, start))
			test.change(r)
			r.Publish(next)
			view, current := group(t, r)
			assert.Assert(t, view.Serving(current, 3, next), "the group is not lost")
			assert.Equal(t, view.Unreachable(current.Head().Instance, next), test.headUnreachable)
			assert.Equal(t, len(view.UnreachableInstances(next)), test.unreachable)
		})
	}
}

// Guards against each host of a large fleet probing crashed instances for ever: a probe
// renews the mark for which it is made.
func TestUnlistedInstancesAreNotProbedAgain(t *testing.T) {
	const crashed, removed = 100, 60
	r, _ := largeRoster()
	for i := range crashed {
		r.MarkUnreachable(fmt.Sprint("i-", i), start, start)
	}
	for i := range removed {
		r.Remove(fmt.Sprint("i-", i), start)
	}
	for second := range 30 {
		now := start.Add(time.Duration(second) * time.Second)
		r.Publish(now)
		probed := r.View().UnreachableInstances(now)
		assert.Equal(t, len(probed), crashed-removed)
		for _, instance := range probed {
			r.MarkUnreachable(instance.ID, instance.StartedAt, now)
		}
	}
}

// The loss of one process of an instance must not mark its successor as lost.
func TestLossDoesNotMarkTheNextProcess(t *testing.T) {
	r := newFilledRoster()
	r.MarkLost("i-2", start.Add(-time.Minute), start)
	assert.Assert(t, serving(t, r, start))
}

// A member whose registration expired may only have lost its connection to the
// store: the group keeps serving, unless the member is the head.
func TestUnlistedMembers(t *testing.T) {
	r := newFilledRoster()
	r.Remove("i-1", start)
	assert.Assert(t, serving(t, r, start))
	r.Remove("i-0", start)
	assert.Assert(t, !serving(t, r, start))
}

// Guards against sending requests to a group that makes no progress or takes no
// new work, and against a mark as stalled that never expires.
func TestStalledAndRetiringGroupsDoNotServe(t *testing.T) {
	key := roster.GroupKey{Name: "g", Epoch: 3}
	r := newFilledRoster()
	r.MarkStalled(key, start)
	assert.Assert(t, !serving(t, r, start))
	assert.Assert(t, serving(t, r, start.Add(time.Minute)))
	r = newFilledRoster()
	r.MarkRetiring(key, start)
	assert.Assert(t, !serving(t, r, start))
}

// The registrations of one process arrive in order, but one of an earlier process
// may arrive after one of its successor and must not replace it.
func TestRegistrationOfAnEarlierProcessIsIgnored(t *testing.T) {
	r := newFilledRoster()
	older := member(1)
	older.StartedAt = start.Add(-time.Hour)
	older.Membership = flamingodoor.Membership{}
	r.Upsert(older)
	assert.Assert(t, serving(t, r, start))
}

// Guards against an opening time that is set before the head is open, or that
// changes with the group afterwards.
func TestGroupIsOpenSinceItWasFirstSeenOpen(t *testing.T) {
	r := newFilledRoster()
	head := member(0)
	head.Membership.State = flamingodoor.MembershipStateReady
	r.Upsert(head)
	_, current := group(t, r)
	assert.Assert(t, current.OpenSince.IsZero())
	r.Upsert(member(0))
	r.Publish(start.Add(time.Second))
	r.Remove("i-1", start.Add(2*time.Second))
	r.Publish(start.Add(2 * time.Second))
	_, current = group(t, r)
	assert.Equal(t, current.OpenSince, start.Add(time.Second))
}

// Guards against a late older answer that replaces a newer one: losses found
// between the two would count again.
func TestOlderAnswerDoesNotReplaceANewerOne(t *testing.T) {
	r := newFilledRoster()
	answeredAt := start.Add(time.Second)
	r.MarkAlive("i-1", start, answeredAt)
	r.MarkAlive("i-1", start, start)
	r.MarkAlive("i-1", start.Add(-time.Hour), answeredAt.Add(time.Second))
	r.MarkLost("i-1", start, answeredAt.Add(-time.Millisecond))
	assert.Assert(t, serving(t, r, answeredAt))
}

// Guards against a rank that no group has: it made Group.Head panic.
func TestMembershipWithAnInvalidRankFormsNoGroup(t *testing.T) {
	for _, rank := range []int{-1, 1024, 1 << 40} {
		r := newFilledRoster()
		stray := member(rank)
		stray.ID, stray.Membership.Group = "stray", "other"
		r.Upsert(stray)
		r.Publish(start)
		for _, current := range r.View().Groups {
			assert.Equal(t, current.Head().ID, "i-0")
		}
		assert.Equal(t, len(r.View().Groups), 1)
	}
}

// largeRoster returns a roster of 1,100 instances in groups of 32, and its keys.
func largeRoster() (*roster.Roster, []roster.GroupKey) {
	const instances, size = 1100, 32
	all := make([]flamingodoor.Instance, 0, instances)
	var keys []roster.GroupKey
	for i := range instances {
		each := member(i % size)
		each.ID, each.Membership.Group = fmt.Sprint("i-", i), fmt.Sprint("g", i/size)
		all = append(all, each)
		if i%size == 0 {
			keys = append(keys, roster.GroupKey{Name: each.Membership.Group, Epoch: each.Membership.Epoch})
		}
	}
	r := roster.New()
	r.Replace(all, start)
	r.Publish(start)
	return r, keys
}

// Guards against the cost of repeated loss reports in a large fleet, where each
// report reaches a host in many messages: every one built a view of all
// instances. Reports that tell nothing new must not change the view.
func TestRepeatedReportsDoNotChangeTheView(t *testing.T) {
	r, keys := largeRoster()
	report := func(at time.Time) (news bool) {
		for i, key := range keys {
			news = r.MarkStalled(key, at) || news
			news = r.MarkRetiring(key, at) || news
			news = r.MarkLost(fmt.Sprint("i-", i), start, at) || news
		}
		r.Publish(at)
		return news
	}
	entries := r.View().ByService["llm"]
	assert.Assert(t, report(start))
	marked := r.View()
	assert.Assert(t, &marked.ByService["llm"][0] == &entries[0], "marks alone built a new list of instances")
	for i := range 100 {
		assert.Assert(t, !report(start.Add(time.Duration(i)*time.Millisecond)))
		assert.Assert(t, r.View() == marked)
	}
	assert.Assert(t, report(start.Add(2*time.Second)), "a later loss extends the mark")
	assert.Assert(t, r.View().Stalled(keys[0], start.Add(7*time.Second)))
	assert.Assert(t, r.View().Lost(flamingodoor.Instance{ID: "i-0", StartedAt: start}, start.Add(7*time.Second)))
}

// BenchmarkLossReport measures a message that reports a lost instance, with 1,100
// instances registered.
func BenchmarkLossReport(b *testing.B) {
	r, _ := largeRoster()
	at := start
	for b.Loop() {
		at = at.Add(time.Millisecond)
		r.MarkLost("i-5", start, at)
		r.Publish(at)
	}
}

// BenchmarkChangedRegistration measures a view after one changed registration,
// with 1,100 instances registered.
func BenchmarkChangedRegistration(b *testing.B) {
	r, _ := largeRoster()
	changed := member(5)
	changed.Membership.Group = "g0"
	for i := 0; b.Loop(); i++ {
		changed.Leaving = i%2 == 0
		r.Upsert(changed)
		r.Publish(start)
	}
}

// Guards against taking the answer of a later process at the same address for that of an
// instance that has crashed (rule BUDGET on the day crashing-reads-stranded of the Kivuko
// deployment, seed 3).
func TestLaterInstanceAtAnAddressReplacesTheEarlierOne(t *testing.T) {
	address := netip.MustParseAddrPort("10.0.0.1:80")
	crashed := flamingodoor.Instance{ID: "crashed", Service: "plain", Address: address, StartedAt: start}
	next := flamingodoor.Instance{ID: "next", Service: "plain", Address: address, StartedAt: start.Add(time.Second)}
	other := flamingodoor.Instance{ID: "other", Service: "plain", Address: netip.MustParseAddrPort("10.0.0.2:80"), StartedAt: start.Add(time.Second)}
	for name, test := range map[string]struct {
		listed []flamingodoor.Instance
		want   bool
	}{
		"alone":                       {[]flamingodoor.Instance{crashed, other}, false},
		"both listed":                 {[]flamingodoor.Instance{crashed, next}, true},
		"the earlier one has expired": {[]flamingodoor.Instance{next}, true},
		"the later one is not listed": {nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := roster.New()
			r.Replace(test.listed, start)
			r.Publish(start)
			assert.Equal(t, r.View().Replaced(crashed), test.want)
			assert.Assert(t, !r.View().Replaced(next))
		})
	}
}

// Guards against instances that count as lacking the weights of the group that they have
// just left.
func TestLastModelOutlivesTheMembership(t *testing.T) {
	joining, other := member(0), member(0)
	joining.Membership.State, joining.Membership.ModelID = flamingodoor.MembershipStateJoining, "n"
	other.Membership.ModelID = "n"
	free, restarted := member(0), member(0)
	free.Membership, restarted.Membership = flamingodoor.Membership{}, flamingodoor.Membership{}
	restarted.StartedAt = start.Add(time.Second)
	for name, test := range map[string]struct {
		history []flamingodoor.Instance
		want    string
	}{
		"left":                  {[]flamingodoor.Instance{member(0), free}, "m"},
		"never in a group":      {[]flamingodoor.Instance{free}, ""},
		"other group":           {[]flamingodoor.Instance{member(0), other, free}, "n"},
		"join that ended early": {[]flamingodoor.Instance{member(0), joining, free}, ""},
		"restarted":             {[]flamingodoor.Instance{member(0), restarted}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			r := roster.New()
			for _, registration := range test.history {
				r.Upsert(registration)
			}
			r.Publish(start)
			assert.Equal(t, r.View().Entries[free.ID].LastModel, test.want)
		})
	}
}
