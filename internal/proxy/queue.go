package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor/internal/admission"
)

const (
	// queueLogInterval separates two log lines of a queue in which requests wait.
	queueLogInterval = time.Second
	// minGiveUpTime, giveUpObjectives and giveUpGaps are how long a caller waits for the
	// first event of a stream: the longest of a time, a multiple of the latency objective
	// and a multiple of the objective for the gap between two events.
	minGiveUpTime    = 2 * time.Second
	giveUpObjectives = 4
	giveUpGaps       = 8
	// servedPerPlainRequest is what a request to a service without an engine counts in the
	// shares of workspaces. Only its ratio to itself matters: queues are per service.
	servedPerPlainRequest = 1
)

// line is the order of the waiting jobs of one service and model.
type line = admission.Line[*waitingJob]

// waitingJob is a job in a queue, and where it was placed.
type waitingJob struct {
	job  *job
	dest destination
	err  error         // why it was not placed, the last time or for good
	done chan struct{} // closed once dest or err is final
}

// queue gives the slots of one service and model to waiting jobs, in the order of its line.
// While jobs wait, one goroutine tries the next of them after each change. It is safe for
// concurrent use.
type queue struct {
	proxy   *Proxy
	key     DemandKey
	waiting atomic.Int64
	arrived chan struct{} // receives when a job came first in the line or the last one left

	mu       sync.Mutex // held while a waiting job is tried, so that its owner does not change it
	line     *line
	running  bool // the goroutine is
	logAt    time.Time
	grants   int // since the last log line
	refusals int // since the last log line
}

// queues holds the queue of each service and model. It is safe for concurrent use.
type queues struct {
	mu    sync.Mutex
	byKey map[DemandKey]*queue
}

func newQueues() *queues {
	return &queues{byKey: make(map[DemandKey]*queue)}
}

// queueOf returns the queue of a job.
func (p *Proxy) queueOf(j *job) *queue {
	key := j.queueKey()
	p.queues.mu.Lock()
	defer p.queues.mu.Unlock()
	q, ok := p.queues.byKey[key]
	if !ok {
		q = &queue{proxy: p, key: key, arrived: make(chan struct{}, 1), line: admission.NewLine[*waitingJob](p.now())}
		p.queues.byKey[key] = q
	}
	return q
}

// existingQueue returns the queue of a job, or false if none has been needed yet.
func (p *Proxy) existingQueue(j *job) (*queue, bool) {
	p.queues.mu.Lock()
	defer p.queues.mu.Unlock()
	q, ok := p.queues.byKey[j.queueKey()]
	return q, ok
}

// queueKey returns the service and model whose instances can take the job. Callers choose
// the model that they name: one that the service does not have gets no queue of its own.
func (j *job) queueKey() DemandKey {
	if engine := j.service.Engine; engine != nil {
		for i := range engine.Models {
			if engine.Models[i].ID == j.model {
				return j.key()
			}
		}
	}
	return DemandKey{Service: j.service.Name}
}

// WaitingRequests returns the number of requests that wait for a slot, by service and model.
func (p *Proxy) WaitingRequests() map[DemandKey]int64 {
	p.queues.mu.Lock()
	defer p.queues.mu.Unlock()
	waiting := make(map[DemandKey]int64, len(p.queues.byKey))
	for key, q := range p.queues.byKey {
		waiting[key] = q.waiting.Load()
	}
	return waiting
}

// predictedFirstEvent returns the time from sending a job to its first event: as measured
// on its route and model, or else as the engine declares it. It is zero for a service
// without an engine.
func (p *Proxy) predictedFirstEvent(j *job) time.Duration {
	if j.service.Engine == nil {
		return 0
	}
	if mean, ok := p.firstEventTimes.mean(j); ok {
		return mean
	}
	prefill := EngineSeconds(j.service.Engine, j.model, float64(j.promptTokens), 0)
	return time.Duration(prefill*float64(time.Second)) + p.expectedEventGap(j)
}

// lastPlacement returns when a job has to be placed at the latest: until an eighth of its
// objective has passed, and while it can meet the objective. The stream of a caller that
// was refused before waits for as long as the caller waits for its first event: it can only
// be late, and its caller does not come back. Both hold where slots can be divided among
// the hosts: elsewhere, late requests would take those of requests in time.
func (p *Proxy) lastPlacement(j *job) time.Time {
	usual := j.receivedAt.Add(j.shortWait())
	if !p.sharesSlots(j) || !j.isStream() {
		return usual
	}
	wait := j.route.LatencyObjective
	if j.callerRetry {
		wait = max(minGiveUpTime, giveUpObjectives*j.route.LatencyObjective, giveUpGaps*j.route.EventGapObjective)
	}
	until := j.receivedAt.Add(wait)
	if j.deadline.Before(until) {
		until = j.deadline
	}
	if until = until.Add(-p.predictedFirstEvent(j)); until.After(usual) {
		return until
	}
	// Measured times of a short overload must not end all waiting.
	return usual
}

