package main

import (
	"fmt"
	"net/http"
	"strings"
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
	broken, total := 0, 0
	var unsigned []string
	for round := range 10 {
		for _, entry := range entries {
			client := &Client{Target: entry.Front, EndsSending: trouble()}
			body := fmt.Appendf(nil, "payment %d at %s", round, entry.Name)
			result := client.Do(http.MethodPost, ledgerHost, "/puxa403/2f", ledgerKey, body, 1500*time.Millisecond, "")
			client.drop()
			total++
			signed := result.Header.Get("Flamingodoor-Response-Signature") != ""
			note("client: %s at %s: status=%d signed=%v body=%q err=%v, runs %d", result.ID, entry.Name, result.Status, signed, result.Body, result.Err, runs.count(result.ID))
			if result.Status/100 == 2 && !signed {
				broken++
				unsigned = append(unsigned, result.ID)
			}
		}
	}
	head := awaitOpen(fleet, 30*time.Second)
	note("worker %s is the head of an open group", head.ID)
	time.Sleep(time.Second) // until all hosts know the group
	short, streams := 0, 0
	const events = 40
	for round := range 3 {
		for _, entry := range entries {
			client := &Client{Target: entry.Front, EndsSending: trouble(), EndsAfter: 500 * time.Millisecond}
			result := client.Do(http.MethodPost, ledgerHost, fmt.Sprintf("/lohu930/%d?events=%d", round, events), ledgerKey, []byte("prompt"), 8*time.Second, llmHeaders)
			client.drop()
			streams++
			got := strings.Count(string(result.Body), "\ndata: ")
			note("client: stream %s at %s: status=%d events=%d of %d err=%v", result.ID, entry.Name, result.Status, got, events, result.Err)
			if result.Status == http.StatusOK && result.Err == nil && got < events {
				short++
			}
		}
	}
	neverRun := 0
	for _, id := range unsigned {
		if runs.count(id) == 0 {
			neverRun++
		}
	}
	summary := fmt.Sprintf("MIXED: %d of %d payments were answered with a success without the signature of a worker, %d of them never ran; %d of %d streams ended early as complete", broken, total, neverRun, short, streams)
	note("%s", summary)
	fmt.Println(summary)
	if broken+short > 0 {
		finish(exitBroken)
	}
	finish(exitHeld)
}
