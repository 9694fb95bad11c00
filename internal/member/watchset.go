package member

import (
	"sync"

	"flamingodoor.example/flamingodoor"
)

// WatchSet is the list of endpoints that a host watches. It is computed once
// for each applied offset, because ranking all hosts for all endpoints costs
// more than a host may spend for control if it is done each second. It is safe
// for concurrent use.
type WatchSet struct {
	hostID string

	mu        sync.Mutex
	known     bool
	applied   uint64
	endpoints []flamingodoor.Endpoint
}

// NewWatchSet returns the watch set of a host.
func NewWatchSet(hostID string) *WatchSet {
	return &WatchSet{hostID: hostID}
}

// Endpoints returns the endpoints that the host watches by the configuration.
// The caller must not change the list.
func (w *WatchSet) Endpoints(configuration flamingodoor.Configuration) []flamingodoor.Endpoint {
	applied := configuration.Applied()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.known && w.applied == applied {
		return w.endpoints
	}
	var endpoints []flamingodoor.Endpoint
	for _, endpoint := range configuration.Endpoints() {
		for _, watcher := range Watchers(configuration, endpoint) {
			if watcher.ID == w.hostID {
				endpoints = append(endpoints, endpoint)
			}
		}
	}
	w.known, w.applied, w.endpoints = true, applied, endpoints
	return endpoints
}
