package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	revokeBound = 5 * time.Second         // revoke_ms
	partedTime  = 5500 * time.Millisecond // of the host from the store
	pressRate   = 280                     // requests a second with the key that is taken away
	addedRoutes = 350
	partings    = 10
)

// runConfirm cuts the path of a host to the store off, while clients reach it, and takes a key
// away meanwhile. Clients go on using the key. Without the trouble the path stays sound.
func runConfirm(s *scene) (int, error) {
	s.routes = addedRoutes
	s.configure(1, 0, "key-1", "key-0")
	for i := range 3 {
		w, err := newWorker(fmt.Sprintf("i-%d", i+1), fmt.Sprintf("dar-%c", 'a'+i), s.store, s.notes, 0)
		if err != nil {
			return 0, err
		}
		w.work = 20 * time.Millisecond
		defer w.stop()
		go w.register(s.done)
	}
	toStore, err := newPath(s.store.address())
	if err != nil {
		return 0, err
	}
	h, err := newHost("edge-1", "dar-a", s.folder, toStore.address())
	if err != nil {
		return 0, err
	}
	s.hosts = append(s.hosts, h)
	if err := h.start(); err != nil {
		return 0, err
	}
	if err := h.awaitReady(15 * time.Second); err != nil {
		return 0, err
	}
	late := 0
	for round := range partings {
		count := s.part(h, toStore, round)
		s.notes.note("round %d: %d late requests", round, count)
		late += count
	}
	fmt.Printf("requests that ran with a key, sent later than %s after the acknowledgement that took it away: %d\n", revokeBound, late)
	if late > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// part cuts the host off once, and returns how many requests ran that were sent too late.
func (s *scene) part(h *host, toStore *path, round int) int {
	key := fmt.Sprintf("key-%d", round+2)
	s.configure(10+2*round, 0, "key-1", key)
	time.Sleep(1500 * time.Millisecond)
	if s.trouble {
		toStore.setResets(true)
		s.notes.note("connections of %s to the store are reset", h.name)
	}
	s.configure(11+2*round, 0, "key-1")
	taken := time.Now()
	c := newClient(s.notes, key)
	late := atomic.Int64{}
	var pending sync.WaitGroup
	ticker := time.NewTicker(time.Second / pressRate)
	defer ticker.Stop()
	for since := time.Duration(0); since < partedTime+1500*time.Millisecond; since = time.Since(taken) {
		if since > partedTime {
			toStore.setResets(false)
		}
		<-ticker.C
		if since < revokeBound+200*time.Millisecond {
			continue // what is sent now may run
		}
		pending.Go(func() {
			sentAt := time.Since(taken)
			if c.send(h, http.MethodPost, "/post/payment", 1500*time.Millisecond) == http.StatusOK {
				s.notes.note("a payment with %s ran that was sent %d ms after the acknowledgement", key, sentAt.Milliseconds())
				late.Add(1)
			}
		})
	}
	pending.Wait()
	return int(late.Load())
}
