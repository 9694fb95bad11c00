package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	modelService = "billing-llm"
	modelID      = "m0"
	modelSize    = 3
	modelSlots   = 26
	loadTime     = 12 * time.Second
	warmTime     = 1100 * time.Millisecond
	rejoinTime   = 200 * time.Millisecond
	formTime     = 300 * time.Millisecond
	stallTime    = 5 * time.Second // stall_ms
	streamEvents = 25
	eventPause   = 14 * time.Millisecond
)

// fleet holds the model workers of a deployment and watches the rules of groups.
type fleet struct {
	store *store
	notes *recorder

	mu       sync.Mutex
	workers  map[string]*modelWorker
	traffic  bool     // a request has come
	breaches []string // of rule TWO
}

// membership is the group of a worker.
type membership struct {
	stoodStill         time.Time // since when a member is missing; of the head
	name, state, model string
	epoch              int64
	rank               int
	members            []string
	changesAt          time.Time // when the state becomes the next one
	next               string
}

// modelWorker is a model worker. The lock of the fleet guards it.
type modelWorker struct {
	fleet            *fleet
	id, zone, domain string
	address          string
	born             time.Time
	group            *membership
	seenEpoch        int64
	accepted         int // orders
	writes           int
	staged           []string
	stagesAt         time.Time
	staging          string
	lastModel        string
	running          int
	lastText         string
	lastBeat         time.Time
}

func newFleet(store *store, notes *recorder) *fleet {
	return &fleet{store: store, notes: notes, workers: make(map[string]*modelWorker)}
}

func (f *fleet) add(id, zone, domain string) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w := &modelWorker{fleet: f, id: id, zone: zone, domain: domain, address: listener.Addr().String(), born: time.Now()}
	f.mu.Lock()
	f.workers[id] = w
	f.mu.Unlock()
	go func() { _ = (&http.Server{Handler: w, ReadHeaderTimeout: 10 * time.Second}).Serve(listener) }()
	return nil
}

// run applies what is due and writes the registrations until the channel is closed.
func (f *fleet) run(done <-chan struct{}) {
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		f.mu.Lock()
		for _, w := range f.workers {
			w.advance(time.Now())
			w.breakStalled(time.Now())
			w.register(time.Now())
		}
		f.mu.Unlock()
	}
}

func (w *modelWorker) advance(now time.Time) {
	if w.staging != "" && !now.Before(w.stagesAt) {
		w.staged, w.staging = []string{w.staging}, ""
	}
	if w.group != nil && w.group.next != "" && !now.Before(w.group.changesAt) {
		w.group.state, w.group.next = w.group.next, ""
		if w.group.state == "ready" {
			w.lastModel = w.group.model
			if !slices.Contains(w.staged, w.group.model) {
				w.staged = []string{w.group.model}
			}
		}
		w.fleet.notes.note("worker %s is %s in %s, epoch %d, rank %d", w.id, w.group.state, w.group.name, w.group.epoch, w.group.rank)
	}
}

// breakStalled makes an open head broken once its group has stood still for stallTime.
func (w *modelWorker) breakStalled(now time.Time) {
	g := w.group
	if g == nil || g.rank != 0 || g.state != "open" {
		return
	}
	switch {
	case w.fleet.isWhole(g):
		g.stoodStill = time.Time{}
	case g.stoodStill.IsZero():
		g.stoodStill = now
	case now.Sub(g.stoodStill) >= stallTime:
		g.state, g.next = "broken", ""
		w.fleet.notes.note("worker %s is broken in %s, epoch %d", w.id, g.name, g.epoch)
	}
}

// fields are what registrations and reports have in common.
func (w *modelWorker) fields() map[string]any {
	fields := map[string]any{
		"service": modelService, "address": w.address, "zone": w.zone, "version": "1", "slots": modelSlots, "state": "ready", "cold_left_ms": 0,
		"born": w.born.UnixMilli(), "domain": w.domain, "staged": append([]string{}, w.staged...), "models": []any{}, "stage": "prefill_decode",
	}
	if g := w.group; g != nil {
		fields["group"] = map[string]any{"name": g.name, "epoch": g.epoch, "rank": g.rank, "state": g.state}
		fields["models"] = []any{map[string]any{"name": g.model, "version": 1, "adapters": []any{}}}
	}
	return fields
}

