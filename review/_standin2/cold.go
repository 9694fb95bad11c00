package main

import (
	"time"
)

// coldAgain: a worker of a service that takes 38 requests a second while it is cold
// becomes cold again, eight times.
func coldAgain(b *bed) int {
	const (
		coldPerS  = 38
		allowed   = coldPerS*3/2 + 5 // cold_per_s x cold_factor + cold_slack
		coldTime  = 3 * time.Second
		perSecond = 600
	)
	config := plainConfig()
	ledger := config["services"].([]any)[0].(map[string]any)
	ledger["cold_per_s"], ledger["cold_start_s"] = coldPerS, 3
	b.plainSlots = 26
	ledgers := deploy(b, 3, 9)
	config["version"] = 4
	b.store.put("keyed.op", "config", config)
	time.Sleep(4 * time.Second)
	stop := b.steady(time.Second/perSecond, func(h *host, id string) result {
		return b.send(h, id, "GET", "/read/account/"+id, map[string]string{"Flamingodoor-Deadline-Ms": "1500"}, "")
	})
	time.Sleep(3 * time.Second)
	w := ledgers[1]
	var coldFrom []time.Time
	for range 8 {
		if b.trouble {
			coldFrom = append(coldFrom, time.Now())
			w.chill(coldTime)
		}
		time.Sleep(4500 * time.Millisecond)
	}
	stop()
	b.mu.Lock()
	defer b.mu.Unlock()
	worst := 0
	for _, from := range coldFrom {
		var reached []arrival
		for _, a := range b.arrivals {
			if a.worker == w && !a.sentAt.Before(from) && a.at.Before(from.Add(coldTime)) {
				reached = append(reached, a)
			}
		}
		most := 0
		for _, first := range reached {
			count := 0
			for _, a := range reached {
				if !a.sentAt.Before(first.sentAt) && a.at.Before(first.sentAt.Add(time.Second)) {
					count++
				}
			}
			most = max(most, count)
		}
		b.noteLocked("cold from %.3f s: at most %d requests were sent to the worker and reached it within a second, %d are allowed", from.Sub(b.started).Seconds(), most, allowed)
		worst = max(worst, most)
	}
	b.noteLocked("at worst %d requests in a second, %d are allowed", worst, allowed)
	if worst > allowed {
		return broken
	}
	return held
}
