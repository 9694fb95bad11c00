package proxy_test

import (
	"context"
	"net/http"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/faultproxy"
)

// Guards against requests without an answer after an attempt on a connection that
// transfers nothing more: the instance is sound, and a repeat there reaches no further
// instance, of which the route allows two.
func TestRepeatAfterADeadConnection(t *testing.T) {
	t.Parallel()
	full := func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set(headers.NotRun, "1")
		writer.WriteHeader(http.StatusServiceUnavailable)
	}
	for _, test := range []struct {
		name    string
		path    string
		service string
		repeat  func(http.ResponseWriter, *http.Request) // of the instance; nil to answer
		answers bool                                     // probes
		status  int
		runs    [2]int64 // requests that the instances received
	}{
		{"request", "/read/x", "plain", nil, true, http.StatusOK, [2]int64{2, 0}},
		{"stream", "/stream/x", "llm", nil, true, http.StatusOK, [2]int64{2, 0}},
		{"request, instance full by then", "/read/x", "plain", full, true, http.StatusOK, [2]int64{2, 1}},
		{"posting", "/post/x", "plain", nil, true, http.StatusOK, [2]int64{2, 0}},
		{"instance does not answer", "/read/x", "plain", nil, false, http.StatusGatewayTimeout, [2]int64{1, 0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := newSetup(t)
			s.answers.Store(test.answers)
			answer := signed("id: 1\ndata: x\n\n")
			var first *endpoint
			first = newEndpoint(t, func(writer http.ResponseWriter, request *http.Request) {
				if first.runs.Load() > 1 && test.repeat != nil {
					test.repeat(writer, request)
					return
				}
				answer(writer, request)
			})
			second := newEndpoint(t, answer)
			cut, err := faultproxy.New(context.WithoutCancel(t.Context()), netip.MustParseAddr("127.0.0.1"), netip.MustParseAddrPort(first.server.Listener.Addr().String()))
			assert.NilError(t, err)
			t.Cleanup(cut.Close)
			near, far := first.instance("i-1", test.service), second.instance("i-2", test.service)
			near.Address, far.DataCentre = cut.Address(), "dc-b"
			s.register(near)
			assert.Equal(t, s.send(test.path).status, http.StatusOK)
			cut.SilenceOpen()
			instances := []flamingodoor.Instance{near}
			if test.runs[1] > 0 {
				instances = append(instances, far)
			}
			s.register(instances...)
			assert.Equal(t, s.send(test.path, func(request *http.Request) { request.Header.Set(headers.RequestID, "r2") }).status, test.status)
			assert.Equal(t, [2]int64{first.runs.Load(), second.runs.Load()}, test.runs)
		})
	}
}
