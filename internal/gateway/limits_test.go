package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/gateway"
)

// openConnection returns a connection on which a request was answered with the given
// limits, and the server.
func openConnection(t *testing.T, limits flamingodoor.CallerLimits, handler http.HandlerFunc) (*gateway.FrontServer, net.Conn) {
	t.Helper()
	front := gateway.NewFrontServer(handler)
	front.SetLimits(limits)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- front.Serve(listener) }()
	caller, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() {
		assert.NilError(t, caller.Close())
		assert.NilError(t, front.Shutdown(context.WithoutCancel(t.Context())))
		assert.ErrorIs(t, <-served, http.ErrServerClosed)
	})
	assert.NilError(t, sendRequest(t, caller))
	return front, caller
}

// headOf returns the head of a request with a header of the given length.
func headOf(length int) string {
	return "GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("x", length) + "\r\n\r\n"
}

func readStatus(t *testing.T, reader *bufio.Reader) int {
	t.Helper()
	response, err := http.ReadResponse(reader, nil)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	return response.StatusCode
}

// Guards against requests that are refused with 431 because their connection was opened
// before operators raised the limit (review/10).
func TestNewHeaderLimitAppliesToOpenConnections(t *testing.T) {
	low := flamingodoor.CallerLimits{HeaderBytes: 8 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Second}
	high := low
	high.HeaderBytes = 32 << 10
	for name, test := range map[string]struct {
		before, after flamingodoor.CallerLimits
		status        int
	}{
		"raised":  {low, high, http.StatusOK},
		"lowered": {high, low, http.StatusRequestHeaderFieldsTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			front, caller := openConnection(t, test.before, func(http.ResponseWriter, *http.Request) {})
			time.Sleep(20 * time.Millisecond) // the wait for the next request has begun
			front.SetLimits(test.after)
			_, err := io.WriteString(caller, headOf(20_000))
			assert.NilError(t, err)
			assert.Equal(t, readStatus(t, bufio.NewReader(caller)), test.status)
		})
	}
}

// Guards against the old limit for a request that a caller sends before the answer to the
// one before, during which operators raise the limit.
func TestNewHeaderLimitAppliesToPipelinedRequests(t *testing.T) {
	limits := flamingodoor.CallerLimits{HeaderBytes: 8 << 10, HeaderTimeout: time.Second, IdleTimeout: time.Second}
	for _, together := range []bool{true, false} {
		begun, end := make(chan struct{}, 3), make(chan struct{}, 3)
		end <- struct{}{} // of the request that opens the connection
		front, caller := openConnection(t, limits, func(http.ResponseWriter, *http.Request) {
			begun <- struct{}{}
			<-end
		})
		<-begun
		first, second := headOf(10), headOf(20_000)
		if together {
			first, second = first+second[:100], second[100:]
		}
		_, err := io.WriteString(caller, first)
		assert.NilError(t, err)
		<-begun
		go func() { _, _ = io.WriteString(caller, second) }() // the read of the answers fails if this does
		time.Sleep(20 * time.Millisecond)                     // the server has read its first byte
		raised := limits
		raised.HeaderBytes = 32 << 10
		front.SetLimits(raised)
		end <- struct{}{}
		end <- struct{}{}
		reader := bufio.NewReader(caller)
		assert.Equal(t, readStatus(t, reader), http.StatusOK)
		assert.Equal(t, readStatus(t, reader), http.StatusOK, "sent with the one before: %t", together)
	}
}

// Guards against the times of the configuration before on open connections: a head that
// takes longer than the old limit is refused, or the connection is closed too soon.
func TestLongerTimesApplyToOpenConnections(t *testing.T) {
	short := flamingodoor.CallerLimits{HeaderBytes: 8 << 10, HeaderTimeout: 100 * time.Millisecond, IdleTimeout: 200 * time.Millisecond}
	long := short
	long.HeaderTimeout, long.IdleTimeout = 2*time.Second, 5*time.Second
	front, caller := openConnection(t, short, func(http.ResponseWriter, *http.Request) {})
	front.SetLimits(long)
	head := headOf(10)
	_, err := io.WriteString(caller, head[:20])
	assert.NilError(t, err)
	time.Sleep(3 * short.HeaderTimeout)
	_, err = io.WriteString(caller, head[20:])
	assert.NilError(t, err)
	reader := bufio.NewReader(caller)
	assert.Equal(t, readStatus(t, reader), http.StatusOK)
	time.Sleep(3 * short.IdleTimeout)
	assert.NilError(t, sendRequest(t, caller))
}
