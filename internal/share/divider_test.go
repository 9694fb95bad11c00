package share_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/share"
)

func hostIDs(count int) []string {
	all := make([]string, count)
	for i := range all {
		all[i] = fmt.Sprint("host-", i)
	}
	return all
}

// Guards against parts that add up to more or less than the limit.
func TestPartsAddUp(t *testing.T) {
	for _, hosts := range []int{1, 7, 62, 390} {
		for _, total := range []int{0, 1, 23, 30, 1000} {
			sum := 0
			for _, id := range hostIDs(hosts) {
				divider := share.NewDivider(id)
				divider.SetHosts(hostIDs(hosts))
				sum += divider.Share("i-1", total)
			}
			assert.Equal(t, sum, total, "%d hosts", hosts)
		}
	}
}

// Guards against changing the parts of many keys when a host joins or leaves.
func TestFewPartsChangeWhenAHostLeaves(t *testing.T) {
	const keys, total = 200, 30
	divider := share.NewDivider("host-0")
	divider.SetHosts(hostIDs(62))
	before := make([]int, keys)
	for i := range before {
		before[i] = divider.Share(fmt.Sprint("i-", i), total)
	}
	divider.SetHosts(hostIDs(61))
	moved := 0
	for i := range before {
		if divider.Share(fmt.Sprint("i-", i), total) != before[i] {
			moved++
		}
	}
	assert.Assert(t, moved < keys/20, "%d parts changed", moved)
}

// Guards against a host that uses the whole limit before it knows the other
// hosts.
func TestNoPartUntilTheHostsAreKnown(t *testing.T) {
	divider := share.NewDivider("host-0")
	assert.Assert(t, !divider.Known())
	assert.Equal(t, divider.Share("i-1", 10), 0)
	divider.SetHosts(nil)
	assert.Equal(t, divider.Share("i-1", 10), 10)
}

// Guards against a stranded host that uses its part of a limit while the others use it.
func TestIdleHostHasNoPart(t *testing.T) {
	divider := share.NewDivider("host-0")
	divider.SetHosts(hostIDs(3))
	divider.SetIdle(true)
	assert.Equal(t, divider.Share("i", 30), 0)
	assert.Equal(t, divider.RateShare("i", 30), 0.0)
	divider.SetIdle(false)
	assert.Equal(t, divider.Share("i", 30), 10)
}
