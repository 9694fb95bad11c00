package proxy_test

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/proxy"
)

// leavingHost returns a setup and the identifiers of the instances that it
// announced as leaving.
func leavingHost(t *testing.T) (*setup, *[]string) {
	t.Helper()
	announced := &[]string{}
	s := newSetup(t, proxy.WithLeavingListener(func(instanceID string, _ time.Time) { *announced = append(*announced, instanceID) }))
	return s, announced
}

// An instance that states in a response that it is leaving must get nothing more,
// whatever kind of response that is and although the list shows it as ready.
func TestInstanceThatStatesThatItLeavesGetsNothingMore(t *testing.T) {
	stream := events(3, 0)
	for name, test := range map[string]struct {
		path    string
		respond http.HandlerFunc
	}{
		"success": {"/read/x", signed("hello")},
		"error":   {"/post/x", func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusInternalServerError) }},
		"refusal": {"/post/x", func(writer http.ResponseWriter, _ *http.Request) {
			writer.Header().Set(headers.NotRun, "1")
			writer.WriteHeader(http.StatusServiceUnavailable)
		}},
		"unusable":      {"/post/x", func(writer http.ResponseWriter, _ *http.Request) { writer.WriteHeader(http.StatusOK) }},
		"stream":        {"/stream/x", stream},
		"broken stream": {"/stream/x", events(3, 1)},
	} {
		t.Run(name, func(t *testing.T) {
			s, announced := leavingHost(t)
			leaving := newEndpoint(t, func(writer http.ResponseWriter, request *http.Request) {
				writer.Header().Set(headers.Leaving, "1")
				test.respond(writer, request)
			})
			service := "plain"
			if test.path == "/stream/x" {
				service = "llm"
			}
			s.register(leaving.instance("i-1", service))
			s.send(test.path)
			for range 5 {
				s.register(leaving.instance("i-1", service)) // the list lags
				got := s.send(test.path)
				assert.Equal(t, got.status, http.StatusServiceUnavailable)
			}
			assert.Equal(t, leaving.runs.Load(), int64(1))
			assert.DeepEqual(t, *announced, []string{"i-1"})
		})
	}
}

// A statement on a response that is skipped, because it belongs to another
// request, or that comes before the response itself must not be lost.
func TestStatementOfASkippedOrInterimResponseCounts(t *testing.T) {
	for name, text := range map[string]string{
		"skipped": fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: other\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", headers.RequestID, headers.Leaving),
		"interim": fmt.Sprintf("HTTP/1.1 103 Early Hints\r\n%s: 1\r\n\r\n", headers.Leaving),
	} {
		t.Run(name, func(t *testing.T) {
			s, announced := leavingHost(t)
			s.register(flamingodoor.Instance{ID: "i-1", Service: "plain", DataCentre: "dc-a", Slots: 2, Address: answerOnce(t, text)})
			assert.Equal(t, s.send("/post/x").status, http.StatusOK)
			assert.DeepEqual(t, *announced, []string{"i-1"})
		})
	}
}

// answerOnce starts an endpoint that sends the text before its response.
func answerOnce(t *testing.T, text string) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		id := requestID(connection)
		_, _ = fmt.Fprintf(connection, "%sHTTP/1.1 200 OK\r\n%s: %s\r\n%s: sig\r\nContent-Length: 2\r\n\r\nok", text, headers.RequestID, id, headers.Signature)
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

// Another instance that has taken over the address answers 421. That it is
// leaving must not take the expected instance out of use.
func TestStatementOfAnotherInstanceDoesNotCount(t *testing.T) {
	s, announced := leavingHost(t)
	other := newEndpoint(t, func(writer http.ResponseWriter, _ *http.Request) {
		writer.Header().Set(headers.Leaving, "1")
		writer.WriteHeader(http.StatusMisdirectedRequest)
	})
	s.register(other.instance("i-1", "plain"))
	s.send("/post/x")
	assert.Equal(t, len(*announced), 0)
	assert.Assert(t, !s.roster.View().Entries["i-1"].Leaving)
}

// A process that replaces the one that left serves again.
func TestNewProcessOfAnInstanceThatLeftServes(t *testing.T) {
	s, _ := leavingHost(t)
	e := newEndpoint(t, func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/read/leave" {
			writer.Header().Set(headers.Leaving, "1")
		}
		signed("hello")(writer, request)
	})
	s.register(e.instance("i-1", "plain"))
	s.send("/read/leave")
	restarted := e.instance("i-1", "plain")
	restarted.StartedAt = restarted.StartedAt.Add(time.Second)
	s.register(restarted)
	assert.Equal(t, s.send("/read/x").status, http.StatusOK)
}

// A stream that breaks off and a request that is sent again must not return to an
// instance that stated in between that it is leaving.
func TestRetryDoesNotGoToALeavingInstance(t *testing.T) {
	s, _ := leavingHost(t)
	failing := newEndpoint(t, events(3, 1))
	s.register(failing.instance("i-1", "llm"), failing.instance("i-2", "llm"))
	failing.server.Config.Handler = http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		failing.runs.Add(1)
		for _, id := range []string{"i-1", "i-2"} {
			s.proxy.Observe(flamingodoor.InstanceNotice{InstanceID: id, StartedAt: failing.instance(id, "llm").StartedAt, Leaving: true})
		}
		writer.Header().Set(headers.RequestID, request.Header.Get(headers.RequestID))
		events(3, 1)(writer, request)
	})
	got := s.send("/stream/x")
	assert.Assert(t, got.err != nil)
	assert.Equal(t, failing.runs.Load(), int64(1))
}

// Guards against missing that an instance is leaving because its statement names it
// but not its process.
func TestStatementWithoutAProcessIsThatOfTheRegisteredOne(t *testing.T) {
	s := newSetup(t)
	e := newEndpoint(t, signed("hello"))
	s.register(e.instance("i-1", "plain"))
	s.proxy.Observe(flamingodoor.InstanceNotice{InstanceID: "i-1", Leaving: true})
	assert.Equal(t, s.send("/post/x").status, http.StatusServiceUnavailable)
	assert.Equal(t, e.runs.Load(), int64(0))
}
