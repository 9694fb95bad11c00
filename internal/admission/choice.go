package admission

import "time"

// admit fills the free places. A request that does not fit yet is not
// overtaken, else large requests could wait for ever.
func (q *Queue) admit() {
	if q.waiting == 0 {
		return
	}
	now := q.now()
	for q.waiting > 0 {
		w := q.next(now)
		fits := q.inFlight+w.ticket.Cost <= q.capacity
		// A request larger than the whole capacity runs alone.
		if !fits && (q.inFlight > 0 || q.capacity < 1) {
			return
		}
		q.inFlight += w.ticket.Cost
		w.club.inFlight += w.ticket.Cost
		q.decide(w, nil)
	}
}

// next returns the first request of the club with the smallest use relative
// to its weight.
func (q *Queue) next(now time.Time) *waiter {
	var best *waiter
	var bestUse float64
	for _, club := range q.clubs {
		if len(club.waiting) == 0 {
			continue
		}
		w, use := club.first(), q.relativeUse(club, now)
		if best == nil || use < bestUse || (use == bestUse && w.sequence < best.sequence) {
			best, bestUse = w, use
		}
	}
	return best
}

func (q *Queue) relativeUse(c *club, now time.Time) float64 {
	use := c.inFlight
	if q.uses != nil {
		use += q.uses.PeerInFlight(c.id, now)
	}
	return float64(use) / float64(q.weight(c.id))
}

func (q *Queue) weight(clubID string) int {
	return max(q.weights[clubID], 1)
}

// first returns the waiter with the highest priority, the oldest among equals.
func (c *club) first() *waiter {
	best := c.waiting[0]
	for _, w := range c.waiting[1:] {
		if w.ticket.Priority > best.ticket.Priority {
			best = w
		}
	}
	return best
}

// victim returns the waiter to shed: the lowest priority, the newest among
// equals. Clubs that wait with no more than their share of the queue are
// spared, else a club could push out the others by the priority it sets.
func (q *Queue) victim() *waiter {
	total := 0
	for _, club := range q.clubs {
		if len(club.waiting) > 0 {
			total += q.weight(club.id)
		}
	}
	var victim *waiter
	for _, spare := range []bool{true, false} {
		for _, club := range q.clubs {
			share := max(1, q.maxWaiting*q.weight(club.id)/max(total, 1))
			if spare && len(club.waiting) <= share {
				continue
			}
			for _, w := range club.waiting {
				if victim == nil || w.ticket.Priority < victim.ticket.Priority ||
					(w.ticket.Priority == victim.ticket.Priority && w.sequence > victim.sequence) {
					victim = w
				}
			}
		}
		if victim != nil {
			break
		}
	}
	return victim
}
