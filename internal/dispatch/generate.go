package dispatch

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/engine"
	"flamingodoor.example/flamingodoor/internal/routing"
	"flamingodoor.example/flamingodoor/internal/stream"
)

// strikeTimeout limits how long a request waits until its strike is reported. A
// strike records that the request was in flight when an engine crashed.
const strikeTimeout = time.Second

var (
	errPermitLost = flamingodoor.Errorf(flamingodoor.CodePermitDenied, "permit of the cold endpoint could not be renewed")
	errCallerGone = flamingodoor.Errorf(flamingodoor.CodeStreamLost, "caller no longer reads the answer")
	// errRestarted means that the engine process is not the one whose report is
	// known. The new process may be cold.
	errRestarted = flamingodoor.NewError(flamingodoor.CodeEndpointFailed, flamingodoor.RunStateMayHaveRun,
		flamingodoor.Errorf(flamingodoor.CodeEndpointFailed, "endpoint has restarted"))
)

// Request is an admitted model request. MaxTokens limits the whole answer,
// including the tokens of earlier attempts.
type Request struct {
	RequestID   string
	ClubID      string
	ModelID     string
	Version     string
	Adapter     string
	Prompt      string
	MaxTokens   int
	Priority    int
	Deadline    time.Time
	Fingerprint flamingodoor.Fingerprint
}

// Result describes the answer to a request, which is partial after an error.
type Result struct {
	FinishReason string
	Tokens       int
	Attempts     int
}

// generation is one request in progress.
type generation struct {
	dispatcher *Dispatcher
	request    Request
	emit       func(text string) error
	search     *search
	assembler  *stream.Assembler
	attempts   int
	overloads  int // attempts that an overloaded engine refused
	tokens     int // tokens passed to emit
	// freeResumeUsed is set once the request has used its one resume that needs
	// no retry budget.
	freeResumeUsed bool
	runState       flamingodoor.RunState // over all attempts
	lastErr        error                 // failure of the latest attempt
	// holdsSuspectSlot is set while the request occupies the dispatcher's slot
	// for suspects.
	holdsSuspectSlot bool
}

// Generate runs a request and passes its tokens to emit in order. A nil error
// means that the answer is complete. The run state of an error covers all
// attempts.
func (d *Dispatcher) Generate(ctx context.Context, request Request, emit func(text string) error) (Result, error) {
	if !request.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, request.Deadline)
		defer cancel()
	}
	d.parts.RetryBudget.CountRequest(d.now())
	g := &generation{
		dispatcher: d, request: request, emit: emit,
		assembler: stream.NewAssembler(request.RequestID),
		runState:  flamingodoor.RunStateNotRun,
		search: &search{
			listCandidates: func(now time.Time) []routing.Candidate {
				return d.groupCandidates(request.ModelID, request.Version, now)
			},
			request: routing.Request{
				Adapter: request.Adapter, Priority: request.Priority,
				Prefixes: routing.PrefixHashes(request.ModelID, request.Version, request.Adapter, request.Prompt),
			},
			avoidUntil: map[string]time.Time{},
		},
	}
	err := g.run(ctx)
	if g.holdsSuspectSlot {
		<-d.suspectSlot
	}
	result := Result{FinishReason: g.assembler.FinishReason(), Tokens: g.tokens, Attempts: g.attempts}
	if err != nil {
		return result, flamingodoor.NewError(flamingodoor.CodeOf(err), g.runState, err)
	}
	return result, nil
}

func (g *generation) run(ctx context.Context) error {
	d := g.dispatcher
	waitUntil := d.now()
	// A host without a valid freshness lease refuses at once, so that the
	// caller can try another host. With a valid lease it waits, because a
	// missing endpoint may just be restarting.
	if d.parts.Freshness.Fresh(waitUntil) {
		waitUntil = waitUntil.Add(d.endpointWait)
	}
	for {
		slotNeeded, err := g.acquireSuspectSlot(ctx)
		if err != nil {
			return err
		}
		if slotNeeded {
			waitUntil = d.now().Add(d.endpointWait)
		}
		if d.parts.CrashTracker.Blocked(g.request.Fingerprint, d.now()) {
			return flamingodoor.Errorf(flamingodoor.CodePoisonRequest, "request is blocked: it was in flight at repeated endpoint crashes")
		}
		chosen, err := d.acquireTarget(ctx, g.search, waitUntil)
		if err != nil {
			return g.finalError(err)
		}
		if !d.maySend(g.search, chosen) {
			d.releasePermit(ctx, chosen)
			g.search.avoidUntil[chosen.Endpoint.ID] = d.now().Add(firstSearchWait)
			continue
		}
		err = g.attempt(ctx, chosen)
		if err == nil {
			return nil
		}
		g.lastErr = err
		if flamingodoor.CodeOf(err) == flamingodoor.CodeOverloaded {
			g.overloads++
			waitUntil = g.waitAfterOverload(ctx)
			continue
		}
		if !g.mayRetry(ctx, err) {
			return err
		}
		now := d.now()
		g.search.avoidUntil[chosen.Endpoint.ID] = now.Add(d.avoidTime)
		waitUntil = now.Add(d.endpointWait)
		if g.tokens > 0 {
			waitUntil = now.Add(d.resumeWait)
		}
	}
}

