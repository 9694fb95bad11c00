package member

import (
	"sync"

	"flamingodoor.example/flamingodoor"
)

// WatchSet caches the list of endpoints that a host watches. The list is
// computed once for each applied offset, because ranking all hosts for all
// endpoints every second would exceed the CPU time that a host may spend on
// control tasks. It is safe for concurrent use.
type WatchSet struct {
	hostID string

	mu        sync.Mutex
	cached    bool
	applied   uint64 // offset of the configuration that endpoints was computed from
	endpoints []flamingodoor.Endpoint
}

// NewWatchSet returns the WatchSet of the host with the given ID.
func NewWatchSet(hostID string) *WatchSet {
	return &WatchSet{hostID: hostID}
}

// Endpoints returns the endpoints that the host watches under the given
// configuration. The caller must not modify the list.
func (w *WatchSet) Endpoints(configuration flamingodoor.Configuration) []flamingodoor.Endpoint {
	applied := configuration.Applied()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cached && w.applied == applied {
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
	w.cached, w.applied, w.endpoints = true, applied, endpoints
	return endpoints
}
