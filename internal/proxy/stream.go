package proxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/stall"
	"flamingodoor.example/flamingodoor/internal/upstream"
)

const (
	// eventBufferBytes is enough for several events of usual size.
	eventBufferBytes = 4 << 10
	// maxEventBytes limits an event, which is buffered until it is complete.
	maxEventBytes = 256 << 10
	// maxResumeWait is how long a stream that lost its instance waits for a
	// slot at another one: the caller closes its connection after a pause of
	// 2 s.
	maxResumeWait = 1200 * time.Millisecond
)

// errStreamGap is returned for a resumed stream that does not continue with the
// event after the last one sent to the caller.
var errStreamGap = flamingodoor.Errorf(flamingodoor.CodeProtocol, "resumed stream does not continue with the next event")

// delivery writes a stream to the caller and records what was sent.
type delivery struct {
	writer      http.ResponseWriter
	control     *http.ResponseController
	started     bool   // the status and headers were sent
	events      int    // complete events sent
	lastEventID string // of the last complete event sent; at first as sent by the caller
	unnumbered  bool   // an event without an identifier was sent
}

// serveStream proxies a request whose response is a stream of server-sent events.
// If the stream of an instance breaks, it resumes at another instance where the
// route allows this.
func (p *Proxy) serveStream(ctx context.Context, writer http.ResponseWriter, j *job) {
	client := &delivery{writer: writer, control: http.NewResponseController(writer), lastEventID: j.lastEventID}
	until := j.waitUntil
	for {
		dest, err := p.acquire(ctx, j, until)
		if err != nil {
			p.endWithoutSlot(ctx, client, j, err)
			return
		}
		eventsBefore := client.events
		result := p.streamAttempt(ctx, j, dest, client)
		p.release(dest)
		j.responseStarted = client.started || j.responseStarted
		switch {
		case result == outcomeDone:
			p.recordFinished(j, "answered", http.StatusOK, client.events)
			return
		case result == outcomeCallerLeft:
			p.recordFinished(j, "caller_left", 0, client.events)
			return
		case result == outcomeBrokenOff:
			p.abortStream(j, client)
		case !p.mayResume(ctx, j, client):
			p.endFailedStream(ctx, client, j)
			return
		}
		if result != outcomeDeadConnection {
			j.exclude(dest)
		}
		if dest.peer != nil && client.events > eventsBefore {
			j.brokenPeers = append(j.brokenPeers, dest.peer.ID)
		}
		until = p.now().Add(maxResumeWait)
	}
}

// mayResume reports whether the stream may continue with another attempt, and
// takes that attempt from the retry budget.
func (p *Proxy) mayResume(ctx context.Context, j *job, client *delivery) bool {
	if client.started && (!j.route.Resumable || client.unnumbered || j.forwardedBy != "") {
		// A stream that was forwarded is resumed by the first host, which counts the
		// attempts of all.
		return false
	}
	return p.mayRepeat(ctx, j)
}

// endWithoutSlot ends a stream for which acquire failed.
func (p *Proxy) endWithoutSlot(ctx context.Context, client *delivery, j *job, err error) {
	if !client.started {
		p.refuseWithoutSlot(ctx, client.writer, j, err)
		return
	}
	j.cause = err.Error()
	p.abortStream(j, client)
}

// endFailedStream ends a stream after its last attempt failed.
func (p *Proxy) endFailedStream(ctx context.Context, client *delivery, j *job) {
	if !client.started {
		p.respondFailed(ctx, client.writer, j)
		return
	}
	p.abortStream(j, client)
}

// abortStream closes the caller's connection by a panic, so that the response
// does not look complete.
func (p *Proxy) abortStream(j *job, client *delivery) {
	p.recordFinished(j, "broken_off", http.StatusOK, client.events)
	panic(http.ErrAbortHandler)
}

