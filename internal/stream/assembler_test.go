package stream_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/stream"
)

// Guards against a wrong text when chunks of several attempts and of another
// request are reordered, repeated and mixed. The tokens differ between
// attempts, as with engines that sample.
func TestAnyOrderGivesTheRightText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		assembler := stream.NewAssembler("r")
		attempts := rapid.IntRange(1, 4).Draw(t, "attempts")
		var expected []string
		var earlier []flamingodoor.Chunk
		for attempt := 1; attempt <= attempts; attempt++ {
			resume := assembler.BeginAttempt(attempt)
			assert.DeepEqual(t, resume, append([]string{}, expected...))
			length := len(resume) + rapid.IntRange(0, 8).Draw(t, "length")
			texts := make([]string, length)
			copy(texts, resume)
			var chunks []flamingodoor.Chunk
			for seq := len(resume); seq < length; seq++ {
				texts[seq] = fmt.Sprintf("%d.%d ", attempt, seq)
				chunks = append(chunks, flamingodoor.Chunk{RequestID: "r", Attempt: attempt, Seq: seq, Text: texts[seq]})
			}
			last := flamingodoor.Chunk{RequestID: "r", Attempt: attempt, Seq: length, Done: true, FinishReason: "stop"}
			chunks = append(chunks, last)
			delivered := rapid.Permutation(chunks).Draw(t, "order")
			if attempt < attempts { // the connection breaks before the answer is complete
				delivered = delivered[:rapid.IntRange(0, len(chunks)-1).Draw(t, "delivered")]
			}
			extra := append(append([]flamingodoor.Chunk{}, delivered...), earlier...)
			extra = append(extra, flamingodoor.Chunk{RequestID: "other", Attempt: attempt, Seq: len(resume), Text: "wrong"})
			mixed := rapid.Permutation(append(extra, delivered...)).Draw(t, "mixed")
			for _, chunk := range mixed {
				released, err := assembler.Accept(chunk)
				assert.NilError(t, err)
				expected = append(expected, released...)
			}
			for seq, text := range expected {
				assert.Equal(t, text, texts[seq])
			}
			assert.Equal(t, assembler.Complete(), attempt == attempts)
			if assembler.Complete() {
				assert.DeepEqual(t, append([]string{}, expected...), append([]string{}, texts...))
			}
			earlier = append(earlier, chunks...)
		}
	})
}

// Guards against waiting for ever, and unbounded memory use, when a chunk is
// missing.
func TestHeldChunksAreBounded(t *testing.T) {
	assembler := stream.NewAssembler("r")
	assembler.BeginAttempt(1)
	var err error
	accepted := 0
	for seq := 1; err == nil && seq < 10_000; seq++ {
		_, err = assembler.Accept(flamingodoor.Chunk{RequestID: "r", Attempt: 1, Seq: seq, Text: "x"})
		accepted++
	}
	assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodeEndpointFailed)
	assert.Equal(t, accepted, 1025)
}
