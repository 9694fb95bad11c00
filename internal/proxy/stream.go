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

// serveStream proxies a request whose response is a stream of server-sent events.
// If the stream of an instance breaks, it resumes at another instance where the
// route allows this.
func (p *Proxy) serveStream(ctx context.Context, writer http.ResponseWriter, j *job) {
	client := newDelivery(ctx, writer, j.lastEventID)
	runner, leave := client.enter()
	defer leave()
	result, err := p.runStream(runner, j, client, j.waitUntil) //nolint:contextcheck // the runner's context is derived from this one
	switch {
	case err != nil:
		p.endWithoutSlot(ctx, client, j, err)
	case result == outcomeDone:
		p.answerTimes.add(j, p.now())
		p.recordFinished(j, "answered", http.StatusOK, client.events)
	case result == outcomeCallerLeft:
		p.abortLeft(j, client.events)
	case result == outcomeBrokenOff:
		p.abortStream(j, client)
	default:
		p.endFailedStream(ctx, client, j)
	}
}

// runStream makes attempts until one ends the stream or no other is allowed. Its error
// is that of acquire, if there is no slot for the next attempt.
func (p *Proxy) runStream(runner *streamRunner, j *job, client *delivery, until time.Time) (outcome, error) {
	for {
		dest, err := p.acquire(runner.ctx, j, until)
		if err != nil {
			return outcomeFailed, err
		}
		result, again := p.runAttempt(runner, j, dest, client)
		if !again {
			return result, nil
		}
		until = p.now().Add(maxResumeWait)
	}
}

// runAttempt makes an attempt at a destination that was acquired, with its backups, and
// reports whether another attempt is allowed.
func (p *Proxy) runAttempt(runner *streamRunner, j *job, dest destination, client *delivery) (result outcome, again bool) {
	eventsBefore := client.sent().events
	hedge := p.newHedge(j, dest, client)
	attemptEnded := p.hedges.begin(j, hedge)
	result = p.streamAttempt(runner, j, dest, client, hedge.suspect)
	attemptEnded(runner)
	p.release(j, dest) // before the wait for a backup, which may go on with the stream for long
	result = hedge.decide(j, result)
	sent := client.sent()
	j.responseStarted = sent.started || j.responseStarted
	if result.final() || client.superseded(runner) || !p.mayResume(runner.ctx, j, sent) {
		return result, false
	}
	if !result.sameAgain() {
		j.exclude(dest)
	}
	if dest.peer != nil && sent.events > eventsBefore {
		j.brokenPeers = append(j.brokenPeers, dest.peer.ID)
	}
	return result, true
}

