package admission

import "time"

// admit admits waiting requests while slots are free. If the next request does
// not fit yet, smaller ones are not admitted before it, else large requests could
// wait for ever.
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
		q.resolve(w, nil)
	}
}

// next returns the first waiter of the club with the fewest slots in use relative
// to its weight.
func (q *Queue) next(now time.Time) *waiter {
	var best *waiter
	var leastUsage float64
	for _, club := range q.clubs {
		if len(club.waiting) == 0 {
			continue
		}
		w, usage := club.first(), q.relativeUsage(club, now)
		if best == nil || lessServed(usage, leastUsage, w.sequence < best.sequence) {
			best, leastUsage = w, usage
		}
	}
	return best
}

// lessServed reports whether the first of two parties comes before the second: the one
// that was served less, or, if both were served alike, the one whose request is first.
func lessServed(usage, other float64, first bool) bool {
	return usage < other || (usage == other && first)
}

// relativeUsage returns the slots that a club uses on all hosts, divided by its
// weight.
func (q *Queue) relativeUsage(c *club, now time.Time) float64 {
	inUse := c.inFlight
	if q.usage != nil {
		inUse += q.usage.PeerInFlight(c.id, now)
	}
	return float64(inUse) / float64(q.weight(c.id))
}

// weight returns the weight of a club; it is at least 1.
func (q *Queue) weight(clubID string) int {
	return max(q.weights[clubID], 1)
}

// first returns the waiter with the highest priority, and the oldest among
// equals.
func (c *club) first() *waiter {
	best := c.waiting[0]
	for _, w := range c.waiting[1:] {
		if w.ticket.Priority > best.ticket.Priority {
			best = w
		}
	}
	return best
}

// victim returns the waiter to shed: the one with the lowest priority, and the
// newest among equals. Clubs with no more waiters than their share of the queue
// are protected, else a club could displace the others by the priority that it
// sets.
func (q *Queue) victim() *waiter {
	total := 0
	for _, club := range q.clubs {
		if len(club.waiting) > 0 {
			total += q.weight(club.id)
		}
	}
	var victim *waiter
	for _, protect := range []bool{true, false} {
		for _, club := range q.clubs {
			share := max(1, q.maxWaiting*q.weight(club.id)/max(total, 1))
			if protect && len(club.waiting) <= share {
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
