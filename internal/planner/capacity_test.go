package planner_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/planner"
	"flamingodoor.example/flamingodoor/internal/roster"
)

const (
	outageDomains    = 8
	outageDomainSize = 37
	outageTime       = 36 * time.Second
	lossInterval     = 3 * time.Second
	lapseTime        = 2 * time.Second // after which the registration of a lost instance lapses
	markInterval     = time.Second     // at which hosts find a lost instance silent again
)

// outage is a fleet that loses machines and gets others without weights.
type outage struct {
	*harness
	random *rand.Rand
	lost   map[string]time.Time // when the machine of an instance was lost
}

// newOutage returns a fleet whose domains hold groups of both models at the time of the
// first request, and its leader.
func newOutage(t *testing.T, largeWork, smallWork float64) (*outage, *planner.Planner) {
	t.Helper()
	spec := engineSpec()
	spec.Models[0].InstancesPerGroup, spec.Models[1].InstancesPerGroup = 16, 4
	spec.LoadsPerSecond, spec.MaxConcurrentLoads = 25, 37
	o := &outage{
		harness: newHarnessWith(t, spec), lost: make(map[string]time.Time),
		random: rand.New(rand.NewPCG(1, 2)),
	}
	o.demand = nil
	o.noRequestsYet = true
	o.fleet.SetPreTraffic(true)
	for i := range outageDomains {
		o.add(fmt.Sprint("d", i), outageDomainSize)
	}
	leader := o.startLeader()
	o.run(14*time.Second, leader)
	o.noRequestsYet = false
	o.fleet.SetPreTraffic(false)
	o.demand = map[string]float64{large: largeWork, small: smallWork}
	return o, leader
}

// loseMembers loses the machines of random members of groups in a domain, or of heads
// alone.
func (o *outage) loseMembers(domain string, count int, heads bool) {
	var members []string
	for _, instance := range o.fleet.Listed() {
		membership := instance.Membership
		if instance.FabricDomain == domain && membership.Group != "" && (membership.Rank == 0 || !heads) {
			members = append(members, instance.ID)
		}
	}
	o.random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for _, id := range members[:min(count, len(members))] {
		o.loseMachine(id)
	}
}

// loseMachine ends an instance together with its machine, which answers nothing more.
func (o *outage) loseMachine(id string) {
	o.lost[id] = o.fleet.Now()
	o.fleet.Kill(id)
	o.fleet.SetCutOff(id, true)
}

// restartDomain loses all machines of a domain and starts their instances again, with
// the weights that they hold.
func (o *outage) restartDomain(domain string) {
	for _, instance := range o.fleet.Listed() {
		if instance.FabricDomain == domain {
			o.loseMachine(instance.ID)
			o.add(domain, 1, instance.StagedModels...)
		}
	}
}

// observe marks the lost machines as hosts do, and lets their registrations lapse.
func (o *outage) observe() {
	now := o.fleet.Now()
	for _, entry := range o.roster.View().Entries {
		if at, ok := o.lost[entry.ID]; ok && now.Sub(at)%markInterval == 0 {
			o.roster.MarkLost(entry.ID, entry.StartedAt, now)
		}
	}
	for id, at := range o.lost {
		if now.Sub(at) == lapseTime {
			o.fleet.SetUnlisted(id, true)
		}
	}
}

