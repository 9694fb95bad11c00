package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Results of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

const stableWindow = 3 * time.Second

var zones = []string{"zone-a", "zone-b", "zone-c"}

// arrival is a request that reached a worker.
type arrival struct {
	at        time.Time
	sentAt    time.Time // by the client
	worker    *worker
	workerID  string
	requestID string
	path      string
}

// bed is a small deployment: entry hosts as processes, stand-ins in this one.
type bed struct {
	store   *store
	hosts   []*host
	folder  string
	program string
	trouble bool
	started time.Time
	poison  func(in *http.Request) bool // whether a request crashes workers

	mu         sync.Mutex
	record     *os.File
	arrivals   []arrival
	crashAt    []time.Time          // of crashes by poison
	sentAt     map[string]time.Time // by id of the request
	plainSlots int                  // of workers of the plain service
	nextID     atomic.Int64
}

type host struct {
	name  string
	zone  string
	front string
	ready string
	cmd   *exec.Cmd
}

func must(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
}

func newBed(recordPath string) *bed {
	record, err := os.Create(recordPath)
	must(err)
	folder, err := os.MkdirTemp("", "review")
	must(err)
	program, err := filepath.Abs("target/flamingodoor-entry")
	must(err)
	return &bed{
		record: record, folder: folder, program: program, trouble: os.Getenv("TROUBLE") != "0", started: time.Now(),
		store: newStore(), plainSlots: 6, sentAt: map[string]time.Time{}, poison: func(*http.Request) bool { return false },
	}
}

// note writes a line to the record.
func (b *bed) note(format string, values ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.noteLocked(format, values...)
}

func (b *bed) noteLocked(format string, values ...any) {
	_, _ = fmt.Fprintf(b.record, "%7.3f s  %s\n", time.Since(b.started).Seconds(), fmt.Sprintf(format, values...))
}

func (b *bed) arrived(w *worker, id, requestID string, in *http.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.arrivals = append(b.arrivals, arrival{time.Now(), b.sentAt[requestID], w, id, requestID, in.URL.Path})
	b.noteLocked("worker %s begins to run %s, %s %s", id, requestID, in.Method, in.URL.Path)
}

func (b *bed) crashes(in *http.Request) bool { return b.trouble && b.poison(in) }

// poisonCrash crashes a worker by a request. It is back after three seconds under a new
// id.
func (b *bed) poisonCrash(w *worker, requestID string) {
	id := w.crash()
	if id == "" {
		return
	}
	b.mu.Lock()
	b.crashAt = append(b.crashAt, time.Now())
	b.noteLocked("request %s has crashed worker %s, crash %d", requestID, id, len(b.crashAt))
	b.mu.Unlock()
	w.expire(id)
	time.AfterFunc(3*time.Second, func() { w.start(b.newID("i"), 0) })
}

// coldCrash crashes a cold worker that got too many requests. It is back after three
// seconds under a new id, and cold again.
func (b *bed) coldCrash(w *worker) {
	id := w.crash()
	if id == "" {
		return
	}
	b.note("worker %s was cold and got more than %d requests in a second", id, w.coldMost)
	w.expire(id)
	time.AfterFunc(3*time.Second, func() {
		w.mu.Lock()
		w.coldTill = time.Now().Add(coldTime)
		w.mu.Unlock()
		w.start(b.newID("i"), 0)
	})
}

func (b *bed) newID(prefix string) string { return fmt.Sprintf("%s-%06x", prefix, b.nextID.Add(1)) }

// loopback returns a loopback address of a machine of this run, so that its ports are free.
func loopback(machine int) string {
	run := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+run/250%250, 1+run%250, machine)
}

// startHosts starts the entry hosts with the command of the deploy file.
func (b *bed) startHosts(count int) {
	for i := range count {
		zone := zones[i%len(zones)]
		ip := loopback(i + 1)
		h := &host{name: fmt.Sprintf("edge-%s-%d", zone, i+1), zone: zone, front: ip + ":8227", ready: ip + ":8220"}
		settings := fmt.Sprintf(settingsFormat, h.name, ip, zone, h.front, h.ready, b.store.listener.Addr())
		path := filepath.Join(b.folder, h.name+".yaml")
		must(os.WriteFile(path, []byte(settings), 0o600))
		log, err := os.Create(filepath.Join(b.folder, h.name+".log"))
		must(err)
		h.cmd = exec.Command(b.program, "--metrics-port", "9464")
		h.cmd.Env = append(os.Environ(), "FLAMINGODOOR_CONFIG="+path)
		h.cmd.Stdout, h.cmd.Stderr = log, log
		h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		must(h.cmd.Start())
		b.hosts = append(b.hosts, h)
	}
}

