package exchange_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
	"flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1/exchangev1connect"
	"flamingodoor.example/flamingodoor/internal/exchange"
)

// host is an entry host whose feeds and messages a test sees.
type host struct {
	*exchange.Exchanger
	leads   bool
	address netip.AddrPort
	list    registrations

	mu        sync.Mutex
	confirmed time.Time // told by the leading host, or its own
	next      int64
	learned   int
	uses      int32            // of this host's own, at one instance
	known     map[string]int32 // uses by who told them
	stranded  bool             // lacks records that it cannot read
	copied    flamingodoor.RecordBatch
	expected  time.Time // until when a copy is on its way
}

func (h *host) Announce(context.Context, flamingodoor.EntryPeer) error { return nil }
func (h *host) Withdraw(context.Context, string) error                 { return nil }

func (h *host) Describe(request *exchangev1.ShareRequest, _ time.Time) {
	if h.uses > 0 {
		request.Uses = []*exchangev1.InstanceUse{{InstanceId: "i-1", Requests: h.uses}}
	}
}

func (h *host) Feeds() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leads
}

func (h *host) Answers(context.Context, flamingodoor.Instance) (alive bool) { return true }

func (h *host) Learn(request *exchangev1.ShareRequest, _ time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.learned++
	if h.known == nil {
		h.known = make(map[string]int32)
	}
	h.known[request.GetHostId()] = 0
	for _, use := range request.GetUses() {
		h.known[request.GetHostId()] += use.GetRequests()
	}
}

func (h *host) Forget(hostID string, _ time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.known, hostID)
}

// total is the work of all other hosts, as this one knows it.
func (h *host) total() int32 {
	h.mu.Lock()
	defer h.mu.Unlock()
	total := int32(0)
	for _, uses := range h.known {
		total += uses
	}
	return total
}

func (h *host) heard() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.learned
}

func (h *host) Position() (int64, time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.next, h.confirmed, h.leads
}

func (h *host) Follow(next int64, confirmed time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.next, h.confirmed = next, confirmed
}

func (h *host) Lacks(next int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.next > 0 && h.next < next
}

func (h *host) Expect(deadline time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expected = deadline
}

func (h *host) Stranded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stranded
}

func (h *host) Copy() (flamingodoor.RecordBatch, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return flamingodoor.RecordBatch{Next: max(h.next, 9), Records: [][]byte{[]byte("configuration")}}, h.leads || h.next > 0
}

func (h *host) Restore(records flamingodoor.RecordBatch) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.copied, h.stranded = records, false
}

func (h *host) told() (int64, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.next, h.confirmed
}

// registrations feeds one batch.
type registrations struct {
	batch    [][]byte
	onRead   func(next int64)
	onAccept func(batch flamingodoor.RecordBatch)
	onFed    func(asOf, until time.Time)
	asOf     time.Time // of all reads; now if it is zero
}

func (r registrations) Next() int64 { return 1 }

func (r registrations) Since(from int64) (flamingodoor.RecordBatch, bool) {
	return flamingodoor.RecordBatch{From: from, Next: from + int64(len(r.batch)), Records: r.batch}, true
}

func (r registrations) AsOf() time.Time {
	if r.asOf.IsZero() {
		return time.Now()
	}
	return r.asOf
}

func (r registrations) Accept(batch flamingodoor.RecordBatch, asOf, until time.Time) {
	if r.onFed != nil {
		r.onFed(asOf, until)
	}
	if r.onAccept != nil {
		r.onAccept(batch)
	}
}
func (r registrations) ReadFrom(next int64) { r.onRead(next) }

// directory lists all hosts of a test.
type directory struct {
	*host
	all []flamingodoor.EntryPeer
}

func (d directory) Hosts(context.Context) ([]flamingodoor.EntryPeer, error) { return d.all, nil }

// startHosts runs a leading host and others that know each other. An address
// that is listed without a host never answers.
func startHosts(t *testing.T, count int, silent ...flamingodoor.EntryPeer) []*host {
	t.Helper()
	return startListed(t, count, nil, silent...)
}

// startListed runs a leading host that passes on a batch of registrations.
func startListed(t *testing.T, count int, list *registrations, silent ...flamingodoor.EntryPeer) []*host {
	t.Helper()
	if list == nil {
		list = &registrations{onRead: func(int64) {}}
	}
	return startFleet(t, count, func(int) *registrations { return list }, silent...)
}

