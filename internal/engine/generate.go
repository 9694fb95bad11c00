package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"flamingodoor.example/flamingodoor"
)

type generateBody struct {
	RequestID     string   `json:"request_id"`
	Attempt       int      `json:"attempt"`
	Model         string   `json:"model"`
	Version       string   `json:"version"`
	Adapter       string   `json:"adapter"`
	Prompt        string   `json:"prompt"`
	MaxTokens     int      `json:"max_tokens"`
	Priority      int      `json:"priority"`
	Resume        []string `json:"resume"`
	FencingNumber uint64   `json:"fencing_number"`
}

type chunkBody struct {
	RequestID    string `json:"request_id"`
	Attempt      int    `json:"attempt"`
	Seq          int    `json:"seq"`
	Text         string `json:"text"`
	Done         bool   `json:"done"`
	FinishReason string `json:"finish_reason"`
}

type firstChunkKey struct{}

// ContextWithFirstChunkTimeout returns a context that overrides how long
// Generate waits for the first chunk. A cold engine needs longer than a warm
// one.
func ContextWithFirstChunkTimeout(ctx context.Context, timeout time.Duration) context.Context {
	return context.WithValue(ctx, firstChunkKey{}, timeout)
}

// Generate sends one attempt and returns its stream once the engine has
// answered with its headers. The caller must close the stream.
func (c *Client) Generate(ctx context.Context, endpoint flamingodoor.Endpoint, request flamingodoor.GenerateRequest) (flamingodoor.ChunkStream, error) {
	data, err := json.Marshal(generateBody{
		RequestID: request.RequestID, Attempt: request.Attempt, Model: request.ModelID,
		Version: request.Version, Adapter: request.Adapter, Prompt: request.Prompt,
		MaxTokens: request.MaxTokens, Priority: request.Priority, Resume: request.Resume,
		FencingNumber: request.FencingNumber,
	})
	if err != nil {
		return nil, flamingodoor.NewError(flamingodoor.CodeInternal, flamingodoor.RunStateNotRun, err)
	}
	firstChunk := c.settings.firstChunkTimeout
	if timeout, ok := ctx.Value(firstChunkKey{}).(time.Duration); ok {
		firstChunk = timeout
	}
	ctx, cancel := context.WithCancelCause(ctx)
	httpRequest, err := newRequest(ctx, http.MethodPost, baseURL(endpoint)+"/v1/generate", data)
	if err != nil {
		cancel(nil)
		return nil, err
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	httpRequest.Header.Set("Accept", "text/event-stream")

	started := time.Now()
	timer := time.AfterFunc(firstChunk, func() { cancel(ErrNoProgress) })
	response, err := send(ctx, c.http, &sendGuard{now: c.settings.now}, httpRequest)
	timer.Stop()
	if err != nil {
		cancel(nil)
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close()
		cancel(nil)
		return nil, statusError(response.StatusCode, flamingodoor.CodeEndpointFailed)
	}
	events := bufio.NewScanner(io.LimitReader(response.Body, c.settings.maxStreamBytes))
	// The scanner ignores a limit that is smaller than its initial buffer, so
	// the buffer must not exceed maxEventBytes.
	events.Buffer(make([]byte, 0, min(4<<10, c.settings.maxEventBytes)), c.settings.maxEventBytes)
	return &chunks{
		ctx: ctx, cancel: cancel, body: response.Body, events: events,
		incarnation: response.Header.Get("X-Incarnation"),
		timer:       timer, nextTimeout: firstChunk - time.Since(started), gapTimeout: c.settings.chunkGapTimeout,
	}, nil
}

// chunks reads the chunks of one attempt from server-sent events. The timer of
// the progress deadline runs only while Next waits, so that a slow caller does
// not count as a failure of its endpoint.
type chunks struct {
	ctx         context.Context // cancelled by Close and by the progress deadline
	cancel      context.CancelCauseFunc
	body        io.Closer
	events      *bufio.Scanner
	incarnation string
	timer       *time.Timer
	nextTimeout time.Duration // for the next chunk
	gapTimeout  time.Duration // for every chunk after the first
	ended       bool
}

// Incarnation returns the incarnation of the engine process that answers.
func (c *chunks) Incarnation() string {
	return c.incarnation
}

// Next returns the next chunk, or io.EOF after the end marker. It fails with
// ErrNoProgress, and ends the stream, if no chunk arrives in time.
func (c *chunks) Next() (flamingodoor.Chunk, error) {
	if c.ended {
		return flamingodoor.Chunk{}, io.EOF
	}
	c.timer.Reset(max(c.nextTimeout, time.Millisecond))
	defer c.timer.Stop()
	for c.events.Scan() {
		payload, ok := bytes.CutPrefix(c.events.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		var body chunkBody
		if err := json.Unmarshal(payload, &body); err != nil {
			err = flamingodoor.Errorf(flamingodoor.CodeEndpointFailed, "decode a chunk of the answer: %w", err)
			return flamingodoor.Chunk{}, flamingodoor.NewError(flamingodoor.CodeEndpointFailed, flamingodoor.RunStateMayHaveRun, err)
		}
		c.nextTimeout = c.gapTimeout
		c.ended = body.Done
		return flamingodoor.Chunk(body), nil
	}
	return flamingodoor.Chunk{}, c.readError()
}

// readError returns the reason why the stream ended without an end marker.
func (c *chunks) readError() error {
	err := c.events.Err()
	if cause := context.Cause(c.ctx); cause != nil {
		err = cause
	}
	switch {
	case err == nil:
		err = io.ErrUnexpectedEOF
	case errors.Is(err, bufio.ErrTooLong):
		err = flamingodoor.Errorf(flamingodoor.CodeEndpointFailed, "an event of the answer is too large: %w", err)
		return flamingodoor.NewError(flamingodoor.CodeEndpointFailed, flamingodoor.RunStateMayHaveRun, err)
	case errors.Is(c.ctx.Err(), context.DeadlineExceeded):
		return flamingodoor.NewError(flamingodoor.CodeDeadlineExceeded, flamingodoor.RunStateMayHaveRun, err)
	}
	return flamingodoor.NewError(flamingodoor.CodeStreamLost, flamingodoor.RunStateMayHaveRun, err)
}

// Close ends the stream and its connection.
func (c *chunks) Close() error {
	c.timer.Stop()
	c.cancel(nil)
	return c.body.Close()
}
