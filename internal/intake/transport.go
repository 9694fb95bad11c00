package intake

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is an http.RoundTripper that fails with the error of CheckHead and closes the
// connection, where http.Transport returns the response. Its connections are Conns.
type Transport struct {
	transport *http.Transport
}

// NewTransport returns a transport that checks what the given one receives. It changes
// how the given one opens connections, which must not be used otherwise.
func NewTransport(transport *http.Transport) *Transport {
	dial := transport.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
	return &Transport{transport: transport}
}

// RoundTrip sends a request and checks the head of its response.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var connection net.Conn
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { connection = info.Conn },
	})
	response, err := t.transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response.StatusCode, response.Header); err != nil {
		// Closing the body does not suffice: after a response without one, the
		// connection is idle already.
		_ = response.Body.Close()
		_ = connection.Close()
		return nil, err
	}
	return response, nil
}

// CloseIdleConnections closes the idle connections of the transport.
func (t *Transport) CloseIdleConnections() {
	t.transport.CloseIdleConnections()
}
