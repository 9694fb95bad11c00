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
	// maxAnswerBytes bounds an answer that is held in memory.
	maxAnswerBytes = 8 << 20
	// leastTime is the time below which sending a request is of no use.
	leastTime = 10 * time.Millisecond
)

const (
	// fullPause is how long a full endpoint gets nothing more of this host:
	// about the time in which one of its places becomes free.
	fullPause = 100 * time.Millisecond
	// misdirectedPause is longer: the endpoint leads its group no more, which
	// the registrations show soon.
	misdirectedPause = 500 * time.Millisecond
)

// refusedBy keeps work off an instance for a while.
func (r *Relay) refusedBy(found place, length time.Duration) {
	now := r.now()
	r.tracker.Refuse(found.instance.ID, now.Add(length), now)
	time.AfterFunc(length, r.tracker.Wake)
}

func refusedPause(status int) time.Duration {
	if status == http.StatusMisdirectedRequest {
		return misdirectedPause
	}
	return fullPause
}

// outcome is how one attempt ended.
type outcome int

const (
	outcomeDone   outcome = iota + 1 // the caller has the final answer
	outcomeNotRun                    // the endpoint did not run it
	outcomeFailed                    // it may have run
	outcomeLeft                      // the caller left
)

// wholeAnswer is a complete answer of an endpoint.
type wholeAnswer struct {
	status int
	header http.Header
	body   []byte
}

// plain answers a request of a plain service. The whole answer is held before
// the caller gets any of it, so that a failed one can be repeated.
func (r *Relay) plain(ctx context.Context, writer http.ResponseWriter, j *job) {
	for {
		found, err := r.acquire(ctx, j, j.held)
		if err != nil {
			r.refuseUnplaced(ctx, writer, j, err)
			return
		}
		answer, ended := r.attempt(ctx, j, found)
		r.tracker.Release(found.instance.ID)
		switch {
		case ended == outcomeLeft:
			r.finished(j, "caller_left", 0, 0)
			return
		case ended == outcomeDone && (answer.status < http.StatusInternalServerError || !r.mayRepeat(ctx, j)):
			r.finished(j, "answered", answer.status, 0)
			r.writeAnswer(writer, answer)
			return
		case ended == outcomeDone:
			// A failed answer of a repeatable request is tried elsewhere.
		case !r.mayRepeat(ctx, j):
			r.giveUp(ctx, writer, j)
			return
		}
		j.avoid[found.instance.ID] = true
		j.held = r.now().Add(j.route.LatencyObjective / waitShare)
	}
}

// mayRepeat takes a further attempt from the limits, if they allow one. What it
// took holds until the job is sent.
func (r *Relay) mayRepeat(ctx context.Context, j *job) bool {
	now := r.now()
	if ctx.Err() != nil || j.deadline.Sub(now) < leastTime {
		return false
	}
	if j.mayHave && !j.repeatable() {
		return false
	}
	if j.sends == 0 {
		return true
	}
	if j.sends-j.excused >= j.route.MaxAttempts {
		return false
	}
	j.paid = j.paid || r.budget(j.service.Name).Retry(now)
	return j.paid
}

// giveUp gives the final answer after the last attempt failed.
func (r *Relay) giveUp(ctx context.Context, writer http.ResponseWriter, j *job) {
	switch {
	case errors.Is(context.Cause(ctx), context.Canceled):
		r.finished(j, "caller_left", 0, 0)
	case !j.mayHave:
		r.refuse(writer, j, http.StatusServiceUnavailable, "not_run", retrySoon)
	case !r.now().Before(j.deadline):
		r.refuse(writer, j, http.StatusGatewayTimeout, "deadline", 0)
	default:
		r.refuse(writer, j, http.StatusBadGateway, "endpoint_failed", 0)
	}
}

// refuseUnplaced answers a job for which no instance has room.
func (r *Relay) refuseUnplaced(ctx context.Context, writer http.ResponseWriter, j *job, err error) {
	after := r.returnAfter(j)
	if j.cause == "" {
		j.cause = err.Error()
	}
	switch {
	case ctx.Err() != nil || j.mayHave:
		r.giveUp(ctx, writer, j)
	case errors.Is(err, errNoInstance):
		r.refuse(writer, j, http.StatusServiceUnavailable, "no_instance", after)
	default:
		r.refuse(writer, j, http.StatusServiceUnavailable, "full", after)
	}
}

// attempt sends the job to an instance and reads the whole answer.
func (r *Relay) attempt(ctx context.Context, j *job, found place) (wholeAnswer, outcome) {
	response, err := r.send(ctx, j, found, j.lastEvent)
	if err != nil {
		return wholeAnswer{}, r.sendFailed(ctx, j, found, err)
	}
	defer func() { _ = response.Body.Close() }()
	if r.notRun(response) {
		r.noteNotRun(j, found, response)
		return wholeAnswer{}, outcomeNotRun
	}
	j.mayHave = true
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return wholeAnswer{}, r.broken(ctx, j, found, err)
	}
	return r.judge(ctx, j, found, wholeAnswer{status: response.StatusCode, header: response.Header, body: body})
}

