// Package faultproxy is a TCP proxy for tests that closes, delays or silences
// connections, either all of them or those from one source address.
package faultproxy

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	bufferBytes  = 32 << 10
	pollInterval = 5 * time.Millisecond
)

// Rule defines how connections are treated. It also applies to connections that
// are already open.
type Rule struct {
	// Refuse resets open connections at once and new ones when they are accepted.
	Refuse bool
	// RefuseNew resets new connections when they are accepted.
	RefuseNew bool
	// SilentRequests keeps connections open but forwards nothing to the target.
	SilentRequests bool
	// SilentResponses keeps connections open but forwards nothing to the source.
	SilentResponses bool
	// Delay is the time for which each block of data is held back.
	Delay time.Duration
}

// Silent is a rule that forwards nothing and keeps connections open.
var Silent = Rule{SilentRequests: true, SilentResponses: true}

// Refused is a rule that resets every connection.
var Refused = Rule{Refuse: true}

// Proxy forwards connections to one target.
type Proxy struct {
	listener net.Listener
	source   func(client net.Conn) netip.Addr

	mutex       sync.Mutex
	closed      bool
	target      netip.AddrPort
	defaultRule Rule
	sourceRules map[netip.Addr]Rule
	connections map[net.Conn]netip.Addr // source address by connection
	silenced    map[net.Conn]bool
}

// Option changes a setting of a Proxy.
type Option func(*Proxy)

// WithSource sets the function that returns the source address of an accepted
// connection, by default the address of its peer. Processes on one machine have the
// same address unless they bind another.
func WithSource(source func(client net.Conn) netip.Addr) Option {
	return func(p *Proxy) { p.source = source }
}

// New starts a proxy on a free port of the given address. It opens no connections
// to the target after the context has ended.
func New(ctx context.Context, listen netip.Addr, target netip.AddrPort, options ...Option) (*Proxy, error) {
	return NewAt(ctx, netip.AddrPortFrom(listen, 0), target, options...)
}

// NewAt starts a proxy as New does, at the given address and port.
func NewAt(ctx context.Context, listen, target netip.AddrPort, options ...Option) (*Proxy, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", listen.String())
	if err != nil {
		return nil, err
	}
	proxy := &Proxy{
		listener:    listener,
		source:      peerAddress,
		target:      target,
		sourceRules: make(map[netip.Addr]Rule),
		connections: make(map[net.Conn]netip.Addr),
		silenced:    make(map[net.Conn]bool),
	}
	for _, option := range options {
		option(proxy)
	}
	go proxy.accept(ctx)
	return proxy, nil
}

func peerAddress(client net.Conn) netip.Addr {
	return client.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()
}

// Address returns the address of the proxy's listener.
func (p *Proxy) Address() netip.AddrPort {
	return p.listener.Addr().(*net.TCPAddr).AddrPort()
}

// SetTarget changes the target of new connections.
func (p *Proxy) SetTarget(target netip.AddrPort) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.target = target
}

// SetRule applies a rule to all source addresses without a rule of their own.
func (p *Proxy) SetRule(rule Rule) {
	p.mutex.Lock()
	p.defaultRule = rule
	p.mutex.Unlock()
	p.resetRefused()
}

// SetSourceRule applies a rule to one source address, in place of the rule of
// SetRule.
func (p *Proxy) SetSourceRule(source netip.Addr, rule Rule) {
	p.mutex.Lock()
	p.sourceRules[source] = rule
	p.mutex.Unlock()
	p.resetRefused()
}

// Heal removes all rules. Connections that SilenceOpen or DropOpen silenced stay
// silent.
func (p *Proxy) Heal() {
	p.mutex.Lock()
	p.defaultRule = Rule{}
	clear(p.sourceRules)
	p.mutex.Unlock()
}

// SilenceOpen permanently silences the connections that are open now. New
// connections are not affected.
func (p *Proxy) SilenceOpen() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for connection := range p.connections {
		p.silenced[connection] = true
	}
}

// DropOpen permanently drops what arrives on the connections that are open now, as a
// path that has gone silent does: their clients get no acknowledgement either. New
// connections are not affected.
func (p *Proxy) DropOpen() error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for connection := range p.connections {
		p.silenced[connection] = true
		if err := Drop(connection); err != nil {
			return err
		}
	}
	return nil
}

// Drop makes the kernel drop all segments that arrive on a TCP connection.
func Drop(connection net.Conn) error {
	raw, err := connection.(*net.TCPConn).SyscallConn()
	if err != nil {
		return err
	}
	filter := unix.SockFilter{Code: unix.BPF_RET | unix.BPF_K, K: 0} // K is the number of bytes to accept
	var optionErr error
	err = raw.Control(func(descriptor uintptr) {
		optionErr = unix.SetsockoptSockFprog(int(descriptor), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &filter})
	})
	if err != nil {
		return err
	}
	return optionErr
}

