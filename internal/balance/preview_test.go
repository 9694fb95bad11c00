package balance_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/balance"
)

// Guards against a preview that reserves a slot, that says of a candidate which Pick returns
// that it cannot be picked, or whose likeliest candidate is not the most frequent one.
func TestPreviewAgreesWithPick(t *testing.T) {
	now := time.Now()
	for name, unreported := range map[string]float64{"least loaded": 0, "levelled": 6} {
		t.Run(name, func(t *testing.T) {
			tracker := balance.New()
			candidates := []balance.Candidate{
				{ID: "a", Capacity: 20, OwnLimit: 20, Local: true},
				{ID: "b", Capacity: 20, OwnLimit: 20, Local: true},
				{ID: "c", Capacity: 20, OwnLimit: 20, Local: true},
				{ID: "d", Capacity: 20, OwnLimit: 0, Local: true},
				{ID: "e", Capacity: 20, OwnLimit: 20, Local: true},
			}
			tracker.SetPeerInFlight("h", map[string]int{"a": 4, "c": 14, "e": 20}, now)
			prospects, likeliest := tracker.Preview(candidates, unreported, now)
			assert.Equal(t, len(tracker.OwnInFlight()), 0)
			assert.Equal(t, prospects[3].Room, balance.RoomAtOwnLimit)
			assert.Equal(t, prospects[4].Room, balance.RoomAtCapacity)
			picked := make(map[string]int)
			for range 200 {
				id, ok := tracker.Pick(candidates, unreported, now)
				assert.Assert(t, ok)
				tracker.Release(id)
				picked[id]++
			}
			for i, candidate := range candidates {
				assert.Assert(t, picked[candidate.ID] == 0 || prospects[i].MayPick, candidate.ID)
				assert.Assert(t, picked[candidate.ID] <= picked[candidates[likeliest].ID], candidate.ID)
			}
		})
	}
}
