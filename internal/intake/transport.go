package intake

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"

	"flamingodoor.example/flamingodoor"
)

const (
	// minStatus and maxStatus bound the statuses that HTTP defines.
	minStatus = 100
	maxStatus = 599
)

// CheckStatus returns an error with CodeProtocol unless a response may have the status:
// 100 to 599, except 101, because no request asks for another protocol. After any other
// head, nothing on the connection is known to belong to the request, which may have run.
func CheckStatus(status int) error {
	if status < minStatus || status > maxStatus || status == http.StatusSwitchingProtocols {
		return flamingodoor.NewError(flamingodoor.CodeProtocol, flamingodoor.RunStateMayHaveRun, flamingodoor.Errorf(flamingodoor.CodeProtocol, "invalid response status %03d", status))
	}
	return nil
}

// Transport is an http.RoundTripper that fails with the error of CheckStatus and closes
// the connection, where http.Transport returns a response with any status that
// strconv.Atoi accepts. Its connections are Conns.
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

// RoundTrip sends a request and checks the status of its response.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	var connection net.Conn
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { connection = info.Conn },
	})
	response, err := t.transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err := CheckStatus(response.StatusCode); err != nil {
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
