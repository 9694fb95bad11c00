package balance_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/balance"
	"flamingodoor.example/flamingodoor/internal/share"
)

var start = time.Unix(1_800_000_000, 0)

func candidates(capacity int) []balance.Candidate {
	return []balance.Candidate{
		{ID: "near", Capacity: capacity, OwnLimit: capacity, Speed: 1, Local: true},
		{ID: "far", Capacity: capacity, OwnLimit: capacity, Speed: 1},
	}
}

// A low load stays in the data centre. A burst overflows to other data centres
// before the local groups are full.
func TestBurstOverflowsToOtherDataCentres(t *testing.T) {
	tracker := balance.New()
	counts := make(map[string]int)
	for range 40 {
		id, ok := tracker.Pick(candidates(26), 0, start)
		assert.Assert(t, ok)
		counts[id]++
		if counts["far"] == 0 {
			assert.Assert(t, counts["near"] <= 10, "the burst stays in the data centre: %v", counts)
		}
	}
	assert.Assert(t, counts["near"] > counts["far"], "%v", counts)
}

// Guards against sending an instance more requests than its capacity, counted
// over all entry hosts.
func TestSlotsAreCountedOverAllHosts(t *testing.T) {
	tracker := balance.New()
	tracker.SetPeerInFlight("h2", map[string]int{"near": 2, "far": 1}, start)
	tracker.SetPeerInFlight("h3", map[string]int{"far": 1}, start)
	pair := candidates(3)
	id, ok := tracker.Pick(pair, 0, start)
	assert.Assert(t, ok)
	_, ok = tracker.Pick(pair, 0, start)
	assert.Assert(t, ok)
	_, ok = tracker.Pick(pair, 0, start)
	assert.Assert(t, !ok)
	assert.Equal(t, tracker.InFlight("near"), 3)
	tracker.Release(id)
	_, ok = tracker.Pick(pair, 0, start)
	assert.Assert(t, ok)
}

// Guards against counting the requests of a host that failed or stopped.
func TestRequestsOfAbsentHostsAreNotCounted(t *testing.T) {
	tracker := balance.New()
	tracker.SetPeerInFlight("h2", map[string]int{"near": 3}, start)
	tracker.SetPeerInFlight("h3", nil, start.Add(time.Minute))
	assert.Equal(t, tracker.InFlight("near"), 0)
	tracker.SetPeerInFlight("h3", map[string]int{"near": 2}, start.Add(time.Minute))
	tracker.DropPeer("h3", start.Add(time.Minute))
	assert.Equal(t, tracker.InFlight("near"), 0)
}

// A slow group gets fewer requests than a healthy one.
func TestSlowGroupGetsLess(t *testing.T) {
	tracker := balance.New()
	counts := make(map[string]int)
	for range 30 {
		id, ok := tracker.Pick([]balance.Candidate{
			{ID: "slow", Capacity: 26, OwnLimit: 26, Speed: 0.2, Local: true}, {ID: "healthy", Capacity: 26, OwnLimit: 26, Speed: 1, Local: true},
		}, 0, start)
		assert.Assert(t, ok)
		counts[id]++
	}
	assert.Assert(t, counts["slow"] <= 6, "%v", counts)
}

// Requests that wait for a slot are notified when one becomes free.
func TestReleaseWakesWaiting(t *testing.T) {
	tracker := balance.New()
	id, _ := tracker.Pick(candidates(1), 0, start)
	changed := tracker.Changed()
	tracker.Release(id)
	select {
	case <-changed:
	default:
		t.Fatal("Release did not close the channel of Changed")
	}
}

// Guards against overloading a new group. When it opens after a failure, requests
// wait at all 62 hosts, and each host sees the group empty until the others have
// reported. Without a limit for each host they sent it several times its
// capacity.
func TestHostsDivideTheSlotsOfANewGroup(t *testing.T) {
	const hosts, capacity = 62, 30
	ids := make([]string, hosts)
	for i := range ids {
		ids[i] = fmt.Sprint("host-", i)
	}
	taken := 0
	for _, id := range ids {
		divider := share.NewDivider(id)
		divider.SetHosts(ids)
		tracker := balance.New()
		candidate := balance.Candidate{ID: "new", Capacity: capacity, OwnLimit: divider.Share("new", capacity), Speed: 1}
		for range 5 {
			if _, ok := tracker.Pick([]balance.Candidate{candidate}, 0, start); ok {
				taken++
			}
		}
	}
	assert.Equal(t, taken, capacity)
}

