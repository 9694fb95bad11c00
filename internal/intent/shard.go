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
	maxReadEntries = 256
	// tailWait is how long a read at the tail waits for new records.
	tailWait       = time.Second
	readTimeout    = 5 * time.Second
	readRetryDelay = 200 * time.Millisecond
	// followIdleTimeout is how long a shard is followed after its last use.
	followIdleTimeout = 10 * time.Minute
	// maxTailAge is the longest time after a read has reached the tail during
	// which the index counts as current. A call that waits for a current index
	// fails if no read succeeds for this long. It is also the timeout of each
	// read of an outcome.
	maxTailAge   = 3 * time.Second
	trimInterval = 10 * time.Minute
	// maxReadFailures is the number of consecutive failed reads after which the
	// log counts as unavailable.
	maxReadFailures = 2
)

// shard follows one intent stream, indexes its records and appends to it.
type shard struct {
	ctx    context.Context // ends when the runner closes
	tasks  *sync.WaitGroup
	stream string
	log    flamingodoor.Log
	logger log.Logger

	mu            sync.Mutex
	index         *Index
	nextOffset    uint64    // first offset that is not applied
	tailReachedAt time.Time // end of the latest read that reached the tail
	readStartedAt time.Time // start of the latest successful read
	reads         uint64    // successful reads
	readFailures  int       // failed reads since the last successful one
	futureRecord  bool      // a record of a future version was read; the shard has stopped
	retention     time.Duration
	following     bool // the goroutine of follow is running
	usedAt        time.Time
	trimmedAt     time.Time     // latest Trim of the index
	changed       chan struct{} // closed and replaced by broadcast

	queue        []*pendingEntry
	appending    bool          // the goroutine of appendQueue is running
	wakeAppender chan struct{} // signals appendQueue that an entry was queued
}

func newShard(ctx context.Context, tasks *sync.WaitGroup, stream string, parts Parts) *shard {
	return &shard{
		ctx:          ctx,
		tasks:        tasks,
		stream:       stream,
		log:          parts.Log,
		logger:       parts.Logger,
		index:        NewIndex(),
		nextOffset:   1,
		changed:      make(chan struct{}),
		wakeAppender: make(chan struct{}, 1),
	}
}

// ensureFollowing marks the shard as used and starts follow unless it is running.
// The stream is followed until the shard has been unused for followIdleTimeout.
func (s *shard) ensureFollowing() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usedAt = time.Now()
	if !s.following && s.ctx.Err() == nil {
		s.following = true
		s.readFailures = 0
		s.tasks.Go(s.follow)
	}
}

// follow reads the stream until the shard is idle, the runner closes or a record
// of a future version is read.
func (s *shard) follow() {
	for s.updateFollowing() {
		if s.read() {
			continue
		}
		timer := time.NewTimer(readRetryDelay)
		select {
		case <-timer.C:
		case <-s.ctx.Done():
		}
		timer.Stop()
	}
}

// updateFollowing sets s.following to whether the stream must still be read, and
// returns it.
func (s *shard) updateFollowing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.following = s.ctx.Err() == nil && !s.futureRecord && (len(s.queue) > 0 || time.Since(s.usedAt) < followIdleTimeout)
	return s.following
}

// read reads and applies the next records. It returns false if the read failed.
// If the next record was trimmed, the read counts as successful, and the next
// read starts at the first retained offset.
func (s *shard) read() bool {
	s.mu.Lock()
	next, start := s.nextOffset, time.Now()
	until := start
	if start.Sub(s.tailReachedAt) < maxTailAge {
		// When the index is not current, calls may be waiting for this read, so
		// it must not wait at the tail.
		until = start.Add(tailWait)
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(s.ctx, readTimeout)
	page, err := s.log.Read(ctx, s.stream, next, maxReadEntries, until)
	cancel()

	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.broadcast()
	if err != nil && (flamingodoor.CodeOf(err) != flamingodoor.CodeTrimmed || page.First <= next) {
		s.readFailures++
		if s.readFailures == maxReadFailures && s.ctx.Err() == nil {
			_ = level.Warn(s.logger).Log("event", "intent_read_failed", "stream", s.stream, "err", err)
		}
		return false
	}
	s.apply(page, start)
	return true
}

// apply applies a page whose read began at the start time. The caller must hold
// the mutex.
func (s *shard) apply(page flamingodoor.LogPage, start time.Time) {
	now := time.Now()
	s.readFailures = 0
	s.reads++
	s.readStartedAt = start
	s.retention = page.Retention
	if page.First > s.nextOffset {
		// The trimmed records belong to keys that have expired.
		s.nextOffset = page.First
	}
	if now.Sub(s.trimmedAt) > trimInterval {
		s.trimmedAt = now
		s.index.Trim(page.First, now)
	}
	for _, entry := range page.Entries {
		if entry.Offset < s.nextOffset {
			continue
		}
		record := &recordv1.IntentRecord{}
		if err := proto.Unmarshal(entry.Data, record); err != nil {
			record = &recordv1.IntentRecord{} // every host ignores an unreadable record
		}
		if record.GetVersion() > recordVersion {
			s.futureRecord = true
			_ = level.Error(s.logger).Log("event", "future_intent_record", "stream", s.stream, "offset", entry.Offset)
			return
		}
		s.index.Apply(entry.Offset, record, now)
		s.nextOffset = entry.Offset + 1
	}
	if s.nextOffset >= page.Next {
		s.tailReachedAt = now
	}
}

// broadcast wakes all calls of wait. The caller must hold the mutex.
func (s *shard) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// wait blocks until the condition holds and returns true, or returns false once
// the deadline has passed, the context has ended or the runner has closed. Both
// functions are called after each change, with the mutex held, so the deadline
// can depend on the state of the shard.
func (s *shard) wait(ctx context.Context, deadline func() time.Time, condition func() bool) bool {
	for {
		s.mu.Lock()
		if condition() {
			s.mu.Unlock()
			return true
		}
		changed, remaining := s.changed, time.Until(deadline())
		s.mu.Unlock()
		if remaining <= 0 {
			return false
		}
		timer := time.NewTimer(remaining)
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

// waitForTail waits until the index is current: until a read has reached the tail
// of the stream within maxTailAge. It returns an error when reads fail, none
// succeeds within maxTailAge, the deadline passes or the context ends.
func (s *shard) waitForTail(ctx context.Context, deadline time.Time) error {
	progressedAt, reads := time.Now(), uint64(0)
	progressDeadline := func() time.Time {
		if s.reads != reads {
			progressedAt, reads = time.Now(), s.reads
		}
		return earlier(deadline, progressedAt.Add(maxTailAge))
	}
	current := false
	s.wait(ctx, progressDeadline, func() bool {
		current = !s.futureRecord && !s.tailReachedAt.IsZero() && time.Since(s.tailReachedAt) <= maxTailAge
		return current || s.futureRecord || s.readFailures >= maxReadFailures
	})
	if current {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.futureRecord {
		return flamingodoor.Errorf(flamingodoor.CodeFutureRecord, "stream %s contains a record of a future version", s.stream)
	}
	return flamingodoor.Errorf(flamingodoor.CodeLogUnavailable, "stream %s could not be read to its tail in time", s.stream)
}

// lookup returns the state of a key.
func (s *shard) lookup(hash Hash) State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index.Lookup(hash)
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
