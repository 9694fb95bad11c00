package gateway

import (
	"net/http"
	"time"
)

// Limits of callers before the first configuration.
const (
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	defaultHeaderBytes   = 16 << 10
)

// frontServer serves callers.
type frontServer struct {
	http.Server
}

func newFrontServer(handler http.Handler) *frontServer {
	return &frontServer{Server: http.Server{
		Handler: handler, ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout,
		MaxHeaderBytes: defaultHeaderBytes,
		// Callers need no general OPTIONS answer: the request has a route.
		DisableGeneralOptionsHandler: true,
	}}
}
