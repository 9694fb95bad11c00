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
	// dispatchWindow is how long an attempt may be dispatched after its append
	// was sent, and the greatest age of the log read that confirms it.
	dispatchWindow = 5 * time.Second
	// failedGrace is how long an attempt waits for its record after its append
	// failed, since the append may have taken effect.
	failedGrace     = 500 * time.Millisecond
	longestWait     = 10 * time.Second
	defaultDeadline = 30 * time.Second
	maxRecordedBody = 64 << 10
	fetchAttempts   = 3
	fetchRetry      = 100 * time.Millisecond
	// omittedAnswer is the content type of an outcome whose body was too large
	// to record.
	omittedAnswer = "application/vnd.flamingodoor.omitted-answer"
)

// Parts are what a Runner works with.
type Parts struct {
	HostID     string
	Log        flamingodoor.Log
	Dispatcher flamingodoor.ServiceDispatcher
	Logger     log.Logger
}

// Option changes a setting of a Runner.
type Option func(*Runner)

// WithMaxOutcomeWait sets how long a repeat waits for the outcome of the first
// call.
func WithMaxOutcomeWait(wait time.Duration) Option {
	return func(r *Runner) { r.longestWait = wait }
}

// Runner runs non-idempotent calls by the order of the log.
type Runner struct {
	parts       Parts
	longestWait time.Duration
	ctx         context.Context
	stop        context.CancelFunc
	tasks       sync.WaitGroup

	mu     sync.Mutex
	shards map[string]*shard
}

var _ flamingodoor.OnceRunner = (*Runner)(nil)

// NewRunner returns a runner. It follows a shard from the first call on that
// needs it, until Close.
func NewRunner(parts Parts, options ...Option) *Runner {
	if parts.Logger == nil {
		parts.Logger = log.NewNopLogger()
	}
	r := &Runner{parts: parts, longestWait: longestWait, shards: make(map[string]*shard)}
	r.ctx, r.stop = context.WithCancel(context.Background())
	for _, option := range options {
		option(r)
	}
	return r
}

// Close waits until the outcomes and abandonments are in the log or the
// context ends, and stops. No calls may run any more.
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

