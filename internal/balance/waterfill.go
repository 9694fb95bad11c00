package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// remotePenalty is added to the load of instances in other data centres, as a
	// fraction of the capacity, where no times are declared: a request leaves its data
	// centre only for an instance that is clearly less loaded.
	remotePenalty = 0.2
	// remotePreference replaces remotePenalty where times are declared, beside the
	// measured round trip, because bytes between data centres are charged for. It is
	// between one and two requests at a group of 20 slots.
	remotePreference = 0.08
	// jitter is the largest random addition to a load, as a fraction of the capacity.
	// It keeps hosts that see the same loads from selecting the same instance.
	jitter = 0.06
	// queueingCost is what one capacity of requests beyond the slots adds to the time to
	// the first event, in multiples of that time at a group whose slots are all in use.
	// For 20 slots it was measured as 212 ms at 20 requests, 436 ms at 24 and 1 s at 34:
	// 5.3 and 5.3 times. It counts from the first request on, because reports do not yet
	// hold what other hosts have sent, and keeps hosts from preferring a group that is
	// a little faster until its slots are full.
	queueingCost = 5
)

// candidateLoad is a candidate with its load as a fraction of its capacity.
type candidateLoad struct {
	id       string
	capacity float64 // requests that raise the load by 1
	load     float64
	prompt   time.Duration // that the request adds to the prompts waiting there
}

// loadOf returns the load of a candidate with the given requests in flight of this host
// and of the others: their part of the capacity and, if times are declared, the predicted
// time to the first event in units of queueingCost. `ownPrompts` is the time to process
// the prompts of this host that wait there.
func loadOf(candidate Candidate, own, others int, ownPrompts time.Duration) candidateLoad {
	speed := speedOf(candidate)
	capacity := float64(candidate.Capacity) * speed
	load := float64(own+others) / capacity
	timing := candidate.Timing
	if timing == nil || timing.Full <= 0 {
		if !candidate.Local {
			load += remotePenalty
		}
		return candidateLoad{id: candidate.ID, capacity: capacity, load: load}
	}
	unit := queueingCost * float64(timing.Full)
	load += float64(timing.firstEvent(own, others, ownPrompts, speed)+candidate.RoundTrip) / unit
	if !candidate.Local {
		load += remotePreference
	}
	perRequest := 1/capacity + float64(timing.PerRequest+timing.OtherPrompt)/speed/unit
	return candidateLoad{id: candidate.ID, capacity: 1 / perRequest, load: load, prompt: time.Duration(float64(timing.Prompt) / speed)}
}

// speedOf returns the speed of a candidate relative to the nominal one.
func speedOf(candidate Candidate) float64 {
	if candidate.Speed <= 0 {
		return 1
	}
	return candidate.Speed
}

// leastLoaded returns the candidate with the least load after one more request.
func leastLoaded(candidates []candidateLoad, random func() float64) candidateLoad {
	best, bestLoad := 0, math.Inf(1)
	for i, candidate := range candidates {
		load := candidate.load + 1/candidate.capacity + jitter*random()
		if load < bestLoad {
			best, bestLoad = i, load
		}
	}
	return candidates[best]
}

// waterFill distributes the requests so that they level the loads, and returns
// the candidate that receives a random one of them.
func waterFill(candidates []candidateLoad, requests float64, random func() float64) candidateLoad {
	slices.SortFunc(candidates, func(a, b candidateLoad) int { return cmp.Compare(a.load, b.load) })
	level, reached := waterLevel(candidates, requests)
	remaining := random() * requests
	for _, candidate := range candidates[:reached] {
		if remaining -= (level - candidate.load) * candidate.capacity; remaining < 0 {
			return candidate
		}
	}
	return candidates[0]
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
