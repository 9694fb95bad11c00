package entry_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/admission"
	"flamingodoor.example/flamingodoor/internal/dispatch"
	"flamingodoor.example/flamingodoor/internal/entry"
)

var start = time.Unix(1_000_000, 0)

// fakeHost implements the dependencies of the handler, with one club, two models
// and one service.
type fakeHost struct {
	flamingodoor.Configuration // nil: other methods are not called
	stale, stopping            bool
	tokens                     []string
	failure                    error // of Generate and RunOnce
	request                    dispatch.Request
	call                       flamingodoor.ServiceCall
	calledMethod               string
	observation                entry.Observation
}

func (h *fakeHost) Current() flamingodoor.Configuration { return h }

func (h *fakeHost) ClubByKey(key string) (flamingodoor.Club, bool) {
	return flamingodoor.Club{
		ID: "club", MaxPriority: 3, Services: []string{"ledger", "gone"},
		Models: []flamingodoor.ModelGrant{{ModelID: "m", Adapters: []string{"a"}, Versions: []string{"1", "2"}}},
	}, key == "secret"
}

func (h *fakeHost) Model(id string) (flamingodoor.Model, bool) {
	return flamingodoor.Model{ID: id, Versions: []string{"1", "2", "3"}, Adapters: []string{"a", "b"}}, id == "m" || id == "other"
}

func (h *fakeHost) GroupsOfModel(string) []flamingodoor.Group {
	return []flamingodoor.Group{{Version: "1"}, {Version: "3"}}
}

func (h *fakeHost) ServiceEndpoints(service string) []flamingodoor.Endpoint {
	if service != "ledger" {
		return nil
	}
	return []flamingodoor.Endpoint{{IdempotentPaths: []string{"/lookups", "/reports/"}}, {IdempotentPaths: []string{"/lookups"}}}
}

func (h *fakeHost) Fresh(time.Time) bool { return !h.stale }

func (h *fakeHost) Restricted(string) bool { return false }

func (h *fakeHost) Generate(_ context.Context, request dispatch.Request, emit func(string) error) (dispatch.Result, error) {
	h.request = request
	for _, token := range h.tokens {
		if err := emit(token); err != nil {
			return dispatch.Result{}, err
		}
	}
	return dispatch.Result{FinishReason: "stop"}, h.failure
}

func (h *fakeHost) CallService(_ context.Context, call flamingodoor.ServiceCall) (flamingodoor.ServiceAnswer, error) {
	h.call, h.calledMethod = call, "CallService"
	return flamingodoor.ServiceAnswer{Status: http.StatusOK, Body: []byte("ok")}, nil
}

func (h *fakeHost) RunOnce(_ context.Context, call flamingodoor.ServiceCall) (flamingodoor.ServiceAnswer, error) {
	h.call, h.calledMethod = call, "RunOnce"
	return flamingodoor.ServiceAnswer{Status: http.StatusCreated, Repeated: true}, h.failure
}

func (h *fakeHost) RequestFinished(observation entry.Observation) { h.observation = observation }

// do sends a request with a valid API key and the given pairs of header names
// and values. It returns the response and its body.
func (h *fakeHost) do(t *testing.T, method, path, body string, headers ...string) (*httptest.ResponseRecorder, string) {
	t.Helper()
	handler := entry.New(entry.Parts{
		Configuration: h, Freshness: h, Admission: admission.New(admission.WithClock(func() time.Time { return start })),
		Dispatcher: h, OnceRunner: h, Stopping: func() bool { return h.stopping }, Observer: h,
	}, entry.WithMaxBodyBytes(500), entry.WithClock(func() time.Time { return start }))
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer secret")
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder, recorder.Body.String()
}

// chat returns the body of a chat request with one message.
func chat(model string) string {
	return `{"model":"` + model + `","messages":[{"role":"user","content":"hi"}],"temperature":1,"priority":9}`
}

