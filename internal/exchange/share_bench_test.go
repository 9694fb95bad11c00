package exchange_test

import (
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"testing"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
	"flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1/exchangev1connect"
	"flamingodoor.example/flamingodoor/internal/exchange"
)

// BenchmarkShare measures one message between two hosts, sender and receiver
// included.
func BenchmarkShare(b *testing.B) {
	receiver := &host{registrations: registrations{onCatchUp: func(int64) {}}}
	self := flamingodoor.EntryPeer{ID: "a", Address: netip.MustParseAddrPort("127.0.0.1:2"), DataCentre: "dc"}
	receiver.Exchanger = exchange.New(self, directory{receiver, nil},
		exchange.Feeds{Registrations: receiver.registrations, Configuration: receiver}, receiver, receiver, log.NewNopLogger())
	server := httptest.NewServer(receiver.Handler())
	defer server.Close()
	client := exchangev1connect.NewExchangeServiceClient(&http.Client{Transport: &http.Transport{DisableCompression: true}}, server.URL, connect.WithAcceptCompression("gzip", nil, nil))
	request := &exchangev1.ShareRequest{HostId: "b", Address: "127.0.0.1:1", DataCentre: "dc"}
	for i := range 10 {
		request.Uses = append(request.Uses, &exchangev1.InstanceUse{InstanceId: "i-0123456789" + strconv.Itoa(i), Requests: 3})
	}
	for b.Loop() {
		request.Sequence++
		_, err := client.Share(b.Context(), connect.NewRequest(request))
		assert.NilError(b, err)
	}
}
