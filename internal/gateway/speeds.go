package gateway

import (
	"maps"
	"math"
	"time"

	"github.com/go-kit/log/level"

	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
	"flamingodoor.example/flamingodoor/internal/stall"
)

const (
	// percent is the number of percent in a whole.
	percent = 100
	// oldestSpeed bounds the age in a message. A speed of this age does not count.
	oldestSpeed = time.Minute
	// loggedBelow is the speed below which a slow group is logged. slowLogPause is how
	// long it must not have been that slow before it is logged again.
	loggedBelow  = 0.5
	slowLogPause = 5 * time.Second
)

// describeSpeeds adds the groups that this host measured as slow to a message to the
// peers.
func (s *sharedState) describeSpeeds(request *exchangev1.ShareRequest, now time.Time) {
	slow := s.gateway.monitor.SlowGroups()
	s.logSlow(slow, now)
	for _, reading := range slow {
		request.Paces = append(request.Paces, &exchangev1.GroupPace{
			InstanceId: reading.Head, SpeedPercent: uint32(math.Round(percent * reading.Speed)),
			AgeMs: max(0, now.Sub(reading.At).Milliseconds()), Witnesses: int32(reading.Witnesses), //nolint:gosec // a count of hosts
		})
	}
}

// logSlow logs groups that this host has begun to measure as slow.
func (s *sharedState) logSlow(slow []stall.Reading, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.slowSeen, func(_ string, latest time.Time) bool { return now.Sub(latest) > slowLogPause })
	for _, reading := range slow {
		if reading.Speed >= loggedBelow {
			continue
		}
		if _, logged := s.slowSeen[reading.Head]; !logged {
			_ = level.Info(s.gateway.logger).Log("event", "group_slow", "instance", reading.Head, "speed_percent", math.Round(percent*reading.Speed),
				"others_percent", math.Round(percent*s.gateway.peerSpeeds.Speed(reading.Head, now)))
		}
		s.slowSeen[reading.Head] = now
	}
}

// applySpeeds replaces the speeds that a peer, or the hosts in a summary, measured.
func (s *sharedState) applySpeeds(request *exchangev1.ShareRequest, now time.Time) {
	readings := make([]stall.Reading, 0, len(request.GetPaces()))
	for _, pace := range request.GetPaces() {
		age := time.Duration(min(oldestSpeed.Milliseconds(), max(0, pace.GetAgeMs()))) * time.Millisecond
		readings = append(readings, stall.Reading{
			Head: pace.GetInstanceId(), Speed: float64(pace.GetSpeedPercent()) / percent, At: now.Add(-age), Witnesses: int(pace.GetWitnesses()),
		})
	}
	s.gateway.peerSpeeds.Report(request.GetHostId(), readings, now)
}