// startFleet runs a leading host and others, each with its registrations.
func startFleet(t *testing.T, count int, listOf func(i int) *registrations, silent ...flamingodoor.EntryPeer) []*host {
	t.Helper()
	return startFleetOf(t, count, listOf, func(*host) {}, silent...)
}

// startFleetOf prepares each host before it runs.
func startFleetOf(t *testing.T, count int, listOf func(i int) *registrations, prepare func(each *host), silent ...flamingodoor.EntryPeer) []*host {
	t.Helper()
	hosts := make([]*host, count)
	all := silent
	servers := make([]*httptest.Server, count)
	for i := range hosts {
		hosts[i] = &host{leads: i == 0, list: *listOf(i)}
		prepare(hosts[i])
		servers[i] = httptest.NewUnstartedServer(nil)
		address := netip.MustParseAddrPort(servers[i].Listener.Addr().String())
		hosts[i].address = address
		all = append(all, flamingodoor.EntryPeer{ID: "host-" + strconv.Itoa(i), Address: address, DataCentre: "dc-" + strconv.Itoa(i%3)})
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	for i, each := range hosts {
		each.Exchanger = exchange.New(all[len(silent)+i], directory{each, all},
			exchange.Feeds{Registrations: each.list, Configuration: each}, each, each, log.NewNopLogger())
		servers[i].Config.Handler = each.Handler()
		servers[i].Start()
		running.Go(func() { each.Run(ctx) })
		running.Go(func() { each.RunDirectory(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		running.Wait()
		for _, server := range servers {
			server.Close()
		}
	})
	return hosts
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for begun := time.Now(); time.Since(begun) < 10*time.Second; time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatal(what)
}

// A confirmation counts from a moment before it was sent, so that a message
// that was long on its way is no news.
func TestConfirmationIsNeverTooLate(t *testing.T) {
	const age = 700 * time.Millisecond
	known := time.Now().Add(-age)
	hosts := startHosts(t, 2)
	hosts[0].Follow(9, known)
	eventually(t, "no position", func() bool { next, _ := hosts[1].told(); return next == 9 })
	_, confirmed := hosts[1].told()
	assert.Assert(t, !confirmed.After(known.Add(2*time.Millisecond)), "%s after what the leading host knows", confirmed.Sub(known))
	assert.Assert(t, confirmed.After(known.Add(-2*time.Second)))
}

// A host that takes messages and never answers holds up no message to others.
func TestSilentPeerHoldsUpNobody(t *testing.T) {
	silent := httptest.NewUnstartedServer(nil) // accepts connections without serving them
	defer silent.Close()
	address := netip.MustParseAddrPort(silent.Listener.Addr().String())
	hosts := startHosts(t, 2, flamingodoor.EntryPeer{ID: "silent", Address: address, DataCentre: "dc"})
	eventually(t, "nothing is heard", func() bool { return hosts[1].heard() > 0 })
	before := hosts[1].heard()
	time.Sleep(2 * time.Second)
	assert.Assert(t, hosts[1].heard()-before >= 7, "%d messages in 2 s", hosts[1].heard()-before)
}

// Pattern: hosts are replaced one after the other. The leading host still has
// the clock of a host's earlier process, which ran for longer: its message once
// confirmed the configuration for as long ahead.
func TestClockOfAnEarlierProcessConfirmsNothing(t *testing.T) {
	receiver := &host{list: registrations{onRead: func(int64) {}}}
	self := flamingodoor.EntryPeer{ID: "a", Address: netip.MustParseAddrPort("127.0.0.1:2"), DataCentre: "dc"}
	receiver.Exchanger = exchange.New(self, directory{receiver, nil},
		exchange.Feeds{Registrations: receiver.list, Configuration: receiver}, receiver, receiver, log.NewNopLogger())
	share := func(sequence uint64, clock *exchangev1.Clock) *exchangev1.Clock {
		answer, err := receiver.Share(t.Context(), connect.NewRequest(&exchangev1.ShareRequest{
			HostId: "b", Address: "127.0.0.1:1", Sequence: sequence, Configuration: &exchangev1.Configuration{Next: 9, Clock: clock},
		}))
		assert.NilError(t, err)
		return answer.Msg.GetClock()
	}
	clock := share(1, nil)
	share(2, &exchangev1.Clock{StartedMs: clock.GetStartedMs() - 20_000, ElapsedMs: 19_000})
	next, _ := receiver.told()
	assert.Equal(t, next, int64(0))
	share(3, clock)
	next, confirmed := receiver.told()
	assert.Equal(t, next, int64(9))
	assert.Assert(t, !confirmed.After(time.Now()))
}

// Pattern: a fleet of more hosts than one can feed. Two hosts of each data
// centre relay what the leading host reads, and nobody feeds the leading host,
// which would stop reading.
func TestRelaysFeedALargeFleet(t *testing.T) {
	const count = 30
	accepted := make([]atomic.Int32, count)
	hosts := startFleet(t, count, func(i int) *registrations {
		return &registrations{onRead: func(int64) {}, onAccept: func(flamingodoor.RecordBatch) { accepted[i].Add(1) }}
	})
	eventually(t, "a host is not fed", func() bool {
		for i := range hosts[1:] {
			if accepted[i+1].Load() < 3 {
				return false
			}
		}
		return true
	})
	assert.Equal(t, accepted[0].Load(), int32(0))
}

// Pattern: the store turns the leading host away while it still leads. What it
// passes on no longer stands for reads, so that the others read by themselves.
func TestFeedOfAHostThatCannotReadGrowsOld(t *testing.T) {
	read := time.Now().Add(-5 * time.Second)
	type period struct{ asOf, until time.Time }
	fed := make(chan period, 100)
	startFleet(t, 2, func(int) *registrations {
		return &registrations{asOf: read, onRead: func(int64) {}, onFed: func(asOf, until time.Time) {
			select {
			case fed <- period{asOf, until}:
			default:
			}
		}}
	})
	got := <-fed
	assert.Assert(t, got.asOf.Sub(read) < time.Second, "as of %s after the read", got.asOf.Sub(read))
	assert.Assert(t, got.until.Before(time.Now()), "no reads for %s", time.Until(got.until))
}

// Pattern: all groups of a large fleet form at once, and every instance's entry
// changes several times. Passed on to 74 hosts over a link of 20 Mbit/s, the
// changes held up the leading host's lease.
func TestManyRegistrationsAreLeftToTheStore(t *testing.T) {
	reads := make(chan int64, 100)
	record := make([]byte, 500)
	list := &registrations{onRead: func(next int64) { reads <- next }}
	for range 600 {
		list.batch = append(list.batch, record)
	}
	startListed(t, 3, list)
	select {
	case next := <-reads:
		assert.Equal(t, next, int64(601))
	case <-time.After(5 * time.Second):
		t.Fatal("the batch was passed on")
	}
}

// Pattern: the platform's store turns some hosts away while keys change. They
// take the configuration from a host that has it.
func TestStrandedHostCopiesTheConfiguration(t *testing.T) {
	hosts := startHosts(t, 2)
	hosts[1].mu.Lock()
	hosts[1].stranded = true
	hosts[1].mu.Unlock()
	eventually(t, "no copy", func() bool { return !hosts[1].Stranded() })
	hosts[1].mu.Lock()
	defer hosts[1].mu.Unlock()
	assert.Equal(t, hosts[1].copied.Next, int64(9))
	assert.DeepEqual(t, hosts[1].copied.Records, [][]byte{[]byte("configuration")})
}

// counter is a peer that counts messages, and may hold its first answer back.
type counter struct {
	exchangev1connect.UnimplementedExchangeServiceHandler
	messages atomic.Int32
	entered  chan struct{} // closed with the first message; nil if nothing is held back
	release  chan struct{}
}

func (c *counter) Share(context.Context, *connect.Request[exchangev1.ShareRequest]) (*connect.Response[exchangev1.ShareResponse], error) {
	if c.messages.Add(1) == 1 && c.entered != nil {
		close(c.entered)
		<-c.release
	}
	return connect.NewResponse(&exchangev1.ShareResponse{}), nil
}

// Pattern: 62 hosts in three data centres. With turns that took longer than a
// host counts as alive without news, each host took the fleet for smaller than
// it is, and its share of the limits for larger (FAILBACK).
func TestEveryPeerHearsOftenEnough(t *testing.T) {
	const (
		near, far = 20, 41
		aliveFor  = 3 * time.Second
		// leastMessages leaves room for one that is lost.
		leastMessages = 2
	)
	sender, peers := newSender(t, near, far)
	ctx, cancel := context.WithTimeout(t.Context(), aliveFor)
	defer cancel()
	var running sync.WaitGroup
	running.Go(func() { sender.RunDirectory(ctx) })
	sender.Run(ctx)
	running.Wait()
	for i, each := range peers {
		assert.Assert(t, each.messages.Load() >= leastMessages, "peer %d: %d messages", i, each.messages.Load())
	}
}

// Pattern: a group of 16 loses a member, and streams of most of 62 hosts wait
// for it. With the news passed on by turns, each host found the loss by itself
// up to a second later.
func TestUrgentNewsReachesEveryPeerAtOnce(t *testing.T) {
	// quickly is shorter than a round.
	const quickly = 150 * time.Millisecond
	sender, peers := newSender(t, 20, 41)
	run(t, sender)
	heard := func(least []int32) bool {
		for i, each := range peers {
			if each.messages.Load() <= least[i] {
				return false
			}
		}
		return true
	}
	before := make([]int32, len(peers))
	eventually(t, "a peer hears nothing", func() bool { return heard(before) })
	for i, each := range peers {
		before[i] = each.messages.Load()
	}
	sender.HurryToAll()
	begun := time.Now()
	eventually(t, "a peer hears no news", func() bool { return heard(before) })
	assert.Assert(t, time.Since(begun) < quickly, "%s", time.Since(begun))
}

// Pattern: a group loses a member while a message to a peer is still on its way.
// The news was left out for this peer, which learned of the loss by its turn, up
// to 1.4 s later.
func TestUrgentNewsFollowsAMessageUnderWay(t *testing.T) {
	// turn is above the rounds until the peer's next turn, of 61 peers.
	const turn = 1200 * time.Millisecond
	sender, peers := newSender(t, 20, 41)
	held := peers[7]
	held.entered, held.release = make(chan struct{}), make(chan struct{})
	run(t, sender)
	<-held.entered
	sender.HurryToAll()
	eventually(t, "the others hear nothing", func() bool { return peers[8].messages.Load() > 0 })
	close(held.release)
	begun := time.Now()
	eventually(t, "the peer hears no news", func() bool { return held.messages.Load() >= 2 })
	assert.Assert(t, time.Since(begun) < turn/4, "%s", time.Since(begun))
}

// Pattern: hosts are cut off from each other for longer than they count as alive
// without news. Each stopped to tell the other, and none began again after the
// cut: hosts that were cut off read the store by themselves for the rest of the
// day (Valach grown, scale-2).
func TestHostsFindEachOtherAfterACut(t *testing.T) {
	const (
		cutFor = 4 * time.Second // above the 3 s for which a peer counts without news
		soon   = 3 * time.Second
	)
	sender, peers := newSender(t, 1, 1)
	run(t, sender)
	share := func(i int) {
		_, err := sender.Share(t.Context(), connect.NewRequest(&exchangev1.ShareRequest{
			HostId: "peer-" + strconv.Itoa(i), Sequence: 1,
		}))
		assert.NilError(t, err)
	}
	eventually(t, "no message", func() bool { return peers[0].messages.Load() > 0 && peers[1].messages.Load() > 0 })
	share(0)
	share(1)
	time.Sleep(cutFor) // without a word of the peers
	before := []int32{peers[0].messages.Load(), peers[1].messages.Load()}
	time.Sleep(soon)
	for i, each := range peers {
		assert.Assert(t, each.messages.Load() > before[i], "peer %d is not told any more", i)
	}
}

// run lets a host share until the test ends.
func run(t *testing.T, sender *host) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { sender.RunDirectory(ctx) })
	running.Go(func() { sender.Run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
}

// newSender returns a host with peers in its data centre and in another, which
// count its messages.
func newSender(t *testing.T, near, far int) (*host, []*counter) {
	t.Helper()
	self := flamingodoor.EntryPeer{ID: "self", Address: netip.MustParseAddrPort("127.0.0.1:1"), DataCentre: "dc-0"}
	all := make([]flamingodoor.EntryPeer, 0, 1+near+far)
	all = append(all, self)
	peers := make([]*counter, near+far)
	for i := range peers {
		peers[i] = &counter{}
		mux := http.NewServeMux()
		mux.Handle(exchangev1connect.NewExchangeServiceHandler(peers[i]))
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		dataCentre := "dc-0"
		if i >= near {
			dataCentre = "dc-1"
		}
		all = append(all, flamingodoor.EntryPeer{
			ID: "peer-" + strconv.Itoa(i), Address: netip.MustParseAddrPort(server.Listener.Addr().String()), DataCentre: dataCentre,
		})
	}
	sender := &host{list: registrations{onRead: func(int64) {}}}
	sender.Exchanger = exchange.New(self, directory{sender, all},
		exchange.Feeds{Registrations: sender.list, Configuration: sender}, sender, sender, log.NewNopLogger())
	return sender, peers
}
