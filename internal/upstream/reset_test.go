package upstream_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/upstream"
)

// uploadBytes is more than the socket buffers of both ends hold.
const uploadBytes = 16 << 20

// earlyEndpoint starts an endpoint that responds without a length before it has read
// the request body, and then calls end, which ends the connection.
func earlyEndpoint(t *testing.T, end func(connection *net.TCPConn)) upstream.Target {
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
				request, err := http.ReadRequest(bufio.NewReader(connection))
				if err != nil {
					return
				}
				_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\npart", idHeader, request.Header.Get(idHeader))
				end(connection)
			}()
		}
	}()
	return upstream.Target{InstanceID: "i", Address: netip.MustParseAddrPort(listener.Addr().String())}
}

// upload sends a long request, waits until its connection has ended and returns the
// body of the response.
func upload(t *testing.T, target upstream.Target) (string, error) {
	t.Helper()
	request := call("1")
	request.Body = make([]byte, uploadBytes)
	response, err := upstream.New(idHeader).Do(t.Context(), target, request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	time.Sleep(100 * time.Millisecond)
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// Guards against a body without a length that looks complete after a reset, because the
// write of the request body got the error of the connection instead of the read.
func TestResetDuringAnUploadBreaksABodyWithoutALength(t *testing.T) {
	target := earlyEndpoint(t, func(connection *net.TCPConn) {
		time.Sleep(30 * time.Millisecond) // the response arrives before the reset
		_ = connection.SetLinger(0)
	})
	body, err := upload(t, target)
	assert.Assert(t, err != nil, "%q looks complete", body)
}

// A body without a length is complete if the endpoint has ended it, also if the endpoint
// resets the connection later because of the rest of the upload.
func TestEndBeforeAResetCompletesABodyWithoutALength(t *testing.T) {
	for name, wait := range map[string]time.Duration{"reset later": 30 * time.Millisecond, "open": time.Second} {
		t.Run(name, func(t *testing.T) {
			target := earlyEndpoint(t, func(connection *net.TCPConn) {
				_ = connection.CloseWrite()
				time.Sleep(wait)
				_ = connection.SetLinger(0)
			})
			body, err := upload(t, target)
			assert.NilError(t, err)
			assert.Equal(t, body, "part")
		})
	}
}
