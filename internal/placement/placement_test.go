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

// newWorld has fabric domains of the given sizes, two per data centre, and
// one plan per group size, each of its own club.
func newWorld(domains []int, accelerators int, sizes, wanted, shares []int) *world {
	w := &world{seen: map[string]placement.Endpoint{}, serving: map[string]bool{}}
	for d, hosts := range domains {
		dataCentre := fmt.Sprintf("dc%d", d/2)
		if d%2 == 0 {
			w.dataCentres = append(w.dataCentres, flamingodoor.DataCentre{ID: dataCentre})
		}
		for h := range hosts {
			id := fmt.Sprintf("d%d-h%02d", d, h)
			w.endpoints = append(w.endpoints, flamingodoor.Endpoint{
				ID: id, HostID: id, DataCentre: dataCentre, FabricDomain: fmt.Sprintf("d%d", d),
				Kind: flamingodoor.EndpointKindEngine, Accelerators: 1 + h%accelerators,
			})
			w.seen[id] = placement.Endpoint{Live: true}
		}
	}
	for i, size := range sizes {
		model, club := fmt.Sprintf("m%d", i), fmt.Sprintf("c%d", i)
		w.models = append(w.models, flamingodoor.Model{ID: model, HostsPerGroup: size, AcceleratorsPerHost: 1 + i%accelerators})
		w.clubs = append(w.clubs, flamingodoor.Club{ID: club, Accelerators: shares[i]})
		w.plans = append(w.plans, flamingodoor.GroupPlan{ID: "p" + model, ModelID: model, Version: "1", ClubID: club, Groups: wanted[i]})
	}
	return w
}

// share puts several endpoints on each host, and may spread each fabric domain
// over data centres.
func (w *world) share(endpoints int, spread bool) {
	for i := range w.endpoints {
		w.endpoints[i].HostID = w.endpoints[i-i%endpoints].ID
		if spread {
			w.endpoints[i].DataCentre = w.dataCentres[i/endpoints%2].ID
		}
	}
}

// change applies one kind of failure or operator change.
func (w *world) change(t *rapid.T, now time.Time) {
	index := rapid.IntRange(0, len(w.endpoints)-1).Draw(t, "host")
	host := &w.endpoints[index]
	plan := rapid.IntRange(0, len(w.plans)-1).Draw(t, "plan")
	seen := w.seen[host.ID]
	switch rapid.IntRange(0, 7).Draw(t, "change") {
	case 0, 1:
		seen.Live, seen.LostAt = false, now
	case 2:
		seen.Live = true
	case 3:
		seen.Leaving = !seen.Leaving
		seen.InFlight = rapid.IntRange(0, 1).Draw(t, "in flight")
	case 7:
		host.Leaving = !host.Leaving
	case 4:
		w.plans[plan].Groups = rapid.IntRange(0, 4).Draw(t, "groups")
	case 5:
		w.plans[plan].Version += "1"
	case 6:
		i := rapid.IntRange(0, len(w.dataCentres)-1).Draw(t, "data centre")
		w.dataCentres[i].OutOfService = !w.dataCentres[i].OutOfService
	}
	w.seen[host.ID] = seen
}

func (w *world) check(t *rapid.T) {
	used, holder := map[string]int{}, map[string]string{}
	for _, group := range w.groups {
		model, _ := w.Model(group.ModelID)
		plan, _ := find(w.plans, func(p flamingodoor.GroupPlan) bool { return p.ID == group.PlanID })
		used[plan.ClubID] += model.AcceleratorsPerHost * len(group.EndpointIDs)
		for _, id := range group.EndpointIDs {
			endpoint, _ := w.Endpoint(id)
			assert.Equal(t, holder[endpoint.HostID], "", "%s in two groups", endpoint.HostID)
			assert.Equal(t, endpoint.FabricDomain, group.FabricDomain)
			assert.Assert(t, endpoint.Accelerators >= model.AcceleratorsPerHost)
			holder[endpoint.HostID] = group.ID
		}
	}
	for _, club := range w.clubs {
		assert.Assert(t, used[club.ID] <= club.Accelerators, "share of %s exceeded", club.ID)
	}
}

// Guards against a host in two groups, groups across fabric domains, shares
// exceeded, hosts used in quarantine, and endless changes without a cause.
func TestPlansAreSafeAndSettle(t *testing.T) {
	for name, policy := range map[string]*placement.Policy{"robust": placement.New(), "first fit": placement.FirstFit()} {
		t.Run(name, func(t *testing.T) { rapid.Check(t, func(t *rapid.T) { settles(t, policy) }) })
	}
}

