package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/upstream"
)

const (
	// maxResponseBytes limits a response that is buffered in memory.
	maxResponseBytes = 8 << 20
	// minAttemptTime is the time before the deadline below which no further
	// attempt is made.
	minAttemptTime = 10 * time.Millisecond
)

const (
	// fullPause is how long this host sends no requests to an endpoint that
	// was full: about the time in which one of its slots becomes free.
	fullPause = 100 * time.Millisecond
	// misdirectedPause is longer: the endpoint is no longer the head of its
	// group, which the registrations will show soon.
	misdirectedPause = 500 * time.Millisecond
)

// pauseInstance excludes an instance from selection for the duration of the
// pause, and wakes waiting requests when it ends.
func (r *Relay) pauseInstance(dest destination, pause time.Duration) {
	now := r.now()
	r.tracker.PauseUntil(dest.instance.ID, now.Add(pause), now)
	time.AfterFunc(pause, r.tracker.Wake)
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
	outcomeDone       outcome = iota + 1 // the response is complete
	outcomeNotRun                        // the endpoint did not run the request
	outcomeFailed                        // the endpoint may have run the request
	outcomeCallerLeft                    // the caller closed its connection
)

// bufferedResponse is a complete response of an endpoint.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// serveBuffered proxies a request whose response is not a stream. It buffers the
// response before it sends any of it to the caller, so that a failed attempt can
// be retried.
func (r *Relay) serveBuffered(ctx context.Context, writer http.ResponseWriter, j *job) {
	for {
		dest, err := r.acquire(ctx, j, j.waitUntil)
		if err != nil {
			r.refuseWithoutSlot(ctx, writer, j, err)
			return
		}
		response, result := r.attempt(ctx, j, dest)
		r.tracker.Release(dest.instance.ID)
		switch {
		case result == outcomeCallerLeft:
			r.recordFinished(j, "caller_left", 0, 0)
			return
		case result == outcomeDone && (response.status < http.StatusInternalServerError || !r.mayRepeat(ctx, j)):
			r.recordFinished(j, "answered", response.status, 0)
			r.writeResponse(writer, response)
			return
		case result == outcomeDone:
			// An error response to a repeatable request is retried elsewhere.
		case !r.mayRepeat(ctx, j):
			r.respondFailed(ctx, writer, j)
			return
		}
		j.failedInstances[dest.instance.ID] = true
		j.waitUntil = r.now().Add(j.route.LatencyObjective / waitDivisor)
	}
}

// mayRepeat reports whether another attempt is allowed, and takes it from the
// retry budget if the job was sent before. The grant is kept until the job is
// sent.
func (r *Relay) mayRepeat(ctx context.Context, j *job) bool {
	now := r.now()
	if ctx.Err() != nil || j.deadline.Sub(now) < minAttemptTime {
		return false
	}
	if j.mayHaveRun && !j.repeatable() {
		return false
	}
	if j.sends == 0 {
		return true
	}
	if j.sends-j.exemptSends >= j.route.MaxAttempts {
		return false
	}
	j.retryGranted = j.retryGranted || r.retryBudget(j.service.Name).TryRetry(now)
	return j.retryGranted
}

// respondFailed sends the caller an error after the last attempt failed.
func (r *Relay) respondFailed(ctx context.Context, writer http.ResponseWriter, j *job) {
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		r.recordFinished(j, "caller_left", 0, 0)
	case !j.mayHaveRun:
		r.refuse(writer, j, http.StatusServiceUnavailable, "not_run", shortRetryAfter)
	case !r.now().Before(j.deadline):
		r.refuse(writer, j, http.StatusGatewayTimeout, "deadline", 0)
	default:
		r.refuse(writer, j, http.StatusBadGateway, "endpoint_failed", 0)
	}
}

// refuseWithoutSlot responds to a job for which acquire failed.
func (r *Relay) refuseWithoutSlot(ctx context.Context, writer http.ResponseWriter, j *job, err error) {
	delay := r.retryAfter(j)
	if j.cause == "" {
		j.cause = err.Error()
	}
	switch {
	case ctx.Err() != nil || j.mayHaveRun:
		r.respondFailed(ctx, writer, j)
	case errors.Is(err, errNoInstance):
		r.refuse(writer, j, http.StatusServiceUnavailable, "no_instance", delay)
	default:
		r.refuse(writer, j, http.StatusServiceUnavailable, "full", delay)
	}
}

// attempt sends the job to an instance and buffers the response.
func (r *Relay) attempt(ctx context.Context, j *job, dest destination) (bufferedResponse, outcome) {
	response, err := r.send(ctx, j, dest, j.lastEventID)
	if err != nil {
		return bufferedResponse{}, r.handleSendError(ctx, j, dest, err)
	}
	defer func() { _ = response.Body.Close() }()
	if r.notRun(response) {
		r.recordNotRun(j, dest, response)
		return bufferedResponse{}, outcomeNotRun
	}
	j.mayHaveRun = true
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return bufferedResponse{}, r.handleBrokenResponse(ctx, j, dest, err)
	}
	return r.checkResponse(ctx, j, dest, bufferedResponse{status: response.StatusCode, header: response.Header, body: body})
}

