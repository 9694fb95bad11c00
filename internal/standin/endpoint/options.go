// Package standinendpoint is a test double of a model engine or a plain
// service with deterministic answers.
package standinendpoint

import (
	"time"

	"github.com/google/uuid"
)

// Defaults of the test double.
const (
	defaultAnswerTokens  = 16
	defaultCachePrefixes = 4096
	defaultCacheEvents   = 4096
)

type settings struct {
	incarnation        string
	service            bool
	checksFencing      bool
	capacity           int // requests in flight; 0 for no limit
	loadTime           time.Duration
	coldRequests       int
	coldTime           time.Duration
	coldDelay          time.Duration
	coldGrace          time.Duration
	firstTokenDelay    time.Duration
	tokenInterval      time.Duration
	answerTokens       int
	reportLag          time.Duration
	cachePrefixes      int
	cacheEvents        int
	cacheGapEvery      int
	crashWord          string
	crashAfter         int // tokens
	crash              func()
	serviceDelay       time.Duration
	runAfterDisconnect bool
}

// Option changes a default of the test double.
type Option func(*settings)

func newSettings(options []Option) settings {
	s := settings{
		incarnation:   uuid.NewString(),
		answerTokens:  defaultAnswerTokens,
		cachePrefixes: defaultCachePrefixes,
		cacheEvents:   defaultCacheEvents,
		crash:         func() {},
	}
	for _, option := range options {
		option(&s)
	}
	return s
}

// WithIncarnation sets the incarnation that the endpoint reports. The default is a
// random UUID.
func WithIncarnation(incarnation string) Option {
	return func(s *settings) { s.incarnation = incarnation }
}

// WithService makes the endpoint a plain service that answers after a delay.
// A call counts as run when it arrives, before the delay.
func WithService(delay time.Duration) Option {
	return func(s *settings) { s.service, s.serviceDelay = true, delay }
}

// WithFencing makes the engine check fencing numbers: it refuses orders whose number
// is lower than the highest that it has accepted, and requests whose number differs
// from that of its current order.
func WithFencing() Option {
	return func(s *settings) { s.checksFencing = true }
}

// WithCapacity makes the engine answer 429 while the given number of requests is
// in flight.
func WithCapacity(requests int) Option {
	return func(s *settings) { s.capacity = requests }
}

// WithLoadTime sets how long the engine is loading after an order that puts it
// into a group.
func WithLoadTime(duration time.Duration) Option {
	return func(s *settings) { s.loadTime = duration }
}

// WithColdRequests makes the endpoint cold from its start and from the end of each
// loading until it has completed a number of requests.
func WithColdRequests(requests int) Option {
	return func(s *settings) { s.coldRequests = requests }
}

// WithColdTime makes the endpoint cold for a time from its start and from the end
// of each loading. If WithColdRequests is used too, the first limit that is reached
// makes the endpoint warm.
func WithColdTime(duration time.Duration) Option {
	return func(s *settings) { s.coldTime = duration }
}

// WithColdDelay sets the time to the first token while cold. It is multiplied by
// the number of requests in flight.
func WithColdDelay(delay time.Duration) Option {
	return func(s *settings) { s.coldDelay = delay }
}

// WithColdGrace excludes requests that arrive within a time after MakeCold from
// ColdInFlightMax, because watchers cannot have seen the change yet.
func WithColdGrace(duration time.Duration) Option {
	return func(s *settings) { s.coldGrace = duration }
}

// WithTokenTimes sets the time to the first token and the time between tokens.
func WithTokenTimes(first, interval time.Duration) Option {
	return func(s *settings) { s.firstTokenDelay, s.tokenInterval = first, interval }
}

// WithAnswerTokens sets the length of answers that max_tokens does not shorten.
func WithAnswerTokens(tokens int) Option {
	return func(s *settings) { s.answerTokens = tokens }
}

// WithReportLag makes reports and cache events lag behind the state of the
// endpoint.
func WithReportLag(lag time.Duration) Option {
	return func(s *settings) { s.reportLag = lag }
}

// WithCache limits the prefixes in the cache and the cache events that are kept.
func WithCache(prefixes, events int) Option {
	return func(s *settings) { s.cachePrefixes, s.cacheEvents = prefixes, events }
}

// WithCacheGapEvery discards all kept cache events whenever the sequence number of
// the next event is a multiple of every, so that readers find a gap.
func WithCacheGapEvery(every int) Option {
	return func(s *settings) { s.cacheGapEvery = every }
}

// WithCrash simulates a crash during a request whose prompt contains the word. After
// a number of tokens the engine calls crash and breaks the connection.
func WithCrash(word string, afterTokens int, crash func()) Option {
	return func(s *settings) { s.crashWord, s.crashAfter, s.crash = word, afterTokens, crash }
}

// WithRunAfterDisconnect makes the engine continue a request whose connection is
// lost, until the request is complete or cancelled.
func WithRunAfterDisconnect() Option {
	return func(s *settings) { s.runAfterDisconnect = true }
}
