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

type completionBody struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *delta   `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content"`
}

func (h *handler) serveChat(x *exchange) error {
	data, err := h.readBody(x)
	if err != nil {
		return err
	}
	body, err := parseChat(data)
	if err != nil {
		return err
	}
	model, err := chooseModel(h.parts.Configuration.Current(), x.club, body.Model)
	if err != nil {
		return err
	}
	text := prompt(body.Messages)
	priority := min(body.Priority, x.club.MaxPriority)
	release, err := h.admit(x, priority)
	if err != nil {
		return err
	}
	defer release()
	answer := &answer{handler: h, exchange: x, model: body.Model, stream: body.Stream}
	result, err := h.parts.Dispatcher.Generate(x.request.Context(), dispatch.Request{
		RequestID: x.requestID, ClubID: x.club.ID,
		ModelID: model.modelID, Version: model.version, Adapter: model.adapter,
		Prompt: text, MaxTokens: body.MaxTokens, Priority: priority, Deadline: x.deadline,
		Fingerprint: fingerprint(x.club.ID, model, text),
	}, answer.emit)
	if err != nil {
		return err
	}
	return answer.finish(result.FinishReason)
}

// fingerprint identifies equal requests of a club. The version and the limit
// of tokens are left out: a caller that varies them still crashes endpoints.
func fingerprint(clubID string, model modelChoice, text string) flamingodoor.Fingerprint {
	hash := sha256.New()
	for _, part := range []string{clubID, model.modelID, model.adapter, text} {
		_, _ = fmt.Fprintf(hash, "%d:%s", len(part), part)
	}
	return flamingodoor.Fingerprint(hash.Sum(nil))
}

// answer writes tokens as events, or collects them.
type answer struct {
	handler  *handler
	exchange *exchange
	model    string
	stream   bool
	text     strings.Builder
	last     time.Time
}

// emit takes the next token. The status of a stream is sent with the first
// token, so a request that fails before it gets the status of its error.
func (a *answer) emit(text string) error {
	a.measure()
	if !a.stream {
		a.text.WriteString(text)
		return nil
	}
	return a.event(choice{Delta: &delta{Content: text}})
}

func (a *answer) measure() {
	now := a.handler.now()
	observation := &a.exchange.observation
	if observation.Tokens == 0 {
		observation.FirstToken = now.Sub(a.exchange.started)
	} else {
		observation.Gaps = append(observation.Gaps, now.Sub(a.last))
	}
	observation.Tokens++
	a.last = now
}

func (a *answer) event(c choice) error {
	w := a.exchange.writer
	if !a.exchange.streaming {
		w.Header().Set("Content-Type", "text/event-stream")
		w.Header().Set("Cache-Control", "no-cache")
		w.WriteHeader(http.StatusOK)
		a.exchange.streaming = true
	}
	data, err := json.Marshal(a.body("chat.completion.chunk", c))
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
		return err
	}
	return http.NewResponseController(w).Flush()
}

func (a *answer) body(object string, c choice) completionBody {
	return completionBody{
		ID: a.exchange.requestID, Object: object, Created: a.exchange.started.Unix(),
		Model: a.model, Choices: []choice{c},
	}
}

// finish ends a complete answer.
func (a *answer) finish(reason string) error {
	w := a.exchange.writer
	var err error
	if a.stream {
		if err = a.event(choice{Delta: &delta{}, FinishReason: &reason}); err == nil {
			_, err = fmt.Fprint(w, "data: [DONE]\n\n")
		}
	} else {
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("X-Run-State", flamingodoor.RunStateRan.String())
		err = json.NewEncoder(w).Encode(a.body("chat.completion", choice{
			Message: &message{Role: "assistant", Content: a.text.String()}, FinishReason: &reason,
		}))
	}
	if err != nil {
		a.exchange.streaming = true // too late for an error status
		return flamingodoor.NewError(flamingodoor.CodeStreamLost, flamingodoor.RunStateRan, err)
	}
	return nil
}
