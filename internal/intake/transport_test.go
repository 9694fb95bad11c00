package intake_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/intake"
)

// Guards against a client of net/http that takes an invalid status or an invalid name of a
// field for an answer, or uses the connection again on which it arrived.
func TestTransportFailsOnAnInvalidHead(t *testing.T) {
	for lines, valid := range map[string]bool{
		"000 X": false, "001 X": false, "099 X": false, "+20 X": false, "-00 X": false, "101 X": false, "600 X": false, "999 X": false,
		"200 X": true, "404 X": true, "599 X": true,
		"200 X\r\nX A: b": false, "200 X\r\nX-A : b": false, "200 X\r\nX-A\t: b": false, "200 X\r\nX-\x01A: b": false, "200 X\r\nX-A: b c": true,
	} {
		t.Run(strconv.Quote(lines), func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = listener.Close() }()
			var connections atomic.Int64
			go acceptAll(listener, &connections, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 "+lines+"\r\nContent-Length: 0\r\n\r\n")
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
				assert.Assert(t, err != nil)
				if strings.Contains(lines, "\t") || strings.Contains(lines, "\x01") {
					continue // an error of net/http
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
