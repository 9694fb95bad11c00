package proxy

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor/internal/hedging"
)

// hedges starts second attempts at streams whose first event is late. A nil pointer starts
// none.
type hedges struct {
	proxy  *Proxy
	delays *hedging.Delays
	budget *hedging.Budget

	started      atomic.Int64
	won          atomic.Int64
	milliseconds atomic.Int64 // of engine time
}

// HedgeCounts are the hedges since this host started.
type HedgeCounts struct {
	Started    int64
	Won        int64
	EngineTime time.Duration // estimated
}

// WithHedgeLimit sets the share of the engine time of requests that hedges may use. At 0,
// the default, there are none.
func WithHedgeLimit(limit float64) Option {
	return func(p *Proxy) {
		p.hedges = nil
		if limit > 0 {
			p.hedges = &hedges{proxy: p, delays: hedging.NewDelays(), budget: hedging.NewBudget(limit)}
		}
	}
}

// HedgeCounts returns the number of hedges.
func (p *Proxy) HedgeCounts() HedgeCounts {
	h := p.hedges
	if h == nil {
		return HedgeCounts{}
	}
	return HedgeCounts{Started: h.started.Load(), Won: h.won.Load(), EngineTime: time.Duration(h.milliseconds.Load()) * time.Millisecond}
}

// begin counts and measures an attempt that is about to be made, if it is the first at an
// engine, and sets the timer of its hedge, if the job may have one. The returned function
// is called when the attempt has ended.
func (h *hedges) begin(j *job, attempt *hedge) (ended func(runner *streamRunner)) {
	if h == nil || j.sends > 0 || attempt.dest.group == nil {
		return func(*streamRunner) {}
	}
	now := h.proxy.now()
	if j.engineSeconds == 0 { // an attempt that was not sent may have been counted before
		j.engineSeconds = h.proxy.demand.Work(j.service, j.model, j.promptTokens, j.maxOutputTokens)
		h.budget.CountRequest(j.engineSeconds, now)
	}
	if !j.repeatable() {
		return func(*streamRunner) {}
	}
	j.measuredFrom = now
	attempt.base.engineSeconds = j.engineSeconds
	timer := h.startTimer(j, attempt, now)
	return func(runner *streamRunner) {
		if timer != nil {
			timer.Stop()
		}
		if !j.measuredFrom.IsZero() && errors.Is(context.Cause(runner.ctx), errSuperseded) {
			ended := h.proxy.now()
			h.delays.Add(hedgeKey(j), ended.Sub(j.measuredFrom), ended)
		}
		j.measuredFrom = time.Time{}
	}
}

// startTimer returns the timer of the hedge of an attempt, or nil if it can have none. The
// host that forwards a request does not know the group that serves it, and leaves the
// request to one host; neither of them hedges it.
func (h *hedges) startTimer(j *job, attempt *hedge, now time.Time) *time.Timer {
	if j.forwardedBy != "" || j.repeatAt != "" || j.route.MaxAttempts < 2 {
		return nil
	}
	delay, ok := h.delays.Delay(hedgeKey(j), now)
	if !ok {
		return nil
	}
	return time.AfterFunc(delay, func() { attempt.startHedge(delay) })
}

// firstEvent records the first event of a stream.
func (h *hedges) firstEvent(j *job) {
	if h == nil {
		return
	}
	if !j.measuredFrom.IsZero() {
		h.delays.Add(hedgeKey(j), j.firstEventAt.Sub(j.measuredFrom), j.firstEventAt)
		j.measuredFrom = time.Time{}
	}
	if j.isHedge && !j.hedgeWon {
		j.hedgeWon = true
		h.won.Add(1)
	}
}

func hedgeKey(j *job) hedging.Key {
	return hedging.Key{Route: j.route.Name, Model: j.model, Size: hedging.SizeClassOf(j.promptTokens)}
}

// acquire reserves a slot for a hedge at another group than that of the first attempt, if
// there is one now and the limits allow it. A retry that is granted but finds no slot is
// lost to the budget, so that the load and the limit are checked before.
func (h *hedges) acquire(ctx context.Context, j *job, first destination) (destination, bool) {
	p := h.proxy
	if p.paths.Stranded() || p.paths.Suspected() {
		return destination{}, false // another attempt would be forwarded
	}
	now := p.now()
	if !h.budget.Available(j.engineSeconds, now) || !p.hedgeLoad(j, first, now).HasRoom() {
		return destination{}, false
	}
	if !p.mayRepeat(ctx, j) || !j.retryGranted {
		return destination{}, false
	}
	dest, _, err := p.tryAcquire(j)
	if err != nil {
		return destination{}, false
	}
	if dest.peer != nil || dest.group == nil || dest.group.Key() == first.group.Key() {
		p.release(j, dest)
		return destination{}, false
	}
	return dest, true
}

