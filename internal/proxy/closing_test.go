package proxy_test

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against an answer that invites its caller to send another request on a
// connection that a stop is about to close: the request came before the stop, and
// its answer begins after it.
func TestAnswerThatBeginsDuringAStopAnnouncesTheClose(t *testing.T) {
	s := newSetup(t)
	running, release := make(chan struct{}, 2), make(chan struct{})
	answer := func(writer http.ResponseWriter, body, contentType string) {
		running <- struct{}{}
		<-release
		writer.Header().Set("Content-Type", contentType)
		writer.Header().Set(headers.Signature, "sig")
		_, _ = io.WriteString(writer, body)
	}
	plain := newEndpoint(t, func(writer http.ResponseWriter, _ *http.Request) { answer(writer, "hello", "text/plain") })
	engine := newEndpoint(t, func(writer http.ResponseWriter, _ *http.Request) {
		answer(writer, "id: 1\ndata: a\n\nid: 2\ndata: [DONE]\n\n", "text/event-stream")
	})
	s.register(plain.instance("i-1", "plain"), engine.instance("i-2", "llm"))
	paths := []string{"/read/x", "/stream/x"}
	closes := make(chan string, len(paths))
	for _, path := range paths {
		go func() { closes <- closeAnnounced(s, path) }()
	}
	for range paths {
		<-running
	}
	s.proxy.Stop()
	close(release)
	for range paths {
		assert.Equal(t, <-closes, "close")
	}
}

// closeAnnounced sends a request and returns what its answer says of the
// connection.
func closeAnnounced(s *setup, path string) string {
	request, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, s.front.URL+path, http.NoBody)
	if err != nil {
		return err.Error()
	}
	request.Host = host
	request.Header.Set(headers.RequestID, "r-"+path)
	request.Header.Set(headers.DeadlineMS, "1500")
	request.Header.Set(headers.Model, model)
	request.Header.Set(headers.Tokens, "100,50")
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return err.Error()
	}
	if response.Close {
		return "close"
	}
	return response.Status
}
