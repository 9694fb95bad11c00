package standinendpoint

import (
	"net/http"
	"strconv"
	"time"
)

const maxEventsPerPage = 1024

type cacheEvent struct {
	Seq        uint64 `json:"seq"`
	Kind       string `json:"kind"`
	PrefixHash uint64 `json:"prefix_hash"`
	at         time.Time
}

// cache is a prefix cache that evicts the oldest prefix.
type cache struct {
	maxPrefixes int
	maxEvents   int
	gapEvery    int
	stored      map[uint64]bool
	order       []uint64
	events      []cacheEvent
	next        uint64
}

func newCache(prefixes, events, gapEvery int) cache {
	return cache{maxPrefixes: prefixes, maxEvents: events, gapEvery: gapEvery, stored: map[uint64]bool{}, next: 1}
}

func (c *cache) add(hashes []uint64, now time.Time) {
	for _, hash := range hashes {
		if c.stored[hash] {
			continue
		}
		c.stored[hash] = true
		c.order = append(c.order, hash)
		c.record("stored", hash, now)
		if len(c.order) > c.maxPrefixes {
			evicted := c.order[0]
			c.order = c.order[1:]
			delete(c.stored, evicted)
			c.record("evicted", evicted, now)
		}
	}
}

func (c *cache) record(kind string, hash uint64, now time.Time) {
	c.events = append(c.events, cacheEvent{Seq: c.next, Kind: kind, PrefixHash: hash, at: now})
	c.next++
	if len(c.events) > c.maxEvents {
		c.events = c.events[1:]
	}
	if c.gapEvery > 0 && c.next%uint64(c.gapEvery) == 0 {
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
	visible := time.Now().Add(-s.settings.reportLag)
	page := []cacheEvent{}
	first, next := s.cache.next, s.cache.next
	if len(s.cache.events) > 0 {
		first = s.cache.events[0].Seq
	}
	for _, event := range s.cache.events {
		if event.at.After(visible) || len(page) == maxEventsPerPage {
			next = event.Seq
			break
		}
		if event.Seq >= from {
			page = append(page, event)
		}
	}
	writeJSON(w, map[string]any{"events": page, "next": next, "first": first})
}
