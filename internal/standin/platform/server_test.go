package standinplatform_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"
	"gotest.tools/v3/assert"

	platformv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/platform/v1"
	"flamingodoor.example/flamingodoor/gen/flamingodoor/platform/v1/platformv1connect"
	standinplatform "flamingodoor.example/flamingodoor/internal/standin/platform"
)

type clients struct {
	t       *testing.T
	log     platformv1connect.LogServiceClient
	hosts   platformv1connect.HostListServiceClient
	weights platformv1connect.WeightServiceClient
	faults  platformv1connect.FaultServiceClient
}

func start(t *testing.T, options ...standinplatform.Option) *clients {
	t.Helper()
	server := httptest.NewUnstartedServer(standinplatform.New(options...).Handler())
	server.Config.Protocols = standinplatform.Protocols()
	server.Start()
	t.Cleanup(server.Close)
	transport := &http.Transport{Protocols: &http.Protocols{}}
	transport.Protocols.SetUnencryptedHTTP2(true)
	t.Cleanup(transport.CloseIdleConnections)
	client := &http.Client{Transport: transport}
	return &clients{
		t:       t,
		log:     platformv1connect.NewLogServiceClient(client, server.URL),
		hosts:   platformv1connect.NewHostListServiceClient(client, server.URL),
		weights: platformv1connect.NewWeightServiceClient(client, server.URL),
		faults:  platformv1connect.NewFaultServiceClient(http.DefaultClient, server.URL),
	}
}

func (c *clients) append(data string) error {
	_, err := c.log.Append(c.t.Context(), connect.NewRequest(&platformv1.AppendRequest{Stream: "s", Data: []byte(data)}))
	return err
}

func (c *clients) read(from uint64, wait time.Duration) (*platformv1.ReadResponse, error) {
	response, err := c.log.Read(c.t.Context(), connect.NewRequest(&platformv1.ReadRequest{Stream: "s", From: from, Wait: durationpb.New(wait)}))
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

func (c *clients) set(request *platformv1.SetRequest) {
	c.t.Helper()
	_, err := c.faults.Set(c.t.Context(), connect.NewRequest(request))
	assert.NilError(c.t, err)
}

// Guards against faults that do not work as set: an append whose answer is lost and
// whose record is lost too, a late append that takes effect early, and trimmed
// records that are still returned.
func TestAppendFaults(t *testing.T) {
	c := start(t)
	c.set(&platformv1.SetRequest{LoseAnswers: 1, LateAppends: 1, LateBy: durationpb.New(50 * time.Millisecond)})
	assert.Equal(t, connect.CodeOf(c.append("lost answer")), connect.CodeUnavailable)
	assert.Equal(t, connect.CodeOf(c.append("late")), connect.CodeUnavailable)
	assert.NilError(t, c.append("third"))
	page, err := c.read(3, 2*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, string(page.GetEntries()[0].GetData()), "late")

	c.set(&platformv1.SetRequest{TrimStream: "s", TrimBefore: 3})
	page, err = c.read(1, 0)
	assert.NilError(t, err)
	assert.Equal(t, page.GetFirst(), uint64(3))
	assert.Equal(t, page.GetNext(), uint64(4))
	assert.Equal(t, len(page.GetEntries()), 1)
}

// Guards against a read that continues to wait for an append during an outage.
func TestOutageEndsWaitingRead(t *testing.T) {
	c := start(t)
	failed := make(chan error, 1)
	go func() {
		_, err := c.read(1, 20*time.Second)
		failed <- err
	}()
	time.Sleep(30 * time.Millisecond)
	c.set(&platformv1.SetRequest{Outage: true})
	select {
	case err := <-failed:
		assert.Equal(t, connect.CodeOf(err), connect.CodeUnavailable)
	case <-time.After(5 * time.Second):
		t.Fatal("the read did not end")
	}
	assert.Equal(t, connect.CodeOf(c.append("x")), connect.CodeUnavailable)
	c.set(&platformv1.SetRequest{})
	assert.NilError(t, c.append("x"))
}

// Guards against settings without effect: retention, append rate, lag of the host
// list and weight rate.
func TestLimits(t *testing.T) {
	c := start(t, standinplatform.WithRetention(300*time.Millisecond), standinplatform.WithAppendRate(50),
		standinplatform.WithHostLag(100*time.Millisecond), standinplatform.WithWeightRate(1000))
	ctx := t.Context()
	_, err := c.hosts.Announce(ctx, connect.NewRequest(&platformv1.AnnounceRequest{HostId: "h"}))
	assert.NilError(t, err)
	listed, err := c.hosts.List(ctx, connect.NewRequest(&platformv1.ListRequest{}))
	assert.NilError(t, err)
	assert.Equal(t, len(listed.Msg.GetHosts()), 0)

	began := time.Now()
	for range 15 {
		assert.NilError(t, c.append("x"))
	}
	assert.Assert(t, time.Since(began) > 150*time.Millisecond, "15 appends at 50/s with a burst of 5 take 200 ms")
	listed, err = c.hosts.List(ctx, connect.NewRequest(&platformv1.ListRequest{}))
	assert.NilError(t, err)
	assert.Equal(t, len(listed.Msg.GetHosts()), 1)

	for transfer := range 2 {
		reserved, err := c.weights.Reserve(ctx, connect.NewRequest(&platformv1.ReserveRequest{Bytes: 10_000}))
		assert.NilError(t, err)
		if transfer == 1 { // starts after the first transfer, which takes 10 s
			assert.Assert(t, reserved.Msg.GetStartAfter().AsDuration() > 5*time.Second)
		}
	}
	time.Sleep(350 * time.Millisecond)
	page, err := c.read(1, 0)
	assert.NilError(t, err)
	assert.Equal(t, page.GetFirst(), uint64(16))
}
