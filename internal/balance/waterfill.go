package balance

import (
	"cmp"
	"math"
	"slices"
)

// remotePenalty is added to the load of instances in other data centres, as a
// fraction of the capacity: a request leaves its data centre only for an instance
// that is clearly less loaded.
const remotePenalty = 0.2

// jitter is the largest random addition to a load, as a fraction of the capacity.
// It keeps hosts that see the same loads from selecting the same instance.
const jitter = 0.06

// candidateLoad is a candidate with its load as a fraction of its capacity.
type candidateLoad struct {
	id       string
	capacity float64 // limit of requests in flight, scaled by the speed
	load     float64
}

// loadOf returns the load of a candidate with the given requests in flight,
// including remotePenalty if it is in another data centre.
func loadOf(candidate Candidate, used int) candidateLoad {
	speed := candidate.Speed
	if speed <= 0 {
		speed = 1
	}
	capacity := float64(candidate.Capacity) * speed
	load := float64(used) / capacity
	if !candidate.Local {
		load += remotePenalty
	}
	return candidateLoad{id: candidate.ID, capacity: capacity, load: load}
}

// leastLoaded returns the candidate with the least load after one more request.
func leastLoaded(candidates []candidateLoad, random func() float64) string {
	best, bestLoad := 0, math.Inf(1)
	for i, candidate := range candidates {
		load := candidate.load + 1/candidate.capacity + jitter*random()
		if load < bestLoad {
			best, bestLoad = i, load
		}
	}
	return candidates[best].id
}

// waterFill distributes the requests so that they level the loads, and returns
// the candidate that receives a random one of them.
func waterFill(candidates []candidateLoad, requests float64, random func() float64) string {
	slices.SortFunc(candidates, func(a, b candidateLoad) int { return cmp.Compare(a.load, b.load) })
	level, reached := waterLevel(candidates, requests)
	remaining := random() * requests
	for _, candidate := range candidates[:reached] {
		if remaining -= (level - candidate.load) * candidate.capacity; remaining < 0 {
			return candidate.id
		}
	}
	return candidates[0].id
}

// waterLevel returns the load after the requests are distributed, and how many of
// the sorted candidates receive some of them.
func waterLevel(candidates []candidateLoad, requests float64) (level float64, reached int) {
	capacity, filled := 0.0, 0.0
	for i, candidate := range candidates {
		capacity += candidate.capacity
		filled += candidate.load * candidate.capacity
		level = (requests + filled) / capacity
		if i+1 < len(candidates) && level <= candidates[i+1].load {
			return level, i + 1
		}
	}
	return level, len(candidates)
}
