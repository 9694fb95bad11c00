package relay

import (
	"crypto/sha256"
	"net/http"
	"strconv"
	"strings"
	"time"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/catalogue"
)

// Headers names the headers of requests and answers.
type Headers struct {
	RequestID      string
	DeadlineMS     string
	ExpectInstance string
	NotRun         string
	Workspace      string
	Model          string
	Tokens         string
	Signature      string
	Priority       string
	FaultInstance  string
	ColdMS         string
	LastEventID    string
	ExpectVersion  string
	WeightVersion  string
}

// job is one request of a caller.
type job struct {
	id          string
	route       *flamingodoor.Route
	service     flamingodoor.ServiceSpec
	workspace   string
	model       string
	prompt      int // tokens
	answer      int // tokens at most
	received    time.Time
	returning   bool      // the caller comes back after a refusal
	deadline    time.Time // of the caller or the route, whichever is earlier
	held        time.Time // until when the request may wait for a place
	method      string
	uri         string
	host        string
	header      http.Header
	body        []byte
	lastEvent   string // of the caller
	fingerprint flamingodoor.Fingerprint
	urgency     int // 0 to 9, 0 first

	// What happened so far.
	sends   int             // to endpoints that may have run the request
	excused int             // sends to instances that are gone
	paid    bool            // the next send is taken from the retry budget
	begun   bool            // the caller has a part of the answer
	mayHave bool            // some endpoint may have run it
	avoid   map[string]bool // instances that failed it
	target  string          // the instance that gave the answer
	cause   string          // of the last failure
	placed  time.Time       // when it first got a place
	first   time.Time       // when the first event came
}

// sinceReceived returns the milliseconds from the request to a moment, -1 if it
// never came.
func (j *job) sinceReceived(moment time.Time) int64 {
	if moment.IsZero() {
		return -1
	}
	return moment.Sub(j.received).Milliseconds()
}

// key names what the job asks for.
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

// hop-by-hop headers, which concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}

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

// newJob reads the request. The headers that the system sets itself are
// dropped, whatever the caller sent.
func (r *Relay) newJob(request *http.Request, index *catalogue.Index, route *flamingodoor.Route, workspace *flamingodoor.Workspace, body []byte, received time.Time) *job {
	header := request.Header.Clone()
	removeHopHeaders(header)
	for _, name := range []string{
		"Authorization", r.headers.Workspace, r.headers.ExpectInstance, r.headers.Priority, r.headers.DeadlineMS,
	} {
		header.Del(name)
	}
	j := &job{
		id: request.Header.Get(r.headers.RequestID), route: route, received: received,
		method: request.Method, uri: request.RequestURI, host: request.Host, header: header, body: body,
		model: request.Header.Get(r.headers.Model), lastEvent: request.Header.Get(r.headers.LastEventID),
		urgency: route.Priority, avoid: make(map[string]bool),
	}
	if workspace != nil {
		j.workspace = workspace.Name
		header.Set(r.headers.Workspace, workspace.Name)
		if workspace.HasPriority {
			j.urgency = workspace.Priority
		}
	}
	j.service = index.Services[pickService(route, r.random())]
	j.prompt, j.answer = parseTokens(request.Header.Get(r.headers.Tokens))
	j.deadline = received.Add(route.Timeout)
	if allowed, ok := parseMilliseconds(request.Header.Get(r.headers.DeadlineMS)); ok {
		j.returning = r.returning(route.Name, allowed)
		if limit := received.Add(allowed); limit.Before(j.deadline) {
			j.deadline = limit
		}
	}
	j.held = received.Add(min(route.LatencyObjective, j.deadline.Sub(received)) / waitShare)
	j.fingerprint = fingerprint(j)
	return j
}

func fingerprint(j *job) flamingodoor.Fingerprint {
	hash := sha256.New()
	for _, part := range []string{j.method, j.host, j.uri, j.workspace, j.model} {
		hash.Write([]byte(part))
		hash.Write([]byte{0})
	}
	hash.Write(j.body)
	return flamingodoor.Fingerprint(hash.Sum(nil))
}

func pickService(route *flamingodoor.Route, random float64) string {
	total := 0
	for _, share := range route.Split {
		total += share.Weight
	}
	at := random * float64(total)
	for _, share := range route.Split {
		if at -= float64(share.Weight); at < 0 {
			return share.Service
		}
	}
	return route.Split[0].Service
}

// parseTokens reads the prompt tokens and the most answer tokens.
func parseTokens(value string) (prompt, answer int) {
	first, second, ok := strings.Cut(value, ",")
	if !ok {
		return 0, 0
	}
	prompt, err := strconv.Atoi(strings.TrimSpace(first))
	if err != nil {
		return 0, 0
	}
	answer, err = strconv.Atoi(strings.TrimSpace(second))
	if err != nil {
		return 0, 0
	}
	return prompt, answer
}

func parseMilliseconds(value string) (time.Duration, bool) {
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || number < 0 || number > float64(time.Hour/time.Millisecond) {
		return 0, false
	}
	return time.Duration(number * float64(time.Millisecond)), true
}