// An instance that refused a request is paused. It gets none until the deadline of
// the pause.
func TestPausedInstanceIsSkipped(t *testing.T) {
	tracker := balance.New()
	tracker.PauseUntil("near", start.Add(100*time.Millisecond), start)
	id, ok := tracker.Pick(candidates(26), 0, start)
	assert.Assert(t, ok)
	assert.Equal(t, id, "far")
	tracker.PauseUntil("far", start.Add(100*time.Millisecond), start)
	_, ok = tracker.Pick(candidates(26), 0, start.Add(99*time.Millisecond))
	assert.Assert(t, !ok)
	_, ok = tracker.Pick(candidates(26), 0, start.Add(100*time.Millisecond))
	assert.Assert(t, ok)
}

// Guards against hosts with outdated reports sending to the same group: 62 hosts
// receive each other's reports a second late. When each selected the least loaded
// group, one of 26 groups had 54 requests and others had none.
func TestHostsWithOutdatedReportsSpreadTheirRequests(t *testing.T) {
	const hosts, perHost, seed = 62, 3, 1
	leastLoaded := mostAtOneGroup(t, seed, hosts, perHost, 0, nil)
	waterFilled := mostAtOneGroup(t, seed, hosts, perHost, hosts*perHost/2, nil)
	// On average 62 x 3 x 3 / 26, about 21, requests are in flight at a group.
	assert.Assert(t, waterFilled <= 40, "%d requests at one group", waterFilled)
	assert.Assert(t, leastLoaded >= waterFilled*5/4, "%d requests with water-filling, %d without", waterFilled, leastLoaded)
}

// mostAtOneGroup returns the most requests in flight at one group in a simulation
// of 20 rounds. Hosts exchange reports after each round; a request lasts three
// rounds, which are a second apart. `change` changes a candidate, unless it is nil.
func mostAtOneGroup(t *testing.T, seed uint64, hosts, perHost int, unreported float64, change func(i int, candidate *balance.Candidate)) int {
	t.Helper()
	const groups, capacity, rounds, requestRounds = 26, 60, 20, 3
	random := rand.New(rand.NewPCG(seed, 0))
	trackers := make([]*balance.Tracker, hosts)
	for i := range trackers {
		trackers[i] = balance.New(balance.WithRandom(random.Float64))
	}
	targets := make([]balance.Candidate, groups)
	for i := range targets {
		targets[i] = balance.Candidate{ID: fmt.Sprint("g-", i), Capacity: capacity, OwnLimit: capacity, Speed: 1, Local: true}
		if change != nil {
			change(i, &targets[i])
		}
	}
	type sent struct {
		from *balance.Tracker
		id   string
	}
	var inFlight [][]sent // by round
	most := 0
	for i := range rounds {
		now := start.Add(time.Duration(i) * time.Second)
		round := make([]sent, 0, hosts*perHost)
		for _, tracker := range trackers {
			for range perHost {
				id, ok := tracker.Pick(targets, unreported, now)
				assert.Assert(t, ok)
				round = append(round, sent{tracker, id})
			}
		}
		inFlight = append(inFlight, round)
		counts := make(map[string]int)
		for _, requests := range inFlight {
			for _, request := range requests {
				counts[request.id]++
				most = max(most, counts[request.id])
			}
		}
		if len(inFlight) == requestRounds {
			for _, request := range inFlight[0] {
				request.from.Release(request.id)
			}
			inFlight = inFlight[1:]
		}
		exchangeReports(trackers, now)
	}
	return most
}

func exchangeReports(trackers []*balance.Tracker, now time.Time) {
	for i, from := range trackers {
		for j, to := range trackers {
			if i != j {
				to.SetPeerInFlight(fmt.Sprint("h-", i), from.OwnInFlight(), now)
			}
		}
	}
}
