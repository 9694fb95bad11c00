package upstream_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/upstream"
)

// Guards against connections between entry hosts that outlive the other host by more
// than 3 s, and against one lost probe that ends them. A TCP_USER_TIMEOUT decides when
// keep-alive probes give up, whatever their count: it must end between the second probe
// and the third. The accepting side sets none, see TestClosedWindowIsNoLostHost.
func TestConnectionsBetweenHostsEndWithTheOtherHost(t *testing.T) {
	listener, err := upstream.ListenConfig().Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	accepted := make(chan net.Conn, 2)
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- connection
		}
	}()
	caller, err := upstream.Dialer(upstream.WithFailureDetection()).DialContext(t.Context(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	for side, connection := range map[string]net.Conn{"caller": caller, "accepted": <-accepted} {
		defer func() { _ = connection.Close() }()
		idle, interval, count := option(t, connection, syscall.TCP_KEEPIDLE), option(t, connection, syscall.TCP_KEEPINTVL), option(t, connection, syscall.TCP_KEEPCNT)
		assert.Equal(t, idle+count*interval, 3, "%s: seconds until the connection ends", side)
		assert.Equal(t, count, 2, side)
		timeout := option(t, connection, userTimeout)
		if side == "accepted" {
			assert.Equal(t, timeout, 0)
		} else {
			assert.Assert(t, timeout > 2000 && timeout < 3000, "%d ms", timeout)
		}
	}
}

const userTimeout = 0x12 // TCP_USER_TIMEOUT, in milliseconds

// option returns a TCP option of a connection.
func option(t *testing.T, connection net.Conn, name int) int {
	t.Helper()
	raw, err := connection.(*net.TCPConn).SyscallConn() //nolint:forcetypeassert // accepted from TCP
	assert.NilError(t, err)
	value := 0
	err = raw.Control(func(descriptor uintptr) {
		var optionErr error
		value, optionErr = syscall.GetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, name)
		assert.Check(t, optionErr)
	})
	assert.NilError(t, err)
	return value
}

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
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	time.Sleep(4 * time.Second)
	n, err := io.Copy(io.Discard, conn)
	assert.NilError(t, <-written)
	assert.NilError(t, err)
	assert.Equal(t, n, int64(size))
}