// streamAttempt sends the job to an instance, or to a peer, and forwards its events.
func (p *Proxy) streamAttempt(ctx context.Context, j *job, dest destination, client *delivery) outcome {
	if dest.peer != nil {
		return p.streamFromPeer(ctx, j, *dest.peer, client)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var watch *stall.Watch
	if dest.group != nil {
		watch = p.monitor.Begin(dest.group, p.expectedEventGap(j), cancel)
		defer watch.End()
	}
	endUnbegun := p.unbegun.add(j.parts, cancel)
	defer endUnbegun()
	if j.repeatable() {
		p.awaitResponse(j, cancel)
		defer p.unanswered.remove(&j.unanswered)
	}
	sentAt, sendsBefore := p.now(), j.sends
	response, err := p.send(ctx, j, dest, client.lastEventID)
	if err != nil {
		if j.sends > sendsBefore {
			return p.endAttempt(ctx, j, dest, false, err)
		}
		return p.handleStreamError(ctx, j, dest, err)
	}
	if p.notRun(response) {
		defer func() { _ = response.Body.Close() }()
		p.recordNotRun(j, dest, response)
		return outcomeNotRun
	}
	j.mayHaveRun = true
	if response.StatusCode != http.StatusOK || response.Header.Get(p.headers.Signature) == "" {
		return p.handleNonStream(ctx, j, dest, response, client)
	}
	defer func() { _ = response.Body.Close() }()
	j.target = dest.instance.ID
	begun := false
	err = p.copyEvents(response, client, func() {
		if watch != nil {
			watch.Progress()
		}
		p.paths.Heard(dest.instance, p.now())
		if client.unnumbered {
			p.unanswered.remove(&j.unanswered)
		}
		if !begun {
			begun = true
			endUnbegun()
			p.reportBegun(j)
		}
		if client.events == 1 {
			j.firstEventAt = p.now()
			p.observer.FirstToken(j.workspace, j.firstEventAt.Sub(j.receivedAt))
		}
	})
	if err == nil {
		return outcomeDone
	}
	_ = level.Info(p.logger).Log("event", "stream_broken", "request", j.id, "instance", dest.instance.ID,
		"last_event", client.lastEventID, "begun", begun, "cause", context.Cause(ctx), "err", err, "after_ms", p.now().Sub(sentAt).Milliseconds())
	return p.endAttempt(ctx, j, dest, begun, err)
}

// endAttempt returns the outcome of an attempt of a stream that was sent and failed.
func (p *Proxy) endAttempt(ctx context.Context, j *job, dest destination, begun bool, err error) outcome {
	p.exemptLostAttempt(j, dest)
	if !begun && !onDeadConnection(err) {
		p.reportUnbegun(ctx, j, dest)
	}
	return p.handleStreamError(ctx, j, dest, err)
}

// exemptLostAttempt exempts an attempt from the route's limit if its instance
// is lost and no longer listed. An instance that is still listed may only be
// unreachable from this host and may have run the request, although no event
// arrived.
func (p *Proxy) exemptLostAttempt(j *job, dest destination) {
	view := p.roster.View()
	if entry, known := view.Entries[dest.instance.ID]; known && entry.Listed && entry.StartedAt.Equal(dest.instance.StartedAt) {
		return
	}
	if view.Lost(dest.instance, p.now()) {
		j.exemptSends++
	}
}

// expectedEventGap returns the time between two events of an engine whose slots
// are all in use.
func (p *Proxy) expectedEventGap(j *job) time.Duration {
	engine := j.service.Engine
	timeFactor := 1.0
	for _, model := range engine.Models {
		if model.ID == j.model {
			timeFactor = model.TimeFactor
		}
	}
	step := engine.StepTime + time.Duration(engine.Slots)*engine.StepTimePerSlot
	return time.Duration(timeFactor * float64(engine.StepsPerPass) * float64(step))
}

// handleStreamError returns the outcome of an attempt without a complete
// response, and reports the request as a possible cause of a crash if the
// endpoint closed the connection.
func (p *Proxy) handleStreamError(ctx context.Context, j *job, dest destination, err error) outcome {
	cause := context.Cause(ctx)
	var failure *upstream.CallError
	if !errors.As(err, &failure) || failure.Sent {
		j.mayHaveRun = true
	}
	var callerLeft *callerLeftError
	switch {
	case errors.As(err, &callerLeft):
		return outcomeCallerLeft
	case errors.Is(cause, stall.ErrLost), errors.Is(cause, stall.ErrStalled), errors.Is(cause, stall.ErrSilent), errors.Is(cause, errPartBlocked):
		return p.handleEndedStream(j, dest, cause)
	case errors.Is(cause, errUnreached):
		return p.handleSendError(ctx, j, dest, err)
	case cause != nil:
		return p.callerLeftOr(ctx, outcomeFailed)
	}
	if failure != nil && !failure.Sent {
		return p.handleSendError(ctx, j, dest, err)
	}
	if onDeadConnection(err) {
		return p.recordDeadConnection(ctx, j, dest, err)
	}
	j.cause = "broken"
	if isConnectionError(err) {
		p.paths.Failed(dest.instance, p.now())
	}
	if isConnectionError(err) && (failure == nil || !failure.Reused) {
		// The endpoint closed the connection: it may have crashed. If a reused
		// connection gave no response, it may have been closed while idle.
		p.crashTracker.ReportCrash(ctx, j.fingerprint, dest.instance.ID)
	}
	return p.callerLeftOr(ctx, outcomeFailed)
}

// handleEndedStream returns the outcome of an attempt that this host has ended.
func (p *Proxy) handleEndedStream(j *job, dest destination, cause error) outcome {
	j.mayHaveRun, j.cause = true, cause.Error()
	switch {
	case errors.Is(cause, stall.ErrLost):
		p.paths.Failed(dest.instance, p.now())
	case errors.Is(cause, stall.ErrSilent):
		p.paths.Failed(dest.instance, p.now())
		return outcomeDeadConnection
	}
	return outcomeFailed
}

// handleNonStream handles a response that is not a stream of events. It forwards
// an error response unchanged, unless events were sent before, or it is a server
// error and the job can be retried.
func (p *Proxy) handleNonStream(ctx context.Context, j *job, dest destination, response *upstream.Response, client *delivery) outcome {
	buffered, err := bufferResponse(response)
	if err != nil {
		return p.handleStreamError(ctx, j, dest, err)
	}
	buffered, result := p.checkResponse(ctx, j, dest, buffered)
	if result != outcomeDone || client.started || buffered.status == http.StatusOK ||
		(buffered.status >= http.StatusInternalServerError && p.mayRepeat(ctx, j)) {
		buffered.discard()
		return outcomeFailed
	}
	if err := writeResponse(client.writer, buffered); err != nil {
		j.cause = err.Error()
		return outcomeBrokenOff
	}
	return outcomeDone
}

// copyEvents forwards complete events until the response ends. It calls progress
// after each event that carries data, and flushes when no further event is
// buffered. Comments and empty events are forwarded, but a stream that sends
// nothing else makes no progress. A resumed stream must be a series of events and
// is forwarded from the event after the last one sent; whether one that ends
// before it is complete cannot be known.
func (p *Proxy) copyEvents(response *upstream.Response, client *delivery, progress func()) error {
	reader := bufio.NewReaderSize(response.Body, eventBufferBytes)
	order := eventOrder{last: client.lastEventID, resumes: client.started}
	if order.resumes && !isEventStream(response) {
		return errStreamGap
	}
	for {
		event, err := readEvent(reader)
		switch {
		case errors.Is(err, io.EOF) && order.resumes:
			return errStreamGap
		case err != nil:
			return p.finishStream(client, response, event, err)
		}
		id := eventID(event)
		carriesData := id != "" || hasData(event)
		if err := order.check(id, carriesData); err != nil {
			return errors.Join(err, client.flush())
		}
		if order.resumes {
			continue
		}
		if err := client.write(response, event); err != nil {
			return err
		}
		if carriesData {
			client.count(id)
			progress()
		}
		if !hasBufferedEvent(reader) {
			if err := client.flush(); err != nil {
				return err
			}
		}
	}
}

// readEvent reads up to the blank line that ends an event. With an error, it
// returns what was read before.
func readEvent(reader *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		switch {
		case err != nil && !errors.Is(err, bufio.ErrBufferFull):
			return event, err
		case len(event) > maxEventBytes:
			return nil, flamingodoor.Errorf(flamingodoor.CodeTooLarge, "event exceeds %d bytes", maxEventBytes)
		case err == nil && isBlankLine(line):
			return event, nil
		}
	}
}

