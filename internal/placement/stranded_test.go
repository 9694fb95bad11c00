package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/placement"
)

const (
	simulationStep = 5 * time.Second
	loadTime       = 30 * time.Second // from the order until the group serves
)

// fleet describes a simulated fleet: the hosts of each fabric domain, the group
// sizes and the number of groups wanted of each, and how often hosts fail.
type fleet struct {
	domains, sizes, wanted []int
	hostFailure            float64 // probability per step
	domainFailure          float64
	repairSteps            int // most steps until a failed host returns
}

var (
	largeFleet = fleet{
		domains: []int{6, 9, 13, 18, 20, 25, 34}, sizes: []int{2, 4, 8, 16}, wanted: []int{7, 6, 4, 2},
		hostFailure: 0.02, domainFailure: 0.0005, repairSteps: 400,
	}
	smallFleet = fleet{
		domains: []int{3, 4, 6}, sizes: []int{2, 3}, wanted: []int{3, 2},
		hostFailure: 0.02, domainFailure: 0.001, repairSteps: 100,
	}
)

// result adds up accelerators (stranded, served, optimum) and groups that do not
// serve (down) over all steps.
type result struct {
	stranded, down, served, optimum int
}

func (r *result) add(other result) {
	r.stranded += other.stranded
	r.down += other.down
	r.served += other.served
	r.optimum += other.optimum
}

// simulate runs the policy on a cluster with host failures, recoveries and
// changes of group plans, and returns the sum of the results over the steps.
// The events depend only on the seed, not on the policy's actions.
func (f fleet) simulate(policy *placement.Policy, seed uint64, steps int, loadDuration time.Duration, withOptimum bool) result {
	rng := rand.New(rand.NewPCG(seed, 1))
	c := newCluster(f.domains, 1, f.sizes, append([]int{}, f.wanted...), []int{999, 999, 999, 999}[:len(f.sizes)])
	returnSteps, loadedAt := map[string]int{}, map[string]time.Time{}
	var total result
	for step := range steps {
		now := start.Add(time.Duration(step) * simulationStep)
		f.injectEvents(c, rng, now, step, returnSteps)
		actions := policy.Plan(now, c.input())
		c.apply(now, actions)
		for _, action := range actions {
			switch a := action.(type) {
			case placement.Form:
				loadedAt[a.GroupID] = now.Add(loadDuration)
			case placement.Replace:
				loadedAt[a.Group.ID] = now.Add(loadDuration)
			}
		}
		total.add(c.measure(now, loadedAt))
		if withOptimum {
			total.optimum += f.optimum(c)
		}
	}
	return total
}

// injectEvents lets hosts and domains fail and return, and changes a group plan
// every 200 steps.
func (f fleet) injectEvents(c *cluster, rng *rand.Rand, now time.Time, step int, returnSteps map[string]int) {
	host, domain, returnStep := rng.IntN(len(c.endpoints)), rng.IntN(len(f.domains)), step+1+rng.IntN(f.repairSteps)
	hostFails, domainFails := rng.Float64() < f.hostFailure, rng.Float64() < f.domainFailure
	plan, delta := rng.IntN(len(c.plans)), rng.IntN(2)
	if step%200 == 199 {
		c.plans[plan].Groups = f.wanted[plan] - delta
	}
	for i, endpoint := range c.endpoints {
		failed := hostFails && i == host || domainFails && endpoint.FabricDomain == fmt.Sprintf("d%d", domain)
		observed := c.observed[endpoint.ID]
		switch {
		case failed && observed.Live:
			observed.Live, observed.LostAt = false, now
			returnSteps[endpoint.ID] = returnStep
		case !observed.Live && returnSteps[endpoint.ID] <= step:
			observed.Live = true
		}
		c.observed[endpoint.ID] = observed
	}
}

