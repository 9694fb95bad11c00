package upstream_test

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor/internal/upstream"
)

// What an endpoint states in a head must not be overlooked because the response
// is an interim one, belongs to another request or cannot be used.
func TestEachHeadIsObserved(t *testing.T) {
	target, _ := endpoint(t, func(connection net.Conn, _ *http.Request, _ int) {
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 103 Early Hints\r\nX-Note: interim\r\n\r\n")
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 503 Service Unavailable\r\n%s: other\r\nX-Note: skipped\r\nContent-Length: 0\r\n\r\n", idHeader)
		_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nX-Note: no identifier\r\nContent-Length: 0\r\n\r\n")
	})
	observed := call("1")
	var notes []string
	observed.OnHead = func(status int, header http.Header) {
		notes = append(notes, fmt.Sprint(status, " ", header.Get("X-Note")))
	}
	_, err := upstream.New(idHeader).Do(t.Context(), target, observed)
	assert.Assert(t, err != nil)
	assert.Assert(t, slices.Equal(notes, []string{"103 interim", "503 skipped", "200 no identifier"}), "%q", notes)
}
