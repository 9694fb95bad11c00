package planner_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/planner"
	"flamingodoor.example/flamingodoor/internal/roster"
	"flamingodoor.example/flamingodoor/internal/standin/fleet"
)

func TestGroupsFormAndOpen(t *testing.T) {
	s := newScene(t)
	s.add("d0", 8, large)
	s.run(5*time.Second, s.lead())
	assert.Equal(t, s.fleet.OpenGroups(large), 2)
}

// Before the first request, instances register one after the other. The first
// three once became a group of the small model each.
func TestPlannerWaitsForRegistrations(t *testing.T) {
	s := newScene(t)
	s.quiet = true
	s.fleet.SetQuiet(true)
	s.work = map[string]float64{}
	p := s.lead()
	for range 9 {
		s.add("d0", 1, large)
		s.run(300*time.Millisecond, p)
	}
	assert.Equal(t, s.fleet.OpenGroups(small), 0)
	s.run(6*time.Second, p)
	assert.Equal(t, s.fleet.OpenGroups(large)+s.fleet.OpenGroups(small), 2)
}

// One member of a group dies: the survivors and a spare of the domain serve
// again in about the time of a warm join.
func TestSpareReplacesALostMember(t *testing.T) {
	s := newScene(t)
	s.work = map[string]float64{large: 2}
	s.add("d0", 5, large)
	p := s.lead()
	s.run(5*time.Second, p)
	assert.Equal(t, s.fleet.OpenGroups(large), 1)
	s.lose(s.fleet.Members(s.head())[2])
	s.run(3*time.Second, p)
	assert.Equal(t, s.fleet.OpenGroups(large), 1)
}

// A head that does not answer may still serve: its members join no other
// group before it left the list.
func TestMembersWaitForASilentHead(t *testing.T) {
	s := newScene(t)
	s.work = map[string]float64{large: 2}
	s.add("d0", 5, large)
	p := s.lead()
	s.run(5*time.Second, p)
	head := s.head()
	for _, instance := range s.fleet.Listed() {
		if instance.ID == head {
			s.roster.MarkLost(head, instance.StartedAt, s.fleet.Now())
		}
	}
	s.fleet.Cut(head, true)
	s.run(3*time.Second, p)
	assert.Equal(t, s.fleet.OpenGroups(large), 1, "the silent head's group must not be taken apart")
	s.fleet.Kill(head)
	s.fleet.Unlist(head, true)
	s.run(4*time.Second, p)
	assert.Equal(t, s.fleet.OpenGroups(large), 1)
	assert.Assert(t, s.head() != head)
}

// Pattern: a host that is slow or cut off finds all members of a group lost,
// which serve the others. The planner once waited until the losses lapsed, 9 s,
// while the group stood still.
func TestMembersThatAnswerServeAgainAtOnce(t *testing.T) {
	s := newScene(t)
	s.work = map[string]float64{large: 2}
	s.add("d0", 4, large)
	p := s.lead()
	s.run(5*time.Second, p)
	assert.Equal(t, s.fleet.OpenGroups(large), 1)
	for _, instance := range s.fleet.Listed() {
		s.roster.MarkLost(instance.ID, instance.StartedAt, s.fleet.Now())
	}
	s.run(2*time.Second, p)
	view := s.roster.View()
	serving := 0
	for _, each := range view.Groups {
		if view.Serving(each, 4, s.fleet.Now()) {
			serving++
		}
	}
	assert.Equal(t, serving, 1)
}

