package exchange

import (
	"time"
)

// Hosts returns the number of entry hosts that were heard lately, this one
// included.
func (e *Exchanger) Hosts() int {
	now := e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	count := 1
	for _, each := range e.peers {
		if now.Sub(each.heard) < peerLife {
			count++
		}
	}
	return count
}

// Spread is how long the work of a host takes to be known to all others.
func (e *Exchanger) Spread() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	near, far := 0, 0
	for _, each := range e.peers {
		if each.DataCentre == e.self.DataCentre {
			near++
		} else {
			far++
		}
	}
	if now := e.now(); now.Before(e.relayUntil) || e.relays(now) {
		return (1 + summaryHops) * shareEvery
	}
	turns := max((near+nearPeers-1)/nearPeers, (far+farPeers-1)/farPeers)
	return time.Duration(1+turns) * shareEvery
}

// Listed reports whether this host has read the list of hosts.
func (e *Exchanger) Listed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.listed
}

// LimitHosts returns the entry hosts among which the limits that all share are
// divided, this one included.
func (e *Exchanger) LimitHosts() []string {
	now := e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	hosts := []string{e.self.ID}
	for _, each := range e.peers {
		news := each.heard
		if news.IsZero() {
			news = each.added
		}
		if !each.left && now.Sub(news) < limitLife {
			hosts = append(hosts, each.ID)
		}
	}
	return hosts
}
