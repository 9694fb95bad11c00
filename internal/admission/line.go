package admission

import (
	"math"
	"math/bits"
	"time"
)

const (
	// slackGrantInterval makes one in four grants go to the waiting request with the
	// least slack, whatever its priority, so that no priority is starved.
	slackGrantInterval = 4
	// servedTimeConstant is the time constant of the engine time served to a workspace:
	// long enough to cover several streams of a few seconds each.
	servedTimeConstant = 10 * time.Second
	// rebaseInterval bounds the exponent of the weights of served time; 100 s is e^10.
	rebaseInterval = 10 * servedTimeConstant
	// priorities is the number of priorities that requests have, 0 to 9.
	priorities = 10
	// negligibleServed is the weighted engine time, in seconds, below which an idle
	// workspace is forgotten.
	negligibleServed = 1e-3
)

// Request describes a request that waits in a Line.
type Request struct {
	Workspace   string
	Priority    int       // 0 is the most urgent
	Resumed     bool      // the caller has a part of the response; comes before all others
	ArrivedAt   time.Time // at this host
	LastTry     bool      // its caller does not come back; comes first among grants by slack
	InTimeUntil time.Time // last moment of placement that meets the latency objective
	ServeUntil  time.Time // last moment of placement at which the caller can be served
}

// Waiting is a request in a Line, with the value that its owner attached.
type Waiting[T any] struct {
	Request Request
	Value   T
	index   int // in Line.places; -1 if it was removed
}

// place holds what the order depends on. Places are kept in one slice, because a search
// of 1,000 requests through pointers takes several times as long.
type place[T any] struct {
	level       int   // priority; -1 for a resumed stream
	inTimeUntil int64 // nanoseconds since the epoch of the line
	serveUntil  int64 // nanoseconds since the epoch of the line
	share       *served
	waiting     *Waiting[T]
	lastTry     bool
	skipped     bool // could not be placed since the last change
}

// served is the engine time that a workspace was served, weighted by its age.
type served struct {
	seconds float64
	waiting int // requests in the line
}

// Line orders the waiting requests of one service and model. It has neither a clock nor a
// lock: the caller passes the time and serialises the calls.
type Line[T any] struct {
	places []place[T]
	shares map[string]*served
	epoch  time.Time // of the times in places
	base   time.Time // at which served time has the weight 1
	grants int
	ends   releaseRate
	// granted counts recent grants in the usual order, by priority. Higher numbers than
	// the last are counted as the last.
	granted [priorities]releaseRate
}

// NewLine returns an empty line.
func NewLine[T any](now time.Time) *Line[T] {
	return &Line[T]{shares: make(map[string]*served), epoch: now, base: now}
}

// Len returns the number of waiting requests.
func (l *Line[T]) Len() int {
	return len(l.places)
}

// Add appends a request.
func (l *Line[T]) Add(request Request, value T) *Waiting[T] {
	w := &Waiting[T]{Request: request, Value: value, index: len(l.places)}
	added := l.placeOf(request)
	added.share, added.waiting = l.shareOf(request.Workspace), w
	added.share.waiting++
	l.places = append(l.places, added)
	return w
}

func (l *Line[T]) placeOf(request Request) place[T] {
	level := max(0, request.Priority)
	if request.Resumed {
		level = -1
	}
	return place[T]{level: level, lastTry: request.LastTry, inTimeUntil: int64(request.InTimeUntil.Sub(l.epoch)), serveUntil: int64(request.ServeUntil.Sub(l.epoch))}
}

func (l *Line[T]) shareOf(workspace string) *served {
	share, ok := l.shares[workspace]
	if !ok {
		share = &served{}
		l.shares[workspace] = share
	}
	return share
}

// Remove deletes a request. It returns false if it was removed before.
func (l *Line[T]) Remove(w *Waiting[T]) bool {
	if w.index < 0 {
		return false
	}
	l.places[w.index].share.waiting--
	last := len(l.places) - 1
	l.places[w.index] = l.places[last]
	l.places[w.index].waiting.index = w.index
	l.places[last] = place[T]{}
	l.places = l.places[:last]
	w.index = -1
	return true
}

// Next returns the request that gets the next slot, or nil if there is none that was not
// skipped.
func (l *Line[T]) Next(now time.Time) *Waiting[T] {
	at, bySlack := int64(now.Sub(l.epoch)), l.bySlack()
	var best *place[T]
	for i := range l.places {
		candidate := &l.places[i]
		if !candidate.skipped && (best == nil || precedes(candidate, best, at, bySlack)) {
			best = candidate
		}
	}
	if best == nil {
		return nil
	}
	return best.waiting
}

// precedes reports whether `a` gets a slot before `b`.
func precedes[T any](a, b *place[T], at int64, bySlack bool) bool {
	if a.level != b.level && (!bySlack || a.level < 0 || b.level < 0) {
		return a.level < b.level
	}
	if bySlack {
		if a.lastTry != b.lastTry {
			return a.lastTry
		}
		return a.serveUntil < b.serveUntil
	}
	aInTime, bInTime := a.inTimeUntil >= at, b.inTimeUntil >= at
	switch {
	case aInTime != bInTime:
		return aInTime
	case aInTime:
		return lessServed(a.share.seconds, b.share.seconds, a.inTimeUntil < b.inTimeUntil)
	default:
		return a.serveUntil < b.serveUntil
	}
}

