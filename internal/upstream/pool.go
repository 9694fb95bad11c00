// Package upstream calls endpoints over pooled HTTP/1.1 connections. It sends
// each request at most once and reports whether a failed one may have been sent.
package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"regexp"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"flamingodoor.example/flamingodoor/internal/intake"
)

const (
	// dialTimeout is several times the delay between data centres.
	dialTimeout = 400 * time.Millisecond
	// defaultKeepAlive is the idle time of connections whose endpoint sends no
	// timeout. It is below the shortest idle timeout in common use.
	defaultKeepAlive = 4 * time.Second
	// keepAliveMargin is subtracted from the idle time of a connection, so that
	// no request is sent while the endpoint closes it.
	keepAliveMargin = 700 * time.Millisecond
	// maxIdlePerTarget bounds the idle connections to one target.
	maxIdlePerTarget = 64
	// userTimeout bounds how long sent bytes may stay unacknowledged. The kernel checks it
	// when it would send them again, up to half a second later: 2 s in all.
	userTimeout = 1500 * time.Millisecond
	// probedUserTimeout replaces userTimeout where keep-alive probes are sent. The
	// kernel checks it when it would send the third probe, which is after 3 s.
	probedUserTimeout = 2500 * time.Millisecond
	// tcpUserTimeout is the number of the option TCP_USER_TIMEOUT on Linux.
	tcpUserTimeout = 0x12

	readBufferBytes = 4 << 10
)

// probes are sent on connections that are silent for a second, which is the least
// that the kernel supports.
var probes = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2} //nolint:gochecknoglobals // a constant structure

// Pool keeps idle connections to endpoints. It is safe for concurrent use.
type Pool struct {
	idHeader   string
	secondHead *regexp.Regexp
	dialer     net.Dialer
	now        func() time.Time
	onOpened   func(target Target, took time.Duration)
	probe      Probe     // of the endpoints of silent connections; nil for none
	started    time.Time // the origin of the times at which connections were heard

	mu     sync.Mutex
	idle   map[Target][]*connection
	open   map[Target]map[*connection]struct{} // idle or in use
	probes map[Target]*probeState
	deadAt map[Target]time.Time // when a connection to the target was last found dead
}

// Target is an instance of an endpoint at its address.
type Target struct {
	InstanceID string
	Address    netip.AddrPort
}

type connection struct {
	*intake.Conn
	pool     *Pool
	target   Target
	opened   time.Time
	heard    atomic.Int64 // nanoseconds from the start of the pool to the last bytes received; 0 before the first
	silence  silence
	reader   *bufio.Reader // on top of head
	head     *intake.HeadReader
	sent     history
	reused   bool
	deadline time.Time // not reused after this time
}

// Option changes a setting of a Pool.
type Option func(*Pool)

// WithFailureDetection makes the kernel close connections to hosts that are gone
// within 3 s, also while a response is awaited.
func WithFailureDetection() Option {
	return func(p *Pool) {
		p.dialer.Control, p.dialer.KeepAliveConfig = setTimeout(probedUserTimeout), probes
	}
}

// WithOpenListener sets the function that is called with the time that the opening of a
// connection took.
func WithOpenListener(onOpened func(target Target, took time.Duration)) Option {
	return func(p *Pool) { p.onOpened = onOpened }
}

// New returns an empty pool. Endpoints copy the request header `idHeader` to the
// response, which links a response to its request.
func New(idHeader string, options ...Option) *Pool {
	pool := &Pool{
		idHeader: idHeader, secondHead: secondHead(idHeader), now: time.Now, started: time.Now(), onOpened: func(Target, time.Duration) {},
		idle: make(map[Target][]*connection), open: make(map[Target]map[*connection]struct{}), probes: make(map[Target]*probeState), deadAt: make(map[Target]time.Time),
		dialer: net.Dialer{Timeout: dialTimeout, Control: setTimeout(userTimeout)},
	}
	for _, option := range options {
		option(pool)
	}
	return pool
}

// Dialer returns the settings of the connections that a pool with the options opens.
func Dialer(options ...Option) *net.Dialer {
	return &New("", options...).dialer
}

