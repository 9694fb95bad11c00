package main

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Plain is a worker of a service without an engine.
type Plain struct {
	ID, Service, Zone string
	Address           string
	Slots, Queue      int
	Work              time.Duration
	MaxConnections    int
	OnRun             func(id string, request *http.Request, body []byte)

	mu      sync.Mutex
	born    time.Time
	waiting int
	slots   chan struct{}
	beats   int
	open    int
}

// NewPlain starts a worker and its registration.
func NewPlain(store *Store, id, service, zone string, slots, queue int, work time.Duration) *Plain {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun(err.Error())
	}
	p := &Plain{ID: id, Service: service, Zone: zone, Address: listener.Addr().String(), Slots: slots, Queue: queue, Work: work, slots: make(chan struct{}, slots), born: time.Now()}
	server := &http.Server{Handler: p, IdleTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	go func() {
		for {
			p.beats++
			store.Put("keyed.servers", id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold_left_ms":0,"sequence":%d,"born":%d}`,
				service, p.Address, zone, slots, p.beats, p.born.UnixMilli()))
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return p
}

func signature(id string, body []byte) string {
	return fmt.Sprintf("%s.%x", id, sha256.Sum256(body))[:24]
}

func (p *Plain) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Flamingodoor-Request-Id")
	if id != "" {
		writer.Header().Set("Flamingodoor-Request-Id", id)
	}
	if expected := request.Header.Get("Flamingodoor-Expect-Instance"); expected != "" && expected != p.ID {
		writer.Header().Set("Flamingodoor-Instance-Id", p.ID)
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	p.mu.Lock()
	full := p.waiting >= p.Slots+p.Queue
	if !full {
		p.waiting++
	}
	p.mu.Unlock()
	if full {
		writer.Header().Set("Flamingodoor-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() {
		p.mu.Lock()
		p.waiting--
		p.mu.Unlock()
	}()
	select {
	case p.slots <- struct{}{}:
	case <-request.Context().Done():
		return
	}
	defer func() { <-p.slots }()
	if request.URL.Path == "/health" {
		writer.Header().Set("Flamingodoor-Instance-Id", p.ID)
		return
	}
	if p.OnRun != nil {
		p.OnRun(id, request, body)
	}
	time.Sleep(p.Work)
	answer, _ := json.Marshal(map[string]any{"posted": id, "bytes": len(body), "by": p.ID})
	writer.Header().Set("Flamingodoor-Response-Signature", signature(id, answer))
	_, _ = writer.Write(answer)
}