// RunOnce runs the call unless a call with the same key ran. The run state of
// an error is that of the key as far as this host knows it.
func (r *Runner) RunOnce(ctx context.Context, call flamingodoor.ServiceCall) (flamingodoor.ServiceAnswer, error) {
	now := time.Now()
	k, err := keyOf(call, now)
	if err != nil {
		return flamingodoor.ServiceAnswer{}, err
	}
	call.Deadline = deadlineOf(ctx, call, now)
	s := r.shard(k.hash.Stream())
	s.use()
	if s.lookup(k.hash).Attempt == "" {
		err = s.ready(ctx, call.Deadline)
	}
	if s.lookup(k.hash).Attempt != "" {
		answer, free, err := r.await(ctx, s, k, "", call.Deadline)
		if !free {
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

func deadlineOf(ctx context.Context, call flamingodoor.ServiceCall, now time.Time) time.Time {
	deadline := call.Deadline
	if deadline.IsZero() {
		deadline = now.Add(defaultDeadline)
	}
	if limit, ok := ctx.Deadline(); ok {
		deadline = earlier(deadline, limit)
	}
	return deadline
}

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

func (s *shard) checkRetention() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retention < MinRetention {
		return flamingodoor.Errorf(flamingodoor.CodeLogUnavailable, "the log keeps records for %s instead of %s", s.retention, MinRetention)
	}
	return nil
}

// attempt appends an intent and dispatches the call if the intent wins.
func (r *Runner) attempt(ctx context.Context, s *shard, k key, call flamingodoor.ServiceCall) (flamingodoor.ServiceAnswer, error) {
	id := uuid.NewString()
	p := &pending{hash: k.hash, entry: &recordv1.IntentEntry{
		KeyHash:   k.hash[:],
		AttemptId: id,
		Body: &recordv1.IntentEntry_Intent{Intent: &recordv1.Intent{
			Fingerprint: k.fingerprint[:],
			HostId:      r.parts.HostID,
		}},
	}}
	if !s.submit(p) {
		return flamingodoor.ServiceAnswer{}, flamingodoor.Errorf(flamingodoor.CodeLogUnavailable, "too many appends to stream %s wait", s.stream)
	}
	seen := s.wait(ctx, func() time.Time { return p.giveUpAt(call.Deadline) }, func() bool { return s.index.HasIntent(k.hash, id) })
	if !seen {
		return flamingodoor.ServiceAnswer{}, s.giveUp(p, call.Deadline)
	}
	if s.lookup(k.hash).Attempt != id {
		answer, free, err := r.await(ctx, s, k, id, call.Deadline)
		if !free {
			if s.lookup(k.hash).Outcome == 0 {
				s.withdraw(p, "another attempt came first")
			}
			return answer, err
		}
	}
	if ctx.Err() != nil || !s.mayDispatch(p, call.Deadline) {
		return flamingodoor.ServiceAnswer{}, s.giveUp(p, call.Deadline)
	}
	return r.dispatch(ctx, s, p, call)
}

// giveUpAt must hold the mutex of the shard.
func (p *pending) giveUpAt(deadline time.Time) time.Time {
	if !p.sent.IsZero() {
		deadline = earlier(deadline, p.sent.Add(dispatchWindow))
	}
	if !p.failed.IsZero() {
		deadline = earlier(deadline, p.failed.Add(failedGrace))
	}
	return deadline
}

// mayDispatch is checked just before sending.
func (s *shard) mayDispatch(p *pending, deadline time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	return now.Before(deadline) && now.Sub(p.sent) < dispatchWindow && now.Sub(s.readFrom) < dispatchWindow
}

// giveUp withdraws an attempt that was not dispatched. The answer is not run
// unless another attempt of the key may run.
func (s *shard) giveUp(p *pending, deadline time.Time) error {
	s.withdraw(p, "not dispatched in time")
	s.mu.Lock()
	other := s.index.HasOtherIntent(p.hash, p.entry.GetAttemptId())
	s.mu.Unlock()
	if other {
		return outcomeUnknown()
	}
	if !time.Now().Before(deadline) {
		return flamingodoor.Errorf(flamingodoor.CodeDeadlineExceeded, "the deadline passed before the dispatch")
	}
	return flamingodoor.Errorf(flamingodoor.CodeLogUnavailable, "the intent was not confirmed in time")
}

// dispatch sends the call. It does not end with the caller's context, so that
// the outcome is recorded when the caller goes away.
func (r *Runner) dispatch(ctx context.Context, s *shard, p *pending, call flamingodoor.ServiceCall) (flamingodoor.ServiceAnswer, error) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), call.Deadline)
	defer cancel()
	answer, err := r.parts.Dispatcher.DispatchOnce(ctx, call)
	if err == nil {
		s.submit(&pending{hash: p.hash, retried: true, entry: outcomeEntry(p, answer)})
		return answer, nil
	}
	if flamingodoor.RunStateOf(err) == flamingodoor.RunStateNotRun {
		s.withdraw(p, "dispatch failed before sending")
	}
	return flamingodoor.ServiceAnswer{}, err
}

func outcomeEntry(p *pending, answer flamingodoor.ServiceAnswer) *recordv1.IntentEntry {
	outcome := &recordv1.Outcome{
		Status:      encodeStatus(answer.Status),
		ContentType: answer.ContentType,
		Body:        answer.Body,
	}
	if len(answer.Body) > maxRecordedBody {
		outcome.ContentType, outcome.Body = omittedAnswer, nil
	}
	return &recordv1.IntentEntry{
		KeyHash:   p.hash[:],
		AttemptId: p.entry.GetAttemptId(),
		Body:      &recordv1.IntentEntry_Outcome{Outcome: outcome},
	}
}

