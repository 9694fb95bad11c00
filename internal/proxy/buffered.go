package proxy

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/intake"
	"flamingodoor.example/flamingodoor/internal/upstream"
)

const (
	// maxBufferedBytes limits the part of a response that is buffered before any
	// of it is sent to the caller. A longer one is streamed through, and can then
	// no longer be replaced by that of another attempt.
	maxBufferedBytes = 256 << 10
	// copyBufferBytes is the size of the pieces in which the rest of a long
	// response is passed on.
	copyBufferBytes = 32 << 10
	// minAttemptTime is the time before the deadline below which no further
	// attempt is made.
	minAttemptTime = 10 * time.Millisecond
)

const (
	// fullPause is how long this host sends no requests to an endpoint that
	// was full: about the time in which one of its slots becomes free.
	fullPause = 100 * time.Millisecond
	// misdirectedPause is how long this host sends no requests to an endpoint
	// that responded with status 421, because it is no longer the head of its
	// group. By its end the registrations are expected to show the change.
	misdirectedPause = 500 * time.Millisecond
)

// pauseInstance excludes an instance from selection for the duration of the
// pause, and wakes waiting requests when it ends.
func (p *Proxy) pauseInstance(dest destination, pause time.Duration) {
	now := p.now()
	p.tracker.PauseUntil(dest.instance.ID, now.Add(pause), now)
	time.AfterFunc(pause, p.tracker.Wake)
}

// pauseAfter returns the pause of an instance that did not run a request and
// responded with the status.
func pauseAfter(status int) time.Duration {
	if status == http.StatusMisdirectedRequest {
		return misdirectedPause
	}
	return fullPause
}

// outcome is the result of one attempt.
type outcome int

const (
	outcomeDone           outcome = iota + 1 // the response is complete
	outcomeNotRun                            // the endpoint did not run the request
	outcomeFailed                            // the endpoint may have run the request
	outcomeCallerLeft                        // the caller closed its connection
	outcomeBrokenOff                         // the response broke off after a part of it was sent to the caller
	outcomeDeadConnection                    // the connection transfers nothing more; the endpoint may have run the request and may be tried again
	outcomeFull                              // the endpoint did not run the request and may be tried again
)

// final reports whether the outcome ends the request.
func (o outcome) final() bool {
	return o == outcomeDone || o == outcomeCallerLeft || o == outcomeBrokenOff
}

// sameAgain reports whether the next attempt may be at the same destination.
func (o outcome) sameAgain() bool {
	return o == outcomeDeadConnection || o == outcomeFull
}

// bufferedResponse is a response of an endpoint.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte        // the first part if there is a rest
	rest   io.ReadCloser // what follows the body; nil if the body is complete
	length int64         // of the whole response; -1 if it is not known
	room   *responseRoom // that the body takes
}

// discard ends a response that does not reach the caller, or has reached it.
func (b bufferedResponse) discard() {
	b.room.free()
	if b.rest != nil {
		_ = b.rest.Close() // ends the work at the endpoint
	}
}

// serveBuffered proxies a request whose response is not a stream. It buffers the
// response before it sends any of it to the caller, so that a failed attempt can
// be retried.
func (p *Proxy) serveBuffered(ctx context.Context, writer http.ResponseWriter, j *job) {
	for {
		dest, err := p.acquire(ctx, j, j.waitUntil)
		if err != nil {
			p.refuseWithoutSlot(ctx, writer, j, err)
			return
		}
		response, result := p.attempt(ctx, j, dest)
		p.release(j, dest)
		switch {
		case result == outcomeCallerLeft:
			p.abortLeft(j, 0)
		case result == outcomeDone && (dest.peer != nil || response.status < http.StatusInternalServerError || !p.mayRepeat(ctx, j)):
			p.deliver(ctx, writer, j, dest, response)
			return
		case result == outcomeDone:
			// An error response to a repeatable request is retried elsewhere.
			response.discard()
		case !p.mayRepeat(ctx, j):
			p.respondFailed(ctx, writer, j)
			return
		}
		wait := j.route.LatencyObjective / waitDivisor
		if result == outcomeFull {
			wait = max(wait, 2*fullPause) // the instance is paused meanwhile
		}
		if !result.sameAgain() {
			j.exclude(dest)
		}
		j.waitUntil = p.now().Add(wait)
	}
}

