package proxy

import (
	"context"
	"time"
)

// mayRepeat reports whether another attempt is allowed, and takes it from the
// retry budget if the job was sent before. The grant is kept until the job is
// sent. The budget of a peer may grant it too if this host can only forward the job,
// or if its caller has a part of the response.
func (p *Proxy) mayRepeat(ctx context.Context, j *job) bool {
	now := p.now()
	if ctx.Err() != nil || j.deadline.Sub(now) < minAttemptTime {
		return false
	}
	if j.mayHaveRun && !j.repeatable() {
		return false
	}
	if j.sends == 0 {
		return true
	}
	if (j.suspected && p.partTracker.Suspected(j.parts)) || p.partTracker.Blocked(j.parts, now) {
		return false
	}
	if j.exhausted() && j.repeatAt == "" {
		return false
	}
	return p.grantRetry(j, now) || (j.forwardedBy == "" && (j.responseStarted || p.paths.Stranded()))
}

// grantRetry reports whether the retry budget has granted the next send, if the job
// was sent before.
func (p *Proxy) grantRetry(j *job, now time.Time) bool {
	if j.retryGranted || j.sends == 0 {
		j.retryGranted = true
		return true
	}
	budget := p.retryBudget(j.service.Name)
	budget.SetFloor(p.burst.Part(now))
	j.retryGranted = budget.TryRetry(now)
	return j.retryGranted
}
