package planner_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/planner"
	"flamingodoor.example/flamingodoor/internal/roster"
	"flamingodoor.example/flamingodoor/internal/standin/fleet"
)

const (
	leaseTime = 1500 * time.Millisecond
	tick      = 50 * time.Millisecond
)

// leases is an election in memory, which gives a free lease to the candidate that
// asks first.
type leases struct {
	now    func() time.Time
	holder *entryHost
	until  time.Time
}

// entryHost is a planner with a roster and paths of its own.
type entryHost struct {
	*planner.Planner

	t        *testing.T
	name     string
	leases   *leases
	fleet    *fleet.Fleet
	roster   *roster.Roster
	peer     *entryHost
	joins    *sync.Map // host whose orders have the epoch
	resigned int
	cutAt    time.Time
	cut      bool
	refuses  bool          // the cut refuses connections
	suspects time.Duration // until the host knows that it is stranded
	mu       sync.Mutex    // of random
	random   *rand.Rand
	renewAt  time.Time
}

func (e *entryHost) Renew(context.Context) (bool, time.Time, error) {
	now := e.leases.now()
	if e.leases.holder == nil || e.leases.holder == e || !now.Before(e.leases.until) {
		e.leases.holder, e.leases.until = e, now.Add(leaseTime)
		return true, e.leases.until, nil
	}
	return false, time.Time{}, nil
}

func (e *entryHost) Resign(context.Context) error {
	e.resigned++
	if e.leases.holder == e {
		e.leases.holder = nil
	}
	return nil
}

// hasSoundPeer tells what the peer says of its paths.
func (e *entryHost) hasSoundPeer() bool { return !e.peer.stranded() }

func (e *entryHost) stranded() bool {
	return e.cut && !e.leases.now().Before(e.cutAt.Add(e.suspects))
}

