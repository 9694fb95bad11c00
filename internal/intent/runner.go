package intent

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"flamingodoor.example/flamingodoor"
	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
)

const (
	// dispatchWindow is how long after the start of its append an attempt may
	// be dispatched, and the maximum age of the log read that confirms it.
	dispatchWindow = 5 * time.Second
	// failedAppendGrace is how long an attempt whose append failed waits for
	// its intent to appear in the log, since the append may have taken effect.
	failedAppendGrace     = 500 * time.Millisecond
	defaultMaxOutcomeWait = 10 * time.Second
	// defaultCallTimeout applies to calls without a deadline.
	defaultCallTimeout = 30 * time.Second
	// maxRecordedBody is the largest body, in bytes, that an outcome records.
	maxRecordedBody = 64 << 10
	fetchAttempts   = 3
	fetchRetryDelay = 100 * time.Millisecond
	// omittedBodyType is the content type of an outcome whose body was too
	// large to record.
	omittedBodyType = "application/vnd.flamingodoor.omitted-answer"
)

// Parts are the dependencies of a Runner. Without a Logger nothing is logged.
type Parts struct {
	HostID     string
	Log        flamingodoor.Log
	Dispatcher flamingodoor.ServiceDispatcher
	Logger     log.Logger
}

// Option changes a default of a Runner.
type Option func(*Runner)

// WithMaxOutcomeWait sets how long a call waits for the outcome of an earlier
// call with the same key.
func WithMaxOutcomeWait(wait time.Duration) Option {
	return func(r *Runner) { r.maxOutcomeWait = wait }
}

// Runner runs non-idempotent calls on this host. It dispatches a call only if
// its intent is the first of its key in the log that has not been abandoned.
type Runner struct {
	parts          Parts
	maxOutcomeWait time.Duration
	ctx            context.Context
	stop           context.CancelFunc
	tasks          sync.WaitGroup

	mu     sync.Mutex
	shards map[string]*shard
}

var _ flamingodoor.OnceRunner = (*Runner)(nil)

// NewRunner returns a runner. It starts to follow a shard when a call needs the
// shard, and stops when the shard is idle or at Close.
func NewRunner(parts Parts, options ...Option) *Runner {
	if parts.Logger == nil {
		parts.Logger = log.NewNopLogger()
	}
	r := &Runner{parts: parts, maxOutcomeWait: defaultMaxOutcomeWait, shards: make(map[string]*shard)}
	r.ctx, r.stop = context.WithCancel(context.Background())
	for _, option := range options {
		option(r)
	}
	return r
}

// Close waits until all outcomes and abandonments are in the log or the context
// ends, and then stops the runner. All calls must have returned, and none may be
// started later.
func (r *Runner) Close(ctx context.Context) {
	r.mu.Lock()
	shards := slices.Collect(maps.Values(r.shards))
	r.mu.Unlock()
	for _, s := range shards {
		s.wait(ctx, func() time.Time { return time.Now().Add(time.Hour) }, func() bool { return !s.appending })
	}
	r.stop()
	r.tasks.Wait()
}

// RunOnce runs the call, or returns the recorded answer if a call with the same
// key has run. The run state of an error describes all calls with that key, as
// far as this host knows.
func (r *Runner) RunOnce(ctx context.Context, call flamingodoor.ServiceCall) (flamingodoor.ServiceAnswer, error) {
	now := time.Now()
	k, err := parseKey(call, now)
	if err != nil {
		return flamingodoor.ServiceAnswer{}, err
	}
	call.Deadline = callDeadline(ctx, call, now)
	s := r.shard(k.hash.Stream())
	s.ensureFollowing()
	if s.lookup(k.hash).Attempt == "" {
		err = s.waitForTail(ctx, call.Deadline)
	}
	if s.lookup(k.hash).Attempt != "" {
		answer, noneAhead, err := r.awaitOutcome(ctx, s, k, "", call.Deadline)
		if !noneAhead {
			return answer, err
		}
	} else if err != nil {
		return flamingodoor.ServiceAnswer{}, err
	}
	if err := s.checkRetention(); err != nil {
		return flamingodoor.ServiceAnswer{}, err
	}
	return r.attempt(ctx, s, k, call)
}

// callDeadline returns the earlier of the deadlines of the call and the context.
// A call without a deadline gets one after defaultCallTimeout.
func callDeadline(ctx context.Context, call flamingodoor.ServiceCall, now time.Time) time.Time {
	deadline := call.Deadline
	if deadline.IsZero() {
		deadline = now.Add(defaultCallTimeout)
	}
	if limit, ok := ctx.Deadline(); ok {
		deadline = earlier(deadline, limit)
	}
	return deadline
}

// shard returns the shard of a stream and creates it if needed.
func (r *Runner) shard(stream string) *shard {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.shards[stream]
	if !ok {
		s = newShard(r.ctx, &r.tasks, stream, r.parts)
		r.shards[stream] = s
	}
	return s
}

