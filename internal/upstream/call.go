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
)

const (
	// maxStrays is how many answers to earlier requests are skipped.
	maxStrays = 4
	// maxStrayBytes bounds the body of a skipped answer.
	maxStrayBytes = 1 << 20
	// inlineBody is written before the answer is read; a larger one is written
	// beside it, because an endpoint may answer early.
	inlineBody = 32 << 10
)

// Call is a request to an endpoint.
type Call struct {
	Method        string
	URI           string // path and query as the caller sent them
	Host          string
	Header        http.Header
	Body          []byte
	NewConnection bool // use a new connection
}

// Response is a response whose body must be closed.
type Response struct {
	*http.Response
}

// CallError tells how far a call came.
type CallError struct {
	Sent    bool // some of the request may have reached the endpoint
	Refused bool // nobody listens at the address
	Reused  bool // the connection had served an earlier request
	cause   error
}

// Error returns the text of the cause.
func (f *CallError) Error() string {
	return f.cause.Error()
}

// Unwrap returns the cause.
func (f *CallError) Unwrap() error {
	return f.cause
}

// Do sends the call once. Cancelling the context closes the connection, which
// ends the work at the endpoint.
func (p *Pool) Do(ctx context.Context, target Target, call Call) (*Response, error) {
	used, err := p.take(ctx, target, call.NewConnection)
	if err != nil {
		return nil, &CallError{Refused: refused(err), cause: err}
	}
	unwatch := context.AfterFunc(ctx, func() { _ = used.Close() })
	exchange := &exchange{pool: p, target: target, used: used, unwatch: unwatch, call: call}
	answer, err := exchange.run()
	if err != nil {
		exchange.abandon()
		return nil, err
	}
	return answer, nil
}

// exchange is one call on one connection.
type exchange struct {
	pool    *Pool
	target  Target
	used    *connection
	unwatch func() bool
	call    Call
	written chan error // the result of writing a large body
	ended   bool
}

func (e *exchange) run() (*Response, error) {
	head := e.head()
	if len(e.call.Body) <= inlineBody {
		if n, err := e.used.Write(append(head, e.call.Body...)); err != nil {
			return nil, e.failure(n > 0, err)
		}
	} else {
		e.written = make(chan error, 1)
		go func() {
			_, err := e.used.Write(append(head, e.call.Body...))
			e.written <- err
		}()
	}
	response, err := e.answer() //nolint:bodyclose // the caller closes the answer
	if err != nil {
		return nil, e.failure(true, err)
	}
	response.Body = &body{ReadCloser: response.Body, exchange: e, response: response}
	return &Response{Response: response}, nil
}

func (e *exchange) failure(sent bool, err error) *CallError {
	return &CallError{Sent: sent, Reused: e.used.reused, cause: err}
}

// answer skips interim answers and those that belong to earlier requests.
func (e *exchange) answer() (*http.Response, error) {
	request := &http.Request{Method: e.call.Method}
	wanted := e.call.Header.Get(e.pool.echo)
	for range maxStrays {
		response, err := http.ReadResponse(e.used.reader, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		got := response.Header.Get(e.pool.echo)
		if got == wanted || (got == "" && response.StatusCode >= http.StatusMultipleChoices) {
			return response, nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxStrayBytes)); err != nil {
			return nil, err
		}
		if response.Close {
			break
		}
	}
	return nil, flamingodoor.Errorf(flamingodoor.CodeProtocol, "answers belong to other requests")
}

func (e *exchange) head() []byte {
	var head bytes.Buffer
	head.WriteString(e.call.Method + " " + e.call.URI + " HTTP/1.1\r\nHost: " + e.call.Host + "\r\n")
	_ = e.call.Header.Write(&head) // a buffer takes all
	if len(e.call.Body) > 0 || e.call.Method == http.MethodPost || e.call.Method == http.MethodPut || e.call.Method == http.MethodPatch {
		head.WriteString("Content-Length: " + strconv.Itoa(len(e.call.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	return head.Bytes()
}

// finish keeps the connection after a complete answer, if nothing speaks
// against another request on it.
func (e *exchange) finish(response *http.Response) {
	if e.ended {
		return
	}
	e.ended = true
	// A context that has ended closes the connection on its own.
	if !e.unwatch() || response.Close || e.used.reader.Buffered() > 0 || !e.bodyWritten() {
		_ = e.used.Close()
		return
	}
	e.pool.put(e.target, e.used, idleTime(response.Header))
}

func (e *exchange) bodyWritten() bool {
	if e.written == nil {
		return true
	}
	select {
	case err := <-e.written:
		return err == nil
	default:
		return false
	}
}

func (e *exchange) abandon() {
	if e.ended {
		return
	}
	e.ended = true
	e.unwatch()
	_ = e.used.Close()
}

// body returns the connection to the pool at its end.
type body struct {
	io.ReadCloser
	exchange *exchange
	response *http.Response
}

// Read returns io.EOF only after a complete body.
func (b *body) Read(data []byte) (int, error) {
	n, err := b.ReadCloser.Read(data)
	switch {
	case errors.Is(err, io.EOF):
		b.exchange.finish(b.response)
	case err != nil:
		b.exchange.abandon()
	}
	return n, err
}

// Close ends the work at the endpoint if the body was not read to its end.
func (b *body) Close() error {
	b.exchange.abandon()
	return nil
}

func keepAliveTimeout(value string) (time.Duration, bool) {
	for part := range strings.SplitSeq(value, ",") {
		name, number, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if whole, err := strconv.Atoi(strings.TrimSpace(number)); err == nil && whole >= 0 {
			return time.Duration(whole) * time.Second, true
		}
	}
	return 0, false
}