func settles(t *rapid.T, policy *placement.Policy) {
	ints := func(low, high, count int, name string) []int {
		return rapid.SliceOfN(rapid.IntRange(low, high), count, count).Draw(t, name)
	}
	w := newWorld(ints(1, 9, 4, "domains"), rapid.IntRange(1, 2).Draw(t, "accelerators"),
		ints(1, 5, 3, "sizes"), ints(0, 4, 3, "wanted"), ints(0, 20, 3, "shares"))
	w.share(rapid.IntRange(1, 2).Draw(t, "endpoints of a host"), rapid.Bool().Draw(t, "domains span data centres"))
	now := start
	for range rapid.IntRange(1, 25).Draw(t, "steps") {
		now = now.Add(time.Duration(rapid.IntRange(1, 12).Draw(t, "seconds")) * time.Second)
		for _, action := range w.planAndApply(t, policy, now) {
			form, _ := action.(placement.Form)
			for _, id := range form.EndpointIDs {
				freed := w.seen[id].FreedAt
				assert.Assert(t, freed.IsZero() || now.Sub(freed) >= placement.DefaultQuarantine, "%s", id)
			}
			replace, _ := action.(placement.Replace)
			for _, id := range append(form.EndpointIDs, replace.EndpointIDs...) {
				endpoint, _ := w.Endpoint(id)
				dataCentre, _ := w.DataCentre(endpoint.DataCentre)
				assert.Assert(t, !endpoint.Leaving && !dataCentre.OutOfService, "%s is not to be used", id)
			}
		}
		w.serveAll()
		w.change(t, now)
	}
	for range 40 {
		now = now.Add(11 * time.Second)
		if len(w.planAndApply(t, policy, now)) == 0 {
			return
		}
		w.serveAll()
	}
	t.Fatal("the plan does not settle")
}

func (w *world) planAndApply(t *rapid.T, policy *placement.Policy, now time.Time) []placement.Action {
	actions := policy.Plan(now, w.input())
	w.apply(now, actions)
	w.check(t)
	assert.Equal(t, len(policy.Plan(now, w.input())), 0, "further actions follow")
	return actions
}

// Guards against a lost member that leaves its group broken although a spare
// or another domain is free.
func TestRepairUsesSparesThenOtherDomains(t *testing.T) {
	w := newWorld([]int{4, 3}, 1, []int{3}, []int{1}, []int{3})
	policy := placement.New()
	w.apply(start, policy.Plan(start, w.input()))
	assert.Equal(t, w.groups[0].FabricDomain, "d0", "the domain with a spare is to be preferred")

	lose := func(id string) { w.seen[id] = placement.Endpoint{LostAt: start} }
	lose("d0-h00")
	assert.Equal(t, len(policy.Plan(start.Add(4*time.Second), w.input())), 0)
	now := start.Add(5 * time.Second)
	w.apply(now, policy.Plan(now, w.input()))
	assert.DeepEqual(t, w.groups[0].EndpointIDs, []string{"d0-h03", "d0-h01", "d0-h02"})

	lose("d0-h01")
	actions := policy.Plan(now, w.input())
	form, ok := actions[len(actions)-1].(placement.Form)
	assert.Assert(t, ok && form.FabricDomain == "d1" && slices.Equal(form.After, []string{"pm0-0"}))
}

// Guards against a group being dissolved for a data centre that is out while
// nothing elsewhere can take its place, and against one that stays behind.
func TestGroupsOfDataCentreThatIsOut(t *testing.T) {
	w := newWorld([]int{2, 1, 1, 1}, 1, []int{2}, []int{1}, []int{2})
	policy := placement.New()
	w.apply(start, policy.Plan(start, w.input()))
	w.dataCentres[0].OutOfService = true
	assert.Equal(t, len(policy.Plan(start.Add(time.Hour), w.input())), 0)

	w.endpoints[3].FabricDomain = "d3"
	w.seen["d0-h00"] = placement.Endpoint{Live: true, InFlight: 1}
	input := w.input()
	input.OutSince = map[string]time.Time{"dc0": start}
	assert.Equal(t, len(policy.Plan(start.Add(59*time.Second), input)), 0)
	assert.Equal(t, len(policy.Plan(start.Add(60*time.Second), input)), 2)
}

// Guards against one club taking all hardware when it is short.
func TestShortHardwareIsDividedByShare(t *testing.T) {
	w := newWorld([]int{12}, 1, []int{2, 2}, []int{8, 8}, []int{16, 8})
	w.apply(start, placement.New().Plan(start, w.input()))
	count := map[string]int{}
	for _, group := range w.groups {
		count[group.PlanID]++
	}
	assert.DeepEqual(t, count, map[string]int{"pm0": 4, "pm1": 2})
}
