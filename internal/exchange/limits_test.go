package exchange_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
	"flamingodoor.example/flamingodoor/internal/exchange"
)

// limitHosts is a host that hears of a peer from messages and from the list.
type limitHosts struct {
	t        *testing.T
	sut      *exchange.Exchanger
	now      time.Time
	sequence uint64
}

func newLimitHosts(t *testing.T) *limitHosts {
	t.Helper()
	l := &limitHosts{t: t, now: time.Unix(1_800_000_000, 0)}
	sender := &host{list: registrations{onRead: func(int64) {}}}
	self := flamingodoor.EntryPeer{ID: "self", Address: netip.MustParseAddrPort("127.0.0.1:1"), DataCentre: "dc"}
	l.sut = exchange.New(self, directory{sender, nil}, exchange.Feeds{Registrations: sender.list, Configuration: sender},
		sender, sender, log.NewNopLogger(), exchange.WithClock(func() time.Time { return l.now }))
	return l
}

func (l *limitHosts) hear(leaving bool) {
	l.t.Helper()
	l.sequence++
	_, err := l.sut.Share(l.t.Context(), connect.NewRequest(&exchangev1.ShareRequest{
		HostId: "peer", Address: "127.0.0.1:2", DataCentre: "dc", Sequence: l.sequence, Leaving: leaving,
	}))
	assert.NilError(l.t, err)
}

func (l *limitHosts) check(hosts ...string) {
	l.t.Helper()
	got := l.sut.LimitHosts()
	slices.Sort(got)
	assert.DeepEqual(l.t, got, hosts)
}

// Pattern: the hosts are cut off from each other and still reach all endpoints.
// When each took the whole limit after 3 s, a cold instance got a multiple of
// what it bears.
func TestSilentPeerKeepsItsShareOfTheLimits(t *testing.T) {
	l := newLimitHosts(t)
	l.hear(false)
	l.now = l.now.Add(20 * time.Second)
	assert.Equal(t, l.sut.Hosts(), 1)
	l.check("peer", "self")
	l.now = l.now.Add(time.Hour)
	l.check("self")
}

func TestPeerThatStoppedGivesItsShareBack(t *testing.T) {
	l := newLimitHosts(t)
	l.hear(false)
	l.hear(true)
	l.check("self")
	l.hear(false)
	l.check("peer", "self")
}
