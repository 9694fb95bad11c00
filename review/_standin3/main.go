// Command standin3 runs the scripted cases of the third review: stand-ins of the platform's
// store, of workers and of clients around processes of entry hosts.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scene is what the cases have in common.
type scene struct {
	folder  string // temporary
	trouble bool
	notes   *recorder
	store   *store
	hosts   []*host
	done    chan struct{}
	routes  int // further routes in the configuration
}

func main() {
	if len(os.Args) != 3 {
		_, _ = fmt.Fprintln(os.Stderr, "usage: standin3 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	cases := map[string]func(*scene) (int, error){"cold": runCold, "settings": runSettings, "entry": runEntry, "confirm": runConfirm}
	run, ok := cases[os.Args[1]]
	if !ok {
		_, _ = fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitNotRun)
	}
	os.Exit(play(run, os.Args[2]))
}

func play(run func(*scene) (int, error), folder string) int {
	temporary, err := os.MkdirTemp("", "standin3-")
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(temporary)
		} else {
			_, _ = fmt.Fprintln(os.Stderr, "kept", temporary)
		}
	}()
	notes, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer notes.close()
	s := &scene{folder: temporary, trouble: os.Getenv("TROUBLE") != "0", notes: notes, done: make(chan struct{})}
	defer close(s.done)
	defer func() {
		for _, h := range s.hosts {
			h.stop()
		}
	}()
	if s.store, err = newStore(); err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	result, err := run(s)
	if err != nil {
		notes.note("not run: %v", err)
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	return result
}

// configure writes a version of the configuration with the keys.
func (s *scene) configure(version int, coldRate float64, keys ...string) {
	route := func(name, kind string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "hostname": hostname, "path_prefix": "/" + name + "/", "kind": kind, "service": ledgerService, "timeout_ms": 1500,
			"target_latency_ms": 300, "max_attempts": attempts, "priority": 2,
		}
	}
	routes := []any{route("read", "idempotent", 2), route("post", "non_idempotent", 1)}
	for i := range s.routes {
		routes = append(routes, route(fmt.Sprintf("added-%d", i), "idempotent", 2))
	}
	tenants := make([]map[string]any, 0, len(keys))
	for _, key := range keys {
		tenants = append(tenants, map[string]any{"name": "tenant-" + key, "api_keys": []string{key}})
	}
	value, _ := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{map[string]any{"name": ledgerService, "health_path": healthPath, "max_connections": 100, "cold_per_s": coldRate}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
		"tenants":  tenants,
	})
	s.store.put(operatorTopic, "config", value)
	s.notes.note("the operator writes version %d, keys %v", version, keys)
}

// configureModel writes a version of the configuration with a service of model workers.
func (s *scene) configureModel(version int, keys ...string) {
	tenants := make([]map[string]any, 0, len(keys))
	for _, key := range keys {
		tenants = append(tenants, map[string]any{"name": "tenant-" + key, "api_keys": []string{key}})
	}
	value, _ := json.Marshal(map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "stream", "hostname": hostname, "path_prefix": "/stream/", "kind": "streaming", "service": modelService, "timeout_ms": 8000,
			"target_latency_ms": 300, "gap_aim_ms": 300, "max_attempts": 2, "priority": 1, "resumable": true, "sticky": true,
		}},
		"services": []any{map[string]any{"name": modelService, "health_path": healthPath, "max_connections": 464, "cold_per_s": 38, "engine": map[string]any{
			"slots": modelSlots, "stride": 7, "step_ms": 5.95, "per_seq_ms": 0.0445, "context_per_k": 0.00813, "read_per_s": 50700, "pairs_per_m": 0.368, "chunk": 2048,
			"loads_per_s": 4.5, "loads_at_once": 6, "keeps": 1, "form_ms": formTime.Milliseconds(), "far_x": 3, "report_lag_ms": 200, "usual": map[string]any{"prompt": 1200, "answer": 175},
			"models": []any{map[string]any{"name": modelID, "size": modelSize, "pace": 1, "share": 1, "load_s": loadTime.Seconds(), "warm_s": warmTime.Seconds()}},
		}}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
		"tenants": tenants,
	})
	s.store.put(operatorTopic, "config", value)
	s.notes.note("the operator writes version %d, keys %v", version, keys)
}

// startHosts starts one entry host in each zone and waits until they are ready.
func (s *scene) startHosts(count int) error {
	for i := range count {
		h, err := newHost(fmt.Sprintf("edge-%d", i+1), fmt.Sprintf("dar-%c", 'a'+i%3), s.folder, s.store.address())
		if err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range s.hosts {
		if err := h.awaitReady(15 * time.Second); err != nil {
			return err
		}
	}
	return nil
}
