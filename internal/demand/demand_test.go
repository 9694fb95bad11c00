package demand_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/demand"
)

const (
	hostCount = 20
	round     = 200 * time.Millisecond
	self      = uint32(0)
)

var (
	start = time.Unix(1_800_000_000, 0)
	key   = demand.Key{Service: "llm", Model: "m"}
	own   = demand.Rates{key: 1}
)

// hosts returns the hashes of the hosts from first to the one before end.
func hosts(first, end uint32) []uint32 {
	hashes := make([]uint32, 0, end-first)
	for hash := first; hash < end; hash++ {
		hashes = append(hashes, hash)
	}
	return hashes
}

// newTracker returns a tracker that has had the summary of a relay with all hosts, each
// with a demand of one engine second per second.
func newTracker(t *testing.T) *demand.Tracker {
	t.Helper()
	tracker := demand.NewTracker(self)
	tracker.Report("relay", demand.Rates{key: hostCount - 1}, hosts(0, hostCount), start)
	checkTotal(t, tracker.Total(own, hosts(0, hostCount), start), hostCount, 1)
	return tracker
}

func checkTotal(t *testing.T, total demand.Total, rate, coverage float64) {
	t.Helper()
	assert.Assert(t, math.Abs(total.Rates[key]-rate) < 1e-9, "total %v, want %v", total.Rates[key], rate)
	assert.Assert(t, math.Abs(total.Coverage-coverage) < 1e-9, "coverage %v, want %v", total.Coverage, coverage)
}

// Guards against a plan for a fraction of the demand after a change of the relay, while
// the new one has the reports of a few hosts.
func TestTotalIsHeldAfterAChangeOfTheRelay(t *testing.T) {
	tracker := newTracker(t)
	now := start.Add(round)
	tracker.Forget("relay")
	tracker.Report("other relay", demand.Rates{key: 4}, hosts(1, 5), now)
	total := tracker.Total(own, hosts(0, hostCount), now)
	checkTotal(t, total, hostCount, 0.25)
	assert.Assert(t, total.Held)
	tracker.Report("other relay", demand.Rates{key: hostCount}, hosts(0, hostCount), now)
	total = tracker.Total(own, hosts(0, hostCount), now)
	checkTotal(t, total, hostCount+1, 1)
	assert.Assert(t, !total.Held)
}

// Guards against a total that is held longer than 3 s, and against the sum of a few
// hosts taken for that of all after that.
func TestSumIsScaledOnceTheHeldTotalExpires(t *testing.T) {
	tracker := newTracker(t)
	tracker.Forget("relay")
	for now := start.Add(round); now.Before(start.Add(4 * time.Second)); now = now.Add(round) {
		tracker.Report("other relay", demand.Rates{key: 4}, hosts(1, 5), now)
		total := tracker.Total(own, hosts(0, hostCount), now)
		assert.Equal(t, total.Held, now.Before(start.Add(3*time.Second)), "after %v", now.Sub(start))
		checkTotal(t, total, hostCount, 0.25)
	}
}

// Guards against demand of hosts that are gone that is held after they are no longer
// known: callers of such hosts come back at the others and count there.
func TestTotalFollowsHalfOfTheHostsGone(t *testing.T) {
	tracker := newTracker(t)
	now := start.Add(time.Second)
	tracker.Report("relay", demand.Rates{key: hostCount/2 - 1}, hosts(0, hostCount/2), now)
	checkTotal(t, tracker.Total(own, hosts(0, hostCount), now), hostCount, 0.5)
	checkTotal(t, tracker.Total(own, hosts(0, hostCount/2), start.Add(3*time.Second)), hostCount/2, 1)
}

// Guards against the sum of a few hosts that counts as full at a host that has lost its
// relay, because it no longer hears of the others.
func TestTotalIsHeldForHostsThatWereKnown(t *testing.T) {
	tracker := newTracker(t)
	tracker.Forget("relay")
	total := tracker.Total(own, hosts(0, 2), start.Add(2*time.Second))
	checkTotal(t, total, hostCount, 1.0/hostCount)
	assert.Assert(t, total.Held)
}

// Guards against hosts that count twice while a former and a new relay both report
// them.
func TestTotalIsHeldWhileSummariesOverlap(t *testing.T) {
	tracker := newTracker(t)
	now := start.Add(round)
	tracker.Report("other relay", demand.Rates{key: hostCount / 2}, hosts(hostCount/2, hostCount), now)
	total := tracker.Total(own, hosts(0, hostCount), now)
	checkTotal(t, total, hostCount, 1)
	assert.Assert(t, total.Held)
}

// Guards against a deployment without relays, or with hosts of an older build, whose
// messages stand for one host each, that has no full coverage; and against senders
// without a newer message that count for good.
func TestSingleReportsStandForOneHostEach(t *testing.T) {
	tracker := demand.NewTracker(self)
	assert.Assert(t, !tracker.Any())
	for i, sender := range []string{"a", "b", "c"} {
		tracker.Report(sender, demand.Rates{key: 2}, hosts(uint32(i+1), uint32(i+2)), start)
	}
	assert.Assert(t, tracker.Any())
	total := tracker.Total(own, hosts(0, 4), start)
	checkTotal(t, total, 7, 1)
	assert.Assert(t, !total.Held)
	checkTotal(t, tracker.Total(own, hosts(0, 1), start.Add(3*time.Second+round)), 1, 1)
}

// Guards against a total that a few hosts' callers multiply without bound at a host that
// never had full coverage.
func TestScaleIsBounded(t *testing.T) {
	tracker := demand.NewTracker(self)
	checkTotal(t, tracker.Total(own, hosts(0, 400), start), 10, 1.0/400)
}

func BenchmarkTotal(b *testing.B) {
	const largest = 390
	tracker := demand.NewTracker(self)
	tracker.Report("relay", demand.Rates{key: 1}, hosts(0, largest), start)
	known := hosts(0, largest)
	for b.Loop() {
		tracker.Total(own, known, start)
	}
}
