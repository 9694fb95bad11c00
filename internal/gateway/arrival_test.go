package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/gateway"
)

// Guards against requests that are lost because a stop begins, or the limits of callers
// change, while they arrive: a part of the head or of the body is still missing when the
// connections without a request are closed, or another request follows in the same
// segment.
func TestRequestThatArrivesAsAStopBeginsIsAnswered(t *testing.T) {
	t.Parallel()
	const whole = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
	for _, each := range []struct {
		name         string
		kept         bool // the connection has been used before
		before, rest string
		answers      int // to the requests of the connection, during the stop
	}{
		{"part of the head", true, whole[:20], whole[20:], 1},
		{"part of the head on a new connection", false, whole[:20], whole[20:], 1},
		{"first byte", true, whole[:1], whole[1:], 1},
		{"head without the body", true, whole[:len(whole)-5], whole[len(whole)-5:], 1},
		{"part of the body", true, whole[:len(whole)-2], whole[len(whole)-2:], 1},
		{"another request in the same segment", true, whole + whole, "", 2},
	} {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			var begun atomic.Int32
			front := gateway.NewFrontServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) {
				body, err := io.ReadAll(request.Body)
				assert.Check(t, err == nil && (len(body) == 0 || string(body) == "hello"), "%q, %v", body, err)
				time.Sleep(4 * lastAccept)
				begun.Add(1)
			}))
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			served := make(chan error, 1)
			go func() { served <- front.Serve(listener) }()
			caller, err := net.Dial("tcp", listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = caller.Close() }()
			if each.kept {
				assert.NilError(t, sendRequest(t, caller))
				begun.Store(0)
			}
			_, err = io.WriteString(caller, each.before)
			assert.NilError(t, err)
			time.Sleep(lastAccept)
			stopped := make(chan error, 1)
			go func() { stopped <- front.Shutdown(t.Context()) }()
			front.SetLimits(flamingodoor.CallerLimits{HeaderBytes: 8 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Second})
			time.Sleep(4 * lastAccept)
			_, _ = io.WriteString(caller, each.rest) // the read of the answer fails if this does
			reader := bufio.NewReader(caller)
			for range each.answers {
				response, err := http.ReadResponse(reader, nil)
				assert.NilError(t, err)
				assert.NilError(t, response.Body.Close())
			}
			_, err = reader.ReadByte()
			assert.ErrorIs(t, err, io.EOF)
			assert.NilError(t, <-stopped)
			assert.ErrorIs(t, <-served, http.ErrServerClosed)
			assert.Equal(t, int(begun.Load()), each.answers)
		})
	}
}
