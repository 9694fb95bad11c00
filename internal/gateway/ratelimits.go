package gateway

import (
	"time"

	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
	"flamingodoor.example/flamingodoor/internal/allowance"
)

// describeRateLimits adds the rate limits that instances stated to a message to the
// peers.
func (s *sharedState) describeRateLimits(request *exchangev1.ShareRequest, now time.Time) {
	for _, statement := range s.gateway.proxy.Allowances().Shared(now) {
		request.RateLimits = append(request.RateLimits, &exchangev1.RateLimit{
			InstanceId: statement.InstanceID, BornMs: statement.StartedAt.UnixMilli(), PerSecond: statement.PerSecond,
			AgeMs: now.Sub(statement.At).Milliseconds(),
		})
	}
}

// applyRateLimits records the rate limits that a peer has seen. A relay passes them
// on.
func (s *sharedState) applyRateLimits(request *exchangev1.ShareRequest, now time.Time) {
	g := s.gateway
	isRelay := g.exchanger.IsRelay()
	changed, urgent := false, false
	for _, limit := range request.GetRateLimits() {
		recorded := g.proxy.Allowances().Record(allowance.Statement{
			InstanceID: limit.GetInstanceId(), StartedAt: time.UnixMilli(limit.GetBornMs()), PerSecond: limit.GetPerSecond(),
			At: now.Add(-time.Duration(limit.GetAgeMs()) * time.Millisecond),
		}, isRelay, now)
		changed = changed || recorded.Began || recorded.Ended
		urgent = urgent || recorded.Urgent
	}
	if urgent {
		g.exchanger.SendUrgent()
	}
	if changed {
		g.tracker.Wake()
	}
}
