package exchange_test

import (
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
	"flamingodoor.example/flamingodoor/internal/exchange"
)

// limitFixture is a host that gets messages from one peer, with a clock that the
// test sets.
type limitFixture struct {
	t        *testing.T
	sut      *exchange.Exchanger
	now      time.Time
	sequence uint64
}

func newLimitFixture(t *testing.T) *limitFixture {
	t.Helper()
	l := &limitFixture{t: t, now: time.Unix(1_800_000_000, 0)}
	sender := &host{registrations: registrations{onCatchUp: func(int64) {}}}
	self := flamingodoor.EntryPeer{ID: "self", Address: netip.MustParseAddrPort("127.0.0.1:1"), DataCentre: "dc"}
	l.sut = exchange.New(self, directory{sender, nil}, exchange.Feeds{Registrations: sender.registrations, Configuration: sender},
		sender, sender, log.NewNopLogger(), exchange.WithClock(func() time.Time { return l.now }))
	return l
}

func (l *limitFixture) receive(leaving bool) {
	l.t.Helper()
	l.sequence++
	_, err := l.sut.Share(l.t.Context(), connect.NewRequest(&exchangev1.ShareRequest{
		HostId: "peer", Address: "127.0.0.1:2", DataCentre: "dc", Sequence: l.sequence, Leaving: leaving,
	}))
	assert.NilError(l.t, err)
}

func (l *limitFixture) checkShareHosts(hosts ...string) {
	l.t.Helper()
	got := l.sut.LimitShareHosts()
	slices.Sort(got)
	assert.DeepEqual(l.t, got, hosts)
}

// Guards against hosts that take over the share of a partitioned peer. Hosts
// that were cut off from each other, but not from the endpoints, each used the
// whole limit after 3 s, and a cold instance got several times the requests that
// it can serve.
func TestSilentPeerKeepsItsShareOfTheLimits(t *testing.T) {
	l := newLimitFixture(t)
	l.receive(false)
	l.now = l.now.Add(20 * time.Second)
	assert.Equal(t, l.sut.HostCount(), 1)
	l.checkShareHosts("peer", "self")
	l.now = l.now.Add(time.Hour)
	l.checkShareHosts("self")
}

// Guards against keeping the share of a peer that announced its stop, and
// against dividing the limits without the peer once it sends again.
func TestPeerThatStoppedGivesItsShareBack(t *testing.T) {
	l := newLimitFixture(t)
	l.receive(false)
	l.receive(true)
	l.checkShareHosts("self")
	l.receive(false)
	l.checkShareHosts("peer", "self")
}

// Guards against limits that stay divided among hosts that cannot use them, and against
// a host whose partition has ended and that uses its part before the others give it back.
func TestStrandedPeerLeavesItsShareOfTheLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hosts := startDeployment(t, newMemory(), 3, func(int) *registrations { return &registrations{onCatchUp: func(int64) {}} })
		sharers := func(host int) int { return len(hosts[host].LimitSharers()) }
		time.Sleep(time.Second)
		assert.Equal(t, sharers(0), 3)
		assert.Assert(t, hosts[1].MayShare())
		hosts[1].setPaths(paths{stranded: true})
		time.Sleep(time.Second)
		assert.Equal(t, sharers(0), 2)
		assert.Equal(t, sharers(1), 3, "a host does not leave itself out")
		hosts[1].setPaths(paths{})
		for !hosts[1].MayShare() {
			time.Sleep(time.Millisecond)
		}
		assert.Equal(t, sharers(0), 3)
		assert.Equal(t, sharers(2), 3)
	})
}

// Guards against two hosts that use the same part of a limit, if the message that a host
// is no longer stranded does not arrive.
func TestShareOfAPartitionedHostReturnsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := newMemory()
		hosts := startDeployment(t, network, 2, func(int) *registrations { return &registrations{onCatchUp: func(int64) {}} })
		time.Sleep(time.Second)
		hosts[1].setPaths(paths{stranded: true})
		time.Sleep(time.Second)
		network.cutOff(hosts[0].address)
		hosts[1].setPaths(paths{})
		for !hosts[1].MayShare() {
			time.Sleep(time.Millisecond)
		}
		assert.Equal(t, len(hosts[0].LimitSharers()), 2)
	})
}
