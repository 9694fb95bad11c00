package upstream_test

import (
	"net"
	"net/netip"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/upstream"
)

// Guards against a connection between entry hosts that outlives the other host by
// more than 2 s: a TCP_USER_TIMEOUT decides when keep-alive probes give up, whatever
// their count, so that it must end between the first probe and the second.
func TestConnectionsBetweenHostsEndWithTheOtherHost(t *testing.T) {
	listener, err := upstream.ListenConfig().Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	accepted := make(chan net.Conn, 1)
	go func() {
		connection, err := listener.Accept()
		if err == nil {
			accepted <- connection
		}
	}()
	pool := upstream.New(idHeader, upstream.WithFailureDetection())
	target := upstream.Target{InstanceID: "host-2", Address: netip.MustParseAddrPort(listener.Addr().String())}
	go func() { _, _ = fetch(t, pool, target, "1") }()
	connection := <-accepted
	defer func() { _ = connection.Close() }()
	const userTimeout = 0x12 // TCP_USER_TIMEOUT, in milliseconds
	probe := option(t, connection, syscall.TCP_KEEPIDLE) + option(t, connection, syscall.TCP_KEEPINTVL)
	assert.Equal(t, probe, 2, "seconds until the second probe")
	timeout := option(t, connection, userTimeout)
	assert.Assert(t, timeout > 1000 && timeout < 2000, "%d ms", timeout)
}

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
