package upstream_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/upstream"
)

// Guards against a second response in a body that ends with its connection, also
// if its head arrives in several pieces; what precedes it is still read.
func TestSecondResponseEndsABodyWithoutALength(t *testing.T) {
	second := "HTTP/1.1 503 E\r\nContent-Length: 0\r\n" + strings.ToLower(idHeader) + ": 1\r\n\r\n"
	for _, cut := range []int{0, 4, 30} {
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			target, _ := endpoint(t, func(connection net.Conn, _ *http.Request, _ int) {
				_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%s: 1\r\n\r\nall of it%s", idHeader, second[:cut])
				time.Sleep(20 * time.Millisecond)
				_, _ = io.WriteString(connection, second[cut:])
				_ = connection.Close()
			})
			body, err := fetch(t, upstream.New(idHeader), target, "1")
			assert.ErrorContains(t, err, "second response")
			assert.Assert(t, strings.HasPrefix(body, "all of it") && !strings.Contains(body, idHeader), body)
		})
	}
}

// A body that only mentions a response is whole.
func TestBodyWithoutALengthMayMentionAResponse(t *testing.T) {
	const text = "It said HTTP/1.1 503 E\r\n\r\n and " + idHeader + ": 1\r\n"
	target, _ := endpoint(t, func(connection net.Conn, _ *http.Request, _ int) {
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\n%s: 1\r\n\r\n%s%s", idHeader, strings.Repeat("x", 10_000), text)
		_ = connection.Close()
	})
	body, err := fetch(t, upstream.New(idHeader), target, "1")
	assert.NilError(t, err)
	assert.Equal(t, body, strings.Repeat("x", 10_000)+text)
}
