package balance_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/balance"
)

var start = time.Unix(1_800_000_000, 0)

func candidates(capacity int) []balance.Candidate {
	return []balance.Candidate{
		{ID: "near", Capacity: capacity, Speed: 1, Local: true},
		{ID: "far", Capacity: capacity, Speed: 1},
	}
}

// A calm load stays in the data centre; a burst there overflows to others
// before the groups at home are full.
func TestBurstOverflowsToOtherDataCentres(t *testing.T) {
	tracker := balance.New()
	counts := make(map[string]int)
	for range 40 {
		id, ok := tracker.Pick(candidates(26))
		assert.Assert(t, ok)
		counts[id]++
		if counts["far"] == 0 {
			assert.Assert(t, counts["near"] <= 10, "the burst stays at home: %v", counts)
		}
	}
	assert.Assert(t, counts["near"] > counts["far"], "%v", counts)
}

// A fleet at its limit: no instance gets more than it can run at once, counted
// over all entry hosts.
func TestPlacesAreCountedOverAllHosts(t *testing.T) {
	tracker := balance.New()
	tracker.SetPeer("h2", map[string]int{"near": 2, "far": 1}, start)
	tracker.SetPeer("h3", map[string]int{"far": 1}, start)
	only := candidates(3)
	id, ok := tracker.Pick(only)
	assert.Assert(t, ok)
	_, ok = tracker.Pick(only)
	assert.Assert(t, ok)
	_, ok = tracker.Pick(only)
	assert.Assert(t, !ok)
	assert.Equal(t, tracker.InFlight("near"), 3)
	tracker.Release(id)
	_, ok = tracker.Pick(only)
	assert.Assert(t, ok)
}

// A host that died or left no longer holds places.
func TestUsesOfAbsentHostsExpire(t *testing.T) {
	tracker := balance.New()
	tracker.SetPeer("h2", map[string]int{"near": 3}, start)
	tracker.SetPeer("h3", nil, start.Add(time.Minute))
	assert.Equal(t, tracker.InFlight("near"), 0)
	tracker.SetPeer("h3", map[string]int{"near": 2}, start.Add(time.Minute))
	tracker.DropPeer("h3", start.Add(time.Minute))
	assert.Equal(t, tracker.InFlight("near"), 0)
}

// A slow group gets less than its share.
func TestSlowGroupGetsLess(t *testing.T) {
	tracker := balance.New()
	counts := make(map[string]int)
	for range 30 {
		id, ok := tracker.Pick([]balance.Candidate{
			{ID: "slow", Capacity: 26, Speed: 0.2, Local: true}, {ID: "sound", Capacity: 26, Speed: 1, Local: true},
		})
		assert.Assert(t, ok)
		counts[id]++
	}
	assert.Assert(t, counts["slow"] <= 6, "%v", counts)
}

// Requests that wait for a place are woken when one becomes free.
func TestReleaseWakesWaiting(t *testing.T) {
	tracker := balance.New()
	id, _ := tracker.Pick(candidates(1))
	changed := tracker.Changed()
	tracker.Release(id)
	select {
	case <-changed:
	default:
		t.Fatal("not woken")
	}
}
