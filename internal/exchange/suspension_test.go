package exchange_test

import (
	"net/netip"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
	"flamingodoor.example/flamingodoor/internal/exchange"
)

// Guards against a confirmation that was sent before a suspension and counts from
// the time at which the host woke.
func TestConfirmationIsAsOldAsTheSuspension(t *testing.T) {
	const suspension = 4 * time.Second
	begun := time.Unix(1_800_000_000, 0)
	uptime := begun
	receiver := &host{registrations: registrations{onCatchUp: func(int64) {}}}
	self := flamingodoor.EntryPeer{ID: "self", Address: netip.MustParseAddrPort("127.0.0.1:1"), DataCentre: "dc"}
	receiver.Exchanger = exchange.New(self, directory{receiver, nil}, exchange.Feeds{Registrations: receiver.registrations, Configuration: receiver},
		receiver, receiver, log.NewNopLogger(), exchange.WithClock(func() time.Time { return begun }), exchange.WithUptime(func() time.Time { return uptime }))
	message := &exchangev1.ShareRequest{HostId: "leader", Address: "127.0.0.1:2", DataCentre: "dc", Sequence: 1}
	response, err := receiver.Share(t.Context(), connect.NewRequest(message))
	assert.NilError(t, err)
	uptime = uptime.Add(suspension)
	message.Sequence++
	message.Configuration = &exchangev1.Configuration{Next: 7, Clock: response.Msg.GetClock(), AgeMs: 100}
	_, err = receiver.Share(t.Context(), connect.NewRequest(message))
	assert.NilError(t, err)
	_, confirmed := receiver.position()
	assert.Equal(t, uptime.Sub(confirmed), suspension+100*time.Millisecond)
}
