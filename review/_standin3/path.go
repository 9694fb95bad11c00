package main

import (
	"net"
	"sync"
	"time"
)

// path is a path to an address that can fall silent, and then passes nothing on until it is
// sound again, or can reset all connections.
type path struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	silent chan struct{} // closed when the path is sound again; nil while it is
	resets bool
	open   map[net.Conn]bool
}

func newPath(target string) (*path, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &path{listener: listener, target: target, open: make(map[net.Conn]bool)}
	go p.accept()
	return p, nil
}

func (p *path) address() string { return p.listener.Addr().String() }

// setSilent makes the path silent or sound.
func (p *path) setSilent(silent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case silent && p.silent == nil:
		p.silent = make(chan struct{})
	case !silent && p.silent != nil:
		close(p.silent)
		p.silent = nil
	}
}

// setResets makes the path reset all connections, or pass them on again.
func (p *path) setResets(resets bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resets = resets
	if !resets {
		return
	}
	for conn := range p.open {
		reset(conn)
	}
}

func reset(conn net.Conn) {
	if socket, ok := conn.(*net.TCPConn); ok {
		_ = socket.SetLinger(0)
	}
	_ = conn.Close()
}

// add records a connection, and reports whether it may be passed on.
func (p *path) add(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resets {
		reset(conn)
		return false
	}
	p.open[conn] = true
	return true
}

func (p *path) remove(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, conn)
}

// await waits until the path is sound.
func (p *path) await() {
	p.mu.Lock()
	silent := p.silent
	p.mu.Unlock()
	if silent != nil {
		<-silent
	}
}

func (p *path) accept() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.connect(from)
	}
}

func (p *path) connect(from net.Conn) {
	if !p.add(from) {
		return
	}
	defer p.remove(from)
	p.await()
	to, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		_ = from.Close()
		return
	}
	go p.forward(from, to)
	p.forward(to, from)
}

func (p *path) forward(from, to net.Conn) {
	defer func() { _, _ = from.Close(), to.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		count, err := from.Read(buffer)
		p.await()
		if count > 0 {
			if _, err := to.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
