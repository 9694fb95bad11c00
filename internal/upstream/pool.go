// Package upstream calls endpoints over HTTP/1.1 connections that it keeps. It
// never sends a request twice by itself and tells whether one was sent.
package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

const (
	// dialTimeout is several times the delay between data centres.
	dialTimeout = 400 * time.Millisecond
	// defaultIdleTime is used for connections whose endpoint names none; it
	// is below the shortest idle timeout in common use.
	defaultIdleTime = 4 * time.Second
	// idleMargin keeps a request from crossing the endpoint's close.
	idleMargin = 700 * time.Millisecond
	// maxIdle bounds the kept connections to one endpoint.
	maxIdle = 64
	// userTimeout bounds how long sent bytes may stay unacknowledged.
	userTimeout = 2 * time.Second
	// tcpUserTimeout is the option's number in the Linux headers.
	tcpUserTimeout = 0x12

	readBufferBytes = 4 << 10
)

// Pool keeps connections to endpoints. It is safe for concurrent use.
type Pool struct {
	echo   string
	dialer net.Dialer
	now    func() time.Time

	mu   sync.Mutex
	idle map[Target][]*connection
}

// Target is one life of an endpoint at an address.
type Target struct {
	InstanceID string
	Address    netip.AddrPort
}

type connection struct {
	net.Conn
	reader   *bufio.Reader
	reused   bool
	deadline time.Time // of its idle time
}

// New returns an empty pool. Endpoints repeat the header `echo` of a request
// in its answer.
func New(echo string) *Pool {
	return &Pool{
		echo: echo, now: time.Now, idle: make(map[Target][]*connection),
		dialer: net.Dialer{Timeout: dialTimeout, Control: setUserTimeout},
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}

// take returns a kept connection that shows no sign of its end, or dials.
func (p *Pool) take(ctx context.Context, target Target, fresh bool) (*connection, error) {
	for !fresh {
		kept := p.pop(target)
		if kept == nil {
			break
		}
		if p.now().Before(kept.deadline) && quiet(kept.Conn) {
			kept.reused = true
			return kept, nil
		}
		_ = kept.Close()
	}
	socket, err := p.dialer.DialContext(ctx, "tcp", target.Address.String())
	if err != nil {
		return nil, err
	}
	return &connection{Conn: socket, reader: bufio.NewReaderSize(socket, readBufferBytes)}, nil
}

func (p *Pool) pop(target Target) *connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[target]
	if len(kept) == 0 {
		return nil
	}
	last := kept[len(kept)-1]
	p.idle[target] = kept[:len(kept)-1]
	return last
}

func (p *Pool) put(target Target, used *connection, idleTime time.Duration) {
	if idleTime <= 0 {
		_ = used.Close()
		return
	}
	used.deadline = p.now().Add(idleTime)
	p.mu.Lock()
	kept := p.idle[target]
	if len(kept) >= maxIdle {
		p.mu.Unlock()
		_ = used.Close()
		return
	}
	p.idle[target] = append(kept, used)
	p.mu.Unlock()
}

// Expire closes connections whose idle time is over.
func (p *Pool) Expire() {
	now := p.now()
	var expired []*connection
	p.mu.Lock()
	for target, kept := range p.idle {
		live := kept[:0]
		for _, each := range kept {
			if now.Before(each.deadline) {
				live = append(live, each)
			} else {
				expired = append(expired, each)
			}
		}
		if len(live) == 0 {
			delete(p.idle, target)
		} else {
			p.idle[target] = live
		}
	}
	p.mu.Unlock()
	for _, each := range expired {
		_ = each.Close()
	}
}

// quiet reports whether an idle connection is open and has no bytes waiting,
// which would belong to no request.
func quiet(socket net.Conn) bool {
	holder, ok := socket.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := holder.SyscallConn()
	if err != nil {
		return false
	}
	still := false
	err = raw.Read(func(descriptor uintptr) bool {
		var probe [1]byte
		_, _, failure := syscall.Recvfrom(int(descriptor), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		still = failure == syscall.EAGAIN || failure == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && still
}

// idleTime reads how long the endpoint keeps the connection of an answer.
func idleTime(header http.Header) time.Duration {
	limit := defaultIdleTime
	if named, ok := keepAliveTimeout(header.Get("Keep-Alive")); ok {
		limit = named
	}
	return limit - idleMargin
}