// finalError returns the failure of the latest attempt if that is more useful
// to the caller than err, the reason why no further endpoint was found.
func (g *generation) finalError(err error) error {
	switch code := flamingodoor.CodeOf(err); {
	case g.lastErr == nil:
		return err
	case code == flamingodoor.CodeNoEndpoint,
		code == flamingodoor.CodeDeadlineExceeded && flamingodoor.CodeOf(g.lastErr) == flamingodoor.CodeOverloaded:
		return g.lastErr
	default:
		return err
	}
}

// waitAfterOverload delays a request that an overloaded engine refused if the
// retry budget is used up, so that such requests add little to the overload. It
// returns the time until which the next attempt may wait for an endpoint.
func (g *generation) waitAfterOverload(ctx context.Context) (waitUntil time.Time) {
	d := g.dispatcher
	if !d.parts.RetryBudget.TryRetry(d.now()) {
		select {
		case <-time.After(d.avoidTime/2 + rand.N(max(d.avoidTime, 1))): //nolint:gosec // jitter between attempts
		case <-ctx.Done():
		}
	}
	return d.now().Add(d.endpointWait)
}

// acquireSuspectSlot waits, if the request is a suspect, until no other suspect
// of this host is in flight. slotNeeded reports whether the request is a suspect
// that did not hold the slot before this call, which may then have waited.
func (g *generation) acquireSuspectSlot(ctx context.Context) (slotNeeded bool, err error) {
	d := g.dispatcher
	suspicion, suspect := d.parts.CrashTracker.MustRunAlone(g.request.Fingerprint, d.now())
	if g.holdsSuspectSlot || !suspect {
		return false, nil
	}
	g.search.suspicion = &suspicion
	select {
	case d.suspectSlot <- struct{}{}:
		g.holdsSuspectSlot = true
		return true, nil
	case <-ctx.Done():
		return true, flamingodoor.NewError(flamingodoor.CodeDeadlineExceeded, flamingodoor.RunStateNotRun, context.Cause(ctx))
	}
}

// mayRetry reports whether run continues with another attempt after err. It
// charges the retry budget, except for the first resume of a partial answer.
func (g *generation) mayRetry(ctx context.Context, err error) bool {
	d := g.dispatcher
	now := d.now()
	switch {
	case ctx.Err() != nil, errors.Is(err, errCallerGone), g.attempts-g.overloads >= d.maxAttempts:
		return false
	case d.parts.CrashTracker.Blocked(g.request.Fingerprint, now):
		return true // run then refuses the request with CodePoisonRequest
	case g.tokens > 0 && !g.freeResumeUsed:
		// If a partial answer fails, its caller repeats the whole request,
		// which costs more than one resume.
		g.freeResumeUsed = true
		return true
	default:
		return d.parts.RetryBudget.TryRetry(now)
	}
}

// attempt sends the request once and resumes after the tokens that the caller
// already has.
func (g *generation) attempt(parent context.Context, t target) error {
	d := g.dispatcher
	g.attempts++
	ctx, cancel := context.WithCancelCause(parent)
	defer cancel(nil)
	if t.permit != nil {
		ctx = engine.ContextWithFirstChunkTimeout(ctx, d.coldFirstChunkTimeout)
		finished := make(chan struct{})
		defer close(finished)
		go func() {
			select {
			case <-t.permit.Lost():
				cancel(errPermitLost)
			case <-finished:
			}
		}()
	}
	started := d.now()
	d.loads.add(t.Endpoint.ID, started, 1)
	err := g.streamAnswer(ctx, t)
	d.loads.add(t.Endpoint.ID, d.now(), -1)
	if err == nil {
		d.releasePermit(parent, t)
		return nil
	}
	if cause := context.Cause(ctx); parent.Err() == nil && errors.Is(cause, errPermitLost) {
		err = flamingodoor.NewError(flamingodoor.CodeStreamLost, flamingodoor.RunStateOf(err), cause)
	}
	g.handleFailure(parent, t, started, err)
	return err
}

