package uptime_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/uptime"
)

// The time must carry no reading of the monotonic clock, by which Go would
// otherwise compute differences, and must pass like any other.
func TestTimePassesWithoutTheMonotonicClock(t *testing.T) {
	before, begun := uptime.Now(), time.Now()
	assert.Assert(t, !strings.Contains(before.String(), "m="), "the time has a reading of the monotonic clock")
	time.Sleep(20 * time.Millisecond)
	passed, want := uptime.Now().Sub(before), time.Since(begun)
	assert.Assert(t, passed >= 20*time.Millisecond && (passed-want).Abs() < 10*time.Millisecond, "%s", passed)
	assert.Assert(t, time.Until(before).Abs() < time.Minute)
}
