package routing

import "flamingodoor.example/flamingodoor"

// firstCacheSeq is the first sequence number to ask an engine for.
const firstCacheSeq = 0

// prefixSet is what cache events say of one incarnation of an engine.
type prefixSet struct {
	incarnation string
	next        uint64 // sequence number of the next event
	stored      map[uint64]bool
	order       []uint64 // as stored, to bound the set; evicted ones included
}

func newPrefixSet(incarnation string, next uint64) *prefixSet {
	return &prefixSet{incarnation: incarnation, next: next, stored: map[uint64]bool{}}
}

// ApplyCacheEvents takes a page of events that was read from a sequence
// number on. Lost events may be evictions, so a gap forgets the engine's
// prefixes; the events after the gap count again.
func (c *Chooser) ApplyCacheEvents(endpointID, incarnation string, events flamingodoor.CacheEvents, from uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	set, ok := c.engines[endpointID]
	if !ok || set.incarnation != incarnation {
		set = newPrefixSet(incarnation, from)
		c.engines[endpointID] = set
	}
	if start := max(from, events.First); start > set.next {
		*set = *newPrefixSet(incarnation, start)
	}
	for _, event := range events.Events {
		if event.Seq < set.next {
			continue
		}
		if event.Seq > set.next {
			*set = *newPrefixSet(incarnation, event.Seq)
		}
		set.next++
		set.apply(event, c.maxPrefixes)
	}
	if events.Next > set.next {
		*set = *newPrefixSet(incarnation, events.Next)
	}
}

func (s *prefixSet) apply(event flamingodoor.CacheEvent, limit int) {
	if !event.Stored {
		delete(s.stored, event.PrefixHash)
		return
	}
	if s.stored[event.PrefixHash] {
		return
	}
	s.stored[event.PrefixHash] = true
	s.order = append(s.order, event.PrefixHash)
	for len(s.order) > limit {
		delete(s.stored, s.order[0])
		s.order = s.order[1:]
	}
}

// NextCacheSeq returns the sequence number from which to read the engine's
// next cache events.
func (c *Chooser) NextCacheSeq(endpointID, incarnation string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if set, ok := c.engines[endpointID]; ok && set.incarnation == incarnation {
		return set.next
	}
	return firstCacheSeq
}

// Forget drops what is known of an endpoint that left the configuration.
func (c *Chooser) Forget(endpointID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.engines, endpointID)
}
