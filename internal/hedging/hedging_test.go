package hedging_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/hedging"
)

var (
	start = time.Unix(1_800_000_000, 0)
	key   = hedging.Key{Route: "chat", Model: "m"}
)

// add records the time `count` times.
func add(delays *hedging.Delays, took time.Duration, count int, now time.Time) {
	for range count {
		delays.Add(key, took, now)
	}
}

// assertAbout checks a time within the precision of the histogram.
func assertAbout(t *testing.T, got, want time.Duration) {
	t.Helper()
	assert.Assert(t, math.Abs(float64(got-want)) <= 0.01*float64(want)+float64(time.Millisecond), "%v, not %v", got, want)
}

// Guards against hedging every request when a few groups are slow (the delay must lie
// above the usual time), and against a delay of the slow groups' time, which helps none.
func TestFewSlowGroupsHedgeOnlyTheSlowest(t *testing.T) {
	delays := hedging.NewDelays()
	add(delays, 150*time.Millisecond, 96, start)
	add(delays, 1800*time.Millisecond, 4, start)
	delay, ok := delays.Delay(key, start)
	assert.Assert(t, ok)
	assertAbout(t, delay, 150*time.Millisecond)
}

// Guards against a percentile that falls with each hedge that wins, until most requests
// are hedged: the time until a first attempt was cancelled counts too.
func TestCancelledFirstAttemptsKeepThePercentile(t *testing.T) {
	delays := hedging.NewDelays()
	now := start
	for range 30 {
		for i := range 10 {
			add(delays, time.Duration(100+10*i)*time.Millisecond, 1, now)
		}
		// Of ten requests, one is slow and is cancelled soon after its hedge began.
		if delay, ok := delays.Delay(key, now); ok {
			add(delays, delay+20*time.Millisecond, 1, now)
		}
		now = now.Add(time.Second)
	}
	delay, ok := delays.Delay(key, now)
	assert.Assert(t, ok)
	assert.Assert(t, delay >= 190*time.Millisecond, "fell to %v", delay)
}

// Guards against hedging by a percentile of a few or of old samples, and by that of
// requests of another kind.
func TestWithoutRecentSamplesThereIsNoHedge(t *testing.T) {
	delays := hedging.NewDelays()
	add(delays, 100*time.Millisecond, 19, start)
	_, ok := delays.Delay(key, start)
	assert.Assert(t, !ok, "19 samples")
	add(delays, 100*time.Millisecond, 1, start)
	_, ok = delays.Delay(key, start.Add(time.Second))
	assert.Assert(t, ok)
	_, ok = delays.Delay(hedging.Key{Route: "chat", Model: "m", Size: hedging.SizeClassOf(5000)}, start)
	assert.Assert(t, !ok, "long prompts")
	_, ok = delays.Delay(key, start.Add(21*time.Second))
	assert.Assert(t, !ok, "old samples")
}

// Guards against hedges that load a full fleet further: none start beyond nine tenths of
// the slots, while a first attempt waits, or without a free slot at another group.
func TestFullFleetHedgesNothing(t *testing.T) {
	room := hedging.Load{Slots: 100, InUse: 89, OtherGroupHasOne: true}
	assert.Assert(t, room.HasRoom())
	for name, load := range map[string]hedging.Load{
		"nine tenths in use":       {Slots: 100, InUse: 90, OtherGroupHasOne: true},
		"more requests than slots": {Slots: 100, InUse: 140, OtherGroupHasOne: true},
		"a first attempt waits":    {Slots: 100, InUse: 50, OtherGroupHasOne: true, RequestWaits: true},
		"no slot elsewhere":        {Slots: 100, InUse: 50},
		"no groups":                {OtherGroupHasOne: true},
	} {
		assert.Assert(t, !load.HasRoom(), name)
	}
}

// Guards against a budget that a burst exceeds: whenever a hedge starts, those of the
// window are within the share of its requests, and so are all hedges of all requests,
// however many are late at once.
func TestBudgetHoldsInABurst(t *testing.T) {
	const limit, engineSeconds = 0.05, 0.25
	budget := hedging.NewBudget(limit)
	requests, hedges := make([]float64, 60), make([]float64, 60) // by second
	for second := range requests {
		now := start.Add(time.Duration(second) * time.Second)
		rate := 10
		if second%20 < 4 {
			rate = 60
		}
		for i := range 3 * rate {
			if i%3 == 0 {
				budget.CountRequest(engineSeconds, now)
				requests[second] += engineSeconds
			}
			if !budget.Charge(engineSeconds, now) {
				continue
			}
			hedges[second] += engineSeconds
			from := max(0, second-9)
			assert.Assert(t, sum(hedges[from:second+1]) <= limit*sum(requests[from:second+1])+1e-9, "second %d", second)
			assert.Assert(t, sum(hedges) <= limit*sum(requests)+1e-9, "second %d", second)
		}
	}
	assert.Assert(t, sum(hedges) >= 0.8*limit*sum(requests), "the limit is hardly used: %v", sum(hedges))
	assert.Assert(t, !budget.Available(engineSeconds, start.Add(time.Hour)), "requests of the past")
}

func sum(amounts []float64) float64 {
	total := 0.0
	for _, amount := range amounts {
		total += amount
	}
	return total
}

// Guards against hedges although operators allow none, and against free hedges of
// requests whose engine time is not known.
func TestLimitOfZeroAllowsNoHedge(t *testing.T) {
	none, some := hedging.NewBudget(0), hedging.NewBudget(hedging.MaxLimit)
	for range 1000 {
		none.CountRequest(1, start)
		some.CountRequest(1, start)
	}
	assert.Assert(t, !none.Charge(0.001, start))
	assert.Assert(t, !some.Charge(0, start), "unknown engine time")
	assert.Assert(t, some.Charge(1, start))
}

// Guards against a limit that operators mistype.
func TestHedgeLimitIsChecked(t *testing.T) {
	for _, limit := range []float64{0, 0.02, hedging.MaxLimit} {
		assert.NilError(t, hedging.CheckLimit(limit))
	}
	for _, limit := range []float64{-0.01, 0.21, 2, math.NaN(), math.Inf(1)} {
		assert.Assert(t, hedging.CheckLimit(limit) != nil, limit)
	}
}
