package intake_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/intake"
)

// Guards against a client of net/http that takes an invalid status for an answer, or
// uses the connection again on which it arrived.
func TestTransportFailsOnAnInvalidStatus(t *testing.T) {
	for status, valid := range map[string]bool{
		"000": false, "001": false, "099": false, "+20": false, "-00": false, "101": false, "600": false, "999": false,
		"200": true, "404": true, "599": true,
	} {
		t.Run(status, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = listener.Close() }()
			var connections atomic.Int64
			go acceptAll(listener, &connections, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 "+status+" X\r\nContent-Length: 0\r\n\r\n")
			client := http.Client{Transport: intake.NewTransport(&http.Transport{})}
			defer client.CloseIdleConnections()
			for range 2 {
				request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+listener.Addr().String(), nil)
				assert.NilError(t, err)
				response, err := client.Do(request)
				if valid {
					assert.NilError(t, err)
					assert.NilError(t, response.Body.Close())
					continue
				}
				assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodeProtocol)
				assert.Equal(t, flamingodoor.RunStateOf(err), flamingodoor.RunStateMayHaveRun)
			}
			assert.Equal(t, connections.Load() == 1, valid, "%d connections", connections.Load())
		})
	}
}

// acceptAll answers each request on each connection with a text.
func acceptAll(listener net.Listener, connections *atomic.Int64, text string) {
	for {
		connection, err := listener.Accept()
		if err != nil {
			return
		}
		connections.Add(1)
		go func() {
			defer func() { _ = connection.Close() }()
			reader := bufio.NewReader(connection)
			for {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				_, _ = fmt.Fprint(connection, text)
			}
		}()
	}
}
