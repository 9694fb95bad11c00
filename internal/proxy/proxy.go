// Package proxy forwards callers' requests: it finds the route, selects an
// instance, sends it the request and returns the response. It retries a request
// only if the route allows it to run more than once, or if it has not run.
package proxy

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/time/rate"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/admission"
	"flamingodoor.example/flamingodoor/internal/allowance"
	"flamingodoor.example/flamingodoor/internal/balance"
	"flamingodoor.example/flamingodoor/internal/catalogue"
	"flamingodoor.example/flamingodoor/internal/cold"
	"flamingodoor.example/flamingodoor/internal/roster"
	"flamingodoor.example/flamingodoor/internal/share"
	"flamingodoor.example/flamingodoor/internal/stall"
	"flamingodoor.example/flamingodoor/internal/upstream"
	"flamingodoor.example/flamingodoor/internal/uptime"
)

const (
	// waitDivisor sets the longest wait for a slot: an eighth of the latency
	// objective, which leaves a refused caller time for a retry.
	waitDivisor = 8
	// defaultApplyWithin is Limits.ApplyWithin where it is not set.
	defaultApplyWithin = 2 * time.Second
	// revokeMargin is subtracted from Limits.RevokeWithin to cover the time
	// that an authorised request takes to reach its endpoint.
	revokeMargin = 700 * time.Millisecond
	// retryDeadlineRatio is the fraction of a route's longest deadline below
	// which a request counts as a caller's retry. The deadlines of other
	// requests differ by about a sixth.
	retryDeadlineRatio = 0.82
	// defaultBodyBytes limits a request body where operators set no limit.
	defaultBodyBytes = 4 << 20
	// maxDiscardedBytes limits the body of a response that is read only so that
	// the connection can be used again.
	maxDiscardedBytes = 64 << 10
	// limitWarningInterval is the shortest time between two warnings of rate limits
	// that cannot be followed.
	limitWarningInterval = time.Second
)

// Limits apply to all entry hosts together.
type Limits struct {
	RevokeWithin time.Duration // until a revoked key is no longer accepted
	// ApplyWithin is the age of the configuration from which requests with an unknown
	// key or route get status 503 instead of 401 or 404, because the key or route may
	// have been added since.
	ApplyWithin time.Duration
	RetryRatio  float64 // retries per request
	RetryBurst  float64 // retries allowed in 10 s beyond the ratio
}

// Proxy is the HTTP handler of callers' requests. It is safe for concurrent
// use.
type Proxy struct {
	headers         Headers
	limits          atomic.Pointer[Limits]
	localDataCentre string
	catalogue       *catalogue.Cache
	roster          *roster.Roster
	tracker         *balance.Tracker
	pool            *upstream.Pool
	monitor         *stall.Monitor
	crashTracker    flamingodoor.CrashTracker
	partTracker     flamingodoor.PartTracker
	paths           flamingodoor.PathState
	peers           flamingodoor.PeerSelector
	peerPool        *upstream.Pool
	takeovers       takeovers
	bodies          bodies
	responses       responses
	forwards        forwardCounts
	hostID          string
	unbegun         unbegunAttempts
	demand          *Demand
	observer        Observer
	onLeaving       func(instanceID string, startedAt time.Time)
	// configurationConfirmed reports whether no peer has a newer configuration.
	configurationConfirmed func() bool
	onLimited              func()
	logger                 log.Logger
	now                    func() time.Time
	uptime                 func() time.Time // of confirmations
	random                 func() float64

	firstStart  bool // no host has run before
	burst       admission.Burst
	hostCount   atomic.Int64                          // entry hosts that share the limits; 0 if not known
	sharersSet  atomic.Bool                           // SetSharers was called
	reportDelay atomic.Int64                          // nanoseconds until all hosts know the requests in flight of one
	fleetDemand atomic.Pointer[map[DemandKey]float64] // of all hosts; nil until it is known
	slotPhase   float64                               // rounds this host's limits of slots
	stopping    atomic.Bool
	received    atomic.Bool // a request
	requests    running     // in flight
	unanswered  running     // attempts at instances that may be repeated
	inFlight    sync.WaitGroup

	mu               sync.Mutex
	budgets          map[string]*admission.RetryBudget // by service
	longestDeadlines map[string]time.Duration          // longest deadline of callers, by route
	divider          *share.Divider
	cold             *cold.Limiter
	holds            *balance.Holds
	allowances       *allowance.Book
	limitWarnings    rate.Sometimes
	slotReports      rate.Sometimes
	answerTimes      *answerTimes
	queues           *queues
	arrivalRates     *arrivalRates
	responseTimes    *responseTimes
	firstEventTimes  *responseTimes // from the send to the first event of streams
	hedges           *hedges        // nil if hedging is off
	roundTrips       *balance.RoundTrips
}

