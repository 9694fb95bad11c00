// Package faultproxy is a TCP proxy for tests that cuts, delays and silences
// connections, for all sources or for one.
package faultproxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

const (
	bufferBytes  = 32 << 10
	pollInterval = 5 * time.Millisecond
)

// Rule says how connections are treated. It also applies to connections that
// are already open.
type Rule struct {
	// Refuse closes open connections and new ones at once.
	Refuse bool
	// SilentRequests keeps connections open but forwards nothing to the target.
	SilentRequests bool
	// SilentResponses keeps connections open but forwards nothing to the source.
	SilentResponses bool
	// Delay holds every part of the data back.
	Delay time.Duration
}

// Silent is a rule that forwards nothing and keeps connections open.
var Silent = Rule{SilentRequests: true, SilentResponses: true}

// Refused is a rule that closes every connection.
var Refused = Rule{Refuse: true}

// Proxy forwards connections to one target.
type Proxy struct {
	listener net.Listener

	mutex       sync.Mutex
	target      netip.AddrPort
	general     Rule
	bySource    map[netip.Addr]Rule
	connections map[net.Conn]netip.Addr
	muted       map[net.Conn]bool
}

// New starts a proxy on a free port of the given address. It opens no more
// connections once the context ends.
func New(ctx context.Context, listen netip.Addr, target netip.AddrPort) (*Proxy, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", netip.AddrPortFrom(listen, 0).String())
	if err != nil {
		return nil, err
	}
	proxy := &Proxy{
		listener:    listener,
		target:      target,
		bySource:    make(map[netip.Addr]Rule),
		connections: make(map[net.Conn]netip.Addr),
		muted:       make(map[net.Conn]bool),
	}
	go proxy.accept(ctx)
	return proxy, nil
}

// Address is the address to connect to.
func (p *Proxy) Address() netip.AddrPort {
	return p.listener.Addr().(*net.TCPAddr).AddrPort()
}

// SetTarget changes where new connections go.
func (p *Proxy) SetTarget(target netip.AddrPort) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.target = target
}

// SetRule applies a rule to every source without a rule of its own.
func (p *Proxy) SetRule(rule Rule) {
	p.mutex.Lock()
	p.general = rule
	p.mutex.Unlock()
	p.closeRefused()
}

// SetSourceRule applies a rule to one source address.
func (p *Proxy) SetSourceRule(source netip.Addr, rule Rule) {
	p.mutex.Lock()
	p.bySource[source] = rule
	p.mutex.Unlock()
	p.closeRefused()
}

// Heal removes every rule.
func (p *Proxy) Heal() {
	p.mutex.Lock()
	p.general = Rule{}
	clear(p.bySource)
	p.mutex.Unlock()
}

// SilenceOpen silences the connections open now for good; new ones work.
func (p *Proxy) SilenceOpen() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for connection := range p.connections {
		p.muted[connection] = true
	}
}

// Reset closes the open connections with a TCP reset.
func (p *Proxy) Reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for connection := range p.connections {
		reset(connection)
	}
}

// Close stops the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
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
	source := client.RemoteAddr().(*net.TCPAddr).AddrPort().Addr()
	if p.rule(client, source).Refuse {
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
	p.track(client, source)
	defer p.forget(client)

	var group sync.WaitGroup
	group.Go(func() { p.pump(client, server, client, source, true) })
	group.Go(func() { p.pump(server, client, client, source, false) })
	group.Wait()
	_ = client.Close()
	_ = server.Close()
}

// pump copies one direction and closes both ends when it ends.
func (p *Proxy) pump(from, to, client net.Conn, source netip.Addr, request bool) {
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
				p.waitAudible(client, source, request)
			}
			return
		}
	}
}

func (p *Proxy) forward(to net.Conn, data []byte, client net.Conn, source netip.Addr, request bool) bool {
	if delay := p.rule(client, source).Delay; delay > 0 {
		time.Sleep(delay)
	}
	if !p.waitAudible(client, source, request) {
		return false
	}
	_, err := to.Write(data)
	return err == nil
}

// waitAudible blocks while the direction is silent. It returns false when the
// connection is refused or closed.
func (p *Proxy) waitAudible(client net.Conn, source netip.Addr, request bool) bool {
	for {
		rule := p.rule(client, source)
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

func (p *Proxy) rule(client net.Conn, source netip.Addr) Rule {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.muted[client] {
		return Silent
	}
	if rule, ok := p.bySource[source]; ok {
		return rule
	}
	return p.general
}

func (p *Proxy) closeRefused() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for connection, source := range p.connections {
		rule, ok := p.bySource[source]
		if !ok {
			rule = p.general
		}
		if rule.Refuse {
			reset(connection)
		}
	}
}

func (p *Proxy) track(client net.Conn, source netip.Addr) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.connections[client] = source
}

func (p *Proxy) tracked(client net.Conn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	_, ok := p.connections[client]
	return ok
}

func (p *Proxy) forget(client net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.connections, client)
	delete(p.muted, client)
}

func reset(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}
