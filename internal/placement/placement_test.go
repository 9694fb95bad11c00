package placement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/placement"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newCluster returns a cluster with fabric domains of the given numbers of hosts,
// two domains per data centre, and one plan per group size, each of its own club.
func newCluster(domains []int, accelerators int, sizes, wanted, shares []int) *cluster {
	c := &cluster{observed: map[string]placement.Endpoint{}, serving: map[string]bool{}}
	for d, hosts := range domains {
		dataCentre := fmt.Sprintf("dc%d", d/2)
		if d%2 == 0 {
			c.dataCentres = append(c.dataCentres, flamingodoor.DataCentre{ID: dataCentre})
		}
		for h := range hosts {
			id := fmt.Sprintf("d%d-h%02d", d, h)
			c.endpoints = append(c.endpoints, flamingodoor.Endpoint{
				ID: id, HostID: id, DataCentre: dataCentre, FabricDomain: fmt.Sprintf("d%d", d),
				Kind: flamingodoor.EndpointKindEngine, Accelerators: 1 + h%accelerators,
			})
			c.observed[id] = placement.Endpoint{Live: true}
		}
	}
	for i, size := range sizes {
		model, club := fmt.Sprintf("m%d", i), fmt.Sprintf("c%d", i)
		c.models = append(c.models, flamingodoor.Model{ID: model, HostsPerGroup: size, AcceleratorsPerHost: 1 + i%accelerators})
		c.clubs = append(c.clubs, flamingodoor.Club{ID: club, Accelerators: shares[i]})
		c.plans = append(c.plans, flamingodoor.GroupPlan{ID: "p" + model, ModelID: model, Version: "1", ClubID: club, Groups: wanted[i]})
	}
	return c
}

// colocate puts several endpoints on each host, and may spread each fabric
// domain over data centres.
func (c *cluster) colocate(endpoints int, spread bool) {
	for i := range c.endpoints {
		c.endpoints[i].HostID = c.endpoints[i-i%endpoints].ID
		if spread {
			c.endpoints[i].DataCentre = c.dataCentres[i/endpoints%2].ID
		}
	}
}

// injectChange applies one random failure, recovery or operator change.
func (c *cluster) injectChange(t *rapid.T, now time.Time) {
	index := rapid.IntRange(0, len(c.endpoints)-1).Draw(t, "host")
	host := &c.endpoints[index]
	plan := rapid.IntRange(0, len(c.plans)-1).Draw(t, "plan")
	observed := c.observed[host.ID]
	switch rapid.IntRange(0, 7).Draw(t, "change") {
	case 0, 1:
		observed.Live, observed.LostAt = false, now
	case 2:
		observed.Live = true
	case 3:
		observed.Leaving = !observed.Leaving
		observed.InFlight = rapid.IntRange(0, 1).Draw(t, "in flight")
	case 7:
		host.Leaving = !host.Leaving
	case 4:
		c.plans[plan].Groups = rapid.IntRange(0, 4).Draw(t, "groups")
	case 5:
		c.plans[plan].Version += "1"
	case 6:
		i := rapid.IntRange(0, len(c.dataCentres)-1).Draw(t, "data centre")
		c.dataCentres[i].OutOfService = !c.dataCentres[i].OutOfService
	}
	c.observed[host.ID] = observed
}

// checkInvariants fails the test if a host is in two groups, a group spans fabric
// domains or has too small a host, or a club's share is exceeded.
func (c *cluster) checkInvariants(t *rapid.T) {
	used, holder := map[string]int{}, map[string]string{}
	for _, group := range c.groups {
		model, _ := c.Model(group.ModelID)
		plan, _ := find(c.plans, func(p flamingodoor.GroupPlan) bool { return p.ID == group.PlanID })
		used[plan.ClubID] += model.AcceleratorsPerHost * len(group.EndpointIDs)
		for _, id := range group.EndpointIDs {
			endpoint, _ := c.Endpoint(id)
			assert.Equal(t, holder[endpoint.HostID], "", "%s in two groups", endpoint.HostID)
			assert.Equal(t, endpoint.FabricDomain, group.FabricDomain)
			assert.Assert(t, endpoint.Accelerators >= model.AcceleratorsPerHost)
			holder[endpoint.HostID] = group.ID
		}
	}
	for _, club := range c.clubs {
		assert.Assert(t, used[club.ID] <= club.Accelerators, "share of %s exceeded", club.ID)
	}
}

// Guards against a host in two groups, groups across fabric domains, exceeded
// shares, the use of hosts in quarantine, and a policy that keeps changing
// groups although nothing else changes.
func TestPlansAreSafeAndSettle(t *testing.T) {
	for name, policy := range map[string]*placement.Policy{"robust": placement.New(), "first fit": placement.FirstFit()} {
		t.Run(name, func(t *testing.T) { rapid.Check(t, func(t *rapid.T) { checkConvergence(t, policy) }) })
	}
}

