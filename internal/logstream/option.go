// Package logstream appends records to the config stream of the platform's log
// and applies the stream to the registry of this host.
package logstream

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log"

	"flamingodoor.example/flamingodoor"
)

const (
	// defaultPollWait is how long a read waits at the tail. It must stay below
	// the 3 s that a freshness lease lasts from the start of the read.
	defaultPollWait = time.Second
	// readMargin is how long a read may take beyond its wait at the tail. It
	// allows for a log that delays each call by 2 s before that wait. A
	// connection that stops responding is closed earlier by HTTP/2 pings.
	readMargin     = 4 * time.Second
	maxPageRecords = 500

	defaultAppendTimeout    = 3 * time.Second
	defaultAppendRetryDelay = 500 * time.Millisecond
	maxAppendRetryDelay     = 4 * time.Second

	minReadRetryDelay = 50 * time.Millisecond
	maxReadRetryDelay = time.Second

	defaultCheckInterval = 5 * time.Second
	defaultRankDelay     = 2 * time.Second
	// checkpointRecords is the number of records that may follow a checkpoint
	// before the next one is due.
	checkpointRecords = 512
)

type settings struct {
	logger           log.Logger
	pollWait         time.Duration
	appendTimeout    time.Duration
	appendRetryDelay time.Duration
	tailReached      func(readStart time.Time)
	peerSource       func(ctx context.Context, from uint64) ([]flamingodoor.LogEntry, error)
	snapshotSource   func(ctx context.Context) ([]byte, error)
	retention        func() time.Duration
	checkInterval    time.Duration
	rankDelay        time.Duration
}

// Option changes a default of a Recorder, a Follower or a Checkpointer.
type Option func(*settings)

// WithLogger sets the logger. By default nothing is logged.
func WithLogger(logger log.Logger) Option {
	return func(s *settings) { s.logger = logger }
}

// WithPollWait sets how long each read of a follower waits at the tail for new
// records.
func WithPollWait(wait time.Duration) Option {
	return func(s *settings) { s.pollWait = wait }
}

// WithAppendTimeout sets the timeout of each append of a recorder.
func WithAppendTimeout(timeout time.Duration) Option {
	return func(s *settings) { s.appendTimeout = timeout }
}

// WithAppendRetryDelay sets how long a recorder waits after the first failed
// append before it appends again. The delay grows up to 4 s with each failure.
func WithAppendRetryDelay(delay time.Duration) Option {
	return func(s *settings) { s.appendRetryDelay = delay }
}

// WithTailReached sets a function that a follower calls after each read that
// reached the tail, once its records are applied. The argument is the time at
// which the read started.
func WithTailReached(reached func(readStart time.Time)) Option {
	return func(s *settings) { s.tailReached = reached }
}

// WithPeerSource sets the function that returns records of a peer from an offset
// on, which a follower calls while reads of the log fail. After an error with
// CodeTrimmed the follower installs a snapshot instead.
func WithPeerSource(source func(ctx context.Context, from uint64) ([]flamingodoor.LogEntry, error)) Option {
	return func(s *settings) { s.peerSource = source }
}

// WithSnapshotSource sets the function that returns an encoded state, which a
// follower calls when reads of the log fail at its start, or when the records it
// needs were trimmed.
func WithSnapshotSource(source func(ctx context.Context) ([]byte, error)) Option {
	return func(s *settings) { s.snapshotSource = source }
}

// WithRetention sets the function that returns how long the log keeps records,
// for example Follower.Retention. Without it, or while it returns 0, a
// checkpointer ignores the age of the last checkpoint.
func WithRetention(retention func() time.Duration) Option {
	return func(s *settings) { s.retention = retention }
}

// WithCheckInterval sets how often a checkpointer checks whether a checkpoint is
// due.
func WithCheckInterval(interval time.Duration) Option {
	return func(s *settings) { s.checkInterval = interval }
}

// WithRankDelay sets how much longer each host waits before it appends a
// checkpoint than the host before it in the rendezvous order.
func WithRankDelay(delay time.Duration) Option {
	return func(s *settings) { s.rankDelay = delay }
}

func newSettings(options []Option) settings {
	s := settings{
		logger:           log.NewNopLogger(),
		pollWait:         defaultPollWait,
		appendTimeout:    defaultAppendTimeout,
		appendRetryDelay: defaultAppendRetryDelay,
		tailReached:      func(time.Time) {},
		retention:        func() time.Duration { return 0 },
		checkInterval:    defaultCheckInterval,
		rankDelay:        defaultRankDelay,
	}
	for _, option := range options {
		option(&s)
	}
	return s
}

// newBackOff returns an exponential backoff between the two delays.
func newBackOff(initial, maximum time.Duration) *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = initial
	delays.MaxInterval = maximum
	delays.Reset()
	return delays
}

// sleep waits for the duration or until the context ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
