package main

import (
	"fmt"
	"time"
)

const (
	coldPerSecond = 4.0
	coldTime      = 5 * time.Second // cold_start_s
	requestRate   = 45.0
	// coldBound is cold_per_s x cold_factor + cold_slack.
	coldBound = int(coldPerSecond*1.5 + 5)
	// crashRate is the rate, three and a half times what it tolerates, at which the cold
	// worker crashes.
	crashRate = int(3.5 * coldPerSecond)
	// cutTime is how long the worker is cut off from the store.
	cutTime = 5 * time.Second
)

// runCold cuts a worker off from the store, while requests still reach it, and lets it
// become cold. Without the trouble it becomes cold without a cut.
func runCold(s *scene) (int, error) {
	s.configure(1, coldPerSecond, "key-1")
	var workers []*worker
	for i := range 3 {
		w, err := newWorker(fmt.Sprintf("i-%d", i+1), fmt.Sprintf("dar-%c", 'a'+i), s.store, s.notes, coldPerSecond)
		if err != nil {
			return 0, err
		}
		defer w.stop()
		workers = append(workers, w)
		go w.register(s.done)
	}
	if err := s.startHosts(3); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	callers := newClient(s.notes, "key-1")
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		callers.run(s.hosts, requestRate, 14*time.Second)
	}()
	time.Sleep(4 * time.Second)
	victim := workers[0]
	victim.crashAt = crashRate
	victim.onCrash = func() { victim.restart(2 * time.Second) }
	if s.trouble {
		victim.setCut(true)
	}
	time.Sleep(200 * time.Millisecond)
	victim.becomeCold(coldTime)
	time.Sleep(cutTime)
	if s.trouble {
		victim.setCut(false)
	}
	<-ended
	most, crashes := victim.mostWhileCold(), victim.overloads()
	s.notes.note("results %v", callers.results)
	s.notes.note("most requests in a second at the cold worker: %d, bound %d; crashes by overload: %d", most, coldBound, crashes)
	fmt.Printf("most requests in a second at the cold worker: %d, bound %d; crashes by overload: %d; results %v\n", most, coldBound, crashes, callers.results)
	if most > coldBound {
		return exitBroken, nil
	}
	return exitHeld, nil
}