// measure updates which groups serve and returns the counts of one step.
func (c *cluster) measure(now time.Time, loadedAt map[string]time.Time) result {
	var r result
	for _, plan := range c.plans {
		r.down += plan.Groups
	}
	for _, group := range c.groups {
		serving := !now.Before(loadedAt[group.ID])
		for _, id := range group.EndpointIDs {
			serving = serving && c.observed[id].Live
		}
		c.serving[group.ID] = serving
		if serving {
			r.served += len(group.EndpointIDs)
			r.down--
		}
	}
	r.stranded = placement.Stranded(now, c.input())
	return r
}

// optimum returns the most accelerators that whole groups could use on the
// live hosts, by exhaustive search.
func (f fleet) optimum(c *cluster) int {
	live := make([]int, len(f.domains))
	for _, endpoint := range c.endpoints {
		if c.observed[endpoint.ID].Live {
			live[endpoint.FabricDomain[1]-'0']++
		}
	}
	missing := make([]int, len(c.plans))
	for i, plan := range c.plans {
		missing[i] = plan.Groups
	}
	return f.search(live, missing, 0)
}

// search tries all allocations of the missing groups to the domains from the
// given one on, and returns the accelerators of the best.
func (f fleet) search(live, missing []int, domain int) int {
	if domain == len(live) {
		return 0
	}
	best := f.search(live, missing, domain+1)
	for i, size := range f.sizes {
		if missing[i] > 0 && live[domain] >= size {
			missing[i]--
			live[domain] -= size
			best = max(best, size+f.search(live, missing, domain))
			missing[i]++
			live[domain] += size
		}
	}
	return best
}

// withoutDelays returns options for a policy that acts at once.
func withoutDelays() []placement.Option {
	return []placement.Option{placement.WithQuarantine(0), placement.WithReplaceAfter(0)}
}

// Guards against a policy that strands more than 0.6 times the accelerators of
// first fit, keeps groups down for more than 0.8 times as long, or serves less
// than 0.95 of the optimum.
func TestStrandedAccelerators(t *testing.T) {
	var robust, first, small result
	for seed := range uint64(2) {
		robust.add(largeFleet.simulate(placement.New(), seed, 1500, loadTime, false))
		first.add(largeFleet.simulate(placement.FirstFit(), seed, 1500, loadTime, false))
		small.add(smallFleet.simulate(placement.New(withoutDelays()...), seed, 1500, 0, true))
	}
	t.Logf("large: policy %+v, first fit %+v; small: %+v", robust, first, small)
	assert.Assert(t, ratio(robust.stranded, first.stranded) <= 0.6)
	assert.Assert(t, ratio(robust.down, first.down) <= 0.8)
	assert.Assert(t, ratio(small.served, small.optimum) >= 0.95)
}

func ratio(a, b int) float64 { return float64(a) / float64(max(1, b)) }

// BenchmarkStranded compares the policy with first fit; each iteration runs one
// seed.
func BenchmarkStranded(b *testing.B) {
	tightFleet := largeFleet
	tightFleet.wanted = []int{10, 8, 4, 2}
	for name, fleet := range map[string]fleet{"large": largeFleet, "tight": tightFleet} {
		b.Run(name, func(b *testing.B) {
			var robust, first result
			for seed := uint64(100); b.Loop(); seed++ {
				robust.add(fleet.simulate(placement.New(), seed, 2500, loadTime, false))
				first.add(fleet.simulate(placement.FirstFit(), seed, 2500, loadTime, false))
			}
			b.ReportMetric(ratio(robust.stranded, first.stranded), "stranded/first_fit")
			b.ReportMetric(ratio(robust.down, first.down), "down/first_fit")
		})
	}
	b.Run("small", func(b *testing.B) {
		var robust, first result
		for seed := uint64(100); b.Loop(); seed++ {
			robust.add(smallFleet.simulate(placement.New(withoutDelays()...), seed, 2500, 0, true))
			first.add(smallFleet.simulate(placement.FirstFit(withoutDelays()...), seed, 2500, 0, true))
		}
		b.ReportMetric(ratio(robust.served, robust.optimum), "served/optimum")
		b.ReportMetric(ratio(first.served, first.optimum), "first_fit_served/optimum")
	})
}
