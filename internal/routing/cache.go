package routing

import "flamingodoor.example/flamingodoor"

// firstCacheSeq is the sequence number at which reading the cache events of an
// incarnation begins.
const firstCacheSeq = 0

// prefixSet is the set of prefixes that one incarnation of an engine has
// cached, as its cache events report them.
type prefixSet struct {
	incarnation string
	next        uint64 // sequence number of the next event
	stored      map[uint64]bool
	// order holds the prefixes in the order in which they were stored, including
	// evicted ones. Its length is limited, which bounds the set.
	order []uint64
}

func newPrefixSet(incarnation string, next uint64) *prefixSet {
	return &prefixSet{incarnation: incarnation, next: next, stored: map[uint64]bool{}}
}

// ApplyCacheEvents applies a page of events; from is the sequence number at
// which reading the page began. Lost events may be evictions, so a gap in the
// sequence discards the known prefixes of the engine; the events after the gap
// are applied as usual.
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

// apply adds or removes a prefix. Beyond the limit it drops the prefixes that
// were stored first.
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

// Forget discards the known prefixes of an endpoint that was removed from the
// configuration.
func (c *Chooser) Forget(endpointID string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.engines, endpointID)
}
