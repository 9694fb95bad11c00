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

const strikeTimeout = time.Second

var (
	errPermitLost = flamingodoor.Errorf(flamingodoor.CodePermitDenied, "permit of the cold endpoint could not be renewed")
	errCallerGone = flamingodoor.Errorf(flamingodoor.CodeStreamLost, "caller no longer takes the answer")
	// errRestarted means that the endpoint is no longer the process whose
	// state is known, so it may be cold.
	errRestarted = flamingodoor.NewError(flamingodoor.CodeEndpointFailed, flamingodoor.RunStateMayHaveRun,
		flamingodoor.Errorf(flamingodoor.CodeEndpointFailed, "endpoint has restarted"))
)

// Request is an admitted model request. MaxTokens counts the whole answer,
// resumed tokens included.
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

// Result describes a whole answer.
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
	refusals   int // attempts that an overloaded endpoint did not take
	tokens     int
	resumed    bool // has used the resume that needs no retry budget
	state      flamingodoor.RunState
	last       error // failure of the latest attempt
	isolated   bool  // is the only suspect in flight of this host
}

// Generate runs a request and hands its tokens to emit in order. A nil error
// means that the answer is complete; otherwise the run state of the error
// covers all attempts.
func (d *Dispatcher) Generate(ctx context.Context, request Request, emit func(text string) error) (Result, error) {
	if !request.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, request.Deadline)
		defer cancel()
	}
	d.parts.RetryBudget.Request(d.now())
	g := &generation{
		dispatcher: d, request: request, emit: emit,
		assembler: stream.NewAssembler(request.RequestID),
		state:     flamingodoor.RunStateNotRun,
		search: &search{
			find: func(now time.Time) []routing.Candidate {
				return d.groupCandidates(request.ModelID, request.Version, now)
			},
			request: routing.Request{
				Adapter: request.Adapter, Priority: request.Priority,
				Prefixes: routing.PrefixHashes(request.ModelID, request.Version, request.Adapter, request.Prompt),
			},
			avoid: map[string]time.Time{},
		},
	}
	err := g.run(ctx)
	if g.isolated {
		<-d.suspects
	}
	result := Result{FinishReason: g.assembler.FinishReason(), Tokens: g.tokens, Attempts: g.attempts}
	if err != nil {
		return result, flamingodoor.NewError(flamingodoor.CodeOf(err), g.state, err)
	}
	return result, nil
}

func (g *generation) run(ctx context.Context) error {
	d := g.dispatcher
	waitUntil := d.now()
	// A host that is not fresh refuses at once, so that the caller can go to
	// another host; a missing endpoint may only be restarting.
	if d.parts.Freshness.Fresh(waitUntil) {
		waitUntil = waitUntil.Add(d.endpointWait)
	}
	for {
		waited, err := g.isolate(ctx)
		if err != nil {
			return err
		}
		if waited {
			waitUntil = d.now().Add(d.endpointWait)
		}
		if d.parts.Strikes.Blocked(g.request.Fingerprint, d.now()) {
			return flamingodoor.Errorf(flamingodoor.CodePoisonRequest, "request has crashed endpoints before")
		}
		chosen, err := d.acquire(ctx, g.search, waitUntil)
		if err != nil {
			return g.explain(err)
		}
		if !d.maySend(g.search, chosen) {
			d.releasePermit(ctx, chosen)
			g.search.avoid[chosen.Leader.ID] = d.now().Add(firstSearchWait)
			continue
		}
		err = g.attempt(ctx, chosen)
		if err == nil {
			return nil
		}
		g.last = err
		if flamingodoor.CodeOf(err) == flamingodoor.CodeOverloaded {
			g.refusals++
			waitUntil = g.waitForRoom(ctx)
			continue
		}
		if !g.mayRetry(ctx, err) {
			return err
		}
		now := d.now()
		g.search.avoid[chosen.Leader.ID] = now.Add(d.avoidTime)
		waitUntil = now.Add(d.endpointWait)
		if g.tokens > 0 {
			waitUntil = now.Add(d.resumeWait)
		}
	}
}

// explain returns the failure of the latest attempt where it tells the caller
// more than the end of the search.
func (g *generation) explain(err error) error {
	switch code := flamingodoor.CodeOf(err); {
	case g.last == nil:
		return err
	case code == flamingodoor.CodeNoEndpoint,
		code == flamingodoor.CodeDeadlineExceeded && flamingodoor.CodeOf(g.last) == flamingodoor.CodeOverloaded:
		return g.last
	default:
		return err
	}
}

// waitForRoom holds a request that an overloaded endpoint did not take, and
// returns the time until which an endpoint may be missing. Without budget for a
// retry it waits, so that held requests add little to the overload.
func (g *generation) waitForRoom(ctx context.Context) (waitUntil time.Time) {
	d := g.dispatcher
	if !d.parts.RetryBudget.Retry(d.now()) {
		select {
		case <-time.After(d.avoidTime/2 + rand.N(max(d.avoidTime, 1))): //nolint:gosec // Spreads the repeats.
		case <-ctx.Done():
		}
	}
	return d.now().Add(d.endpointWait)
}