// register writes the registration if it has changed or a heartbeat is due.
func (w *modelWorker) register(now time.Time) {
	text, _ := json.Marshal(w.fields())
	if string(text) == w.lastText && now.Sub(w.lastBeat) < heartbeat {
		return
	}
	w.lastText, w.lastBeat = string(text), now
	w.writes++
	fields := w.fields()
	fields["sequence"] = w.writes
	value, _ := json.Marshal(fields)
	w.fleet.store.put(serversTopic, w.id, value)
}

func (w *modelWorker) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	id := request.Header.Get("Flamingodoor-Request-Id")
	if id != "" {
		writer.Header().Set("Flamingodoor-Request-Id", id)
	}
	if expected := request.Header.Get("Flamingodoor-Expect-Instance"); expected != "" && expected != w.id {
		notExecuted(writer, http.StatusMisdirectedRequest)
		return
	}
	switch request.URL.Path {
	case "/report":
		w.serveReport(writer)
	case "/order":
		w.serveOrder(writer, request)
	default:
		w.serveStream(writer, request, id)
	}
}

func notExecuted(writer http.ResponseWriter, status int) {
	writer.Header().Set("Flamingodoor-Not-Executed", "1")
	writer.WriteHeader(status)
}

func (w *modelWorker) serveReport(writer http.ResponseWriter) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	fields := w.fields()
	fields["id"], fields["sequence"], fields["busy"], fields["queued"], fields["running"] = w.id, w.accepted, false, 0, w.running
	fields["kv_used"], fields["kv_total"], fields["handles"], fields["pace"] = w.running*2000, 1590000, 0, 1
	writer.Header().Set("Content-Type", "application/json")
	writeJSON(writer, fields)
}

type order struct {
	Operation    string   `json:"operation"`
	Group        string   `json:"group"`
	Epoch        int64    `json:"epoch"`
	Model        string   `json:"model"`
	Members      []string `json:"members"`
	Precondition *int     `json:"precondition"`
}

func (w *modelWorker) serveOrder(writer http.ResponseWriter, request *http.Request) {
	var o order
	if err := json.NewDecoder(request.Body).Decode(&o); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	w.advance(time.Now())
	status := w.carryOut(o, time.Now())
	if status == http.StatusAccepted {
		w.accepted++
	}
	f.notes.note("worker %s: order %s %s epoch %d members %v: %d", w.id, o.Operation, o.Group, o.Epoch, o.Members, status)
	w.register(time.Now())
	writer.WriteHeader(status)
}

// carryOut executes an order and returns the status of its answer.
func (w *modelWorker) carryOut(o order, now time.Time) int {
	if o.Precondition != nil && *o.Precondition != w.accepted {
		return http.StatusConflict
	}
	g := w.group
	mine := g != nil && g.name == o.Group && g.epoch == o.Epoch
	switch o.Operation {
	case "join":
		return w.join(o, mine, now)
	case "open":
		switch {
		case !mine || g.rank != 0:
			return http.StatusConflict
		case g.state == "open" || g.next == "open":
			return http.StatusOK
		case g.state != "ready":
			return http.StatusConflict
		}
		g.next, g.changesAt = "open", now.Add(formTime)
		return http.StatusAccepted
	case "close":
		if !mine {
			return http.StatusConflict
		}
		g.state, g.next = "ready", ""
		return http.StatusAccepted
	case "leave":
		if !mine {
			return http.StatusOK
		}
		w.group = nil
		return http.StatusAccepted
	case "stage":
		if w.staging != "" {
			return http.StatusConflict
		}
		w.staging, w.stagesAt = o.Model, now.Add(w.fleet.loadTime())
		return http.StatusAccepted
	default:
		return http.StatusBadRequest
	}
}

func (f *fleet) loadTime() time.Duration {
	if f.traffic {
		return loadTime
	}
	return loadTime / 10
}