// Reset closes the open connections with a TCP reset.
func (p *Proxy) Reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.resetOpen(slices.Collect(maps.Keys(p.connections)))
}

// ResetAll resets the connections that are open at all proxies when it is called.
// It spares connections that clients open in response to these resets.
func ResetAll(proxies ...*Proxy) {
	open := make([][]net.Conn, len(proxies))
	for i, proxy := range proxies {
		proxy.mutex.Lock()
		open[i] = slices.Collect(maps.Keys(proxy.connections))
		proxy.mutex.Unlock()
	}
	for i, proxy := range proxies {
		proxy.mutex.Lock()
		proxy.resetOpen(open[i])
		proxy.mutex.Unlock()
	}
}

// resetOpen resets connections and forgets them, so that a silent one does not keep
// the connection to the target open. The caller holds the mutex.
func (p *Proxy) resetOpen(connections []net.Conn) {
	for _, connection := range connections {
		reset(connection)
		delete(p.connections, connection)
		delete(p.silenced, connection)
	}
}

// Close stops the proxy and resets its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.mutex.Lock()
	p.closed = true
	p.mutex.Unlock()
	p.Reset()
}

func (p *Proxy) accept(ctx context.Context) {
	for {
		connection, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(ctx, connection)
	}
}

func (p *Proxy) serve(ctx context.Context, client net.Conn) {
	source := p.source(client)
	if rule := p.ruleFor(client, source); rule.Refuse || rule.RefuseNew {
		reset(client)
		return
	}
	p.mutex.Lock()
	target := p.target
	p.mutex.Unlock()
	dialer := net.Dialer{Timeout: time.Second}
	server, err := dialer.DialContext(ctx, "tcp", target.String())
	if err != nil {
		reset(client)
		return
	}
	if !p.track(client, source) {
		reset(client)
		_ = server.Close()
		return
	}
	defer p.untrack(client)

	var directions sync.WaitGroup
	directions.Go(func() { p.copy(client, server, client, source, true) })
	directions.Go(func() { p.copy(server, client, client, source, false) })
	directions.Wait()
	_ = client.Close()
	_ = server.Close()
}

// copy forwards one direction of a connection until it ends, and then closes both
// sides. The direction to the target carries requests.
func (p *Proxy) copy(from, to, client net.Conn, source netip.Addr, request bool) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
	}()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.forward(to, buffer[:n], client, source, request) {
			return
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				// A silent direction holds back the end of the connection too.
				p.waitWhileSilent(client, source, request)
			}
			return
		}
	}
}

// forward writes one block of data as the rule permits. It returns false if the
// connection is refused or closed.
func (p *Proxy) forward(to net.Conn, data []byte, client net.Conn, source netip.Addr, request bool) bool {
	if delay := p.ruleFor(client, source).Delay; delay > 0 {
		time.Sleep(delay)
	}
	if !p.waitWhileSilent(client, source, request) {
		return false
	}
	_, err := to.Write(data)
	return err == nil
}

// waitWhileSilent blocks while the direction is silent. It returns false when the
// connection is refused or closed.
func (p *Proxy) waitWhileSilent(client net.Conn, source netip.Addr, request bool) bool {
	for {
		rule := p.ruleFor(client, source)
		if rule.Refuse || !p.tracked(client) {
			return false
		}
		silent := rule.SilentResponses
		if request {
			silent = rule.SilentRequests
		}
		if !silent {
			return true
		}
		time.Sleep(pollInterval)
	}
}

// ruleFor returns the rule that applies to a connection.
func (p *Proxy) ruleFor(client net.Conn, source netip.Addr) Rule {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.silenced[client] {
		return Silent
	}
	if rule, ok := p.sourceRules[source]; ok {
		return rule
	}
	return p.defaultRule
}

// resetRefused resets the open connections whose rule refuses them.
func (p *Proxy) resetRefused() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	var refused []net.Conn
	for connection, source := range p.connections {
		rule, ok := p.sourceRules[source]
		if !ok {
			rule = p.defaultRule
		}
		if rule.Refuse {
			refused = append(refused, connection)
		}
	}
	p.resetOpen(refused)
}

// track records a connection that rules apply to. It returns false if the proxy has
// been closed.
func (p *Proxy) track(client net.Conn, source netip.Addr) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed {
		return false
	}
	p.connections[client] = source
	return true
}

func (p *Proxy) tracked(client net.Conn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	_, ok := p.connections[client]
	return ok
}

func (p *Proxy) untrack(client net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.connections, client)
	delete(p.silenced, client)
}

// reset closes a connection with a TCP reset.
func reset(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}
