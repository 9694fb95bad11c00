package upstream

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// examineInterval is the time between two examinations of a silent connection.
	examineInterval = 50 * time.Millisecond
	// answerTime is how long a silent connection has after its endpoint has answered
	// on another one: an endpoint that stood still answers all requests late.
	answerTime = 100 * time.Millisecond
	// olderTime is how long an answer on an older connection speaks for all of them.
	olderTime = time.Second
	// proofTime is how long an answer shows that an endpoint answers.
	proofTime = 500 * time.Millisecond
	// probeInterval is the shortest time between two probes of an endpoint.
	probeInterval = 400 * time.Millisecond
	// manyTargets with silent connections within manyTargetsTime show that the path to
	// all of them was interrupted.
	manyTargets     = 3
	manyTargetsTime = time.Second
)

// Probe reports whether an endpoint answers on a new connection and has no requests
// that it may still be working on.
type Probe func(ctx context.Context, target Target) bool

// WithProbe sets the function that probes the endpoints of silent connections.
func WithProbe(probe Probe) Option {
	return func(p *Pool) { p.probe = probe }
}

// silence is the state of a connection on which a response is awaited.
type silence struct {
	mu        sync.Mutex
	timer     *time.Timer
	awaiting  bool
	sentAt    time.Time
	suspectAt time.Time // when the endpoint has usually responded
	silentAt  time.Time // when the connection was last heard before the request
	answersAt time.Time // when the endpoint was first found to answer elsewhere since
	dead      bool
}

// probeState holds the probes of one endpoint.
type probeState struct {
	nextAt     time.Time
	answeredAt time.Time
}

// Read reads from the endpoint and records that bytes arrived.
func (c *connection) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 {
		c.heard.Store(int64(c.pool.now().Sub(c.pool.started)))
	}
	return n, err
}

// Close closes the connection.
func (c *connection) Close() error {
	c.pool.forget(c)
	return c.Conn.Close()
}

// heardAt returns when bytes arrived last, or when the connection was opened.
func (c *connection) heardAt() time.Time {
	if heard := c.heard.Load(); heard != 0 {
		return c.pool.started.Add(time.Duration(heard))
	}
	return c.opened
}

// await has the connection examined if it delivers nothing until the given time.
func (c *connection) await(suspectAt time.Time) {
	now := c.pool.now()
	c.silence.mu.Lock()
	defer c.silence.mu.Unlock()
	c.silence.awaiting, c.silence.sentAt, c.silence.suspectAt, c.silence.silentAt = true, now, suspectAt, c.heardAt()
	c.silence.answersAt = time.Time{}
	if c.silence.timer == nil {
		c.silence.timer = time.AfterFunc(suspectAt.Sub(now), c.examine)
		return
	}
	c.silence.timer.Reset(suspectAt.Sub(now))
}

// endAwait ends the examinations and reports whether the connection was found dead.
func (c *connection) endAwait() (dead bool) {
	c.silence.mu.Lock()
	defer c.silence.mu.Unlock()
	if c.silence.awaiting {
		c.silence.awaiting = false
		c.silence.timer.Stop()
	}
	return c.silence.dead
}

// examine closes the connection if the endpoint answers on newer connections and
// nothing arrives on this one or on older ones.
func (c *connection) examine() {
	c.silence.mu.Lock()
	defer c.silence.mu.Unlock()
	if !c.silence.awaiting || c.heardAt().After(c.silence.silentAt) {
		return
	}
	now := c.pool.now()
	if left := c.silence.suspectAt.Sub(now); left > 0 {
		c.silence.timer.Reset(left)
		return
	}
	if !c.pool.foundDead(c, now) {
		c.silence.timer.Reset(examineInterval)
		return
	}
	c.silence.dead = true
	_ = c.Close()
}