// awaitReady waits until all hosts say that they are ready.
func (b *bed) awaitReady() {
	for _, h := range b.hosts {
		for try := 0; ; try++ {
			response, err := http.Get("http://" + h.ready + "/ready")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == 200 {
					break
				}
			}
			if try > 200 {
				b.note("host %s isn't ready", h.name)
				b.end(failed)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	b.note("all hosts are ready")
}

// end stops all processes and exits.
func (b *bed) end(code int) {
	for _, h := range b.hosts {
		_ = h.cmd.Process.Kill()
		_ = h.cmd.Wait()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = os.Rename(b.folder, keep)
	}
	_ = os.RemoveAll(b.folder)
	_ = b.record.Close()
	os.Exit(code)
}

// result is what a client saw.
type result struct {
	id     string
	sentAt time.Time
	status int
	body   string
	err    error
}

var transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}

// send sends one client attempt to a host and returns its answer.
func (b *bed) send(h *host, id, method, path string, header map[string]string, body string) result {
	request, err := http.NewRequest(method, "http://"+h.front+path, strings.NewReader(body))
	must(err)
	request.Host = "api.example"
	request.Header.Set("Flamingodoor-Request-Id", id)
	request.Header.Set("Authorization", "Bearer key-of-tenant-1")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	r := result{id: id, sentAt: time.Now()}
	b.mu.Lock()
	b.sentAt[id] = r.sentAt
	b.mu.Unlock()
	b.note("client sends %s, %s %s, to %s", id, method, path, h.name)
	response, err := transport.RoundTrip(request)
	if err == nil {
		defer func() { _ = response.Body.Close() }()
		var data []byte
		data, err = io.ReadAll(response.Body)
		r.status, r.body = response.StatusCode, string(data)
	}
	r.err = err
	b.note("client gets for %s: status %d, %d bytes, error %v", id, r.status, len(r.body), err)
	return r
}

// plainConfig is a configuration with a plain service and a service of model workers.
func plainConfig() map[string]any {
	return map[string]any{
		"version": 3,
		"routes": []any{
			map[string]any{"name": "r-read", "hostname": "api.example", "path_prefix": "/read/", "kind": "idempotent", "timeout_ms": 800, "target_latency_ms": 300, "priority": 2, "service": "ledger", "max_attempts": 2, "public": false},
			map[string]any{"name": "r-post", "hostname": "api.example", "path_prefix": "/post/", "kind": "non_idempotent", "timeout_ms": 800, "target_latency_ms": 300, "priority": 2, "service": "ledger", "max_attempts": 1, "public": false},
			map[string]any{"name": "r-ask", "hostname": "api.example", "path_prefix": "/ask/", "kind": "streaming", "timeout_ms": 5000, "target_latency_ms": 300, "priority": 1, "service": "llm", "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "gap_aim_ms": 300},
		},
		"services": []any{
			map[string]any{"name": "ledger", "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false, "cold_start_s": 0, "cold_per_s": 0},
			map[string]any{"name": "llm", "health_path": "/health", "max_connections": 464, "protocol": "h1", "tls": false, "cold_start_s": 3, "cold_per_s": 38, "engine": map[string]any{
				"slots": 26, "kv_capacity_tokens": 1590000, "kv_token_bytes": 327680, "link_mbps": 400000, "stride": 7,
				"models":  []any{map[string]any{"name": "m0", "size": 3, "share": 1.0, "pace": 1.0, "load_s": 16, "warm_s": 1.6}},
				"step_ms": 5.95, "per_seq_ms": 0.0445, "context_per_k": 0.00813, "read_per_s": 50700, "pairs_per_m": 0.368, "chunk": 2048,
				"report_lag_ms": 200, "loads_per_s": 4.5, "loads_at_once": 6, "usual": map[string]any{"prompt": 1115, "answer": 178}, "keeps": 1, "far_x": 3, "form_ms": 300,
			}},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "tenant-1", "api_keys": []string{"key-of-tenant-1"}, "priority": 1}},
	}
}

const settingsFormat = `node_name: %q
role: "entry"
machine_class: "edge"
serves:
  - "edge"
ip: %q
zone: %q
region: "region-1"
zones:
  zone-a: "region-1"
  zone-b: "region-1"
  zone-c: "region-1"
listen:
  front: %q
  ready: %q
internal_ports:
  - 7340
  - 7355
seeds: []
first_start: true
counts_as_loss: false
limits:
  cpu_share: 0.4
  cpu_cores: 1
  memory_mb: 284
  max_fds: 4100
  link_mbps: 1000.0
  disk_mb: 0
data_dir: null
discovery: "platform"
entry: "virtual_ip"
heartbeat_ms: 1200
bounds:
  seed_lag_s: 3
  reuse_after_s: 2
  stable_window_ms: 3000
  ack_ms: 4000
  catch_up_s: 4
  drain_ms: 2000
  grace_s: 8
  loss_slack_ms: 200
  config_apply_ms: 2000
  rollback_slack_ms: 250
  max_stretch_ms: 5000
  strict_revoke: true
  revoke_ms: 5000
  budget_ratio: 0.2
  budget_window_s: 10
  budget_burst: 132
  evacuation_ms: 5000
  recovery_s: 12
  stall_ms: 5000
platform:
  address: "%s"
  form: "log"
  writes_per_s: 400
  reads_per_s: 2000
  parts: 24
  append_ms: 1.0
  record_bytes: 262144
  call_bytes: 2097152
  keep_s: 300
  part_mb: 200
  ttl_min_ms: 1000
`
