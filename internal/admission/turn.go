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
	// deviations is how many standard deviations a rate is raised by: with two, a turn that
	// is found to come too late does so in 39 of 40 cases.
	deviations = 2
	// maxTurn bounds estimates, which may be infinite.
	maxTurn = time.Hour
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

// perSecond returns the rate, and the rate raised by two standard deviations of the count: a
// request that waits in vain can still be refused, and one that is refused too early cannot
// be served. It returns false if the rate is not measured.
func (r *releaseRate) perSecond(now time.Time) (mean, raised float64, ok bool) {
	r.decay(now)
	if r.count < minReleases {
		return 0, 0, false
	}
	constant := releaseTimeConstant.Seconds()
	covered := constant * (1 - math.Exp(-now.Sub(r.since).Seconds()/constant))
	if covered <= 0 {
		return 0, 0, false
	}
	return r.count / covered, (r.count + deviations*math.Sqrt(r.count)) / covered, true
}

// CountRelease counts a slot that ended.
func (l *Line[T]) CountRelease(now time.Time) {
	l.ends.add(now)
}

// TurnAt estimates when a request that arrives now gets a slot. It returns false while the
// rate at which slots end is not measured.
func (l *Line[T]) TurnAt(request Request, now time.Time) (time.Time, bool) {
	mean, rate, ok := l.ends.perSecond(now)
	if !ok {
		return time.Time{}, false
	}
	ahead := l.ahead(request, now)
	// Requests get slots in two ways, and the earlier one counts. In the usual order, those
	// that are more urgent and arrive later come first too. The difference of the two rates
	// is small in an overload, and the raised one would exceed it many times.
	wait := math.Inf(1)
	if usualRate := mean*(slackGrantInterval-1)/slackGrantInterval - l.moreUrgent(request, now); request.Resumed || ahead.inOrder == 0 {
		wait = float64(ahead.inOrder+1) / rate
	} else if usualRate > 0 {
		wait = float64(ahead.inOrder+1) / usualRate
	}
	// Grants by slack are divided among the priorities that wait: otherwise one that is not
	// refused, because it also gets slots in the usual order, would keep the others out.
	untilSlackGrant := slackGrantInterval - 1 - l.grants%slackGrantInterval
	bySlack := untilSlackGrant + 1 + slackGrantInterval*(ahead.last+ahead.levels*ahead.bySlack)
	wait = min(wait, float64(bySlack)/rate, maxTurn.Seconds())
	return now.Add(time.Duration(wait * float64(time.Second))), true
}

// moreUrgent returns the rate of grants, in the usual order, to requests that are more
// urgent than the given one.
func (l *Line[T]) moreUrgent(request Request, now time.Time) float64 {
	total := 0.0
	for level := range min(max(0, request.Priority), len(l.granted)) {
		l.granted[level].decay(now)
		total += l.granted[level].count
	}
	return total / releaseTimeConstant.Seconds()
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
