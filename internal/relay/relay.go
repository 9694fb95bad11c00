// Package relay answers callers: it finds the route, chooses an instance,
// passes the request on and the answer back, and repeats only what may be
// repeated.
package relay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/admission"
	"flamingodoor.example/flamingodoor/internal/balance"
	"flamingodoor.example/flamingodoor/internal/catalogue"
	"flamingodoor.example/flamingodoor/internal/cold"
	"flamingodoor.example/flamingodoor/internal/roster"
	"flamingodoor.example/flamingodoor/internal/share"
	"flamingodoor.example/flamingodoor/internal/stall"
	"flamingodoor.example/flamingodoor/internal/upstream"
)

const (
	// waitShare is the part of the latency objective that a request may wait
	// for a place: one in eight, so that a refused caller can still come back
	// in time.
	waitShare = 8
	// staleAfter is the age of the configuration from which an unknown key or
	// route may be a new one.
	staleAfter = 3 * time.Second
	// revokeMargin covers the way of an admitted request to its endpoint.
	revokeMargin = 700 * time.Millisecond
	// returnShare of the longest deadline of a route separates first attempts,
	// whose deadlines differ by about a sixth, from those that come back.
	returnShare = 0.82
	// defaultBodyBytes bounds a body where operators set no limit.
	defaultBodyBytes = 4 << 20
	// maxErrorBytes bounds the body of a failure.
	maxErrorBytes = 1 << 20
)

// Limits are the figures that all hosts together have to keep.
type Limits struct {
	RevokeWithin time.Duration
	RetryRatio   float64
	RetryBurst   float64
}

// Relay is the handler of callers' requests. It is safe for concurrent use.
type Relay struct {
	headers  Headers
	limits   atomic.Pointer[Limits]
	local    string // data centre of this host
	book     *catalogue.Book
	roster   *roster.Roster
	tracker  *balance.Tracker
	pool     *upstream.Pool
	monitor  *stall.Monitor
	strikes  flamingodoor.CrashTracker
	demand   *Demand
	observer Observer
	logger   log.Logger
	now      func() time.Time
	random   func() float64

	hosts    atomic.Int64 // entry hosts that share the limits
	spread   atomic.Int64 // nanoseconds until the work of one host is known to all
	stopping atomic.Bool
	active   sync.WaitGroup

	mu       sync.Mutex
	budgets  map[string]*admission.RetryBudget // by service
	allowed  map[string]time.Duration          // longest deadline of callers, by route
	divider  *share.Divider
	cold     *cold.Limiter
	waiting  *waitingRoom
	arrivals *arrivals
}

// Observer counts finished requests.
type Observer interface {
	RequestFinished(workspace, result string)
	FirstToken(workspace string, elapsed time.Duration)
}

// Option changes a setting of a Relay.
type Option func(*Relay)

// WithClock sets the clock.
func WithClock(now func() time.Time) Option {
	return func(r *Relay) { r.now = now }
}

// WithObserver sets the receiver of counts.
func WithObserver(observer Observer) Option {
	return func(r *Relay) { r.observer = observer }
}

// Parts are what a relay works with.
type Parts struct {
	Headers    Headers
	Limits     Limits
	HostID     string
	DataCentre string
	Book       *catalogue.Book
	Roster     *roster.Roster
	Tracker    *balance.Tracker
	Pool       *upstream.Pool
	Monitor    *stall.Monitor
	Strikes    flamingodoor.CrashTracker
	Demand     *Demand
	Logger     log.Logger
}

// New returns a relay.
func New(parts Parts, options ...Option) *Relay {
	divider := share.NewDivider(parts.HostID)
	r := &Relay{
		headers: parts.Headers, local: parts.DataCentre, book: parts.Book,
		roster: parts.Roster, tracker: parts.Tracker, pool: parts.Pool, monitor: parts.Monitor,
		strikes: parts.Strikes, demand: parts.Demand, logger: parts.Logger,
		observer: noObserver{}, now: time.Now, random: rand.Float64,
		budgets: make(map[string]*admission.RetryBudget), allowed: make(map[string]time.Duration), divider: divider, cold: cold.NewLimiter(divider), waiting: newWaitingRoom(), arrivals: newArrivals(),
	}
	for _, option := range options {
		option(r)
	}
	r.limits.Store(&parts.Limits)
	r.hosts.Store(1)
	return r
}

