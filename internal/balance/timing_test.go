package balance_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/balance"
)

const slots = 20

// engine has times as deployments declare them: 70 ms to the first event at an idle
// group, 78 ms with all slots in use.
var engine = &flamingodoor.EngineSpec{
	Slots: slots, StepsPerPass: 7, StepTime: 5950 * time.Microsecond, StepTimePerSlot: 44 * time.Microsecond,
	PrefillTokensPerSecond: 50_700, PrefillChunkTokens: 2048, MeanPromptTokens: 1420, MeanAnswerTokens: 172,
	Models: []flamingodoor.ModelSpec{{ID: "m", InstancesPerGroup: 2, TimeFactor: 1}},
}

// noJitter makes placement repeatable.
func noJitter() float64 { return 0 }

// group returns a candidate for a request with a number of prompt tokens.
func group(id string, speed float64, promptTokens int) balance.Candidate {
	return balance.Candidate{ID: id, Capacity: slots, OwnLimit: slots, Speed: speed, Local: true, Timing: balance.NewTiming(engine, "m", promptTokens)}
}

// place picks a number of times and returns how often each candidate was chosen.
func place(t *testing.T, tracker *balance.Tracker, count int, now time.Time, candidates ...balance.Candidate) map[string]int {
	t.Helper()
	counts := make(map[string]int)
	for range count {
		id, ok := tracker.Pick(candidates, 0, now)
		assert.Assert(t, ok)
		counts[id]++
	}
	return counts
}

// Guards against long prompts that queue behind each other at one group, because load is
// a count of requests, whether a prompt has 100 or 5,000 tokens.
func TestLongPromptsAvoidGroupsWithPromptsToProcess(t *testing.T) {
	tracker := balance.New(balance.WithRandom(noJitter))
	assert.DeepEqual(t, place(t, tracker, 1, start, group("busy", 1, 8000)), map[string]int{"busy": 1})
	assert.Equal(t, place(t, tracker, 5, start, group("busy", 1, 5000), group("other", 1, 5000))["busy"], 2, "prompts level out, not requests")

	tracker = balance.New(balance.WithRandom(noJitter))
	place(t, tracker, 1, start, group("busy", 1, 8000))
	counts := place(t, tracker, 6, start, group("busy", 1, 100), group("other", 1, 100))
	assert.Assert(t, counts["other"] >= 5, "short ones wait behind it as well: %v", counts)
	later := place(t, tracker, 10, start.Add(time.Second), group("busy", 1, 100), group("other", 1, 100))
	assert.Assert(t, later["busy"] > later["other"], "the prompt is processed, and other has more requests: %v", later)
}

// Guards against a number of tokens that a caller states wrongly and that keeps a group
// from all requests for hours, and against declared times that overflow.
func TestAbsurdTimesBlockNoGroup(t *testing.T) {
	tracker := balance.New(balance.WithRandom(noJitter))
	place(t, tracker, 1, start, group("absurd", 1, math.MaxInt))
	counts := place(t, tracker, 20, start.Add(2*time.Second), group("absurd", 1, 1000), group("other", 1, 1000))
	assert.Assert(t, counts["absurd"] >= 9, "%v", counts)

	absurd := *engine
	absurd.StepTime, absurd.PrefillTokensPerSecond, absurd.MeanPromptTokens = math.MaxInt64, 1e-300, 1e300
	timed := []balance.Candidate{group("a", 1, 1), group("b", 1, 1)}
	for i := range timed {
		timed[i].Timing = balance.NewTiming(&absurd, "m", math.MaxInt)
	}
	counts = place(t, tracker, 20, start, timed...)
	assert.Equal(t, counts["a"], 10, "%v", counts)
}

