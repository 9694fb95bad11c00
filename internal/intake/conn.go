package intake

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection whose reads return io.EOF only if the peer has ended its data.
//
// The kernel reports the reset of a connection, or its timeout, to one call alone. If
// that call is a write, the next read ends like one after the end of the data, and a
// body without a length would look complete. Such a read fails with the error of the
// write instead.
type Conn struct {
	net.Conn

	writing  sync.Mutex // held during a write
	writeErr error      // why the connection broke; guarded by writing
}

// NewConn returns a connection on top of another one.
func NewConn(conn net.Conn) *Conn {
	return &Conn{Conn: conn}
}

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn {
	return c.Conn
}

// Write writes to the connection.
func (c *Conn) Write(data []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	count, err := c.Conn.Write(data)
	if err != nil && !endsWritesOnly(err) {
		c.writeErr = err
	}
	return count, err
}

// Read reads from the connection. At the end of the data it ends a write that is still
// running, whose result it needs.
func (c *Conn) Read(data []byte) (int, error) {
	count, err := c.Conn.Read(data)
	if !errors.Is(err, io.EOF) {
		return count, err
	}
	_ = c.SetWriteDeadline(time.Now())
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr != nil {
		return count, c.writeErr
	}
	return count, err
}

// endsWritesOnly reports whether the data that was received before a failed write may be
// complete: the write reached its deadline, or the peer had ended its data before it reset
// the connection, for which Linux returns EPIPE.
func endsWritesOnly(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.EPIPE)
}
