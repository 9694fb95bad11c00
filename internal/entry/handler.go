// Package entry serves the callers' HTTP routes.
package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/google/uuid"
	"github.com/gorilla/mux"

	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/admission"
	"flamingodoor.example/flamingodoor/internal/dispatch"
)

// Defaults of the routes.
const (
	defaultMaxBodyBytes = 1 << 20
	defaultTimeout      = 120 * time.Second
	defaultMaxTimeout   = 600 * time.Second
	// writeMargin lets the last event of a request out after its deadline.
	writeMargin = 5 * time.Second
)

// Dispatcher runs admitted requests.
type Dispatcher interface {
	Generate(ctx context.Context, request dispatch.Request, emit func(text string) error) (dispatch.Result, error)
	CallService(ctx context.Context, call flamingodoor.ServiceCall) (flamingodoor.ServiceAnswer, error)
}

// Admission admits requests.
type Admission interface {
	Acquire(ctx context.Context, ticket admission.Ticket) (release func(), err error)
}

// Observation is what is measured of a finished request.
type Observation struct {
	Route      string // chat or service
	ClubID     string // empty if the caller is unknown
	Code       flamingodoor.Code
	RunState   flamingodoor.RunState
	Failed     bool // Code and RunState are set
	Duration   time.Duration
	FirstToken time.Duration // from arrival; zero without a token
	Gaps       []time.Duration
	Tokens     int
}

// Observer takes measurements.
type Observer interface {
	RequestFinished(observation Observation)
}

// Parts are what the routes work with. Stopping, Observer and Logger may be
// nil.
type Parts struct {
	Configuration flamingodoor.ConfigurationSource
	Freshness     flamingodoor.FreshnessGate
	Admission     Admission
	Dispatcher    Dispatcher
	OnceRunner    flamingodoor.OnceRunner
	Stopping      func() bool
	Observer      Observer
	Logger        log.Logger
}

type handler struct {
	parts        Parts
	now          func() time.Time
	maxBodyBytes int64
	timeout      time.Duration
	maxTimeout   time.Duration
}

// Option changes a default of the routes.
type Option func(*handler)

// WithMaxBodyBytes bounds the body of a request.
func WithMaxBodyBytes(size int64) Option {
	return func(h *handler) { h.maxBodyBytes = size }
}

// WithTimeouts sets the deadline of requests without X-Request-Timeout and
// the longest one that a caller can ask for.
func WithTimeouts(standard, longest time.Duration) Option {
	return func(h *handler) { h.timeout, h.maxTimeout = standard, longest }
}

// WithClock replaces time.Now.
func WithClock(now func() time.Time) Option {
	return func(h *handler) { h.now = now }
}

// New returns the routes of section 9.1 of docs/design.md.
func New(parts Parts, options ...Option) http.Handler {
	if parts.Logger == nil {
		parts.Logger = log.NewNopLogger()
	}
	if parts.Stopping == nil {
		parts.Stopping = func() bool { return false }
	}
	h := &handler{
		parts: parts, now: time.Now, maxBodyBytes: defaultMaxBodyBytes,
		timeout: defaultTimeout, maxTimeout: defaultMaxTimeout,
	}
	for _, option := range options {
		option(h)
	}
	// The path of a service call is forwarded as it came.
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.Handle("/v1/chat/completions", h.route("chat", h.serveChat)).Methods(http.MethodPost)
	router.Handle("/v1/services/{service}/{path:.*}", h.route("service", h.serveService))
	unknown := h.route("unknown", func(*exchange) error {
		return flamingodoor.Errorf(flamingodoor.CodeUnknownService, "no such route")
	})
	router.NotFoundHandler, router.MethodNotAllowedHandler = unknown, unknown
	return router
}

// exchange is one caller's request in progress.
type exchange struct {
	writer      http.ResponseWriter
	request     *http.Request
	requestID   string
	started     time.Time
	deadline    time.Time
	club        flamingodoor.Club
	observation Observation
	streaming   bool // the status has been sent
}

// route does what is common to all routes around one of them.
func (h *handler) route(name string, serve func(*exchange) error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{writer: w, request: r, requestID: newRequestID(), started: h.now()}
		x.observation.Route = name
		w.Header().Set("X-Request-Id", x.requestID)
		err := h.prepare(x)
		if err == nil {
			err = serve(x)
		}
		if err != nil {
			x.observation.Failed = true
			x.observation.Code = flamingodoor.CodeOf(err)
			x.observation.RunState = flamingodoor.RunStateOf(err)
			x.fail(err)
		}
		x.observation.ClubID = x.club.ID
		x.observation.Duration = h.now().Sub(x.started)
		if h.parts.Observer != nil {
			h.parts.Observer.RequestFinished(x.observation)
		}
		h.log(x, err)
	})
}

func (h *handler) log(x *exchange, err error) {
	fields := []any{
		"event", "request_finished", "route", x.observation.Route, "request_id", x.requestID, "club", x.club.ID,
		"duration", x.observation.Duration, "tokens", x.observation.Tokens,
	}
	if err != nil {
		fields = append(fields, "code", x.observation.Code, "run_state", x.observation.RunState, "err", err)
	}
	_ = level.Info(h.parts.Logger).Log(fields...)
}

// prepare refuses requests that this host may not take, finds the caller's
// club and sets the deadline.
func (h *handler) prepare(x *exchange) error {
	if h.parts.Stopping() {
		return flamingodoor.Errorf(flamingodoor.CodeStopping, "host is stopping")
	}
	if !h.parts.Freshness.Fresh(x.started) {
		return flamingodoor.Errorf(flamingodoor.CodeNotFresh, "freshness lease of the host has expired")
	}
	key, ok := strings.CutPrefix(x.request.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return flamingodoor.Errorf(flamingodoor.CodeUnauthenticated, "request has no bearer key")
	}
	if x.club, ok = h.parts.Configuration.Current().ClubByKey(key); !ok {
		return flamingodoor.Errorf(flamingodoor.CodeUnauthenticated, "key belongs to no club")
	}
	timeout, err := h.requestTimeout(x.request.Header.Get("X-Request-Timeout"))
	if err != nil {
		return err
	}
	x.deadline = x.started.Add(timeout)
	// A caller that reads too slowly does not keep its place in admission.
	_ = http.NewResponseController(x.writer).SetWriteDeadline(x.deadline.Add(writeMargin))
	return nil
}

// admit waits for admission.
func (h *handler) admit(x *exchange, priority int) (release func(), err error) {
	return h.parts.Admission.Acquire(x.request.Context(), admission.Ticket{
		ClubID: x.club.ID, Priority: priority, Deadline: x.deadline, Cost: 1,
	})
}

// newRequestID returns an identifier whose order is that of time. The
// caller's own X-Request-Id is not taken over, because two requests with one
// identifier would end each other at an engine.
func newRequestID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}
