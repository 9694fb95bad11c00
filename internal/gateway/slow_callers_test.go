package gateway_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/gateway"
	"flamingodoor.example/flamingodoor/internal/readahead"
)

// serveSlowly serves callers on loopback with the memory of a host.
func serveSlowly(t *testing.T, memory int64, handler http.HandlerFunc) (*gateway.FrontServer, string) {
	t.Helper()
	front := gateway.NewFrontServer(handler, gateway.WithReadAhead(memory, log.NewNopLogger()))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = front.Serve(listener) }()
	return front, listener.Addr().String()
}

// openSlow sends a request on a connection with a small receive buffer.
func openSlow(t *testing.T, address string) net.Conn {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		// Set later, it would not shrink the window that is open already.
		return raw.Control(func(descriptor uintptr) {
			_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8<<10)
			// Segments as on Ethernet: a closed window opens again by a segment or more,
			// and those of loopback hold 64 KB.
			_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1460)
		})
	}}
	connection, err := dialer.DialContext(t.Context(), "tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = connection.Close() })
	_, err = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	return connection
}

// Guards against a handler, and so an instance, that waits for a caller that does not
// read, against a response that is lost when the server stops meanwhile, and against
// one that is cut or mixed up because a part of it was held.
func TestResponseIsHeldForASlowCaller(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 12<<10) // 192 KiB
	done := make(chan time.Duration, 1)
	front, address := serveSlowly(t, 0, func(writer http.ResponseWriter, _ *http.Request) {
		begun := time.Now()
		_, _ = io.WriteString(writer, body[:100<<10])
		_ = http.NewResponseController(writer).Flush()
		_, _ = io.WriteString(writer, body[100<<10:])
		done <- time.Since(begun)
	})
	connection := openSlow(t, address)
	assert.Assert(t, <-done < time.Second)
	assert.Assert(t, front.HeldBytes() > 100<<10)
	stopped := make(chan error, 1)
	go func() { stopped <- front.Shutdown(context.Background()) }()
	time.Sleep(200 * time.Millisecond)                                 // the server stops while bytes are held
	assert.NilError(t, connection.(*net.TCPConn).SetReadBuffer(1<<20)) //nolint:forcetypeassert // a TCP connection
	response, err := http.ReadResponse(bufio.NewReader(connection), nil)
	assert.NilError(t, err)
	got, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.NilError(t, response.Body.Close())
	assert.Assert(t, string(got) == body, "%d of %d bytes", len(got), len(body))
	assert.NilError(t, <-stopped)
	assert.Equal(t, front.HeldBytes(), int64(0))
}

// Guards against an instance that is blocked for long by a caller that does not read,
// whether the bound of the caller or that of the process is reached, and against an end
// that looks like that of a complete response.
func TestCallerThatDoesNotReadIsEnded(t *testing.T) {
	for name, memory := range map[string]int64{"caller": 0, "process": 64 << 10} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			done := make(chan time.Duration, 1)
			front, address := serveSlowly(t, memory, func(writer http.ResponseWriter, _ *http.Request) {
				begun := time.Now()
				block := make([]byte, 32<<10)
				for range 256 {
					if _, err := writer.Write(block); err != nil {
						break
					}
				}
				done <- time.Since(begun)
			})
			connection := openSlow(t, address)
			took := <-done
			assert.Assert(t, took > readahead.MaxStall/2 && took < 2*readahead.MaxStall, "%s", took)
			assert.Equal(t, front.EndedCallers(), int64(1))
			_, err := io.Copy(io.Discard, connection)
			assert.Assert(t, err != nil, "the response looks complete")
		})
	}
}

// Guards against held bytes that are kept for ever for a caller that does not read:
// http.Server removes the write deadline after each request, also that of the write that
// waits for the caller meanwhile.
func TestEndOfARequestKeepsTheDeadlineOfHeldBytes(t *testing.T) {
	t.Parallel()
	block := make([]byte, 128<<10)
	failed := make(chan error, 1)
	front, address := serveSlowly(t, 0, func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/" {
			_, _ = writer.Write(block)
			_ = http.NewResponseController(writer).Flush()
			time.Sleep(100 * time.Millisecond) // the held bytes are being written
			return
		}
		for {
			if _, err := writer.Write(block); err != nil {
				failed <- err
				return
			}
		}
	})
	connection := openSlow(t, address)
	_, err := io.WriteString(connection, "GET /second HTTP/1.1\r\nHost: h\r\n\r\n")
	assert.NilError(t, err)
	select {
	case err := <-failed:
		assert.Assert(t, err != nil)
	case <-time.After(2 * readahead.MaxStall):
		_ = connection.Close()
		t.Fatal("the caller was not ended")
	}
	assert.Equal(t, front.EndedCallers(), int64(1))
}