// ListenConfig returns the settings of a listener whose silent connections end 3 s
// after the other host is gone. Sent data has no time limit: the kernel would apply
// it to a host that does not read either, because its caller is slow.
func ListenConfig() *net.ListenConfig {
	return &net.ListenConfig{KeepAliveConfig: probes}
}

// setTimeout returns a function that makes the kernel close a connection whose sent
// data, or keep-alive probe, stays unacknowledged for the given time.
func setTimeout(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(descriptor uintptr) {
			optionErr = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return optionErr
	}
}

// acquire returns an idle connection that is still usable and has not carried a
// request with this identifier, or dials a new one. It always dials if
// `newConnection` is set.
func (p *Pool) acquire(ctx context.Context, target Target, newConnection bool, id uint64) (*connection, error) {
	for !newConnection {
		conn := p.popIdle(target, id)
		if conn == nil {
			break
		}
		if p.now().Before(conn.deadline) && openAndIdle(conn.NetConn()) {
			conn.reused = true
			return conn, nil
		}
		_ = conn.Close()
	}
	begun := p.now()
	socket, err := p.dialer.DialContext(ctx, "tcp", target.Address.String())
	if err != nil {
		return nil, err
	}
	p.onOpened(target, p.now().Sub(begun))
	conn := &connection{Conn: intake.NewConn(socket), pool: p, target: target, opened: p.now()}
	conn.head = intake.NewHeadReader(conn)
	conn.reader = bufio.NewReaderSize(conn.head, readBufferBytes)
	p.remember(conn)
	return conn, nil
}

// buffered returns the number of received bytes that were not read.
func (c *connection) buffered() int {
	return c.reader.Buffered() + c.head.Buffered()
}

// popIdle removes and returns the idle connection that was added last among those
// that have not carried a request with this identifier, or nil if there is none.
func (p *Pool) popIdle(target Target, id uint64) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	idle := p.idle[target]
	for i, conn := range slices.Backward(idle) {
		if conn.sent.contains(id) {
			continue
		}
		p.idle[target] = slices.Delete(idle, i, i+1)
		return conn
	}
	return nil
}

// putIdle adds a connection to the idle ones, or closes it if it may not stay
// idle or the target has enough.
func (p *Pool) putIdle(target Target, conn *connection, idleTime time.Duration) {
	if idleTime <= 0 {
		_ = conn.Close()
		return
	}
	conn.deadline = p.now().Add(idleTime)
	p.mu.Lock()
	idle := p.idle[target]
	if len(idle) >= maxIdlePerTarget {
		p.mu.Unlock()
		_ = conn.Close()
		return
	}
	p.idle[target] = append(idle, conn)
	p.mu.Unlock()
}

// Expire closes idle connections that are past their deadline.
func (p *Pool) Expire() {
	now := p.now()
	var expired []*connection
	p.mu.Lock()
	for target, idle := range p.idle {
		live := idle[:0]
		for _, conn := range idle {
			if now.Before(conn.deadline) {
				live = append(live, conn)
			} else {
				expired = append(expired, conn)
			}
		}
		if len(live) == 0 {
			delete(p.idle, target)
		} else {
			p.idle[target] = live
		}
	}
	for target, state := range p.probes {
		if now.Sub(state.nextAt) > proofTime {
			delete(p.probes, target)
		}
	}
	p.mu.Unlock()
	for _, conn := range expired {
		_ = conn.Close()
	}
}

// openAndIdle reports whether an idle connection is open and has no unread
// bytes, which would belong to no request.
func openAndIdle(socket net.Conn) bool {
	conn, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(descriptor uintptr) bool {
		var probe [1]byte
		_, _, peekErr := syscall.Recvfrom(int(descriptor), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = peekErr == syscall.EAGAIN || peekErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}

// keepAliveTime returns how long the connection of a response may stay idle
// before the next request.
func keepAliveTime(header http.Header) time.Duration {
	limit := defaultKeepAlive
	if timeout, ok := keepAliveTimeout(header.Get("Keep-Alive")); ok {
		limit = timeout
	}
	return limit - keepAliveMargin
}
