package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/readahead"
)

const (
	// firstRequestTime is how long a stopping server waits for the first request
	// on a new connection. It covers a retransmission on a network that loses
	// packets.
	firstRequestTime = 400 * time.Millisecond
	// lastLookTime is how long the last read of an idle connection waits.
	lastLookTime = 20 * time.Millisecond
	// readAheadBytes is the size of the reads by which http.Server notices, while a
	// handler runs, that the caller has left. Others are larger, but for those at a limit
	// of the head, before the handler.
	readAheadBytes = 1
	// closedPollInterval is the time between two checks for open connections.
	closedPollInterval = 10 * time.Millisecond
)

// connections holds the open connections of callers.
type connections struct {
	budget *readahead.Budget // of bytes that are held for callers; nil for none
	logger log.Logger

	mu   sync.Mutex
	open map[*callerConn]struct{}
}

// add returns a connection of a caller, whose limits may change, as the server is to use
// it.
func (c *connections) add(connection net.Conn, limits *atomic.Pointer[flamingodoor.CallerLimits]) *callerConn {
	caller := &callerConn{Conn: NewSlowConn(connection, c.budget, c.logger), limits: limits, waiting: true, waitUntil: time.Now().Add(firstRequestTime)}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open == nil {
		c.open = make(map[*callerConn]struct{})
	}
	c.open[caller] = struct{}{}
	return caller
}

func (c *connections) remove(caller *callerConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, caller)
}

// setState records a change of a connection's state.
func (c *connections) setState(connection net.Conn, state http.ConnState) {
	caller, ok := connection.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew: // recorded by add
	case http.StateIdle:
		caller.awaitRequest()
	case http.StateActive:
		caller.received(false)
	case http.StateClosed, http.StateHijacked:
		c.removeClosed(caller)
	}
}

// removeClosed removes a connection that the server has closed, once the caller has
// accepted what is held for it.
func (c *connections) removeClosed(caller *callerConn) {
	slow, ok := caller.Conn.(*slowConn)
	if !ok || !slow.onDrained(func() { c.remove(caller) }) {
		c.remove(caller)
	}
}

// closeIdle makes the server close each connection once no request is on it.
func (c *connections) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for caller := range c.open {
		caller.closeIdle()
	}
}

// awaitClosed waits until no connection is open, or until the context ends, whose error it
// then returns.
func (c *connections) awaitClosed(ctx context.Context) error {
	ticker := time.NewTicker(closedPollInterval)
	defer ticker.Stop()
	for c.anyOpen() {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
	return nil
}

func (c *connections) anyOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open) > 0
}

// callerConn is a connection of a caller. Only the goroutine that reads it ends
// it: http.Server closes a connection that it counts as idle from outside, also
// when a read of it returns a request at this moment, which is then passed on
// without anywhere to send its answer. Here the read that waits for a request
// either returns bytes, and the request is served, or fails, and the server
// closes the connection.
type callerConn struct {
	net.Conn

	limits *atomic.Pointer[flamingodoor.CallerLimits]
	server *http.Server // of this connection alone; only the goroutine that serves it uses the limits there

	mu        sync.Mutex
	waiting   bool      // for the first byte of a request
	waitUntil time.Time // while waiting, once closing
	idle      idleState
	closing   bool
	answered  bool      // since it began to close
	readAhead bool      // a byte of the next request was read while one was answered
	deadline  time.Time // of reads, as the server set it
}

// idleState is how far the server is in its wait for the next request. It sets a
// deadline for the wait, and another one once a request has begun, which it may have
// read together with the one before.
type idleState int

const (
	idleEnded   idleState = iota // or not begun
	idleBegun                    // the deadline of the wait is set next
	idleWaiting                  // the deadline of a request is set next
)

// Read reads from the caller.
func (c *callerConn) Read(buffer []byte) (int, error) {
	n, err := c.Conn.Read(buffer)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.mayLookAgain() {
		n, err = c.Conn.Read(buffer)
	}
	if n > 0 {
		c.received(len(buffer) == readAheadBytes)
	}
	return n, err
}

// mayLookAgain prepares a last read of an idle connection: a read whose deadline
// has passed fails although a request may have arrived. A request that follows an
// answer of the stop is too late to be finished within the grace period.
func (c *callerConn) mayLookAgain() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waiting && c.closing && !c.answered && c.Conn.SetReadDeadline(time.Now().Add(lastLookTime)) == nil
}

// SetReadDeadline sets the deadline of reads. While a connection that closes
// waits for a request, the wait ends sooner.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = deadline
	switch c.idle {
	case idleBegun:
		c.idle = idleWaiting
	case idleWaiting:
		c.idle, c.waiting = idleEnded, false
	case idleEnded:
	}
	return c.applyDeadline()
}

func (c *callerConn) applyDeadline() error {
	deadline := c.deadline
	if c.waiting && c.closing && (deadline.IsZero() || c.waitUntil.Before(deadline)) {
		deadline = c.waitUntil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// CloseWrite ends what is sent to the caller, who may still read it.
func (c *callerConn) CloseWrite() error {
	if connection, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return connection.CloseWrite()
	}
	return nil
}

// closeIdle ends the wait for a request, now or as soon as one begins.
func (c *callerConn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	_ = c.applyDeadline() // fails only if the connection is closed
}

// awaitRequest notes that a request was answered and another may follow, of which the
// server may have the first byte. After an answer of the stop, it is too late for one.
func (c *callerConn) awaitRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting, c.readAhead = c.closing || !c.readAhead, false
	c.waitUntil = time.Now()
	c.idle = idleBegun
	c.answered = c.closing
	c.applyLimits()
}

// applyLimits makes the server use the present limits. The goroutine that serves the
// connection calls it between two requests.
func (c *callerConn) applyLimits() {
	limits := c.limits.Load()
	c.server.MaxHeaderBytes, c.server.ReadHeaderTimeout = limits.HeaderBytes, limits.HeaderTimeout
	// A caller may count on the idle time that the connection had: a shorter one applies to
	// new connections. 0 stands for no limit.
	if known := c.server.IdleTimeout; known > 0 && (limits.IdleTimeout <= 0 || limits.IdleTimeout > known) {
		c.server.IdleTimeout = limits.IdleTimeout
	}
}

// received notes that bytes of a request have arrived, which the server may have read
// while it answers the request before.
func (c *callerConn) received(readAhead bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == idleWaiting {
		c.applyLimits() // they may have changed during the wait
	}
	if !c.waiting {
		c.readAhead = readAhead
		return
	}
	c.waiting = false
	if c.closing {
		_ = c.applyDeadline() // fails only if the connection is closed
	}
}
