package upstream_test

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/upstream"
)

// Guards against answers that are cut because the other host, whose caller reads
// slowly, leaves its window closed for longer than the time-out of lost hosts.
func TestClosedWindowIsNoLostHost(t *testing.T) {
	listener, err := upstream.ListenConfig().Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	written := make(chan error, 1)
	const size = 32 << 20
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			_, err = conn.Write(make([]byte, size))
			_ = conn.Close()
		}
		written <- err
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	time.Sleep(4 * time.Second)
	n, err := io.Copy(io.Discard, conn)
	t.Log(n, err)
	assert.NilError(t, <-written)
	assert.NilError(t, err)
	assert.Equal(t, n, int64(size))
}
