// Package stream assembles a streamed answer from chunks that may arrive out of
// order, repeatedly and in several attempts.
package stream

import (
	"slices"

	"flamingodoor.example/flamingodoor"
)

// maxHeldChunks limits the chunks that are held back until a missing one
// arrives.
const maxHeldChunks = 1024

// endUnknown is the value of endSeq until the end marker arrives.
const endUnknown = -1

// Assembler collects the answer to one request over several attempts. Each
// attempt resumes after the tokens that the earlier ones delivered. An
// Assembler is not safe for concurrent use.
type Assembler struct {
	requestID    string
	attempt      int
	tokens       []string
	held         map[int]string // chunks after a missing one, by sequence number
	endSeq       int            // sequence number of the end marker
	finishReason string
}

// NewAssembler returns an empty Assembler for a request. BeginAttempt must be
// called before Accept.
func NewAssembler(requestID string) *Assembler {
	return &Assembler{requestID: requestID, endSeq: endUnknown}
}

// BeginAttempt starts an attempt and returns the tokens after which it resumes.
// From now on chunks of other attempts are dropped, including those held back:
// their tokens may not fit the tokens of this attempt.
func (a *Assembler) BeginAttempt(attempt int) (resume []string) {
	a.attempt = attempt
	a.held = map[int]string{}
	a.endSeq = endUnknown
	a.finishReason = ""
	return a.Tokens()
}

// Accept adds a chunk and returns the tokens that it makes available in order.
// It fails if chunks of the attempt contradict each other, or if too many are
// held back for a missing one; the attempt cannot be continued then.
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
	if a.endSeq != endUnknown && chunk.Seq >= a.endSeq {
		return nil, errorf("chunk %d follows the end marker %d", chunk.Seq, a.endSeq)
	}
	if _, repeated := a.held[chunk.Seq]; repeated {
		return nil, nil
	}
	if len(a.held) >= maxHeldChunks && chunk.Seq != len(a.tokens) {
		return nil, errorf("chunk %d is missing while %d later chunks are held back", len(a.tokens), len(a.held))
	}
	a.held[chunk.Seq] = chunk.Text
	return a.releaseInOrder(), nil
}

// acceptEnd records the end marker. It fails if the marker contradicts chunks
// or another end marker of the attempt.
func (a *Assembler) acceptEnd(chunk flamingodoor.Chunk) error {
	if a.endSeq != endUnknown && a.endSeq != chunk.Seq {
		return errorf("end markers %d and %d differ", a.endSeq, chunk.Seq)
	}
	if chunk.Seq < len(a.tokens) {
		return errorf("end marker %d is before chunk %d", chunk.Seq, len(a.tokens)-1)
	}
	for seq := range a.held {
		if seq >= chunk.Seq {
			return errorf("chunk %d follows the end marker %d", seq, chunk.Seq)
		}
	}
	a.endSeq = chunk.Seq
	a.finishReason = chunk.FinishReason
	return nil
}

// releaseInOrder moves the held chunks that follow the tokens without a gap to
// the tokens, and returns them.
func (a *Assembler) releaseInOrder() []string {
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

// Tokens returns a copy of all tokens that Accept has returned so far.
func (a *Assembler) Tokens() []string {
	return append([]string{}, a.tokens...)
}

// Complete reports whether the end marker and all chunks before it have
// arrived.
func (a *Assembler) Complete() bool {
	return a.endSeq != endUnknown && len(a.tokens) == a.endSeq
}

// FinishReason returns the finish reason in the end marker, or an empty string
// before it has arrived.
func (a *Assembler) FinishReason() string {
	return a.finishReason
}

// errorf returns an error for an attempt that cannot be continued and may have
// run.
func errorf(format string, args ...any) error {
	cause := flamingodoor.Errorf(flamingodoor.CodeEndpointFailed, format, args...)
	return flamingodoor.NewError(flamingodoor.CodeEndpointFailed, flamingodoor.RunStateMayHaveRun, cause)
}