// foundDead reports whether a connection that is silent for longer than usual
// transfers nothing more, rather than its endpoint being slow. Idle connections that
// are silent since the request are closed before that, so that requests to a busy
// endpoint show whether new connections work.
func (p *Pool) foundDead(conn *connection, now time.Time) bool {
	state := &conn.silence
	older, newer := p.heardElsewhere(conn)
	if older.After(state.sentAt) && now.Sub(older) < olderTime {
		state.answersAt = time.Time{}
		return false
	}
	if now.Sub(state.suspectAt) >= answerTime {
		p.closeIdle(conn.target, state.sentAt)
	}
	answered := p.probed(conn.target)
	if newer.After(answered) {
		answered = newer
	}
	if answered.Before(state.suspectAt) || now.Sub(answered) > proofTime {
		p.startProbe(conn.target, now)
		return false
	}
	if state.answersAt.IsZero() {
		state.answersAt = now
	}
	if now.Sub(state.answersAt) < answerTime {
		return false
	}
	p.recordDead(conn.target, state.sentAt, now)
	return true
}

// heardElsewhere returns when bytes arrived last on the open connections to the same
// endpoint that were there when this one was last heard, and on newer ones.
func (p *Pool) heardElsewhere(conn *connection) (older, newer time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for other := range p.open[conn.target] {
		if other == conn || other.heard.Load() == 0 {
			continue
		}
		latest := &newer
		if !other.opened.After(conn.silence.silentAt) {
			latest = &older
		}
		if heard := other.heardAt(); heard.After(*latest) {
			*latest = heard
		}
	}
	return older, newer
}

// probed returns when the endpoint last answered a probe.
func (p *Pool) probed(target Target) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	if state, ok := p.probes[target]; ok {
		return state.answeredAt
	}
	return time.Time{}
}

// startProbe probes the endpoint unless it was probed a moment ago.
func (p *Pool) startProbe(target Target, now time.Time) {
	if p.probe == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	state, ok := p.probes[target]
	if !ok {
		state = &probeState{}
		p.probes[target] = state
	}
	if now.Before(state.nextAt) {
		return
	}
	deadline := now.Add(probeInterval)
	state.nextAt = deadline
	go func() {
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()
		if !p.probe(ctx, target) {
			return
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		state.answeredAt = p.now()
	}()
}

// recordDead records that a connection to the target transfers nothing more since a
// time. If many targets have such connections, all idle ones are closed that were
// silent since.
func (p *Pool) recordDead(target Target, since, now time.Time) {
	p.mu.Lock()
	for other, at := range p.deadAt {
		if now.Sub(at) > manyTargetsTime {
			delete(p.deadAt, other)
		}
	}
	p.deadAt[target] = now
	targets := []Target{target}
	if len(p.deadAt) >= manyTargets {
		targets = slices.Collect(maps.Keys(p.idle))
	}
	p.mu.Unlock()
	for _, other := range targets {
		p.closeIdle(other, since)
	}
}

// closeIdle closes the idle connections to a target that are silent since a time.
func (p *Pool) closeIdle(target Target, since time.Time) {
	var closed []*connection
	p.mu.Lock()
	idle := p.idle[target]
	live := idle[:0]
	for _, conn := range idle {
		if conn.heardAt().Before(since) {
			closed = append(closed, conn)
		} else {
			live = append(live, conn)
		}
	}
	clear(idle[len(live):])
	if len(live) == 0 {
		delete(p.idle, target)
	} else {
		p.idle[target] = live
	}
	p.mu.Unlock()
	for _, conn := range closed {
		_ = conn.Close()
	}
}

// remember adds an open connection.
func (p *Pool) remember(conn *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[conn.target] == nil {
		p.open[conn.target] = make(map[*connection]struct{})
	}
	p.open[conn.target][conn] = struct{}{}
}

// forget removes a connection that is closed.
func (p *Pool) forget(conn *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open[conn.target], conn)
	if len(p.open[conn.target]) == 0 {
		delete(p.open, conn.target)
	}
}

// TimedOut reports whether the kernel gave up a connection because what was sent on it
// was not acknowledged.
func TimedOut(err error) bool {
	return errors.Is(err, syscall.ETIMEDOUT)
}
