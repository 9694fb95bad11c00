package proxy

import (
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor/internal/stall"
)

// backupPause separates two searches of a backup for a slot.
const backupPause = 100 * time.Millisecond

// hedge begins a backup attempt at a stream while an attempt that seems to be stuck is
// kept: its instance may only stand still for a moment. The first of the two that has the
// next event goes on with the stream.
type hedge struct {
	proxy        *Proxy
	dest         destination // of the attempt
	client       *delivery
	eventsBefore int           // sent to the caller before the attempt
	over         chan struct{} // closed when the attempt has ended

	mu      sync.Mutex
	base    job     // before the attempt, or after the latest backup
	started bool    // there was a backup
	sends   int     // of the job and the attempt, before the first backup
	exempt  int     // exempt ones of these
	backup  *backup // under way
	ended   bool    // the attempt has ended
	decided bool    // with the stream
	// suspicion is the cause of a suspicion during a hedge, which becomes a backup if the
	// hedge fails.
	suspicion error
	// excluded is whether only the suspicion keeps the job from the destination.
	excluded bool
}

// backup makes the backup attempts of a hedge.
type backup struct {
	runner  *streamRunner // nil until it makes attempts
	job     job
	outcome outcome
	done    chan struct{} // closed when it has ended
}

// newHedge returns the hedge of the next attempt of a job, which has no backup yet.
func (p *Proxy) newHedge(j *job, dest destination, client *delivery) *hedge {
	return &hedge{proxy: p, dest: dest, client: client, eventsBefore: client.sent().events, over: make(chan struct{}), base: *j}
}

// suspect begins a backup attempt if the job may be repeated and none is under way.
func (h *hedge) suspect(cause error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended || !h.base.repeatable() {
		return
	}
	if h.backup != nil {
		if h.backup.job.isHedge {
			h.suspicion = cause
		}
		return
	}
	h.beginBackup(cause)
}

// beginBackup begins a backup attempt. It is called with the lock held.
func (h *hedge) beginBackup(cause error) {
	h.backup = &backup{job: h.base.copy(), done: make(chan struct{})}
	if !h.started {
		h.started = true
		h.backup.job.countAttempt(h.dest)
		h.sends, h.exempt = h.backup.job.sends, h.backup.job.exemptSends
	}
	go h.run(h.backup, cause)
}

// run makes backup attempts until one ends the stream, or no other is allowed.
func (h *hedge) run(backup *backup, cause error) {
	p, j := h.proxy, &backup.job
	h.prepare(j, cause)
	sent := h.client.sent()
	// A hedge has no backup of its own before it has the first event.
	allowed := (!j.isHedge || sent.events > 0) && p.mayResume(h.client.ctx, j, sent)
	_ = level.Info(p.logger).Log("event", "stream_suspected", "request", j.id, "instance", h.dest.id(), "cause", cause, "last_event", sent.lastEventID, "hedged", allowed)
	backup.outcome = outcomeFailed
	if allowed {
		backup.outcome = h.attempt(backup)
	}
	_ = level.Info(p.logger).Log("event", "backup_ended", "request", j.id, "instance", j.target, "sends", j.sends, "last_event", h.client.sent().lastEventID, "ended_stream", backup.outcome.final(), "cause", j.cause)
	h.mu.Lock()
	defer h.mu.Unlock()
	if !backup.outcome.final() {
		h.base, h.backup = backup.job, nil
	}
	close(backup.done)
}

// prepare changes the state of the backup's job as if the first attempt had failed.
func (h *hedge) prepare(j *job, cause error) {
	sent := h.client.sent()
	j.mayHaveRun, j.cause = true, cause.Error()
	j.responseStarted = j.responseStarted || sent.started
	if h.dest.peer == nil && (errors.Is(cause, stall.ErrLost) || errors.Is(cause, stall.ErrSilent)) {
		h.proxy.paths.Failed(h.dest.instance, h.proxy.now())
	}
	if !errors.Is(cause, stall.ErrSilent) {
		h.excluded = h.excluded || !j.failed(h.dest)
		j.exclude(h.dest)
	}
	if h.dest.peer != nil && sent.events > h.eventsBefore {
		j.brokenPeers = append(j.brokenPeers, h.dest.peer.ID)
	}
}

// attempt makes the attempts of a backup. If there is no instance, it searches again while
// the first attempt is under way, for maxResumeWait at most.
func (h *hedge) attempt(backup *backup) outcome {
	runner, leave := h.client.enter()
	defer leave()
	h.mu.Lock()
	backup.runner = runner
	if h.decided {
		runner.end(errSuperseded)
	}
	h.mu.Unlock()
	until := h.proxy.now().Add(maxResumeWait)
	for {
		result, err := h.proxy.runStream(runner, &backup.job, h.client, until)
		if err == nil || !h.proxy.now().Before(until) {
			return result
		}
		select {
		case <-h.over:
			return outcomeFailed
		case <-runner.ctx.Done():
			return outcomeFailed
		case <-time.After(backupPause):
		}
	}
}

// decide ends the hedge after the first attempt has ended with the given outcome, and returns
// the outcome for the job: that of the backup if the attempt did not end the stream.
func (h *hedge) decide(j *job, result outcome) outcome {
	h.mu.Lock()
	h.ended, h.decided = true, result.final()
	current := h.backup
	if current != nil && current.runner != nil && h.decided {
		current.runner.end(errSuperseded)
	}
	h.mu.Unlock()
	close(h.over)
	if current != nil {
		<-current.done
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.started {
		return result
	}
	last := &h.base
	if h.backup != nil {
		last = &h.backup.job
	}
	h.adopt(j, last)
	if result.sameAgain() && h.excluded {
		// The silence was that of the connection, or the instance has answered since.
		delete(j.failedInstances, h.dest.instance.ID)
	}
	if result.final() || h.backup == nil {
		return result
	}
	j.target, j.cause, j.firstEventAt = last.target, last.cause, last.firstEventAt
	return h.backup.outcome
}

// adopt adds to the state of a job what backups did for it.
func (h *hedge) adopt(j, last *job) {
	sends := last.sends - h.sends
	j.sends += sends
	j.exemptSends += last.exemptSends - h.exempt
	j.mayHaveRun = j.mayHaveRun || sends > 0
	j.suspected = j.suspected || last.suspected
	j.retryGranted = j.retryGranted || last.retryGranted
	j.refusals = max(j.refusals, last.refusals)
	if h.dest.peer != nil || j.repeatAt != h.dest.instance.ID {
		j.repeatAt = last.repeatAt
	}
	j.failedInstances, j.failedPeers, j.brokenPeers, j.declines = last.failedInstances, last.failedPeers, last.brokenPeers, last.declines
}