// checkRetention returns an error if the log does not keep records long enough
// to detect every repeat of a key.
func (s *shard) checkRetention() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retention < MinRetention {
		return flamingodoor.Errorf(flamingodoor.CodeLogUnavailable, "the log keeps records for %s, but at least %s is needed", s.retention, MinRetention)
	}
	return nil
}

// attempt appends an intent and dispatches the call if no earlier intent of the
// key is live. Otherwise it waits for the outcome of the earlier attempt.
func (r *Runner) attempt(ctx context.Context, s *shard, k key, call flamingodoor.ServiceCall) (flamingodoor.ServiceAnswer, error) {
	id := uuid.NewString()
	p := &pendingEntry{hash: k.hash, entry: &recordv1.IntentEntry{
		KeyHash:   k.hash[:],
		AttemptId: id,
		Body: &recordv1.IntentEntry_Intent{Intent: &recordv1.Intent{
			Fingerprint: k.fingerprint[:],
			HostId:      r.parts.HostID,
		}},
	}}
	if !s.enqueue(p) {
		return flamingodoor.ServiceAnswer{}, flamingodoor.Errorf(flamingodoor.CodeLogUnavailable, "the append queue of stream %s is full", s.stream)
	}
	confirmed := s.wait(ctx, func() time.Time { return p.confirmDeadline(call.Deadline) }, func() bool { return s.index.HasIntent(k.hash, id) })
	if !confirmed {
		return flamingodoor.ServiceAnswer{}, s.abort(p, call.Deadline)
	}
	if s.lookup(k.hash).Attempt != id {
		answer, noneAhead, err := r.awaitOutcome(ctx, s, k, id, call.Deadline)
		if !noneAhead {
			if s.lookup(k.hash).Outcome == 0 {
				s.withdraw(p, "another attempt came first")
			}
			return answer, err
		}
	}
	if ctx.Err() != nil || !s.mayDispatch(p, call.Deadline) {
		return flamingodoor.ServiceAnswer{}, s.abort(p, call.Deadline)
	}
	return r.dispatch(ctx, s, p, call)
}

// confirmDeadline returns when to stop waiting for the intent to appear in the
// log. The caller must hold the mutex of the shard.
func (p *pendingEntry) confirmDeadline(deadline time.Time) time.Time {
	if !p.sentAt.IsZero() {
		deadline = earlier(deadline, p.sentAt.Add(dispatchWindow))
	}
	if !p.failedAt.IsZero() {
		deadline = earlier(deadline, p.failedAt.Add(failedAppendGrace))
	}
	return deadline
}

// mayDispatch reports whether the deadline has not passed, and the append of the
// intent and the latest read both began within dispatchWindow. It must be called
// right before the dispatch.
func (s *shard) mayDispatch(p *pendingEntry, deadline time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	return now.Before(deadline) && now.Sub(p.sentAt) < dispatchWindow && now.Sub(s.readStartedAt) < dispatchWindow
}

// abort withdraws an attempt that was not dispatched and returns the error for
// the caller. Its run state is RunStateNotRun unless another attempt of the key
// may have run.
func (s *shard) abort(p *pendingEntry, deadline time.Time) error {
	s.withdraw(p, "not dispatched in time")
	s.mu.Lock()
	contested := s.index.HasOtherIntent(p.hash, p.entry.GetAttemptId())
	s.mu.Unlock()
	if contested {
		return outcomeUnknown()
	}
	if !time.Now().Before(deadline) {
		return flamingodoor.Errorf(flamingodoor.CodeDeadlineExceeded, "the deadline passed before the call was dispatched")
	}
	return flamingodoor.Errorf(flamingodoor.CodeLogUnavailable, "the log did not confirm the intent in time")
}

// dispatch sends the call to the service and queues its outcome. It continues
// when the caller's context ends, so that the outcome is recorded anyway.
func (r *Runner) dispatch(ctx context.Context, s *shard, p *pendingEntry, call flamingodoor.ServiceCall) (flamingodoor.ServiceAnswer, error) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), call.Deadline)
	defer cancel()
	answer, err := r.parts.Dispatcher.DispatchOnce(ctx, call)
	if err == nil {
		s.enqueue(&pendingEntry{hash: p.hash, retryable: true, entry: outcomeEntry(p, answer)})
		return answer, nil
	}
	if flamingodoor.RunStateOf(err) == flamingodoor.RunStateNotRun {
		s.withdraw(p, "dispatch failed before sending")
	}
	return flamingodoor.ServiceAnswer{}, err
}

