package balance_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/balance"
)

// A later statement must not shorten a hold, and another process of the instance
// must neither be held for it nor end it.
func TestHoldLastsForItsProcess(t *testing.T) {
	started := time.Unix(1_800_000_000, 0)
	now := started.Add(time.Minute)
	holds := balance.NewHolds()
	assert.Assert(t, !holds.Any(now))
	assert.Assert(t, holds.Extend("i-1", started, now.Add(2*time.Second), now))
	assert.Assert(t, !holds.Extend("i-1", started, now.Add(time.Second), now), "shorter")
	until, held := holds.Until("i-1", started, now)
	assert.Assert(t, held && until.Equal(now.Add(2*time.Second)))
	_, held = holds.Until("i-1", started.Add(time.Second), now)
	assert.Assert(t, !held, "restarted")
	_, held = holds.Until("i-1", started, until)
	assert.Assert(t, !held, "at its end")
	restarted := started.Add(time.Second)
	assert.Assert(t, holds.Extend("i-1", restarted, now.Add(time.Second), now))
	assert.Assert(t, !holds.Extend("i-1", started, now.Add(time.Hour), now), "a late answer of the earlier process")
	_, held = holds.Until("i-1", restarted, now)
	assert.Assert(t, held && holds.Any(now) && !holds.Any(now.Add(time.Second)))
}

// Probes count as requests: a held process is probed once, however often its hold
// is extended.
func TestHeldProcessIsProbedOnce(t *testing.T) {
	started, now := time.Unix(1_800_000_000, 0), time.Unix(1_800_000_060, 0)
	holds := balance.NewHolds()
	for range 2 {
		assert.Assert(t, holds.MayProbe("i-1", started, now), "not held")
	}
	holds.Extend("i-1", started, now.Add(time.Second), now)
	assert.Assert(t, holds.MayProbe("i-1", started, now))
	holds.Extend("i-1", started, now.Add(2*time.Second), now)
	assert.Assert(t, !holds.MayProbe("i-1", started, now))
	assert.Assert(t, holds.MayProbe("i-1", started.Add(time.Second), now), "restarted")
	assert.Assert(t, holds.MayProbe("i-1", started, now.Add(2*time.Second)), "at its end")
}

// Holds that have ended must not stay in memory.
func TestEndedHoldsAreDropped(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	holds := balance.NewHolds()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range 100_000 {
		at := now.Add(time.Duration(i) * time.Second)
		holds.Extend(fmt.Sprint("i-", i), now, at.Add(time.Millisecond), at)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	assert.Assert(t, int64(after.HeapAlloc)-int64(before.HeapAlloc) < 1<<20)
	assert.Assert(t, holds.Any(now.Add(99_999*time.Second)))
}