// Pattern: a data centre is cut off, and its instances lapse from the list. When
// it is back, members are listed before their head, which served all the while.
// Found by a hunt (Kivuko, zone-apart, seed 554930794103): TWO.
func TestMembersOfACutDataCentreWaitForTheirHead(t *testing.T) {
	for name, cutFor := range map[string]time.Duration{"short": 6 * time.Second, "long": 30 * time.Second} {
		t.Run(name, func(t *testing.T) {
			s := newScene(t)
			s.work = map[string]float64{large: 2}
			s.add("d0", 5, large)
			p := s.lead()
			s.run(5*time.Second, p)
			head := s.head()
			ids := make([]string, 0, 5)
			for _, instance := range s.fleet.Listed() {
				ids = append(ids, instance.ID)
			}
			for _, instance := range s.fleet.Listed() {
				s.fleet.Cut(instance.ID, true)
				s.roster.MarkLost(instance.ID, instance.StartedAt, s.fleet.Now())
			}
			s.fleet.Unlist(head, true)
			s.run(time.Second, p) // entries lapse one after the other
			for _, id := range ids {
				s.fleet.Unlist(id, true)
			}
			s.run(cutFor, p)
			for _, id := range ids {
				s.fleet.Cut(id, false)
				s.fleet.Unlist(id, id == head)
			}
			s.run(time.Second, p)
			s.fleet.Unlist(head, false)
			s.run(5*time.Second, p)
			assert.Equal(t, s.fleet.OpenGroups(large), 1)
		})
	}
}

// A head lost the store and the leading host, and serves the callers of other
// hosts: its members wait. Found by a hunt (Kivuko, leader-under-orders, seed
// 315343835264): TWO.
func TestMembersWaitForAHeadThatOthersReach(t *testing.T) {
	s := newScene(t)
	s.work = map[string]float64{large: 2}
	s.add("d0", 5, large)
	p := s.lead()
	s.run(5*time.Second, p)
	head := s.head()
	for _, instance := range s.fleet.Listed() {
		if instance.ID == head {
			s.roster.MarkLost(head, instance.StartedAt, s.fleet.Now())
		}
	}
	s.fleet.Cut(head, true)
	s.fleet.Unlist(head, true)
	s.reached = true
	s.run(10*time.Second, p)
	s.fleet.Unlist(head, false)
	assert.Equal(t, s.head(), head)
}

// A host that starts while a head has lost the store knows its members alone:
// they wait for the head. Found by a hunt (Kivuko, scale-1, seed 328369320184):
// TWO.
func TestNewLeaderWaitsForAHeadThatLostTheStore(t *testing.T) {
	s := newScene(t)
	s.work = map[string]float64{large: 2}
	s.add("d0", 5, large)
	s.run(5*time.Second, s.lead())
	head := s.head()
	s.fleet.Unlist(head, true)
	s.fleet.LoseHeads()
	s.roster = roster.New() // of a process that just started
	p := s.lead()
	s.run(10*time.Second, p)
	s.fleet.Unlist(head, false)
	s.run(2*time.Second, p)
	assert.Equal(t, s.head(), head)
}

// The same host finds the head in the store: it tells one that serves to
// leave, and frees the members of one that is gone, without a long wait.
func TestNewLeaderRecallsHeads(t *testing.T) {
	for name, gone := range map[string]bool{"lost the store": false, "died": true} {
		t.Run(name, func(t *testing.T) {
			s := newScene(t)
			s.work = map[string]float64{large: 2}
			s.add("d0", 5, large)
			s.run(5*time.Second, s.lead())
			head := s.head()
			if gone {
				s.fleet.Kill(head)
			}
			s.fleet.Unlist(head, true)
			s.roster = roster.New()
			s.run(6*time.Second, s.lead())
			assert.Equal(t, s.fleet.OpenGroups(large), 1)
			assert.Assert(t, s.head() != head)
		})
	}
}

// A host that is fed takes the lead while its registrations are of a time before
// the last groups formed, and the newest epoch is known to it. It gives no order
// before it has read them. Found by Valach grown, scale-2: TWO.
func TestNewLeaderReadsTheRegistrationsFirst(t *testing.T) {
	s := newScene(t)
	s.work = map[string]float64{large: 2}
	s.add("d0", 5, large)
	s.publish()
	late, lateRead := s.roster, s.readAt
	s.roster = roster.New()
	s.run(5*time.Second, s.lead())
	head := s.head()
	s.roster, s.readAt, s.fed = late, lateRead, true
	p := s.lead()
	s.run(3*time.Second, p)
	assert.Equal(t, s.head(), head)
	s.fed = false
	s.run(2*time.Second, p)
	assert.Equal(t, s.head(), head)
}

