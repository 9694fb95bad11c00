// Package entry implements the HTTP API for callers: chat completions and calls
// of plain services.
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

const (
	defaultMaxBodyBytes = 1 << 20
	defaultTimeout      = 120 * time.Second
	defaultMaxTimeout   = 600 * time.Second
	// writeMargin is the time after the deadline of a request in which its last
	// event can still be written.
	writeMargin = 5 * time.Second
)

// Dispatcher runs admitted requests.
type Dispatcher interface {
	Generate(ctx context.Context, request dispatch.Request, emit func(text string) error) (dispatch.Result, error)
	CallService(ctx context.Context, call flamingodoor.ServiceCall) (flamingodoor.ServiceAnswer, error)
}

// Admission limits the requests in progress.
type Admission interface {
	Acquire(ctx context.Context, ticket admission.Ticket) (release func(), err error)
}

// Observation holds the measurements of a finished request.
type Observation struct {
	Route      string // chat, service or unknown
	ClubID     string // empty if the caller was not identified
	Code       flamingodoor.Code
	RunState   flamingodoor.RunState
	Failed     bool // if set, Code and RunState are valid
	Duration   time.Duration
	FirstToken time.Duration   // time to first token; zero without tokens
	Gaps       []time.Duration // times between successive tokens
	Tokens     int
}

// Observer receives the measurements of finished requests.
type Observer interface {
	RequestFinished(observation Observation)
}

// Parts are the dependencies of the handler. Stopping, Observer and Logger may
// be nil.
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

// Option changes a default of the handler.
type Option func(*handler)

// WithMaxBodyBytes limits the size of a request body. The default is 1 MiB.
func WithMaxBodyBytes(size int64) Option {
	return func(h *handler) { h.maxBodyBytes = size }
}

// WithTimeouts sets the timeout of requests without the header
// X-Request-Timeout and the maximum timeout that a caller can request. The
// defaults are 120 s and 600 s.
func WithTimeouts(timeout, maxTimeout time.Duration) Option {
	return func(h *handler) { h.timeout, h.maxTimeout = timeout, maxTimeout }
}

// WithClock sets the clock of the handler. The default is time.Now.
func WithClock(now func() time.Time) Option {
	return func(h *handler) { h.now = now }
}

// New returns the handler of all routes for callers. The routes are specified in
// section 9.1 of docs/design.md.
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
	// The path of a service call is forwarded unchanged.
	router := mux.NewRouter().SkipClean(true).UseEncodedPath()
	router.Handle("/v1/chat/completions", h.route("chat", h.serveChat)).Methods(http.MethodPost)
	router.Handle("/v1/services/{service}/{path:.*}", h.route("service", h.serveService))
	unknown := h.route("unknown", func(*exchange) error {
		return flamingodoor.Errorf(flamingodoor.CodeUnknownService, "no route for this method and path")
	})
	router.NotFoundHandler, router.MethodNotAllowedHandler = unknown, unknown
	return router
}

// exchange is one HTTP request of a caller and the response to it.
type exchange struct {
	writer      http.ResponseWriter
	request     *http.Request
	requestID   string
	started     time.Time
	deadline    time.Time
	club        flamingodoor.Club
	observation Observation
	statusSent  bool
}

// route returns the handler of a route. It wraps serve in the steps that all
// routes share: the checks and the deadline of prepare, the error response, the
// observation and the log line.
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
			x.writeError(err)
		}
		x.observation.ClubID = x.club.ID
		x.observation.Duration = h.now().Sub(x.started)
		if h.parts.Observer != nil {
			h.parts.Observer.RequestFinished(x.observation)
		}
		h.log(x, err)
	})
}

// log logs a finished request.
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

// prepare checks that this host may accept the request, authenticates the caller
// and sets the deadline.
func (h *handler) prepare(x *exchange) error {
	if h.parts.Stopping() {
		return flamingodoor.Errorf(flamingodoor.CodeStopping, "host is stopping")
	}
	if !h.parts.Freshness.Fresh(x.started) {
		return flamingodoor.Errorf(flamingodoor.CodeNotFresh, "freshness lease of the host has expired")
	}
	key, ok := strings.CutPrefix(x.request.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return flamingodoor.Errorf(flamingodoor.CodeUnauthenticated, "request has no API key in the header Authorization")
	}
	if x.club, ok = h.parts.Configuration.Current().ClubByKey(key); !ok {
		return flamingodoor.Errorf(flamingodoor.CodeUnauthenticated, "API key belongs to no club")
	}
	timeout, err := h.requestTimeout(x.request.Header.Get("X-Request-Timeout"))
	if err != nil {
		return err
	}
	x.deadline = x.started.Add(timeout)
	// The write deadline prevents a caller that reads too slowly from occupying
	// admission capacity indefinitely.
	_ = http.NewResponseController(x.writer).SetWriteDeadline(x.deadline.Add(writeMargin))
	return nil
}

// admit waits until the request is admitted. The caller must call release when
// the request has finished.
func (h *handler) admit(x *exchange, priority int) (release func(), err error) {
	return h.parts.Admission.Acquire(x.request.Context(), admission.Ticket{
		ClubID: x.club.ID, Priority: priority, Deadline: x.deadline, Cost: 1,
	})
}

// newRequestID returns a request ID that sorts by creation time. The caller's own
// X-Request-Id is not used, because two requests with the same ID would
// terminate each other at an engine.
func newRequestID() string {
	id, err := uuid.NewV7()
	if err != nil {
		return uuid.NewString()
	}
	return id.String()
}
