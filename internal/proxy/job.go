package proxy

import (
	"crypto/sha256"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/catalogue"
)

// Headers holds the names of the headers of requests and responses.
type Headers struct {
	RequestID      string
	DeadlineMS     string
	ExpectInstance string // instance for which the request is meant
	NotRun         string // set by an endpoint that did not run the request
	Workspace      string
	Model          string
	Tokens         string // prompt tokens and limit of output tokens
	PromptParts    string // parts of the prompt, of which the last is the request's own
	Signature      string // set by an endpoint on its responses
	Priority       string
	FaultInstance  string // set on responses; names the instance at fault, and is only logged
	ColdMS         string
	LastEventID    string
	ExpectVersion  string
	WeightVersion  string
	Leaving        string // set to "1" on all responses of an endpoint that is leaving
	RateLimit      string // requests a second that an endpoint in need accepts from all hosts
}

// job is a caller's authorised request and the state of its attempts.
type job struct {
	id              string
	route           *flamingodoor.Route
	service         flamingodoor.ServiceSpec
	workspace       string
	model           string
	promptTokens    int
	maxOutputTokens int
	receivedAt      time.Time
	callerRetry     bool      // the caller retries after a refusal
	deadline        time.Time // of the caller or the route, whichever is earlier
	waitUntil       time.Time // end of the wait for a slot
	method          string
	uri             string
	host            string
	header          http.Header
	body            []byte
	lastEventID     string // as sent by the caller
	fingerprint     flamingodoor.Fingerprint
	parts           []flamingodoor.PromptPart // parts of the prompt that other requests may share, and the whole request
	priority        int                       // 0 to 9, 0 is the most urgent
	authorization   string                    // credentials of the caller
	brokenPeers     []string                  // of failedPeers, those that broke off after some events
	explained       bool                      // described by an operator: decisions about it change no state
	version         int64                     // of the configuration that the route is from
	forwardedBy     string                    // host that the caller sent the request to; empty if it is this one

	// State of the attempts.
	sends           int             // attempts that may have reached an endpoint
	statedSends     *atomic.Int64   // sends of this job and its copies; nil unless forwardedBy is set
	exemptSends     int             // sends that MaxAttempts does not count: to instances that are gone, and again to one in repeatAt
	repeatAt        string          // instance whose connection transferred nothing more, until the job is sent there again; tried first
	repeated        bool            // the latest send was to the instance in repeatAt
	refusals        int             // of such sends, by a full instance
	retryGranted    bool            // the retry budget has granted the next send
	yields          bool            // to requests that can still be in time
	responseStarted bool            // the caller has received a part of the response
	mayHaveRun      bool            // an endpoint may have run the request
	suspected       bool            // an endpoint may have crashed because of the request
	failedInstances map[string]bool // not tried again
	failedPeers     map[string]bool // not tried again; nil if there is none
	declines        int             // by peers in a row
	counted         bool            // as a request, here or at another host
	unanswered      runningEntry    // of Proxy.unanswered
	target          string          // identifier of the instance that responded
	cause           string          // of the last failure
	queuedBehind    int             // requests ahead of it when it first waited for a slot; -1 if it has not
	waited          time.Duration   // for slots
	placedAt        time.Time       // first slot reserved
	predicted       time.Duration   // from the latest slot reserved to the first event; 0 if not known
	firstEventAt    time.Time       // first event received
	engineSeconds   float64         // estimated, if hedging counts it
	measuredFrom    time.Time       // start of the attempt whose time to the first event hedging measures; zero if none
	isHedge         bool            // the attempt is a hedge
	hedgeWon        bool            // it had the first event
}

// sinceReceived returns the milliseconds from the receipt of the request to the
// moment, or -1 if the moment is zero.
func (j *job) sinceReceived(moment time.Time) int64 {
	if moment.IsZero() {
		return -1
	}
	return moment.Sub(j.receivedAt).Milliseconds()
}

// copy returns a job in the same state whose attempts do not change that of this one.
// It is not called during an attempt of this job.
func (j *job) copy() job {
	other := *j
	other.unanswered = runningEntry{}
	other.failedInstances, other.failedPeers = maps.Clone(j.failedInstances), maps.Clone(j.failedPeers)
	other.brokenPeers = slices.Clone(j.brokenPeers)
	return other
}

// countSend counts an attempt that may have reached an endpoint.
func (j *job) countSend(dest destination) {
	j.countAttempt(dest)
	if j.statedSends != nil {
		j.statedSends.Add(1)
	}
}

// countAttempt counts an attempt that the job or a copy of it has under way.
func (j *job) countAttempt(dest destination) {
	j.sends++
	j.retryGranted = false
	j.repeated = dest.peer == nil && dest.instance.ID == j.repeatAt
	if j.repeated {
		j.exemptSends++
		j.repeatAt = ""
	}
}

// exhausted reports whether the job may reach no instance beyond those that it was sent
// to. A repeat after a dead connection reaches none.
func (j *job) exhausted() bool {
	return j.sends > 0 && j.sends-j.exemptSends >= j.route.MaxAttempts
}

// key returns the service and model that the job requests.
func (j *job) key() DemandKey {
	return DemandKey{Service: j.service.Name, Model: j.model}
}

