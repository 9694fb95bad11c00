// Package poison counts the endpoints that a request crashed.
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
	// blockedAt crashes block a request if other requests cannot explain one
	// of them; provenAt crashes block it in any case, because from blockedAt
	// on it runs without other suspects.
	blockedAt = 2
	provenAt  = 3
	validity  = time.Hour
	// More than provenAt only help to tell them apart in a digest.
	maxIncarnations     = 4
	maxFingerprints     = 10_000
	defaultPushTimeout  = 300 * time.Millisecond
	defaultDigestLength = 64
)

// Option changes a setting of a Ledger.
type Option func(*Ledger)

// WithPush sets the function that tells the peers of a new strike. Report
// waits for it at most 300 ms.
func WithPush(push func(ctx context.Context, strike *peerv1.Strike)) Option {
	return func(l *Ledger) { l.push = push }
}

// WithClock sets the clock of Report.
func WithClock(now func() time.Time) Option {
	return func(l *Ledger) { l.now = now }
}

// WithMaxFingerprints limits the number of fingerprints; the one struck the
// longest time ago is dropped first.
func WithMaxFingerprints(limit int) Option {
	return func(l *Ledger) { l.maxFingerprints = limit }
}

// WithDigestLength limits a digest to the latest strikes, because digests are
// pulled twice a second.
func WithDigestLength(limit int) Option {
	return func(l *Ledger) { l.digestLength = limit }
}

// Ledger holds strikes of request fingerprints. It is safe for concurrent use.
type Ledger struct {
	push            func(ctx context.Context, strike *peerv1.Strike)
	now             func() time.Time
	maxFingerprints int
	digestLength    int

	mu      sync.RWMutex
	strikes map[flamingodoor.Fingerprint]*strike
}

var _ flamingodoor.CrashTracker = (*Ledger)(nil)

type strike struct {
	incarnations map[string]time.Time // of the report of each crash
	struckAt     time.Time            // of the latest crash
	deadline     time.Time
}

// New returns an empty ledger.
func New(options ...Option) *Ledger {
	l := &Ledger{
		push:            func(context.Context, *peerv1.Strike) {},
		now:             time.Now,
		maxFingerprints: maxFingerprints,
		digestLength:    defaultDigestLength,
		strikes:         make(map[flamingodoor.Fingerprint]*strike),
	}
	for _, option := range options {
		option(l)
	}
	return l
}

// Blocked reports whether the request was in flight at three crashes within an
// hour, or at two of which one struck no other request.
func (l *Ledger) Blocked(fingerprint flamingodoor.Fingerprint, now time.Time) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	s, ok := l.strikes[fingerprint]
	if !ok || !now.Before(s.deadline) || len(s.incarnations) < blockedAt {
		return false
	}
	_, shared := l.companions(fingerprint, now)
	return len(s.incarnations) >= provenAt || !shared
}

// MustRunAlone reports whether the request was in flight at two crashes that struck
// other requests as well. It has to run without other suspects, so that a
// third crash proves which of them is at fault.
func (l *Ledger) MustRunAlone(fingerprint flamingodoor.Fingerprint, now time.Time) (flamingodoor.Suspicion, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	s, ok := l.strikes[fingerprint]
	if !ok || !now.Before(s.deadline) || len(s.incarnations) != blockedAt {
		return flamingodoor.Suspicion{}, false
	}
	rank, shared := l.companions(fingerprint, now)
	return flamingodoor.Suspicion{Rank: rank, CrashedIncarnations: slices.Sorted(maps.Keys(s.incarnations))}, shared
}

// companions reports whether every crash of the request struck another request,
// and how many of those with two crashes or more come before it by fingerprint.
func (l *Ledger) companions(fingerprint flamingodoor.Fingerprint, now time.Time) (rank int, allShared bool) {
	shared := make(map[string]bool)
	own := l.strikes[fingerprint].incarnations
	for other, s := range l.strikes {
		if other == fingerprint || !now.Before(s.deadline) {
			continue
		}
		common := false
		for incarnation := range s.incarnations {
			if _, both := own[incarnation]; both {
				shared[incarnation], common = true, true
			}
		}
		if common && len(s.incarnations) >= blockedAt && bytes.Compare(other[:], fingerprint[:]) < 0 {
			rank++
		}
	}
	return rank, len(shared) == len(own)
}

// CrashedBefore reports whether the incarnation is known to have crashed before
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

// ReportCrash records a crash and pushes it to the peers if it is new. The push
// does not end with the caller's context, because a caller that goes away
// often repeats the request elsewhere. A report of the second crash returns
// after the whole time of a push: by then the other requests in flight at the
// crash have been reported too, and Blocked can tell them apart.
func (l *Ledger) ReportCrash(ctx context.Context, fingerprint flamingodoor.Fingerprint, incarnation string) {
	now := l.now()
	l.mu.Lock()
	added := l.add(fingerprint, []string{incarnation}, now, now)
	settle := len(l.strikes[fingerprint].incarnations) == blockedAt
	var message *peerv1.Strike
	if added {
		message = encode(fingerprint, l.strikes[fingerprint], now)
	}
	l.mu.Unlock()
	if !added {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), defaultPushTimeout)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.push(ctx, message)
	}()
	pushed := done
	if settle {
		pushed = nil
	}
	select {
	case <-pushed:
	case <-ctx.Done():
	}
}

// Merge records strikes of a peer, asked for or received at start.
func (l *Ledger) Merge(strikes []*peerv1.Strike, start time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range strikes {
		age := max(s.GetAge().AsDuration(), 0)
		if len(s.GetFingerprint()) != len(flamingodoor.Fingerprint{}) || age >= validity {
			continue
		}
		l.add(flamingodoor.Fingerprint(s.GetFingerprint()), s.GetIncarnations(), start.Add(-age), start)
	}
}

// Digest returns the latest strikes, newest first.
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

// add reports whether an incarnation is new for the fingerprint.
func (l *Ledger) add(fingerprint flamingodoor.Fingerprint, incarnations []string, struckAt, now time.Time) bool {
	s, ok := l.strikes[fingerprint]
	if !ok || !now.Before(s.deadline) {
		delete(l.strikes, fingerprint)
		l.makeRoom()
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
		s.deadline = struckAt.Add(validity)
	}
	return added
}

func (l *Ledger) makeRoom() {
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
