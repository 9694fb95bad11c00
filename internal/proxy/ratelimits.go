package proxy

import (
	"math"
	"strconv"
	"strings"

	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/allowance"
)

// Allowances returns the rate limits that instances have stated.
func (p *Proxy) Allowances() *allowance.Book {
	return p.allowances
}

// recordRateLimit records the limit that an instance stated in a response, or that
// it stated none in the response to a request.
func (p *Proxy) recordRateLimit(notice flamingodoor.InstanceNotice) {
	now := p.now()
	if notice.RateLimit == "" {
		if !notice.RequestSentAt.IsZero() && p.allowances.RecordNoLimit(notice.InstanceID, notice.StartedAt, notice.RequestSentAt, now).Ended {
			_ = level.Info(p.logger).Log("event", "instance_unlimited", "instance", notice.InstanceID, "born_ms", notice.StartedAt.UnixMilli())
			p.tracker.Wake()
		}
		return
	}
	perSecond, ok := parseRateLimit(notice.RateLimit)
	if !ok || perSecond != min(allowance.MaxPerSecond, max(allowance.MinPerSecond, perSecond)) {
		// An instance may repeat the value in each response.
		p.limitWarnings.Do(func() {
			_ = level.Warn(p.logger).Log("event", "rate_limit_out_of_range", "instance", notice.InstanceID, "ignored", !ok,
				"value", notice.RateLimit[:min(len(notice.RateLimit), maxLoggedValue)], "lowest", allowance.MinPerSecond, "highest", allowance.MaxPerSecond)
		})
	}
	if !ok {
		return
	}
	recorded := p.allowances.Record(allowance.Statement{
		InstanceID: notice.InstanceID, StartedAt: notice.StartedAt, At: now,
		PerSecond: min(allowance.MaxPerSecond, max(allowance.MinPerSecond, perSecond)),
	}, true, now)
	if recorded.Began {
		_ = level.Info(p.logger).Log("event", "instance_limited", "instance", notice.InstanceID, "born_ms", notice.StartedAt.UnixMilli(), "per_second", perSecond)
	}
	if recorded.Urgent {
		p.onLimited()
	}
}

// parseRateLimit parses a decimal number that is not negative.
func parseRateLimit(value string) (float64, bool) {
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return 0, false
	}
	return perSecond, true
}
