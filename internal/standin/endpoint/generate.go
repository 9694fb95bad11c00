package standinendpoint

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/routing"
)

type generateBody struct {
	RequestID     string   `json:"request_id"`
	Attempt       int      `json:"attempt"`
	Model         string   `json:"model"`
	Version       string   `json:"version"`
	Adapter       string   `json:"adapter"`
	Prompt        string   `json:"prompt"`
	MaxTokens     int      `json:"max_tokens"`
	Resume        []string `json:"resume"`
	FencingNumber uint64   `json:"fencing_number"`
}

type chunkBody struct {
	RequestID    string `json:"request_id"`
	Attempt      int    `json:"attempt"`
	Seq          int    `json:"seq"`
	Text         string `json:"text,omitempty"`
	Done         bool   `json:"done,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"`
}

type attemptKey struct {
	requestID string
	attempt   int
}

type runningAttempt struct {
	cancel context.CancelFunc
	ended  chan struct{} // closed when the attempt has ended
}

// Token returns token n of the answer to a prompt. Equal arguments give equal
// tokens.
func Token(prompt string, n int) string {
	return fmt.Sprintf("%d:%08x ", n, uint32(xxhash.Sum64String(strconv.Itoa(n)+"/"+prompt))) //nolint:gosec // lower half of the hash
}

// Answer returns the first tokens of the answer to a prompt as one text.
func Answer(prompt string, tokens int) string {
	var text strings.Builder
	for n := range tokens {
		text.WriteString(Token(prompt, n))
	}
	return text.String()
}

func (s *Server) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var body generateBody
	if !readJSON(w, r, &body) {
		return
	}
	ctx := r.Context()
	if s.settings.runAfterDisconnect {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	run := &runningAttempt{cancel: cancel, ended: make(chan struct{})}
	cold, counted, status := s.accept(&body, run)
	if status != http.StatusOK {
		w.WriteHeader(status)
		return
	}
	completed := false
	end := sync.OnceFunc(func() {
		s.end(counted, completed)
		s.mu.Lock()
		delete(s.running, attemptKey{body.RequestID, body.Attempt})
		s.mu.Unlock()
		close(run.ended)
	})
	defer end()
	delay := s.settings.firstTokenDelay
	if cold {
		delay = max(delay, s.coldDelay())
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Incarnation", s.settings.incarnation)
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	last, ok := s.stream(ctx, w, &body, delay)
	if !ok {
		return
	}
	// The attempt ends before the caller can see the end of the answer, so that a
	// report or a request that follows the answer never finds it running.
	completed = true
	end()
	writeEvent(w, last)
}

// coldDelay returns the time to the first token while cold. It grows with the
// requests in flight, because a cold engine processes requests one after the other
// and falls behind under load.
func (s *Server) coldDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	snap := s.current()
	return s.settings.coldDelay * time.Duration(max(1, snap.inFlight))
}

// accept decides whether the engine runs an attempt, and registers it. It returns
// whether the engine is cold, whether the attempt counts as in flight while cold,
// and the HTTP status, which is 200 for an accepted attempt.
func (s *Server) accept(body *generateBody, run *runningAttempt) (cold, counted bool, status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.countReceived(now)
	s.recordRequest(now, body.FencingNumber)
	snap := s.current()
	state := s.state(now)
	key := attemptKey{body.RequestID, body.Attempt}
	switch {
	case snap.order.GroupID == "", snap.order.MemberIndex != 0, s.running[key] != nil,
		s.settings.checksFencing && snap.order.FencingNumber != body.FencingNumber:
		s.statistics.RefusedGroup++
		return false, false, http.StatusConflict
	case state == flamingodoor.EndpointStateLoading,
		s.settings.capacity > 0 && snap.inFlight >= s.settings.capacity:
		s.statistics.RefusedBusy++
		return false, false, http.StatusTooManyRequests
	}
	for n, token := range body.Resume {
		if token != Token(body.Prompt, n) {
			s.statistics.WrongResumes++
			return false, false, http.StatusUnprocessableEntity
		}
	}
	if len(body.Resume) > 0 {
		s.statistics.Resumes++
	}
	s.running[key] = run
	s.statistics.RunsByRequest[body.RequestID]++
	counted = s.begin(now)
	s.cache.add(routing.PrefixHashes(body.Model, body.Version, body.Adapter, body.Prompt), now)
	s.update(func(snap *snapshot) {
		snap.cacheSeq = s.cache.nextSeq - 1
		if body.Adapter != "" && !slices.Contains(snap.order.Adapters, body.Adapter) {
			snap.order.Adapters = append(slices.Clone(snap.order.Adapters), body.Adapter)
		}
	})
	return state == flamingodoor.EndpointStateCold, counted, http.StatusOK
}

// stream writes the tokens of the answer that follow the resumed tokens. It returns
// the chunk that ends the answer, or false if the attempt ended before its last token.
func (s *Server) stream(ctx context.Context, w http.ResponseWriter, body *generateBody, delay time.Duration) (chunkBody, bool) {
	tokens, reason := s.settings.answerTokens, "stop"
	if body.MaxTokens > 0 && body.MaxTokens < tokens {
		tokens, reason = body.MaxTokens, "length"
	}
	chunk := chunkBody{RequestID: body.RequestID, Attempt: body.Attempt}
	crashes := s.settings.crashWord != "" && strings.Contains(body.Prompt, s.settings.crashWord)
	for n := len(body.Resume); n < tokens; n++ {
		if crashes && n-len(body.Resume) >= s.settings.crashAfter {
			s.crashNow()
		}
		if !s.wait(ctx, delay) {
			return chunkBody{}, false
		}
		delay = s.settings.tokenInterval
		chunk.Seq, chunk.Text = n, Token(body.Prompt, n)
		writeEvent(w, chunk)
	}
	if crashes {
		s.crashNow()
	}
	chunk.Seq, chunk.Text, chunk.Done, chunk.FinishReason = max(tokens, len(body.Resume)), "", true, reason
	return chunk, true
}

// crashNow counts the crash and calls the crash function. It breaks the connection
// if that function returns.
func (s *Server) crashNow() {
	s.mu.Lock()
	s.statistics.Crashed++
	s.mu.Unlock()
	s.settings.crash()
	panic(http.ErrAbortHandler)
}

// wait returns false and counts the attempt as disconnected if the context ends
// before the delay is over.
func (s *Server) wait(ctx context.Context, delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		if ctx.Err() == nil {
			return true
		}
	case <-ctx.Done():
	}
	s.mu.Lock()
	s.statistics.Disconnected++
	s.mu.Unlock()
	return false
}

// serveCancel cancels an attempt and answers when the attempt has ended.
func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	attempt, err := strconv.Atoi(r.URL.Query().Get("attempt"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	run := s.running[attemptKey{r.PathValue("id"), attempt}]
	if run != nil {
		s.statistics.Cancelled++
	}
	s.mu.Unlock()
	if run == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	run.cancel()
	select {
	case <-run.ended:
		w.WriteHeader(http.StatusNoContent)
	case <-r.Context().Done():
	}
}

func writeEvent(w http.ResponseWriter, chunk chunkBody) {
	data, err := json.Marshal(chunk)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
	_ = http.NewResponseController(w).Flush()
}