// checkConvergence applies the policy's plans to a random cluster under random
// changes. It fails unless every plan keeps the invariants and the policy,
// without further changes, stops planning actions within 40 rounds.
func checkConvergence(t *rapid.T, policy *placement.Policy) {
	ints := func(low, high, count int, name string) []int {
		return rapid.SliceOfN(rapid.IntRange(low, high), count, count).Draw(t, name)
	}
	c := newCluster(ints(1, 9, 4, "domains"), rapid.IntRange(1, 2).Draw(t, "accelerators"),
		ints(1, 5, 3, "sizes"), ints(0, 4, 3, "wanted"), ints(0, 20, 3, "shares"))
	c.colocate(rapid.IntRange(1, 2).Draw(t, "endpoints of a host"), rapid.Bool().Draw(t, "domains span data centres"))
	now := start
	for range rapid.IntRange(1, 25).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(1, 12).Draw(t, "seconds")) * time.Second)
		for _, action := range c.planAndApply(t, policy, now) {
			form, _ := action.(placement.Form)
			for _, id := range form.EndpointIDs {
				freed := c.observed[id].FreedAt
				assert.Assert(t, freed.IsZero() || now.Sub(freed) >= placement.DefaultQuarantine, "%s", id)
			}
			replace, _ := action.(placement.Replace)
			for _, id := range append(form.EndpointIDs, replace.EndpointIDs...) {
				endpoint, _ := c.Endpoint(id)
				dataCentre, _ := c.DataCentre(endpoint.DataCentre)
				assert.Assert(t, !endpoint.Leaving && !dataCentre.OutOfService, "%s must not be used", id)
			}
		}
		c.markAllServing()
		c.injectChange(t, now)
	}
	for range 40 {
		now = now.Add(11 * time.Second)
		if len(c.planAndApply(t, policy, now)) == 0 {
			return
		}
		c.markAllServing()
	}
	t.Fatal("the policy still plans actions after 40 rounds without a change")
}

// planAndApply applies the actions of one plan and fails the test if the same
// policy then plans further ones.
func (c *cluster) planAndApply(t *rapid.T, policy *placement.Policy, now time.Time) []placement.Action {
	actions := policy.Plan(now, c.input())
	c.apply(now, actions)
	c.checkInvariants(t)
	assert.Equal(t, len(policy.Plan(now, c.input())), 0, "further actions follow")
	return actions
}

// Guards against a group that stays broken after it lost a member, although a
// spare host or another domain is free.
func TestRepairUsesSparesThenOtherDomains(t *testing.T) {
	c := newCluster([]int{4, 3}, 1, []int{3}, []int{1}, []int{3})
	policy := placement.New()
	c.apply(start, policy.Plan(start, c.input()))
	assert.Equal(t, c.groups[0].FabricDomain, "d0", "the domain with a spare must be preferred")

	failHost := func(id string) { c.observed[id] = placement.Endpoint{LostAt: start} }
	failHost("d0-h00")
	assert.Equal(t, len(policy.Plan(start.Add(4*time.Second), c.input())), 0)
	now := start.Add(5 * time.Second)
	c.apply(now, policy.Plan(now, c.input()))
	assert.DeepEqual(t, c.groups[0].EndpointIDs, []string{"d0-h03", "d0-h01", "d0-h02"})

	failHost("d0-h01")
	actions := policy.Plan(now, c.input())
	form, ok := actions[len(actions)-1].(placement.Form)
	assert.Assert(t, ok && form.FabricDomain == "d1" && slices.Equal(form.After, []string{"pm0-0"}))
}

// Guards against a group in a data centre that is out of service being dissolved
// while it fits nowhere else, and against one that stays there although another
// domain has free hosts.
func TestGroupsOfDataCentreThatIsOut(t *testing.T) {
	c := newCluster([]int{2, 1, 1, 1}, 1, []int{2}, []int{1}, []int{2})
	policy := placement.New()
	c.apply(start, policy.Plan(start, c.input()))
	c.dataCentres[0].OutOfService = true
	assert.Equal(t, len(policy.Plan(start.Add(time.Hour), c.input())), 0)

	c.endpoints[3].FabricDomain = "d3"
	c.observed["d0-h00"] = placement.Endpoint{Live: true, InFlight: 1}
	input := c.input()
	input.OutSince = map[string]time.Time{"dc0": start}
	assert.Equal(t, len(policy.Plan(start.Add(59*time.Second), input)), 0)
	assert.Equal(t, len(policy.Plan(start.Add(60*time.Second), input)), 2)
}

// Guards against one club getting all hosts when there are too few for all clubs.
func TestScarceHostsAreDividedByShare(t *testing.T) {
	c := newCluster([]int{12}, 1, []int{2, 2}, []int{8, 8}, []int{16, 8})
	c.apply(start, placement.New().Plan(start, c.input()))
	count := map[string]int{}
	for _, group := range c.groups {
		count[group.PlanID]++
	}
	assert.DeepEqual(t, count, map[string]int{"pm0": 4, "pm1": 2})
}
