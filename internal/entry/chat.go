package entry

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/dispatch"
)

// completionBody is an OpenAI style response, or one event of a stream.
type completionBody struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

// choice has a message in a response and a delta in an event.
type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *delta   `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content"`
}

// serveChat serves a chat completion, as one response or as a stream of events.
func (h *handler) serveChat(x *exchange) error {
	data, err := h.readBody(x)
	if err != nil {
		return err
	}
	body, err := parseChat(data)
	if err != nil {
		return err
	}
	model, err := resolveModel(h.parts.Configuration.Current(), x.club, body.Model)
	if err != nil {
		return err
	}
	prompt := renderPrompt(body.Messages)
	priority := min(body.Priority, x.club.MaxPriority)
	release, err := h.admit(x, priority)
	if err != nil {
		return err
	}
	defer release()
	response := &chatResponse{handler: h, exchange: x, model: body.Model, stream: body.Stream}
	result, err := h.parts.Dispatcher.Generate(x.request.Context(), dispatch.Request{
		RequestID: x.requestID, ClubID: x.club.ID,
		ModelID: model.modelID, Version: model.version, Adapter: model.adapter,
		Prompt: prompt, MaxTokens: body.MaxTokens, Priority: priority, Deadline: x.deadline,
		Fingerprint: fingerprint(x.club.ID, model, prompt),
	}, response.writeToken)
	if err != nil {
		return err
	}
	return response.finish(result.FinishReason)
}

// fingerprint returns a hash that is equal for equal requests of a club. It does
// not include the version and the token limit: a request that crashes endpoints
// also does so if the caller varies these.
func fingerprint(clubID string, model modelSelection, prompt string) flamingodoor.Fingerprint {
	hash := sha256.New()
	for _, part := range []string{clubID, model.modelID, model.adapter, prompt} {
		_, _ = fmt.Fprintf(hash, "%d:%s", len(part), part)
	}
	return flamingodoor.Fingerprint(hash.Sum(nil))
}

// chatResponse writes each token as an event of a stream, or collects the tokens
// for a single response.
type chatResponse struct {
	handler     *handler
	exchange    *exchange
	model       string
	stream      bool
	text        strings.Builder // if not a stream
	lastTokenAt time.Time
}

// writeToken adds a token to the response. The status of a stream is sent with
// the first token, so that a request that fails earlier gets an error status.
func (r *chatResponse) writeToken(text string) error {
	r.observeToken()
	if !r.stream {
		r.text.WriteString(text)
		return nil
	}
	return r.writeEvent(choice{Delta: &delta{Content: text}})
}

// observeToken adds a token and its time to the observation.
func (r *chatResponse) observeToken() {
	now := r.handler.now()
	observation := &r.exchange.observation
	if observation.Tokens == 0 {
		observation.FirstToken = now.Sub(r.exchange.started)
	} else {
		observation.Gaps = append(observation.Gaps, now.Sub(r.lastTokenAt))
	}
	observation.Tokens++
	r.lastTokenAt = now
}

// writeEvent sends an event of a stream, after the header if it is the first.
func (r *chatResponse) writeEvent(c choice) error {
	w := r.exchange.writer
	if !r.exchange.statusSent {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Cache-Control", "no-cache")
		w.WriteHeader(http.StatusOK)
		r.exchange.statusSent = true
	}
	data, err := json.Marshal(r.body("chat.completion.chunk", c))
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

func (r *chatResponse) body(object string, c choice) completionBody {
	return completionBody{
		ID: r.exchange.requestID, Object: object, Created: r.exchange.started.Unix(),
		Model: r.model, Choices: []choice{c},
	}
}

// finish ends a stream, or sends the collected response.
func (r *chatResponse) finish(reason string) error {
	w := r.exchange.writer
	var err error
	if r.stream {
		if err = r.writeEvent(choice{Delta: &delta{}, FinishReason: &reason}); err == nil {
			_, err = fmt.Fprint(w, "data: [DONE]\n\n")
		}
	} else {
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("X-Run-State", flamingodoor.RunStateRan.String())
		err = json.NewEncoder(w).Encode(r.body("chat.completion", choice{
			Message: &message{Role: "assistant", Content: r.text.String()}, FinishReason: &reason,
		}))
	}
	if err != nil {
		r.exchange.statusSent = true // too late for an error status
		return flamingodoor.NewError(flamingodoor.CodeStreamLost, flamingodoor.RunStateRan, err)
	}
	return nil
}
