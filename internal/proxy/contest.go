package proxy

import (
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor/internal/stall"
)

// rivalPause separates two searches of a rival for a slot.
const rivalPause = 100 * time.Millisecond

// contest lets another contender try to go on with a stream while an attempt that seems
// to be stuck is kept: its instance may only stand still for a moment. The first that
// has the next event goes on with the stream.
type contest struct {
	proxy        *Proxy
	dest         destination // of the attempt
	client       *delivery
	eventsBefore int           // sent to the caller before the attempt
	sendsBefore  int           // sends of the job before the attempt
	exemptBefore int           // exempt ones of these
	over         chan struct{} // closed when the attempt has ended

	mu      sync.Mutex
	base    job    // before the attempt, or after the latest rival
	started bool   // there was a rival
	rival   *rival // under way
	ended   bool   // the attempt has ended
	decided bool   // with the stream
}

// rival is a contender in a contest.
type rival struct {
	runner  *contender // nil until it makes attempts
	job     job
	outcome outcome
	done    chan struct{} // closed when it has ended
}

// newContest returns the contest of the next attempt of a job, which has no rival yet.
func (p *Proxy) newContest(j *job, dest destination, client *delivery) *contest {
	return &contest{proxy: p, dest: dest, client: client, eventsBefore: client.sent().events, sendsBefore: j.sends, exemptBefore: j.exemptSends, over: make(chan struct{}), base: *j}
}

// suspect begins a rival's attempt if the job may be repeated and there is no rival.
func (c *contest) suspect(cause error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.rival != nil || !c.base.repeatable() {
		return
	}
	c.rival = &rival{job: c.base.copy(), done: make(chan struct{})}
	if !c.started {
		c.started = true
		c.rival.job.sends++ // the attempt
	}
	go c.run(c.rival, cause)
}

// run lets a rival make attempts until one ends the stream, or no other is allowed.
func (c *contest) run(rival *rival, cause error) {
	p, j := c.proxy, &rival.job
	c.prepare(j, cause)
	sent := c.client.sent()
	allowed := p.mayResume(c.client.ctx, j, sent)
	_ = level.Info(p.logger).Log("event", "stream_suspected", "request", j.id, "instance", c.dest.id(), "cause", cause, "last_event", sent.lastEventID, "contested", allowed)
	rival.outcome = outcomeFailed
	if allowed {
		rival.outcome = c.attempt(rival)
	}
	_ = level.Info(p.logger).Log("event", "rival_ended", "request", j.id, "instance", j.target, "sends", j.sends, "last_event", c.client.sent().lastEventID, "ended_stream", rival.outcome.final(), "cause", j.cause)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !rival.outcome.final() {
		c.base, c.rival = rival.job, nil
	}
	close(rival.done)
}

// prepare changes the state of the rival's job as if the attempt had failed.
func (c *contest) prepare(j *job, cause error) {
	sent := c.client.sent()
	j.mayHaveRun, j.retryGranted, j.cause = true, false, cause.Error()
	j.responseStarted = j.responseStarted || sent.started
	if c.dest.peer == nil && (errors.Is(cause, stall.ErrLost) || errors.Is(cause, stall.ErrSilent)) {
		c.proxy.paths.Failed(c.dest.instance, c.proxy.now())
	}
	if !errors.Is(cause, stall.ErrSilent) {
		j.exclude(c.dest)
	}
	if c.dest.peer != nil && sent.events > c.eventsBefore {
		j.brokenPeers = append(j.brokenPeers, c.dest.peer.ID)
	}
}

// attempt makes the attempts of a rival. If there is no instance, the rival searches again
// while the attempt that it contests is under way, for maxResumeWait at most.
func (c *contest) attempt(rival *rival) outcome {
	runner, leave := c.client.enter()
	defer leave()
	c.mu.Lock()
	rival.runner = runner
	if c.decided {
		runner.end(errSuperseded)
	}
	c.mu.Unlock()
	until := c.proxy.now().Add(maxResumeWait)
	for {
		result, err := c.proxy.runStream(runner, &rival.job, c.client, until)
		if err == nil || !c.proxy.now().Before(until) {
			return result
		}
		select {
		case <-c.over:
			return outcomeFailed
		case <-runner.ctx.Done():
			return outcomeFailed
		case <-time.After(rivalPause):
		}
	}
}

// decide ends the contest after the attempt has ended with the given outcome, and returns
// the outcome for the job: that of the rival if the attempt did not end the stream.
func (c *contest) decide(j *job, result outcome) outcome {
	c.mu.Lock()
	c.ended, c.decided = true, result.final()
	current := c.rival
	if current != nil && current.runner != nil && c.decided {
		current.runner.end(errSuperseded)
	}
	c.mu.Unlock()
	close(c.over)
	if current != nil {
		<-current.done
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.started {
		return result
	}
	last := &c.base
	if c.rival != nil {
		last = &c.rival.job
	}
	c.adopt(j, last)
	if result.final() || c.rival == nil {
		return result
	}
	j.target, j.cause, j.firstEventAt = last.target, last.cause, last.firstEventAt
	return c.rival.outcome
}

// adopt adds to the state of a job what rivals did for it.
func (c *contest) adopt(j, last *job) {
	sends := last.sends - c.sendsBefore - 1 // without the attempt
	j.sends += sends
	j.exemptSends += last.exemptSends - c.exemptBefore
	j.mayHaveRun = j.mayHaveRun || sends > 0
	j.suspected = j.suspected || last.suspected
	j.retryGranted = j.retryGranted || last.retryGranted
	j.failedInstances, j.failedPeers, j.brokenPeers, j.declines = last.failedInstances, last.failedPeers, last.brokenPeers, last.declines
}