// outcomeEntry returns the entry that records an answer, without its body if
// that is too large.
func outcomeEntry(p *pendingEntry, answer flamingodoor.ServiceAnswer) *recordv1.IntentEntry {
	outcome := &recordv1.Outcome{
		Status:      encodeStatus(answer.Status),
		ContentType: answer.ContentType,
		Body:        answer.Body,
	}
	if len(answer.Body) > maxRecordedBody {
		outcome.ContentType, outcome.Body = omittedBodyType, nil
	}
	return &recordv1.IntentEntry{
		KeyHash:   p.hash[:],
		AttemptId: p.entry.GetAttemptId(),
		Body:      &recordv1.IntentEntry_Outcome{Outcome: outcome},
	}
}

// awaitOutcome waits for the outcome of the attempt that may dispatch. noneAhead
// reports that no live attempt is ahead of the caller's own, so that there is
// nothing to wait for; own is empty if the caller has no attempt yet.
func (r *Runner) awaitOutcome(ctx context.Context, s *shard, k key, own string, deadline time.Time) (answer flamingodoor.ServiceAnswer, noneAhead bool, err error) {
	deadline = earlier(deadline, time.Now().Add(r.maxOutcomeWait))
	var state State
	s.wait(ctx, func() time.Time { return deadline }, func() bool {
		state = s.index.Lookup(k.hash)
		return state.Attempt == own || state.Outcome != 0 || state.Fingerprint != k.fingerprint
	})
	switch {
	case state.Attempt == own:
		return answer, true, nil
	case state.Fingerprint != k.fingerprint:
		return answer, false, flamingodoor.Errorf(flamingodoor.CodeKeyReused, "the idempotency key was used for another request")
	case state.Outcome == 0:
		return answer, false, outcomeUnknown()
	}
	answer, err = s.fetchOutcome(ctx, state, k.hash)
	return answer, false, err
}

// outcomeUnknown returns the error for a key whose call may have run.
func outcomeUnknown() error {
	return flamingodoor.NewError(flamingodoor.CodeOutcomeUnknown, flamingodoor.RunStateMayHaveRun,
		flamingodoor.Errorf(flamingodoor.CodeOutcomeUnknown, "the outcome of an earlier call with this idempotency key is unknown"))
}

// fetchOutcome reads the recorded answer from the log. The index keeps only its
// offset, because the answers of a day would not fit in the memory of an entry
// host.
func (s *shard) fetchOutcome(ctx context.Context, state State, hash Hash) (flamingodoor.ServiceAnswer, error) {
	var err error
	for attempt := range fetchAttempts {
		if attempt > 0 {
			time.Sleep(fetchRetryDelay)
		}
		readCtx, cancel := context.WithTimeout(ctx, maxTailAge)
		var page flamingodoor.LogPage
		page, err = s.log.Read(readCtx, s.stream, state.Outcome, 1, time.Now())
		cancel()
		if err == nil && len(page.Entries) > 0 && page.Entries[0].Offset == state.Outcome {
			return decodeOutcome(page.Entries[0].Data, state, hash)
		}
	}
	if err == nil {
		err = flamingodoor.Errorf(flamingodoor.CodeTrimmed, "the log no longer keeps record %d of stream %s", state.Outcome, s.stream)
	}
	return flamingodoor.ServiceAnswer{}, flamingodoor.NewError(flamingodoor.CodeLogUnavailable, flamingodoor.RunStateRan, err)
}

// decodeOutcome returns the answer that the record holds for the key.
func decodeOutcome(data []byte, state State, hash Hash) (flamingodoor.ServiceAnswer, error) {
	record := &recordv1.IntentRecord{}
	if err := proto.Unmarshal(data, record); err != nil {
		err = flamingodoor.Errorf(flamingodoor.CodeUnreadableRecord, "decode record %d, which holds the outcome: %w", state.Outcome, err)
		return flamingodoor.ServiceAnswer{}, flamingodoor.NewError(flamingodoor.CodeUnreadableRecord, flamingodoor.RunStateRan, err)
	}
	for _, entry := range record.GetEntries() {
		outcome := entry.GetOutcome()
		if outcome == nil || entry.GetAttemptId() != state.Attempt || Hash(entry.GetKeyHash()) != hash {
			continue
		}
		if outcome.GetContentType() == omittedBodyType {
			return flamingodoor.ServiceAnswer{}, flamingodoor.NewError(flamingodoor.CodeTooLarge, flamingodoor.RunStateRan,
				flamingodoor.Errorf(flamingodoor.CodeTooLarge, "the call ran with status %d; its answer was too large to record", outcome.GetStatus()))
		}
		return flamingodoor.ServiceAnswer{
			Status:      int(outcome.GetStatus()),
			ContentType: outcome.GetContentType(),
			Body:        outcome.GetBody(),
			Repeated:    true,
		}, nil
	}
	return flamingodoor.ServiceAnswer{}, flamingodoor.NewError(flamingodoor.CodeUnreadableRecord, flamingodoor.RunStateRan,
		flamingodoor.Errorf(flamingodoor.CodeUnreadableRecord, "record %d holds no outcome of the attempt", state.Outcome))
}
