package main

import (
	"time"
)

// partialEntry: a worker leaves without a report: its entry is removed, and it goes on
// serving for some seconds. Another writer writes an entry under its id in which fields
// are missing.
func partialEntry(b *bed) int {
	b.plainSlots = 12
	ledgers := deploy(b, 3, 9)
	time.Sleep(3 * time.Second)
	stop := b.steady(50*time.Millisecond, func(h *host, id string) result {
		return b.send(h, id, "GET", "/read/account/"+id, map[string]string{"Flamingodoor-Deadline-Ms": "1500"}, "")
	})
	stopPayments := b.steady(10*time.Millisecond, func(h *host, id string) result {
		return b.send(h, id, "POST", "/post/payment", map[string]string{"Flamingodoor-Deadline-Ms": "1500"}, "payment "+id)
	})
	time.Sleep(2 * time.Second)
	w := ledgers[2]
	id := w.retire()
	removed := time.Now()
	b.note("the entry of worker %s is removed", id)
	time.Sleep(time.Second)
	if b.trouble {
		b.store.put("keyed.servers", id, map[string]any{"service": w.service, "address": w.address, "zone": w.zone, "slots": w.slots, "state": "ready", "born": w.born})
		b.note("another writer writes an entry for %s without version, cold_left_ms and sequence", id)
	}
	time.Sleep(6 * time.Second)
	w.crash()
	b.note("the process of worker %s ends", id)
	time.Sleep(time.Second)
	payments := stopPayments()
	stop()
	return b.judgeLeaving(w, removed, payments)
}

// judgeLeaving: DRAIN. Requests reach a worker later than drain_ms after the store has
// acknowledged that it leaves.
func (b *bed) judgeLeaving(w *worker, left time.Time, payments []result) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	late := map[string]bool{}
	for _, a := range b.arrivals {
		if a.worker == w && a.at.Sub(left) > 2*time.Second {
			late[a.requestID] = true
		}
	}
	lost := 0
	for _, r := range payments {
		if late[r.id] && (r.err != nil || r.status != 200) {
			lost++
			b.noteLocked("lost: payment %s ran at the worker: status %d, error %v", r.id, r.status, r.err)
		}
	}
	b.noteLocked("%d payments that ran there were lost when the worker ended", lost)
	b.noteLocked("%d requests reached worker %s later than 2 s after the store had acknowledged that it leaves", len(late), w.id)
	if len(late) > 0 {
		return broken
	}
	return held
}

// retire ends the heartbeats of a worker and removes its entry. The worker goes on serving.
func (w *worker) retire() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.quiet)
	w.bed.store.put("keyed.servers", w.id, nil)
	return w.id
}
