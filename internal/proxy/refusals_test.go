package proxy_test

import (
	"context"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/faultproxy"
	"flamingodoor.example/flamingodoor/internal/proxy"
)

// filling returns an endpoint that answers its first request, refuses the given number
// of later ones as a full endpoint, then answers.
func filling(t *testing.T, refusals int64) *endpoint {
	t.Helper()
	var refuser *endpoint
	refuser = newEndpoint(t, func(writer http.ResponseWriter, request *http.Request) {
		if run := refuser.runs.Load(); run > 1 && run <= 1+refusals {
			writer.Header().Set(headers.NotRun, "1")
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		signed("id: 1\ndata: x\n\n")(writer, request)
	})
	return refuser
}

// again gives a request an identifier of its own: an idle connection is not used twice
// for the same request.
func again(request *http.Request) { request.Header.Set(headers.RequestID, "r2") }

// behindCut returns the instance of an endpoint, reached through a fault proxy.
func behindCut(t *testing.T, e *endpoint, service string) (flamingodoor.Instance, *faultproxy.Proxy) {
	t.Helper()
	cut, err := faultproxy.New(context.WithoutCancel(t.Context()), netip.MustParseAddr("127.0.0.1"), netip.MustParseAddrPort(e.server.Listener.Addr().String()))
	assert.NilError(t, err)
	t.Cleanup(cut.Close)
	instance := e.instance("i-1", service)
	instance.Address = cut.Address()
	return instance, cut
}

// Guards against requests refused with 502 because the only instance is full when they are
// repeated after an attempt on a dead connection, and against repeats without end.
func TestRepeatAtAFullInstance(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name     string
		path     string
		service  string
		refusals int64
		burst    float64 // of the retry budget
		status   int
		runs     int64 // requests that the instance received
	}{
		{"request", "/read/x", "plain", 1, 100, http.StatusOK, 3},
		{"stream", "/stream/x", "llm", 1, 100, http.StatusOK, 3},
		{"stream, full twice", "/stream/x", "llm", 2, 100, http.StatusOK, 4},
		{"stream, full for good", "/stream/x", "llm", 100, 100, http.StatusBadGateway, 4},
		{"stream, no retry budget", "/stream/x", "llm", 1, 0, http.StatusBadGateway, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s, only := newSetup(t), filling(t, test.refusals)
			s.answers.Store(true)
			s.proxy.SetLimits(proxy.Limits{RevokeWithin: 5 * time.Second, RetryBurst: test.burst})
			instance, cut := behindCut(t, only, test.service)
			s.register(instance)
			assert.Equal(t, s.send(test.path).status, http.StatusOK)
			time.Sleep(transitTime) // the connection becomes idle
			cut.SilenceOpen()
			assert.Equal(t, s.send(test.path, again).status, test.status)
			assert.Equal(t, only.runs.Load(), test.runs)
		})
	}
}
