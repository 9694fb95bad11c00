package standinendpoint_test

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/engine"
	standinendpoint "flamingodoor.example/flamingodoor/internal/standin/endpoint"
)

type fixture struct {
	server   *standinendpoint.Server
	client   *engine.Client
	endpoint flamingodoor.Endpoint
}

func start(t *testing.T, options ...standinendpoint.Option) fixture {
	t.Helper()
	server := standinendpoint.New(options...)
	listener := httptest.NewServer(server.Handler())
	t.Cleanup(listener.Close)
	return fixture{server, engine.NewClient(), flamingodoor.Endpoint{Address: netip.MustParseAddrPort(listener.Listener.Addr().String())}}
}

func (f fixture) order(t *testing.T, fencing uint64, member int) error {
	t.Helper()
	return f.client.Order(t.Context(), f.endpoint, flamingodoor.Order{
		FencingNumber: fencing, GroupID: "g", MemberIndex: member, ModelID: "m", Deadline: time.Now().Add(time.Second),
	})
}

func (f fixture) generate(t *testing.T, request flamingodoor.GenerateRequest) (string, error) {
	t.Helper()
	stream, err := f.client.Generate(t.Context(), f.endpoint, request)
	if err != nil {
		return "", err
	}
	defer func() { _ = stream.Close() }()
	text := ""
	for {
		chunk, err := stream.Next()
		if errors.Is(err, io.EOF) {
			return text, nil
		}
		if err != nil {
			return text, err
		}
		text += chunk.Text
	}
}

// Guards against a stand-in that answers for a group that it does not lead, or that
// accepts an order with a lower fencing number than its last one.
func TestEngineAnswersForItsGroupOnly(t *testing.T) {
	f := start(t, standinendpoint.WithFencing(), standinendpoint.WithAnswerTokens(4))
	request := flamingodoor.GenerateRequest{RequestID: "r", Prompt: "p", FencingNumber: 7}
	_, err := f.generate(t, request)
	assert.Equal(t, flamingodoor.RunStateOf(err), flamingodoor.RunStateNotRun)

	assert.NilError(t, f.order(t, 7, 0))
	text, err := f.generate(t, request)
	assert.NilError(t, err)
	assert.Equal(t, text, standinendpoint.Answer("p", 4))
	request.Resume = []string{standinendpoint.Token("p", 0)}
	text, err = f.generate(t, request)
	assert.NilError(t, err)
	assert.Equal(t, standinendpoint.Token("p", 0)+text, standinendpoint.Answer("p", 4))

	assert.Equal(t, flamingodoor.CodeOf(f.order(t, 6, 0)), flamingodoor.CodeOrderRefused)
	assert.NilError(t, f.order(t, 8, 1))
	request.FencingNumber = 8
	_, err = f.generate(t, request)
	assert.Equal(t, flamingodoor.RunStateOf(err), flamingodoor.RunStateNotRun)
}

// Guards against a cold phase that never ends, and against requests that are not
// counted while the endpoint is cold or leaving.
func TestColdPhaseEndsAfterRequests(t *testing.T) {
	f := start(t, standinendpoint.WithColdRequests(1))
	assert.NilError(t, f.order(t, 1, 0))
	for _, expected := range []flamingodoor.EndpointState{flamingodoor.EndpointStateCold, flamingodoor.EndpointStateWarm} {
		report, err := f.client.Report(t.Context(), f.endpoint)
		assert.NilError(t, err)
		assert.Equal(t, report.State, expected)
		assert.Equal(t, report.GroupID, "g")
		_, err = f.generate(t, flamingodoor.GenerateRequest{Prompt: "p"})
		assert.NilError(t, err)
	}
	assert.Equal(t, f.server.Statistics().ColdInFlightMax, 1)
	f.server.SetLeaving(true)
	_, err := f.generate(t, flamingodoor.GenerateRequest{Prompt: "p"})
	assert.NilError(t, err)
	assert.Equal(t, f.server.Statistics().ReceivedWhileLeaving, 1)
}

// Guards against reports that show a change before the report lag has passed.
func TestReportsLag(t *testing.T) {
	f := start(t, standinendpoint.WithReportLag(200*time.Millisecond))
	assert.NilError(t, f.order(t, 1, 0))
	report, err := f.client.Report(t.Context(), f.endpoint)
	assert.NilError(t, err)
	assert.Equal(t, report.GroupID, "")
	time.Sleep(250 * time.Millisecond)
	report, err = f.client.Report(t.Context(), f.endpoint)
	assert.NilError(t, err)
	assert.Equal(t, report.GroupID, "g")
}

// Guards against a cancelled request that still counts as in flight. The engine
// continues the request after its connection is lost, until it is cancelled.
func TestCancelEndsTheRequest(t *testing.T) {
	f := start(t, standinendpoint.WithRunAfterDisconnect(), standinendpoint.WithTokenTimes(0, time.Minute))
	assert.NilError(t, f.order(t, 1, 0))
	stream, err := f.client.Generate(t.Context(), f.endpoint, flamingodoor.GenerateRequest{RequestID: "r/1", Attempt: 2, Prompt: "p"})
	assert.NilError(t, err)
	_, err = stream.Next()
	assert.NilError(t, err)
	assert.NilError(t, stream.Close())
	report, err := f.client.Report(t.Context(), f.endpoint)
	assert.NilError(t, err)
	assert.Equal(t, report.InFlight, 1)
	assert.NilError(t, f.client.Cancel(t.Context(), f.endpoint, "r/1", 2))
	report, err = f.client.Report(t.Context(), f.endpoint)
	assert.NilError(t, err)
	assert.Equal(t, report.InFlight, 0)
}

// Guards against a simulated crash after which the answer is still completed, and
// against cache events without the configured gaps.
func TestCrashAndCacheGaps(t *testing.T) {
	var crashed atomic.Int32
	f := start(t, standinendpoint.WithCrash("boom", 2, func() { crashed.Add(1) }), standinendpoint.WithCacheGapEvery(3))
	assert.NilError(t, f.order(t, 1, 0))
	text, err := f.generate(t, flamingodoor.GenerateRequest{Prompt: "boom"})
	assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodeStreamLost)
	assert.Equal(t, text, standinendpoint.Answer("boom", 2))
	assert.Equal(t, crashed.Load(), int32(1))
	_, err = f.generate(t, flamingodoor.GenerateRequest{Prompt: "fine"})
	assert.NilError(t, err)
	events, err := f.client.CacheEvents(t.Context(), f.endpoint, 1)
	assert.NilError(t, err)
	assert.Equal(t, events.First, uint64(3))
	assert.Equal(t, events.Next, uint64(3))
}

// Guards against a service that does not count its runs by request, key and body.
func TestServiceCountsRuns(t *testing.T) {
	f := start(t, standinendpoint.WithService(0))
	call := flamingodoor.ServiceCall{RequestID: "r", IdempotencyKey: "k", Method: http.MethodPost, Path: "/post", Body: []byte("b")}
	for range 2 {
		_, err := engine.NewServiceClient().Call(t.Context(), f.endpoint, call)
		assert.NilError(t, err)
	}
	statistics := f.server.Statistics()
	assert.Equal(t, statistics.RunsByRequest["r"], 2)
	assert.Equal(t, statistics.RunsByKey["k"], 2)
	assert.Equal(t, len(statistics.RunsByBody), 1)
}