// shortWait returns the wait for which a job without a slot is kept in any case.
func (j *job) shortWait() time.Duration {
	return min(j.route.LatencyObjective, j.deadline.Sub(j.receivedAt)) / waitDivisor
}

// holdLimit returns until when a job that waits until the given time also waits for
// instances that take no requests. They stated when they do again: a new stream is refused
// with that time if it is far, and does not wait as it does for slots.
func (j *job) holdLimit(until, now time.Time) time.Time {
	if limit := now.Add(j.shortWait()); until.Equal(j.waitUntil) && j.isStream() && limit.Before(until) {
		return limit
	}
	return until
}

// queueRequest describes a job that waits until the given time.
func (p *Proxy) queueRequest(j *job, until time.Time) admission.Request {
	request := admission.Request{
		Workspace: j.workspace, Priority: j.priority, Resumed: j.responseStarted, LastTry: j.callerRetry && j.service.Engine != nil, ArrivedAt: j.receivedAt,
		InTimeUntil: j.receivedAt.Add(j.route.LatencyObjective - p.predictedFirstEvent(j)), ServeUntil: until,
	}
	if request.LastTry {
		request.InTimeUntil = j.receivedAt.Add(-j.route.LatencyObjective) // the first try was refused after it
	}
	return request
}

// expectedTurn returns when a job that arrives now would get a slot. It returns false if
// that is not known.
func (p *Proxy) expectedTurn(j *job, now time.Time) (time.Time, bool) {
	if j.service.Engine == nil {
		return time.Time{}, false
	}
	request := p.queueRequest(j, j.waitUntil)
	q, ok := p.existingQueue(j)
	if !ok {
		return time.Time{}, false
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.line.TurnAt(request, now)
}

// countServed adds a job that was placed to the share of its workspace. The queue is not
// locked.
func (q *queue) countServed(j *job, now time.Time) {
	work := q.proxy.work(j)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.line.CountServed(j.workspace, work, now)
}

// work returns the estimated engine seconds of a job.
func (p *Proxy) work(j *job) float64 {
	if j.service.Engine == nil {
		return servedPerPlainRequest
	}
	return p.demand.Work(j.service, j.model, j.promptTokens, j.maxOutputTokens)
}

// countRelease counts a slot that a job used until now.
func (p *Proxy) countRelease(j *job) {
	q, now := p.queueOf(j), p.now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.line.CountRelease(now)
}

// skipsQueue reports whether a job is tried at once although others wait: a stream that
// resumes comes before them, and one that cannot get any slot of this queue now is refused
// or forwarded without delay.
func (p *Proxy) skipsQueue(j *job) bool {
	if j.responseStarted || p.paths.Stranded() || p.paths.Suspected() {
		return true
	}
	set := p.findCandidates(j, p.roster.View(), p.now())
	return len(set.candidates) == 0 || set.unreachable > len(set.candidates)
}

// wait queues a job until it is placed, cannot be placed any more, or the time or the
// context ends. It fails at once if the turn of the job comes too late.
func (q *queue) wait(ctx context.Context, j *job, until time.Time, lastErr error) (destination, error) {
	began := q.proxy.now()
	defer func() { j.waited += q.proxy.now().Sub(began) }()
	w := q.enter(j, until, lastErr, began)
	if w == nil {
		return destination{}, lastErr
	}
	select {
	case <-w.Value.done:
		return w.Value.dest, w.Value.err
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.line.Remove(w) {
		return w.Value.dest, w.Value.err // it was placed or refused meanwhile
	}
	if q.waiting.Add(-1) == 0 {
		q.notify()
	}
	return destination{}, ctx.Err()
}

// enter adds a job to the line, or returns nil if it may not wait.
func (q *queue) enter(j *job, until time.Time, lastErr error, now time.Time) *admission.Waiting[*waitingJob] {
	request := q.proxy.queueRequest(j, until)
	refusable := q.proxy.refusable(j)
	q.mu.Lock()
	defer q.mu.Unlock()
	if j.queuedBehind < 0 {
		j.queuedBehind = q.line.Ahead(request, now)
	}
	if refusable && !q.line.MayWait(request, now) {
		q.refusals++
		return nil
	}
	w := q.line.Add(request, &waitingJob{job: j, err: lastErr, done: make(chan struct{})})
	q.waiting.Add(1)
	switch {
	case !q.running:
		q.running, q.logAt = true, now.Add(queueLogInterval)
		go q.run()
	case q.line.Next(now) == w:
		q.notify()
	}
	return w
}

// refusable reports whether a job may be refused because its turn comes too late. Only a job
// that was sent nowhere can be refused without loss, and only the slots of engines end at a
// rate that tells when there is one.
func (p *Proxy) refusable(j *job) bool {
	return j.service.Engine != nil && j.sends == 0 && !j.responseStarted && !p.paths.Stranded()
}

// notify makes the goroutine try the next job.
func (q *queue) notify() {
	select {
	case q.arrived <- struct{}{}:
	default:
	}
}

// run places waiting jobs until none is left.
func (q *queue) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		changed := q.proxy.tracker.Changed()
		wakeAt, waiting := q.place()
		if !waiting {
			return
		}
		timer.Reset(max(0, wakeAt.Sub(q.proxy.now())))
		select {
		case <-changed:
		case <-q.arrived:
		case <-timer.C:
		}
	}
}