type noObserver struct{}

func (noObserver) RequestFinished(string, string)   {}
func (noObserver) FirstToken(string, time.Duration) {}

// SetLimits replaces the limits. Retry budgets follow with their next share.
func (r *Relay) SetLimits(limits Limits) {
	r.limits.Store(&limits)
	r.shareBudgets()
}

// SetHosts tells among which entry hosts the limits are divided, and how long
// the work of one takes to be known to all others.
func (r *Relay) SetHosts(hosts []string, spread time.Duration) {
	r.spread.Store(int64(spread))
	r.divider.SetHosts(hosts)
	count := max(1, len(hosts))
	if r.hosts.Swap(int64(count)) == int64(count) {
		return
	}
	r.shareBudgets()
}

func (r *Relay) shareBudgets() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, budget := range r.budgets {
		budget.SetFloor(r.budgetFloor())
	}
}

// budgetReserve leaves room for hosts that count the others differently.
const budgetReserve = 0.8

func (r *Relay) budgetFloor() int {
	return int(budgetReserve * r.limits.Load().RetryBurst / float64(r.hosts.Load()))
}

func (r *Relay) budget(service string) *admission.RetryBudget {
	r.mu.Lock()
	defer r.mu.Unlock()
	budget, ok := r.budgets[service]
	if !ok {
		budget = admission.NewRetryBudget(budgetReserve*r.limits.Load().RetryRatio, r.budgetFloor())
		r.budgets[service] = budget
	}
	return budget
}

// returning tells callers that come back after a refusal: they have clearly
// less time left than others on the route.
func (r *Relay) returning(route string, allowed time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.allowed[route] = max(r.allowed[route], allowed)
	return float64(allowed) < returnShare*float64(r.allowed[route])
}

// Stop makes callers open new connections elsewhere.
func (r *Relay) Stop() {
	r.stopping.Store(true)
}

// Ready reports whether this host can serve callers.
func (r *Relay) Ready() bool {
	return r.book.Index() != nil && r.roster.Loaded() && r.keysHold(r.now()) && !r.stopping.Load()
}

// keysHold reports whether no key can have been revoked for too long.
func (r *Relay) keysHold(now time.Time) bool {
	return now.Before(r.book.Confirmed().Add(r.limits.Load().RevokeWithin - revokeMargin))
}

// ServeHTTP answers one request.
func (r *Relay) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	r.active.Add(1)
	defer r.active.Done()
	received := r.now()
	if r.stopping.Load() {
		writer.Header().Set("Connection", "close")
	}
	index := r.book.Index()
	if index == nil {
		r.reject(writer, request, http.StatusServiceUnavailable, "no_configuration", retrySoon)
		return
	}
	if request.Header.Get(r.headers.RequestID) == "" {
		r.reject(writer, request, http.StatusBadRequest, "no_request_id", 0)
		return
	}
	route, workspace, status, reason := r.authorise(index, request, received)
	if status != 0 {
		r.reject(writer, request, status, reason, retrySoon)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, bodyLimit(index)))
	if err != nil {
		r.rejectBody(writer, request, err)
		return
	}
	j := r.newJob(request, index, route, workspace, body, received)
	if r.strikes.Blocked(j.fingerprint, received) {
		r.refuse(writer, j, http.StatusServiceUnavailable, "crashes_endpoints", 0)
		return
	}
	r.budget(j.service.Name).Request(received)
	r.arrivals.add(j.key(), received)
	ctx, cancel := context.WithDeadline(request.Context(), j.deadline)
	defer cancel()
	if route.Kind == flamingodoor.RouteKindStreaming {
		if !j.returning {
			// A caller that comes back asks for the same work again.
			r.demand.Add(j.service, j.model, j.prompt, j.answer, received)
		}
		r.stream(ctx, writer, j)
		return
	}
	r.plain(ctx, writer, j)
}

