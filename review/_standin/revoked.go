package main

import (
	"fmt"
	"net/http"
	"time"
)

// caseRevoked: the store returns from a copy that lacks the latest configuration, and a
// host starts before the operator has written it again.
func caseRevoked() {
	store := NewStore()
	runs := startLedger(store)
	const revoked = "k7revokedkey00000000"
	store.Put("keyed.op", "config", ledgerConfig(7, ledgerKey, revoked))
	entries := prepareEntries(store.Address)
	startEntries(entries[:2]...)
	ask := func(entry *Entry, key string) Result {
		client := &Client{Target: entry.Front}
		result := client.Do(http.MethodGet, ledgerHost, "/cufi504/2f", key, nil, 1500*time.Millisecond, "")
		client.drop()
		note("client: key %s at %s: %s status=%d err=%v", key, entry.Name, result.ID, result.Status, result.Err)
		return result
	}
	ask(entries[0], revoked)
	time.Sleep(3 * time.Second)
	copied := time.Now()
	time.Sleep(2 * time.Second)
	store.Put("keyed.op", "config", ledgerConfig(8, ledgerKey))
	acknowledged := time.Now()
	note("the store acknowledges version 8, which takes the key %s away", revoked)
	time.Sleep(6 * time.Second)
	ask(entries[0], revoked)
	ask(entries[1], revoked)
	if trouble() {
		store.SetDown(true)
		note("the store is down")
		time.Sleep(time.Second)
		store.Restore(copied)
		note("the store is back from a copy that is %.1f s old", time.Since(copied).Seconds())
	}
	entries[2].Start()
	returned := time.Now()
	broken, rewritten := 0, false
	for time.Since(returned) < 5*time.Second {
		if trouble() && !rewritten && time.Since(returned) > 2*time.Second {
			store.Put("keyed.op", "config", ledgerConfig(8, ledgerKey))
			note("the operator has written version 8 again")
			rewritten = true
		}
		for _, entry := range entries {
			if !entry.IsReady() {
				continue // the platform sends it no clients
			}
			sent := time.Now()
			result := ask(entry, revoked)
			if runs.count(result.ID) > 0 && sent.Sub(acknowledged) > 5*time.Second {
				broken++
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	note("requests with the revoked key that ran, sent more than 5 s after the acknowledgement: %d", broken)
	fmt.Printf("CONFIG: %d requests with a revoked key ran\n", broken)
	if broken > 0 {
		finish(exitBroken)
	}
	finish(exitHeld)
}