// Observer records metrics of requests.
type Observer interface {
	// RequestFinished counts a request by its result.
	RequestFinished(workspace, result string)
	// FirstToken records the time to the first event of a stream.
	FirstToken(workspace string, elapsed time.Duration)
}

// Option changes a setting of a Proxy.
type Option func(*Proxy)

// WithClock replaces time.Now.
func WithClock(now func() time.Time) Option {
	return func(p *Proxy) { p.now, p.uptime = now, now }
}

// WithUptime replaces uptime.Now.
func WithUptime(now func() time.Time) Option {
	return func(p *Proxy) { p.uptime = now }
}

// WithObserver sets the observer; by default metrics are discarded.
func WithObserver(observer Observer) Option {
	return func(p *Proxy) { p.observer = observer }
}

// WithLeavingListener sets the function that is called when this host is the
// first to see that a process of an instance is leaving.
func WithLeavingListener(onLeaving func(instanceID string, startedAt time.Time)) Option {
	return func(p *Proxy) { p.onLeaving = onLeaving }
}

// WithLimitListener sets the function that is called when an instance states a rate
// limit that the other hosts must know at once.
func WithLimitListener(onLimited func()) Option {
	return func(p *Proxy) { p.onLimited = onLimited }
}

// WithConfigurationCheck sets the function that reports whether no peer is known to have
// a newer configuration. Without it, none is.
func WithConfigurationCheck(confirmed func() bool) Option {
	return func(p *Proxy) { p.configurationConfirmed = confirmed }
}

// WithFirstStart states that no host has run before. If this host is the only one, it uses
// its part of the retry burst from the start on.
func WithFirstStart(first bool) Option {
	return func(p *Proxy) { p.firstStart = first }
}

// Parts are the dependencies and settings of a Proxy.
type Parts struct {
	Headers      Headers
	Limits       Limits
	HostID       string
	DataCentre   string
	Catalogue    *catalogue.Cache
	Roster       *roster.Roster
	Tracker      *balance.Tracker
	Pool         *upstream.Pool
	Monitor      *stall.Monitor
	CrashTracker flamingodoor.CrashTracker
	PartTracker  flamingodoor.PartTracker
	Paths        flamingodoor.PathState
	PeerPool     *upstream.Pool // to other entry hosts
	Demand       *Demand
	Logger       log.Logger
}

// New returns a proxy. Until SetHosts is called, and for the window of the retry budget after
// a start that is not the first, it makes no retries beyond the ratio to its requests. Until
// SetHosts is called, it sends no requests to cold instances of services with a ColdRate or
// to instances that stated a rate limit.
func New(parts Parts, options ...Option) *Proxy {
	divider := share.NewDivider(parts.HostID)
	p := &Proxy{
		headers: parts.Headers, localDataCentre: parts.DataCentre, catalogue: parts.Catalogue,
		roster: parts.Roster, tracker: parts.Tracker, pool: parts.Pool, monitor: parts.Monitor,
		crashTracker: parts.CrashTracker, partTracker: parts.PartTracker, paths: parts.Paths, peers: noPeers{}, peerPool: parts.PeerPool, hostID: parts.HostID, demand: parts.Demand, logger: parts.Logger,
		unbegun:  unbegunAttempts{attempts: make(map[*unbegunAttempt]struct{})},
		observer: noObserver{}, onLeaving: func(string, time.Time) {}, configurationConfirmed: func() bool { return true }, onLimited: func() {}, now: time.Now, uptime: uptime.Now, random: rand.Float64,
		budgets: make(map[string]*admission.RetryBudget), longestDeadlines: make(map[string]time.Duration), divider: divider, cold: cold.NewLimiter(divider), holds: balance.NewHolds(), allowances: allowance.NewBook(divider), queues: newQueues(), answerTimes: newAnswerTimes(), arrivalRates: newArrivalRates(), responseTimes: newResponseTimes(), firstEventTimes: newResponseTimes(), roundTrips: balance.NewRoundTrips(),
		limitWarnings: rate.Sometimes{First: 1, Interval: limitWarningInterval}, slotReports: rate.Sometimes{First: 1, Interval: time.Second},
	}
	p.takeovers.limit = defaultMemoryBytes / takeoverMemoryDivisor
	p.bodies.setMemory(defaultMemoryBytes)
	p.responses.limit = defaultMemoryBytes / responseMemoryDivisor
	for _, option := range options {
		option(p)
	}
	p.slotPhase = p.random()
	p.limits.Store(&parts.Limits)
	if !p.firstStart {
		p.burst.SetPart(0, p.now())
	}
	return p
}

type noObserver struct{}

func (noObserver) RequestFinished(string, string)   {}
func (noObserver) FirstToken(string, time.Duration) {}

