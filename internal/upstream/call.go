package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/intake"
)

const (
	// maxResponses bounds the responses that are read to find the one to this
	// request. The others are skipped.
	maxResponses = 4
	// maxSkippedBytes bounds the body of a skipped response.
	maxSkippedBytes = 1 << 20
	// maxHeadBytes and maxHeadLines bound the heads of all responses that are read
	// for one request.
	maxHeadBytes = 32 << 10
	maxHeadLines = 256
	// inlineBodyBytes is the largest request body that is written before the
	// response is read. A larger one is written concurrently, because an
	// endpoint may respond before it has read the body.
	inlineBodyBytes = 32 << 10
)

// Call is a request to an endpoint.
type Call struct {
	Method        string
	URI           string // path and query as the caller sent them
	Host          string
	Header        http.Header
	Body          []byte
	NewConnection bool // do not reuse an idle connection
	// SuspectAt is when a reused connection that has delivered nothing is examined. It
	// is closed if it transfers nothing more. Zero stands for never.
	SuspectAt time.Time
	// OnHead is called for each valid head that is received, also for interim and skipped
	// responses. It may be nil.
	OnHead func(status int, header http.Header)
}

// Response is the response of an endpoint. Its body must be closed.
type Response struct {
	*http.Response
}

// EndsWithConnection reports whether the body has neither a length nor chunks.
func (r *Response) EndsWithConnection() bool {
	return r.ContentLength < 0 && len(r.TransferEncoding) == 0
}

// CallError is the failure of a call and records how far the call got.
type CallError struct {
	Sent    bool // some of the request may have reached the endpoint
	Refused bool // the address refused the connection
	Reused  bool // the connection had been used for an earlier request
	Dead    bool // the reused connection transfers nothing more, which says nothing about the endpoint
	cause   error
}

