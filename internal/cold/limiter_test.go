package cold_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/cold"
	"flamingodoor.example/flamingodoor/internal/share"
)

var start = time.Unix(1_800_000_000, 0)

func coldInstance(id string) flamingodoor.Instance {
	return flamingodoor.Instance{ID: id, ColdUntil: start.Add(time.Minute)}
}

// limiters returns the limiters of `count` hosts that know each other.
func limiters(count int) []*cold.Limiter {
	ids := make([]string, 0, count)
	for i := range count {
		ids = append(ids, fmt.Sprintf("host-%d", i))
	}
	all := make([]*cold.Limiter, 0, count)
	for _, id := range ids {
		divider := share.NewDivider(id)
		divider.SetHosts(ids)
		all = append(all, cold.NewLimiter(divider))
	}
	return all
}

// Guards against exceeding the rate of a cold instance when there are more hosts
// than requests per second: with a minimum of one request for each host, 62 hosts
// sent 48 requests to an instance with a rate of 23.
func TestAllHostsTogetherKeepTheRate(t *testing.T) {
	for _, hosts := range []int{1, 6, 7, 23, 62, 75, 390} {
		for _, rate := range []float64{0.5, 1, 12, 23} {
			all := limiters(hosts)
			sent := 0
			for range 30 {
				for _, limiter := range all {
					if limiter.Reserve(coldInstance("i-1"), rate, start) {
						sent++
					}
				}
			}
			assert.Equal(t, sent, max(1, int(rate)), "%d hosts, %g requests per second", hosts, rate)
		}
	}
}

// Guards against the same hosts sending the requests to all cold instances.
func TestColdInstancesAreSpreadOverHosts(t *testing.T) {
	const hosts, instances, rate = 62, 60, 23
	shares := make([]int, hosts)
	for i := range instances {
		for host, limiter := range limiters(hosts) {
			if limiter.Reserve(coldInstance(fmt.Sprintf("i-%d", i)), rate, start) {
				shares[host]++
			}
		}
	}
	for host, share := range shares {
		assert.Assert(t, share >= rate*instances/hosts/3, "host %d sends %d requests", host, share)
	}
}

// Guards against exceeding the rate within a second, and against refusing
// requests after the second has passed.
func TestRateIsAllowedAgainAfterASecond(t *testing.T) {
	limiter := limiters(1)[0]
	instance := coldInstance("i-1")
	for range 3 {
		assert.Assert(t, limiter.HasRoom(instance, 3, start))
		assert.Assert(t, limiter.Reserve(instance, 3, start))
	}
	assert.Assert(t, !limiter.HasRoom(instance, 3, start.Add(999*time.Millisecond)))
	assert.Assert(t, !limiter.Reserve(instance, 3, start.Add(999*time.Millisecond)))
	assert.Assert(t, limiter.Reserve(instance, 3, start.Add(time.Second)))
}

// Guards against each host using the whole rate of a cold instance: when all
// hosts restart at once, each one knows no others and takes itself for the only
// one.
func TestHostThatKnowsNoOthersSendsNothing(t *testing.T) {
	divider := share.NewDivider("host-1")
	limiter := cold.NewLimiter(divider)
	assert.Assert(t, !limiter.HasRoom(coldInstance("i-1"), 23, start))
	assert.Assert(t, !limiter.Reserve(coldInstance("i-1"), 23, start))
	divider.SetHosts([]string{"host-1"})
	assert.Assert(t, limiter.Reserve(coldInstance("i-1"), 23, start))
}

// Guards against limiting instances that are no longer cold, and instances of
// services without a rate.
func TestWarmInstancesAndServicesWithoutARateHaveNoLimit(t *testing.T) {
	limiter := limiters(1)[0]
	for range 100 {
		assert.Assert(t, limiter.Reserve(coldInstance("i-1"), 0, start))
		assert.Assert(t, limiter.Reserve(coldInstance("i-2"), 1, start.Add(time.Minute)))
	}
}