// mayResume reports whether the stream may continue with another attempt, and
// takes that attempt from the retry budget.
func (p *Proxy) mayResume(ctx context.Context, j *job, sent position) bool {
	if sent.started && (!j.route.Resumable || sent.unnumbered || j.forwardedBy != "") {
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

// abortLeft closes the connection of a caller that has closed it, or its sending side, by
// a panic. If the handler returned, the server would complete the answer, which a caller
// that still reads would take for that of its request.
func (p *Proxy) abortLeft(j *job, events int) {
	p.recordFinished(j, "caller_left", 0, events)
	panic(http.ErrAbortHandler)
}

// streamAttempt sends the job to an instance, or to a peer, and forwards its events.
// `suspect` is called if they seem not to go on.
func (p *Proxy) streamAttempt(runner *streamRunner, j *job, dest destination, client *delivery, suspect func(cause error)) outcome {
	if dest.peer != nil {
		return p.streamFromPeer(runner, j, *dest.peer, client, suspect)
	}
	ctx, cancel := context.WithCancelCause(runner.ctx)
	defer cancel(nil)
	var watch *stall.Watch
	if dest.group != nil {
		watch = p.monitor.Begin(dest.group, p.expectedEventGap(j), suspect)
		defer watch.End()
	}
	endUnbegun := p.unbegun.add(j.parts, cancel)
	defer endUnbegun()
	if j.repeatable() {
		p.awaitResponse(j, suspect)
		defer p.unanswered.remove(&j.unanswered)
	}
	sentAt, sendsBefore, from := p.now(), j.sends, client.sent()
	response, err := p.send(ctx, j, dest, from.lastEventID)
	if err != nil {
		if j.sends > sendsBefore {
			return p.endAttempt(ctx, j, dest, false, err)
		}
		return p.handleStreamError(ctx, j, dest, err)
	}
	if p.notRun(response) {
		defer func() { _ = response.Body.Close() }()
		return p.recordNotRun(j, dest, response)
	}
	j.mayHaveRun = true
	if response.StatusCode != http.StatusOK || response.Header.Get(p.headers.Signature) == "" {
		return p.handleNonStream(ctx, runner, j, dest, response, client)
	}
	defer func() { _ = response.Body.Close() }()
	j.target = dest.instance.ID
	begun := false
	err = p.copyEvents(runner, response, client, from, func(sent position) {
		if watch != nil {
			watch.Progress()
		}
		p.paths.Heard(dest.instance, p.now())
		if sent.unnumbered {
			p.unanswered.remove(&j.unanswered)
		}
		if !begun {
			begun = true
			p.firstEventTimes.add(j, p.now().Sub(sentAt))
			endUnbegun()
			p.reportBegun(j)
		}
		p.recordFirstEvent(j, sent)
	})
	if err == nil {
		return outcomeDone
	}
	_ = level.Info(p.logger).Log("event", "stream_broken", "request", j.id, "fingerprint", j.wholeRequestName(), "instance", dest.instance.ID,
		"last_event", client.sent().lastEventID, "begun", begun, "cause", context.Cause(ctx), "err", err, "after_ms", p.now().Sub(sentAt).Milliseconds())
	return p.endAttempt(ctx, j, dest, begun, err)
}

// recordFirstEvent records when the caller was sent the first event.
func (p *Proxy) recordFirstEvent(j *job, sent position) {
	if sent.events == 1 {
		j.firstEventAt = p.now()
		p.observer.FirstToken(j.workspace, j.firstEventAt.Sub(j.receivedAt))
		p.hedges.firstEvent(j)
	}
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
	case errors.Is(cause, errPartBlocked):
		j.mayHaveRun, j.cause = true, cause.Error()
		return outcomeFailed
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

// handleNonStream handles a response that is not a stream of events. It forwards
// an error response unchanged, unless events were sent before, or it is a server
// error and the job can be retried.
func (p *Proxy) handleNonStream(ctx context.Context, runner *streamRunner, j *job, dest destination, response *upstream.Response, client *delivery) outcome {
	buffered, err := p.bufferResponse(response)
	if err != nil {
		return p.handleStreamError(ctx, j, dest, err)
	}
	buffered, result := p.checkResponse(ctx, j, dest, buffered)
	if result != outcomeDone || buffered.status == http.StatusOK ||
		(buffered.status >= http.StatusInternalServerError && p.mayRepeat(ctx, j)) {
		buffered.discard()
		return outcomeFailed
	}
	return client.refuse(runner, j, buffered)
}

// copyEvents forwards complete events until the response ends. It calls progress
// after each event that carries data, and flushes when no further event is
// buffered. Comments and empty events are forwarded, but a stream that sends
// nothing else makes no progress. A resumed stream must be a series of events and
// is forwarded from the event after the last one sent; whether one that ends
// before it is complete cannot be known. `from` is what had been sent when the request
// was.
func (p *Proxy) copyEvents(runner *streamRunner, response *upstream.Response, client *delivery, from position, progress func(sent position)) error {
	reader := bufio.NewReaderSize(response.Body, eventBufferBytes)
	order := eventOrder{last: from.lastEventID, resumes: from.started}
	if order.resumes && !isEventStream(response) {
		return errStreamGap
	}
	for {
		event, err := readEvent(reader)
		switch {
		case errors.Is(err, io.EOF) && order.resumes:
			return errStreamGap
		case err != nil:
			return p.finishStream(runner, client, response, event, err)
		}
		id := eventID(event)
		carriesData := id != "" || hasData(event)
		if err := order.check(id, carriesData); err != nil {
			return errors.Join(err, client.flush())
		}
		if order.resumes {
			continue
		}
		piece := piece{bytes: event, id: id, carriesData: carriesData, flush: !hasBufferedEvent(reader)}
		sent, err := client.deliver(runner, response, piece)
		if err != nil {
			return err
		}
		if carriesData {
			progress(sent)
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
func (p *Proxy) finishStream(runner *streamRunner, client *delivery, response *upstream.Response, rest []byte, err error) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	if len(bytes.TrimSpace(rest)) > 0 || (client.sent().events == 0 && response.EndsWithConnection()) {
		return io.ErrUnexpectedEOF
	}
	return client.finish(runner, response, rest)
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
