package proxy

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// takeoverMemoryDivisor sets the part of a host's memory for the requests of peers
	// that it serves at a time: an eighth.
	takeoverMemoryDivisor = 8
	// takeoverBytes is the memory that a request of a peer takes beside its body, of
	// which there may be two copies. The part of an answer that is buffered may take
	// twice as much, but those are few.
	takeoverBytes = 128 << 10
	bodyCopies    = 2
	// defaultMemoryBytes is the memory of a host whose settings state none.
	defaultMemoryBytes = 160 << 20
	// maxForwardedSends bounds the number of attempts that another host states.
	maxForwardedSends = 100
	// lastWriteTime is how long after the deadline of a request its answer may still be
	// written to the host that forwarded it.
	lastWriteTime = 500 * time.Millisecond
)

// origin is what the host that forwarded a request states about it. It is zero for
// a request that the caller sent to this host.
type origin struct {
	host        string
	callerRetry bool
	counted     bool   // as a request, at another host
	streamBegun bool   // the caller has received a part of the response
	sends       int    // attempts that may have reached an instance
	ungranted   bool   // no retry budget has granted the next attempt
	version     int64  // of its configuration
	service     string // that it has chosen
}

// originOf returns what a peer states about a request that it forwards.
func originOf(header http.Header) origin {
	sends, err := strconv.Atoi(header.Get(sendsHeader))
	if err != nil {
		sends = 0
	}
	version, err := strconv.ParseInt(header.Get(versionHeader), 10, 64)
	if err != nil {
		version = 0
	}
	return origin{
		version: version, service: header.Get(serviceHeader),
		host: header.Get(forwardedByHeader), callerRetry: header.Get(callerRetryHeader) != "", counted: header.Get(countedHeader) != "",
		streamBegun: header.Get(streamBegunHeader) != "", sends: min(max(0, sends), maxForwardedSends), ungranted: header.Get(ungrantedHeader) != "",
	}
}

// takeovers counts the memory of the requests of peers that are in flight. It is safe for
// concurrent use.
type takeovers struct {
	limit int64 // bytes

	mu    sync.Mutex
	bytes int64 // that the requests take
}

// begin counts a request with a body of the given bytes, or returns false if there are
// too many.
func (t *takeovers) begin(body int64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	bytes := takeoverBytes + bodyCopies*body
	if t.bytes+bytes > t.limit {
		return false
	}
	t.bytes += bytes
	return true
}

func (t *takeovers) end(body int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bytes -= takeoverBytes + bodyCopies*body
}

// WithMemory sets the memory of the host in bytes, of which parts are for the requests
// of peers and for the bodies of callers' requests. It changes nothing if the memory is
// not known.
func WithMemory(bytes int64) Option {
	return func(p *Proxy) {
		if bytes > 0 {
			p.takeovers.limit = bytes / takeoverMemoryDivisor
			p.bodies.setMemory(bytes)
			p.responses.limit = bytes / responseMemoryDivisor
		}
	}
}

// PeerHandler returns the handler of requests that peers forward. It passes all
// others on.
func (p *Proxy) PeerHandler(others http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.Header.Get(forwardedByHeader) == "" {
			others.ServeHTTP(writer, request)
			return
		}
		p.serveForwarded(writer, request)
	})
}

// serveForwarded serves the request of a peer as if the caller had sent it to this
// host, or declines it.
func (p *Proxy) serveForwarded(writer http.ResponseWriter, request *http.Request) {
	from, id := originOf(request.Header), request.Header.Get(p.headers.RequestID)
	bytes := max(0, request.ContentLength)
	reason := p.declineReason(request, bytes)
	if reason == "" && !p.takeovers.begin(bytes) {
		reason = "taken_over_too_many"
	}
	if reason != "" {
		_ = level.Info(p.logger).Log("event", "request_declined", "request", id, "via", from.host, "reason", reason)
		p.writeDecline(writer, id)
		return
	}
	defer p.takeovers.end(bytes)
	p.forwards.takenOver.Add(1)
	_ = level.Info(p.logger).Log("event", "request_taken_over", "request", id, "via", from.host, "sends", from.sends)
	writer.Header().Set(answerHeader, answerTaken)
	p.serve(writer, request, from)
}

// declineReason returns why this host serves no requests of peers now, or "" if it
// does.
func (p *Proxy) declineReason(request *http.Request, bytes int64) string {
	current := p.configuration()
	switch {
	case request.Header.Get(forwardedToHeader) != p.hostID:
		return "other_host"
	case p.stopping.Load() && request.Header.Get(lastChoiceHeader) == "":
		return "stopping"
	case current.Index == nil || !p.partTracker.Loaded() || !p.keysConfirmed(current):
		return "not_ready"
	case p.paths.Stranded():
		return "stranded"
	case p.paths.Suspected():
		return "suspects_its_paths"
	case request.ContentLength < 0 || bytes > bodyLimit(current.Index):
		return "body"
	default:
		return ""
	}
}

// decline declines a job of a peer that another host may be able to serve.
func (p *Proxy) decline(writer http.ResponseWriter, j *job, reason string) {
	p.recordFinished(j, reason, http.StatusServiceUnavailable, 0)
	p.writeDecline(writer, j.id)
}

// writeDecline tells a peer that this host does not serve a request, which has not
// run here.
func (p *Proxy) writeDecline(writer http.ResponseWriter, id string) {
	p.forwards.turnedOff.Add(1)
	if p.stopping.Load() {
		announceClose(writer)
	}
	writer.Header().Set(answerHeader, answerDeclined)
	p.writeRefusal(writer, id, http.StatusServiceUnavailable, answerDeclined, shortRetryAfter)
}

// limitWrites ends writes to a host that is gone once the request is of no use any
// more. The returned function removes the limit from the connection.
func limitWrites(writer http.ResponseWriter, deadline time.Time) (remove func()) {
	control := http.NewResponseController(writer)
	_ = control.SetWriteDeadline(deadline.Add(lastWriteTime)) // fails only where there is no connection
	return func() { _ = control.SetWriteDeadline(time.Time{}) }
}

// takenOverWriter adds to the answer how often the request was sent.
type takenOverWriter struct {
	http.ResponseWriter

	job *job
}

// WriteHeader begins the answer.
func (w takenOverWriter) WriteHeader(status int) {
	w.Header().Set(sendsHeader, strconv.FormatInt(w.job.statedSends.Load(), 10))
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap gives http.ResponseController the writer of the server.
func (w takenOverWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}
