package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// firstRequestTime is how long a stopping server waits for the first request
	// on a new connection. It covers a retransmission on a network that loses
	// packets.
	firstRequestTime = 500 * time.Millisecond
	// idlePollInterval is the time between two checks for busy connections.
	idlePollInterval = 10 * time.Millisecond
)

// connections records the callers' connections that a request is expected on.
type connections struct {
	mu sync.Mutex
	// busySince holds new connections with the time of their arrival, and active
	// ones with a zero time.
	busySince map[net.Conn]time.Time
}

// setState records a change of a connection's state.
func (c *connections) setState(connection net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busySince == nil {
		c.busySince = make(map[net.Conn]time.Time)
	}
	switch state {
	case http.StateNew:
		c.busySince[connection] = time.Now()
	case http.StateActive:
		c.busySince[connection] = time.Time{}
	case http.StateIdle, http.StateClosed, http.StateHijacked:
		delete(c.busySince, connection)
	}
}

// awaitIdle waits until no connection has a request in flight or may still send
// its first one, or until the context ends.
func (c *connections) awaitIdle(ctx context.Context) {
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for c.anyBusy() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (c *connections) anyBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, since := range c.busySince {
		if since.IsZero() || time.Since(since) < firstRequestTime {
			return true
		}
	}
	return false
}