// hedgeLoad returns the load of the model of a job.
func (p *Proxy) hedgeLoad(j *job, first destination, now time.Time) hedging.Load {
	load := hedging.Load{RequestWaits: p.firstAttemptWaits(j)}
	size := 0
	for _, model := range j.service.Engine.Models {
		if model.ID == j.model {
			size = model.InstancesPerGroup
		}
	}
	view := p.roster.View()
	for _, group := range view.Groups {
		if group.Service != j.service.Name || group.ModelID != j.model || !view.Serving(group, size, now) {
			continue
		}
		head := group.Head().Instance
		if p.catalogue.Evacuated(head.DataCentre) || view.Unreachable(head, now) {
			continue
		}
		inUse := p.tracker.InFlight(head.ID)
		load.Slots += head.Slots
		load.InUse += min(inUse, head.Slots) // requests beyond the slots wait in the engine
		load.OtherGroupHasOne = load.OtherGroupHasOne || (head.ID != first.instance.ID && inUse < head.Slots)
	}
	return load
}

// firstAttemptWaits reports whether a first attempt at the model of a job waits for a slot.
func (p *Proxy) firstAttemptWaits(j *job) bool {
	return p.queueOf(j).waiting.Load() > 0
}

// startHedge makes a hedge if the attempt has had no event for the given time, and nothing
// speaks against a second attempt now.
func (h *hedge) startHedge(delay time.Duration) {
	if sent := h.client.sent(); sent.started || sent.events > 0 {
		return
	}
	h.mu.Lock()
	if h.ended || h.backup != nil || h.started {
		h.mu.Unlock()
		return
	}
	current := &backup{job: h.base.copy(), done: make(chan struct{})}
	current.job.isHedge = true
	current.job.countAttempt(h.dest)
	current.job.exclude(h.dest)
	h.backup = current
	h.mu.Unlock()

	current.outcome = outcomeFailed
	dest, ok := h.proxy.hedges.acquire(h.client.ctx, &current.job, h.dest)
	if ok {
		ok = h.runHedge(current, dest, delay)
	}
	h.endHedge(current, dest, ok)
}

// runHedge makes a hedge at a destination that was acquired, and reports whether it was
// allowed to begin.
func (h *hedge) runHedge(current *backup, dest destination, delay time.Duration) bool {
	runner, leave := h.client.enter()
	defer leave()
	// From here on, an event of the first attempt ends this runner. If one came before, the
	// hedge would repeat events that have no identifiers.
	if h.client.sent().started || !h.chargeHedge(current, runner, dest, delay) {
		h.proxy.release(&current.job, dest)
		return false
	}
	current.outcome = h.attemptHedge(runner, &current.job, dest)
	return true
}

// chargeHedge takes a hedge from the limit and counts it, unless the first attempt has ended
// or the limit is used up.
func (h *hedge) chargeHedge(current *backup, runner *streamRunner, dest destination, delay time.Duration) bool {
	p, j := h.proxy, &current.job
	h.mu.Lock()
	allowed := !h.ended && p.hedges.budget.Charge(j.engineSeconds, p.now())
	if allowed {
		h.started, current.runner = true, runner
		h.sends, h.exempt = j.sends, j.exemptSends
	}
	h.mu.Unlock()
	if !allowed {
		return false
	}
	engineTime := time.Duration(j.engineSeconds * float64(time.Second))
	p.hedges.started.Add(1)
	p.hedges.milliseconds.Add(engineTime.Milliseconds())
	_ = level.Info(p.logger).Log("event", "hedge", "request", j.id, "model", j.model, "first", h.dest.id(), "instance", dest.id(), "delay_ms", delay.Milliseconds(), "engine_ms", engineTime.Milliseconds())
	return true
}

// attemptHedge makes the attempt of a hedge. Once it has had the first event, it goes on
// with the stream like any attempt; before that, the first attempt does.
func (h *hedge) attemptHedge(runner *streamRunner, j *job, dest destination) outcome {
	p := h.proxy
	result, again := p.runAttempt(runner, j, dest, h.client)
	if !again || !j.hedgeWon {
		return result
	}
	result, err := p.runStream(runner, j, h.client, p.now().Add(maxResumeWait))
	if err != nil {
		j.cause = err.Error()
	}
	return result
}

// endHedge records the end of a hedge. If it did not end the stream, a suspicion that came
// meanwhile begins a backup.
func (h *hedge) endHedge(current *backup, dest destination, started bool) {
	j := &current.job
	if started {
		_ = level.Info(h.proxy.logger).Log("event", "hedge_ended", "request", j.id, "first", h.dest.id(), "instance", dest.id(), "won", j.hedgeWon, "ended_stream", current.outcome.final(), "cause", j.cause)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	defer close(current.done)
	if started && current.outcome.final() {
		return
	}
	h.backup = nil
	if started {
		j.isHedge = false
		delete(j.failedInstances, h.dest.instance.ID) // the first attempt has not failed
		h.base = *j
	}
	if h.suspicion != nil && !h.ended {
		h.beginBackup(h.suspicion)
	}
}
