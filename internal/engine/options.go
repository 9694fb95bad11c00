package engine

import (
	"net/netip"
	"time"
)

// Defaults of the options, and the limit on response headers.
const (
	defaultDialTimeout       = time.Second
	defaultFirstChunkTimeout = 5 * time.Second
	defaultChunkGapTimeout   = 2 * time.Second
	defaultRequestTimeout    = 5 * time.Second
	defaultMaxEventBytes     = 64 << 10
	defaultMaxStreamBytes    = 16 << 20
	defaultMaxResponseBytes  = 1 << 20
	maxHeaderBytes           = 64 << 10
)

// Settings of kept-alive connections. A host has one to each endpoint that it
// watches, so the buffers are kept as small as the messages.
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
	maxResponseBytes  int64
	keepAlive         bool
	now               func() time.Time
}

// Option changes a default of a Client or ServiceClient.
type Option func(*settings)

func newSettings(options []Option) settings {
	s := settings{
		dialTimeout:       defaultDialTimeout,
		firstChunkTimeout: defaultFirstChunkTimeout,
		chunkGapTimeout:   defaultChunkGapTimeout,
		requestTimeout:    defaultRequestTimeout,
		maxEventBytes:     defaultMaxEventBytes,
		maxStreamBytes:    defaultMaxStreamBytes,
		maxResponseBytes:  defaultMaxResponseBytes,
		now:               time.Now,
	}
	for _, option := range options {
		option(&s)
	}
	return s
}

// WithSource sets the source address of connections, except those of
// WithKeepAlive. For an invalid or unspecified address the operating system
// chooses one.
func WithSource(source netip.Addr) Option {
	return func(s *settings) { s.source = source }
}

// WithDialTimeout limits the time to open a connection.
func WithDialTimeout(timeout time.Duration) Option {
	return func(s *settings) { s.dialTimeout = timeout }
}

// WithFirstChunkTimeout limits the time from the start of a request to its
// first chunk.
func WithFirstChunkTimeout(timeout time.Duration) Option {
	return func(s *settings) { s.firstChunkTimeout = timeout }
}

// WithChunkGapTimeout limits the wait for each chunk after the first.
func WithChunkGapTimeout(timeout time.Duration) Option {
	return func(s *settings) { s.chunkGapTimeout = timeout }
}

// WithRequestTimeout limits the duration of reading a report or cache events,
// of an order and of a cancellation.
func WithRequestTimeout(timeout time.Duration) Option {
	return func(s *settings) { s.requestTimeout = timeout }
}

// WithMaxEventBytes limits the size of one event of a stream.
func WithMaxEventBytes(size int) Option {
	return func(s *settings) { s.maxEventBytes = size }
}

// WithMaxStreamBytes limits the size of a whole stream.
func WithMaxStreamBytes(size int64) Option {
	return func(s *settings) { s.maxStreamBytes = size }
}

// WithMaxResponseBytes limits the size of every response that is not a stream.
func WithMaxResponseBytes(size int64) Option {
	return func(s *settings) { s.maxResponseBytes = size }
}

// WithKeepAlive reads reports and cache events on connections that are kept
// alive. A connection that no longer carries data fails one read, so the option
// suits periodic reads, but not a check whether an endpoint has crashed.
func WithKeepAlive() Option {
	return func(s *settings) { s.keepAlive = true }
}

// WithClock sets the clock for the deadlines of orders and service calls. The
// default is time.Now.
func WithClock(now func() time.Time) Option {
	return func(s *settings) { s.now = now }
}
