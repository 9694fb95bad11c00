// Package poison records which requests were in flight when engines crashed,
// and blocks requests that crash engines repeatedly.
package poison

import (
	"bytes"
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/types/known/durationpb"

	"flamingodoor.example/flamingodoor"
	peerv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/peer/v1"
)

const (
	// A request is blocked after blockThreshold crashes unless each of them may
	// be the fault of another request. In that case it runs without other
	// suspects from then on, and is blocked after proofThreshold crashes.
	blockThreshold = 2
	proofThreshold = 3

	// strikeValidity is how long a strike counts after the latest crash.
	strikeValidity = time.Hour
	// maxIncarnations limits the crashes recorded for one request. Those beyond
	// proofThreshold only help to recognise shared crashes in a digest.
	maxIncarnations        = 4
	defaultMaxFingerprints = 10_000
	pushTimeout            = 300 * time.Millisecond
	defaultDigestLength    = 64
)

// Option changes a default of a Ledger.
type Option func(*Ledger)

// WithPush sets the function that sends a new or extended strike to the peers.
// ReportCrash waits for it for at most 300 ms.
func WithPush(push func(ctx context.Context, strike *peerv1.Strike)) Option {
	return func(l *Ledger) { l.push = push }
}

// WithClock sets the clock of ReportCrash. The default is time.Now.
func WithClock(now func() time.Time) Option {
	return func(l *Ledger) { l.now = now }
}

// WithMaxFingerprints limits the number of fingerprints. A new one beyond the
// limit replaces the one whose latest crash is longest ago.
func WithMaxFingerprints(limit int) Option {
	return func(l *Ledger) { l.maxFingerprints = limit }
}

// WithDigestLength limits a digest to the given number of latest strikes.
// Digests have to be short because peers fetch them twice a second.
func WithDigestLength(limit int) Option {
	return func(l *Ledger) { l.digestLength = limit }
}

// Ledger holds the strikes of requests by fingerprint. A strike lists the engine
// incarnations that crashed while the request was in flight. A Ledger is safe for
// concurrent use.
type Ledger struct {
	push            func(ctx context.Context, strike *peerv1.Strike)
	now             func() time.Time
	maxFingerprints int
	digestLength    int

	mu      sync.RWMutex
	strikes map[flamingodoor.Fingerprint]*strike
}

var _ flamingodoor.CrashTracker = (*Ledger)(nil)

// strike holds the crashes at which one request was in flight.
type strike struct {
	incarnations map[string]time.Time // crashed incarnation to the time of its report
	struckAt     time.Time            // report of the latest crash
	deadline     time.Time            // end of the strike's validity
}

// New returns an empty Ledger.
func New(options ...Option) *Ledger {
	l := &Ledger{
		push:            func(context.Context, *peerv1.Strike) {},
		now:             time.Now,
		maxFingerprints: defaultMaxFingerprints,
		digestLength:    defaultDigestLength,
		strikes:         make(map[flamingodoor.Fingerprint]*strike),
	}
	for _, option := range options {
		option(l)
	}
	return l
}

// Blocked reports whether the request was in flight at three crashes, or at two
// crashes and was the only request in flight at one of them. Crashes count until
// an hour after the latest one.
func (l *Ledger) Blocked(fingerprint flamingodoor.Fingerprint, now time.Time) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	s, ok := l.strikes[fingerprint]
	if !ok || !now.Before(s.deadline) || len(s.incarnations) < blockThreshold {
		return false
	}
	_, shared := l.sharedCrashes(fingerprint, now)
	return len(s.incarnations) >= proofThreshold || !shared
}

// MustRunAlone reports whether the request was in flight at two crashes, each
// together with other requests. It then has to run without other suspects, so
// that a third crash proves which of them is at fault.
func (l *Ledger) MustRunAlone(fingerprint flamingodoor.Fingerprint, now time.Time) (flamingodoor.Suspicion, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	s, ok := l.strikes[fingerprint]
	if !ok || !now.Before(s.deadline) || len(s.incarnations) != blockThreshold {
		return flamingodoor.Suspicion{}, false
	}
	rank, shared := l.sharedCrashes(fingerprint, now)
	return flamingodoor.Suspicion{Rank: rank, CrashedIncarnations: slices.Sorted(maps.Keys(s.incarnations))}, shared
}

// sharedCrashes reports whether another request was in flight at each crash of
// the request. The rank is the number of requests with a smaller fingerprint
// that share a crash with it and were in flight at two crashes or more.
func (l *Ledger) sharedCrashes(fingerprint flamingodoor.Fingerprint, now time.Time) (rank int, allShared bool) {
	shared := make(map[string]bool)
	own := l.strikes[fingerprint].incarnations
	for other, s := range l.strikes {
		if other == fingerprint || !now.Before(s.deadline) {
			continue
		}
		common := false
		for incarnation := range s.incarnations {
			if _, ok := own[incarnation]; ok {
				shared[incarnation], common = true, true
			}
		}
		if common && len(s.incarnations) >= blockThreshold && bytes.Compare(other[:], fingerprint[:]) < 0 {
			rank++
		}
	}
	return rank, len(shared) == len(own)
}

