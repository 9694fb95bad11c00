package stall

import (
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// sharedBelow is the speed below which a group is reported to the other hosts.
	// Prompts between the tokens of other requests move the speed of sound groups less.
	sharedBelow = 0.9
	// maxShared is the largest number of groups in a report, which keeps it small.
	maxShared = 24
	// singleWitnessFloor is the lowest speed that counts on the word of one other host,
	// whose own link or processor may have been slow for a moment.
	singleWitnessFloor = 0.5
	// minWitnesses is the number of other hosts whose mean counts in full.
	minWitnesses = 2
	// retriedBelow is the speed below which a group is retried with single requests once
	// its measurement has expired. retryTime is how long: a request that is placed in it
	// has a second event, and so a measurement, by its end.
	retriedBelow = 0.5
	retryTime    = time.Second
)

// Reading is a measured speed of a group.
type Reading struct {
	Head      string  // identifier of the group's head
	Speed     float64 // as a fraction of the expected speed
	At        time.Time
	Witnesses int // hosts that measured it
}

// valid reports whether the reading still counts.
func (r Reading) valid(now time.Time) bool {
	return now.Sub(r.At) <= speedValidity
}

// PeerSpeeds holds the speeds of groups that other hosts measured. It is safe for
// concurrent use.
type PeerSpeeds struct {
	mu       sync.Mutex
	reports  map[string]report             // latest, by reporter
	readings map[string]map[string]Reading // by head and reporter
}

// report lists the groups in the latest report of a reporter.
type report struct {
	heads    []string
	deadline time.Time // when none of the readings counts any more
}

// NewPeerSpeeds returns speeds without any reading.
func NewPeerSpeeds() *PeerSpeeds {
	return &PeerSpeeds{reports: make(map[string]report), readings: make(map[string]map[string]Reading)}
}

// Report replaces the readings of a reporter, which is a host or stands for several.
func (s *PeerSpeeds) Report(reporter string, readings []Reading, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(reporter)
	for other, latest := range s.reports {
		if now.After(latest.deadline) {
			s.forget(other)
		}
	}
	latest := report{deadline: now.Add(speedValidity)}
	for _, reading := range readings {
		if !reading.valid(now) || reading.Witnesses < 1 {
			continue
		}
		byReporter, ok := s.readings[reading.Head]
		if !ok {
			byReporter = make(map[string]Reading)
			s.readings[reading.Head] = byReporter
		}
		byReporter[reporter] = reading
		latest.heads = append(latest.heads, reading.Head)
	}
	if len(latest.heads) > 0 {
		s.reports[reporter] = latest
	}
}

// Forget discards the readings of a reporter.
func (s *PeerSpeeds) Forget(reporter string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forget(reporter)
}

func (s *PeerSpeeds) forget(reporter string) {
	for _, head := range s.reports[reporter].heads {
		delete(s.readings[head], reporter)
		if len(s.readings[head]) == 0 {
			delete(s.readings, head)
		}
	}
	delete(s.reports, reporter)
}

// Speed returns the speed of a head's group by the readings of other hosts, from
// minSpeed to 1. It is their mean, but not below singleWitnessFloor for a single host,
// and 1 without a reading that counts.
func (s *PeerSpeeds) Speed(head string, now time.Time) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	total, witnesses := 0.0, 0
	for _, reading := range s.readings[head] {
		if reading.valid(now) {
			total += float64(reading.Witnesses) * reading.Speed
			witnesses += reading.Witnesses
		}
	}
	lowest := minSpeed
	switch {
	case witnesses == 0:
		return 1
	case witnesses < minWitnesses:
		lowest = singleWitnessFloor
	}
	return max(lowest, min(1, total/float64(witnesses)))
}

// Believed returns the speed of a head's group, as Speed does, and whether the group was
// slow until lately and is to be retried with single requests.
func (m *Monitor) Believed(head string) (speed float64, retried bool) {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	speed, retried = m.believed(head, now)
	m.recordBelieved(head, speed, now)
	return speed, retried
}

// Peek returns what Believed would, without recording that the group is believed to be
// slow.
func (m *Monitor) Peek(head string) (speed float64, retried bool) {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.believed(head, now)
}

// believed returns the speed of a head's group and whether it is to be retried. The caller
// holds the mutex.
func (m *Monitor) believed(head string, now time.Time) (speed float64, retried bool) {
	if own, ok := m.ownReading(head, now); ok {
		return own.Speed, false
	}
	speed = m.peerSpeeds.Speed(head, now)
	slowAt, wasSlow := m.slowAt[head]
	return speed, speed >= retriedBelow && wasSlow && now.Sub(slowAt) < retryTime
}

// recordBelieved records when a group was last believed to be slow. The caller holds the
// mutex.
func (m *Monitor) recordBelieved(head string, speed float64, now time.Time) {
	if speed < retriedBelow {
		m.slowAt[head] = now
	}
}

// SlowGroups returns this host's readings of slow groups, newest first.
func (m *Monitor) SlowGroups() []Reading {
	now := m.now()
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.slowAt, func(_ string, slowAt time.Time) bool { return now.Sub(slowAt) >= retryTime })
	var slow []Reading
	for head := range m.speeds {
		if reading, ok := m.ownReading(head, now); ok && reading.Speed < sharedBelow {
			slow = append(slow, reading)
		}
	}
	slices.SortFunc(slow, func(a, b Reading) int { return b.At.Compare(a.At) })
	return slow[:min(maxShared, len(slow))]
}

// ownReading returns this host's measurement of a group, unless it is too old. The
// caller holds the mutex.
func (m *Monitor) ownReading(head string, now time.Time) (Reading, bool) {
	measured, ok := m.speeds[head]
	if !ok || measured.gap <= 0 || measured.expected <= 0 {
		return Reading{}, false
	}
	speed := max(minSpeed, min(1, slowTolerance*float64(measured.expected)/float64(measured.gap)))
	reading := Reading{Head: head, Speed: speed, At: measured.at, Witnesses: 1}
	return reading, reading.valid(now)
}
