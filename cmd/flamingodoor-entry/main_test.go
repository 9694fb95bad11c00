package main_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// eventTimeout bounds the wait for a log line.
const eventTimeout = 20 * time.Second

// entryProcess is a process of an entry host whose log a test reads.
type entryProcess struct {
	t        *testing.T
	process  *exec.Cmd
	settings string
	ports    []int
	store    string
	lines    chan string
}

// startProcess builds and starts an entry host with a store that responds 503 to
// every call.
func startProcess(t *testing.T) *entryProcess {
	t.Helper()
	store := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(store.Close)
	folder := t.TempDir()
	program := filepath.Join(folder, "flamingodoor-entry")
	built, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, ".").CombinedOutput()
	assert.NilError(t, err, string(built))
	e := &entryProcess{
		t: t, settings: filepath.Join(folder, "node.yaml"), ports: freePorts(t, 4),
		store: store.Listener.Addr().String(), lines: make(chan string, 1000),
	}
	e.writeSettings(5000)
	e.process = exec.CommandContext(t.Context(), program, "--settings", e.settings, "--metrics-port", fmt.Sprint(e.ports[3]))
	output, err := e.process.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, e.process.Start())
	t.Cleanup(func() {
		_ = e.process.Process.Kill() // it may have exited
	})
	go func() {
		defer close(e.lines)
		for scanner := bufio.NewScanner(output); scanner.Scan(); {
			e.lines <- scanner.Text()
		}
	}()
	return e
}

func freePorts(t *testing.T, count int) []int {
	t.Helper()
	ports := make([]int, count)
	for i := range ports {
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer func() { _ = listener.Close() }()
		ports[i] = listener.Addr().(*net.TCPAddr).Port //nolint:forcetypeassert // a TCP listener
	}
	return ports
}

// writeSettings replaces the settings file.
func (e *entryProcess) writeSettings(revokeMS int) {
	e.t.Helper()
	text := fmt.Sprintf(`node_name: "edge-1"
ip: "127.0.0.1"
zone: "a"
listen: {front: "127.0.0.1:%d", ready: "127.0.0.1:%d"}
internal_ports: [%d, %d]
bounds: {grace_s: 3, revoke_ms: %d, budget_ratio: 0.2, budget_burst: 10}
platform: {address: "%s", ttl_min_ms: 1000}
`, e.ports[0], e.ports[1], e.ports[2], e.ports[2], revokeMS, e.store)
	assert.NilError(e.t, os.WriteFile(e.settings, []byte(text), 0o600))
}

// await skips log lines until the one with the event and returns it.
func (e *entryProcess) await(event string) string {
	e.t.Helper()
	timer := time.NewTimer(eventTimeout)
	defer timer.Stop()
	for {
		select {
		case line, ok := <-e.lines:
			assert.Assert(e.t, ok, "the process ended before %s", event)
			if strings.Contains(line, "event="+event+" ") || strings.HasSuffix(line, "event="+event) {
				return line
			}
		case <-timer.C:
			e.t.Fatalf("no line with event=%s", event)
		}
	}
}

func (e *entryProcess) signal(signal syscall.Signal) {
	e.t.Helper()
	assert.NilError(e.t, e.process.Process.Signal(signal))
}

// SIGHUP makes the process read the settings file again. An invalid file changes
// nothing. The process continues either way until SIGTERM, after which it exits
// with status 0.
func TestSignals(t *testing.T) {
	e := startProcess(t)
	e.await("started")
	e.writeSettings(4000)
	e.signal(syscall.SIGHUP)
	e.await("reloaded")
	assert.NilError(t, os.WriteFile(e.settings, []byte("zone: ["), 0o600))
	e.signal(syscall.SIGHUP)
	assert.Assert(t, strings.Contains(e.await("reload_failed"), "err="))
	e.writeSettings(5000)
	e.signal(syscall.SIGHUP)
	e.await("reloaded")
	e.signal(syscall.SIGTERM)
	e.await("stopping")
	e.await("stopped")
	assert.NilError(t, e.process.Wait())
}

// Invalid settings and unknown flags make the process exit at once with the
// usage status, 2.
func TestUsageErrors(t *testing.T) {
	folder := t.TempDir()
	program := filepath.Join(folder, "flamingodoor-entry")
	built, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, ".").CombinedOutput()
	assert.NilError(t, err, string(built))
	settings := filepath.Join(folder, "node.yaml")
	assert.NilError(t, os.WriteFile(settings, []byte("zone: a\n"), 0o600))
	for _, arguments := range [][]string{{"--settings", settings, "--check"}, {"--settings", settings + "x"}, {"--no-such-flag"}} {
		command := exec.CommandContext(t.Context(), program, arguments...)
		output, err := command.CombinedOutput()
		assert.Assert(t, err != nil, "%v", arguments)
		assert.Equal(t, command.ProcessState.ExitCode(), 2, "%v: %s", arguments, output)
	}
}

// The metrics report the state of the host, also while the store is down.
func TestMetrics(t *testing.T) {
	e := startProcess(t)
	e.await("started")
	wanted := []string{
		"flamingodoor_hosts 1", "flamingodoor_leads 0", "flamingodoor_configuration_age_ms -1", "flamingodoor_groups_serving 0",
		`flamingodoor_store_call_seconds_count{call="join",result="store_unavailable"}`,
	}
	var text string
	for started := time.Now(); time.Since(started) < eventTimeout; time.Sleep(100 * time.Millisecond) {
		text = e.metrics()
		if !slices.ContainsFunc(wanted, func(line string) bool { return !strings.Contains(text, line) }) {
			return
		}
	}
	t.Fatalf("the metrics lack some of %s:\n%s", wanted, text)
}

// Guards against a host that does not answer what it would do with a request on the address
// of the metrics.
func TestExplain(t *testing.T) {
	e := startProcess(t)
	e.await("started")
	assert.Assert(t, strings.Contains(e.get("/explain?route=chat"), `"reason":"no_configuration"`))
}

func (e *entryProcess) metrics() string {
	e.t.Helper()
	return e.get("/metrics")
}

// get returns what the host answers on the address of the metrics.
func (e *entryProcess) get(path string) string {
	e.t.Helper()
	client := &http.Client{Timeout: eventTimeout}
	response, err := client.Get(fmt.Sprintf("http://127.0.0.1:%d%s", e.ports[3], path))
	assert.NilError(e.t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	assert.NilError(e.t, err)
	return string(text)
}
