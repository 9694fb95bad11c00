package proxy

import (
	"context"
	"net/http"
	"slices"
	"sync"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/upstream"
)

// errSuperseded is the cause of attempts that end because another attempt goes on with
// the stream.
var errSuperseded = flamingodoor.Errorf(flamingodoor.CodeEndpointFailed, "another attempt goes on with the stream")

// position is what a caller has been sent of a stream.
type position struct {
	started     bool   // the status and headers
	events      int    // complete events with data
	lastEventID string // of the last of them; at first as sent by the caller
	unnumbered  bool   // an event without an identifier was sent
}

// delivery writes a stream to the caller and records what was sent. Several runners
// may have attempts under way; the first that has the next event goes on with the
// stream, and the others end. It is safe for concurrent use.
type delivery struct {
	ctx     context.Context //nolint:containedctx // of the request, from which those of the runners are derived
	writer  http.ResponseWriter
	control *http.ResponseController

	mu       sync.Mutex
	runners  []*streamRunner // whose attempts may go on with the stream
	owner    *streamRunner   // that wrote last
	finished bool            // the response is complete
	position
}

func newDelivery(ctx context.Context, writer http.ResponseWriter, lastEventID string) *delivery {
	return &delivery{ctx: ctx, writer: writer, control: http.NewResponseController(writer), position: position{lastEventID: lastEventID}}
}

// streamRunner makes one attempt after the other at a stream, in one goroutine.
type streamRunner struct {
	ctx context.Context //nolint:containedctx // of its attempts
	end context.CancelCauseFunc
}

// piece is a complete event of a response, or a comment.
type piece struct {
	bytes       []byte
	id          string // of the event, if it has one
	carriesData bool
	flush       bool // no other piece is at hand
}

// enter adds a streamRunner, which is removed by the returned function.
func (d *delivery) enter() (entrant *streamRunner, leave func()) {
	ctx, end := context.WithCancelCause(d.ctx)
	entrant = &streamRunner{ctx: ctx, end: end}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.runners = append(d.runners, entrant)
	return entrant, func() {
		end(nil)
		d.mu.Lock()
		defer d.mu.Unlock()
		if index := slices.Index(d.runners, entrant); index >= 0 {
			d.runners = slices.Delete(d.runners, index, index+1)
		}
	}
}

// superseded reports whether another streamRunner goes on with the stream.
func (d *delivery) superseded(runner *streamRunner) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !slices.Contains(d.runners, runner)
}

// sent returns what the caller has been sent.
func (d *delivery) sent() position {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.position
}

// claim gives the stream to a streamRunner and ends the others. It is called with the lock
// held.
func (d *delivery) claim(runner *streamRunner) error {
	if d.finished || !slices.Contains(d.runners, runner) {
		return errSuperseded
	}
	for _, other := range d.runners {
		if other != runner {
			other.end(errSuperseded)
		}
	}
	d.runners, d.owner = append(d.runners[:0], runner), runner
	return nil
}

// deliver sends a piece to the caller. A comment does not decide between runners: only
// the one that wrote last, or the first of all, sends comments.
func (d *delivery) deliver(runner *streamRunner, response *upstream.Response, piece piece) (position, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if piece.carriesData {
		if err := d.claim(runner); err != nil {
			return d.position, err
		}
	}
	if d.owner == nil && d.first(runner) {
		d.owner = runner
	}
	if d.owner != runner {
		return d.position, nil
	}
	if err := d.write(response, piece.bytes); err != nil {
		return d.position, err
	}
	if piece.carriesData {
		d.count(piece.id)
	}
	if !piece.flush {
		return d.position, nil
	}
	return d.position, d.flushLocked()
}

// finish sends what follows the last event.
func (d *delivery) finish(runner *streamRunner, response *upstream.Response, rest []byte) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err := d.claim(runner); err != nil {
		return err
	}
	d.finished = true
	return d.write(response, rest)
}

// first reports whether a streamRunner is the one that began first. It is called with the
// lock held.
func (d *delivery) first(runner *streamRunner) bool {
	return len(d.runners) > 0 && d.runners[0] == runner
}

// refuse sends a response that is no stream, unless a part of one was sent. Only that of
// the first streamRunner counts.
func (d *delivery) refuse(runner *streamRunner, j *job, response bufferedResponse) outcome {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.started || !d.first(runner) || d.claim(runner) != nil {
		response.discard()
		return outcomeFailed
	}
	d.finished = true
	if err := writeResponse(d.writer, response); err != nil {
		j.cause = err.Error()
		return outcomeBrokenOff
	}
	return outcomeDone
}

// write sends data to the caller, preceded by the status and headers of the
// response if nothing was sent yet. It is called with the lock held.
func (d *delivery) write(response *upstream.Response, data []byte) error {
	if !d.started {
		d.started = true
		copyResponseHeader(d.writer.Header(), response.Header)
		d.writer.WriteHeader(response.StatusCode)
	}
	if _, err := d.writer.Write(data); err != nil {
		return &callerLeftError{cause: err}
	}
	return nil
}

// count records an event with data that was written, and its identifier, if any. It is
// called with the lock held.
func (d *delivery) count(id string) {
	d.events++
	if id == "" {
		d.unnumbered = true
		return
	}
	d.lastEventID = id
}

// flush sends buffered data to the caller.
func (d *delivery) flush() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.flushLocked()
}

func (d *delivery) flushLocked() error {
	if err := d.control.Flush(); err != nil {
		return &callerLeftError{cause: err}
	}
	return nil
}

// callerLeftError is returned if writing to the caller fails.
type callerLeftError struct {
	cause error
}

// Error returns the message of the cause with its context.
func (c *callerLeftError) Error() string {
	return "writing to the caller: " + c.cause.Error()
}

// Unwrap returns the cause.
func (c *callerLeftError) Unwrap() error {
	return c.cause
}
