// Package engine is the client of model engines and plain services.
//
// Every request opens a connection of its own, except for the reads of a client
// with WithKeepAlive. A connection that no longer carries data, or whose
// endpoint has restarted, is therefore never reused. Nor does net/http send a
// request twice, because it retries only on reused connections.
package engine

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/intake"
)

// ErrNoProgress is the cause of a failure if no chunk arrived within the progress
// deadline: the first chunk timeout or, after the first chunk, the chunk gap
// timeout.
var ErrNoProgress = flamingodoor.Errorf(flamingodoor.CodeEndpointFailed, "no data from the endpoint within the progress deadline")

var errDeadlinePassed = flamingodoor.Errorf(flamingodoor.CodeDeadlineExceeded, "deadline passed before the request was sent")

var errWriteBlocked = flamingodoor.Errorf(flamingodoor.CodeEndpointFailed, "request has already been reported as not run")

// States of a sendGuard.
const (
	guardUnsent  int32 = iota
	guardSent          // bytes may have been sent
	guardBlocked       // reported as not run; every write is refused
)

// sendGuard controls the first write of a request. It refuses the write after
// the deadline, and records whether any byte may have been sent.
type sendGuard struct {
	now      func() time.Time
	deadline time.Time // zero if there is none
	state    atomic.Int32
}

// beforeWrite records that bytes may be sent, or returns the reason why they
// must not be.
func (g *sendGuard) beforeWrite() error {
	if g.state.Load() == guardSent {
		return nil
	}
	if !g.deadline.IsZero() && !g.now().Before(g.deadline) {
		return errDeadlinePassed
	}
	if !g.state.CompareAndSwap(guardUnsent, guardSent) {
		return errWriteBlocked
	}
	return nil
}

// mayHaveSent reports whether bytes of a failed request may have been sent, and
// otherwise blocks all later writes. The transport writes in a goroutine of its
// own, which could still write after the request was reported as not run.
func (g *sendGuard) mayHaveSent() bool {
	return !g.state.CompareAndSwap(guardUnsent, guardBlocked)
}

// classify returns err with a code and a run state, depending on whether bytes
// may have been sent. Apart from errDeadlinePassed, only the deadline of ctx
// gives CodeDeadlineExceeded: a dial timeout means that the endpoint failed.
func (g *sendGuard) classify(ctx context.Context, err error) error {
	state := flamingodoor.RunStateNotRun
	if g.mayHaveSent() {
		state = flamingodoor.RunStateMayHaveRun
	}
	if errors.Is(err, errDeadlinePassed) || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return flamingodoor.NewError(flamingodoor.CodeDeadlineExceeded, state, err)
	}
	return flamingodoor.NewError(flamingodoor.CodeEndpointFailed, state, err)
}

// guardKey is the context key of the sendGuard of a request.
type guardKey struct{}

// guardedConn is the connection of one request. Its guard controls the writes.
type guardedConn struct {
	net.Conn
	guard *sendGuard
}

func (c *guardedConn) Write(data []byte) (int, error) {
	if err := c.guard.beforeWrite(); err != nil {
		return 0, err
	}
	return c.Conn.Write(data)
}

// newHTTPClient returns a client that opens a connection for each request. The
// sendGuard of the request controls its writes.
func newHTTPClient(s settings) *http.Client {
	dialer := &net.Dialer{Timeout: s.dialTimeout}
	if s.source.IsValid() && !s.source.IsUnspecified() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(s.source, 0))
	}
	return &http.Client{
		Transport: intake.NewTransport(&http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				guard, ok := ctx.Value(guardKey{}).(*sendGuard)
				if !ok {
					return nil, flamingodoor.Errorf(flamingodoor.CodeInternal, "request without a send guard")
				}
				connection, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &guardedConn{Conn: connection, guard: guard}, nil
			},
			DisableKeepAlives:      true,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// newReadClient returns a client that keeps one idle connection to each
// endpoint. A read that fails or times out closes its connection.
func newReadClient(s settings) *http.Client {
	dialer := &net.Dialer{Timeout: s.dialTimeout}
	return &http.Client{
		Transport: intake.NewTransport(&http.Transport{
			DialContext:            dialer.DialContext,
			DisableCompression:     true,
			MaxIdleConnsPerHost:    1,
			IdleConnTimeout:        idleReadTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
			ReadBufferSize:         readBufferBytes,
			WriteBufferSize:        writeBufferBytes,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// send makes one request on a connection of its own. The error has a code and a
// run state.
func send(ctx context.Context, client *http.Client, guard *sendGuard, request *http.Request) (*http.Response, error) {
	// Without GetBody net/http cannot send the body again.
	request.GetBody = nil
	request = request.WithContext(context.WithValue(ctx, guardKey{}, guard))
	response, err := client.Do(request)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, guard.classify(ctx, err)
	}
	return response, nil
}

func newRequest(ctx context.Context, method, url string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, flamingodoor.NewError(flamingodoor.CodeInvalidRequest, flamingodoor.RunStateNotRun, err)
	}
	return request, nil
}

// readBounded reads a response body. It fails if the body exceeds limit bytes.
func readBounded(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, flamingodoor.NewError(flamingodoor.CodeEndpointFailed, flamingodoor.RunStateMayHaveRun, err)
	}
	if int64(len(data)) > limit {
		cause := flamingodoor.Errorf(flamingodoor.CodeTooLarge, "response exceeds %d bytes", limit)
		return nil, flamingodoor.NewError(flamingodoor.CodeEndpointFailed, flamingodoor.RunStateMayHaveRun, cause)
	}
	return data, nil
}

// statusError returns the error for a status of a refusal or a failure. Engines
// answer 429 when they are overloaded, and 409 for a wrong group or fencing
// number; both prove that the request was not run. conflict is the code of the
// error for 409.
func statusError(status int, conflict flamingodoor.Code) error {
	cause := flamingodoor.Errorf(flamingodoor.CodeEndpointFailed, "endpoint answered with status %d", status)
	switch status {
	case http.StatusTooManyRequests:
		return flamingodoor.NewError(flamingodoor.CodeOverloaded, flamingodoor.RunStateNotRun, cause)
	case http.StatusConflict:
		return flamingodoor.NewError(conflict, flamingodoor.RunStateNotRun, cause)
	default:
		return flamingodoor.NewError(flamingodoor.CodeEndpointFailed, flamingodoor.RunStateMayHaveRun, cause)
	}
}