// Guards against rejecting a request with a wrong status or without the run
// state, and against accepting a request that the club may not make.
func TestRefusals(t *testing.T) {
	const completions, ledger = "/v1/chat/completions", "/v1/services/ledger/"
	cases := map[string]struct {
		change             func(*fakeHost)
		method, path, body string
		headers            []string
		status             int
		code               string
	}{
		"no key":            {path: completions, headers: []string{"Authorization", ""}, status: 401, code: "unauthenticated"},
		"wrong key":         {path: completions, headers: []string{"Authorization", "Bearer x"}, status: 401, code: "unauthenticated"},
		"stopping":          {path: completions, change: func(h *fakeHost) { h.stopping = true }, status: 503, code: "stopping"},
		"not fresh":         {path: completions, change: func(h *fakeHost) { h.stale = true }, status: 503, code: "not_fresh"},
		"timeout":           {path: completions, headers: []string{"X-Request-Timeout", "-1"}, status: 400, code: "invalid_request"},
		"too large":         {path: completions, body: strings.Repeat(" ", 501), status: 413, code: "too_large"},
		"unknown model":     {path: completions, body: chat("x"), status: 404, code: "unknown_model"},
		"foreign model":     {path: completions, body: chat("other"), status: 403, code: "not_allowed"},
		"unknown version":   {path: completions, body: chat("m@9"), status: 404, code: "unknown_model"},
		"foreign version":   {path: completions, body: chat("m@3"), status: 403, code: "not_allowed"},
		"foreign adapter":   {path: completions, body: chat("m:b"), status: 403, code: "not_allowed"},
		"unknown route":     {path: "/v1/other", status: 404, code: "unknown_service"},
		"foreign service":   {path: "/v1/services/bookings/x", status: 403, code: "not_allowed"},
		"service gone":      {path: "/v1/services/gone/x", status: 404, code: "unknown_service"},
		"key required":      {path: ledger + "postings", status: 400, code: "key_required"},
		"similar prefix":    {path: ledger + "lookupsx", status: 400, code: "key_required"},
		"not declared by 2": {path: ledger + "reports/1", status: 400, code: "key_required"},
		"dot segments":      {path: ledger + "lookups/../postings", status: 400, code: "invalid_request"},
		"encoded dots":      {path: ledger + "lookups/%2e%2e/postings", status: 400, code: "invalid_request"},
		"encoded slash":     {path: ledger + "lookups/..%2fpostings", status: 400, code: "invalid_request"},
		"empty segment":     {path: ledger + "lookups//x", status: 400, code: "invalid_request"},
		"log unavailable": {
			path: ledger + "postings", headers: []string{"Idempotency-Key", "k"}, status: 503, code: "log_unavailable",
			change: func(h *fakeHost) { h.failure = flamingodoor.Errorf(flamingodoor.CodeLogUnavailable, "down") },
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			h := &fakeHost{}
			if test.change != nil {
				test.change(h)
			}
			response, body := h.do(t, http.MethodPost, test.path, test.body, test.headers...)
			var failure struct {
				Error struct{ Code, Message, Run_state, Request_id string } //nolint:revive // names of the JSON fields
			}
			assert.NilError(t, json.Unmarshal([]byte(body), &failure))
			assert.Equal(t, response.Code, test.status, body)
			assert.Equal(t, failure.Error.Code, test.code)
			assert.Equal(t, failure.Error.Run_state, "not_run")
			assert.Equal(t, response.Header().Get("X-Run-State"), "not_run")
			assert.Equal(t, failure.Error.Request_id, response.Header().Get("X-Request-Id"))
			assert.Assert(t, h.observation.Failed)
		})
	}
}

// Guards against a new failure code without an HTTP status.
func TestEveryCodeHasAStatus(t *testing.T) {
	for _, code := range flamingodoor.CodeValues() {
		status := entry.Status(code)
		internal := code == flamingodoor.CodeInternal || code == flamingodoor.CodeTrimmed ||
			code == flamingodoor.CodeUnreadableRecord || code == flamingodoor.CodeFutureRecord
		assert.Equal(t, status == http.StatusInternalServerError, internal, code.String())
	}
}

// Guards against an error message without the position of the JSON error.
func TestMalformedJSONNamesThePosition(t *testing.T) {
	for body, position := range map[string]string{
		"{\n  \"model\": oops}":            "line 2, column 12",
		"{\"model\":\n7}":                  "line 2, column 1",
		"{\"model\":":                      "line 1, column 10",
		chat("m") + "\n {\"model\":\"m\"}": "line 2, column 2",
	} {
		_, answer := (&fakeHost{}).do(t, http.MethodPost, "/v1/chat/completions", body)
		assert.Assert(t, strings.Contains(answer, position), "%q: %s", body, answer)
	}
}

