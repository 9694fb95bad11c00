package intake_test

import (
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/intake"
)

// uploadBytes is more than the socket buffers of both ends hold.
const uploadBytes = 16 << 20

// connect returns both ends of a connection.
func connect(t *testing.T) (*intake.Conn, *net.TCPConn) {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	socket, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	peer, err := listener.AcceptTCP()
	assert.NilError(t, err)
	conn := intake.NewConn(socket)
	t.Cleanup(func() { _, _ = conn.Close(), peer.Close() })
	return conn, peer
}

// Guards against data that looks complete because a write got the error of the
// connection, and against a read that does not end because a write waits for the peer.
func TestReadAfterAFailedWrite(t *testing.T) {
	for name, test := range map[string]struct {
		end      func(t *testing.T, peer *net.TCPConn)
		awaited  bool // the write ends by itself
		complete bool
	}{
		"reset": {end: reset, awaited: true},
		"end":   {end: closeWrite, complete: true},
		"end, then reset": {end: func(t *testing.T, peer *net.TCPConn) {
			t.Helper()
			closeWrite(t, peer)
			reset(t, peer)
		}, awaited: true, complete: true},
	} {
		t.Run(name, func(t *testing.T) {
			conn, peer := connect(t)
			written := make(chan error, 1)
			go func() {
				_, err := conn.Write(make([]byte, uploadBytes))
				written <- err
			}()
			_, err := io.WriteString(peer, "part")
			assert.NilError(t, err)
			part := make([]byte, 4)
			_, err = io.ReadFull(conn, part)
			assert.NilError(t, err)
			test.end(t, peer)
			if test.awaited {
				assert.Assert(t, <-written != nil)
			}
			_, err = conn.Read(part)
			assert.Assert(t, err != nil)
			assert.Equal(t, err == io.EOF, test.complete, "%v", err) //nolint:errorlint // a wrapped error is no end
			if !test.awaited {
				assert.Assert(t, <-written != nil)
			}
		})
	}
}

func closeWrite(t *testing.T, peer *net.TCPConn) {
	t.Helper()
	assert.NilError(t, peer.CloseWrite())
}

func reset(t *testing.T, peer *net.TCPConn) {
	t.Helper()
	assert.NilError(t, peer.SetLinger(0))
	assert.NilError(t, peer.Close())
}
