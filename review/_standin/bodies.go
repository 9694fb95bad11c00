package main

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// memoryMB is the memory of a process of an edge machine. The platform kills a process
// that exceeds it.
const memoryMB = 284

// guard kills the process of an entry host when it exceeds its memory, and starts it
// again after a short delay.
func (e *Entry) guard(ended <-chan struct{}, guarded *sync.WaitGroup, ends *int, peak *float64) {
	defer guarded.Done()
	for {
		select {
		case <-ended:
			return
		case <-time.After(5 * time.Millisecond):
		}
		used := e.MemoryMB()
		*peak = max(*peak, used)
		if used <= memoryMB {
			continue
		}
		*ends++
		note("%s uses %.0f MB of %d MB: the platform kills it, end %d", e.Name, used, memoryMB, *ends)
		e.Signal(syscall.SIGKILL)
		_, _ = e.process.Process.Wait()
		time.Sleep(500 * time.Millisecond)
		e.Start()
	}
}

// caseBodies: many clients post bodies of the largest size that the configuration
// allows, at once.
func caseBodies() {
	store := NewStore()
	runs := &runLog{runs: map[string]int{}}
	fleet := NewEngineFleet(Model{Name: "daka510000", Size: 4, Load: 1600 * time.Millisecond, Warm: 1600 * time.Millisecond})
	for i := range 24 {
		domain := i / 8
		worker := fleet.Add(store, fmt.Sprintf("i-llm%02d", i), "billing-llm", []string{"dar-a", "dar-b", "dar-c"}[domain], fmt.Sprintf("d-%d", domain), 26, 50*time.Millisecond)
		worker.OnRun = func(_ *Engine, id string, _ *http.Request) {
			runs.add(id)
		}
	}
	store.Put("keyed.op", "config", llmConfig(true))
	entries := prepareEntries(store.Address)
	startEntries(entries...)
	awaitOpen(fleet, 30*time.Second)
	time.Sleep(4 * time.Second) // longer than stable_window_ms, and until all groups are open
	ended := make(chan struct{})
	peaks, ends := make([]float64, len(entries)), make([]int, len(entries))
	var guarded sync.WaitGroup
	for i, entry := range entries {
		guarded.Add(1)
		go entry.guard(ended, &guarded, &ends[i], &peaks[i])
	}
	large := make([]byte, 4<<20)
	_, _ = rand.Read(large)
	const perHost = 26 // of the site's 77 clients, with three hosts
	const waves = 4
	atOnce := perHost
	if !trouble() {
		atOnce = 8 // the same requests, one after the other
	}
	var mu sync.Mutex
	lost, ran := 0, 0
	statuses := map[int]int{}
	for range waves {
		var sending sync.WaitGroup
		for _, entry := range entries {
			link, turns := &Link{}, make(chan struct{}, atOnce)
			for range perHost {
				sending.Add(1)
				go func() {
					defer sending.Done()
					turns <- struct{}{}
					defer func() { <-turns }()
					client := &Client{Target: entry.Front, Link: link}
					defer client.drop()
					for i, body := range [][]byte{large[:1500], large} {
						events := []int{1, 60}[i]
						result := client.Do(http.MethodPost, "ficu95.example", fmt.Sprintf("/lohu930/2f?events=%d", events), "n2ctnfzs989anu6wsjnb", body, 8*time.Second, llmHeaders)
						note("%s %s bytes=%d kept=%v status=%d received=%d err=%v", entry.Name, result.ID, len(body), result.Kept, result.Status, len(result.Body), result.Err)
						mu.Lock()
						statuses[result.Status]++
						if runs.count(result.ID) > 0 {
							ran++
							if result.Kept && result.Err != nil {
								lost++
							}
						}
						mu.Unlock()
					}
				}()
			}
		}
		sending.Wait()
		time.Sleep(3 * time.Second)
	}
	close(ended)
	guarded.Wait()
	machines := 0
	for _, count := range ends {
		if count >= 3 {
			machines++
		}
	}
	summary := fmt.Sprintf("FAULT: processes killed for their memory, by machine: %v; machines with three ends: %d; answers by status %v; run %d; run, from a kept connection and closed without a complete answer: %d; peak memory MB %.0f",
		ends, machines, statuses, ran, lost, peaks)
	note("%s", summary)
	fmt.Println(summary)
	if machines >= 2 {
		finish(exitBroken)
	}
	finish(exitHeld)
}