// Guards against an incomplete response that appears complete, and against
// dispatching a request with a wrong version, adapter, priority, prompt or
// deadline.
func TestChat(t *testing.T) {
	h := &fakeHost{tokens: []string{"a", "b"}}
	response, body := h.do(t, http.MethodPost, "/v1/chat/completions", chat("m:a"), "X-Request-Timeout", "9999")
	assert.Equal(t, response.Code, http.StatusOK)
	assert.Assert(t, strings.Contains(body, `"message":{"role":"assistant","content":"ab"},"finish_reason":"stop"`), body)
	assert.Equal(t, h.request.Version, "1") // version 2 has no group, version 3 is not granted
	assert.Equal(t, h.request.Adapter, "a")
	assert.Equal(t, h.request.Priority, 3)
	assert.Equal(t, h.request.Prompt, "user: hi\n")
	assert.Equal(t, h.request.Deadline, start.Add(600*time.Second))
	assert.Equal(t, h.observation.Tokens, 2)
	first := h.request.Fingerprint

	streamed := strings.Replace(chat("m@2"), `"priority"`, `"stream":true,"priority"`, 1)
	response, body = h.do(t, http.MethodPost, "/v1/chat/completions", streamed)
	assert.Equal(t, response.Header().Get("Content-Type"), "text/event-stream")
	assert.Assert(t, strings.HasSuffix(body, "data: [DONE]\n\n"))
	assert.Equal(t, strings.Count(body, `"delta":{"content":"`), 3)
	assert.Equal(t, h.request.Deadline, start.Add(120*time.Second))
	assert.Assert(t, h.request.Fingerprint != first)

	h.failure = flamingodoor.NewError(flamingodoor.CodeStreamLost, flamingodoor.RunStateRan, io.ErrUnexpectedEOF)
	_, body = h.do(t, http.MethodPost, "/v1/chat/completions", streamed)
	events := strings.Split(strings.TrimSpace(body), "\n\n")
	assert.Assert(t, strings.HasPrefix(events[len(events)-1], `data: {"error":{"code":"stream_lost"`), body)
	assert.Assert(t, strings.Contains(events[len(events)-1], `"run_state":"ran"`))
	assert.Assert(t, !strings.Contains(body, "[DONE]"))
	h.tokens = nil
	response, _ = h.do(t, http.MethodPost, "/v1/chat/completions", streamed)
	assert.Equal(t, response.Code, http.StatusBadGateway)
}

// Guards against running a non-idempotent call with CallService, which may retry
// it, and against losing parts of a call.
func TestServices(t *testing.T) {
	h := &fakeHost{}
	response, body := h.do(t, http.MethodGet, "/v1/services/ledger/balance%20of/7?day=1", "")
	assert.Equal(t, body, "ok")
	assert.Equal(t, h.call.Path, "/balance%20of/7?day=1")
	assert.Equal(t, h.calledMethod, "CallService")
	assert.Equal(t, h.call.RequestID, response.Header().Get("X-Request-Id"))

	_, _ = h.do(t, http.MethodPost, "/v1/services/ledger/lookups/7", "b", "Idempotency-Key", "k")
	assert.Equal(t, h.calledMethod, "CallService")
	assert.Equal(t, h.call.IdempotencyKey, "")

	response, _ = h.do(t, http.MethodPost, "/v1/services/ledger/postings", "b", "Idempotency-Key", "k", "Content-Type", "text/x")
	assert.Equal(t, h.calledMethod, "RunOnce")
	assert.Equal(t, response.Code, http.StatusCreated)
	assert.Equal(t, response.Header().Get("X-Repeated"), "true")
	assert.DeepEqual(t, h.call, flamingodoor.ServiceCall{
		RequestID: h.call.RequestID, ClubID: "club", Service: "ledger", IdempotencyKey: "k", Method: http.MethodPost,
		Path: "/postings", ContentType: "text/x", Body: []byte("b"), Deadline: start.Add(120 * time.Second),
	})
}