// judge turns answers that must not be passed on into failures.
func (r *Relay) judge(ctx context.Context, j *job, found place, answer wholeAnswer) (wholeAnswer, outcome) {
	signed := answer.header.Get(r.headers.Signature) != ""
	switch {
	case answer.status < http.StatusMultipleChoices && !signed, answer.header.Get("Content-Encoding") != "":
		return answer, r.broken(ctx, j, found, flamingodoor.Errorf(flamingodoor.CodeProtocol, "answer without signature"))
	case promisesNotRun(answer.status):
		// Only the endpoint's own mark makes this promise true.
		return answer, r.broken(ctx, j, found, flamingodoor.Errorf(flamingodoor.CodeProtocol, "status %d without proof", answer.status))
	default:
		j.target = found.instance.ID
		return answer, outcomeDone
	}
}

// promisesNotRun reports whether callers take the status as "has not run".
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// notRun reports whether the endpoint states that it did not run the request.
func (r *Relay) notRun(response *upstream.Answer) bool {
	return response.StatusCode == http.StatusMisdirectedRequest || response.Header.Get(r.headers.NotRun) != ""
}

func (r *Relay) noteNotRun(j *job, found place, response *upstream.Answer) {
	j.cause = "not_run_" + strconv.Itoa(response.StatusCode)
	_ = level.Info(r.logger).Log("event", "attempt_not_run", "request", j.id, "instance", found.instance.ID,
		"status", response.StatusCode, "fault_instance", response.Header.Get(r.headers.FaultInstance))
	r.refusedBy(found, refusedPause(response.StatusCode))
	// The body is short; reading it keeps the connection.
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxErrorBytes)); err != nil {
		_ = level.Debug(r.logger).Log("event", "answer_cut", "request", j.id, "err", err)
	}
}

// send passes the request on. The endpoint is told how much time is left and
// which instance is meant.
func (r *Relay) send(ctx context.Context, j *job, found place, lastEvent string) (*upstream.Answer, error) {
	header := j.header.Clone()
	header.Set(r.headers.ExpectInstance, found.instance.ID)
	header.Set(r.headers.DeadlineMS, strconv.FormatInt(max(1, j.deadline.Sub(r.now()).Milliseconds()), 10))
	if lastEvent != "" {
		header.Set(r.headers.LastEventID, lastEvent)
	}
	if j.service.Engine != nil {
		urgency := j.urgency
		if j.begun {
			urgency = 0
		}
		header.Set(r.headers.Priority, strconv.Itoa(min(9, max(0, urgency))))
	}
	answer, err := r.pool.Do(ctx, found.target(), upstream.Call{
		Method: j.method, URI: j.uri, Host: j.host, Header: header, Body: j.body,
		// A kept connection that ends unseen would leave the run in doubt.
		Fresh: !j.repeatable(),
	})
	var failure *upstream.CallError
	if err == nil || (errors.As(err, &failure) && failure.Sent) {
		j.sends++
		j.paid = false
	}
	return answer, err
}

// sendFailed judges a request without any answer.
func (r *Relay) sendFailed(ctx context.Context, j *job, found place, err error) outcome {
	var failure *upstream.CallError
	if errors.As(err, &failure) && !failure.Sent {
		j.cause = "unreachable"
		_ = level.Info(r.logger).Log("event", "attempt_unsent", "request", j.id, "instance", found.instance.ID,
			"refused", failure.Refused, "err", err)
		if ctx.Err() == nil {
			r.suspect(found)
		}
		return r.leftOr(ctx, outcomeNotRun)
	}
	j.mayHave = true
	return r.broken(ctx, j, found, err)
}

// broken judges an answer that ended early or cannot be used.
func (r *Relay) broken(ctx context.Context, j *job, found place, err error) outcome {
	j.cause = "broken"
	_ = level.Info(r.logger).Log("event", "attempt_broken", "request", j.id, "instance", found.instance.ID,
		"cause", context.Cause(ctx), "err", err)
	return r.leftOr(ctx, outcomeFailed)
}

// leftOr tells a caller that left from another end.
func (r *Relay) leftOr(ctx context.Context, other outcome) outcome {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return outcomeLeft
	}
	return other
}

// suspect takes an unreachable instance out of use.
func (r *Relay) suspect(found place) {
	now := r.now()
	r.roster.MarkLost(found.instance.ID, found.instance.StartedAt, now)
	r.roster.Publish(now)
}

func (r *Relay) writeAnswer(writer http.ResponseWriter, answer wholeAnswer) {
	header := writer.Header()
	copyAnswerHeader(header, answer.header)
	header.Set("Content-Length", strconv.Itoa(len(answer.body)))
	writer.WriteHeader(answer.status)
	_, _ = writer.Write(answer.body) // the caller may have left
}

func copyAnswerHeader(to, from http.Header) {
	from = from.Clone()
	removeHopHeaders(from)
	for name, values := range from {
		to[name] = values
	}
}
