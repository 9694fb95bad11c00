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

// Guards against streams refused with 502 because the backup of an attempt on a dead
// connection counts for it: the suspicion excluded the instance, which is sound, and the
// backup used the attempt that is exempt. No request reaches more instances than its
// route allows, which are two.
func TestRepeatAfterADeadConnectionWithABackup(t *testing.T) {
	t.Parallel()
	broken := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	for _, test := range []struct {
		name     string
		other    func(http.ResponseWriter, *http.Request) // nil if there is no other instance
		refusals int64                                    // of the instance with the dead connection
		status   int
		runs     [3]int64 // requests that the instances received, the third registered late
	}{
		{"no other instance", nil, 0, http.StatusOK, [3]int64{2, 0, 0}},
		{"backup breaks", broken, 0, http.StatusOK, [3]int64{2, 1, 0}},
		{"backup breaks, then full", broken, 1, http.StatusOK, [3]int64{3, 1, 0}},
		{"backup breaks, then full for good", broken, 100, http.StatusBadGateway, [3]int64{4, 1, 0}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s, first, third := newSetup(t), filling(t, test.refusals), newEndpoint(t, signed("id: 1\ndata: x\n\n"))
			s.answers.Store(true)
			instance, cut := behindCut(t, first, "llm")
			s.register(instance)
			assert.Equal(t, s.send("/stream/x").status, http.StatusOK)
			time.Sleep(transitTime) // the connection becomes idle
			cut.SilenceOpen()
			instances, runs := []flamingodoor.Instance{instance}, func() int64 { return 0 }
			if test.other != nil {
				second := newEndpoint(t, test.other)
				instances, runs = append(instances, second.instance("i-2", "llm")), second.runs.Load
				instances[1].DataCentre = "dc-b"
			}
			s.register(instances...)
			replies := make(chan reply, 1)
			go func() { replies <- s.send("/stream/x", again) }()
			time.Sleep(transitTime)
			s.suspect("i-1")
			time.Sleep(transitTime)
			if test.other != nil {
				s.register(append(instances, third.instance("i-3", "llm"))...)
			}
			assert.Equal(t, (<-replies).status, test.status)
			assert.Equal(t, [3]int64{first.runs.Load(), runs(), third.runs.Load()}, test.runs)
		})
	}
}