// Error returns the text of the cause.
func (e *CallError) Error() string {
	return e.cause.Error()
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error {
	return e.cause
}

// Do sends the call once. Cancelling the context closes the connection, which
// ends the work at the endpoint.
func (p *Pool) Do(ctx context.Context, target Target, call Call) (*Response, error) {
	id := hashID(call.Header.Get(p.idHeader))
	conn, err := p.acquire(ctx, target, call.NewConnection, id)
	if err != nil {
		return nil, &CallError{Refused: connectionRefused(err), cause: err}
	}
	conn.sent.add(id)
	stopClose := context.AfterFunc(ctx, func() { _ = conn.Close() })
	exchange := &exchange{pool: p, target: target, conn: conn, stopClose: stopClose, call: call}
	if conn.reused && !call.SuspectAt.IsZero() {
		conn.await(call.SuspectAt)
	}
	response, err := exchange.run()
	if err != nil {
		exchange.discard()
		return nil, err
	}
	return response, nil
}

// exchange is one call on one connection.
type exchange struct {
	pool        *Pool
	target      Target
	conn        *connection
	stopClose   func() bool
	call        Call
	writeResult chan error // result of writing a large body
	done        bool       // the connection is closed or back in the pool
}

func (e *exchange) run() (*Response, error) {
	header := e.encodeHeader()
	if len(e.call.Body) <= inlineBodyBytes {
		if n, err := e.conn.Write(append(header, e.call.Body...)); err != nil {
			return nil, e.failure(n > 0, err)
		}
	} else {
		e.writeResult = make(chan error, 1)
		go func() {
			_, err := e.conn.Write(header)
			if err == nil {
				_, err = e.conn.Write(e.call.Body) // not copied: it may be large
			}
			e.writeResult <- err
		}()
	}
	response, err := e.readResponse() //nolint:bodyclose // the caller closes the body
	if err != nil {
		return nil, e.failure(true, err)
	}
	e.conn.endAwait()
	received := &Response{Response: response}
	if received.EndsWithConnection() {
		response.Body = &unframedBody{ReadCloser: response.Body, pattern: e.pool.secondHead}
	}
	response.Body = &responseBody{ReadCloser: response.Body, exchange: e, response: response}
	return received, nil
}

// failure returns the error of this call.
func (e *exchange) failure(sent bool, err error) *CallError {
	dead := e.conn.endAwait() || (e.conn.reused && TimedOut(err))
	e.closeIdleAfter(err)
	return &CallError{Sent: sent, Reused: e.conn.reused, Dead: dead, cause: err}
}

// closeIdleAfter closes idle connections that are silent for as long as one that timed
// out.
func (e *exchange) closeIdleAfter(err error) {
	if TimedOut(err) {
		e.pool.closeIdle(e.target, e.pool.now().Add(-userTimeout))
	}
}

// readResponse reads the response to this request. It skips interim responses
// and those that carry the identifier of another request. A response without an
// identifier is accepted only if its status is 300 or higher and nothing else was
// received on the connection: it could otherwise belong to an earlier request. An invalid
// head fails the call.
func (e *exchange) readResponse() (*http.Response, error) {
	request := &http.Request{Method: e.call.Method}
	wantedID := e.call.Header.Get(e.pool.idHeader)
	fresh := !e.conn.reused
	e.conn.head.Limit(intake.HeadLimits{Bytes: maxHeadBytes, Lines: maxHeadLines})
	for range maxResponses {
		e.conn.head.ExpectHead()
		response, err := http.ReadResponse(e.conn.reader, request)
		if err != nil {
			return nil, err
		}
		if err := intake.CheckHead(response.StatusCode, response.Header); err != nil {
			return nil, err
		}
		if e.call.OnHead != nil {
			e.call.OnHead(response.StatusCode, response.Header)
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		id := response.Header.Get(e.pool.idHeader)
		if id == wantedID || (id == "" && fresh && response.StatusCode >= http.StatusMultipleChoices) {
			return response, nil
		}
		if id == "" {
			return nil, flamingodoor.Errorf(flamingodoor.CodeProtocol, "endpoint responded with status %d without an identifier", response.StatusCode)
		}
		fresh = false
		if err := intake.Discard(response.Body, maxSkippedBytes); err != nil {
			return nil, err
		}
		if response.Close {
			break
		}
	}
	return nil, flamingodoor.Errorf(flamingodoor.CodeProtocol, "endpoint responded with the identifiers of other requests")
}

// encodeHeader encodes the request line and the header.
func (e *exchange) encodeHeader() []byte {
	var buffer bytes.Buffer
	buffer.WriteString(e.call.Method + " " + e.call.URI + " HTTP/1.1\r\nHost: " + e.call.Host + "\r\n")
	_ = e.call.Header.Write(&buffer) // writes to a buffer never fail
	if len(e.call.Body) > 0 || e.call.Method == http.MethodPost || e.call.Method == http.MethodPut || e.call.Method == http.MethodPatch {
		buffer.WriteString("Content-Length: " + strconv.Itoa(len(e.call.Body)) + "\r\n")
	}
	buffer.WriteString("\r\n")
	return buffer.Bytes()
}

// release returns the connection to the pool after a complete response if
// another request can use it, and closes it otherwise.
func (e *exchange) release(response *http.Response) {
	if e.done {
		return
	}
	e.done = true
	// If the context has ended, its AfterFunc closes the connection.
	if !e.stopClose() || response.Close || e.conn.buffered() > 0 || e.conn.sent.full() || !e.bodySent() {
		_ = e.conn.Close()
		return
	}
	e.pool.putIdle(e.target, e.conn, keepAliveTime(response.Header))
}

// bodySent reports whether the request body has been written in whole.
func (e *exchange) bodySent() bool {
	if e.writeResult == nil {
		return true
	}
	select {
	case err := <-e.writeResult:
		return err == nil
	default:
		return false
	}
}

// discard closes the connection unless it is closed or back in the pool.
func (e *exchange) discard() {
	if e.done {
		return
	}
	e.done = true
	e.stopClose()
	_ = e.conn.Close()
}

// responseBody is the body of a response. When it has been read to its end, the
// connection returns to the pool.
type responseBody struct {
	io.ReadCloser
	exchange *exchange
	response *http.Response
}

// Read reads from the body. It returns io.EOF only after a complete body.
func (b *responseBody) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	switch {
	case errors.Is(err, io.EOF):
		b.exchange.release(b.response)
	case err != nil:
		b.exchange.closeIdleAfter(err)
		b.exchange.discard()
	}
	return n, err
}

// Close closes the connection, and so ends the work at the endpoint, if the body
// was not read to its end.
func (b *responseBody) Close() error {
	b.exchange.discard()
	return nil
}

// keepAliveTimeout returns the timeout parameter of a Keep-Alive header.
func keepAliveTimeout(value string) (time.Duration, bool) {
	for part := range strings.SplitSeq(value, ",") {
		name, number, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if count, err := strconv.Atoi(strings.TrimSpace(number)); err == nil && count >= 0 {
			return time.Duration(count) * time.Second, true
		}
	}
	return 0, false
}
