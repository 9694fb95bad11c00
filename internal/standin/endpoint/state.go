package standinendpoint

import (
	"slices"
	"time"

	"flamingodoor.example/flamingodoor"
)

// snapshot is the condition of the endpoint from a moment on. stateOf derives the
// reported state from it and the time.
type snapshot struct {
	at           time.Time
	inFlight     int
	order        orderBody
	leaving      bool
	cold         bool
	coldSince    time.Time
	coldServed   int // requests completed since the endpoint was last made cold
	loadingUntil time.Time
	cacheSeq     uint64
}

// stateOf returns the state at a time to which the snapshot applies.
func (s *settings) stateOf(snap *snapshot, at time.Time) flamingodoor.EndpointState {
	switch {
	case snap.leaving:
		return flamingodoor.EndpointStateLeaving
	case at.Before(snap.loadingUntil):
		return flamingodoor.EndpointStateLoading
	case !snap.cold,
		s.coldRequests > 0 && snap.coldServed >= s.coldRequests,
		s.coldTime > 0 && !at.Before(snap.coldSince.Add(s.coldTime)):
		return flamingodoor.EndpointStateWarm
	default:
		return flamingodoor.EndpointStateCold
	}
}

// update adds a snapshot: the current one as changed by apply. The caller holds the
// lock.
func (s *Server) update(apply func(*snapshot)) {
	next := s.history[len(s.history)-1]
	next.at = time.Now()
	apply(&next)
	s.history = append(s.history, next)
	// Reports need no snapshot older than the one that was current one report
	// lag ago.
	if oldest := s.indexAt(next.at.Add(-s.settings.reportLag)); oldest > 0 {
		s.history = slices.Delete(s.history, 0, oldest)
	}
}

// indexAt returns the index of the snapshot that was current at a time, or 0 if
// all are later.
func (s *Server) indexAt(at time.Time) int {
	for i := len(s.history) - 1; i > 0; i-- {
		if !s.history[i].at.After(at) {
			return i
		}
	}
	return 0
}

func (s *Server) current() *snapshot {
	return &s.history[len(s.history)-1]
}

func (s *Server) state(now time.Time) flamingodoor.EndpointState {
	return s.settings.stateOf(s.current(), now)
}

// begin counts an accepted request as in flight and reports whether it also counts
// as in flight while cold. The caller holds the lock.
func (s *Server) begin(now time.Time) (cold bool) {
	cold = s.state(now) == flamingodoor.EndpointStateCold && !now.Before(s.coldCountFrom)
	if cold {
		s.coldInFlight++
		s.statistics.ColdInFlightMax = max(s.statistics.ColdInFlightMax, s.coldInFlight)
	}
	s.update(func(snap *snapshot) { snap.inFlight++ })
	return cold
}

// end counts the end of a request for which begin returned cold.
func (s *Server) end(cold, completed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cold {
		s.coldInFlight--
	}
	if completed {
		s.statistics.Completed++
	}
	s.update(func(snap *snapshot) {
		snap.inFlight--
		if completed {
			snap.coldServed++
		}
	})
}

// countReceived counts a request before it is accepted or refused. The caller
// holds the lock.
func (s *Server) countReceived(now time.Time) {
	s.statistics.Received++
	if s.current().leaving {
		s.statistics.ReceivedWhileLeaving++
		s.statistics.LastWhileLeavingMS = now.Sub(s.leavingSince).Milliseconds()
	}
}

// MakeCold makes the endpoint cold while it is running. Watchers see the change only
// in reports.
func (s *Server) MakeCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.coldCountFrom = now.Add(s.settings.coldGrace)
	s.update(func(snap *snapshot) { snap.cold, snap.coldSince, snap.coldServed = true, now, 0 })
}

// SetLeaving sets whether the endpoint is leaving.
func (s *Server) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leavingSince = time.Now()
	s.update(func(snap *snapshot) { snap.leaving = leaving })
}

// report returns the state of the endpoint as it was one report lag before now.
func (s *Server) report(now time.Time) reportBody {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := now.Add(-s.settings.reportLag)
	snap := s.history[s.indexAt(at)]
	return reportBody{
		Incarnation: s.settings.incarnation, State: s.settings.stateOf(&snap, at),
		InFlight: snap.inFlight, GroupID: snap.order.GroupID, FencingNumber: snap.order.FencingNumber,
		MemberIndex: snap.order.MemberIndex, Model: snap.order.Model, Version: snap.order.Version,
		Adapters: snap.order.Adapters, CacheSeq: snap.cacheSeq,
	}
}
