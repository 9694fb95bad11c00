// Package engine is the client of model engines and plain services.
//
// Every request opens its own connection, but for the reads of a client with
// WithKeepAlive. A connection that stopped carrying data or whose endpoint
// restarted is thereby never used again, and net/http retries requests only on
// reused connections.
package engine

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"flamingodoor.example/flamingodoor"
)

// ErrNoProgress is the cause of a failure when an open connection delivered
// no data in time.
var ErrNoProgress = flamingodoor.Errorf(flamingodoor.CodeEndpointFailed, "no data from the endpoint within the progress deadline")

var errDeadlinePassed = flamingodoor.Errorf(flamingodoor.CodeDeadlineExceeded, "deadline passed before the request was sent")

var errSealed = flamingodoor.Errorf(flamingodoor.CodeEndpointFailed, "request has already failed")

// States of a sendGuard.
const (
	guardOpen   int32 = iota
	guardSent         // bytes may have left
	guardSealed       // reported as not run; no byte can leave any more
)

// sendGuard watches the first write of a request. It refuses the write after
// the deadline, and records whether any byte may have left.
type sendGuard struct {
	now      func() time.Time
	deadline time.Time // zero: none
	state    atomic.Int32
}

func (g *sendGuard) beforeWrite() error {
	if g.state.Load() == guardSent {
		return nil
	}
	if !g.deadline.IsZero() && !g.now().Before(g.deadline) {
		return errDeadlinePassed
	}
	if !g.state.CompareAndSwap(guardOpen, guardSent) {
		return errSealed
	}
	return nil
}

// mayHaveSent seals the guard of a failed request. The transport writes in a
// goroutine of its own, which could otherwise write after the report.
func (g *sendGuard) mayHaveSent() bool {
	return !g.state.CompareAndSwap(guardOpen, guardSealed)
}

// failure types an error of the transport by what may have been sent. Only the
// end of ctx counts as the deadline: a dial timeout is a failed endpoint.
func (g *sendGuard) failure(ctx context.Context, err error) error {
	state := flamingodoor.RunStateNotRun
	if g.mayHaveSent() {
		state = flamingodoor.RunStateMayHaveRun
	}
	if errors.Is(err, errDeadlinePassed) || errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return flamingodoor.NewError(flamingodoor.CodeDeadlineExceeded, state, err)
	}
	return flamingodoor.NewError(flamingodoor.CodeEndpointFailed, state, err)
}

type guardKey struct{}

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

func newHTTPClient(s settings) *http.Client {
	dialer := &net.Dialer{Timeout: s.dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
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
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// newReadClient returns a client that keeps one connection to each endpoint
// open. A read that fails or times out closes its connection.
func newReadClient(s settings) *http.Client {
	dialer := &net.Dialer{Timeout: s.dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:            dialer.DialContext,
			DisableCompression:     true,
			MaxIdleConnsPerHost:    1,
			IdleConnTimeout:        idleReadTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
			ReadBufferSize:         readBufferBytes,
			WriteBufferSize:        writeBufferBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// send makes one request on a connection of its own. The error is typed.
func send(ctx context.Context, client *http.Client, guard *sendGuard, request *http.Request) (*http.Response, error) {
	// Without GetBody net/http cannot send the body a second time.
	request.GetBody = nil
	request = request.WithContext(context.WithValue(ctx, guardKey{}, guard))
	response, err := client.Do(request)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, guard.failure(ctx, err)
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

// readBounded reads a whole answer of at most limit bytes.
func readBounded(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, flamingodoor.NewError(flamingodoor.CodeEndpointFailed, flamingodoor.RunStateMayHaveRun, err)
	}
	if int64(len(data)) > limit {
		cause := flamingodoor.Errorf(flamingodoor.CodeTooLarge, "answer exceeds %d bytes", limit)
		return nil, flamingodoor.NewError(flamingodoor.CodeEndpointFailed, flamingodoor.RunStateMayHaveRun, cause)
	}
	return data, nil
}

// statusFailure types an answer whose status is a refusal or a failure.
// Engines answer 429 when overloaded and 409 for a wrong group or fencing
// number; both prove that the request was not run.
func statusFailure(status int, conflict flamingodoor.Code) error {
	cause := flamingodoor.Errorf(flamingodoor.CodeEndpointFailed, "endpoint answered status %d", status)
	switch status {
	case http.StatusTooManyRequests:
		return flamingodoor.NewError(flamingodoor.CodeOverloaded, flamingodoor.RunStateNotRun, cause)
	case http.StatusConflict:
		return flamingodoor.NewError(conflict, flamingodoor.RunStateNotRun, cause)
	default:
		return flamingodoor.NewError(flamingodoor.CodeEndpointFailed, flamingodoor.RunStateMayHaveRun, cause)
	}
}
