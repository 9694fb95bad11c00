package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Model is a model of the engine.
type Model struct {
	Name  string
	Size  int
	Load  time.Duration
	Warm  time.Duration
	Share float64
}

const (
	rejoinTime = 200 * time.Millisecond
	formTime   = 300 * time.Millisecond
)

// Engine is a model worker. Its streams have an event each EventPause.
type Engine struct {
	ID, Service, Zone, Domain string
	Address                   string
	Slots                     int
	EventPause                time.Duration
	Capacity                  int // tokens of memory
	OnRun                     func(worker *Engine, id string, request *http.Request)

	fleet *EngineFleet
	store *Store
	born  time.Time
	beats int

	// Guarded by the lock of the fleet.
	silentUntil time.Time
	group       string
	epoch       int64
	highest     int64
	rank        int
	state       string // joining, ready, open, broken
	members     []string
	model       string
	lastModel   string
	staged      []string
	staging     string
	sequence    int64
	running     int
	made        int
	used        int       // tokens in memory
	streams     []*stream // in the order in which they began
}

// stream is a request that runs, and the memory that it holds.
type stream struct {
	id        string
	tokens    int
	preempted bool
}

const (
	tokensPerEvent  = 7
	readTokensPerMS = 50.7
)

// grow gives a stream the memory of its next event. When memory runs out, the newest
// stream is preempted. The caller holds the lock.
func (w *Engine) grow(s *stream) {
	s.tokens += tokensPerEvent
	w.used += tokensPerEvent
	for i := len(w.streams) - 1; i >= 0 && w.used > w.Capacity; i-- {
		newest := w.streams[i]
		if newest.preempted {
			continue
		}
		newest.preempted = true
		w.used -= newest.tokens
		note("worker %s: memory of %d tokens is full, %s is preempted", w.ID, w.Capacity, newest.id)
	}
}

// awaitMemory waits while a stream is preempted, and until it is read again.
func (w *Engine) awaitMemory(s *stream) {
	begun, waited := time.Now(), false
	for {
		w.fleet.mu.Lock()
		back := s.preempted && w.used+s.tokens <= w.Capacity
		if back {
			s.preempted = false
			w.used += s.tokens
		}
		preempted, tokens := s.preempted, s.tokens
		w.fleet.mu.Unlock()
		if !preempted {
			if waited || back {
				time.Sleep(time.Duration(float64(tokens)/readTokensPerMS) * time.Millisecond)
				note("worker %s: %s goes on after %.2f s", w.ID, s.id, time.Since(begun).Seconds())
			}
			return
		}
		waited = true
		time.Sleep(2 * time.Millisecond)
	}
}

// end takes a stream out of memory.
func (w *Engine) end(s *stream) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if !s.preempted {
		w.used -= s.tokens
	}
	w.streams = slices.DeleteFunc(w.streams, func(other *stream) bool { return other == s })
	w.running--
}

// EngineFleet holds the workers of a service with an engine.
type EngineFleet struct {
	Models []Model

	mu      sync.Mutex
	workers map[string]*Engine
}

// NewEngineFleet returns a fleet without workers.
func NewEngineFleet(models ...Model) *EngineFleet {
	return &EngineFleet{Models: models, workers: map[string]*Engine{}}
}

