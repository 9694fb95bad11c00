package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const silenceTime = time.Second // "a second or so"

// caseSilence: a worker falls silent for a second while a host is stopped. With
// `preempted`, its memory runs out instead, and it preempts the newest stream, which may
// not be resumed.
func caseSilence(preempted bool) {
	store := NewStore()
	fleet := NewEngineFleet(Model{Name: "daka510000", Size: 4, Load: 1600 * time.Millisecond, Warm: 1600 * time.Millisecond})
	for i := range 4 {
		worker := fleet.Add(store, fmt.Sprintf("i-llm%d", i), "billing-llm", "dar-a", "d-1", 26, 50*time.Millisecond)
		if preempted && trouble() {
			worker.Capacity = 90000
		}
	}
	store.Put("keyed.op", "config", llmConfig(!preempted))
	entries := prepareEntries(store.Address)
	startEntries(entries...)
	head := awaitOpen(fleet, 30*time.Second)
	note("worker %s is the head of an open group", head.ID)
	time.Sleep(4 * time.Second) // longer than stable_window_ms

	const events = 80
	streams, headers := 6, llmHeaders
	if preempted {
		streams, headers = 24, strings.Replace(llmHeaders, "1460,600", "3470,600", 1)
	}
	var results sync.Map
	var sending sync.WaitGroup
	for i := range streams {
		sending.Add(1)
		go func() {
			defer sending.Done()
			client := &Client{Target: entries[0].Front}
			client.Do(http.MethodPost, ledgerHost, "/lohu930/2f?events=2", ledgerKey, []byte("prompt"), 8*time.Second, llmHeaders)
			wanted := events
			if preempted && i == 0 {
				wanted = 66 // it ends 1.3 s after the memory has run out
			}
			if preempted {
				time.Sleep(200 * time.Millisecond)
				time.Sleep(time.Duration(i) * time.Millisecond) // a known order
			}
			result := client.Do(http.MethodPost, ledgerHost, fmt.Sprintf("/lohu930/2f?events=%d", wanted), ledgerKey, []byte("prompt"), 8*time.Second, headers)
			got := strings.Count(string(result.Body), "\ndata: ")
			note("client: %s kept=%v status=%d events=%d of %d err=%v", result.ID, result.Kept, result.Status, got, wanted, result.Err)
			results.Store(i, result.Status == http.StatusOK && result.Err == nil && got == wanted)
		}()
	}
	time.Sleep(time.Second)
	entries[0].Signal(syscall.SIGTERM)
	time.Sleep(500 * time.Millisecond)
	if trouble() && !preempted {
		head.StandStill(silenceTime)
	}
	sending.Wait()
	lost := 0
	results.Range(func(_, complete any) bool {
		if !complete.(bool) {
			lost++
		}
		return true
	})
	note("streams that were passed on and ended without a complete answer: %d of %d", lost, streams)
	fmt.Printf("LOST: %d of %d streams ended without a complete answer\n", lost, streams)
	if lost > 0 {
		finish(exitBroken)
	}
	finish(exitHeld)
}

const llmHeaders = "Flamingodoor-Model: daka510000\r\nFlamingodoor-Token-Usage: 1460,600\r\nFlamingodoor-Prefix-Hash: 5c1e07a2:40,91bd3f06:1420\r\n"

// awaitOpen waits for a head of an open group.
func awaitOpen(fleet *EngineFleet, limit time.Duration) *Engine {
	for begun := time.Now(); time.Since(begun) < limit; time.Sleep(50 * time.Millisecond) {
		fleet.mu.Lock()
		for _, worker := range fleet.workers {
			if worker.state == "open" {
				fleet.mu.Unlock()
				return worker
			}
		}
		fleet.mu.Unlock()
	}
	cannotRun("no group opens")
	return nil
}
