package gateway_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/gateway"
)

func sendRequest(t *testing.T, connection net.Conn) error {
	t.Helper()
	_, err := io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	if err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// New limits apply to new connections. Open connections must keep theirs, so
// that a change cuts off no caller.
func TestLimitsOfCallersChange(t *testing.T) {
	front := gateway.NewFrontServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- front.Serve(listener) }()
	dial := func() net.Conn {
		connection, err := net.Dial("tcp", listener.Addr().String())
		assert.NilError(t, err)
		assert.NilError(t, sendRequest(t, connection))
		return connection
	}
	openBefore := dial()
	front.SetLimits(flamingodoor.CallerLimits{HeaderBytes: 16 << 10, HeaderTimeout: time.Second, IdleTimeout: 50 * time.Millisecond})
	openAfter := dial()
	time.Sleep(200 * time.Millisecond)
	assert.Assert(t, sendRequest(t, openAfter) != nil, "the idle connection is still open")
	assert.NilError(t, sendRequest(t, openBefore))
	assert.NilError(t, front.Shutdown(t.Context()))
	assert.Assert(t, errors.Is(<-served, http.ErrServerClosed))
}