// fail lets a call over a cut path take some time and fail.
func (e *entryHost) fail() error {
	if e.refuses {
		return syscall.ECONNREFUSED
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fleet.Advance(time.Duration(e.random.IntN(300)) * time.Millisecond)
	return context.DeadlineExceeded
}

func (e *entryHost) Dial(ctx context.Context, address netip.AddrPort) flamingodoor.DialResult {
	if e.cut {
		return flamingodoor.DialResultUnanswered
	}
	return e.fleet.Dial(ctx, address)
}

// noneConnects asks the peer.
func (e *entryHost) noneConnects(ctx context.Context, instance flamingodoor.Instance) bool {
	return e.peer.Dial(ctx, instance.Address) == flamingodoor.DialResultUnanswered
}

func (e *entryHost) Report(ctx context.Context, address netip.AddrPort) (flamingodoor.InstanceReport, error) {
	if e.cut {
		return flamingodoor.InstanceReport{}, e.fail()
	}
	return e.fleet.Report(ctx, address)
}

func (e *entryHost) Order(ctx context.Context, instance flamingodoor.Instance, order flamingodoor.InstanceOrder) (flamingodoor.OrderResult, error) {
	if e.cut {
		return flamingodoor.OrderResultUnknown, e.fail()
	}
	if order.Kind == flamingodoor.OrderKindJoin {
		owner, _ := e.joins.LoadOrStore(order.Epoch, e.name)
		if owner != e.name {
			e.t.Errorf("epoch %d has two owners", order.Epoch)
		}
	}
	return e.fleet.Order(ctx, instance, order)
}

// reachedElsewhere asks the peer.
func (e *entryHost) reachedElsewhere(ctx context.Context, instance flamingodoor.Instance) (reached, known bool) {
	_, err := e.peer.Report(ctx, instance.Address)
	return err == nil, true
}

// entryHosts returns two hosts before one fleet.
func (h *harness) entryHosts(random *rand.Rand) []*entryHost {
	shared := &leases{now: h.fleet.Now}
	joins := new(sync.Map)
	hosts := make([]*entryHost, 0, 2)
	for _, name := range []string{"first", "second"} {
		host := &entryHost{t: h.t, name: name, leases: shared, fleet: h.fleet, roster: roster.New(), joins: joins, random: random}
		parts := h.parts()
		parts.Roster, parts.Instances, parts.Election = host.roster, host, host
		parts.Stranded, parts.HasSoundPeer, parts.ReachedElsewhere = host.stranded, host.hasSoundPeer, host.reachedElsewhere
		parts.NoneConnects = host.noneConnects
		parts.AnnounceReachable = func(instance flamingodoor.Instance, at time.Time) {
			for _, each := range hosts {
				each.roster.MarkAlive(instance.ID, instance.StartedAt, at)
			}
		}
		host.Planner = h.newPlanner(parts)
		hosts = append(hosts, host)
	}
	hosts[0].peer, hosts[1].peer = hosts[1], hosts[0]
	return hosts
}

// runHosts advances the clock by the duration in ticks, in which the hosts run in a
// random order, and returns when a host other than the given one first led.
func (h *harness) runHosts(random *rand.Rand, duration time.Duration, hosts []*entryHost, other *entryHost) (successorAt time.Time) {
	h.t.Helper()
	end := h.fleet.Now().Add(duration)
	for h.fleet.Now().Before(end) {
		h.fleet.Advance(tick)
		leaders := 0
		for _, i := range random.Perm(len(hosts)) {
			host := hosts[i]
			host.roster.Replace(h.fleet.Listed(), h.fleet.Now())
			host.roster.Publish(h.fleet.Now())
			h.readAt = h.fleet.Now()
			if host.stranded() || !h.fleet.Now().Before(host.renewAt) {
				host.renewAt = h.fleet.Now().Add(leaseTime / 3)
				host.Campaign(h.t.Context())
			}
			if random.IntN(3) > 0 {
				host.Step(h.t.Context())
			}
			if host.Leads() {
				leaders++
				if host != other && successorAt.IsZero() {
					successorAt = h.fleet.Now()
				}
			}
		}
		assert.Assert(h.t, leaders <= 1)
	}
	h.assertNoViolations()
	return successorAt
}

// Guards against a leader without paths to instances that keeps the lease: it dissolved
// all groups, which the other hosts used, and formed none.
func TestStrandedLeaderHandsOver(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			h := newHarness(t)
			h.demand = map[string]float64{large: 3, small: 2}
			h.add("d0", 9, large)
			hosts := h.entryHosts(random)
			// Every third seed cuts the leader off while groups form.
			forming := seed%3 == 0
			settled := 6 * time.Second
			if forming {
				settled = time.Duration(random.IntN(4000)) * time.Millisecond
			}
			h.runHosts(random, settled, hosts, nil)
			stranded := hosts[0].leases.holder
			if stranded == nil {
				stranded = hosts[0]
			}
			var leaves []string
			h.fleet.SetHooks(fleet.Hooks{LoseAnswer: func(id string, order flamingodoor.InstanceOrder) bool {
				if order.Kind == flamingodoor.OrderKindLeave {
					leaves = append(leaves, id)
				}
				return false
			}})
			now := h.fleet.Now()
			stranded.cut, stranded.refuses, stranded.cutAt = true, seed%2 == 0, now
			stranded.suspects = time.Duration(500+random.IntN(250)) * time.Millisecond
			for _, instance := range h.fleet.Listed() {
				stranded.roster.MarkLost(instance.ID, instance.StartedAt, now)
			}
			successorAt := h.runHosts(random, 12*time.Second, hosts, stranded)
			assert.Assert(t, successorAt.Sub(now) < 2*time.Second && !successorAt.IsZero(), "%v", successorAt.Sub(now))
			assert.Equal(t, h.fleet.OpenGroups(large), 2)
			assert.Assert(t, forming || len(leaves) == 0, "%v", leaves)
			stranded.cut = false
			h.runHosts(random, 6*time.Second, hosts, stranded)
			assert.Equal(t, h.fleet.OpenGroups(large), 2)
		})
	}
}

