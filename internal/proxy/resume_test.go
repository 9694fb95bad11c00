package proxy_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// eventStream begins a head of a stream of events.
var eventStream = success + "Content-Type: text/event-stream\r\n" //nolint:gochecknoglobals // a constant

// sendResumed sends a stream's request to an endpoint that breaks off after its
// third event. The stream then resumes at one that writes the text.
func sendResumed(t *testing.T, text string) reply {
	t.Helper()
	s := newSetup(t)
	failing := newEndpoint(t, events(6, 3))
	other := newWorker(t, writing(text))
	far := other.instance("i-2", "llm")
	far.DataCentre = "dc-b"
	s.register(failing.instance("i-1", "llm"), far)
	got := s.send("/stream/x")
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, other.runs.Load(), int64(1))
	return got
}

// sized returns a response of this head and body with a length.
func sized(head, body string) string {
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body
}

// failure begins a head of another status than 200.
func failure(status int) string {
	return strings.Replace(success, "200 OK", fmt.Sprint(status, " E"), 1)
}

// Guards against the text or the head of an error, or of any other response, in
// the middle of a stream that has begun, and against a stream that ends as
// complete after it.
func TestResumedStreamContinuesWithNothingButTheNextEvent(t *testing.T) {
	notRun := headers.NotRun + ": 1\r\n"
	page := success + "Content-Type: text/html\r\n"
	for name, text := range map[string]string{
		"page":                 sized(page, "<p>An error occurred.</p>\n\n"),
		"page without a break": sized(page, "<p>An error occurred.</p>"),
		"page without a type":  sized(success, "An error occurred.\n\n"),
		"page without length":  page + "\r\n<p>An error occurred.</p>\n\n",
		"events in a page":     sized(page, event(4)+event(5)),
		"empty page":           sized(page, ""),
		"text for events":      sized(eventStream, "An error occurred.\n\n"),
		"data without id":      sized(eventStream, "data: An error occurred.\n\n"),
		"error event":          sized(eventStream, "event: error\ndata: An error occurred.\n\n"),
		"head for events":      sized(eventStream, strings.ReplaceAll(sized(failure(503), "full"), "ID", "r1")),
		"repeated event":       sized(eventStream, event(3)+event(4)),
		"missing event":        sized(eventStream, event(5)),
		"events from the first": sized(eventStream,
			allEvents(6)),
		"no events":                 sized(eventStream, ""),
		"no events, chunked":        eventStream + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"no events, without length": eventStream + "\r\n",
		"comments":                  sized(eventStream, ": hello\n\n: hello\n\n"),
		"half an event":             sized(eventStream, "id: 4\ndata: t"),
		"without signature":         sized(strings.Replace(eventStream, headers.Signature, "X-Other", 1), event(4)),
		"another request's":         sized(strings.Replace(eventStream, "ID", "other", 1), event(4)),
		"half a head":               eventStream,
		"400":                       sized(failure(400), event(4)),
		"404":                       sized(failure(404), event(4)),
		"500":                       sized(failure(500), event(4)),
		"503":                       sized(failure(503), event(4)),
		"400 not run":               sized(failure(400)+notRun, event(4)),
		"429 not run":               sized(failure(429)+notRun, event(4)),
		"503 not run":               sized(failure(503)+notRun, event(4)),
		"200 not run":               sized(eventStream+notRun, event(4)),
	} {
		t.Run(name, func(t *testing.T) {
			got := sendResumed(t, text)
			assert.Assert(t, got.err != nil, "the response looks complete: %q", got.body)
			assert.Equal(t, got.body, allEvents(3))
		})
	}
}

// Comments before the next event are left out, and the stream goes on.
func TestResumedStreamLeavesOutWhatPrecedesTheNextEvent(t *testing.T) {
	got := sendResumed(t, sized(eventStream, ": hello\n\n\n"+event(4)+": still here\n\n"+event(5)))
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, allEvents(4)+": still here\n\n"+event(5))
}

// Guards against sending the events of a stream twice: without identifiers,
// another endpoint cannot continue after those that the caller has.
func TestStreamWithoutIdentifiersIsNotResumed(t *testing.T) {
	for name, begin := range map[string]string{"none": "data: a\n\n", "one missing": event(1) + "data: a\n\n"} {
		t.Run(name, func(t *testing.T) {
			s := newSetup(t)
			failing := newWorker(t, writing(eventStream+"\r\n"+begin+"da"))
			other := newWorker(t, writing(sized(eventStream, "data: a\n\ndata: b\n\n")))
			far := other.instance("i-2", "llm")
			far.DataCentre = "dc-b"
			s.register(failing.instance("i-1", "llm"), far)
			got := s.send("/stream/x")
			assert.Assert(t, got.err != nil, "the response looks complete: %q", got.body)
			assert.Equal(t, got.body, begin)
			assert.Equal(t, other.runs.Load(), int64(0))
		})
	}
}