func (w *modelWorker) join(o order, mine bool, now time.Time) int {
	switch {
	case mine && slices.Equal(w.group.members, o.Members):
		return http.StatusOK
	case mine, o.Epoch < w.seenEpoch:
		return http.StatusPreconditionFailed
	}
	w.fleet.check(w, o)
	var length time.Duration
	switch {
	case w.lastModel == o.Model:
		length = rejoinTime
	case slices.Contains(w.staged, o.Model):
		length = warmTime
	default:
		length = w.fleet.loadTime()
	}
	w.seenEpoch = o.Epoch
	w.group = &membership{
		name: o.Group, epoch: o.Epoch, rank: slices.Index(o.Members, w.id), members: o.Members, model: o.Model,
		state: "joining", next: "ready", changesAt: now.Add(length),
	}
	return http.StatusAccepted
}

// check records a breach of rule TWO: a worker takes a join of another group while the head
// of its group is open or closing.
func (f *fleet) check(w *modelWorker, o order) {
	g := w.group
	if g == nil || len(g.members) == 0 {
		return
	}
	head := f.workers[g.members[0]]
	if head == nil || head.group == nil || head.group.name != g.name || head.group.epoch != g.epoch {
		return
	}
	if state := head.group.state; state == "open" || state == "closing" {
		breach := fmt.Sprintf("worker %s, rank %d of %s epoch %d, takes a join of %s epoch %d while its head %s is %s", w.id, g.rank, g.name, g.epoch, o.Group, o.Epoch, head.id, state)
		f.breaches = append(f.breaches, breach)
		f.notes.note("BREACH of TWO: %s", breach)
	}
}

// serveStream serves a stream if the worker is the head of an open group. Without its
// members the group stands still, and is cut off in the end.
func (w *modelWorker) serveStream(writer http.ResponseWriter, request *http.Request, id string) {
	_, _ = io.Copy(io.Discard, request.Body)
	f := w.fleet
	f.mu.Lock()
	f.traffic = true
	g := w.group
	serves := g != nil && g.rank == 0 && g.state == "open" && g.model == request.Header.Get("Flamingodoor-Model")
	full := w.running >= modelSlots || (g != nil && g.state == "broken")
	if serves && !full {
		w.running++
	}
	f.mu.Unlock()
	switch {
	case full:
		notExecuted(writer, http.StatusServiceUnavailable)
		return
	case !serves:
		notExecuted(writer, http.StatusMisdirectedRequest)
		return
	}
	defer func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		w.running--
	}()
	f.notes.note("worker %s runs %s", w.id, id)
	from, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	writer.Header().Set("Content-Type", "text/event-stream")
	writer.Header().Set("Flamingodoor-Response-Signature", w.id+"."+id)
	for event := from + 1; event <= streamEvents; event++ {
		for stalled := time.Now(); !f.whole(g); time.Sleep(10 * time.Millisecond) {
			if request.Context().Err() != nil || time.Since(stalled) > stallTime {
				f.notes.note("worker %s breaks off %s: its group stands still", w.id, id)
				panic(http.ErrAbortHandler)
			}
		}
		_, _ = fmt.Fprintf(writer, "id: %d\ndata: %s.%d\n\n", event, id, event)
		if err := http.NewResponseController(writer).Flush(); err != nil {
			return
		}
		time.Sleep(eventPause)
	}
}

// whole reports whether all members are in a group.
func (f *fleet) whole(g *membership) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.isWhole(g)
}

// isWhole is whole for callers that hold the lock.
func (f *fleet) isWhole(g *membership) bool {
	for _, id := range g.members {
		w := f.workers[id]
		if w == nil || w.group == nil || w.group.name != g.name || w.group.epoch != g.epoch {
			return false
		}
	}
	return true
}

// openGroups returns the groups whose head is open.
func (f *fleet) openGroups() []*membership {
	f.mu.Lock()
	defer f.mu.Unlock()
	var groups []*membership
	for _, w := range f.workers {
		if w.group != nil && w.group.rank == 0 && w.group.state == "open" {
			groups = append(groups, w.group)
		}
	}
	return groups
}

// entry returns the fields of a worker's registration.
func (f *fleet) entry(id string) map[string]any {
	f.mu.Lock()
	defer f.mu.Unlock()
	fields := f.workers[id].fields()
	fields["sequence"] = f.workers[id].writes
	return fields
}
