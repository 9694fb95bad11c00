package relay

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
	// eventBufferBytes holds several events of usual size.
	eventBufferBytes = 4 << 10
	// maxEventBytes bounds an event that is held until it is whole.
	maxEventBytes = 1 << 20
	// resumeWait is how long a stream that lost its instance waits for a place
	// elsewhere: the caller leaves after a pause of 2 s.
	resumeWait = 1200 * time.Millisecond
)

// errStreamGap is a resumed stream that does not go on where the first ended.
var errStreamGap = flamingodoor.Errorf(flamingodoor.CodeProtocol, "resumed stream leaves a gap")

// delivery is the part of an answer that the caller has.
type delivery struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	started bool
	events  int
	last    string // identifier of the last whole event
}

// stream answers a request whose answer is a series of events. An answer that
// breaks off goes on at another instance where the route allows it.
func (r *Relay) stream(ctx context.Context, writer http.ResponseWriter, j *job) {
	out := &delivery{writer: writer, control: http.NewResponseController(writer), last: j.lastEvent}
	until := j.held
	for {
		found, err := r.acquire(ctx, j, until)
		if err != nil {
			r.endUnplaced(ctx, out, j, err)
			return
		}
		ended := r.streamAttempt(ctx, j, found, out)
		r.tracker.Release(found.instance.ID)
		switch {
		case ended == outcomeDone:
			r.finished(j, "answered", http.StatusOK, out.events)
			return
		case ended == outcomeLeft:
			r.finished(j, "caller_left", 0, out.events)
			return
		case !r.mayResume(ctx, j, out):
			r.endBroken(ctx, out, j)
			return
		}
		j.avoid[found.instance.ID] = true
		j.begun = out.started
		until = r.now().Add(resumeWait)
	}
}

// mayResume allows a further attempt.
func (r *Relay) mayResume(ctx context.Context, j *job, out *delivery) bool {
	if out.started && !j.route.Resumable {
		return false
	}
	return r.mayRepeat(ctx, j)
}

// endUnplaced ends a stream for which no instance has room.
func (r *Relay) endUnplaced(ctx context.Context, out *delivery, j *job, err error) {
	if !out.started {
		r.refuseUnplaced(ctx, out.writer, j, err)
		return
	}
	j.cause = err.Error()
	r.breakOff(j, out)
}

func (r *Relay) endBroken(ctx context.Context, out *delivery, j *job) {
	if !out.started {
		r.giveUp(ctx, out.writer, j)
		return
	}
	r.breakOff(j, out)
}

// breakOff ends the caller's connection, so that the answer does not look
// complete.
func (r *Relay) breakOff(j *job, out *delivery) {
	r.finished(j, "broken_off", http.StatusOK, out.events)
	panic(http.ErrAbortHandler)
}

// streamAttempt passes the events of one instance on.
func (r *Relay) streamAttempt(ctx context.Context, j *job, found place, out *delivery) outcome {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var watch *stall.Watch
	if found.group != nil {
		watch = r.monitor.Begin(found.group, r.usualGap(j), cancel)
		defer watch.End()
	}
	sent, sends := r.now(), j.sends
	response, err := r.send(ctx, j, found, out.last)
	if err != nil {
		if j.sends > sends {
			r.excuse(j, found)
		}
		return r.streamFailed(ctx, j, found, err)
	}
	defer func() { _ = response.Body.Close() }()
	if r.notRun(response) {
		r.noteNotRun(j, found, response)
		return outcomeNotRun
	}
	j.mayHave = true
	if response.StatusCode != http.StatusOK || response.Header.Get(r.headers.Signature) == "" {
		return r.streamRefused(ctx, j, found, response, out)
	}
	j.target = found.instance.ID
	err = r.copyEvents(response, out, func() {
		if watch != nil {
			watch.Progress()
		}
		if out.events == 1 {
			j.first = r.now()
			r.observer.FirstToken(j.workspace, j.first.Sub(j.received))
		}
	})
	if err == nil {
		return outcomeDone
	}
	_ = level.Info(r.logger).Log("event", "stream_broken", "request", j.id, "instance", found.instance.ID,
		"last_event", out.last, "cause", context.Cause(ctx), "err", err, "after_ms", r.now().Sub(sent).Milliseconds())
	r.excuse(j, found)
	return r.streamFailed(ctx, j, found, err)
}

// excuse leaves an attempt out of the route's limit if its instance is gone. One
// that is still listed may only have lost the path to this host, and have run
// the request although no event arrived.
func (r *Relay) excuse(j *job, found place) {
	view := r.roster.View()
	if entry, known := view.Entries[found.instance.ID]; known && entry.Listed && entry.StartedAt.Equal(found.instance.StartedAt) {
		return
	}
	if view.Lost(found.instance, r.now()) {
		j.excused++
	}
}

