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
	loadTime       = 30 * time.Second // from order to warm
)

// fleet is a case of the measurement.
type fleet struct {
	domains, sizes, wanted []int
	hostFailure            float64 // probability in a step
	domainFailure          float64
	repairSteps            int // longest time until a host returns
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

// result counts accelerator-steps and group-steps.
type result struct {
	stranded, down, served, optimum int
}

func (r *result) add(other result) {
	r.stranded += other.stranded
	r.down += other.down
	r.served += other.served
	r.optimum += other.optimum
}

// simulate runs failures, returns and changes of plans. The events depend on
// the seed only, not on what the policy does.
func (f fleet) simulate(policy *placement.Policy, seed uint64, steps int, load time.Duration, optimum bool) result {
	rng := rand.New(rand.NewPCG(seed, 1))
	w := newWorld(f.domains, 1, f.sizes, append([]int{}, f.wanted...), []int{999, 999, 999, 999}[:len(f.sizes)])
	returns, loaded := map[string]int{}, map[string]time.Time{}
	var total result
	for step := range steps {
		now := start.Add(time.Duration(step) * simulationStep)
		f.events(w, rng, now, step, returns)
		actions := policy.Plan(now, w.input())
		w.apply(now, actions)
		for _, action := range actions {
			switch a := action.(type) {
			case placement.Form:
				loaded[a.GroupID] = now.Add(load)
			case placement.Replace:
				loaded[a.Group.ID] = now.Add(load)
			}
		}
		total.add(w.count(now, loaded))
		if optimum {
			total.optimum += f.optimum(w)
		}
	}
	return total
}

func (f fleet) events(w *world, rng *rand.Rand, now time.Time, step int, returns map[string]int) {
	host, domain, back := rng.IntN(len(w.endpoints)), rng.IntN(len(f.domains)), step+1+rng.IntN(f.repairSteps)
	hostFails, domainFails := rng.Float64() < f.hostFailure, rng.Float64() < f.domainFailure
	plan, delta := rng.IntN(len(w.plans)), rng.IntN(2)
	if step%200 == 199 {
		w.plans[plan].Groups = f.wanted[plan] - delta
	}
	for i, endpoint := range w.endpoints {
		failed := hostFails && i == host || domainFails && endpoint.FabricDomain == fmt.Sprintf("d%d", domain)
		seen := w.seen[endpoint.ID]
		switch {
		case failed && seen.Live:
			seen.Live, seen.LostAt = false, now
			returns[endpoint.ID] = back
		case !seen.Live && returns[endpoint.ID] <= step:
			seen.Live = true
		}
		w.seen[endpoint.ID] = seen
	}
}

func (w *world) count(now time.Time, loaded map[string]time.Time) result {
	var r result
	for _, plan := range w.plans {
		r.down += plan.Groups
	}
	for _, group := range w.groups {
		serving := !now.Before(loaded[group.ID])
		for _, id := range group.EndpointIDs {
			serving = serving && w.seen[id].Live
		}
		w.serving[group.ID] = serving
		if serving {
			r.served += len(group.EndpointIDs)
			r.down--
		}
	}
	r.stranded = placement.Stranded(now, w.input())
	return r
}

// optimum returns the most accelerators that whole groups could use on the
// live hosts, by exhaustive search.
func (f fleet) optimum(w *world) int {
	live := make([]int, len(f.domains))
	for _, endpoint := range w.endpoints {
		if w.seen[endpoint.ID].Live {
			live[endpoint.FabricDomain[1]-'0']++
		}
	}
	missing := make([]int, len(w.plans))
	for i, plan := range w.plans {
		missing[i] = plan.Groups
	}
	return f.search(live, missing, 0)
}

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

func immediate() []placement.Option {
	return []placement.Option{placement.WithQuarantine(0), placement.WithReplaceAfter(0)}
}

// Guards against the policy leaving more accelerators unused, or groups down
// for longer, than first fit, and against falling behind the optimum.
func TestStrandedAccelerators(t *testing.T) {
	var robust, first, small result
	for seed := range uint64(2) {
		robust.add(largeFleet.simulate(placement.New(), seed, 1500, loadTime, false))
		first.add(largeFleet.simulate(placement.FirstFit(), seed, 1500, loadTime, false))
		small.add(smallFleet.simulate(placement.New(immediate()...), seed, 1500, 0, true))
	}
	t.Logf("large: policy %+v, first fit %+v; small: %+v", robust, first, small)
	assert.Assert(t, ratio(robust.stranded, first.stranded) <= 0.6)
	assert.Assert(t, ratio(robust.down, first.down) <= 0.8)
	assert.Assert(t, ratio(small.served, small.optimum) >= 0.95)
}

func ratio(a, b int) float64 { return float64(a) / float64(max(1, b)) }

// BenchmarkStranded reports the measures of the policy and of first fit, over
// one seed for each iteration.
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
			robust.add(smallFleet.simulate(placement.New(immediate()...), seed, 2500, 0, true))
			first.add(smallFleet.simulate(placement.FirstFit(immediate()...), seed, 2500, 0, true))
		}
		b.ReportMetric(ratio(robust.served, robust.optimum), "served/optimum")
		b.ReportMetric(ratio(first.served, first.optimum), "first_fit_served/optimum")
	})
}
