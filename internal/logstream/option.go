// Package logstream writes and follows the config stream of the platform's
// log.
package logstream

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-kit/log"

	"flamingodoor.example/flamingodoor"
)

const (
	// A freshness lease lasts 3 s from the start of a read, so a read must
	// not wait longer at the tail.
	defaultPollWait = time.Second
	// readMargin covers a log that delays each call by 2 s and then waits at
	// the tail. A silent connection ends earlier, by its pings.
	readMargin  = 4 * time.Second
	pageRecords = 500

	defaultAppendTimeout = 3 * time.Second
	defaultRepeatAfter   = 500 * time.Millisecond
	maxRepeatAfter       = 4 * time.Second

	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second

	defaultCheckInterval = 5 * time.Second
	defaultRankDelay     = 2 * time.Second
	checkpointRecords    = 512
)

type settings struct {
	logger         log.Logger
	pollWait       time.Duration
	appendTimeout  time.Duration
	repeatAfter    time.Duration
	tailReached    func(readStart time.Time)
	peerSource     func(ctx context.Context, from uint64) ([]flamingodoor.LogEntry, error)
	snapshotSource func(ctx context.Context) ([]byte, error)
	retention      func() time.Duration
	checkInterval  time.Duration
	rankDelay      time.Duration
}

// Option changes a default of a Recorder, a Follower or a Checkpointer.
type Option func(*settings)

// WithLogger sets the logger; the default logs nothing.
func WithLogger(logger log.Logger) Option {
	return func(s *settings) { s.logger = logger }
}

// WithPollWait sets how long a follower's read waits at the tail.
func WithPollWait(wait time.Duration) Option {
	return func(s *settings) { s.pollWait = wait }
}

// WithAppendTimeout bounds one append of a recorder.
func WithAppendTimeout(timeout time.Duration) Option {
	return func(s *settings) { s.appendTimeout = timeout }
}

// WithAppendRetryDelay sets how long a recorder waits after the first failed append
// before it appends again; the time then grows up to 4 s.
func WithAppendRetryDelay(wait time.Duration) Option {
	return func(s *settings) { s.repeatAfter = wait }
}

// WithTailReached sets a function that a follower calls after each read that
// reached the tail, once the records are applied, with the time before the
// read was sent.
func WithTailReached(reached func(readStart time.Time)) Option {
	return func(s *settings) { s.tailReached = reached }
}

// WithPeerSource sets where a follower gets records from an offset on while
// the log fails. An error with CodeTrimmed makes it ask for a snapshot.
func WithPeerSource(source func(ctx context.Context, from uint64) ([]flamingodoor.LogEntry, error)) Option {
	return func(s *settings) { s.peerSource = source }
}

// WithSnapshotSource sets where a follower gets an encoded state when it
// starts while the log fails, or when the records it needs were trimmed.
func WithSnapshotSource(source func(ctx context.Context) ([]byte, error)) Option {
	return func(s *settings) { s.snapshotSource = source }
}

// WithRetention tells a checkpointer how long the log keeps records, such as
// Follower.Retention.
func WithRetention(retention func() time.Duration) Option {
	return func(s *settings) { s.retention = retention }
}

// WithCheckInterval sets how often a checkpointer looks whether one is due.
func WithCheckInterval(interval time.Duration) Option {
	return func(s *settings) { s.checkInterval = interval }
}

// WithRankDelay sets by how much each host waits longer than the one before
// it in the order for the next checkpoint.
func WithRankDelay(delay time.Duration) Option {
	return func(s *settings) { s.rankDelay = delay }
}

func newSettings(options []Option) settings {
	set := settings{
		logger:        log.NewNopLogger(),
		pollWait:      defaultPollWait,
		appendTimeout: defaultAppendTimeout,
		repeatAfter:   defaultRepeatAfter,
		tailReached:   func(time.Time) {},
		retention:     func() time.Duration { return 0 },
		checkInterval: defaultCheckInterval,
		rankDelay:     defaultRankDelay,
	}
	for _, option := range options {
		option(&set)
	}
	return set
}

func newBackOff(first, longest time.Duration) *backoff.ExponentialBackOff {
	delays := backoff.NewExponentialBackOff()
	delays.InitialInterval = first
	delays.MaxInterval = longest
	delays.Reset()
	return delays
}

func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
