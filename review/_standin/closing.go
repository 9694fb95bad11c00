package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// caseClosing: clients close the sending side of their connection after a request and
// read what comes.
func caseClosing() {
	store := NewStore()
	runs := startLedger(store)
	fleet := NewEngineFleet(Model{Name: "daka510000", Size: 4, Load: 1600 * time.Millisecond, Warm: 1600 * time.Millisecond})
	for i := range 4 {
		fleet.Add(store, fmt.Sprintf("i-llm%d", i), "billing-llm", "dar-a", "d-1", 26, 50*time.Millisecond)
	}
	store.Put("keyed.op", "config", bothConfig())
	entries := prepareEntries(store.Address)
	startEntries(entries...)
	head := awaitOpen(fleet, 30*time.Second)
	note("worker %s is the head of an open group", head.ID)
	time.Sleep(4 * time.Second) // longer than stable_window_ms
	const (
		clients   = 5 // of each host, of which one leaves
		rounds    = 10
		events    = 40
		leaveTime = 150 * time.Millisecond // half the objective
	)
	var mu sync.Mutex
	var unsigned []string
	broken, leaving, short, streams := 0, 0, 0, 0
	begun := time.Now()
	var asking sync.WaitGroup
	for _, entry := range entries {
		for number := range clients {
			leaves := number == 0 && trouble()
			asking.Add(1)
			go func() {
				defer asking.Done()
				for round := range rounds {
					client := &Client{Target: entry.Front, EndsSending: leaves}
					body := fmt.Appendf(nil, "payment %d of client %d at %s", round, number, entry.Name)
					result := client.Do(http.MethodPost, ledgerHost, "/puxa403/2f", ledgerKey, body, 1500*time.Millisecond, "")
					client.drop()
					signed := result.Header.Get("Flamingodoor-Response-Signature") != ""
					note("client: %s at %s leaves=%v: status=%d signed=%v body=%q err=%v", result.ID, entry.Name, leaves, result.Status, signed, result.Body, result.Err)
					mu.Lock()
					if number == 0 {
						leaving++
					}
					if result.Status/100 == 2 && !signed {
						broken++
						unsigned = append(unsigned, result.ID)
					}
					mu.Unlock()
				}
				client := &Client{Target: entry.Front, EndsSending: leaves, EndsAfter: leaveTime}
				result := client.Do(http.MethodPost, ledgerHost, fmt.Sprintf("/lohu930/2f?events=%d", events), ledgerKey, []byte("prompt"), 8*time.Second, llmHeaders)
				client.drop()
				got := strings.Count(string(result.Body), "\ndata: ")
				note("client: stream %s at %s leaves=%v: status=%d events=%d of %d err=%v", result.ID, entry.Name, leaves, result.Status, got, events, result.Err)
				mu.Lock()
				defer mu.Unlock()
				if number == 0 {
					streams++
				}
				if result.Status == http.StatusOK && result.Err == nil && got < events {
					short++
				}
			}()
		}
	}
	asking.Wait()
	note("all of it took %.1f s", time.Since(begun).Seconds())
	time.Sleep(time.Second)
	neverRun := 0
	for _, id := range unsigned {
		if runs.count(id) == 0 {
			neverRun++
		}
	}
	summary := fmt.Sprintf("MIXED: of the clients that leave, one in five, %d of %d payments were answered with a success without the signature of a worker, %d of them never ran; %d of %d streams ended early as complete", broken, leaving, neverRun, short, streams)
	note("%s", summary)
	fmt.Println(summary)
	if broken+short > 0 {
		finish(exitBroken)
	}
	finish(exitHeld)
}
