package balance

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
)

// remoteCost makes a request cross to another data centre only for a clearly
// freer instance, in parts of an instance's capacity.
const remoteCost = 0.2

// jitter spreads hosts that see the same loads.
const jitter = 0.06

// vessel is a candidate with its load, in parts of what it can take.
type vessel struct {
	id    string
	width float64 // requests that raise the load by one
	load  float64
}

func vesselOf(candidate Candidate, used int) vessel {
	speed := candidate.Speed
	if speed <= 0 {
		speed = 1
	}
	width := float64(candidate.Capacity) * speed
	load := float64(used) / width
	if !candidate.Local {
		load += remoteCost
	}
	return vessel{id: candidate.ID, width: width, load: load}
}

// freest returns the candidate with the least load after one more request.
func freest(vessels []vessel) string {
	best, bestLoad := 0, math.Inf(1)
	for i, each := range vessels {
		// Hosts that see the same loads do not all choose the same.
		load := each.load + 1/each.width + jitter*rand.Float64() //nolint:gosec // spreading only
		if load < bestLoad {
			best, bestLoad = i, load
		}
	}
	return vessels[best].id
}

// pour levels the loads with so many requests and draws the candidate that one
// of them goes to.
func pour(vessels []vessel, requests float64) string {
	slices.SortFunc(vessels, func(a, b vessel) int { return cmp.Compare(a.load, b.load) })
	level, reached := levelOf(vessels, requests)
	at := rand.Float64() * requests //nolint:gosec // spreading only
	for _, each := range vessels[:reached] {
		if at -= (level - each.load) * each.width; at < 0 {
			return each.id
		}
	}
	return vessels[0].id
}

// levelOf returns the load that so many requests reach, and how many of the
// sorted vessels they reach.
func levelOf(vessels []vessel, requests float64) (level float64, reached int) {
	width, filled := 0.0, 0.0
	for i, each := range vessels {
		width += each.width
		filled += each.load * each.width
		level = (requests + filled) / width
		if i+1 < len(vessels) && level <= vessels[i+1].load {
			return level, i + 1
		}
	}
	return level, len(vessels)
}
