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
	capacity           int
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
	crashAfter         int
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

// WithIncarnation sets the name of this run instead of a random one.
func WithIncarnation(incarnation string) Option {
	return func(s *settings) { s.incarnation = incarnation }
}

// WithService makes the endpoint a plain service that answers after a delay.
// The call counts as run before the delay.
func WithService(delay time.Duration) Option {
	return func(s *settings) { s.service, s.serviceDelay = true, delay }
}

// WithFencing makes the engine compare fencing numbers.
func WithFencing() Option {
	return func(s *settings) { s.checksFencing = true }
}

// WithCapacity makes the engine answer 429 above a number of requests in
// flight.
func WithCapacity(requests int) Option {
	return func(s *settings) { s.capacity = requests }
}

// WithLoadTime sets the time after an order in which the engine is loading.
func WithLoadTime(duration time.Duration) Option {
	return func(s *settings) { s.loadTime = duration }
}

// WithColdRequests makes the endpoint cold from its start and from each order
// until it has finished a number of requests.
func WithColdRequests(requests int) Option {
	return func(s *settings) { s.coldRequests = requests }
}

// WithColdTime makes the endpoint cold for a time from its start and from the
// end of loading. With WithColdRequests the earlier end counts.
func WithColdTime(duration time.Duration) Option {
	return func(s *settings) { s.coldTime = duration }
}

// WithColdDelay sets the time to the first token while cold.
func WithColdDelay(delay time.Duration) Option {
	return func(s *settings) { s.coldDelay = delay }
}

// WithColdGrace excludes requests from the count of requests in flight while
// cold if they arrive within a time after MakeCold, before watchers can know.
func WithColdGrace(duration time.Duration) Option {
	return func(s *settings) { s.coldGrace = duration }
}

// WithTokenTimes sets the time to the first token and between tokens.
func WithTokenTimes(first, interval time.Duration) Option {
	return func(s *settings) { s.firstTokenDelay, s.tokenInterval = first, interval }
}

// WithAnswerTokens sets the length of an answer that max_tokens does not cut.
func WithAnswerTokens(tokens int) Option {
	return func(s *settings) { s.answerTokens = tokens }
}

// WithReportLag makes reports and cache events lag.
func WithReportLag(lag time.Duration) Option {
	return func(s *settings) { s.reportLag = lag }
}

// WithCache bounds the prefixes in the cache and the cache events kept.
func WithCache(prefixes, events int) Option {
	return func(s *settings) { s.cachePrefixes, s.cacheEvents = prefixes, events }
}

// WithCacheGapEvery drops all kept cache events each time the number of
// events is a multiple of every.
func WithCacheGapEvery(every int) Option {
	return func(s *settings) { s.cacheGapEvery = every }
}

// WithCrash calls crash, after a number of tokens, for a request whose prompt
// contains the word, and breaks its connection.
func WithCrash(word string, afterTokens int, crash func()) Option {
	return func(s *settings) { s.crashWord, s.crashAfter, s.crash = word, afterTokens, crash }
}

// WithRunAfterDisconnect makes the engine run a request whose connection is
// lost until it is done or cancelled.
func WithRunAfterDisconnect() Option {
	return func(s *settings) { s.runAfterDisconnect = true }
}
