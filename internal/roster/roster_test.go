package roster_test

import (
	"fmt"
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
	for _, each := range view.Groups {
		if each.Name == "g" && each.Epoch == 3 {
			return view, each
		}
	}
	t.Fatal("no group g")
	return nil, nil
}

func filled() *roster.Roster {
	r := roster.New()
	r.Replace([]flamingodoor.Instance{member(0), member(1), member(2)}, start)
	return r
}

func serving(t *testing.T, r *roster.Roster, now time.Time) bool {
	t.Helper()
	view, found := group(t, r)
	return view.Serving(found, 3, now)
}

func TestWholeGroupServes(t *testing.T) {
	assert.Assert(t, serving(t, filled(), start))
}

// Pattern: news of a loss spreads while the instance is asked. What was found
// before it answered no longer counts, in whichever order the news arrives.
func TestAnswerEndsEarlierLosses(t *testing.T) {
	r := filled()
	asked := start.Add(time.Second)
	r.MarkLost("i-1", start, start)
	assert.Assert(t, !serving(t, r, asked))
	r.MarkFound("i-1", start, asked)
	assert.Assert(t, serving(t, r, asked))
	r.MarkLost("i-1", start, asked.Add(-time.Millisecond))
	assert.Assert(t, serving(t, r, asked))
	r.MarkLost("i-1", start, asked.Add(time.Millisecond))
	assert.Assert(t, !serving(t, r, asked))
}

// A group never receives work while a member is missing, whatever shows it.
func TestIncompleteGroupDoesNotServe(t *testing.T) {
	elsewhere := member(1)
	elsewhere.Membership.Epoch = 4
	leaving := member(1)
	leaving.Leaving = true
	joining := member(1)
	joining.Membership.State = flamingodoor.MembershipStateJoining
	reborn := member(1)
	reborn.StartedAt, reborn.Membership = start.Add(time.Second), flamingodoor.Membership{}
	closed := member(0)
	closed.Membership.State = flamingodoor.MembershipStateReady
	for name, changed := range map[string]flamingodoor.Instance{
		"joined another group": elsewhere, "leaving": leaving, "still joining": joining, "restarted": reborn, "head not open": closed,
	} {
		t.Run(name, func(t *testing.T) {
			r := filled()
			r.Upsert(changed)
			assert.Assert(t, !serving(t, r, start))
		})
	}
}

func TestLostMemberStopsTheGroup(t *testing.T) {
	r := filled()
	r.MarkLost("i-2", start, start)
	assert.Assert(t, !serving(t, r, start))
	assert.Assert(t, serving(t, r, start.Add(time.Minute)), "a loss without news must expire")
}

// A loss names one life of an instance: the next one is not lost.
func TestLossDoesNotOutliveTheInstance(t *testing.T) {
	r := filled()
	r.MarkLost("i-2", start.Add(-time.Minute), start)
	assert.Assert(t, serving(t, r, start))
}

// An entry lapses while its instance only lost the store: the group serves on
// unless it was the head's.
func TestLapsedEntries(t *testing.T) {
	r := filled()
	r.Remove("i-1", start)
	assert.Assert(t, serving(t, r, start))
	r.Remove("i-0", start)
	assert.Assert(t, !serving(t, r, start))
}

func TestStalledAndRetiringGroupsDoNotServe(t *testing.T) {
	key := roster.GroupKey{Name: "g", Epoch: 3}
	r := filled()
	r.MarkStalled(key, start)
	assert.Assert(t, !serving(t, r, start))
	assert.Assert(t, serving(t, r, start.Add(time.Minute)))
	r = filled()
	r.MarkRetiring(key, start)
	assert.Assert(t, !serving(t, r, start))
}

// Entries of one life arrive in order, but an old life's must not replace a
// newer one's.
func TestEntryOfAnEarlierLifeIsIgnored(t *testing.T) {
	r := filled()
	older := member(1)
	older.StartedAt = start.Add(-time.Hour)
	older.Membership = flamingodoor.Membership{}
	r.Upsert(older)
	assert.Assert(t, serving(t, r, start))
}

func TestGroupIsOpenSinceItWasFirstSeenOpen(t *testing.T) {
	r := filled()
	head := member(0)
	head.Membership.State = flamingodoor.MembershipStateReady
	r.Upsert(head)
	_, found := group(t, r)
	assert.Assert(t, found.OpenSince.IsZero())
	r.Upsert(member(0))
	r.Publish(start.Add(time.Second))
	r.Remove("i-1", start.Add(2*time.Second))
	r.Publish(start.Add(2 * time.Second))
	_, found = group(t, r)
	assert.Equal(t, found.OpenSince, start.Add(time.Second))
}