// Guards against a leader whose new connections are refused and that gives up all groups,
// because its peers are late to answer for so many instances (KNOWN-RED.txt, stranded-losses).
func TestLeaderWithUnsoundPathsFindsNothingLost(t *testing.T) {
	for _, sound := range []bool{true, false} {
		h := newHarness(t)
		h.demand = map[string]float64{large: 3, small: 2}
		h.add("d0", 9, large)
		parts := h.parts()
		var questions atomic.Int64 // the planner asks from several tasks
		parts.PathsSound = func(context.Context, flamingodoor.Instance) bool { return sound }
		parts.ReachedElsewhere = func(context.Context, flamingodoor.Instance) (reached, known bool) {
			questions.Add(1)
			return false, true
		}
		leader := h.newPlanner(parts)
		leader.Campaign(t.Context())
		h.run(6*time.Second, leader)
		assert.Equal(t, h.fleet.OpenGroups(large), 2)
		for _, instance := range h.fleet.Listed() {
			h.fleet.SetRefusing(instance.ID, true)
			h.roster.MarkUnreachable(instance.ID, instance.StartedAt, h.fleet.Now())
		}
		h.run(time.Second, leader)
		lost := 0
		for _, entry := range h.roster.View().Entries {
			if h.roster.View().Lost(entry.Instance, h.fleet.Now()) {
				lost++
			}
		}
		assert.Equal(t, lost > 0, sound, "%d lost", lost)
		assert.Equal(t, questions.Load() > 0, sound)
	}
}

// Guards against the lease being given to a host without paths that did not lead.
func TestStrandedHostLeavesTheElection(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	h := newHarness(t)
	hosts := h.entryHosts(random)
	h.runHosts(random, time.Second, hosts, nil)
	follower := hosts[0].leases.holder.peer
	follower.cut, follower.cutAt = true, h.fleet.Now()
	h.runHosts(random, time.Second, hosts, nil)
	assert.Equal(t, follower.resigned, 1)
	follower.cut, follower.peer.cut, follower.peer.cutAt = false, true, h.fleet.Now()
	h.runHosts(random, 2*time.Second, hosts, nil)
	assert.Assert(t, follower.Leads(), "a host whose paths are back does not stand")
}

// Guards against a fleet without a leader because no instance answers any host for a
// while: the leader keeps its lease, gives no orders meanwhile, and hands over as soon
// as another host has paths again.
func TestLeaderStaysWhileAllHostsAreStranded(t *testing.T) {
	for _, peerFirst := range []bool{false, true} {
		random := rand.New(rand.NewPCG(1, 1))
		h := newHarness(t)
		h.add("d0", 5, large)
		hosts := h.entryHosts(random)
		h.runHosts(random, 6*time.Second, hosts, nil)
		leader, leaves := hosts[0].leases.holder, h.countLeaves()
		leader.cut, leader.peer.cut, leader.cutAt = true, true, h.fleet.Now()
		h.runHosts(random, 4*time.Second, hosts, nil)
		assert.Assert(t, !leader.Leads() && leader.leases.holder == leader && leader.resigned+leader.peer.resigned == 0)
		leader.peer.cut, leader.cut = false, peerFirst
		h.runHosts(random, time.Second, hosts, nil)
		assert.Assert(t, leader.peer.Leads() == peerFirst && leader.Leads() == !peerFirst)
		assert.Equal(t, *leaves, 0)
	}
}

// Guards against a group that is given up because the leader alone does not reach its
// head when it is to open: no request goes there yet that would mark the head.
func TestPendingGroupAwaitsThePathToItsHead(t *testing.T) {
	h := newHarness(t)
	h.demand = map[string]float64{large: 2}
	h.add("d0", 4, large)
	h.reachedElsewhere = true
	p := h.startLeader()
	joined := func() (head string) {
		for _, instance := range h.fleet.Listed() {
			if instance.Membership.Group == "" || instance.Membership.State == flamingodoor.MembershipStateOpen {
				return ""
			}
			if instance.Membership.Rank == 0 {
				head = instance.ID
			}
		}
		return head
	}
	for joined() == "" {
		h.run(stepTime, p)
		assert.Equal(t, h.fleet.OpenGroups(large), 0, "the group opened at once")
	}
	head := joined()
	h.fleet.SetUnreachable(head, true)
	leaves := h.countLeaves()
	h.run(8*time.Second, p)
	assert.Equal(t, *leaves, 0, "orders to leave during the cut")
	h.fleet.SetUnreachable(head, false)
	h.run(2*time.Second, p)
	assert.Equal(t, h.fleet.OpenGroups(large), 1)
	assert.Equal(t, *leaves, 0)
}