// Guards against a write deadline of a handler that has no effect while a write waits
// for room.
func TestWriteDeadlineEndsAWriteThatWaits(t *testing.T) {
	t.Parallel()
	for name, memory := range map[string]int64{"caller": 0, "process": 64 << 10} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			took := make(chan time.Duration, 1)
			_, address := serveSlowly(t, memory, func(writer http.ResponseWriter, _ *http.Request) {
				begun := time.Now()
				_ = http.NewResponseController(writer).SetWriteDeadline(begun.Add(2 * time.Second))
				block := make([]byte, 128<<10)
				for {
					if _, err := writer.Write(block); err != nil {
						took <- time.Since(begun)
						return
					}
				}
			})
			openSlow(t, address)
			elapsed := <-took
			assert.Assert(t, elapsed >= 2*time.Second && elapsed < 5*time.Second, "%s", elapsed)
		})
	}
}

// Guards against a response that is cut at its end by a reset, because the caller has sent
// bytes that the server did not read before it closed the connection.
func TestHeldResponseToACallerThatSendsMoreIsWhole(t *testing.T) {
	for name, head := range map[string]string{
		"unread body":       "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10000000\r\n\r\n",
		"after the request": "GET /last HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const size = 128 << 10
			front, address := serveSlowly(t, 0, func(writer http.ResponseWriter, request *http.Request) {
				if request.Method == http.MethodGet && request.URL.Path == "/" {
					return
				}
				writer.Header().Set("Content-Length", strconv.Itoa(size))
				_, _ = writer.Write(make([]byte, size))
			})
			connection := openSlow(t, address)
			reader := bufio.NewReaderSize(connection, 1<<10)
			response, err := http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			assert.NilError(t, response.Body.Close())
			_, err = io.WriteString(connection, head+strings.Repeat("x", 512<<10))
			assert.NilError(t, err)
			time.Sleep(700 * time.Millisecond) // the server has closed the connection
			assert.Assert(t, front.HeldBytes() > 0)
			response, err = http.ReadResponse(reader, nil)
			assert.NilError(t, err)
			received, err := readSlowly(response.Body)
			assert.NilError(t, response.Body.Close())
			assert.ErrorIs(t, err, io.EOF)
			assert.Equal(t, received, size)
		})
	}
}

// readSlowly reads to the end at about 100 KB/s, and returns how much it was.
func readSlowly(reader io.Reader) (int, error) {
	received, buffer := 0, make([]byte, 1<<10)
	for {
		count, err := reader.Read(buffer)
		received += count
		if err != nil {
			return received, err
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against ending callers that read slowly but steadily where the system does not
// state what a caller has acknowledged. A socket that listens stands in for one.
func TestConnectionOfUnknownProgressIsLeftAsItIs(t *testing.T) {
	var config net.ListenConfig
	config.SetMultipathTCP(false) // its sockets state a number also while they listen
	listener, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	file, err := listener.(*net.TCPListener).File() //nolint:forcetypeassert // a TCP listener
	assert.NilError(t, err)
	defer func() { _ = file.Close() }()
	connection, err := net.FileConn(file)
	assert.NilError(t, err)
	defer func() { _ = connection.Close() }()
	assert.Equal(t, gateway.NewSlowConn(connection, readahead.New(0), log.NewNopLogger()), connection)
}

// Guards against memory that grows with the number of slow readers, and against ending
// one that reads steadily. Runs 500 readers of the 2,000 of the design, for longer than
// a caller may accept nothing, and compares with a quarter of the smallest host's 136 MB. Streams are faster than
// their readers.
func TestManySlowReaders(t *testing.T) {
	const (
		readers    = 500
		memory     = 136 << 20 / 4
		duration   = readahead.MaxStall + 2*time.Second
		eventBytes = 512
		// readerBytes is what the test's own end of a connection takes.
		readerBytes = 8 << 10
	)
	front, address := serveSlowly(t, memory, func(writer http.ResponseWriter, request *http.Request) {
		event := []byte("data: " + strings.Repeat("x", eventBytes-8) + "\n\n")
		for request.Context().Err() == nil { // about 100 KB/s, until the reader leaves
			if _, err := writer.Write(event); err != nil {
				return
			}
			if http.NewResponseController(writer).Flush() != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	})
	before := heapBytes()
	var received, broken atomic.Int64
	var group sync.WaitGroup
	until := time.Now().Add(duration)
	for range readers {
		connection := openSlow(t, address)
		group.Go(func() {
			defer func() { _ = connection.Close() }()
			buffer := make([]byte, 256)
			for time.Now().Before(until) {
				count, err := connection.Read(buffer)
				received.Add(int64(count))
				if err != nil {
					broken.Add(1)
					return
				}
				time.Sleep(250 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Until(until.Add(-time.Second)))
	held, grown := front.HeldBytes(), heapBytes()-before
	assert.Equal(t, front.EndedCallers(), int64(0))
	group.Wait()
	t.Logf("%d readers: %d bytes held, heap grown by %d, %d bytes received, %d ended", readers, held, grown, received.Load(), front.EndedCallers())
	assert.Assert(t, held > 0 && held <= memory/16, strconv.FormatInt(held, 10))
	assert.Assert(t, grown < memory*3/4+readers*readerBytes, "heap grown by %d", grown)
	assert.Equal(t, broken.Load(), int64(0))
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}
