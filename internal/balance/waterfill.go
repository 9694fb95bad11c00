package balance

import (
	"cmp"
	"math"
	"slices"
)

// remoteCost makes a request cross to another data centre only for a clearly
// freer instance, in parts of an instance's capacity.
const remoteCost = 0.2

// jitter spreads hosts that see the same loads.
const jitter = 0.06

// loaded is a candidate with its load, in parts of what it can take.
type loaded struct {
	id       string
	capacity float64 // requests at once, less for a slow one
	load     float64
}

func loadOf(candidate Candidate, used int) loaded {
	speed := candidate.Speed
	if speed <= 0 {
		speed = 1
	}
	capacity := float64(candidate.Capacity) * speed
	load := float64(used) / capacity
	if !candidate.Local {
		load += remoteCost
	}
	return loaded{id: candidate.ID, capacity: capacity, load: load}
}

// leastLoaded returns the candidate with the least load after one more request.
func leastLoaded(candidates []loaded, random func() float64) string {
	best, bestLoad := 0, math.Inf(1)
	for i, each := range candidates {
		// Hosts that see the same loads do not all choose the same.
		load := each.load + 1/each.capacity + jitter*random()
		if load < bestLoad {
			best, bestLoad = i, load
		}
	}
	return candidates[best].id
}

// waterFill levels the loads with so many requests and draws the candidate that
// one of them goes to.
func waterFill(candidates []loaded, requests float64, random func() float64) string {
	slices.SortFunc(candidates, func(a, b loaded) int { return cmp.Compare(a.load, b.load) })
	level, reached := waterLevel(candidates, requests)
	at := random() * requests
	for _, each := range candidates[:reached] {
		if at -= (level - each.load) * each.capacity; at < 0 {
			return each.id
		}
	}
	return candidates[0].id
}

// waterLevel returns the load that so many requests reach, and how many of the
// sorted candidates they reach.
func waterLevel(candidates []loaded, requests float64) (level float64, reached int) {
	capacity, filled := 0.0, 0.0
	for i, each := range candidates {
		capacity += each.capacity
		filled += each.load * each.capacity
		level = (requests + filled) / capacity
		if i+1 < len(candidates) && level <= candidates[i+1].load {
			return level, i + 1
		}
	}
	return level, len(candidates)
}
