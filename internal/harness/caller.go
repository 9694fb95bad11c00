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
)

const maxReplyBytes = 4 << 20

// Caller sends requests of a club to one entry host.
type Caller struct {
	BaseURL string
	Key     string // the club's key
	Model   string
	Timeout time.Duration
	client  *http.Client
}

// Reply is the answer to one request.
type Reply struct {
	Status    int
	RequestID string
	RunState  string
	Code      string // of a refusal
	Body      string
}

// Answer is a streamed answer.
type Answer struct {
	Text       string
	Tokens     int
	Complete   bool // ended with the end marker
	Code       string
	RunState   string
	RequestID  string
	Status     int
	FirstToken time.Duration
	LongestGap time.Duration
	Gaps       []time.Duration
}

// NewKey returns a new idempotency key.
func NewKey() string {
	return uuid.Must(uuid.NewV7()).String()
}

// NewCaller returns a caller with connections of its own.
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
	Error *refusal `json:"error"`
}

type refusal struct {
	Code     string `json:"code"`
	Message  string `json:"message"`
	RunState string `json:"run_state"`
}

// Stream asks for a streamed answer and hands its text to emit, which may be
// nil. The error is nil for typed refusals, which the answer describes.
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

// read follows the events until the end marker, a typed error or a cut.
func (a *Answer) read(body io.Reader, started time.Time, emit func(text string)) error {
	last := started
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
			a.measure(now, started, last)
			last = now
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

func (a *Answer) measure(now, started, last time.Time) {
	if a.Tokens == 0 {
		a.FirstToken = now.Sub(started)
	} else {
		gap := now.Sub(last)
		a.Gaps = append(a.Gaps, gap)
		a.LongestGap = max(a.LongestGap, gap)
	}
	a.Tokens++
}

// Post sends a call to a plain service. The key may be empty.
func (c *Caller) Post(ctx context.Context, path, idempotencyKey, body string) (Reply, error) {
	return c.call(ctx, http.MethodPost, path, idempotencyKey, body)
}

// Get sends an idempotent call to a plain service.
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
	// The transport must not repeat requests on its own, or a test could not
	// tell a repeat of the caller from one of the system.
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	reply := Reply{
		Status: response.StatusCode, RequestID: response.Header.Get("X-Request-Id"),
		RunState: response.Header.Get("X-Run-State"), Body: string(body),
	}
	var refused struct {
		Error refusal `json:"error"`
	}
	if json.Unmarshal(body, &refused) == nil {
		reply.Code = refused.Error.Code
	}
	if err != nil {
		return reply, internalError(err)
	}
	return reply, nil
}

func internalError(err error) error {
	return flamingodoor.NewError(flamingodoor.CodeInternal, flamingodoor.RunStateMayHaveRun, err)
}