// SetLimits replaces the limits. The ratios of existing retry budgets stay.
func (p *Proxy) SetLimits(limits Limits) {
	p.limits.Store(&limits)
	p.divideBurst()
}

// SetHosts sets the entry hosts among which the limits are divided, and how long
// the number of requests in flight at one host takes to reach all others.
func (p *Proxy) SetHosts(hosts []string, reportDelay time.Duration) {
	p.reportDelay.Store(int64(reportDelay))
	if !p.sharersSet.Load() {
		p.divider.SetHosts(hosts)
	}
	count := max(1, len(hosts))
	before := p.hostCount.Swap(int64(count))
	if before == int64(count) {
		return
	}
	if before == 0 && count > 1 && p.firstStart {
		p.burst.SetPart(0, p.now()) // a host that is alone may have used the burst
	}
	p.divideBurst()
}

// SetFleetDemand sets the demand for each model at all hosts, in engine seconds per second.
func (p *Proxy) SetFleetDemand(rates map[DemandKey]float64) {
	p.fleetDemand.Store(&rates)
}

// SetSharers sets those of the entry hosts among which the limits on instances are
// divided, and whether this host uses its part. Until it is called, these are the hosts
// of SetHosts.
func (p *Proxy) SetSharers(sharers []string, own bool) {
	p.sharersSet.Store(true)
	p.divider.SetIdle(!own)
	p.divider.SetHosts(sharers)
}

// budgetSafetyFactor reduces this host's part of the retry limits, because hosts
// may disagree on the number of hosts.
const budgetSafetyFactor = 0.8

// divideBurst divides the retry burst among the current hosts, once they are known.
func (p *Proxy) divideBurst() {
	if hosts := p.hostCount.Load(); hosts > 0 {
		p.burst.SetPart(int(budgetSafetyFactor*p.limits.Load().RetryBurst/float64(hosts)), p.now())
	}
}

func (p *Proxy) retryBudget(service string) *admission.RetryBudget {
	p.mu.Lock()
	defer p.mu.Unlock()
	budget, ok := p.budgets[service]
	if !ok {
		budget = admission.NewRetryBudget(budgetSafetyFactor*p.limits.Load().RetryRatio, 0)
		p.budgets[service] = budget
	}
	return budget
}

// isCallerRetry reports whether a request counts as a caller's retry after a
// refusal: it allows clearly less time than the longest seen on the route, which
// isCallerRetry also records.
func (p *Proxy) isCallerRetry(route string, allowed time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.longestDeadlines[route] = max(p.longestDeadlines[route], allowed)
	return float64(allowed) < retryDeadlineRatio*float64(p.longestDeadlines[route])
}

// Stop makes Ready return false and closes each caller's connection after its
// next response, so that callers connect to other hosts. Requests are still
// served.
func (p *Proxy) Stop() {
	p.stopping.Store(true)
}

// errStopping is the cause of requests that end because this host stops.
var errStopping = flamingodoor.Errorf(flamingodoor.CodeStopping, "this host stops")

// EndRequests answers the requests in flight now: this host stops before the
// endpoints have answered them. Streams that have begun break off.
func (p *Proxy) EndRequests() {
	p.requests.end(errStopping)
}

// RequestsReceived reports whether this host has received a request, also one that it
// refused.
func (p *Proxy) RequestsReceived() bool {
	return p.received.Load()
}

// Ready reports whether this host has loaded the configuration, the blocked
// parts and the registrations, may still accept keys, and is not stopping.
func (p *Proxy) Ready() bool {
	current := p.configuration()
	return current.Index != nil && p.partTracker.Loaded() && p.roster.Loaded() && p.keysConfirmed(current) && !p.stopping.Load()
}

// ServeHTTP authorises a request and proxies it to an instance, or to a peer if
// this host reaches none.
func (p *Proxy) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	p.serve(writer, request, origin{})
}