// Add starts a worker with its registration.
func (f *EngineFleet) Add(store *Store, id, service, zone, domain string, slots int, eventPause time.Duration) *Engine {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun(err.Error())
	}
	w := &Engine{ID: id, Service: service, Zone: zone, Domain: domain, Address: listener.Addr().String(), Slots: slots, EventPause: eventPause, Capacity: 1590000, fleet: f, store: store, born: time.Now()}
	f.mu.Lock()
	f.workers[id] = w
	f.mu.Unlock()
	server := &http.Server{Handler: w, IdleTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	go func() {
		for {
			w.register()
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return w
}

// StandStill makes the worker fall silent and go on later.
func (w *Engine) StandStill(length time.Duration) {
	note("worker %s falls silent for %s", w.ID, length)
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	w.silentUntil = time.Now().Add(length)
}

// awaitMoving waits while the worker is silent.
func (w *Engine) awaitMoving() {
	for {
		w.fleet.mu.Lock()
		wait := time.Until(w.silentUntil)
		w.fleet.mu.Unlock()
		if wait <= 0 {
			return
		}
		time.Sleep(wait)
	}
}

// fields returns what registrations and reports have in common. The caller holds the
// lock.
func (w *Engine) fields() map[string]any {
	models := []map[string]any{}
	if w.model != "" {
		models = append(models, map[string]any{"name": w.model, "version": 1, "adapters": []string{}})
	}
	fields := map[string]any{
		"service": w.Service, "address": w.Address, "zone": w.Zone, "version": "v1", "slots": w.Slots, "state": "ready", "cold_left_ms": 0,
		"stage": "prefill_decode", "models": models, "born": w.born.UnixMilli(), "domain": w.Domain, "staged": w.staged,
	}
	if w.group != "" {
		fields["group"] = map[string]any{"name": w.group, "epoch": w.epoch, "rank": w.rank, "state": w.state}
	}
	return fields
}

func (w *Engine) register() {
	w.awaitMoving()
	w.fleet.mu.Lock()
	w.beats++
	fields := w.fields()
	fields["sequence"] = w.beats
	w.fleet.mu.Unlock()
	text, _ := json.Marshal(fields)
	w.store.Put("keyed.servers", w.ID, string(text))
}

func (w *Engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	w.awaitMoving()
	if id := request.Header.Get("Flamingodoor-Request-Id"); id != "" {
		writer.Header().Set("Flamingodoor-Request-Id", id)
	}
	if expected := request.Header.Get("Flamingodoor-Expect-Instance"); expected != "" && expected != w.ID {
		writer.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/report":
		w.fleet.mu.Lock()
		fields := w.fields()
		fields["id"], fields["busy"], fields["sequence"], fields["queued"], fields["running"] = w.ID, w.staging != "", w.sequence, 0, w.running
		fields["kv_used"], fields["kv_total"], fields["handles"], fields["pace"] = w.used, w.Capacity, 0, 1
		w.fleet.mu.Unlock()
		reply(writer, http.StatusOK, fields)
	case "/order":
		w.serveOrder(writer, request)
	default:
		w.serveStream(writer, request)
	}
}

func (f *EngineFleet) model(name string) Model {
	for _, model := range f.Models {
		if model.Name == name {
			return model
		}
	}
	return Model{}
}

func (w *Engine) serveOrder(writer http.ResponseWriter, request *http.Request) {
	var order struct {
		Operation    string   `json:"operation"`
		Group        string   `json:"group"`
		Epoch        int64    `json:"epoch"`
		Model        string   `json:"model"`
		Members      []string `json:"members"`
		Precondition *int64   `json:"precondition"`
	}
	if err := json.NewDecoder(request.Body).Decode(&order); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	w.fleet.mu.Lock()
	status := w.execute(order.Operation, order.Group, order.Epoch, order.Model, order.Members, order.Precondition)
	w.fleet.mu.Unlock()
	note("worker %s gets order %s %s epoch %d: %d", w.ID, order.Operation, order.Group, order.Epoch, status)
	go w.register()
	writer.WriteHeader(status)
}

// execute applies an order. The caller holds the lock.
func (w *Engine) execute(operation, group string, epoch int64, model string, members []string, precondition *int64) int {
	if precondition != nil && *precondition != w.sequence {
		return http.StatusConflict
	}
	within := w.group == group && w.epoch == epoch
	switch operation {
	case "join":
		if epoch < w.highest || (within && !slices.Equal(members, w.members)) {
			return http.StatusPreconditionFailed
		}
		if within {
			return http.StatusOK
		}
		spec := w.fleet.model(model)
		delay := spec.Load
		switch {
		case w.lastModel == model:
			delay = rejoinTime
		case slices.Contains(w.staged, model):
			delay = spec.Warm
		}
		w.group, w.epoch, w.highest, w.state, w.model, w.members, w.rank = group, epoch, epoch, "joining", model, members, slices.Index(members, w.ID)
		time.AfterFunc(delay, func() {
			w.awaitMoving()
			w.fleet.mu.Lock()
			if w.group == group && w.epoch == epoch && w.state == "joining" {
				w.state, w.lastModel, w.staged = "ready", model, []string{model}
			}
			w.fleet.mu.Unlock()
			w.register()
		})
	case "open":
		if !within || w.state != "ready" {
			return http.StatusConflict
		}
		time.AfterFunc(formTime, func() {
			w.awaitMoving()
			w.fleet.mu.Lock()
			if w.group == group && w.epoch == epoch && w.state == "ready" {
				w.state = "open"
			}
			w.fleet.mu.Unlock()
			w.register()
		})
	case "close":
		if !within || w.state != "open" {
			return http.StatusConflict
		}
		w.state = "ready"
	case "leave":
		if !within {
			return http.StatusOK
		}
		w.group, w.state, w.model, w.members = "", "", "", nil
	case "stage":
		if w.staging != "" {
			return http.StatusConflict
		}
		if slices.Contains(w.staged, model) {
			return http.StatusOK
		}
		w.staging = model
		time.AfterFunc(w.fleet.model(model).Load, func() {
			w.awaitMoving()
			w.fleet.mu.Lock()
			w.staged, w.staging = []string{model}, ""
			w.fleet.mu.Unlock()
			w.register()
		})
	default:
		return http.StatusBadRequest
	}
	w.sequence++
	return http.StatusAccepted
}

// serveStream serves a stream of as many events as the query says.
func (w *Engine) serveStream(writer http.ResponseWriter, request *http.Request) {
	_, _ = io.Copy(io.Discard, request.Body)
	w.fleet.mu.Lock()
	open, full := w.state == "open" && w.model == request.Header.Get("Flamingodoor-Model"), w.running >= w.Slots
	id := request.Header.Get("Flamingodoor-Request-Id")
	held := &stream{id: id}
	if open && !full {
		prompt, _, _ := strings.Cut(request.Header.Get("Flamingodoor-Token-Usage"), ",")
		held.tokens, _ = strconv.Atoi(prompt)
		w.used += held.tokens
		w.streams = append(w.streams, held)
		w.running++
	}
	w.fleet.mu.Unlock()
	if !open || full {
		writer.Header().Set("Flamingodoor-Not-Executed", "1")
		status := http.StatusServiceUnavailable
		if !open {
			status = http.StatusMisdirectedRequest
		}
		writer.WriteHeader(status)
		return
	}
	defer w.end(held)
	note("worker %s runs %s last-event=%q", w.ID, id, request.Header.Get("Last-Event-Id"))
	if w.OnRun != nil {
		w.OnRun(w, id, request)
	}
	events, _ := strconv.Atoi(request.URL.Query().Get("events"))
	first, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set("Flamingodoor-Response-Signature", w.ID+"."+id)
	for event := first + 1; event <= events; event++ {
		w.awaitMoving()
		w.awaitMemory(held)
		if request.Context().Err() != nil {
			note("worker %s: %s is cut at event %d of %d", w.ID, id, event, events)
			return
		}
		w.fleet.mu.Lock()
		w.made++
		w.grow(held)
		w.fleet.mu.Unlock()
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s.%d\n\n", event, id, event)
		_ = http.NewResponseController(writer).Flush()
		time.Sleep(w.EventPause)
	}
	note("worker %s ends %s", w.ID, id)
}
