package ctl_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"flamingodoor.example/flamingodoor/internal/ctl"
	"flamingodoor.example/flamingodoor/internal/explain"
)

// explainingHost answers like an entry host and keeps the last description.
func explainingHost(t *testing.T, last *explain.Request) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.Handle("GET /explain", explain.Handler(func(request explain.Request) explain.Answer {
		*last = request
		turn := int64(950)
		return explain.Answer{
			Host: "entry-1", ConfigVersion: 7, Route: request.Route, Service: "llm", Workspace: request.Workspace, Model: request.Model,
			Priority: 1, PrioritySource: explain.PrioritySourceWorkspace, Queue: explain.Queue{Waiting: 5, Ahead: 4, TurnMS: &turn, MaxWaitMS: 180},
			Candidates: []explain.Candidate{
				{Instance: "i-1", Group: "g-1", DataCentre: "dc-a", Reason: explain.ReasonAtCapacity, Capacity: 20, InFlight: 20, OwnLimit: 20, OwnInFlight: 2, SpeedPercent: 100, PredictedMS: 212, Load: 1.2},
				{Instance: "i-2", Group: "g-2", DataCentre: "dc-b", Reason: explain.ReasonHeld, UntilMS: 1500},
			},
			Refusal: &explain.Refusal{Status: http.StatusServiceUnavailable, Reason: "full", MinRetryAfterMS: 950, MaxRetryAfterMS: 1650},
		}
	}))
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// Guards against a description that reaches the host changed, and against text or JSON that
// lacks a part of the answer.
func TestExplain(t *testing.T) {
	var last explain.Request
	address := explainingHost(t, &last)
	run := func(args ...string) (int, string, string) {
		var stdout, stderr bytes.Buffer
		code := ctl.Run(t.Context(), "v9", append([]string{"explain", "--host", address}, args...), &stdout, &stderr)
		return code, stdout.String(), stderr.String()
	}
	code, stdout, stderr := run("--route", "chat", "--workspace", "billing", "--model", "m", "--prompt-tokens", "100", "--output-tokens", "50", "--deadline", "5s")
	assert.Equal(t, code, ctl.ExitDone, stderr)
	golden.Assert(t, stdout, "explain.golden")
	want := explain.Request{Route: "chat", Workspace: "billing", Model: "m", PromptTokens: 100, MaxOutputTokens: 50, Deadline: 5_000_000_000}
	assert.DeepEqual(t, last, want)

	code, stdout, stderr = run("--request-host", "api.example", "--path", "/chat/x?y", "--json")
	assert.Equal(t, code, ctl.ExitDone, stderr)
	assert.DeepEqual(t, last, explain.Request{Host: "api.example", Path: "/chat/x?y"})
	var answer explain.Answer
	assert.NilError(t, json.Unmarshal([]byte(stdout), &answer))
	assert.Equal(t, answer.Candidates[1].Reason, explain.ReasonHeld)
	assert.Equal(t, *answer.Queue.TurnMS, int64(950))
	assert.Assert(t, strings.Contains(stdout, `"min_retry_after_ms": 950`), stdout)

	code, _, _ = run("--model", "m")
	assert.Equal(t, code, ctl.ExitUsage)
}

// Guards against a log line whose request is described wrongly, or that is looked for in
// lines of other events.
func TestExplainFromLog(t *testing.T) {
	var last explain.Request
	address := explainingHost(t, &last)
	log := "time=2026-12-06T22:00:00Z event=queue service=llm model=other waiting=3\n" +
		"time=2026-12-06T22:00:00Z event=request request=r1 route=\"chat two\" workspace=billing model=m result=full status=503\n"
	name := filepath.Join(t.TempDir(), "log")
	for _, test := range []struct {
		log  string
		args []string
		code int
		want explain.Request
	}{
		{log, nil, ctl.ExitDone, explain.Request{Route: "chat two", Workspace: "billing", Model: "m"}},
		{log, []string{"--model", "large"}, ctl.ExitDone, explain.Request{Route: "chat two", Workspace: "billing", Model: "large"}},
		{"event=queue service=llm\n", nil, ctl.ExitFailed, explain.Request{}},
	} {
		last = explain.Request{}
		assert.NilError(t, os.WriteFile(name, []byte(test.log), 0o600))
		var stdout, stderr bytes.Buffer
		withStdin(t, name, func() {
			code := ctl.Run(t.Context(), "v9", append([]string{"explain", "--host", address, "--from-log"}, test.args...), &stdout, &stderr)
			assert.Equal(t, code, test.code, stderr.String())
		})
		assert.DeepEqual(t, last, test.want)
	}
}

// withStdin calls a function with the file as the standard input.
func withStdin(t *testing.T, name string, call func()) {
	t.Helper()
	file, err := os.Open(name)
	assert.NilError(t, err)
	defer func() { _ = file.Close() }()
	before := os.Stdin
	os.Stdin = file
	defer func() { os.Stdin = before }()
	call()
}

// Guards against a request for an unknown parameter, such as a key, that is answered or
// whose value is repeated.
func TestExplainRejectsOtherParameters(t *testing.T) {
	var last explain.Request
	address := explainingHost(t, &last)
	for query, status := range map[string]int{"route=chat&key=secret": http.StatusBadRequest, "route=chat&prompt_tokens=secret": http.StatusBadRequest, "model=m": http.StatusBadRequest, "route=chat": http.StatusOK} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/explain?"+query, http.NoBody)
		assert.NilError(t, err)
		response, err := http.DefaultClient.Do(request)
		assert.NilError(t, err)
		var body bytes.Buffer
		_, err = body.ReadFrom(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, response.StatusCode, status, query)
		assert.Assert(t, !strings.Contains(body.String(), "secret"), body.String())
	}
}