// respondFailed sends the caller an error after the last attempt failed.
func (p *Proxy) respondFailed(ctx context.Context, writer http.ResponseWriter, j *job) {
	stopping := errors.Is(context.Cause(ctx), errStopping)
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		p.abortLeft(j, 0)
	case stopping && j.forwardedBy != "" && !j.mayHaveRun:
		p.decline(writer, j, "stopping")
	case stopping && j.forwardedBy != "" && j.repeatable():
		// The host that forwarded the request can repeat it at another.
		p.recordFinished(j, "stopping", 0, 0)
		panic(http.ErrAbortHandler)
	case !j.mayHaveRun:
		p.refuse(writer, j, http.StatusServiceUnavailable, "not_run", p.retryAfterOr(j, shortRetryAfter))
	case stopping:
		p.refuse(writer, j, http.StatusGatewayTimeout, "stopping", 0)
	case !p.now().Before(j.deadline):
		p.refuse(writer, j, http.StatusGatewayTimeout, "deadline", 0)
	default:
		p.refuse(writer, j, http.StatusBadGateway, "endpoint_failed", 0)
	}
}

// refuseWithoutSlot responds to a job for which acquire failed.
func (p *Proxy) refuseWithoutSlot(ctx context.Context, writer http.ResponseWriter, j *job, err error) {
	delay := p.retryAfter(j)
	if j.cause == "" {
		j.cause = err.Error()
	}
	switch {
	case ctx.Err() != nil || j.mayHaveRun:
		p.respondFailed(ctx, writer, j)
	case errors.Is(err, errNoRetry) && j.forwardedBy != "":
		p.decline(writer, j, "no_retry")
	case errors.Is(err, errNoRetry):
		p.respondFailed(ctx, writer, j)
	case errors.Is(err, errPartBlocked):
		p.refuse(writer, j, http.StatusServiceUnavailable, cmp.Or(p.blockedReason(j, p.now()), partBlockedReason), 0)
	case errors.Is(err, errNoPath) && j.forwardedBy != "":
		p.decline(writer, j, "no_path")
	default:
		p.refuse(writer, j, http.StatusServiceUnavailable, noSlotReason(err), delay)
	}
}

// noSlotReason returns the reason in the refusal of a job that got no slot.
func noSlotReason(err error) string {
	switch {
	case errors.Is(err, errNoPath):
		return "no_path"
	case errors.Is(err, errNoInstance):
		return "no_instance"
	default:
		return "full"
	}
}

// attempt sends the job to an instance, or to a peer, and buffers the response.
func (p *Proxy) attempt(ctx context.Context, j *job, dest destination) (bufferedResponse, outcome) {
	if dest.peer != nil {
		return p.attemptAtPeer(ctx, j, *dest.peer)
	}
	if j.repeatable() {
		var cancel context.CancelCauseFunc
		ctx, cancel = context.WithCancelCause(ctx)
		p.awaitResponse(j, cancel)
	}
	sendsBefore := j.sends
	response, err := p.send(ctx, j, dest, j.lastEventID)
	p.unanswered.remove(&j.unanswered)
	if err != nil {
		if j.sends > sendsBefore && !onDeadConnection(err) {
			p.reportUnbegun(ctx, j, dest)
		}
		return bufferedResponse{}, p.handleSendError(ctx, j, dest, err)
	}
	if p.notRun(response) {
		defer func() { _ = response.Body.Close() }()
		return bufferedResponse{}, p.recordNotRun(j, dest, response)
	}
	j.mayHaveRun = true
	buffered, err := p.bufferResponse(response)
	if err != nil {
		p.reportUnbegun(ctx, j, dest)
		return bufferedResponse{}, p.handleBrokenResponse(ctx, j, dest, err)
	}
	checked, result := p.checkResponse(ctx, j, dest, buffered)
	if result != outcomeDone {
		checked.discard()
		return checked, result
	}
	if checked.status < http.StatusMultipleChoices {
		p.reportBegun(j) // an error says nothing about the prompt
	}
	return checked, result
}

// checkResponse turns a response that must not reach the caller into a failure:
// an unsigned success, an encoded body, or a status that would state without
// proof that the request has not run.
func (p *Proxy) checkResponse(ctx context.Context, j *job, dest destination, response bufferedResponse) (bufferedResponse, outcome) {
	signed := response.header.Get(p.headers.Signature) != ""
	switch {
	case response.status < http.StatusMultipleChoices && !signed, response.header.Get("Content-Encoding") != "":
		return response, p.handleBrokenResponse(ctx, j, dest, flamingodoor.Errorf(flamingodoor.CodeProtocol, "response has no signature or has a Content-Encoding"))
	case statusMeansNotRun(response.status):
		// The NotRun header, with which the endpoint would prove this, is missing.
		return response, p.handleBrokenResponse(ctx, j, dest, flamingodoor.Errorf(flamingodoor.CodeProtocol, "status %d without proof that the request has not run", response.status))
	default:
		j.target = dest.instance.ID
		return response, outcomeDone
	}
}

