package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"net/netip"
	"os"
	"time"

	"golang.org/x/net/netutil"

	"flamingodoor.example/flamingodoor"
)

// Timeouts and limits of the servers' connections.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	// pingIdleTime is the time without a frame after which HTTP/2 sends a ping.
	pingIdleTime       = 5 * time.Second
	pingTimeout        = 3 * time.Second
	maxPeerConnections = 1024
)

// listen opens a TCP listener with a limit on its open connections.
func listen(ctx context.Context, address netip.AddrPort, maxConnections int) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, flamingodoor.NewError(flamingodoor.CodeInvalidConfiguration, flamingodoor.RunStateNotRun, err)
	}
	return netutil.LimitListener(listener, maxConnections), nil
}

// addressOf returns the bound address of a listener.
func addressOf(listener net.Listener) netip.AddrPort {
	return listener.Addr().(*net.TCPAddr).AddrPort()
}

// newServer returns a server for HTTP/1 and HTTP/2, both with and without TLS.
func newServer(handler http.Handler, maxHeaderBytes int, tlsConfig *tls.Config) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         &protocols,
		HTTP2:             &http.HTTP2Config{SendPingTimeout: pingIdleTime, PingTimeout: pingTimeout},
		TLSConfig:         tlsConfig,
	}
}

// serve runs the server until it is shut down.
func serve(server *http.Server, listener net.Listener) error {
	if server.TLSConfig != nil {
		return server.ServeTLS(listener, "", "")
	}
	return server.Serve(listener)
}

// serverTLS loads a certificate and its key. It returns nil if none is set.
func serverTLS(certificate, key string) (*tls.Config, error) {
	if certificate == "" {
		return nil, nil //nolint:nilnil // No certificate means no TLS.
	}
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, flamingodoor.Errorf(flamingodoor.CodeInvalidConfiguration,
			"loading certificate %q with key %q: %w", certificate, key, err)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}}, nil
}

// mutualTLS loads the certificates for connections between entry hosts. The
// result is used as server and as client. It is nil if no certificate is set.
func mutualTLS(certificate, key, authorities string) (*tls.Config, error) {
	config, err := serverTLS(certificate, key)
	if err != nil || config == nil {
		return nil, err
	}
	pem, err := os.ReadFile(authorities) //nolint:gosec // The operator names the file.
	if err != nil {
		return nil, flamingodoor.NewError(flamingodoor.CodeInvalidConfiguration, flamingodoor.RunStateNotRun, err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, flamingodoor.Errorf(flamingodoor.CodeInvalidConfiguration, "peer-ca %q holds no PEM certificate", authorities)
	}
	config.ClientCAs = pool
	config.RootCAs = pool
	config.ClientAuth = tls.RequireAndVerifyClientCert
	return config, nil
}
