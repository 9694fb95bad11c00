package standinendpoint

import (
	"net/http"
	"strconv"
	"time"
)

const maxEventsPerPage = 1024

// cacheEvent is a change of the prefix cache.
type cacheEvent struct {
	Seq        uint64 `json:"seq"`
	Kind       string `json:"kind"`
	PrefixHash uint64 `json:"prefix_hash"`
	at         time.Time
}

// cache is a prefix cache that evicts the oldest prefix when it is full, and
// keeps its latest events.
type cache struct {
	maxPrefixes int
	maxEvents   int
	gapEvery    int // see WithCacheGapEvery; 0 for no gaps
	stored      map[uint64]bool
	prefixes    []uint64 // oldest first
	events      []cacheEvent
	nextSeq     uint64 // sequence number of the next event
}

func newCache(prefixes, events, gapEvery int) cache {
	return cache{maxPrefixes: prefixes, maxEvents: events, gapEvery: gapEvery, stored: map[uint64]bool{}, nextSeq: 1}
}

func (c *cache) add(hashes []uint64, now time.Time) {
	for _, hash := range hashes {
		if c.stored[hash] {
			continue
		}
		c.stored[hash] = true
		c.prefixes = append(c.prefixes, hash)
		c.recordEvent("stored", hash, now)
		if len(c.prefixes) > c.maxPrefixes {
			evicted := c.prefixes[0]
			c.prefixes = c.prefixes[1:]
			delete(c.stored, evicted)
			c.recordEvent("evicted", evicted, now)
		}
	}
}

func (c *cache) recordEvent(kind string, hash uint64, now time.Time) {
	c.events = append(c.events, cacheEvent{Seq: c.nextSeq, Kind: kind, PrefixHash: hash, at: now})
	c.nextSeq++
	if len(c.events) > c.maxEvents {
		c.events = c.events[1:]
	}
	if c.gapEvery > 0 && c.nextSeq%uint64(c.gapEvery) == 0 {
		c.events = nil
	}
}

func (s *Server) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	visibleUntil := time.Now().Add(-s.settings.reportLag) // later events are not listed yet
	page := []cacheEvent{}
	first, next := s.cache.nextSeq, s.cache.nextSeq
	if len(s.cache.events) > 0 {
		first = s.cache.events[0].Seq
	}
	for _, event := range s.cache.events {
		if event.at.After(visibleUntil) || len(page) == maxEventsPerPage {
			next = event.Seq
			break
		}
		if event.Seq >= from {
			page = append(page, event)
		}
	}
	writeJSON(w, map[string]any{"events": page, "next": next, "first": first})
}
