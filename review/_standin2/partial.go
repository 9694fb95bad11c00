package main

import (
	"time"
)

// partialEntry: a worker leaves without a report: its entry is removed, and it goes on
// serving for a while. Another writer writes an entry under its id in which fields are
// missing.
func partialEntry(b *bed) int {
	ledgers := deploy(b, 3, 9)
	time.Sleep(3 * time.Second)
	stop := b.steady(50*time.Millisecond, func(h *host, id string) result {
		return b.send(h, id, "GET", "/read/account/"+id, map[string]string{"Flamingodoor-Deadline-Ms": "1500"}, "")
	})
	time.Sleep(2 * time.Second)
	w := ledgers[2]
	id := w.retire()
	removed := time.Now()
	b.note("the entry of worker %s is removed", id)
	time.Sleep(1 * time.Second)
	if b.trouble {
		b.store.put("keyed.servers", id, map[string]any{"service": w.service, "address": w.address, "zone": w.zone, "slots": w.slots, "state": "ready", "born": w.born})
		b.note("another writer writes an entry for %s without version, cold_left_ms and sequence", id)
	}
	time.Sleep(6 * time.Second)
	stop()
	b.mu.Lock()
	defer b.mu.Unlock()
	late := 0
	for _, a := range b.arrivals {
		if a.worker == w && a.at.Sub(removed) > 2*time.Second {
			late++
		}
	}
	b.noteLocked("%d requests reached worker %s later than 2 s after its entry was removed", late, id)
	if late > 0 {
		return broken
	}
	return held
}

// retire ends the heartbeats of a worker and removes its entry. The worker goes on serving.
func (w *worker) retire() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running = false
	w.bed.store.put("keyed.servers", w.id, nil)
	return w.id
}
