package proxy

import (
	"net/http"
	"sync/atomic"
)

// closingWriter announces the close of the caller's connection if this host
// stops by the time that the answer begins.
type closingWriter struct {
	http.ResponseWriter

	stopping *atomic.Bool
}

// WriteHeader begins the answer.
func (w closingWriter) WriteHeader(status int) {
	if w.stopping.Load() {
		announceClose(w.ResponseWriter)
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap gives http.ResponseController the writer of the server.
func (w closingWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// announceClose makes the server close the connection after the answer.
func announceClose(writer http.ResponseWriter) {
	writer.Header().Set("Connection", "close")
}
