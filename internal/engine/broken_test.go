package engine_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/engine"
)

// serveBytes starts an endpoint that calls respond on each connection, once it has read
// the head of a request.
func serveBytes(t *testing.T, respond func(connection *net.TCPConn)) flamingodoor.Endpoint {
	t.Helper()
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.AcceptTCP()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = connection.Close() }()
				if _, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
					respond(connection)
				}
			}()
		}
	}()
	return flamingodoor.Endpoint{ID: "e", Address: netip.MustParseAddrPort(listener.Addr().String())}
}

// requireNoAnswer fails the test unless each kind of request to an endpoint fails with
// the state "may have run".
func requireNoAnswer(t *testing.T, endpoint flamingodoor.Endpoint) {
	t.Helper()
	client, kept := engine.NewClient(), engine.NewClient(engine.WithKeepAlive())
	for name, send := range map[string]func() error{
		"call": func() error {
			_, err := engine.NewServiceClient().Call(t.Context(), endpoint, flamingodoor.ServiceCall{Method: http.MethodPost, Path: "/post"})
			return err
		},
		"generate": func() error {
			stream, err := client.Generate(t.Context(), endpoint, flamingodoor.GenerateRequest{})
			if err == nil {
				_ = stream.Close()
			}
			return err
		},
		"order": func() error {
			return client.Order(t.Context(), endpoint, flamingodoor.Order{Deadline: time.Now().Add(time.Minute)})
		},
		"cancel":      func() error { return client.Cancel(t.Context(), endpoint, "r", 1) },
		"report":      func() error { _, err := client.Report(t.Context(), endpoint); return err },
		"kept report": func() error { _, err := kept.Report(t.Context(), endpoint); return err },
	} {
		err := send()
		assert.Check(t, err != nil, "%s: no error", name)
		assert.Check(t, flamingodoor.RunStateOf(err) == flamingodoor.RunStateMayHaveRun, "%s: %v", name, err)
	}
}

// Guards against a response with an invalid status that is taken for an answer.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "+20", "101", "600"} {
		t.Run(status, func(t *testing.T) {
			requireNoAnswer(t, serveBytes(t, func(connection *net.TCPConn) {
				_, _ = fmt.Fprintf(connection, "HTTP/1.1 %s X\r\nContent-Length: 2\r\n\r\n{}", status)
			}))
		})
	}
}

// Guards against a response with a blank or a control byte in the name of a field that is
// taken for an answer.
func TestInvalidFieldNameIsNoAnswer(t *testing.T) {
	for _, field := range []string{"X A: b", "X-A : b", "X-\x01A: b", "Content-Length : 1", "Transfer-Encoding : chunked"} {
		t.Run(field, func(t *testing.T) {
			requireNoAnswer(t, serveBytes(t, func(connection *net.TCPConn) {
				_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%s\r\n\r\n{}", field)
			}))
		})
	}
}

// Guards against an answer without a length that looks complete although its connection
// was reset while the call was still being written.
func TestResetDuringACallIsNoAnswer(t *testing.T) {
	endpoint := serveBytes(t, func(connection *net.TCPConn) {
		_, _ = fmt.Fprint(connection, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(10 * time.Millisecond)
		_ = connection.SetLinger(0)
	})
	// The kernel reports the reset either to the read or to the write.
	for range 20 {
		answer, err := engine.NewServiceClient().Call(t.Context(), endpoint, flamingodoor.ServiceCall{Method: http.MethodPost, Path: "/post", Body: make([]byte, 16<<20)})
		assert.Assert(t, err != nil, "%q looks complete", answer.Body)
		assert.Equal(t, flamingodoor.RunStateOf(err), flamingodoor.RunStateMayHaveRun)
	}
}
