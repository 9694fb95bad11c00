// Package stream puts the chunks of a streamed answer in order.
package stream

import (
	"slices"

	"flamingodoor.example/flamingodoor"
)

// maxHeldChunks bounds the chunks that wait for a missing one.
const maxHeldChunks = 1024

// unknownEnd is the end of a stream whose end marker has not arrived.
const unknownEnd = -1

// Assembler collects the answer of one request over several attempts. Each
// attempt goes on from the tokens that the earlier ones delivered.
type Assembler struct {
	requestID    string
	attempt      int
	tokens       []string
	held         map[int]string // by sequence number, all beyond the tokens
	end          int
	finishReason string
}

// NewAssembler returns an empty assembler. BeginAttempt starts its first attempt.
func NewAssembler(requestID string) *Assembler {
	return &Assembler{requestID: requestID, end: unknownEnd}
}

// BeginAttempt starts an attempt and returns its resume point. Chunks of all other
// attempts are dropped from now on, also those held back: tokens of another
// attempt beyond the resume point need not fit the tokens of this one.
func (a *Assembler) BeginAttempt(attempt int) (resume []string) {
	a.attempt = attempt
	a.held = map[int]string{}
	a.end = unknownEnd
	a.finishReason = ""
	return a.Tokens()
}

// Accept takes a chunk and returns the tokens that are now in order. It fails
// when the attempt contradicts itself or too many chunks wait for a missing
// one; the attempt is then useless.
func (a *Assembler) Accept(chunk flamingodoor.Chunk) ([]string, error) {
	if chunk.RequestID != a.requestID || chunk.Attempt != a.attempt || a.Complete() {
		return nil, nil
	}
	if chunk.Done {
		return nil, a.acceptEnd(chunk)
	}
	if chunk.Seq < len(a.tokens) {
		return nil, nil
	}
	if a.end != unknownEnd && chunk.Seq >= a.end {
		return nil, failuref("chunk %d follows the end marker %d", chunk.Seq, a.end)
	}
	if _, repeated := a.held[chunk.Seq]; repeated {
		return nil, nil
	}
	if len(a.held) >= maxHeldChunks && chunk.Seq != len(a.tokens) {
		return nil, failuref("chunk %d is missing while %d wait for it", len(a.tokens), len(a.held))
	}
	a.held[chunk.Seq] = chunk.Text
	return a.release(), nil
}

func (a *Assembler) acceptEnd(chunk flamingodoor.Chunk) error {
	if a.end != unknownEnd && a.end != chunk.Seq {
		return failuref("end markers %d and %d differ", a.end, chunk.Seq)
	}
	if chunk.Seq < len(a.tokens) {
		return failuref("end marker %d is before chunk %d", chunk.Seq, len(a.tokens)-1)
	}
	for seq := range a.held {
		if seq >= chunk.Seq {
			return failuref("chunk %d follows the end marker %d", seq, chunk.Seq)
		}
	}
	a.end = chunk.Seq
	a.finishReason = chunk.FinishReason
	return nil
}

func (a *Assembler) release() []string {
	first := len(a.tokens)
	for {
		text, ok := a.held[len(a.tokens)]
		if !ok {
			return slices.Clone(a.tokens[first:])
		}
		delete(a.held, len(a.tokens))
		a.tokens = append(a.tokens, text)
	}
}

// Tokens returns the tokens released so far, which the caller already has.
func (a *Assembler) Tokens() []string {
	return append([]string{}, a.tokens...)
}

// Complete reports whether the end marker has arrived and nothing is missing.
func (a *Assembler) Complete() bool {
	return a.end != unknownEnd && len(a.tokens) == a.end
}

// FinishReason returns the reason in the end marker.
func (a *Assembler) FinishReason() string {
	return a.finishReason
}

func failuref(format string, args ...any) error {
	cause := flamingodoor.Errorf(flamingodoor.CodeEndpointFailed, format, args...)
	return flamingodoor.NewError(flamingodoor.CodeEndpointFailed, flamingodoor.RunStateMayHaveRun, cause)
}
