package proxy_test

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// uploadBytes is more than the socket buffers between a host and an instance hold.
	uploadBytes = 12 << 20
	// uploadRounds makes it likely that the write of an upload gets the reset, which the
	// kernel reports either to it or to the read.
	uploadRounds = 10
)

// newEarlyWorker starts a worker that calls respond before it has read the body of a
// request.
func newEarlyWorker(t *testing.T, respond func(connection *net.TCPConn, request *http.Request)) *worker {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	w := &worker{address: listener.Addr().(*net.TCPAddr).AddrPort()} //nolint:forcetypeassert // a TCP listener
	go func() {
		for {
			connection, err := listener.AcceptTCP()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = connection.Close() }()
				request, err := http.ReadRequest(bufio.NewReader(connection))
				if err != nil || request.Header.Get(headers.RequestID) == "" {
					return
				}
				w.runs.Add(1)
				respond(connection, request)
			}()
		}
	}()
	return w
}

// allowUploads raises the limit of request bodies to uploadBytes.
func (s *setup) allowUploads() {
	configuration := *s.catalogue.Index().Catalogue
	configuration.Version++
	configuration.Limits.BodyBytes = uploadBytes
	s.catalogue.Configure(&configuration)
}

// Guards against an answer without a length that looks complete although its connection
// was reset while the request was still being written.
func TestResetDuringAnUploadIsNoSuccess(t *testing.T) {
	for path, service := range paths {
		t.Run(path, func(t *testing.T) {
			resetting := newEarlyWorker(t, func(connection *net.TCPConn, request *http.Request) {
				writeText(connection, request, success+"Content-Type: text/event-stream\r\n\r\n"+event(1))
				time.Sleep(10 * time.Millisecond)
				_ = connection.SetLinger(0)
			})
			for range uploadRounds {
				s := newSetup(t) // a request that fails again and again is refused
				s.allowUploads()
				s.register(resetting.instance("i-1", service))
				got := s.sendBody(path, uploadBytes, false)
				assert.Assert(t, got.status == http.StatusBadGateway || got.err != nil, "%d looks complete: %q", got.status, got.body)
			}
			assert.Equal(t, resetting.runs.Load(), int64(uploadRounds))
		})
	}
}

// An answer without a length is whole if the instance has ended it, also if the instance
// does not read the rest of the request.
func TestAnswerBeforeTheEndOfAnUploadIsWhole(t *testing.T) {
	s := newSetup(t)
	s.allowUploads()
	s.register(newEarlyWorker(t, func(connection *net.TCPConn, request *http.Request) {
		writeText(connection, request, success+"\r\nall of it")
		_ = connection.CloseWrite()
		time.Sleep(10 * time.Millisecond)
		_ = connection.SetLinger(0)
	}).instance("i-1", "plain"))
	for range uploadRounds {
		got := s.sendBody("/post2/x", uploadBytes, false)
		assert.NilError(t, got.err)
		assert.Equal(t, got.status, http.StatusOK, got.body)
		assert.Equal(t, got.body, "all of it")
	}
}