// statusMeansNotRun reports whether callers conclude from the status that the
// request has not run.
func statusMeansNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// notRun reports whether the response proves, by the NotRun header or by status
// 421, that the endpoint did not run the request.
func (p *Proxy) notRun(response *upstream.Response) bool {
	return response.StatusCode == http.StatusMisdirectedRequest || response.Header.Get(p.headers.NotRun) != ""
}

// recordNotRun logs an attempt that the endpoint did not run, pauses the instance and
// returns the outcome. A repeat after a dead connection that a full instance refuses is
// tried again, as often as the route allows instances: the caller cannot be told that the
// request has not run, and there may be no other instance.
func (p *Proxy) recordNotRun(j *job, dest destination, response *upstream.Response) outcome {
	j.cause = "not_run_" + strconv.Itoa(response.StatusCode)
	_ = level.Info(p.logger).Log("event", "attempt_not_run", "request", j.id, "instance", dest.instance.ID,
		"status", response.StatusCode, "fault_instance", response.Header.Get(p.headers.FaultInstance))
	p.pauseInstance(dest, pauseAfter(response.StatusCode))
	// Reading the short body to its end lets the connection be reused.
	if err := intake.Discard(response.Body, maxDiscardedBytes); err != nil {
		_ = level.Debug(p.logger).Log("event", "answer_cut", "request", j.id, "err", err)
	}
	if response.StatusCode == http.StatusMisdirectedRequest || !j.repeated || j.refusals >= j.route.MaxAttempts {
		return outcomeNotRun
	}
	j.refusals++
	j.repeatAt = dest.instance.ID
	return outcomeFull
}

// send forwards the request to an instance. Headers carry the time left, the
// instance that is expected to respond and, for an engine, the priority: a stream
// that resumes has the highest.
func (p *Proxy) send(ctx context.Context, j *job, dest destination, lastEventID string) (*upstream.Response, error) {
	header := j.header.Clone()
	header.Set(p.headers.ExpectInstance, dest.instance.ID)
	header.Set(p.headers.DeadlineMS, strconv.FormatInt(max(1, j.deadline.Sub(p.now()).Milliseconds()), 10))
	if lastEventID != "" {
		header.Set(p.headers.LastEventID, lastEventID)
	}
	if j.service.Engine != nil {
		priority := j.priority
		if j.responseStarted {
			priority = 0
		}
		header.Set(p.headers.Priority, strconv.Itoa(min(9, max(0, priority))))
	}
	sentAt := p.now()
	suspectAt := time.Time{}
	if j.repeatable() {
		suspectAt = p.responseTimes.suspectAt(j, sentAt)
	}
	response, err := p.pool.Do(ctx, dest.target(), upstream.Call{
		Method: j.method, URI: j.uri, Host: j.host, Header: header, Body: j.body,
		// If a reused connection turns out to be closed, it is unknown whether
		// the request has run. A repeat has few attempts left for that.
		NewConnection: !j.repeatable() || j.sends > 0 || p.paths.Stranded(), SuspectAt: suspectAt,
		OnHead: func(status int, header http.Header) { p.observeHead(dest.instance, status, header) },
	})
	if err == nil {
		p.observeResponse(dest.instance, sentAt, response)
		if response.StatusCode < http.StatusMultipleChoices {
			p.responseTimes.add(j, p.now().Sub(sentAt))
		}
	}
	var failure *upstream.CallError
	if err == nil || (errors.As(err, &failure) && failure.Sent) {
		j.countSend(dest)
	}
	return response, err
}

// handleSendError returns the outcome of an attempt that received no response. An
// instance that could not be reached gets nothing more from this host for a while.
func (p *Proxy) handleSendError(ctx context.Context, j *job, dest destination, err error) outcome {
	var failure *upstream.CallError
	if errors.As(err, &failure) && !failure.Sent {
		j.cause = "unreachable"
		_ = level.Info(p.logger).Log("event", "attempt_unsent", "request", j.id, "instance", dest.instance.ID,
			"refused", failure.Refused, "err", err)
		if ctx.Err() == nil {
			p.markUnreachable(dest)
		}
		return p.callerLeftOr(ctx, outcomeNotRun)
	}
	j.mayHaveRun = true
	if onDeadConnection(err) {
		return p.recordDeadConnection(ctx, j, dest, err)
	}
	return p.handleBrokenResponse(ctx, j, dest, err)
}

