package engine

import (
	"net/netip"
	"time"
)

// Defaults of the clients.
const (
	defaultDialTimeout       = time.Second
	defaultFirstChunkTimeout = 5 * time.Second
	defaultChunkGapTimeout   = 2 * time.Second
	defaultRequestTimeout    = 5 * time.Second
	defaultMaxEventBytes     = 64 << 10
	defaultMaxStreamBytes    = 16 << 20
	defaultMaxAnswerBytes    = 1 << 20
	maxHeaderBytes           = 64 << 10
)

// Settings of kept connections. A host keeps one to each endpoint that it
// watches, so their buffers are as small as the messages.
const (
	idleReadTimeout  = 10 * time.Second
	readBufferBytes  = 1 << 10
	writeBufferBytes = 256
)

type settings struct {
	source            netip.Addr
	dialTimeout       time.Duration
	firstChunkTimeout time.Duration
	chunkGapTimeout   time.Duration
	requestTimeout    time.Duration
	maxEventBytes     int
	maxStreamBytes    int64
	maxAnswerBytes    int64
	keepAlive         bool
	now               func() time.Time
}

// Option changes a default of the clients.
type Option func(*settings)

func newSettings(options []Option) settings {
	s := settings{
		dialTimeout:       defaultDialTimeout,
		firstChunkTimeout: defaultFirstChunkTimeout,
		chunkGapTimeout:   defaultChunkGapTimeout,
		requestTimeout:    defaultRequestTimeout,
		maxEventBytes:     defaultMaxEventBytes,
		maxStreamBytes:    defaultMaxStreamBytes,
		maxAnswerBytes:    defaultMaxAnswerBytes,
		now:               time.Now,
	}
	for _, option := range options {
		option(&s)
	}
	return s
}

// WithSource sets the address to connect from. An invalid or unspecified
// address leaves the choice to the operating system.
func WithSource(source netip.Addr) Option {
	return func(s *settings) { s.source = source }
}

// WithDialTimeout bounds the time to open a connection.
func WithDialTimeout(timeout time.Duration) Option {
	return func(s *settings) { s.dialTimeout = timeout }
}

// WithFirstChunkTimeout bounds the time from sending a request to its first
// chunk.
func WithFirstChunkTimeout(timeout time.Duration) Option {
	return func(s *settings) { s.firstChunkTimeout = timeout }
}

// WithChunkGapTimeout bounds the time that a read waits for each later chunk.
func WithChunkGapTimeout(timeout time.Duration) Option {
	return func(s *settings) { s.chunkGapTimeout = timeout }
}

// WithRequestTimeout bounds reports, orders, cancellations and cache events.
func WithRequestTimeout(timeout time.Duration) Option {
	return func(s *settings) { s.requestTimeout = timeout }
}

// WithMaxEventBytes bounds one event of a stream.
func WithMaxEventBytes(size int) Option {
	return func(s *settings) { s.maxEventBytes = size }
}

// WithMaxStreamBytes bounds a whole stream.
func WithMaxStreamBytes(size int64) Option {
	return func(s *settings) { s.maxStreamBytes = size }
}

// WithMaxResponseBytes bounds every answer that is not a stream.
func WithMaxResponseBytes(size int64) Option {
	return func(s *settings) { s.maxAnswerBytes = size }
}

// WithKeepAlive reads reports and cache events on kept connections. A silent
// connection fails one read, so the option suits reads that are repeated, but
// not the check whether an endpoint is gone.
func WithKeepAlive() Option {
	return func(s *settings) { s.keepAlive = true }
}

// WithClock replaces time.Now for the deadlines of orders and service calls.
func WithClock(now func() time.Time) Option {
	return func(s *settings) { s.now = now }
}
