package gateway

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sys/unix"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/readahead"
)

const (
	// drainPieceBytes is the size in which held bytes are written, so that progress
	// is seen and room becomes free before all of them are accepted.
	drainPieceBytes = 16 << 10
	// drainInterval is how often a write that makes no progress is examined.
	drainInterval = time.Second
	// unsentBytes bounds what the kernel holds of a connection beyond what the caller's
	// window takes. Without a bound the send buffer grows up to 4 MB.
	unsentBytes = 16 << 10
	// resetAvoidanceTime separates the end of what is sent from the close, as in
	// http.Server: a close with unread bytes of the caller resets the connection, which
	// discards what the caller has not received yet.
	resetAvoidanceTime = 500 * time.Millisecond
	// tcpNotSentLowat is the number of the option TCP_NOTSENT_LOWAT on Linux.
	tcpNotSentLowat = 0x19
)

// errCallerEnded is returned for writes to a caller that was ended.
var errCallerEnded = flamingodoor.Errorf(flamingodoor.CodeOverloaded, "the caller does not read its response")

// slowConn is a connection whose writes do not wait for a caller that reads slowly, as
// long as there is room for the bytes. It uses a goroutine only while bytes are held.
type slowConn struct {
	net.Conn

	raw    syscall.RawConn
	budget *readahead.Budget
	caller *readahead.Caller

	mu      sync.Mutex
	changed *sync.Cond // pending has become shorter, or the connection has failed
	pending []byte
	drains  bool  // a goroutine writes what is pending
	waiting bool  // a write waits for room
	closed  bool  // by the server; pending bytes are still written
	halved  bool  // CloseWrite was called while bytes were held
	err     error // that later writes return
	drained func()

	unacknowledged int // bytes that the kernel holds; for the one that writes slowly

	// deadline is that of writes as the server set it, in nanoseconds of Unix time; 0 for
	// none. Writes with the lock held may take long, so that it is not guarded by it.
	deadline atomic.Int64
}

// NewSlowConn wraps a TCP connection. It returns any other as it is, any whose progress
// cannot be measured, and all if there is no budget: other entry hosts hold bytes for
// their callers themselves.
func NewSlowConn(connection net.Conn, budget *readahead.Budget, logger log.Logger) net.Conn {
	socket, ok := connection.(*net.TCPConn)
	if !ok || budget == nil {
		return connection
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return connection
	}
	if _, err := unacknowledgedBytes(raw); err != nil {
		// A caller that reads slowly cannot be told from one that does not read.
		return connection
	}
	_ = raw.Control(func(descriptor uintptr) {
		// Without the option the connection works, with a larger buffer.
		_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpNotSentLowat, unsentBytes)
	})
	s := &slowConn{Conn: connection, raw: raw, budget: budget}
	s.changed = sync.NewCond(&s.mu)
	s.caller = readahead.NewCaller(func(reason string) {
		_ = level.Info(logger).Log("event", "caller_ended", "reason", reason, "caller", connection.RemoteAddr(), "held_bytes", budget.HeldBytes())
		_ = socket.SetLinger(0) // a reset, so that the response does not look complete
		_ = socket.Close()
	})
	return s
}

// Write writes what the caller accepts at once, and holds the rest. It waits only if
// there is no room.
func (s *slowConn) Write(data []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	written := 0
	for s.err == nil && written < len(data) {
		if s.isLate() {
			return written, os.ErrDeadlineExceeded
		}
		if !s.drains {
			count, err := s.writeNow(data[written:])
			written += count
			if err != nil || written == len(data) {
				return written, err
			}
		}
		rest := data[written:]
		count := s.budget.Hold(s.caller, int64(len(rest)), time.Now())
		switch {
		case count > 0:
			s.hold(rest[:count])
			written += int(count)
		case s.drains:
			s.waiting = true
			s.changed.Wait()
			s.waiting = false
		default:
			return s.writeSlowly(data, written)
		}
	}
	return written, s.err
}

// writeNow writes as much as the socket takes without waiting.
func (s *slowConn) writeNow(data []byte) (int, error) {
	written := 0
	var failure error
	err := s.raw.Write(func(descriptor uintptr) bool {
		for written < len(data) && failure == nil {
			count, err := syscall.Write(int(descriptor), data[written:])
			written += max(0, count)
			if !errors.Is(err, syscall.EINTR) {
				failure = err
			}
		}
		return true
	})
	if errors.Is(failure, syscall.EAGAIN) {
		failure = nil
	}
	return written, errors.Join(err, failure)
}

