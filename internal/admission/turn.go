package admission

import (
	"math"
	"time"
)

const (
	// releaseTimeConstant is the time constant of the rate at which slots end: a few
	// streams long, so that single ends do not decide.
	releaseTimeConstant = 4 * time.Second
	// minReleases is the number of recent releases below which the rate counts as not
	// measured: the interval between so few ends varies by more than a caller's wait.
	minReleases = 4
)

// releaseRate measures how many slots end per second.
type releaseRate struct {
	count float64 // of releases, decaying
	at    time.Time
	since time.Time // first release of the measurement
}

func (r *releaseRate) add(now time.Time) {
	r.decay(now)
	if r.count < 1 {
		r.since = now // the rate after a pause does not follow from that before
	}
	r.count++
}

func (r *releaseRate) decay(now time.Time) {
	if elapsed := now.Sub(r.at); elapsed > 0 {
		r.count *= math.Exp(-elapsed.Seconds() / releaseTimeConstant.Seconds())
		r.at = now
	}
}

// perSecond returns the rate, or false if it is not measured. It is raised by one standard
// deviation of the count: a request that waits in vain can still be refused, and one that
// is refused too early cannot be served.
func (r *releaseRate) perSecond(now time.Time) (float64, bool) {
	r.decay(now)
	if r.count < minReleases {
		return 0, false
	}
	constant := releaseTimeConstant.Seconds()
	covered := constant * (1 - math.Exp(-now.Sub(r.since).Seconds()/constant))
	if covered <= 0 {
		return 0, false
	}
	return (r.count + math.Sqrt(r.count)) / covered, true
}

// CountRelease counts a slot that ended.
func (l *Line[T]) CountRelease(now time.Time) {
	l.ends.add(now)
}

// TurnAt estimates when a request that arrives now gets a slot. It returns false while the
// rate at which slots end is not measured.
func (l *Line[T]) TurnAt(request Request, now time.Time) (time.Time, bool) {
	rate, ok := l.ends.perSecond(now)
	if !ok {
		return time.Time{}, false
	}
	inOrder, bySlack := l.ahead(request, now)
	// Requests get slots in two ways, and the earlier one counts.
	usual := float64(inOrder+1) / rate
	if inOrder > 0 && !request.Resumed {
		usual *= float64(slackGrantInterval) / (slackGrantInterval - 1)
	}
	slack := float64(bySlack+1) / rate * slackGrantInterval
	return now.Add(time.Duration(min(usual, slack) * float64(time.Second))), true
}

// MayWait reports whether a request that arrives now is to wait: unless its turn is known to
// come too late.
func (l *Line[T]) MayWait(request Request, now time.Time) bool {
	if !now.Before(request.ServeUntil) {
		return false
	}
	turn, known := l.TurnAt(request, now)
	return !known || !turn.After(request.ServeUntil)
}
