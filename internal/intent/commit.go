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
	// maxQueuedEntries bounds the queue while appends fail. Above it, new
	// intents are refused; outcomes and abandonments are still queued.
	maxQueuedEntries    = 1000
	minAppendRetryDelay = 100 * time.Millisecond
	maxAppendRetryDelay = 5 * time.Second
)

// pendingEntry is an entry to be appended to the intent stream. Its fields are
// guarded by the mutex of the shard.
type pendingEntry struct {
	hash      Hash
	entry     *recordv1.IntentEntry
	retryable bool      // set for outcomes and abandonments: a failed append is repeated
	sentAt    time.Time // start of the latest append
	failedAt  time.Time // end of the latest failed append
}

// enqueue queues an entry for the next append. It returns false for an intent
// when the queue is full, and for every entry after the runner has closed.
func (s *shard) enqueue(p *pendingEntry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.enqueueLocked(p)
}

func (s *shard) enqueueLocked(p *pendingEntry) bool {
	if s.ctx.Err() != nil || !p.retryable && len(s.queue) >= maxQueuedEntries {
		return false
	}
	s.queue = append(s.queue, p)
	if !s.appending {
		s.appending = true
		s.tasks.Go(s.appendQueue)
	}
	select {
	case s.wakeAppender <- struct{}{}:
	default:
	}
	return true
}

// appendQueue appends the queued entries in batches, one record per batch, until
// the queue is empty or the runner has closed.
func (s *shard) appendQueue() {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval, retry.MaxInterval = minAppendRetryDelay, maxAppendRetryDelay
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
		case <-s.wakeAppender:
			// A newly queued entry ends the backoff early. The pause prevents a
			// busy loop.
			time.Sleep(minAppendRetryDelay / 2)
		case <-s.ctx.Done():
		}
		timer.Stop()
	}
}

// takeBatch removes the next batch from the queue. When the queue is empty or
// the runner has closed, it returns nil and marks the append loop as ended.
func (s *shard) takeBatch() []*pendingEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = slices.DeleteFunc(s.queue, s.alreadyLogged)
	if len(s.queue) == 0 || s.ctx.Err() != nil {
		s.appending = false
		s.broadcast()
		return nil
	}
	select {
	case <-s.wakeAppender:
	default:
	}
	now, size, count := time.Now(), 0, 0
	for count < len(s.queue) && count < maxBatchEntries && (count == 0 || size < maxBatchBytes) {
		s.queue[count].sentAt = now
		size += proto.Size(s.queue[count].entry)
		count++
	}
	batch := slices.Clone(s.queue[:count])
	s.queue = slices.Delete(s.queue, 0, count)
	return batch
}

// alreadyLogged reports whether an earlier append of the outcome or abandonment
// took effect although its answer was lost.
func (s *shard) alreadyLogged(p *pendingEntry) bool {
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

// appendBatch appends one record with the entries. If that fails, it puts the
// outcomes and abandonments back at the front of the queue, drops the intents
// and returns false.
func (s *shard) appendBatch(batch []*pendingEntry) bool {
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
	retries := make([]*pendingEntry, 0, len(batch))
	for _, p := range batch {
		p.failedAt = time.Now()
		if p.retryable {
			retries = append(retries, p)
		}
	}
	s.queue = append(retries, s.queue...)
	s.broadcast()
	return false
}

// withdraw cancels an attempt whose call was not sent to the service. An intent
// whose append has not started is removed from the queue; for any other an
// abandonment is appended.
func (s *shard) withdraw(p *pendingEntry, reason string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p.sentAt.IsZero() {
		s.queue = slices.DeleteFunc(s.queue, func(q *pendingEntry) bool { return q == p })
		return
	}
	s.enqueueLocked(&pendingEntry{
		hash:      p.hash,
		retryable: true,
		entry: &recordv1.IntentEntry{
			KeyHash:   p.hash[:],
			AttemptId: p.entry.GetAttemptId(),
			Body:      &recordv1.IntentEntry_Abandon{Abandon: &recordv1.Abandon{Reason: reason}},
		},
	})
}