// writeSlowly writes without holding bytes, for lack of room. It gives up when the
// caller accepts nothing for readahead.MaxStall. It is called with the lock held.
func (s *slowConn) writeSlowly(data []byte, written int) (int, error) {
	acceptedAt := time.Now()
	for written < len(data) {
		if s.isLate() {
			return written, errors.Join(os.ErrDeadlineExceeded, s.Conn.SetWriteDeadline(time.Time{}))
		}
		_ = s.Conn.SetWriteDeadline(time.Now().Add(drainInterval)) // fails only if the connection is closed
		count, err := s.Conn.Write(data[written:min(len(data), written+drainPieceBytes)])
		written += count
		if s.acknowledged(count) {
			acceptedAt = time.Now()
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
		if time.Since(acceptedAt) >= readahead.MaxStall {
			s.err = errCallerEnded
			s.budget.End(s.caller, "no_room")
			return written, s.err
		}
	}
	return written, s.Conn.SetWriteDeadline(time.Time{})
}

// SetWriteDeadline sets the deadline of Write, which is examined when Write begins and
// each drainInterval. The deadlines of the socket are those of pieces: http.Server removes
// its deadline after each request, and without one a piece could wait for ever.
func (s *slowConn) SetWriteDeadline(deadline time.Time) error {
	if deadline.IsZero() {
		s.deadline.Store(0)
		return nil
	}
	s.deadline.Store(deadline.UnixNano())
	return nil
}

// SetDeadline sets the deadlines of Read and Write.
func (s *slowConn) SetDeadline(deadline time.Time) error {
	return errors.Join(s.SetReadDeadline(deadline), s.SetWriteDeadline(deadline))
}

// isLate reports whether the deadline of writes has passed.
func (s *slowConn) isLate() bool {
	deadline := s.deadline.Load()
	return deadline != 0 && time.Now().UnixNano() >= deadline
}

// hold keeps bytes for the caller and has them written. It is called with the lock held.
func (s *slowConn) hold(data []byte) {
	s.pending = append(s.pending, data...)
	if !s.drains {
		s.drains = true
		go s.drain()
	}
}

// drain writes what is pending until nothing is, or the connection fails.
func (s *slowConn) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.pending) > 0 && s.err == nil {
		piece := s.pending[:min(len(s.pending), drainPieceBytes)]
		s.mu.Unlock()
		_ = s.Conn.SetWriteDeadline(time.Now().Add(drainInterval)) // fails only if the connection is closed
		count, err := s.Conn.Write(piece)
		now := time.Now()
		if s.acknowledged(count) {
			s.budget.Accepted(s.caller, int64(count), now)
		}
		s.mu.Lock()
		s.pending = s.pending[count:]
		switch {
		case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
			s.err = err
		case s.budget.EndIfStalled(s.caller, s.waiting, now):
			s.err = errCallerEnded
		}
		s.changed.Broadcast()
	}
	s.pending = nil
	s.budget.Drop(s.caller)
	if (s.halved || s.closed) && s.err == nil {
		s.endWrites()
	}
	s.drains = false
	if s.closed {
		_ = s.Conn.Close() // fails only if it is closed
		if s.drained != nil {
			s.drained()
		}
		return
	}
	_ = s.Conn.SetWriteDeadline(time.Time{}) // fails only if the connection is closed
}

// endWrites ends what is sent to the caller, and gives the caller time to receive it
// before the connection may be closed. It is called with the lock held.
func (s *slowConn) endWrites() {
	_ = s.closeWrite() // fails only if the connection is closed
	s.err = net.ErrClosed
	s.mu.Unlock()
	time.Sleep(resetAvoidanceTime)
	s.mu.Lock()
}

// acknowledged reports whether the caller has received bytes since the last call, after
// which the kernel took the given number. The kernel takes bytes in steps that a caller
// at 1 KB/s needs over 10 s for.
func (s *slowConn) acknowledged(taken int) bool {
	unacknowledged, err := unacknowledgedBytes(s.raw)
	if err != nil { // not known: neither all nor nothing has been acknowledged
		return taken > 0
	}
	before := s.unacknowledged
	s.unacknowledged = unacknowledged
	return taken > 0 || unacknowledged < before
}

// unacknowledgedBytes returns how many bytes the kernel holds that the peer has not
// acknowledged.
func unacknowledgedBytes(raw syscall.RawConn) (int, error) {
	count := 0
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		count, failure = unix.IoctlGetInt(int(descriptor), unix.SIOCOUTQ)
	})
	return count, errors.Join(err, failure)
}

// Close closes the connection once the caller has accepted what is held for it.
func (s *slowConn) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.drains {
		return nil
	}
	return s.Conn.Close()
}

// CloseWrite ends what is sent to the caller, once it has accepted what is held for it.
func (s *slowConn) CloseWrite() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drains {
		s.halved = true
		return nil
	}
	return s.closeWrite()
}

func (s *slowConn) closeWrite() error {
	if connection, ok := s.Conn.(interface{ CloseWrite() error }); ok {
		return connection.CloseWrite()
	}
	return nil
}

// onDrained sets the function that is called once nothing is held for the caller. It
// returns false if nothing is now.
func (s *slowConn) onDrained(drained func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drained = drained
	return s.drains
}
