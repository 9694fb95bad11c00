package harness

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/intake"
)

const maxReplyBytes = 4 << 20

// Caller is a client that sends requests to one entry host for one club.
type Caller struct {
	BaseURL string
	Key     string // API key of the club
	Model   string
	Timeout time.Duration // sent as X-Request-Timeout unless it is 0
	client  *http.Client
}

// Reply is a response that is not streamed.
type Reply struct {
	Status    int
	RequestID string
	RunState  string
	Code      string // error code of a refusal
	Body      string
}

// Answer describes a streamed answer: its text, how it ended and when its tokens
// arrived.
type Answer struct {
	Text       string
	Tokens     int
	Complete   bool   // ended with [DONE]
	Code       string // of a refusal or of the error that ended the answer
	RunState   string
	RequestID  string
	Status     int
	FirstToken time.Duration   // from sending the request to the first token
	LongestGap time.Duration   // between consecutive tokens
	Gaps       []time.Duration // between consecutive tokens
}

// NewKey returns a new idempotency key.
func NewKey() string {
	return uuid.Must(uuid.NewV7()).String()
}

// NewCaller returns a caller that shares no connections with other callers.
func NewCaller(baseURL, key, model string) *Caller {
	transport := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
	return &Caller{BaseURL: baseURL, Key: key, Model: model, client: &http.Client{Transport: transport}}
}

type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatEvent struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Error *errorBody `json:"error"`
}

type errorBody struct {
	Code     string `json:"code"`
	Message  string `json:"message"`
	RunState string `json:"run_state"`
}

// Stream requests a streamed answer and passes each piece of its text to emit,
// which may be nil. A refusal or an error event of the system is not returned as
// an error: Code and RunState of the answer describe it.
func (c *Caller) Stream(ctx context.Context, prompt string, tokens int, emit func(text string)) (Answer, error) {
	body, err := json.Marshal(chatRequest{
		Model: c.Model, Messages: []chatMessage{{Role: "user", Content: prompt}}, MaxTokens: tokens, Stream: true,
	})
	if err != nil {
		return Answer{}, internalError(err)
	}
	started := time.Now()
	response, err := c.send(ctx, http.MethodPost, "/v1/chat/completions", "", body)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	answer := Answer{Status: response.StatusCode, RequestID: response.Header.Get("X-Request-Id")}
	if response.StatusCode != http.StatusOK {
		reply, err := readReply(response)
		answer.Code, answer.RunState = reply.Code, reply.RunState
		return answer, err
	}
	return answer, answer.read(response.Body, started, emit)
}

// read parses the events until [DONE], an error event or the end of the
// connection, which leaves Complete false.
func (a *Answer) read(body io.Reader, started time.Time, emit func(text string)) error {
	lastToken := started
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxReplyBytes)
	var text strings.Builder
	defer func() { a.Text = text.String() }()
	for scanner.Scan() {
		data, ok := strings.CutPrefix(scanner.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			a.Complete = true
			return nil
		}
		var event chatEvent
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			return internalError(err)
		}
		if event.Error != nil {
			a.Code, a.RunState = event.Error.Code, event.Error.RunState
			return nil
		}
		for _, choice := range event.Choices {
			if choice.Delta.Content == "" {
				continue
			}
			now := time.Now()
			a.recordToken(now, started, lastToken)
			lastToken = now
			text.WriteString(choice.Delta.Content)
			if emit != nil {
				emit(choice.Delta.Content)
			}
		}
	}
	if err := scanner.Err(); err != nil {
		return internalError(err)
	}
	return nil
}

// recordToken updates the times of the tokens.
func (a *Answer) recordToken(now, started, lastToken time.Time) {
	if a.Tokens == 0 {
		a.FirstToken = now.Sub(started)
	} else {
		gap := now.Sub(lastToken)
		a.Gaps = append(a.Gaps, gap)
		a.LongestGap = max(a.LongestGap, gap)
	}
	a.Tokens++
}

// Post sends a POST request to a plain service. Without an idempotency key it
// sends no Idempotency-Key header.
func (c *Caller) Post(ctx context.Context, path, idempotencyKey, body string) (Reply, error) {
	return c.call(ctx, http.MethodPost, path, idempotencyKey, body)
}

// Get sends a GET request to a plain service.
func (c *Caller) Get(ctx context.Context, path string) (Reply, error) {
	return c.call(ctx, http.MethodGet, path, "", "")
}

func (c *Caller) call(ctx context.Context, method, path, idempotencyKey, body string) (Reply, error) {
	response, err := c.send(ctx, method, path, idempotencyKey, []byte(body))
	if err != nil {
		return Reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	return readReply(response)
}

func (c *Caller) send(ctx context.Context, method, path, idempotencyKey string, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, internalError(err)
	}
	// Without GetBody the transport does not retry requests by itself. A test
	// can then tell the caller's repeats from those of the system.
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+c.Key)
	request.Header.Set("Content-Type", "application/json")
	if idempotencyKey != "" {
		request.Header.Set("Idempotency-Key", idempotencyKey)
	}
	if c.Timeout > 0 {
		request.Header.Set("X-Request-Timeout", formatSeconds(c.Timeout))
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, internalError(err)
	}
	return response, nil
}

func readReply(response *http.Response) (Reply, error) {
	body, err := intake.ReadAll(response.Body, maxReplyBytes)
	reply := Reply{
		Status: response.StatusCode, RequestID: response.Header.Get("X-Request-Id"),
		RunState: response.Header.Get("X-Run-State"), Body: string(body),
	}
	var envelope struct {
		Error errorBody `json:"error"`
	}
	if json.Unmarshal(body, &envelope) == nil {
		reply.Code = envelope.Error.Code
	}
	if err != nil {
		return reply, internalError(err)
	}
	return reply, nil
}

// internalError wraps a failure to send a request or to read its response. The
// request may have run.
func internalError(err error) error {
	return flamingodoor.NewError(flamingodoor.CodeInternal, flamingodoor.RunStateMayHaveRun, err)
}