// Guards against a group that is drained because it looks a little slower, and against one
// that attracts the requests of all hosts because it looks a little faster: below the
// slots the time to the first event is nearly the same.
func TestSmallDifferencesOfSpeedLeaveRequestsSpread(t *testing.T) {
	for _, test := range []struct {
		speed       float64
		least, most int // requests of 40 at the slower of four groups
	}{{1, 10, 10}, {0.95, 8, 10}, {0.9, 7, 9}, {0.5, 2, 5}, {0.2, 0, 1}} {
		tracker := balance.New(balance.WithRandom(noJitter))
		counts := make(map[string]int)
		for i := range 40 {
			// Prompts are processed between the requests.
			now := start.Add(time.Duration(i) * 50 * time.Millisecond)
			for id := range place(t, tracker, 1, now, group("slower", test.speed, 1000), group("a", 1, 1000), group("b", 1, 1000), group("c", 1, 1000)) {
				counts[id]++
			}
		}
		assert.Assert(t, counts["slower"] >= test.least && counts["slower"] <= test.most, "speed %f: %v", test.speed, counts)
	}
}

// Guards against hosts with outdated reports that all send to the one group which is a
// little faster than the others.
func TestHostsWithOutdatedReportsSpreadDespiteAFasterGroup(t *testing.T) {
	const hosts, perHost, seed = 62, 3, 1
	most := mostAtOneGroup(t, seed, hosts, perHost, hosts*perHost/2, func(i int, candidate *balance.Candidate) {
		candidate.Timing, candidate.Speed = balance.NewTiming(engine, "m", 1000), 0.9
		if i == 0 {
			candidate.Speed = 1
		}
	})
	// On average about 21 requests are in flight at a group.
	assert.Assert(t, most <= 40, "%d requests at one group", most)
}

// Guards against groups in another data centre that get nothing until those of this one
// are a fifth fuller, and against requests that leave it for no gain.
func TestAnotherDataCentreCostsItsRoundTrip(t *testing.T) {
	near, far := make(map[time.Duration]int), make(map[time.Duration]int)
	for _, roundTrip := range []time.Duration{0, 20 * time.Millisecond, 80 * time.Millisecond} {
		tracker := balance.New(balance.WithRandom(noJitter))
		remote := group("far", 1, 1000)
		remote.Local, remote.RoundTrip = false, roundTrip
		for i := range 20 {
			// Prompts are processed between the requests.
			counts := place(t, tracker, 1, start.Add(time.Duration(i)*50*time.Millisecond), group("near", 1, 1000), remote)
			near[roundTrip] += counts["near"]
			far[roundTrip] += counts["far"]
		}
	}
	assert.Assert(t, near[0] > far[0] && far[0] >= 8, "a small preference is left: %d to %d", near[0], far[0])
	assert.Assert(t, far[0] >= far[20*time.Millisecond] && far[20*time.Millisecond] > far[80*time.Millisecond], "%v", far)
	assert.Assert(t, far[80*time.Millisecond] > 0, "local slots are not all used first: %v", far)
}

// Guards against a round trip that one lost packet or busy machine makes seem long.
func TestRoundTripIgnoresSingleSlowConnections(t *testing.T) {
	trips := balance.NewRoundTrips()
	assert.Equal(t, trips.To("dc"), time.Duration(0))
	trips.Observe("dc", 300*time.Millisecond)
	trips.Observe("dc", 20*time.Millisecond)
	trips.Observe("dc", 300*time.Millisecond)
	assert.Equal(t, trips.To("dc"), 34*time.Millisecond)
	for range 200 {
		trips.Observe("dc", 60*time.Millisecond)
	}
	assert.Assert(t, trips.To("dc") > 55*time.Millisecond, "the path has become longer")
}

// Guards against a predicted time in the log that leaves out the prompts before the
// request, the round trip or the speed of the group.
func TestPredictedTimeHoldsAllParts(t *testing.T) {
	tracker := balance.New(balance.WithRandom(noJitter))
	place(t, tracker, 1, start, group("a", 1, 5070))
	first := tracker.Predicted(group("a", 1, 5070), start)
	assert.Equal(t, first.Round(time.Millisecond), 142*time.Millisecond, "a pass of 41.65 ms and a prompt of 100 ms")
	place(t, tracker, 1, start, group("a", 0.5, 507))
	remote := group("a", 0.5, 507)
	remote.RoundTrip = 30 * time.Millisecond
	second := tracker.Predicted(remote, start)
	assert.Equal(t, second.Round(time.Millisecond), 234*time.Millisecond, "30 ms, 100 ms for the first prompt, and twice 52 ms")
	plain := balance.Candidate{ID: "a", Capacity: slots}
	assert.Equal(t, tracker.Predicted(plain, start), time.Duration(0))
}