// checkResponse turns a response that must not reach the caller into a failure:
// an unsigned success, an encoded body, or a status that would state without
// proof that the request has not run.
func (r *Relay) checkResponse(ctx context.Context, j *job, dest destination, response bufferedResponse) (bufferedResponse, outcome) {
	signed := response.header.Get(r.headers.Signature) != ""
	switch {
	case response.status < http.StatusMultipleChoices && !signed, response.header.Get("Content-Encoding") != "":
		return response, r.handleBrokenResponse(ctx, j, dest, flamingodoor.Errorf(flamingodoor.CodeProtocol, "response has no signature or has a Content-Encoding"))
	case statusMeansNotRun(response.status):
		// Only the endpoint's NotRun header proves that the request has not run.
		return response, r.handleBrokenResponse(ctx, j, dest, flamingodoor.Errorf(flamingodoor.CodeProtocol, "status %d without proof that the request has not run", response.status))
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

// notRun reports whether the response proves that the endpoint did not run the
// request.
func (r *Relay) notRun(response *upstream.Response) bool {
	return response.StatusCode == http.StatusMisdirectedRequest || response.Header.Get(r.headers.NotRun) != ""
}

// recordNotRun logs an attempt that the endpoint did not run and pauses the
// instance.
func (r *Relay) recordNotRun(j *job, dest destination, response *upstream.Response) {
	j.cause = "not_run_" + strconv.Itoa(response.StatusCode)
	_ = level.Info(r.logger).Log("event", "attempt_not_run", "request", j.id, "instance", dest.instance.ID,
		"status", response.StatusCode, "fault_instance", response.Header.Get(r.headers.FaultInstance))
	r.pauseInstance(dest, pauseAfter(response.StatusCode))
	// Reading the short body to its end lets the connection be reused.
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBodyBytes)); err != nil {
		_ = level.Debug(r.logger).Log("event", "answer_cut", "request", j.id, "err", err)
	}
}

// send forwards the request to an instance. Headers carry the time left, the
// instance that is expected to respond and, for an engine, the priority: a stream
// that resumes has the highest.
func (r *Relay) send(ctx context.Context, j *job, dest destination, lastEventID string) (*upstream.Response, error) {
	header := j.header.Clone()
	header.Set(r.headers.ExpectInstance, dest.instance.ID)
	header.Set(r.headers.DeadlineMS, strconv.FormatInt(max(1, j.deadline.Sub(r.now()).Milliseconds()), 10))
	if lastEventID != "" {
		header.Set(r.headers.LastEventID, lastEventID)
	}
	if j.service.Engine != nil {
		priority := j.priority
		if j.responseStarted {
			priority = 0
		}
		header.Set(r.headers.Priority, strconv.Itoa(min(9, max(0, priority))))
	}
	response, err := r.pool.Do(ctx, dest.target(), upstream.Call{
		Method: j.method, URI: j.uri, Host: j.host, Header: header, Body: j.body,
		// If a reused connection turns out to be closed, it is unknown whether
		// the request has run.
		NewConnection: !j.repeatable(),
	})
	var failure *upstream.CallError
	if err == nil || (errors.As(err, &failure) && failure.Sent) {
		j.sends++
		j.retryGranted = false
	}
	return response, err
}

// handleSendError returns the outcome of an attempt that received no response. An
// instance that could not be reached is marked as lost.
func (r *Relay) handleSendError(ctx context.Context, j *job, dest destination, err error) outcome {
	var failure *upstream.CallError
	if errors.As(err, &failure) && !failure.Sent {
		j.cause = "unreachable"
		_ = level.Info(r.logger).Log("event", "attempt_unsent", "request", j.id, "instance", dest.instance.ID,
			"refused", failure.Refused, "err", err)
		if ctx.Err() == nil {
			r.markUnreachable(dest)
		}
		return r.callerLeftOr(ctx, outcomeNotRun)
	}
	j.mayHaveRun = true
	return r.handleBrokenResponse(ctx, j, dest, err)
}

// handleBrokenResponse returns the outcome of an attempt whose response is
// missing, ended early or cannot be used.
func (r *Relay) handleBrokenResponse(ctx context.Context, j *job, dest destination, err error) outcome {
	j.cause = "broken"
	_ = level.Info(r.logger).Log("event", "attempt_broken", "request", j.id, "instance", dest.instance.ID,
		"cause", context.Cause(ctx), "err", err)
	return r.callerLeftOr(ctx, outcomeFailed)
}

// callerLeftOr returns outcomeCallerLeft if the caller closed its connection,
// else the given outcome.
func (r *Relay) callerLeftOr(ctx context.Context, otherwise outcome) outcome {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return outcomeCallerLeft
	}
	return otherwise
}

// markUnreachable marks an instance as lost in the roster.
func (r *Relay) markUnreachable(dest destination) {
	now := r.now()
	r.roster.MarkLost(dest.instance.ID, dest.instance.StartedAt, now)
	r.roster.Publish(now)
}

func (r *Relay) writeResponse(writer http.ResponseWriter, response bufferedResponse) {
	header := writer.Header()
	copyResponseHeader(header, response.header)
	header.Set("Content-Length", strconv.Itoa(len(response.body)))
	writer.WriteHeader(response.status)
	_, _ = writer.Write(response.body) // the caller may have closed its connection
}

func copyResponseHeader(to, from http.Header) {
	from = from.Clone()
	removeHopHeaders(from)
	for name, values := range from {
		to[name] = values
	}
}