// A fleet loses machines and gets others while hosts replace each other as leaders.
// Guards against a model of large groups that is short for most of a day although the
// model of small groups, made of what the large ones lost, has more than it needs.
func TestCapacityFollowsDemandAfterLosses(t *testing.T) {
	for name, scenario := range map[string]struct {
		term                 time.Duration // after which the next host leads
		losses               int           // at every lossInterval
		heads                bool          // only heads are lost
		domainLost           time.Duration // when a domain restarts, if not 0
		largeWork, smallWork float64       // engine seconds per second
	}{
		"one_leader":                 {term: time.Hour, losses: 2, largeWork: 8, smallWork: 24},
		"leaders_change":             {term: 4 * time.Second, losses: 2, largeWork: 8, smallWork: 24},
		"heads_are_lost":             {term: 4 * time.Second, losses: 2, heads: true, largeWork: 8, smallWork: 24},
		"domain_restarts":            {term: time.Hour, losses: 2, domainLost: 9 * time.Second, largeWork: 8, smallWork: 24},
		"domain_and_leaders_restart": {term: 4 * time.Second, losses: 2, domainLost: 9 * time.Second, largeWork: 8, smallWork: 24},
	} {
		t.Run(name, func(t *testing.T) {
			o, leader := newOutage(t, scenario.largeWork, scenario.smallWork)
			var covered, starved, longest time.Duration
			for at := time.Duration(0); at < outageTime; at += stepTime {
				if at > 0 && at%scenario.term == 0 {
					leader = o.startLeader()
				}
				if at%lossInterval == 0 {
					loss := int(at / lossInterval)
					o.loseMembers(fmt.Sprint("d", loss%outageDomains), scenario.losses, scenario.heads)
					o.add(fmt.Sprint("d", (loss+3)%outageDomains), scenario.losses)
				}
				if at == scenario.domainLost && at > 0 {
					o.restartDomain("d5")
				}
				o.observe()
				o.run(stepTime, leader)
				larges, smalls := float64(o.fleet.OpenGroups(large)), float64(o.fleet.OpenGroups(small))
				covered += time.Duration(min(1, larges/scenario.largeWork) * float64(stepTime))
				starved += stepTime
				if larges >= 0.8*scenario.largeWork || smalls <= 1.3*scenario.smallWork {
					starved = 0
				}
				longest = max(longest, starved)
				if at%(2*time.Second) == 0 {
					t.Logf("%4.1f s: large %2.0f, small %2.0f", at.Seconds(), larges, smalls)
				}
			}
			t.Logf("large covered %.2f; longest shortage beside a surplus %s", covered.Seconds()/outageTime.Seconds(), longest)
			assert.Assert(t, longest <= engineSpec().Models[0].LoadTime, "%s", longest)
		})
	}
}

// Guards against small groups that can never make way for a large one: their members
// did not hold the weights of the large model, because it had enough groups before the
// first request.
func TestMembersHoldTheWeightsOfAllModelsAtTheFirstRequest(t *testing.T) {
	o, _ := newOutage(t, 8, 24)
	for _, instance := range o.fleet.Listed() {
		for _, model := range engineSpec().Models {
			holds := instance.Membership.ModelID == model.ID || slices.Contains(instance.StagedModels, model.ID)
			assert.Assert(t, holds || instance.Membership.Group == "", "%s: %v", model.ID, instance)
		}
	}
}

// Guards against survivors of a large group that stay free for the time of a load: they
// had been ordered to leave, and the next leader no longer knew their last model.
func TestNextLeaderKnowsTheModelsOfInstancesThatLeft(t *testing.T) {
	for name, restarted := range map[string]bool{"host_that_ran_before": false, "host_that_has_just_started": true} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.demand = map[string]float64{large: 4}
			h.add("d0", 4, large)
			leader := h.startLeader()
			h.run(3*time.Second, leader)
			members := h.fleet.GroupMembers(h.openHead())
			h.loseInstance(members[3])
			h.fleet.SetUnlisted(members[3], true)
			h.run(3*time.Second, leader)
			for _, instance := range h.fleet.Listed() {
				if instance.ID == members[0] {
					assert.Equal(t, instance.Membership.Group, "", "the head has left")
				}
			}
			if restarted {
				h.roster = roster.New()
			}
			h.fleet.DropWeights()
			h.add("d0", 1, large)
			h.run(8*time.Second, h.startLeader())
			assert.Equal(t, h.fleet.OpenGroups(large), 1)
		})
	}
}

// A large group loses a member in a domain without free instances. Guards against its
// survivors becoming small groups: a small group of the domain retires, and they wait
// for its members.
func TestSurvivorsWaitForTheMembersOfARetiredGroup(t *testing.T) {
	for name, leaderChanges := range map[string]bool{"one_leader": false, "leader_changes": true} {
		t.Run(name, func(t *testing.T) {
			spec := engineSpec()
			spec.Models[0].InstancesPerGroup = 8
			h := newHarnessWith(t, spec)
			h.noRequestsYet = true
			h.fleet.SetPreTraffic(true)
			h.add("d0", 8+3*3)
			leader := h.startLeader()
			h.run(14*time.Second, leader)
			h.noRequestsYet = false
			h.fleet.SetPreTraffic(false)
			h.demand = map[string]float64{large: 2, small: 1}
			assert.Equal(t, h.fleet.OpenGroups(large), 1)
			assert.Equal(t, h.fleet.OpenGroups(small), 3)
			lost := h.fleet.GroupMembers(h.openHead())[5]
			h.loseInstance(lost)
			h.fleet.SetUnlisted(lost, true)
			for range 40 {
				h.run(stepTime, leader)
				if leaderChanges && len(h.retired) > 0 {
					leader, leaderChanges = h.startLeader(), false
				}
			}
			h.run(4*time.Second, leader)
			assert.Equal(t, h.fleet.OpenGroups(large), 1)
			assert.Assert(t, h.fleet.OpenGroups(small) >= 2, "%d", h.fleet.OpenGroups(small))
		})
	}
}