// hasBufferedEvent reports whether another complete event can be read without
// waiting.
func hasBufferedEvent(reader *bufio.Reader) bool {
	buffered, err := reader.Peek(reader.Buffered())
	return err == nil && (bytes.Contains(buffered, []byte("\n\n")) || bytes.Contains(buffered, []byte("\n\r\n")))
}

// finishStream handles a read error at the end of a response. It returns nil if
// the response ended after a complete event. One without a length ends with its
// connection, so that without any event it may have broken off.
func (p *Proxy) finishStream(client *delivery, response *upstream.Response, rest []byte, err error) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	if len(bytes.TrimSpace(rest)) > 0 || (client.events == 0 && response.EndsWithConnection()) {
		return io.ErrUnexpectedEOF
	}
	return client.write(response, rest)
}

// write sends data to the caller, preceded by the status and headers of the
// response if nothing was sent yet.
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

// count records an event with data that was written, and its identifier, if any.
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

// isBlankLine reports whether a line, which includes its line break, ends an
// event.
func isBlankLine(line []byte) bool {
	return len(line) == 1 || (len(line) == 2 && line[0] == '\r')
}

// eventID returns the value of the "id" field of an event, or "" if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// hasData reports whether an event has a "data" field.
func hasData(event []byte) bool {
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, []byte("data")) {
			return true
		}
	}
	return false
}

// isNextEvent reports whether the event identifier `next` directly follows
// `last`. Any identifier follows an empty one.
func isNextEvent(last, next string) bool {
	if last == "" {
		return true
	}
	before, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return false
	}
	after, err := strconv.ParseInt(next, 10, 64)
	return err == nil && after == before+1
}
