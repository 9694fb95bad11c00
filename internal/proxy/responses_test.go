package proxy_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/proxy"
)

// Guards against buffered responses that take memory without a bound, and against a
// response that is cut, or an error that is not retried, because there is no room.
func TestResponseWithoutRoomIsPassedOn(t *testing.T) {
	s := newSetup(t, proxy.WithMemory(1<<20)) // less than one buffered response
	body := strings.Repeat("0123456789abcdef", 12<<10)
	long := newEndpoint(t, signed(body))
	failing := newEndpoint(t, func(writer http.ResponseWriter, _ *http.Request) {
		writer.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(writer, body)
	})
	far := long.instance("i-2", "plain")
	far.DataCentre = "dc-b"
	s.register(failing.instance("i-1", "plain"), far)
	got := s.send("/read/x")
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, http.StatusOK)
	assert.Assert(t, got.body == body, "%d of %d bytes", len(got.body), len(body))
	assert.Equal(t, failing.runs.Load(), int64(1))
	assert.Equal(t, s.proxy.BufferedBytes(), int64(0))
}

// Guards against room that is not given up after a response, whether it was delivered,
// discarded or broken off.
func TestRoomOfResponsesIsGivenUp(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 12<<10)
	for name, handler := range map[string]http.HandlerFunc{
		"delivered": signed(body), "long": signed(body + body),
		"unsigned": func(writer http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(writer, body) },
		"broken off": func(writer http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(writer, body)
			panic(http.ErrAbortHandler)
		},
	} {
		for path, service := range paths {
			t.Run(name+" "+path, func(t *testing.T) {
				s := newSetup(t)
				s.register(newEndpoint(t, handler).instance("i-1", service))
				_ = s.send(path)
				for range 100 {
					if s.proxy.BufferedBytes() == 0 {
						return
					}
					time.Sleep(10 * time.Millisecond)
				}
				t.Fatalf("%d bytes are still reserved", s.proxy.BufferedBytes())
			})
		}
	}
}