// streamAnswer sends the request to the engine and passes on its tokens until
// the answer is complete.
func (g *generation) streamAnswer(ctx context.Context, t target) error {
	chunks, err := g.dispatcher.parts.Engine.Generate(ctx, t.Endpoint, flamingodoor.GenerateRequest{
		RequestID: g.request.RequestID, Attempt: g.attempts,
		ModelID: g.request.ModelID, Version: g.request.Version, Adapter: g.request.Adapter,
		Prompt: g.request.Prompt, MaxTokens: g.request.MaxTokens, Priority: g.request.Priority,
		Resume: g.assembler.BeginAttempt(g.attempts), FencingNumber: t.Group.FencingNumber,
	})
	if err != nil {
		return err
	}
	defer func() { _ = chunks.Close() }()
	if incarnation := chunks.Incarnation(); incarnation != "" && incarnation != t.Report.Incarnation {
		return errRestarted
	}
	for !g.assembler.Complete() {
		chunk, err := chunks.Next()
		if errors.Is(err, io.EOF) {
			return flamingodoor.NewError(flamingodoor.CodeStreamLost, flamingodoor.RunStateMayHaveRun, io.ErrUnexpectedEOF)
		}
		if err != nil {
			return err
		}
		released, err := g.assembler.Accept(chunk)
		if err != nil {
			return err
		}
		for _, text := range released {
			g.tokens++
			if err := g.emit(text); err != nil {
				return flamingodoor.NewError(flamingodoor.CodeStreamLost, flamingodoor.RunStateRan, errors.Join(errCallerGone, err))
			}
		}
	}
	return nil
}

// handleFailure processes a failed attempt before the request is retried or
// answered: it cancels the attempt or releases the permit, reports a strike if
// the engine process crashed, and discards the endpoint's health evidence.
func (g *generation) handleFailure(ctx context.Context, t target, started time.Time, err error) {
	d := g.dispatcher
	mayHaveRun := flamingodoor.RunStateOf(err) != flamingodoor.RunStateNotRun
	if mayHaveRun {
		g.runState = max(g.runState, flamingodoor.RunStateMayHaveRun)
		d.cancelAttempt(ctx, t, g.request.RequestID, g.attempts)
	} else {
		d.releasePermit(ctx, t)
	}
	if g.tokens > 0 {
		g.runState = flamingodoor.RunStateRan
	}
	_ = level.Warn(d.parts.Logger).Log("event", "attempt_failed", "request_id", g.request.RequestID, "attempt", g.attempts,
		"endpoint", t.Endpoint.ID, "group", t.Group.ID, "run_state", g.runState, "err", err)
	endpointNotAtFault := ctx.Err() != nil || errors.Is(err, errCallerGone) || errors.Is(err, errPermitLost)
	if endpointNotAtFault || flamingodoor.CodeOf(err) == flamingodoor.CodeOverloaded {
		return
	}
	// With outdated evidence a host can send to a process whose crash others
	// have already reported. The request cannot have caused that crash.
	requestMayBeAtFault := mayHaveRun && !errors.Is(err, errRestarted) && !d.parts.CrashTracker.CrashedBefore(t.Report.Incarnation, started)
	if requestMayBeAtFault && d.processCrashed(ctx, t, err) {
		strikeContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), strikeTimeout)
		d.parts.CrashTracker.ReportCrash(strikeContext, g.request.Fingerprint, t.Report.Incarnation)
		cancel()
	}
	d.parts.HealthRecorder.Invalidate(t.Endpoint.ID, d.now())
}

// processCrashed reports whether the process that failed the attempt is gone.
// If it stalled and cannot be reached now, the cause may be the network: it
// counts as crashed only if the connection is refused.
func (d *Dispatcher) processCrashed(ctx context.Context, t target, failure error) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), d.probeTimeout)
	defer cancel()
	report, err := d.parts.Engine.Report(ctx, t.Endpoint)
	if err == nil {
		return report.Incarnation != t.Report.Incarnation
	}
	if errors.Is(failure, engine.ErrNoProgress) {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	return true
}
