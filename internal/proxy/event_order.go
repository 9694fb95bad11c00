package proxy

import (
	"mime"

	"flamingodoor.example/flamingodoor/internal/upstream"
)

// eventOrder checks that a response continues a stream.
type eventOrder struct {
	last    string // identifier of the last event sent to the caller
	resumes bool   // the next event must directly follow it
}

// isEventStream reports whether the response is a series of events. Its status
// alone does not tell: it may be a page of an endpoint in trouble.
func isEventStream(response *upstream.Response) bool {
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// check returns errStreamGap if the event may not be sent to the caller.
func (o *eventOrder) check(id string) error {
	if o.resumes && !isNextEvent(o.last, id) {
		return errStreamGap
	}
	o.resumes = false
	if id != "" {
		o.last = id
	}
	return nil
}
