package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
)

// closeSending sends a request on a connection of its own, waits, closes the sending side
// and returns the answer. Its status is 0 if the connection was closed without one.
func (s *setup) closeSending(path string, wait time.Duration) reply {
	s.t.Helper()
	connection, err := net.Dial("tcp", s.front.Listener.Addr().String())
	assert.NilError(s.t, err)
	defer func() { _ = connection.Close() }()
	assert.NilError(s.t, connection.SetDeadline(time.Now().Add(3*time.Second)))
	_, err = fmt.Fprintf(connection, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: r1\r\n%s: 1500\r\n%s: %s\r\n%s: 100,50\r\nAuthorization: Bearer %s\r\nContent-Length: 4\r\n\r\nbody",
		path, host, headers.RequestID, headers.DeadlineMS, headers.Model, model, headers.Tokens, key)
	assert.NilError(s.t, err)
	time.Sleep(wait)
	sending, ok := connection.(*net.TCPConn)
	assert.Assert(s.t, ok)
	assert.NilError(s.t, sending.CloseWrite())
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return reply{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// Guards against "200 OK" without a signature for a request that never ran, and against
// streams that end early as complete: the server completes the answer of a handler that
// returns without one (MIXED). First seen as review/1, with callers that close only their
// sending side when they leave.
func TestCallerThatClosesItsSendingSideGetsNoFalseAnswer(t *testing.T) {
	waiting := func(_ http.ResponseWriter, request *http.Request) { <-request.Context().Done() }
	for name, test := range map[string]struct {
		path, service string
		endpoint      func(http.ResponseWriter, *http.Request)
		full          bool // no slot is free
	}{
		"posting":                   {"/post/x", "plain", waiting, false},
		"idempotent":                {"/read/x", "plain", waiting, false},
		"posting that waits":        {"/post/x", "plain", waiting, true},
		"stream that waits":         {"/stream/x", "llm", waiting, true},
		"stream before first event": {"/stream/x", "llm", waiting, false},
		"stream after a first event": {"/stream/x", "llm", func(writer http.ResponseWriter, request *http.Request) {
			events(1, 0)(writer, request)
			waiting(writer, request)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSetup(t)
			changed := *s.catalogue.Index().Catalogue
			changed.Version++
			changed.Routes = []flamingodoor.Route{
				route("/post/", flamingodoor.RouteKindNonIdempotent, "plain", 1), route("/read/", flamingodoor.RouteKindIdempotent, "plain", 2), route("/stream/", flamingodoor.RouteKindStreaming, "llm", 2),
			}
			for i := range changed.Routes {
				changed.Routes[i].LatencyObjective = 8 * time.Second // a request waits for an eighth of it
			}
			s.catalogue.Configure(&changed)
			e := newEndpoint(t, test.endpoint)
			instance := e.instance("i-1", test.service)
			if test.full {
				instance.Slots = 0
			}
			s.register(instance)
			got := s.closeSending(test.path, 150*time.Millisecond)
			if got.status == 0 {
				return // the connection was closed
			}
			assert.Equal(t, got.header.Get(headers.Signature), "sig", "status %d, body %q", got.status, got.body)
			assert.Assert(t, got.err != nil, "the answer looks complete: status %d, body %q", got.status, got.body)
		})
	}
}
