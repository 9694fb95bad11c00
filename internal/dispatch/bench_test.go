package dispatch_test

import (
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/dispatch"
	"flamingodoor.example/flamingodoor/internal/engine"
	standinendpoint "flamingodoor.example/flamingodoor/internal/standin/endpoint"
)

const benchTokens = 500

// maxAddedAllocations limits the allocations for each token that a dispatched
// stream makes in addition to those of a direct one. At the target load 390 hosts
// stream 450,000 tokens a second, 1,154 each; 8 allocations of about 0.2 µs each
// for every token, including garbage collection, cost a host 0.2% of a core.
const maxAddedAllocations = 8

// Guards against an unnoticed increase of the dispatcher's cost per token.
func TestAddedAllocationsPerToken(t *testing.T) {
	c := newCluster(t)
	c.add(t, "a", standinendpoint.WithTokenTimes(0, 0), standinendpoint.WithAnswerTokens(benchTokens))
	direct := testing.AllocsPerRun(5, func() { streamDirect(t, c) })
	dispatched := testing.AllocsPerRun(5, func() { streamDispatched(t, c) })
	added := (dispatched - direct) / benchTokens
	t.Logf("allocations per token: direct %.1f, dispatched %.1f", direct/benchTokens, dispatched/benchTokens)
	assert.Assert(t, added <= maxAddedAllocations, "added allocations per token: %.1f", added)
}

// BenchmarkStreamDirect and BenchmarkStreamDispatched measure the time for each
// token of a stream without and with the dispatcher.
func BenchmarkStreamDirect(b *testing.B)     { benchmarkStream(b, streamDirect) }
func BenchmarkStreamDispatched(b *testing.B) { benchmarkStream(b, streamDispatched) }

func benchmarkStream(b *testing.B, stream func(testing.TB, *cluster)) {
	b.Helper()
	c := newCluster(b)
	c.add(b, "a", standinendpoint.WithTokenTimes(0, 0), standinendpoint.WithAnswerTokens(benchTokens))
	b.ReportAllocs()
	for b.Loop() {
		stream(b, c)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/benchTokens, "ns/token")
}

func streamDirect(tb testing.TB, c *cluster) {
	tb.Helper()
	chunks, err := engine.NewClient().Generate(tb.Context(), c.endpoints[0], flamingodoor.GenerateRequest{
		RequestID: "r", Attempt: 1, ModelID: "m", Version: "v", Prompt: "p", MaxTokens: benchTokens, FencingNumber: 1,
	})
	assert.NilError(tb, err)
	defer func() { _ = chunks.Close() }()
	for {
		if _, err := chunks.Next(); err != nil {
			assert.ErrorIs(tb, err, io.EOF)
			return
		}
	}
}

func streamDispatched(tb testing.TB, c *cluster) {
	tb.Helper()
	result, err := c.dispatcher.Generate(tb.Context(), dispatch.Request{
		RequestID: "r", ModelID: "m", Version: "v", Prompt: "p", MaxTokens: benchTokens,
		Deadline: time.Now().Add(time.Minute),
	}, func(string) error { return nil })
	assert.NilError(tb, err)
	assert.Equal(tb, result.Tokens, benchTokens)
}