// isolate waits until no other suspect of this host is in flight if this
// request is one.
func (g *generation) isolate(ctx context.Context) (waited bool, err error) {
	d := g.dispatcher
	suspicion, suspect := d.parts.Strikes.MustRunAlone(g.request.Fingerprint, d.now())
	if g.isolated || !suspect {
		return false, nil
	}
	g.search.suspicion = &suspicion
	select {
	case d.suspects <- struct{}{}:
		g.isolated = true
		return true, nil
	case <-ctx.Done():
		return true, flamingodoor.NewError(flamingodoor.CodeDeadlineExceeded, flamingodoor.RunStateNotRun, context.Cause(ctx))
	}
}

func (g *generation) mayRetry(ctx context.Context, err error) bool {
	d := g.dispatcher
	now := d.now()
	switch {
	case ctx.Err() != nil, errors.Is(err, errCallerGone), g.attempts-g.refusals >= d.maxAttempts:
		return false
	case d.parts.Strikes.Blocked(g.request.Fingerprint, now):
		return true // the loop refuses the request with its own code
	case g.tokens > 0 && !g.resumed:
		// Breaking off an answer that has begun makes its caller run all of it
		// again, which costs more than one resume.
		g.resumed = true
		return true
	default:
		return d.parts.RetryBudget.Retry(now)
	}
}

// attempt sends the request once, from the tokens that the caller has.
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
	d.loads.add(t.Leader.ID, started, 1)
	err := g.exchange(ctx, t)
	d.loads.add(t.Leader.ID, d.now(), -1)
	if err == nil {
		d.releasePermit(parent, t)
		return nil
	}
	if cause := context.Cause(ctx); parent.Err() == nil && errors.Is(cause, errPermitLost) {
		err = flamingodoor.NewError(flamingodoor.CodeStreamLost, flamingodoor.RunStateOf(err), cause)
	}
	g.settle(parent, t, started, err)
	return err
}

func (g *generation) exchange(ctx context.Context, t target) error {
	chunks, err := g.dispatcher.parts.Engine.Generate(ctx, t.Leader, flamingodoor.GenerateRequest{
		RequestID: g.request.RequestID, Attempt: g.attempts,
		ModelID: g.request.ModelID, Version: g.request.Version, Adapter: g.request.Adapter,
		Prompt: g.request.Prompt, MaxTokens: g.request.MaxTokens, Priority: g.request.Priority,
		Resume: g.assembler.Begin(g.attempts), FencingNumber: t.Group.FencingNumber,
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

// settle deals with the endpoint of a failed attempt before the request is
// retried or answered.
func (g *generation) settle(ctx context.Context, t target, started time.Time, err error) {
	d := g.dispatcher
	mayHaveRun := flamingodoor.RunStateOf(err) != flamingodoor.RunStateNotRun
	if mayHaveRun {
		g.state = max(g.state, flamingodoor.RunStateMayHaveRun)
		d.cancelAttempt(ctx, t, g.request.RequestID, g.attempts)
	} else {
		d.releasePermit(ctx, t)
	}
	if g.tokens > 0 {
		g.state = flamingodoor.RunStateRan
	}
	_ = level.Warn(d.parts.Logger).Log("event", "attempt_failed", "request_id", g.request.RequestID, "attempt", g.attempts,
		"endpoint", t.Leader.ID, "group", t.Group.ID, "run_state", g.state, "err", err)
	ownFault := ctx.Err() != nil || errors.Is(err, errCallerGone) || errors.Is(err, errPermitLost)
	if ownFault || flamingodoor.CodeOf(err) == flamingodoor.CodeOverloaded {
		return
	}
	// A host with old evidence can send to a process that others saw crash; the
	// request had no part in that crash.
	suspect := mayHaveRun && !errors.Is(err, errRestarted) && !d.parts.Strikes.CrashedBefore(t.Report.Incarnation, started)
	if suspect && d.crashed(ctx, t, err) {
		strikeContext, cancel := context.WithTimeout(context.WithoutCancel(ctx), strikeTimeout)
		d.parts.Strikes.ReportCrash(strikeContext, g.request.Fingerprint, t.Report.Incarnation)
		cancel()
	}
	d.parts.HealthRecorder.Suspect(t.Leader.ID, d.now())
}

// crashed reports whether the process that failed the attempt is gone. After
// a stall an endpoint that cannot be reached is only cut off, unless its host
// refuses the connection.
func (d *Dispatcher) crashed(ctx context.Context, t target, failure error) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), d.probeTimeout)
	defer cancel()
	report, err := d.parts.Engine.Report(ctx, t.Leader)
	if err == nil {
		return report.Incarnation != t.Report.Incarnation
	}
	if errors.Is(failure, engine.ErrNoProgress) {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	return true
}