// Survivors of a group whose head serves another group are free for a leader
// that starts: they once waited 15 s after each change of the leader.
func TestSurvivorsOfADissolvedGroupAreFree(t *testing.T) {
	s := newScene(t)
	s.work = map[string]float64{large: 4}
	s.add("d0", 8, large)
	p := s.lead()
	s.run(5*time.Second, p)
	assert.Equal(t, s.fleet.OpenGroups(large), 2)
	first := s.head()
	var second string
	for _, instance := range s.fleet.Listed() {
		if instance.ID != first && instance.Membership.State == flamingodoor.MembershipStateOpen {
			second = instance.ID
		}
	}
	for _, head := range []string{first, second} {
		dead := s.fleet.Members(head)[3]
		s.lose(dead)
		s.fleet.Unlist(dead, true)
		s.run(5*time.Second, p)
	}
	assert.Equal(t, s.fleet.OpenGroups(large), 1)
	s.roster = roster.New()
	s.add("d0", 2, large)
	s.run(5*time.Second, s.lead())
	assert.Equal(t, s.fleet.OpenGroups(large), 2)
}

// Orders that are carried out seconds late must not break a group that formed
// meanwhile.
func TestLateOrdersDoNoHarm(t *testing.T) {
	s := newScene(t)
	s.work = map[string]float64{large: 3, small: 2}
	s.add("d0", 9, large)
	var given atomic.Int64
	s.fleet.SetHooks(fleet.Hooks{Delay: func(string, flamingodoor.InstanceOrder) time.Duration {
		if given.Add(1)%3 == 0 {
			return 4 * time.Second
		}
		return 0
	}})
	p := s.lead()
	s.run(10*time.Second, p)
	s.fleet.SetHooks(fleet.Hooks{})
	s.run(15*time.Second, p)
	assert.Equal(t, s.fleet.OpenGroups(large), 2)
}

// The answer to an order is lost: the planner asks what holds and goes on.
func TestLostAnswersOfOrders(t *testing.T) {
	s := newScene(t)
	s.work = map[string]float64{large: 3}
	s.add("d0", 4, large)
	var given atomic.Int64
	s.fleet.SetHooks(fleet.Hooks{LoseAnswer: func(string, flamingodoor.InstanceOrder) bool { return given.Add(1)%2 == 0 }})
	s.run(20*time.Second, s.lead())
	assert.Equal(t, s.fleet.OpenGroups(large), 1)
}

// A planner that takes over while groups form finds them in the entries. With
// the plan kept in memory alone, it once joined members of open groups.
func TestPlannerTakesOver(t *testing.T) {
	for after := time.Duration(0); after < 4*time.Second; after += 300 * time.Millisecond {
		t.Run(after.String(), func(t *testing.T) {
			s := newScene(t)
			s.work = map[string]float64{large: 3, small: 2}
			s.add("d0", 9, large)
			s.run(after, s.lead())
			s.run(10*time.Second, s.lead())
			assert.Equal(t, s.fleet.OpenGroups(large), 2)
		})
	}
}

// handover is an election that another host wins until it resigns.
type handover struct{ resigned, renewed atomic.Bool }

func (h *handover) Renew(context.Context) (bool, time.Time, error) {
	h.renewed.Store(true)
	return h.resigned.Load(), time.Now().Add(time.Hour), nil
}

func (h *handover) Resign(context.Context) error { return nil }

// Entry hosts are restarted in turn: the next leader does not wait for its
// usual renewal.
func TestNextLeaderDoesNotWait(t *testing.T) {
	election := &handover{}
	p := planner.New(planner.Parts{Election: election, Logger: log.NewNopLogger()})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.RunElection(ctx, time.Hour)
	}()
	defer func() { cancel(); <-done }()
	for !election.renewed.Load() {
		time.Sleep(time.Millisecond)
	}
	election.resigned.Store(true)
	p.Renew()
	for begun := time.Now(); !p.Leads(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(begun) < 5*time.Second, "still waits")
	}
}

