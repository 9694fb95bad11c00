package main

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"
)

const (
	earlierRevoke = 5000 // revoke_ms of the settings at the start
	laterRevoke   = 2000 // of the settings that replace them
	// refusedTime is how long the path to the store is silent.
	refusedTime = 4500 * time.Millisecond
)

// runSettings replaces the settings file of a host, without a signal, by one with a shorter
// revoke_ms. Later the path to the store falls silent and the operator takes a key away.
// Without the trouble the path stays sound. SIGNAL=1 sends SIGHUP after the replacement.
func runSettings(s *scene) (int, error) {
	s.configure(1, 0, "key-1", "key-2")
	for i := range 3 {
		w, err := newWorker(fmt.Sprintf("i-%d", i+1), fmt.Sprintf("dar-%c", 'a'+i), s.store, s.notes, 0)
		if err != nil {
			return 0, err
		}
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
	h.bounds["revoke_ms"] = earlierRevoke
	if err := h.start(); err != nil {
		return 0, err
	}
	if err := h.awaitReady(15 * time.Second); err != nil {
		return 0, err
	}
	time.Sleep(time.Second)
	h.bounds["revoke_ms"] = laterRevoke
	if err := h.writeSettings(); err != nil {
		return 0, err
	}
	s.notes.note("settings of %s: revoke_ms %d instead of %d", h.name, laterRevoke, earlierRevoke)
	if os.Getenv("SIGNAL") == "1" {
		_ = h.process.Process.Signal(syscall.SIGHUP)
		s.notes.note("SIGHUP to %s", h.name)
	}
	time.Sleep(10 * time.Second)
	if s.trouble {
		toStore.setSilent(true)
		s.notes.note("the path of %s to the store falls silent", h.name)
	}
	time.Sleep(100 * time.Millisecond)
	s.configure(2, 0, "key-1")
	taken := time.Now()
	s.notes.note("acknowledged: key-2 is taken away")
	kept, removed := newClient(s.notes, "key-1"), newClient(s.notes, "key-2")
	late, latest := 0, time.Duration(0)
	for time.Since(taken) < refusedTime {
		sentAt := time.Since(taken)
		if removed.send(h, http.MethodPost, "/post/payment", 1500*time.Millisecond) == http.StatusOK && sentAt > laterRevoke*time.Millisecond {
			late, latest = late+1, sentAt
		}
		kept.send(h, http.MethodGet, "/read/balance", 1500*time.Millisecond)
		time.Sleep(50 * time.Millisecond)
	}
	toStore.setSilent(false)
	time.Sleep(3 * time.Second)
	status := kept.send(h, http.MethodGet, "/read/balance", 1500*time.Millisecond)
	s.notes.note("%d requests with the key ran that were sent later than %d ms after the acknowledgement, the latest %d ms after it; at the end key-1 gets %d",
		late, laterRevoke, latest.Milliseconds(), status)
	fmt.Printf("%d requests with the key ran that were sent later than %d ms after the acknowledgement, the latest %d ms after it; key-1 %v, key-2 %v\n",
		late, laterRevoke, latest.Milliseconds(), kept.results, removed.results)
	if late > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}