// Skip makes Next pass over a request, which could not be placed, until Retry is called.
func (l *Line[T]) Skip(w *Waiting[T]) {
	if w.index >= 0 {
		l.places[w.index].skipped = true
	}
}

// SkipYielding skips all requests that yield at the given time.
func (l *Line[T]) SkipYielding(now time.Time) {
	for i := range l.places {
		if l.Yields(l.places[i].waiting, now) {
			l.places[i].skipped = true
		}
	}
}

// Retry makes Next return skipped requests again.
func (l *Line[T]) Retry() {
	for i := range l.places {
		l.places[i].skipped = false
	}
}

// Grant removes a request that got a slot, and counts the grant.
func (l *Line[T]) Grant(w *Waiting[T], now time.Time) {
	if !l.Remove(w) {
		return
	}
	if !w.Request.Resumed && !l.bySlack() {
		l.granted[min(max(0, w.Request.Priority), priorities-1)].add(now)
	}
	l.grants++
}

// Yields reports whether a request leaves the last free slots to requests that can still be
// in time: it is late, and its turn does not come by slack.
func (l *Line[T]) Yields(w *Waiting[T], now time.Time) bool {
	return !w.Request.Resumed && w.Request.InTimeUntil.Before(now) && !l.bySlack()
}

// bySlack reports whether the next grant goes by slack.
func (l *Line[T]) bySlack() bool {
	return l.grants%slackGrantInterval == slackGrantInterval-1
}

// CountServed adds the estimated engine seconds of a request that got a slot, whether or
// not it waited.
func (l *Line[T]) CountServed(workspace string, engineSeconds float64, now time.Time) {
	if now.Sub(l.base) > rebaseInterval {
		l.rebase(now)
	}
	// All served time decays alike. Instead of the older amounts, which would have to be
	// reduced before each comparison, newer ones are weighted up.
	l.shareOf(workspace).seconds += engineSeconds * math.Exp(now.Sub(l.base).Seconds()/servedTimeConstant.Seconds())
}

// rebase makes the given time the one with the weight 1.
func (l *Line[T]) rebase(now time.Time) {
	factor := math.Exp(-now.Sub(l.base).Seconds() / servedTimeConstant.Seconds())
	l.base = now
	for workspace, share := range l.shares {
		share.seconds *= factor
		if share.seconds < negligibleServed && share.waiting == 0 {
			delete(l.shares, workspace)
		}
	}
}

// Expired returns a request whose last moment has passed, or nil, and when the next one
// passes. That time is zero if no request waits.
func (l *Line[T]) Expired(now time.Time) (*Waiting[T], time.Time) {
	var first *place[T]
	for i := range l.places {
		if first == nil || l.places[i].serveUntil < first.serveUntil {
			first = &l.places[i]
		}
	}
	switch {
	case first == nil:
		return nil, time.Time{}
	case first.waiting.Request.ServeUntil.After(now):
		return nil, first.waiting.Request.ServeUntil
	default:
		return first.waiting, first.waiting.Request.ServeUntil
	}
}

// Ahead returns how many waiting requests get a slot before a request that arrives now.
func (l *Line[T]) Ahead(request Request, now time.Time) int {
	return l.ahead(request, now).inOrder
}

// aheadOf counts the requests that wait when another arrives.
type aheadOf struct {
	inOrder int // before it in the usual order
	bySlack int // of the same priority, before it by slack
	last    int // last tries, which come before any other by slack; 0 if it is one itself
	levels  int // different priorities that compete by slack, with its own
}

func (l *Line[T]) ahead(request Request, now time.Time) aheadOf {
	at, arriving := int64(now.Sub(l.epoch)), l.placeOf(request)
	arriving.share = &served{}
	if share, ok := l.shares[request.Workspace]; ok {
		arriving.share = share
	}
	count, seen := aheadOf{}, uint64(1)<<min(arriving.level+1, priorities)
	for i := range l.places {
		other := &l.places[i]
		if other.lastTry && !arriving.lastTry {
			count.last++
		}
		if other.lastTry == arriving.lastTry {
			seen |= 1 << min(other.level+1, priorities)
		}
		if other.level > arriving.level {
			continue
		}
		if other.level < arriving.level || !precedes(&arriving, other, at, false) {
			count.inOrder++
		}
		if other.level == arriving.level && other.lastTry == arriving.lastTry && other.serveUntil <= arriving.serveUntil {
			count.bySlack++
		}
	}
	count.levels = bits.OnesCount64(seen)
	return count
}

// Status summarises a line.
type Status struct {
	Waiting int
	InTime  int           // of Waiting, those that can still meet their objective
	Oldest  time.Duration // longest wait
}

// Status returns the present state.
func (l *Line[T]) Status(now time.Time) Status {
	status := Status{Waiting: len(l.places)}
	for i := range l.places {
		request := &l.places[i].waiting.Request
		if !now.After(request.InTimeUntil) {
			status.InTime++
		}
		status.Oldest = max(status.Oldest, now.Sub(request.ArrivedAt))
	}
	return status
}