// Two planners that both believe to lead cannot take members from each other.
func TestTwoPlanners(t *testing.T) {
	s := newScene(t)
	s.work = map[string]float64{large: 3, small: 2}
	s.add("d0", 9, large)
	first, second := s.lead(), s.lead()
	s.run(10*time.Second, first, second)
	s.lose(s.fleet.Members(s.head())[1])
	s.run(10*time.Second, second, first)
	s.noViolations()
}

// A member drains: its group finishes its work before it is taken apart.
func TestLeavingMemberWaitsForWork(t *testing.T) {
	s := newScene(t)
	s.work = map[string]float64{large: 2}
	s.add("d0", 5, large)
	p := s.lead()
	s.run(5*time.Second, p)
	head := s.head()
	leaving := s.fleet.Members(head)[3]
	s.inFlight = 2
	s.fleet.Leave(leaving)
	s.run(time.Second, p)
	assert.Equal(t, s.head(), head)
	s.inFlight = 0
	s.run(4*time.Second, p)
	assert.Equal(t, s.fleet.OpenGroups(large), 1)
	for _, id := range s.fleet.Members(s.head()) {
		assert.Assert(t, id != leaving)
	}
}

// Losses left one model with a single group and the other with plenty: a group
// of the latter retires, with its work finished, for one of the former.
func TestRebalanceAfterLosses(t *testing.T) {
	s := newScene(t)
	s.work = map[string]float64{large: 0.2, small: 4}
	s.add("d0", 8, small)
	p := s.lead()
	s.run(5*time.Second, p)
	assert.Equal(t, s.fleet.OpenGroups(small), 2)
	s.run(100*time.Second, p) // the others' weights are loaded meanwhile
	s.work = map[string]float64{large: 4, small: 1}
	s.run(10*time.Second, p)
	assert.Assert(t, len(s.retired) > 0)
	assert.Assert(t, s.fleet.OpenGroups(large) >= 1)
}

// Pattern: losses leave a large model without enough free instances in any
// domain, while a small one has plenty of groups. One of those alone frees too
// few, and the large model stayed short for a whole day beside 58 idle
// instances.
func TestSeveralGroupsRetireForALargeOne(t *testing.T) {
	spec := engine()
	spec.Models[0].InstancesPerGroup = 8
	s := newSceneOf(t, spec)
	s.work = map[string]float64{large: 0.01, small: 8}
	s.add("d0", 12, small)
	p := s.lead()
	s.run(200*time.Second, p) // the others' weights are loaded meanwhile
	assert.Equal(t, s.fleet.OpenGroups(small), 4)
	s.work = map[string]float64{large: 4, small: 0.5}
	s.run(20*time.Second, p)
	assert.Assert(t, len(s.retired) >= 2, "%d groups retired", len(s.retired))
	assert.Equal(t, s.fleet.OpenGroups(large), 1)
	assert.Assert(t, s.fleet.OpenGroups(small) >= 1)
}

// Empty instances are added: loads go where they complete a group, and no more
// run at once than the weight store bears.
func TestLoadsCompleteAGroup(t *testing.T) {
	s := newScene(t)
	s.work = map[string]float64{large: 4, small: 0.1}
	s.add("d0", 3, large)
	s.add("d0", 1)
	s.add("d1", 4)
	p := s.lead()
	s.run(19*time.Second, p)
	assert.Equal(t, s.fleet.OpenGroups(large), 1)
	s.run(20*time.Second, p)
	assert.Equal(t, s.fleet.OpenGroups(large), 2)
}

// An evacuated data centre gets no orders.
func TestNoOrdersToAnEvacuatedDataCentre(t *testing.T) {
	s := newScene(t)
	s.add("d0", 8, large)
	s.book.Evacuate([]string{"dc-a"})
	s.run(5*time.Second, s.lead())
	assert.Equal(t, s.fleet.OpenGroups(large), 0)
}
