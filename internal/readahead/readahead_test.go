package readahead_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/readahead"
)

const memory = 16 << 20 // of which 1 MiB is held

// Guards against holding more than the bounds of a caller and of the process, and
// against ending a caller that reads steadily to make room.
func TestRoomIsBoundedAndTheSlowestCallerIsEnded(t *testing.T) {
	budget, start := readahead.New(memory), time.Unix(1_800_000_000, 0)
	var ended []int
	callers := make([]*readahead.Caller, 5)
	for i := range callers {
		callers[i] = readahead.NewCaller(func(string) { ended = append(ended, i) })
	}
	for i, caller := range callers[:4] {
		assert.Equal(t, budget.Hold(caller, 1<<20, start.Add(time.Duration(i)*time.Second)), int64(readahead.MaxCallerBytes))
	}
	assert.Equal(t, budget.HeldBytes(), int64(memory/16))
	now := start.Add(readahead.MaxStall + 2*time.Second)
	budget.Accepted(callers[0], 1, now) // the steady one
	assert.Equal(t, budget.Hold(callers[4], 1000, now), int64(1))
	assert.Equal(t, budget.Hold(callers[4], 1000, now), int64(0))
	assert.DeepEqual(t, ended, []int{1})
	budget.Drop(callers[1])
	assert.Equal(t, budget.Hold(callers[4], 1000, now), int64(1000))
	assert.Equal(t, budget.EndedCallers(), int64(1))
}

// Guards against ending a caller early while nothing waits for it, and against an
// instance that waits for longer than MaxStall.
func TestStalledCallerIsEnded(t *testing.T) {
	budget, start := readahead.New(memory), time.Unix(1_800_000_000, 0)
	var reasons []string
	caller := readahead.NewCaller(func(reason string) { reasons = append(reasons, reason) })
	budget.Hold(caller, 100, start)
	assert.Assert(t, !budget.EndIfStalled(caller, true, start.Add(readahead.MaxStall-1)))
	assert.Assert(t, !budget.EndIfStalled(caller, false, start.Add(readahead.MaxStall)))
	budget.Accepted(caller, 1, start.Add(readahead.MaxStall))
	assert.Assert(t, !budget.EndIfStalled(caller, true, start.Add(readahead.MaxStall+1)))
	assert.Assert(t, budget.EndIfStalled(caller, true, start.Add(2*readahead.MaxStall)))
	assert.Assert(t, !budget.EndIfStalled(caller, false, start.Add(readahead.MaxIdle*2)))
	assert.DeepEqual(t, reasons, []string{"stalled"})
}