// CrashedBefore reports whether a crash of the incarnation was recorded before
// the given time.
func (l *Ledger) CrashedBefore(incarnation string, at time.Time) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	for _, s := range l.strikes {
		if reported, ok := s.incarnations[incarnation]; ok && reported.Before(at) {
			return true
		}
	}
	return false
}

// ReportCrash records that the request was in flight when the incarnation
// crashed, and pushes the request's strike to the peers if the crash is new. The
// push does not end with the caller's context, because a caller that disconnects
// often repeats the request at another host. A call that adds the second crash of
// a request always takes the full push timeout: by then the other requests in
// flight at the crash have been reported too, and Blocked can take them into
// account.
func (l *Ledger) ReportCrash(ctx context.Context, fingerprint flamingodoor.Fingerprint, incarnation string) {
	now := l.now()
	l.mu.Lock()
	added := l.add(fingerprint, []string{incarnation}, now, now)
	awaitOthers := len(l.strikes[fingerprint].incarnations) == blockThreshold
	var message *peerv1.Strike
	if added {
		message = encode(fingerprint, l.strikes[fingerprint], now)
	}
	l.mu.Unlock()
	if !added {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), pushTimeout)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.push(ctx, message)
	}()
	pushed := done
	if awaitOthers {
		pushed = nil
	}
	select {
	case <-pushed:
	case <-ctx.Done():
	}
}

// Merge records the strikes of a peer. Their ages count from start, the time at
// which they were requested or received.
func (l *Ledger) Merge(strikes []*peerv1.Strike, start time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range strikes {
		age := max(s.GetAge().AsDuration(), 0)
		if len(s.GetFingerprint()) != len(flamingodoor.Fingerprint{}) || age >= strikeValidity {
			continue
		}
		l.add(flamingodoor.Fingerprint(s.GetFingerprint()), s.GetIncarnations(), start.Add(-age), start)
	}
}

// Digest returns the latest strikes that are still valid, newest first.
func (l *Ledger) Digest(now time.Time) []*peerv1.Strike {
	l.mu.RLock()
	defer l.mu.RUnlock()
	digest := make([]*peerv1.Strike, 0, min(len(l.strikes), l.digestLength))
	for fingerprint, s := range l.strikes {
		if now.Before(s.deadline) {
			digest = append(digest, encode(fingerprint, s, now))
		}
	}
	slices.SortFunc(digest, func(a, b *peerv1.Strike) int {
		return cmp.Or(
			cmp.Compare(a.GetAge().AsDuration(), b.GetAge().AsDuration()),
			slices.Compare(a.GetFingerprint(), b.GetFingerprint()),
		)
	})
	return digest[:min(len(digest), l.digestLength)]
}

// add records crashes of the incarnations and reports whether any of them is
// new for the fingerprint.
func (l *Ledger) add(fingerprint flamingodoor.Fingerprint, incarnations []string, struckAt, now time.Time) bool {
	s, ok := l.strikes[fingerprint]
	if !ok || !now.Before(s.deadline) {
		delete(l.strikes, fingerprint)
		l.evictOldest()
		s = &strike{incarnations: make(map[string]time.Time)}
		l.strikes[fingerprint] = s
	}
	added := false
	for _, incarnation := range incarnations {
		if _, known := s.incarnations[incarnation]; known || len(s.incarnations) >= maxIncarnations {
			continue
		}
		s.incarnations[incarnation] = struckAt
		added = true
	}
	if struckAt.After(s.struckAt) {
		s.struckAt = struckAt
		s.deadline = struckAt.Add(strikeValidity)
	}
	return added
}

// evictOldest drops the fingerprint whose latest crash is longest ago, if the
// ledger is full.
func (l *Ledger) evictOldest() {
	if len(l.strikes) < l.maxFingerprints {
		return
	}
	var oldest flamingodoor.Fingerprint
	var at time.Time
	for fingerprint, s := range l.strikes {
		if at.IsZero() || s.struckAt.Before(at) {
			oldest, at = fingerprint, s.struckAt
		}
	}
	delete(l.strikes, oldest)
}

func encode(fingerprint flamingodoor.Fingerprint, s *strike, now time.Time) *peerv1.Strike {
	return &peerv1.Strike{
		Fingerprint:  fingerprint[:],
		Incarnations: slices.Sorted(maps.Keys(s.incarnations)),
		Age:          durationpb.New(max(now.Sub(s.struckAt), 0)),
	}
}
