// Package hedging decides when a request that has no response yet is sent to a second
// group, and limits the engine time of these second attempts (hedges).
package hedging

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// hedgePercentile is the percentile of the time to the first event after which a
	// request is hedged: one in twenty requests is later.
	hedgePercentile = 95
	// minSamples is the number of times below which no percentile is known: with fewer,
	// the 95th percentile would be the maximum.
	minSamples = 20
	// windowSlices times sliceTime is the time for which a measured time counts: long
	// enough for minSamples at a host with a few requests a second, short enough to follow
	// the load.
	windowSlices = 5
	sliceTime    = 4 * time.Second
	// refreshInterval separates two computations of a percentile, which takes longer than
	// recording a time.
	refreshInterval = 200 * time.Millisecond
	// minDelayMS and maxDelayMS bound the recorded times, in milliseconds, with two
	// significant digits. Callers give up long before the upper bound.
	minDelayMS        = 1
	maxDelayMS        = 60_000
	significantDigits = 2
)

// SizeClass is a range of prompt lengths whose prefill takes about the same time.
type SizeClass int

// sizeClassTokens are the upper bounds of all classes but the last, in prompt tokens.
// Each is four times as large as the one before.
var sizeClassTokens = [...]int{512, 2048, 8192}

// SizeClassOf returns the class of a prompt.
func SizeClassOf(promptTokens int) SizeClass {
	for class, bound := range sizeClassTokens {
		if promptTokens <= bound {
			return SizeClass(class)
		}
	}
	return SizeClass(len(sizeClassTokens))
}

// Key identifies requests whose first events take about the same time.
type Key struct {
	Route string
	Model string
	Size  SizeClass
}

// Delays holds the recent times from sending a request to its first event. It is safe
// for concurrent use.
type Delays struct {
	mu     sync.Mutex
	series map[Key]*series
}

// series holds the times of one key.
type series struct {
	window     *hdrhistogram.WindowedHistogram
	sliceStart time.Time // of window.Current
	lastAdded  time.Time
	delay      time.Duration // the percentile at computedAt; 0 if too few samples were known
	computedAt time.Time
}

// NewDelays returns a Delays without samples.
func NewDelays() *Delays {
	return &Delays{series: make(map[Key]*series)}
}

// Add records the time from sending a request to its first event. For a request that was
// cancelled because its hedge won, it is the time until then: the first event would have
// come later. Without these times the percentile would fall with each hedge that wins.
func (d *Delays) Add(key Key, took time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.series[key]
	if !ok {
		d.dropIdle(now)
		s = &series{window: hdrhistogram.NewWindowed(windowSlices, minDelayMS, maxDelayMS, significantDigits), sliceStart: now}
		d.series[key] = s
	}
	s.rotate(now)
	s.lastAdded = now
	// The value is within the bounds of the histogram, so that recording cannot fail.
	_ = s.window.Current.RecordValue(min(maxDelayMS, max(minDelayMS, took.Milliseconds())))
}

// Delay returns after which time without an event a request is hedged, or false if there
// are too few recent samples.
func (d *Delays) Delay(key Key, now time.Time) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.series[key]
	if !ok {
		return 0, false
	}
	if rotated := s.rotate(now); rotated || s.delay == 0 || now.Sub(s.computedAt) >= refreshInterval {
		s.compute(now)
	}
	return s.delay, s.delay > 0
}

// dropIdle deletes the series whose samples have all expired. It is called with the lock
// held.
func (d *Delays) dropIdle(now time.Time) {
	for key, s := range d.series {
		if now.Sub(s.lastAdded) > windowSlices*sliceTime {
			delete(d.series, key)
		}
	}
}

// rotate drops the slices that have expired, and reports whether there are any.
func (s *series) rotate(now time.Time) bool {
	passed := int(now.Sub(s.sliceStart) / sliceTime)
	if passed <= 0 {
		return false
	}
	for range min(passed, windowSlices) {
		s.window.Rotate()
	}
	s.sliceStart = s.sliceStart.Add(time.Duration(passed) * sliceTime)
	return true
}

// compute updates the percentile.
func (s *series) compute(now time.Time) {
	s.delay, s.computedAt = 0, now
	merged := s.window.Merge()
	if merged.TotalCount() >= minSamples {
		s.delay = time.Duration(merged.ValueAtPercentile(hedgePercentile)) * time.Millisecond
	}
}
