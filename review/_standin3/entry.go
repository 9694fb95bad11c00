package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// copyPause separates two entries of the other writer.
const copyPause = 2 * time.Second

// runEntry lets another writer add entries whose service is not named in the configuration:
// copies of the entries of members of groups, under keys of their own.
func runEntry(s *scene) (int, error) {
	workers := newFleet(s.store, s.notes)
	s.configureModel(1, "key-1")
	for i := range 11 {
		if err := workers.add(fmt.Sprintf("i-%02d", i+1), "dar-a", "domain-a"); err != nil {
			return 0, err
		}
	}
	go workers.run(s.done)
	if err := s.startHosts(3); err != nil {
		return 0, err
	}
	for end := time.Now().Add(20 * time.Second); len(workers.openGroups()) < 3; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return 0, fmt.Errorf("only %d groups open", len(workers.openGroups()))
		}
	}
	callers := newClient(s.notes, "key-1")
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		callers.runStreams(s.hosts, 120, 24*time.Second)
	}()
	time.Sleep(6 * time.Second)
	copied := workers.openGroups()
	for _, rank := range []int{1, 2} {
		for _, group := range copied {
			if s.trouble {
				s.copyEntry(workers, group.members[rank])
			}
			time.Sleep(copyPause)
		}
	}
	<-ended
	workers.mu.Lock()
	defer workers.mu.Unlock()
	s.notes.note("results %v; breaches of TWO: %d", callers.results, len(workers.breaches))
	fmt.Printf("breaches of TWO: %d %v; results %v\n", len(workers.breaches), workers.breaches, callers.results)
	if len(workers.breaches) > 0 {
		return exitBroken, nil
	}
	return exitHeld, nil
}

// copyEntry adds a copy of a worker's entry whose service the configuration does not name.
// MISSING names a field that the copy lacks instead.
func (s *scene) copyEntry(workers *fleet, id string) {
	fields := workers.entry(id)
	if missing := os.Getenv("MISSING"); missing != "" {
		delete(fields, missing)
	} else {
		fields["service"] = "other-service"
	}
	value, _ := json.Marshal(fields)
	s.store.put(serversTopic, "x-"+id, value)
	s.notes.note("another writer adds entry x-%s: %s", id, value)
	// The store removes an entry after three heartbeats of silence.
	time.AfterFunc(registrationTTL, func() { s.store.put(serversTopic, "x-"+id, nil) })
}