// usualGap is the time between two events of a full engine.
func (r *Relay) usualGap(j *job) time.Duration {
	engine := j.service.Engine
	pace := 1.0
	for _, model := range engine.Models {
		if model.ID == j.model {
			pace = model.TimeFactor
		}
	}
	step := engine.StepTime + time.Duration(engine.Slots)*engine.StepTimePerSlot
	return time.Duration(pace * float64(engine.StepsPerPass) * float64(step))
}

// streamFailed judges an attempt without a complete answer.
func (r *Relay) streamFailed(ctx context.Context, j *job, found place, err error) outcome {
	cause := context.Cause(ctx)
	var left *callerLeftError
	switch {
	case errors.As(err, &left):
		return outcomeLeft
	case errors.Is(cause, stall.ErrLost), errors.Is(cause, stall.ErrStalled), errors.Is(cause, stall.ErrSilent):
		j.mayHave = true
		j.cause = cause.Error()
		return outcomeFailed
	case cause != nil:
		return r.leftOr(ctx, outcomeFailed)
	}
	var failure *upstream.CallError
	if errors.As(err, &failure) && !failure.Sent {
		return r.sendFailed(ctx, j, found, err)
	}
	j.mayHave = true
	j.cause = "broken"
	if failure == nil || !failure.Reused {
		// The endpoint broke off by itself: it may have crashed.
		r.strikes.ReportCrash(ctx, j.fingerprint, found.instance.ID)
	}
	return r.leftOr(ctx, outcomeFailed)
}

// streamRefused handles an answer that is no stream: a failure is passed on
// unchanged if nothing else can be done.
func (r *Relay) streamRefused(ctx context.Context, j *job, found place, response *upstream.Answer, out *delivery) outcome {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err != nil {
		return r.streamFailed(ctx, j, found, err)
	}
	answer, ended := r.judge(ctx, j, found, wholeAnswer{status: response.StatusCode, header: response.Header, body: body})
	if ended != outcomeDone || out.started || answer.status == http.StatusOK {
		return outcomeFailed
	}
	if answer.status >= http.StatusInternalServerError && r.mayRepeat(ctx, j) {
		return outcomeFailed
	}
	r.writeAnswer(out.writer, answer)
	return outcomeDone
}

// copyEvents passes whole events on until the answer is complete.
func (r *Relay) copyEvents(response *upstream.Answer, out *delivery, progress func()) error {
	reader := bufio.NewReaderSize(response.Body, eventBufferBytes)
	resumedAt := out.last
	first := true
	var event []byte
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return r.endOfEvents(out, response, event, err)
		}
		if len(event) > maxEventBytes {
			return flamingodoor.Errorf(flamingodoor.CodeProtocol, "event of over %d bytes", maxEventBytes)
		}
		if err != nil || !endsEvent(line) {
			continue
		}
		id := eventID(event)
		if first && out.started && !follows(resumedAt, id) {
			return errStreamGap
		}
		first = false
		if err := out.write(response, event); err != nil {
			return err
		}
		if id != "" {
			out.last = id
		}
		out.events++
		event = event[:0]
		progress()
		if !holdsEvent(reader) {
			if err := out.flush(); err != nil {
				return err
			}
		}
	}
}

// holdsEvent reports whether another whole event can be read without waiting.
func holdsEvent(reader *bufio.Reader) bool {
	held, err := reader.Peek(reader.Buffered())
	return err == nil && (bytes.Contains(held, []byte("\n\n")) || bytes.Contains(held, []byte("\n\r\n")))
}

// endOfEvents accepts the end of a complete answer.
func (r *Relay) endOfEvents(out *delivery, response *upstream.Answer, rest []byte, err error) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	if len(bytes.TrimSpace(rest)) > 0 {
		return io.ErrUnexpectedEOF
	}
	return out.write(response, rest)
}

// write sends the headers of the first instance before the first event.
func (d *delivery) write(response *upstream.Answer, data []byte) error {
	if !d.started {
		d.started = true
		copyAnswerHeader(d.writer.Header(), response.Header)
		d.writer.WriteHeader(response.StatusCode)
	}
	if _, err := d.writer.Write(data); err != nil {
		return &callerLeftError{cause: err}
	}
	return nil
}

// flush passes on what was written.
func (d *delivery) flush() error {
	if err := d.control.Flush(); err != nil {
		return &callerLeftError{cause: err}
	}
	return nil
}

// callerLeftError is a failure to write to the caller.
type callerLeftError struct {
	cause error
}

// Error returns the text of the cause.
func (c *callerLeftError) Error() string {
	return "writing to the caller: " + c.cause.Error()
}

// Unwrap returns the cause.
func (c *callerLeftError) Unwrap() error {
	return c.cause
}

func endsEvent(line []byte) bool {
	return len(line) == 1 || (len(line) == 2 && line[0] == '\r')
}

// eventID reads the identifier of an event.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// follows reports whether an event comes directly after the last one.
func follows(last, next string) bool {
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
