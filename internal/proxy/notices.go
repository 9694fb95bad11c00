package proxy

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/upstream"
)

const (
	// maxHold bounds how long an instance gets nothing because it asked for that,
	// so that a wrong value does not take it out of use for good.
	maxHold = 2 * time.Minute
	// maxLoggedValue bounds the part of a header that is logged.
	maxLoggedValue = 64
)

// observeHead applies what the head of a response, of whatever request, states
// about the instance that this request was meant for. Another instance responds
// with status 421.
func (p *Proxy) observeHead(instance flamingodoor.Instance, status int, header http.Header) {
	p.paths.Heard(instance, p.now())
	if status == http.StatusMisdirectedRequest {
		return
	}
	p.Observe(flamingodoor.InstanceNotice{
		InstanceID: instance.ID, StartedAt: instance.StartedAt, Leaving: header.Get(p.headers.Leaving) == "1",
	})
}

// observeResponse applies the Retry-After and the rate limit in the response to a
// request that was sent at the given time. Those of a skipped response count from
// an earlier moment, which is not known.
func (p *Proxy) observeResponse(instance flamingodoor.Instance, sentAt time.Time, response *upstream.Response) {
	if response.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	notice := flamingodoor.InstanceNotice{
		InstanceID: instance.ID, StartedAt: instance.StartedAt, RateLimit: response.Header.Get(p.headers.RateLimit), RequestSentAt: sentAt,
	}
	if response.StatusCode == http.StatusServiceUnavailable {
		notice.RetryAfter = response.Header.Get("Retry-After")
	}
	p.Observe(notice)
}

// Observe applies what an instance stated in a response to this host. An instance
// that is leaving gets no new requests from any host, one that refused with a
// Retry-After none from this host until then, and one that stated a rate limit no
// more than that from all hosts together.
func (p *Proxy) Observe(notice flamingodoor.InstanceNotice) {
	if entry, ok := p.roster.View().Entries[notice.InstanceID]; ok && notice.StartedAt.IsZero() {
		notice.StartedAt = entry.StartedAt
	}
	if notice.Leaving {
		p.markLeaving(notice)
	}
	if notice.RetryAfter != "" {
		p.hold(notice)
	}
	p.recordRateLimit(notice)
}

func (p *Proxy) markLeaving(notice flamingodoor.InstanceNotice) {
	now := p.now()
	if !p.roster.MarkLeaving(notice.InstanceID, notice.StartedAt, now) {
		return
	}
	_ = level.Info(p.logger).Log("event", "instance_leaving", "instance", notice.InstanceID, "born_ms", notice.StartedAt.UnixMilli())
	p.roster.Publish(now)
	p.tracker.Wake()
	p.onLeaving(notice.InstanceID, notice.StartedAt)
}

func (p *Proxy) hold(notice flamingodoor.InstanceNotice) {
	value := notice.RetryAfter[:min(len(notice.RetryAfter), maxLoggedValue)]
	asked, ok := parseRetryAfter(notice.RetryAfter)
	if !ok {
		_ = level.Warn(p.logger).Log("event", "retry_after_ignored", "instance", notice.InstanceID, "value", value)
		return
	}
	if asked > maxHold {
		_ = level.Warn(p.logger).Log("event", "retry_after_limited", "instance", notice.InstanceID, "value", value, "limit", maxHold)
		asked = maxHold
	}
	now := p.now()
	if !p.holds.Extend(notice.InstanceID, notice.StartedAt, now.Add(asked), now) {
		return
	}
	_ = level.Info(p.logger).Log("event", "instance_held", "instance", notice.InstanceID, "held_ms", asked.Milliseconds())
	time.AfterFunc(asked, p.tracker.Wake)
}

// parseRetryAfter parses a number of seconds, of which a fraction may be given. It
// returns at most twice maxHold, so that no number overflows.
func parseRetryAfter(value string) (time.Duration, bool) {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
	if err != nil || math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds < 0 {
		return 0, false
	}
	return time.Duration(min(seconds, 2*maxHold.Seconds()) * float64(time.Second)), true
}

// MayProbe reports whether this host may probe an instance. One that asked for no
// requests is probed once until then.
func (p *Proxy) MayProbe(instance flamingodoor.Instance) bool {
	return p.holds.MayProbe(instance.ID, instance.StartedAt, p.now())
}

// Held reports whether the instance asked for no requests of this host.
func (p *Proxy) Held(instance flamingodoor.Instance) bool {
	_, held := p.holds.Until(instance.ID, instance.StartedAt, p.now())
	return held
}

// heldError is returned if every instance that could take a job asked for no
// requests, or for no more from this host.
type heldError struct {
	until time.Time // earliest end
}

// Error states until when there is no instance.
func (h *heldError) Error() string {
	return "all instances asked for no more requests until " + h.until.UTC().Format("15:04:05.000")
}

// roomAt returns when the first instance of a job takes requests of this host again,
// or false unless all of them asked for none or no more.
func (p *Proxy) roomAt(j *job, now time.Time) (time.Time, bool) {
	if !p.holds.Any(now) && p.allowances.Count(now) == 0 {
		return time.Time{}, false
	}
	next := *j
	next.failedInstances = nil // the caller's next attempt may go there
	set := p.findCandidates(&next, p.roster.View(), now)
	if len(set.candidates) > 0 || set.coldLimited {
		return time.Time{}, false
	}
	return set.heldUntil, !set.heldUntil.IsZero()
}
