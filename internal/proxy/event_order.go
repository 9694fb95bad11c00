package proxy

import (
	"mime"
	"strconv"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/upstream"
)

// errEventRepeated is returned for an event that does not follow the one before.
var errEventRepeated = flamingodoor.Errorf(flamingodoor.CodeProtocol, "identifier of an event does not increase")

// eventOrder checks the order of the events of a response.
type eventOrder struct {
	last    string // identifier of the last event sent to the caller
	resumes bool   // the next event must directly follow it
	begun   bool   // the response has sent an event with an identifier
}

// isEventStream reports whether the response is a series of events. Its status
// alone does not tell: it may be a page of an endpoint in trouble.
func isEventStream(response *upstream.Response) bool {
	mediaType, _, err := mime.ParseMediaType(response.Header.Get("Content-Type"))
	return err == nil && mediaType == "text/event-stream"
}

// check returns an error if the event may not be sent to the caller. Only events
// that carry data have an order.
func (o *eventOrder) check(id string, carriesData bool) error {
	if !carriesData {
		return nil
	}
	if o.resumes && !isNextEvent(o.last, id) {
		return errStreamGap
	}
	if o.begun && isRepeatedEvent(o.last, id) {
		return errEventRepeated
	}
	o.resumes = false
	if id != "" {
		o.last, o.begun = id, true
	}
	return nil
}

// isRepeatedEvent reports whether the event identifier `next` does not increase.
// Only numbers have an order.
func isRepeatedEvent(last, next string) bool {
	before, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return false
	}
	after, err := strconv.ParseInt(next, 10, 64)
	return err == nil && after <= before
}
