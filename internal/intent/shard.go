package intent

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"flamingodoor.example/flamingodoor"
	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
)

const (
	readLimit   = 256
	tailWait    = time.Second
	readTimeout = 5 * time.Second
	readRetry   = 200 * time.Millisecond
	// followIdle is how long a shard is followed after its last use.
	followIdle = 10 * time.Minute
	// tailRecent is how old the last read of the tail may be for a decision.
	tailRecent = 3 * time.Second
	trimEvery  = 10 * time.Minute
	// failedReads in a row mean that the log cannot be read.
	failedReads = 2
)

// shard follows one intent stream and appends to it.
type shard struct {
	ctx    context.Context // ends when the runner closes
	tasks  *sync.WaitGroup
	stream string
	log    flamingodoor.Log
	logger log.Logger

	mu        sync.Mutex
	index     *Index
	next      uint64
	tailAt    time.Time // end of the latest read that reached the tail
	readFrom  time.Time // start of the latest read
	reads     uint64    // successful reads
	failures  int       // failed reads since the last successful one
	future    bool      // a record of a future version stops the shard
	retention time.Duration
	following bool
	usedAt    time.Time
	trimmedAt time.Time
	changed   chan struct{}

	queue     []*pending
	appending bool
	wake      chan struct{}
}

func newShard(ctx context.Context, tasks *sync.WaitGroup, stream string, parts Parts) *shard {
	return &shard{
		ctx:     ctx,
		tasks:   tasks,
		stream:  stream,
		log:     parts.Log,
		logger:  parts.Logger,
		index:   NewIndex(),
		next:    1,
		changed: make(chan struct{}),
		wake:    make(chan struct{}, 1),
	}
}

// use keeps the shard followed for a while.
func (s *shard) use() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usedAt = time.Now()
	if !s.following && s.ctx.Err() == nil {
		s.following = true
		s.failures = 0
		s.tasks.Go(s.follow)
	}
}

func (s *shard) follow() {
	for s.keepsFollowing() {
		if s.read() {
			continue
		}
		timer := time.NewTimer(readRetry)
		select {
		case <-timer.C:
		case <-s.ctx.Done():
		}
		timer.Stop()
	}
}

func (s *shard) keepsFollowing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.following = s.ctx.Err() == nil && !s.future && (len(s.queue) > 0 || time.Since(s.usedAt) < followIdle)
	return s.following
}

func (s *shard) read() bool {
	s.mu.Lock()
	next, start := s.next, time.Now()
	until := start
	if start.Sub(s.tailAt) < tailRecent {
		until = start.Add(tailWait) // calls may wait for the tail otherwise
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, readTimeout)
	page, err := s.log.Read(ctx, s.stream, next, readLimit, until)
	cancel()

	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.broadcast()
	if err != nil && (flamingodoor.CodeOf(err) != flamingodoor.CodeTrimmed || page.First <= next) {
		s.failures++
		if s.failures == failedReads && s.ctx.Err() == nil {
			_ = level.Warn(s.logger).Log("event", "intent_read_failed", "stream", s.stream, "err", err)
		}
		return false
	}
	s.apply(page, start)
	return true
}

func (s *shard) apply(page flamingodoor.LogPage, start time.Time) {
	now := time.Now()
	s.failures = 0
	s.reads++
	s.readFrom = start
	s.retention = page.Retention
	if page.First > s.next {
		// The dropped records belong to keys that have expired.
		s.next = page.First
	}
	if now.Sub(s.trimmedAt) > trimEvery {
		s.trimmedAt = now
		s.index.Trim(page.First, now)
	}
	for _, entry := range page.Entries {
		if entry.Offset < s.next {
			continue
		}
		record := &recordv1.IntentRecord{}
		if err := proto.Unmarshal(entry.Data, record); err != nil {
			record = &recordv1.IntentRecord{} // ignored by every host alike
		}
		if record.GetVersion() > recordVersion {
			s.future = true
			_ = level.Error(s.logger).Log("event", "future_intent_record", "stream", s.stream, "offset", entry.Offset)
			return
		}
		s.index.Apply(entry.Offset, record, now)
		s.next = entry.Offset + 1
	}
	if s.next >= page.Next {
		s.tailAt = now
	}
}

// broadcast wakes all waiters. It must hold the mutex.
func (s *shard) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// wait calls done after each change, with the mutex held, until it returns
// true or a zero time is left. The function until may depend on the state.
func (s *shard) wait(ctx context.Context, until func() time.Time, done func() bool) bool {
	for {
		s.mu.Lock()
		if done() {
			s.mu.Unlock()
			return true
		}
		changed, left := s.changed, time.Until(until())
		s.mu.Unlock()
		if left <= 0 {
			return false
		}
		timer := time.NewTimer(left)
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		case <-s.ctx.Done():
		}
		timer.Stop()
		if ctx.Err() != nil || s.ctx.Err() != nil {
			return false
		}
	}
}

// ready waits until the index has reached the tail of the stream. It gives up
// when reads fail or make no progress.
func (s *shard) ready(ctx context.Context, deadline time.Time) error {
	progressed, reads := time.Now(), uint64(0)
	until := func() time.Time {
		if s.reads != reads {
			progressed, reads = time.Now(), s.reads
		}
		return earlier(deadline, progressed.Add(tailRecent))
	}
	ready := false
	s.wait(ctx, until, func() bool {
		ready = !s.future && !s.tailAt.IsZero() && time.Since(s.tailAt) <= tailRecent
		return ready || s.future || s.failures >= failedReads
	})
	if ready {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.future {
		return flamingodoor.Errorf(flamingodoor.CodeFutureRecord, "stream %s has a record of a future version", s.stream)
	}
	return flamingodoor.Errorf(flamingodoor.CodeLogUnavailable, "stream %s cannot be read", s.stream)
}

func (s *shard) lookup(hash Hash) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index.Lookup(hash)
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