// bodyLimit is the operators' limit, or a default where they set none.
func bodyLimit(index *catalogue.Index) int64 {
	if index.Limits.BodyBytes > 0 {
		return index.Limits.BodyBytes
	}
	return defaultBodyBytes
}

// authorise finds the route and the workspace, or the status of a refusal.
func (r *Relay) authorise(index *catalogue.Index, request *http.Request, now time.Time) (*flamingodoor.Route, *flamingodoor.Workspace, int, string) {
	stale := now.Sub(r.book.Confirmed()) > staleAfter
	path, _, _ := strings.Cut(request.RequestURI, "?")
	route, ok := index.Route(request.Host, path)
	if !ok {
		if stale {
			return nil, nil, http.StatusServiceUnavailable, "configuration_stale"
		}
		return nil, nil, http.StatusNotFound, "no_route"
	}
	if route.Public || len(index.Workspaces) == 0 {
		return route, nil, 0, ""
	}
	if !r.keysHold(now) {
		return nil, nil, http.StatusServiceUnavailable, "keys_unconfirmed"
	}
	key, found := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	workspace, ok := index.Workspace(key)
	if found && ok {
		return route, workspace, 0, ""
	}
	if stale {
		return nil, nil, http.StatusServiceUnavailable, "configuration_stale"
	}
	return nil, nil, http.StatusUnauthorized, "unknown_key"
}

func (r *Relay) rejectBody(writer http.ResponseWriter, request *http.Request, err error) {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		r.reject(writer, request, http.StatusRequestEntityTooLarge, "body_too_large", 0)
		return
	}
	r.reject(writer, request, http.StatusBadRequest, "body_unreadable", 0)
}

// reject answers a request before it became a job.
func (r *Relay) reject(writer http.ResponseWriter, request *http.Request, status int, reason string, after time.Duration) {
	id := request.Header.Get(r.headers.RequestID)
	r.observer.RequestFinished("", reason)
	_ = level.Info(r.logger).Log("event", "rejected", "request", id, "status", status, "reason", reason,
		"config_age_ms", r.now().Sub(r.book.Confirmed()).Milliseconds())
	r.writeRefusal(writer, id, status, reason, after)
}

// refuse answers a job without an endpoint's answer.
func (r *Relay) refuse(writer http.ResponseWriter, j *job, status int, reason string, after time.Duration) {
	r.finished(j, reason, status, 0)
	r.writeRefusal(writer, j.id, status, reason, after)
}

func (r *Relay) writeRefusal(writer http.ResponseWriter, id string, status int, reason string, after time.Duration) {
	header := writer.Header()
	if id != "" {
		header.Set(r.headers.RequestID, id)
	}
	if after > 0 && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 2, 64))
	}
	header.Set("Content-Type", "application/json")
	body := `{"error":"` + reason + `"}`
	header.Set("Content-Length", strconv.Itoa(len(body)))
	writer.WriteHeader(status)
	_, _ = io.WriteString(writer, body) //nolint:gosec // reasons are constants; the caller may have left
}

func (r *Relay) finished(j *job, result string, status, events int) {
	r.observer.RequestFinished(j.workspace, result)
	now := r.now()
	_ = level.Info(r.logger).Log("event", "request", "request", j.id, "route", j.route.Name, "workspace", j.workspace,
		"model", j.model, "result", result, "status", status, "instance", j.target, "sends", j.sends,
		"may_have_run", j.mayHave, "events", events, "cause", j.cause,
		"placed_ms", j.sinceReceived(j.placed), "first_ms", j.sinceReceived(j.first), "took_ms", now.Sub(j.received).Milliseconds(), "left_ms", j.deadline.Sub(now).Milliseconds(),
		"config", r.book.Index().Version)
}

// Wait returns when no request is in flight.
func (r *Relay) Wait() {
	r.active.Wait()
}
