package platform_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	platformv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/platform/v1"
	"flamingodoor.example/flamingodoor/gen/flamingodoor/platform/v1/platformv1connect"
	"flamingodoor.example/flamingodoor/internal/platform"
	standinplatform "flamingodoor.example/flamingodoor/internal/standin/platform"
)

// Guards against an error that reports a call as not run although its answer was
// lost, and against a read that does not report that records were trimmed.
func TestClients(t *testing.T) {
	server := httptest.NewServer(standinplatform.New().Handler())
	defer server.Close()
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	faults := platformv1connect.NewFaultServiceClient(http.DefaultClient, server.URL)
	ctx := t.Context()
	setFaults := func(request *platformv1.SetRequest) {
		_, err := faults.Set(ctx, connect.NewRequest(request))
		assert.NilError(t, err)
	}
	log := platform.NewLog(address, platform.WithCallTimeout(time.Second))

	setFaults(&platformv1.SetRequest{LoseAnswers: 1})
	_, err := log.Append(ctx, "s", []byte("first"))
	assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodeLogUnavailable)
	assert.Equal(t, flamingodoor.RunStateOf(err), flamingodoor.RunStateMayHaveRun)
	offset, err := log.Append(ctx, "s", []byte("second"))
	assert.NilError(t, err)
	assert.Equal(t, offset, uint64(2))

	page, err := log.Read(ctx, "s", 1, 10, time.Now())
	assert.NilError(t, err)
	assert.Equal(t, string(page.Entries[0].Data), "first")
	assert.Equal(t, page.Next, uint64(3))
	began := time.Now()
	page, err = log.Read(ctx, "s", 3, 10, began.Add(60*time.Millisecond))
	assert.NilError(t, err)
	assert.Equal(t, len(page.Entries), 0)
	assert.Assert(t, time.Since(began) >= 50*time.Millisecond)

	setFaults(&platformv1.SetRequest{TrimStream: "s", TrimBefore: 2})
	page, err = log.Read(ctx, "s", 1, 10, time.Now())
	assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodeTrimmed)
	assert.Equal(t, page.First, uint64(2))

	setFaults(&platformv1.SetRequest{Outage: true})
	_, err = log.Read(ctx, "s", 2, 10, time.Now())
	assert.Equal(t, flamingodoor.CodeOf(err), flamingodoor.CodeLogUnavailable)
	assert.Equal(t, flamingodoor.RunStateOf(err), flamingodoor.RunStateNotRun)
	setFaults(&platformv1.SetRequest{})

	hosts := platform.NewHostList(address)
	assert.NilError(t, hosts.Announce(ctx, "b", true, false))
	assert.NilError(t, hosts.Announce(ctx, "a", false, false))
	listed, err := hosts.Hosts(ctx)
	assert.NilError(t, err)
	assert.DeepEqual(t, listed, []flamingodoor.PlatformHost{{ID: "a"}, {ID: "b", Leaving: true}})
	start, err := platform.NewWeightStore(address).Reserve(ctx, "e", 1)
	assert.NilError(t, err)
	assert.Assert(t, !start.Before(began))
}
