package gateway_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/gateway"
)

// Guards against a stop that cuts a request which a peer has forwarded, and against
// one that waits for connections without a request.
func TestStopAwaitsForwardedRequests(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	server := gateway.NewPeerServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-release
		_, _ = io.WriteString(writer, "done")
	}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	idle, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = idle.Close() }()
	answers := make(chan string, 1)
	go func() {
		response, err := http.Get("http://" + listener.Addr().String())
		if err != nil {
			answers <- err.Error()
			return
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			answers <- err.Error()
			return
		}
		answers <- string(body)
	}()
	<-begun
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- server.Shutdown(ctx) }()
	time.AfterFunc(100*time.Millisecond, func() { close(release) })
	assert.Equal(t, <-answers, "done")
	assert.NilError(t, <-stopped)
	assert.ErrorIs(t, <-served, http.ErrServerClosed)
}
