package stall_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/balance"
	"flamingodoor.example/flamingodoor/internal/stall"
)

var measured = time.Unix(1_800_000_000, 0)

func reading(speed float64, witnesses int) []stall.Reading {
	return []stall.Reading{{Head: "slow", Speed: speed, At: measured, Witnesses: witnesses}}
}

// place returns how many of 40 requests a host sends to the slow one of four groups.
func place(t *testing.T, speeds *stall.PeerSpeeds) int {
	t.Helper()
	tracker, count := balance.New(), 0
	for range 40 {
		candidates := make([]balance.Candidate, 0, 4)
		for _, id := range []string{"slow", "sound-1", "sound-2", "sound-3"} {
			candidates = append(candidates, balance.Candidate{ID: id, Capacity: 20, OwnLimit: 20, Speed: speeds.Speed(id, measured), Local: true})
		}
		id, ok := tracker.Pick(candidates, 0, measured)
		assert.Assert(t, ok)
		if id == "slow" {
			count++
		}
	}
	return count
}

// Guards against a sound group that all hosts avoid because one of them had a slow link
// or processor for a second.
func TestBadSecondOfOneHostDrainsNoGroup(t *testing.T) {
	speeds := stall.NewPeerSpeeds()
	speeds.Report("h1", reading(0.1, 1), measured)
	assert.Equal(t, speeds.Speed("slow", measured), 0.5)
	assert.Assert(t, place(t, speeds) >= 4)
	speeds.Report("h1", reading(0.7, 1), measured)
	assert.Equal(t, speeds.Speed("slow", measured), 0.7)
}

// Guards against hosts that each learn at the cost of their own requests that a group is
// slow: two others have measured it.
func TestSlowGroupFoundByTwoHostsGetsLessAtAllHosts(t *testing.T) {
	speeds := stall.NewPeerSpeeds()
	sound := place(t, speeds)
	speeds.Report("h1", reading(0.2, 1), measured)
	speeds.Report("h2", reading(0.3, 1), measured)
	assert.Equal(t, speeds.Speed("slow", measured), 0.25)
	direct := place(t, speeds)
	assert.Assert(t, direct > 0 && direct <= sound/2, "%d of 40, %d while sound", direct, sound)

	summarised := stall.NewPeerSpeeds()
	summarised.Report("summary of r1", reading(0.25, 2), measured)
	assert.Equal(t, summarised.Speed("slow", measured), 0.25)
	summarised.Forget("summary of r1")
	assert.Equal(t, summarised.Speed("slow", measured), 1.0)
}

// Guards against a group that is avoided for good because nobody measures it again, and
// against a report that outlives the next one of its host.
func TestSpeedsOfOtherHostsExpire(t *testing.T) {
	speeds := stall.NewPeerSpeeds()
	speeds.Report("h1", reading(0.2, 2), measured)
	assert.Equal(t, speeds.Speed("slow", measured.Add(3*time.Second)), 0.2)
	assert.Equal(t, speeds.Speed("slow", measured.Add(3*time.Second+time.Millisecond)), 1.0)
	speeds.Report("h1", nil, measured)
	assert.Equal(t, speeds.Speed("slow", measured), 1.0)
}

// Guards against trusting others over a newer measurement of this host, and against
// reports that name sound groups.
func TestOwnMeasurementCountsFirst(t *testing.T) {
	s, speeds := newFixture(t), stall.NewPeerSpeeds()
	s.monitor = stall.New(s.inspect, nil, func() int { return 1 }, s.clock, stall.WithPeerSpeeds(speeds))
	watch, _ := s.begin()
	s.advance(500*time.Millisecond, watch)
	speeds.Report("h1", []stall.Reading{{Head: "head", Speed: 0.2, At: s.now, Witnesses: 5}}, s.now)
	assert.Equal(t, s.monitor.Speed("head"), 1.0)
	assert.Equal(t, len(s.monitor.SlowGroups()), 0)
	for range 20 {
		s.advance(300 * time.Millisecond)
		watch.Progress()
	}
	slow := s.monitor.SlowGroups()
	assert.Equal(t, len(slow), 1)
	assert.Equal(t, slow[0].Speed, s.monitor.Speed("head"))
	watch.End()
	s.advance(3500 * time.Millisecond)
	assert.Equal(t, len(s.monitor.SlowGroups()), 0)
	speeds.Report("h1", []stall.Reading{{Head: "head", Speed: 0.2, At: s.now, Witnesses: 5}}, s.now)
	assert.Equal(t, s.monitor.Speed("head"), 0.2)
}

// Guards against a slow group that gets the requests of all hosts at once when its
// measurement expires.
func TestSlowGroupIsRetriedBeforeItIsUsedAgain(t *testing.T) {
	s, speeds := newFixture(t), stall.NewPeerSpeeds()
	s.monitor = stall.New(s.inspect, nil, func() int { return 1 }, s.clock, stall.WithPeerSpeeds(speeds))
	speeds.Report("h1", []stall.Reading{{Head: "head", Speed: 0.2, At: s.now, Witnesses: 2}}, s.now)
	believed := func(after time.Duration, wantSpeed float64, wantRetried bool) {
		t.Helper()
		s.advance(after)
		speed, retried := s.monitor.Believed("head")
		assert.Equal(t, speed, wantSpeed)
		assert.Equal(t, retried, wantRetried)
	}
	believed(3*time.Second, 0.2, false)
	believed(100*time.Millisecond, 1, true)
	watch, _ := s.begin()
	watch.Progress()
	believed(50*time.Millisecond, 1, true)
	watch.Progress()
	believed(0, 1, false)
}