// place gives free slots to waiting jobs in their order and refuses those whose time has
// passed. It returns when to try again at the latest, or false if no job waits.
func (q *queue) place() (wakeAt time.Time, waiting bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.proxy.now()
	roomAt := q.grant(now)
	wakeAt = q.expire(now)
	if q.line.Len() == 0 {
		q.running = false
		q.logStatus(now)
		return time.Time{}, false
	}
	if !now.Before(q.logAt) {
		q.logStatus(now)
		q.logAt = now.Add(queueLogInterval)
	}
	for _, at := range []time.Time{roomAt, q.logAt} {
		if !at.IsZero() && at.Before(wakeAt) {
			wakeAt = at
		}
	}
	return wakeAt, true
}

// grant tries the next jobs until one fails for a reason that all of them share. It returns
// when an instance that takes no requests now takes one again, or zero.
func (q *queue) grant(now time.Time) (roomAt time.Time) {
	q.line.Retry()
	yielded := false
	for {
		w := q.line.Next(now)
		if w == nil {
			return roomAt
		}
		j := w.Value.job
		j.yields = q.line.Yields(w, now)
		dest, room, err := q.proxy.tryUnblocked(j)
		switch {
		case err == nil:
			q.grants++
			if dest.peer == nil {
				q.line.CountServed(j.workspace, q.proxy.work(j), now)
			}
			q.line.Grant(w, now)
			q.finish(w, dest, nil)
			if yielded {
				q.line.Retry() // the next grant may go by slack
				yielded = false
			}
			continue
		case mustNotWait(err, j.holdLimit(w.Request.ServeUntil, now)):
			q.refusals++
			q.line.Remove(w)
			q.finish(w, destination{}, err)
			continue
		}
		w.Value.err = err
		q.line.Skip(w)
		if !room.IsZero() && (roomAt.IsZero() || room.Before(roomAt)) {
			roomAt = room
		}
		if j.yields {
			// It may have left a slot to requests in time, also to less urgent ones.
			q.line.SkipYielding(now)
			yielded = true
			continue
		}
		if j.tryableAnywhere() {
			return roomAt // there is no slot for any other
		}
	}
}

// expire refuses the jobs whose time has passed, and returns when that of the next one
// passes.
func (q *queue) expire(now time.Time) time.Time {
	for {
		w, at := q.line.Expired(now)
		if w == nil {
			return at
		}
		q.refusals++
		q.line.Remove(w)
		q.finish(w, destination{}, w.Value.err)
	}
}

// finish tells the owner of a job, which is no longer in the line, what became of it.
func (q *queue) finish(w *admission.Waiting[*waitingJob], dest destination, err error) {
	q.waiting.Add(-1)
	w.Value.dest, w.Value.err = dest, err
	close(w.Value.done)
}

// logStatus logs the queue and what it did since the last line. It logs nothing for a queue
// that was empty again within the interval.
func (q *queue) logStatus(now time.Time) {
	if now.Before(q.logAt) {
		return
	}
	status := q.line.Status(now)
	_ = level.Info(q.proxy.logger).Log("event", "queue", "service", q.key.Service, "model", q.key.Model, "waiting", status.Waiting,
		"in_time", status.InTime, "oldest_ms", status.Oldest.Milliseconds(), "grants", q.grants, "refusals", q.refusals)
	q.grants, q.refusals = 0, 0
}

// tryableAnywhere reports whether only what all jobs of the queue share can keep a job from
// an instance: it excludes none itself, and may still be forwarded to any peer.
func (j *job) tryableAnywhere() bool {
	return len(j.failedInstances) == 0 && len(j.failedPeers) == 0 && j.repeatAt == "" && j.declines == 0 && j.forwardedBy == "" && !j.exhausted()
}
