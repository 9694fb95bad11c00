package admission_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/admission"
)

// Guards against retries that two holders of the same part of the burst make within one
// window: a part that grows, also from none, holds only after the window.
func TestALargerPartOfTheBurstHoldsAfterTheWindow(t *testing.T) {
	type set struct {
		at      time.Duration
		retries int
	}
	start := time.Unix(1_800_000_000, 0)
	for name, each := range map[string]struct {
		sets []set
		want map[time.Duration]int
	}{
		"none":            {nil, map[time.Duration]int{0: 0}},
		"the first":       {[]set{{0, 48}}, map[time.Duration]int{0: 48}},
		"a smaller one":   {[]set{{0, 48}, {time.Second, 24}}, map[time.Duration]int{time.Second: 24}},
		"a start":         {[]set{{0, 0}, {time.Second, 24}, {2 * time.Second, 16}}, map[time.Duration]int{10 * time.Second: 0, 11 * time.Second: 16}},
		"the same again":  {[]set{{0, 0}, {time.Second, 16}, {9 * time.Second, 16}}, map[time.Duration]int{11 * time.Second: 16}},
		"hosts that left": {[]set{{0, 16}, {time.Second, 24}, {5 * time.Second, 48}}, map[time.Duration]int{10 * time.Second: 16, 11 * time.Second: 24, 15 * time.Second: 48}},
		"one that left for a moment": {
			[]set{{0, 16}, {time.Second, 24}, {2 * time.Second, 16}}, map[time.Duration]int{time.Second: 16, 30 * time.Second: 16},
		},
	} {
		t.Run(name, func(t *testing.T) {
			for at, want := range each.want {
				var burst admission.Burst
				for _, s := range each.sets {
					burst.SetPart(s.retries, start.Add(s.at))
				}
				assert.Equal(t, burst.Part(start.Add(at)), want, "after %s", at)
			}
		})
	}
}