// await waits for the outcome of the winning attempt. It returns free when no
// attempt but the caller's own is left.
func (r *Runner) await(ctx context.Context, s *shard, k key, own string, deadline time.Time) (answer flamingodoor.ServiceAnswer, free bool, err error) {
	deadline = earlier(deadline, time.Now().Add(r.longestWait))
	var state State
	s.wait(ctx, func() time.Time { return deadline }, func() bool {
		state = s.index.Lookup(k.hash)
		return state.Attempt == own || state.Outcome != 0 || state.Fingerprint != k.fingerprint
	})
	switch {
	case state.Attempt == own:
		return answer, true, nil
	case state.Fingerprint != k.fingerprint:
		return answer, false, flamingodoor.Errorf(flamingodoor.CodeKeyReused, "the idempotency key belongs to another request")
	case state.Outcome == 0:
		return answer, false, outcomeUnknown()
	}
	answer, err = s.fetch(ctx, state, k.hash)
	return answer, false, err
}

func outcomeUnknown() error {
	return flamingodoor.NewError(flamingodoor.CodeOutcomeUnknown, flamingodoor.RunStateMayHaveRun,
		flamingodoor.Errorf(flamingodoor.CodeOutcomeUnknown, "the outcome of the first call with this key is unknown"))
}

// fetch reads the recorded answer. The index keeps offsets only, because the
// answers of a day would not fit in an entry host's memory.
func (s *shard) fetch(ctx context.Context, state State, hash Hash) (flamingodoor.ServiceAnswer, error) {
	var err error
	for attempt := range fetchAttempts {
		if attempt > 0 {
			time.Sleep(fetchRetry)
		}
		readCtx, cancel := context.WithTimeout(ctx, tailRecent)
		var page flamingodoor.LogPage
		page, err = s.log.Read(readCtx, s.stream, state.Outcome, 1, time.Now())
		cancel()
		if err == nil && len(page.Entries) > 0 && page.Entries[0].Offset == state.Outcome {
			return decodeOutcome(page.Entries[0].Data, state, hash)
		}
	}
	if err == nil {
		err = flamingodoor.Errorf(flamingodoor.CodeTrimmed, "record %d of stream %s is not kept", state.Outcome, s.stream)
	}
	return flamingodoor.ServiceAnswer{}, flamingodoor.NewError(flamingodoor.CodeLogUnavailable, flamingodoor.RunStateRan, err)
}

func decodeOutcome(data []byte, state State, hash Hash) (flamingodoor.ServiceAnswer, error) {
	record := &recordv1.IntentRecord{}
	if err := proto.Unmarshal(data, record); err != nil {
		return flamingodoor.ServiceAnswer{}, flamingodoor.NewError(flamingodoor.CodeUnreadableRecord, flamingodoor.RunStateRan, err)
	}
	for _, entry := range record.GetEntries() {
		outcome := entry.GetOutcome()
		if outcome == nil || entry.GetAttemptId() != state.Attempt || Hash(entry.GetKeyHash()) != hash {
			continue
		}
		if outcome.GetContentType() == omittedAnswer {
			return flamingodoor.ServiceAnswer{}, flamingodoor.NewError(flamingodoor.CodeTooLarge, flamingodoor.RunStateRan,
				flamingodoor.Errorf(flamingodoor.CodeTooLarge, "the call ran with status %d; its answer was too large to keep", outcome.GetStatus()))
		}
		return flamingodoor.ServiceAnswer{
			Status:      int(outcome.GetStatus()),
			ContentType: outcome.GetContentType(),
			Body:        outcome.GetBody(),
			Repeated:    true,
		}, nil
	}
	return flamingodoor.ServiceAnswer{}, flamingodoor.NewError(flamingodoor.CodeUnreadableRecord, flamingodoor.RunStateRan,
		flamingodoor.Errorf(flamingodoor.CodeUnreadableRecord, "record %d holds no outcome of the key", state.Outcome))
}
