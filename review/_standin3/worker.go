package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeat       = 1200 * time.Millisecond
	registrationTTL = 3 * heartbeat
	ledgerService   = "ledger-api"
	workerSlots     = 6
	workerQueue     = 24
	healthPath      = "/health"
)

// worker is a worker of the ledger service. It keeps its identifier and address over a
// restart, as the pages allow.
type worker struct {
	id, zone string
	store    *store
	notes    *recorder
	work     time.Duration
	coldRate float64 // requests a second that it tolerates while cold
	crashAt  int     // requests in a second at which it crashes while cold; 0 for never
	address  string

	mu        sync.Mutex
	server    *http.Server
	born      time.Time
	coldUntil time.Time
	sequence  int
	cut       bool // from the store
	lastBeat  time.Time
	slots     chan struct{}
	waiting   int
	arrivals  []arrival
	onCrash   func()
	crashes   int // by overload
	stopped   bool
}

// arrival is a request that reached the worker and was not answered with 421.
type arrival struct {
	at   time.Time
	cold bool
}

func newWorker(id, zone string, store *store, notes *recorder, coldRate float64) (*worker, error) {
	w := &worker{id: id, zone: zone, store: store, notes: notes, work: 60 * time.Millisecond, coldRate: coldRate, address: "127.0.0.1:0"}
	return w, w.start(0)
}

// start starts a process of the worker, which is cold for the given time.
func (w *worker) start(cold time.Duration) error {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.address = listener.Addr().String()
	w.born, w.coldUntil, w.sequence = time.Now(), time.Now().Add(cold), 0
	w.slots, w.waiting = make(chan struct{}, workerSlots), 0
	w.server = &http.Server{Handler: w, ReadHeaderTimeout: 10 * time.Second}
	go func(server *http.Server) { _ = server.Serve(listener) }(w.server)
	w.notes.note("worker %s starts at %s, cold for %s", w.id, w.address, cold)
	w.beat()
	return nil
}

// crash ends the process: its connections are reset and its port is closed.
func (w *worker) crash() {
	w.mu.Lock()
	server := w.server
	w.server = nil
	w.mu.Unlock()
	if server != nil {
		w.notes.note("worker %s crashes", w.id)
		_ = server.Close()
	}
}

// restart crashes the process and starts another one, which is cold, after a while.
func (w *worker) restart(after time.Duration) {
	w.crash()
	time.Sleep(after)
	w.mu.Lock()
	stopped := w.stopped
	w.mu.Unlock()
	if stopped {
		return
	}
	if err := w.start(coldTime); err != nil {
		w.notes.note("worker %s cannot start: %v", w.id, err)
	}
}

// stop ends the worker for good.
func (w *worker) stop() {
	w.mu.Lock()
	w.stopped = true
	w.mu.Unlock()
	w.crash()
}

// overloads returns how often the worker has crashed by overload.
func (w *worker) overloads() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashes
}

// setCut cuts the worker off from the store, or ends the cut.
func (w *worker) setCut(cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
	w.notes.note("worker %s cut off from the store: %t", w.id, cut)
	if !cut {
		w.beat()
	}
}

// becomeCold makes the worker cold for the given time, and writes that into its
// registration.
func (w *worker) becomeCold(length time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.coldUntil = time.Now().Add(length)
	w.notes.note("worker %s becomes cold for %s", w.id, length)
	w.beat()
}

// beat writes the registration of the worker. It is called with the lock held.
func (w *worker) beat() {
	if w.cut || w.server == nil {
		return
	}
	w.sequence++
	w.lastBeat = time.Now()
	value, _ := json.Marshal(map[string]any{
		"service": ledgerService, "address": w.address, "zone": w.zone, "version": "1", "slots": workerSlots, "state": "ready",
		"cold_left_ms": w.coldLeft(), "sequence": w.sequence, "born": w.born.UnixMilli(),
	})
	w.store.put(serversTopic, w.id, value)
}

func (w *worker) coldLeft() int64 { return max(0, time.Until(w.coldUntil).Milliseconds()) }

// register writes the registration again each heartbeat, and removes it after three
// heartbeats of silence, as the store does.
func (w *worker) register(done <-chan struct{}) {
	ticker := time.NewTicker(heartbeat / 12)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		w.mu.Lock()
		switch since := time.Since(w.lastBeat); {
		case w.lastBeat.IsZero():
		case since >= registrationTTL:
			w.lastBeat = time.Time{}
			w.store.put(serversTopic, w.id, nil)
			w.notes.note("registration of worker %s removed", w.id)
		case since >= heartbeat:
			w.beat()
		}
		w.mu.Unlock()
	}
}

func (w *worker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Flamingodoor-Request-Id")
	writer.Header().Set("Flamingodoor-Request-Id", id)
	if request.URL.Path == healthPath {
		w.serveHealth(writer)
		return
	}
	if expected := request.Header.Get("Flamingodoor-Expect-Instance"); expected != "" && expected != w.id {
		writer.Header().Set("Flamingodoor-Not-Executed", "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if request.URL.Path == "/report" || request.URL.Path == "/order" {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	slots, ok := w.arrive(id)
	if !ok {
		writer.Header().Set("Flamingodoor-Not-Executed", "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case slots <- struct{}{}:
	case <-request.Context().Done():
		w.left()
		return
	}
	w.left()
	defer func() { <-slots }()
	w.notes.note("worker %s runs %s", w.id, id)
	time.Sleep(w.work)
	writer.Header().Set("Flamingodoor-Response-Signature", w.id+"."+id)
	answer := fmt.Sprintf("%s:%s:%d", w.id, id, len(body))
	writer.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(writer, answer)
}

// arrive records a request and reports whether the queue has room for it. A cold worker
// crashes at a rate well above what it tolerates.
func (w *worker) arrive(id string) (chan struct{}, bool) {
	w.mu.Lock()
	now := time.Now()
	cold := now.Before(w.coldUntil)
	w.arrivals = append(w.arrivals, arrival{at: now, cold: cold})
	recent := 0
	for _, each := range w.arrivals {
		if each.cold && now.Sub(each.at) < time.Second {
			recent++
		}
	}
	slots, full := w.slots, w.waiting >= workerQueue
	if !full {
		w.waiting++
	}
	var overloaded *http.Server
	if w.crashAt > 0 && cold && recent >= w.crashAt && w.server != nil {
		w.crashes++
		overloaded, w.server = w.server, nil
	}
	w.mu.Unlock()
	w.notes.note("worker %s gets %s, cold %t, %d in the last second while cold", w.id, id, cold, recent)
	if overloaded != nil {
		w.notes.note("worker %s crashes by overload", w.id)
		go func() {
			_ = overloaded.Close()
			w.onCrash()
		}()
	}
	return slots, !full
}

func (w *worker) left() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting--
}

func (w *worker) serveHealth(writer http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	writer.Header().Set("Flamingodoor-Instance-Id", w.id)
	if left := w.coldLeft(); left > 0 {
		writer.Header().Set("Flamingodoor-Cold-Ms", strconv.FormatInt(left, 10))
	}
	w.notes.note("worker %s answers a health check, cold for %d ms", w.id, w.coldLeft())
}

// mostWhileCold returns the largest number of requests that arrived in a second while the
// worker was cold.
func (w *worker) mostWhileCold() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	most := 0
	for i, first := range w.arrivals {
		count := 0
		for _, each := range w.arrivals[i:] {
			if each.cold && each.at.Sub(first.at) < time.Second {
				count++
			}
		}
		if first.cold {
			most = max(most, count)
		}
	}
	return most
}