// Guards against a success without any event from a stream without a length,
// whose endpoint closed after the head.
func TestStreamWithoutALengthAndEventsIsAFailure(t *testing.T) {
	for name, body := range map[string]string{"empty": "", "comment": ": hello\n\n"} {
		t.Run(name, func(t *testing.T) {
			s := newSetup(t)
			s.register(newWorker(t, writing(eventStream+"\r\n"+body)).instance("i-1", "llm"))
			got := s.send("/stream/x")
			assert.Assert(t, got.status == http.StatusBadGateway || got.err != nil, "%d looks complete: %q", got.status, got.body)
		})
	}
}

// Guards against events that an endpoint writes once more after the last one, with
// or without a length.
func TestStreamWithRepeatedEventsIsBrokenOff(t *testing.T) {
	for name, text := range map[string]string{
		"all":                   sized(eventStream, allEvents(3)+allEvents(3)),
		"all, without a length": eventStream + "\r\n" + allEvents(3) + allEvents(3),
		"last":                  eventStream + "\r\n" + allEvents(3) + event(3),
		"earlier":               eventStream + "\r\n" + allEvents(3) + event(2),
	} {
		t.Run(name, func(t *testing.T) {
			s := newSetup(t)
			s.register(newWorker(t, writing(text)).instance("i-1", "llm"))
			got := s.send("/stream/x")
			assert.Assert(t, got.err != nil, "the response looks complete: %q", got.body)
			assert.Equal(t, got.body, allEvents(3))
		})
	}
}

// Guards against a second response in a response without a length: it belongs to
// no request, and the first one must not look complete.
func TestSecondResponseInAResponseWithoutALengthIsAFailure(t *testing.T) {
	second := sized(failure(503)+headers.NotRun+": 1\r\n", "full")
	for name, c := range map[string]struct{ path, body, end string }{
		"plain":                    {"/read/x", "all of it", second},
		"plain, after a line":      {"/post2/x", "all of it\r\n", second},
		"plain, success":           {"/post2/x", "all of it", sized(success, "again")},
		"plain, long":              {"/post2/x", longBody[:1<<20], second},
		"stream":                   {"/stream/x", allEvents(3), second},
		"stream, inside an event":  {"/stream/x", allEvents(3) + "id: 4\ndata: t", second},
		"stream, success":          {"/stream/x", allEvents(3), sized(eventStream, allEvents(3))},
		"stream, without a length": {"/stream/x", allEvents(3), eventStream + "\r\n" + allEvents(3)},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSetup(t)
			faulty := newWorker(t, func(connection *net.TCPConn, request *http.Request, _ int) bool {
				writeText(connection, request, eventStream+"\r\n"+c.body+c.end)
				return false
			})
			s.register(faulty.instance("i-1", paths[c.path]))
			got := s.send(c.path)
			assert.Assert(t, got.status == http.StatusBadGateway || got.err != nil, "%d looks complete: %d bytes, %.200q", got.status, len(got.body), got.body)
			if c.path == "/stream/x" {
				assert.Equal(t, got.body, allEvents(3))
			}
		})
	}
}

// What follows the last chunk, or the length, of a stream does not reach the
// caller.
func TestBytesAfterACompleteStreamAreLeftOut(t *testing.T) {
	for name, text := range map[string]string{
		"chunks": eventStream + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(allEvents(3)), allEvents(3)),
		"length": sized(eventStream, allEvents(3)),
	} {
		for end, extra := range map[string]string{"event": event(4), "response": sized(failure(503), "full")} {
			t.Run(name+" "+end, func(t *testing.T) {
				s := newSetup(t)
				s.register(newWorker(t, writing(text+extra)).instance("i-1", "llm"))
				got := s.send("/stream/x")
				assert.NilError(t, got.err)
				assert.Equal(t, got.body, allEvents(3))
			})
		}
	}
}

// Guards against refusing a sound request as the cause of crashes, after two
// endpoints wrote what does not belong into its stream: none of them crashed.
func TestSpoiledStreamIsNoCrash(t *testing.T) {
	s := newSetup(t)
	spoiled := newWorker(t, writing(eventStream+"\r\n"+event(1)+event(1)))
	far := spoiled.instance("i-2", "llm")
	far.DataCentre = "dc-b"
	s.register(spoiled.instance("i-1", "llm"), far)
	assert.Assert(t, s.send("/stream/x").err != nil)
	assert.Equal(t, spoiled.runs.Load(), int64(2))
	s.register(newEndpoint(t, events(3, 0)).instance("i-3", "llm"))
	got := s.send("/stream/x")
	assert.Equal(t, got.status, http.StatusOK, got.body)
	assert.Equal(t, got.body, allEvents(3))
}
