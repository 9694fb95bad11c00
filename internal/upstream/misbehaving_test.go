package upstream_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/upstream"
)

// repeat writes a text until the caller closes the connection.
func repeat(connection net.Conn, text string) {
	block := []byte(strings.Repeat(text, 1+(16<<10)/len(text)))
	for {
		if _, err := connection.Write(block); err != nil {
			return
		}
	}
}

// Guards against reading a response head without end into memory: a header
// without a line break, or header lines, interim responses and trailers for ever.
func TestEndlessHeadEndsTheCall(t *testing.T) {
	for name, texts := range map[string][2]string{
		"status line":       {"", "HTTP/1.1 200 "},
		"header":            {"HTTP/1.1 200 OK\r\nX-Long: ", "a"},
		"header lines":      {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n"},
		"no protocol":       {"", "\x00\x01\x02 no answer "},
	} {
		t.Run(name, func(t *testing.T) {
			closed := make(chan struct{})
			target, _ := endpoint(t, func(connection net.Conn, _ *http.Request, _ int) {
				_, _ = io.WriteString(connection, texts[0])
				repeat(connection, texts[1])
				close(closed)
			})
			before := allocated()
			_, err := upstream.New(idHeader).Do(t.Context(), target, call("1"))
			assert.Assert(t, err != nil)
			assert.Assert(t, allocated()-before < 4<<20)
			select {
			case <-closed:
			case <-time.After(2 * time.Second):
				t.Fatal("the connection to the endpoint is still open")
			}
		})
	}
}

// Guards against trailers without end.
func TestEndlessTrailerEndsTheBody(t *testing.T) {
	target, _ := endpoint(t, func(connection net.Conn, request *http.Request, _ int) {
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n", idHeader, request.Header.Get(idHeader))
		repeat(connection, "X-A: b\r\n")
	})
	before := allocated()
	_, err := fetch(t, upstream.New(idHeader), target, "1")
	assert.Assert(t, err != nil)
	assert.Assert(t, allocated()-before < 4<<20)
}

// allocated returns the bytes that the process has allocated so far.
func allocated() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.TotalAlloc
}

// Guards against taking a late refusal of an earlier request for the response to
// this one. It carries no identifier and arrives on a connection that is in use
// again.
func TestRefusalWithoutIdentifierOnAUsedConnectionIsNotTheAnswer(t *testing.T) {
	target, _ := endpoint(t, func(connection net.Conn, request *http.Request, number int) {
		if number == 2 {
			_, _ = io.WriteString(connection, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
		}
		respond(connection, request.Header.Get(idHeader), "right")
	})
	pool := upstream.New(idHeader)
	_, err := fetch(t, pool, target, "1")
	assert.NilError(t, err)
	response, err := pool.Do(t.Context(), target, call("2"))
	if err == nil {
		_ = response.Body.Close()
		t.Fatalf("status %d belongs to another request", response.StatusCode)
	}
}

// The first response on a connection belongs to its only request, also without an
// identifier.
func TestRefusalWithoutIdentifierOnANewConnectionIsTheAnswer(t *testing.T) {
	target, _ := endpoint(t, func(connection net.Conn, _ *http.Request, _ int) {
		_, _ = io.WriteString(connection, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	})
	response, err := upstream.New(idHeader).Do(t.Context(), target, call("1"))
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.NilError(t, response.Body.Close())
}