// repeatable reports whether the request may run more than once.
func (j *job) repeatable() bool {
	switch j.route.Kind {
	case flamingodoor.RouteKindIdempotent:
		return true
	case flamingodoor.RouteKindStreaming:
		return j.route.Resumable
	default:
		return false
	}
}

// isStream reports whether the response is a stream.
func (j *job) isStream() bool {
	return j.route.Kind == flamingodoor.RouteKindStreaming
}

// hopHeaders are the hop-by-hop headers, which apply to a single connection, and
// others that are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

// removeHopHeaders deletes the hop-by-hop headers, including those that the
// Connection header lists.
func removeHopHeaders(header http.Header) {
	for _, line := range header.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			if name = strings.TrimSpace(name); name != "" {
				header.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

// newJob returns the job of a request. It drops the credentials and the caller's
// values of headers that only the proxy may set.
func (p *Proxy) newJob(request *http.Request, from origin, index *catalogue.Index, route *flamingodoor.Route, workspace *flamingodoor.Workspace, body []byte, received time.Time) *job {
	header := request.Header.Clone()
	removeHopHeaders(header)
	for _, name := range []string{
		"Authorization", p.headers.Workspace, p.headers.ExpectInstance, p.headers.Priority, p.headers.DeadlineMS,
	} {
		header.Del(name)
	}
	for _, name := range forwardHeaders {
		header.Del(name)
	}
	j := &job{
		id: request.Header.Get(p.headers.RequestID), route: route, receivedAt: received,
		method: request.Method, uri: request.RequestURI, host: request.Host, header: header, body: body,
		model: request.Header.Get(p.headers.Model), lastEventID: request.Header.Get(p.headers.LastEventID),
		priority: priorityOf(route, workspace), failedInstances: make(map[string]bool), queuedBehind: -1, authorization: request.Header.Get("Authorization"),
		version: index.Version, forwardedBy: from.host, sends: from.sends, counted: from.counted, responseStarted: from.streamBegun, retryGranted: !from.ungranted,
	}
	if j.forwardedBy != "" {
		j.statedSends = &atomic.Int64{}
		j.statedSends.Store(int64(j.sends))
	}
	if workspace != nil {
		j.workspace = workspace.Name
		header.Set(p.headers.Workspace, workspace.Name)
	}
	j.service = index.Services[chosenService(route, from.service, p.random())]
	j.promptTokens, j.maxOutputTokens = parseTokens(request.Header.Get(p.headers.Tokens))
	j.deadline = received.Add(route.Timeout)
	if allowed, ok := parseMilliseconds(request.Header.Get(p.headers.DeadlineMS)); ok {
		j.callerRetry = from.callerRetry || (from.host == "" && p.isCallerRetry(route.Name, allowed))
		if limit := received.Add(allowed); limit.Before(j.deadline) {
			j.deadline = limit
		}
	}
	j.waitUntil = p.lastPlacement(j)
	j.fingerprint = fingerprint(j)
	j.parts = append(promptParts(j.service.Name, request.Header.Values(p.headers.PromptParts)), wholeRequest(j.fingerprint))
	return j
}

// priorityOf returns the priority of a request. That of the workspace, which may be nil,
// takes precedence.
func priorityOf(route *flamingodoor.Route, workspace *flamingodoor.Workspace) int {
	if workspace != nil && workspace.HasPriority {
		return workspace.Priority
	}
	return route.Priority
}

// fingerprint hashes the parts of a job that identify repetitions of the same
// request.
func fingerprint(j *job) flamingodoor.Fingerprint {
	hash := sha256.New()
	for _, part := range []string{j.method, j.host, j.uri, j.workspace, j.model} {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	hash.Write(j.body)
	return flamingodoor.Fingerprint(hash.Sum(nil))
}

// chosenService returns the service that the host which forwards the request has
// chosen, if the route still leads there, or else selects one.
func chosenService(route *flamingodoor.Route, forwarded string, random float64) string {
	if leadsTo(route, forwarded) {
		return forwarded
	}
	return pickService(route, random)
}

func leadsTo(route *flamingodoor.Route, service string) bool {
	return slices.ContainsFunc(route.Split, func(share flamingodoor.SplitShare) bool { return share.Service == service })
}

// pickService selects a service by the weights of the route. `random` is a number
// from 0 to 1.
func pickService(route *flamingodoor.Route, random float64) string {
	total := 0
	for _, share := range route.Split {
		total += share.Weight
	}
	point := random * float64(total)
	for _, share := range route.Split {
		if point -= float64(share.Weight); point < 0 {
			return share.Service
		}
	}
	return route.Split[0].Service
}

// parseTokens parses "PROMPT,OUTPUT": the prompt tokens and the limit of output
// tokens. It returns zeros for a malformed value.
func parseTokens(value string) (prompt, maxOutput int) {
	first, second, ok := strings.Cut(value, ",")
	if !ok {
		return 0, 0
	}
	prompt, err := strconv.Atoi(strings.TrimSpace(first))
	if err != nil {
		return 0, 0
	}
	maxOutput, err = strconv.Atoi(strings.TrimSpace(second))
	if err != nil {
		return 0, 0
	}
	return prompt, maxOutput
}

// parseMilliseconds parses a number of milliseconds between 0 and an hour.
func parseMilliseconds(value string) (time.Duration, bool) {
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || number < 0 || number > float64(time.Hour/time.Millisecond) {
		return 0, false
	}
	return time.Duration(number * float64(time.Millisecond)), true
}
