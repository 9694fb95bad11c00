package intent

import (
	"context"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
)

const (
	recordVersion   = 1
	appendTimeout   = 3 * time.Second
	maxBatchEntries = 256
	maxBatchBytes   = 512 << 10
	// maxQueued bounds the entries that wait while appends fail. New intents
	// are refused above it.
	maxQueued         = 1000
	firstAppendRetry  = 100 * time.Millisecond
	longestAppendWait = 5 * time.Second
)

// pending is an entry that waits for its append. Its fields are guarded by the
// mutex of the shard.
type pending struct {
	hash    Hash
	entry   *recordv1.IntentEntry
	retried bool // outcomes and abandonments are appended until they are in the log
	sent    time.Time
	failed  time.Time
}

// submit queues an entry. It reports false for an intent when too many entries
// wait, and for every entry after the runner has closed.
func (s *shard) submit(p *pending) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.submitLocked(p)
}

func (s *shard) submitLocked(p *pending) bool {
	if s.ctx.Err() != nil || !p.retried && len(s.queue) >= maxQueued {
		return false
	}
	s.queue = append(s.queue, p)
	if !s.appending {
		s.appending = true
		s.tasks.Go(s.appendQueue)
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return true
}

// appendQueue appends the waiting entries, one record at a time, until none
// waits.
func (s *shard) appendQueue() {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = firstAppendRetry, longestAppendWait
	for {
		batch := s.takeBatch()
		if batch == nil {
			return
		}
		if s.appendBatch(batch) {
			retry.Reset()
			continue
		}
		timer := time.NewTimer(retry.NextBackOff())
		select {
		case <-timer.C:
		case <-s.wake:
			// A new intent is tried at once, but not in a busy loop.
			time.Sleep(firstAppendRetry / 2)
		case <-s.ctx.Done():
		}
		timer.Stop()
	}
}

// takeBatch returns nil and ends the appending when nothing waits.
func (s *shard) takeBatch() []*pending {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = slices.DeleteFunc(s.queue, s.needless)
	if len(s.queue) == 0 || s.ctx.Err() != nil {
		s.appending = false
		s.broadcast()
		return nil
	}
	select {
	case <-s.wake:
	default:
	}
	now, size, count := time.Now(), 0, 0
	for count < len(s.queue) && count < maxBatchEntries && (count == 0 || size < maxBatchBytes) {
		s.queue[count].sent = now
		size += proto.Size(s.queue[count].entry)
		count++
	}
	batch := slices.Clone(s.queue[:count])
	s.queue = slices.Delete(s.queue, 0, count)
	return batch
}

// needless reports whether an earlier append of the entry took effect although
// its answer was lost.
func (s *shard) needless(p *pending) bool {
	id := p.entry.GetAttemptId()
	switch p.entry.GetBody().(type) {
	case *recordv1.IntentEntry_Abandon:
		return s.index.Abandoned(p.hash, id)
	case *recordv1.IntentEntry_Outcome:
		state := s.index.Lookup(p.hash)
		return state.Attempt == id && state.Outcome != 0
	default:
		return false
	}
}

func (s *shard) appendBatch(batch []*pending) bool {
	record := &recordv1.IntentRecord{Version: recordVersion}
	for _, p := range batch {
		record.Entries = append(record.Entries, p.entry)
	}
	data, err := proto.Marshal(record)
	if err == nil {
		ctx, cancel := context.WithTimeout(s.ctx, appendTimeout)
		_, err = s.log.Append(ctx, s.stream, data)
		cancel()
	}
	if err == nil {
		return true
	}
	_ = level.Warn(s.logger).Log("event", "intent_append_failed", "stream", s.stream, "entries", len(batch), "err", err)
	s.mu.Lock()
	defer s.mu.Unlock()
	again := make([]*pending, 0, len(batch))
	for _, p := range batch {
		p.failed = time.Now()
		if p.retried {
			again = append(again, p)
		}
	}
	s.queue = append(again, s.queue...)
	s.broadcast()
	return false
}

// withdraw makes sure that the attempt never counts: an intent that was not
// sent leaves the queue, any other one is abandoned.
func (s *shard) withdraw(p *pending, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.sent.IsZero() {
		s.queue = slices.DeleteFunc(s.queue, func(q *pending) bool { return q == p })
		return
	}
	s.submitLocked(&pending{
		hash:    p.hash,
		retried: true,
		entry: &recordv1.IntentEntry{
			KeyHash:   p.hash[:],
			AttemptId: p.entry.GetAttemptId(),
			Body:      &recordv1.IntentEntry_Abandon{Abandon: &recordv1.Abandon{Reason: reason}},
		},
	})
}