// onDeadConnection reports whether an attempt failed because its connection, which was
// used before, transfers nothing more. That says nothing about the instance.
func onDeadConnection(err error) bool {
	var failure *upstream.CallError
	if errors.As(err, &failure) {
		return failure.Dead
	}
	return upstream.TimedOut(err)
}

// recordDeadConnection logs an attempt on a connection that transfers nothing more.
func (p *Proxy) recordDeadConnection(ctx context.Context, j *job, dest destination, err error) outcome {
	j.cause = "dead_connection"
	if !upstream.TimedOut(err) {
		j.repeatAt = dest.instance.ID // it answers on other connections
	}
	_ = level.Info(p.logger).Log("event", "connection_dead", "request", j.id, "instance", dest.instance.ID, "err", err)
	return p.callerLeftOr(ctx, outcomeDeadConnection)
}

// handleBrokenResponse returns the outcome of an attempt whose response is
// missing, ended early or cannot be used.
func (p *Proxy) handleBrokenResponse(ctx context.Context, j *job, dest destination, err error) outcome {
	j.cause = "broken"
	_ = level.Info(p.logger).Log("event", "attempt_broken", "request", j.id, "fingerprint", j.wholeRequestName(), "instance", dest.instance.ID,
		"cause", context.Cause(ctx), "err", err)
	if context.Cause(ctx) == nil && isConnectionError(err) {
		p.paths.Failed(dest.instance, p.now())
	}
	return p.callerLeftOr(ctx, outcomeFailed)
}

// callerLeftOr returns outcomeCallerLeft if the caller closed its connection,
// else the given outcome.
func (p *Proxy) callerLeftOr(ctx context.Context, otherwise outcome) outcome {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return outcomeCallerLeft
	}
	return otherwise
}

// markUnreachable makes this host send nothing more to an instance for a while.
func (p *Proxy) markUnreachable(dest destination) {
	now := p.now()
	p.paths.Failed(dest.instance, now)
	p.roster.MarkUnreachable(dest.instance.ID, dest.instance.StartedAt, now)
	p.roster.Publish(now)
}

// isConnectionError reports whether a call failed because its connection broke.
// Errors with a code of their own are about what the endpoint sent.
func isConnectionError(err error) bool {
	return flamingodoor.CodeOf(err) == flamingodoor.CodeInternal
}

// deliver sends a response to the caller. It streams what is not buffered, and
// closes the caller's connection if that breaks off, so that the response does
// not look complete.
func (p *Proxy) deliver(ctx context.Context, writer http.ResponseWriter, j *job, dest destination, response bufferedResponse) {
	err := writeResponse(writer, response)
	if err == nil {
		p.recordFinished(j, "answered", response.status, 0)
		return
	}
	j.cause = err.Error()
	_ = level.Info(p.logger).Log("event", "answer_broken_off", "request", j.id, "instance", j.target, "cause", context.Cause(ctx), "err", err)
	if dest.peer == nil && context.Cause(ctx) == nil && isConnectionError(err) {
		p.crashTracker.ReportCrash(ctx, j.fingerprint, dest.instance.ID)
	}
	p.recordFinished(j, "broken_off", response.status, 0)
	panic(http.ErrAbortHandler)
}

// writeResponse writes a response. Its error is that of reading the rest: the
// caller may have closed its connection, which is no failure.
func writeResponse(writer http.ResponseWriter, response bufferedResponse) error {
	defer response.discard()
	header := writer.Header()
	copyResponseHeader(header, response.header)
	switch {
	case response.rest == nil:
		header.Set("Content-Length", strconv.Itoa(len(response.body)))
	case response.length >= 0:
		header.Set("Content-Length", strconv.FormatInt(response.length, 10))
	default:
		header.Del("Content-Length")
	}
	writer.WriteHeader(response.status)
	_, writeErr := writer.Write(response.body)
	if response.rest == nil {
		return nil
	}
	buffer := make([]byte, copyBufferBytes)
	for writeErr == nil {
		count, err := response.rest.Read(buffer)
		_, writeErr = writer.Write(buffer[:count])
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func copyResponseHeader(to, from http.Header) {
	from = from.Clone()
	removeHopHeaders(from)
	from.Del(answerHeader)
	from.Del(sendsHeader)
	for name, values := range from {
		to[name] = values
	}
}
