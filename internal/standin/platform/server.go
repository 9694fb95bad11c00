// Package standinplatform is an in-memory test double of the platform: the
// log, the host list, the weight store and a service that injects faults.
package standinplatform

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/gorilla/mux"

	"flamingodoor.example/flamingodoor/gen/flamingodoor/platform/v1/platformv1connect"
)

const (
	defaultRetention  = 25 * time.Hour
	readHeaderTimeout = 5 * time.Second
	shutdownTimeout   = 2 * time.Second
)

type settings struct {
	retention  time.Duration
	appendRate float64 // appends per second; 0 for no limit
	hostLag    time.Duration
	weightRate uint64 // bytes per second; 0 for no limit
}

// Option changes a default of the platform.
type Option func(*settings)

// WithRetention sets how long the log keeps records.
func WithRetention(retention time.Duration) Option {
	return func(s *settings) { s.retention = retention }
}

// WithAppendRate limits the appends per second of all streams together.
func WithAppendRate(appends float64) Option {
	return func(s *settings) { s.appendRate = appends }
}

// WithHostLag sets the time after which an announcement shows in the host list.
func WithHostLag(lag time.Duration) Option {
	return func(s *settings) { s.hostLag = lag }
}

// WithWeightRate limits the weight store to a number of bytes per second.
func WithWeightRate(bytesPerSecond uint64) Option {
	return func(s *settings) { s.weightRate = bytesPerSecond }
}

// Server simulates the platform.
type Server struct {
	log     *logService
	hosts   *hostService
	weights *weightService
	faults  *faults
}

// New returns a platform without records and hosts.
func New(options ...Option) *Server {
	values := settings{retention: defaultRetention}
	for _, option := range options {
		option(&values)
	}
	injected := newFaults()
	return &Server{
		log:     newLogService(values.retention, values.appendRate, injected),
		hosts:   &hostService{lag: values.hostLag, listed: map[string]bool{}},
		weights: &weightService{bytesPerSecond: values.weightRate},
		faults:  injected,
	}
}

// Handler returns the handler of all services. An http.Server needs Protocols to
// serve them over HTTP/2 without TLS.
func (s *Server) Handler() http.Handler {
	interceptors := connect.WithInterceptors(connect.UnaryInterceptorFunc(s.faults.intercept))
	router := mux.NewRouter()
	register := func(path string, handler http.Handler) { router.PathPrefix(path).Handler(handler) }
	register(platformv1connect.NewLogServiceHandler(s.log, interceptors))
	register(platformv1connect.NewHostListServiceHandler(s.hosts, interceptors))
	register(platformv1connect.NewWeightServiceHandler(s.weights, interceptors))
	register(platformv1connect.NewFaultServiceHandler(&faultService{faults: s.faults, log: s.log}))
	return router
}

// Protocols returns the protocols of the platform: HTTP/1 and HTTP/2 without TLS.
func Protocols() *http.Protocols {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// Serve answers requests on the listener until the context ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: s.Handler(), Protocols: Protocols(), ReadHeaderTimeout: readHeaderTimeout}
	var stopped sync.WaitGroup
	stopped.Add(1)
	cancelShutdown := context.AfterFunc(ctx, func() {
		defer stopped.Done()
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if err := server.Shutdown(shutdownCtx); err != nil {
			// Reads that still wait for an append are aborted.
			_ = server.Close()
		}
	})
	err := server.Serve(listener)
	if cancelShutdown() {
		return err
	}
	stopped.Wait()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