// serve serves a request of a caller, which may have come through another host.
func (p *Proxy) serve(writer http.ResponseWriter, request *http.Request, from origin) {
	p.inFlight.Add(1)
	defer p.inFlight.Done()
	received := p.now()
	if !p.received.Load() {
		p.received.Store(true) // not each time: all processors share it
	}
	if p.stopping.Load() {
		announceClose(writer)
	}
	current := p.configuration()
	index := current.Index
	if index == nil || !p.partTracker.Loaded() {
		p.reject(writer, request, http.StatusServiceUnavailable, "no_configuration", shortRetryAfter)
		return
	}
	if request.Header.Get(p.headers.RequestID) == "" {
		p.reject(writer, request, http.StatusBadRequest, "no_request_id", 0)
		return
	}
	route, workspace, status, reason := p.authorise(current, request)
	if index.Version < from.version && (status != 0 || !leadsTo(route, from.service)) {
		// The host that forwards the request has accepted it by a newer configuration.
		p.writeDecline(writer, request.Header.Get(p.headers.RequestID))
		return
	}
	if status != 0 {
		p.reject(writer, request, status, reason, shortRetryAfter)
		return
	}
	body, release, err := p.readBody(writer, request, from, index)
	if err != nil {
		p.rejectBody(writer, request, err)
		return
	}
	defer release()
	j := p.newJob(request, from, index, route, workspace, body, received)
	if reason := p.blockedReason(j, received); reason != "" {
		p.refuse(writer, j, http.StatusServiceUnavailable, reason, 0)
		return
	}
	ctx, end := context.WithCancelCause(request.Context())
	defer end(nil)
	entry := &runningEntry{}
	p.requests.add(entry, end)
	defer p.requests.remove(entry)
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	writer = closingWriter{ResponseWriter: writer, stopping: &p.stopping}
	if j.forwardedBy != "" {
		defer limitWrites(writer, j.deadline)()
		writer = takenOverWriter{ResponseWriter: writer, job: j}
	}
	if route.Kind == flamingodoor.RouteKindStreaming {
		p.serveStream(ctx, writer, j)
		return
	}
	p.serveBuffered(ctx, writer, j)
}

// bodyLimit returns the operators' limit for request bodies, or the default if
// they set none.
func bodyLimit(index *catalogue.Index) int64 {
	if index.Limits.BodyBytes > 0 {
		return index.Limits.BodyBytes
	}
	return defaultBodyBytes
}

// rejectBody responds to a request whose body cannot be read, or for which there is no room.
func (p *Proxy) rejectBody(writer http.ResponseWriter, request *http.Request, err error) {
	var large *http.MaxBytesError
	switch {
	case errors.Is(err, errBodiesFull):
		p.reject(writer, request, http.StatusServiceUnavailable, "bodies_full", shortRetryAfter)
		return
	case errors.As(err, &large):
		p.reject(writer, request, http.StatusRequestEntityTooLarge, "body_too_large", 0)
		return
	}
	p.reject(writer, request, http.StatusBadRequest, "body_unreadable", 0)
}

// reject responds to a request for which no job was created.
func (p *Proxy) reject(writer http.ResponseWriter, request *http.Request, status int, reason string, retryAfter time.Duration) {
	id := request.Header.Get(p.headers.RequestID)
	p.observer.RequestFinished("", reason)
	_ = level.Info(p.logger).Log("event", "rejected", "request", id, "status", status, "reason", reason,
		"config_age_ms", p.uptime().Sub(p.catalogue.Confirmed()).Milliseconds())
	p.writeRefusal(writer, id, status, reason, retryAfter)
}

// refuse responds with an error to a job for which no endpoint's response can be
// forwarded.
func (p *Proxy) refuse(writer http.ResponseWriter, j *job, status int, reason string, retryAfter time.Duration) {
	p.recordFinished(j, reason, status, 0)
	p.writeRefusal(writer, j.id, status, reason, retryAfter)
}

// writeRefusal writes an error response. It sets Retry-After only with the
// statuses that invite a retry.
func (p *Proxy) writeRefusal(writer http.ResponseWriter, id string, status int, reason string, retryAfter time.Duration) {
	header := writer.Header()
	if id != "" {
		header.Set(p.headers.RequestID, id)
	}
	if retryAfter > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64))
	}
	header.Set("Content-Type", "application/json")
	body := []byte(`{"error":` + strconv.Quote(reason) + `}`)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(status)
	_, _ = bytes.NewReader(body).WriteTo(writer)
}

// recordFinished counts and logs the result of a job.
func (p *Proxy) recordFinished(j *job, result string, status, events int) {
	p.observer.RequestFinished(j.workspace, result)
	now := p.now()
	_ = level.Info(p.logger).Log("event", "request", "request", j.id, "route", j.route.Name, "workspace", j.workspace,
		"model", j.model, "result", result, "status", status, "instance", j.target, "sends", j.sends,
		"may_have_run", j.mayHaveRun, "events", events, "cause", j.cause,
		"waited_ms", j.waited.Milliseconds(), "queue", max(0, j.queuedBehind), "placed_ms", j.sinceReceived(j.placedAt), "first_ms", j.sinceReceived(j.firstEventAt), "took_ms", now.Sub(j.receivedAt).Milliseconds(), "objective_ms", j.route.LatencyObjective.Milliseconds(), "left_ms", j.deadline.Sub(now).Milliseconds(),
		"predicted_ms", j.predicted.Milliseconds(), "config", p.catalogue.Index().Version)
}

// Wait blocks until no request is in flight.
func (p *Proxy) Wait() {
	p.inFlight.Wait()
}
