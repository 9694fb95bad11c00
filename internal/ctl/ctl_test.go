package ctl_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/gen/flamingodoor/operator/v1/operatorv1connect"
	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
	"flamingodoor.example/flamingodoor/internal/ctl"
	"flamingodoor.example/flamingodoor/internal/freshness"
	"flamingodoor.example/flamingodoor/internal/operator"
	"flamingodoor.example/flamingodoor/internal/registry"
)

// fakeHost replaces the log and the voters of an entry host. It applies records
// directly to its store. The log and the majority of the voters can be made to
// fail.
type fakeHost struct {
	store      *registry.Store
	offset     uint64
	logDown    bool
	noMajority bool
}

func (h *fakeHost) Record(_ context.Context, record *recordv1.Record) (*recordv1.Verdict, error) {
	if h.logDown {
		return nil, flamingodoor.Errorf(flamingodoor.CodeLogUnavailable, "log down")
	}
	data, err := proto.Marshal(record)
	if err != nil {
		return nil, err
	}
	h.offset++
	return h.store.Apply(flamingodoor.LogEntry{Offset: h.offset, Data: data})
}

func (h *fakeHost) Accept(context.Context, uint64) error {
	if h.noMajority {
		return flamingodoor.Errorf(flamingodoor.CodeNoMajority, "no majority")
	}
	return nil
}

func (h *fakeHost) Restrict(context.Context, flamingodoor.Restriction) ([]string, error) {
	return []string{"far-host"}, nil
}

// newTool starts a server of the host and returns a function that runs the tool.
// The first address of the tool does not answer, the second is the server.
func newTool(t *testing.T, host *fakeHost) func(args ...string) (code int, stdout, stderr string) {
	t.Helper()
	host.store = registry.NewStore()
	commands := operator.NewCommands("self", host.store, host, host, freshness.New("self"), operator.WithCommandToken("secret"))
	queries := operator.NewQueries("self", host.store, host.store, operator.WithQueryToken("secret"))
	routes := http.NewServeMux()
	routes.Handle(operatorv1connect.NewCommandServiceHandler(commands))
	routes.Handle(operatorv1connect.NewQueryServiceHandler(queries))
	server := httptest.NewServer(routes)
	t.Cleanup(server.Close)
	return func(args ...string) (int, string, string) {
		var stdout, stderr bytes.Buffer
		args = append([]string{
			"--server", "127.0.0.1:1," + server.URL, "--token", "secret", "--author", "ann", "--timeout", "2s",
		}, args...)
		code := ctl.Run(t.Context(), "v9", args, &stdout, &stderr)
		return code, stdout.String(), stderr.String()
	}
}

func writeManifest(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "manifest.yaml")
	assert.NilError(t, os.WriteFile(name, []byte(text), 0o600))
	return name
}

const twoDataCentres = "data_centres: [{data_centre: a, region: north}, {data_centre: b, region: north}]"

// Guards against an apply that sends unchanged objects, against a command that
// fails because the first server is unreachable, and against JSON that scripts
// cannot read.
func TestApplyAndGet(t *testing.T) {
	run := newTool(t, &fakeHost{})
	code, stdout, stderr := run("apply", "-f", writeManifest(t, twoDataCentres))
	assert.Equal(t, code, ctl.ExitDone, stderr)
	assert.Assert(t, strings.Contains(stdout, "2 changes: accepted, revision 1"), stdout)
	assert.Assert(t, strings.Contains(stderr, "trying the next server"), stderr)
	code, stdout, _ = run("apply", "-f", writeManifest(t, twoDataCentres))
	assert.Equal(t, code, ctl.ExitDone)
	assert.Assert(t, strings.HasPrefix(stdout, "no changes"), stdout)

	code, stdout, _ = run("-o", "json", "get", "data_centres")
	assert.Equal(t, code, ctl.ExitDone)
	var response struct {
		Objects []struct {
			DataCentre struct {
				Name string `json:"data_centre"`
			} `json:"data_centre"`
		}
	}
	assert.NilError(t, json.Unmarshal([]byte(stdout), &response))
	assert.Equal(t, response.Objects[1].DataCentre.Name, "b")
	for _, args := range [][]string{{"get"}, {"get", "data_centre", "a"}, {"history"}, {"status"}} {
		code, stdout, stderr = run(args...)
		assert.Equal(t, code, ctl.ExitDone, stderr)
		assert.Assert(t, stdout != "")
	}
}

// Guards against an exit code that does not match the result of the command.
func TestExitCodes(t *testing.T) {
	host := &fakeHost{}
	run := newTool(t, host)
	for _, test := range []struct {
		code int
		text string
		args []string
	}{
		{ctl.ExitDone, "v9", []string{"--version"}},
		{ctl.ExitDone, "drain", []string{"--help"}},
		{ctl.ExitUsage, "a command is needed", nil},
		{ctl.ExitUsage, "reason", []string{"drain", "a"}},
		{ctl.ExitUsage, "unexpected argument", []string{"status", "a"}},
		{ctl.ExitUsage, "unknown flag", []string{"--bogus", "status"}},
		{ctl.ExitFailed, "does not exist", []string{"return", "a"}},
		{ctl.ExitFailed, "[1:2]", []string{"apply", "-f", writeManifest(t, "{club: []}")}},
		{ctl.ExitFailed, "unauthenticated", []string{"--token", "wrong", "get"}},
		{ctl.ExitFailed, "unknown kind", []string{"get", "motor"}},
		{ctl.ExitDone, "accepted", []string{"apply", "-f", writeManifest(t, twoDataCentres)}},
		{ctl.ExitDone, "out of service: accepted", []string{"drain", "a", "--reason", "flood"}},
		{ctl.ExitDone, "in service: accepted", []string{"return", "a"}},
	} {
		code, stdout, stderr := run(test.args...)
		assert.Equal(t, code, test.code, "%v: %s", test.args, stderr)
		assert.Assert(t, strings.Contains(stdout+stderr, test.text), "%v: %s%s", test.args, stdout, stderr)
	}
	host.noMajority = true
	code, stdout, _ := run("drain", "a", "--reason", "flood")
	assert.Equal(t, code, ctl.ExitRecorded)
	assert.Assert(t, strings.Contains(stdout, "recorded"), stdout)
	host.logDown = true
	code, stdout, stderr := run("drain", "b", "--reason", "flood")
	assert.Equal(t, code, ctl.ExitDone)
	assert.Assert(t, strings.Contains(stdout, "provisional until the log is back"), stdout)
	assert.Assert(t, strings.Contains(stderr, "far-host"), stderr)
	code, _, stderr = run("return", "a")
	assert.Equal(t, code, ctl.ExitFailed)
	assert.Assert(t, strings.Contains(stderr, "log_unavailable"), stderr)
}
