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
	"google.golang.org/protobuf/proto"

	"flamingodoor.example/flamingodoor"
	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
	"flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1/exchangev1connect"
	"flamingodoor.example/flamingodoor/internal/demand"
	"flamingodoor.example/flamingodoor/internal/exchange"
)

// host is an entry host that records the feeds and messages that it receives.
// It is the source, the sink and the configuration feed of its exchanger.
type host struct {
	*exchange.Exchanger
	leads         bool
	id            string // set in large deployments
	address       netip.AddrPort
	registrations registrations
	strandedPeers atomic.Int32 // times that peers became stranded

	mu               sync.Mutex
	paths            paths
	confirmed        time.Time // received from the leader, or set by the test
	next             int64
	received         int
	requestsReceived bool             // a message said so; the leader's do
	uses             int32            // this host's requests in flight, all at one instance
	usesByPeer       map[string]int32 // latest uses by sender
	paces            []*exchangev1.GroupPace
	pacesByPeer      map[string][]*exchangev1.GroupPace // latest by sender
	needsCopy        bool                               // lacks records that it cannot read
	version          int64
	copyVersion      int64 // of the configuration in copies that it receives
	copiesOnly       bool  // moves its position only by records that it copied, not by ObservePosition
	copied           flamingodoor.RecordBatch
	deferredUntil    time.Time // when this host may read again
	ownDemand        demand.Rates
	demands          *demand.Tracker // nil if the host has no demand
}

func (h *host) Announce(context.Context, flamingodoor.EntryPeer) error { return nil }
func (h *host) Withdraw(context.Context, string) error                 { return nil }

// paths is what a host sees of instances.
type paths struct {
	answers  bool // the instance in question
	sound    bool
	stranded bool
	dial     flamingodoor.DialResult
}

func (h *host) setPaths(seen paths) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.paths = seen
}

func (h *host) Describe(request *exchangev1.ShareRequest, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	request.Stranded, request.RequestsReceived = h.paths.stranded, h.leads
	if h.uses > 0 {
		request.Uses = []*exchangev1.InstanceUse{{InstanceId: "i-1", Requests: h.uses}}
	}
	for _, pace := range h.paces {
		request.Paces = append(request.Paces, proto.CloneOf(pace))
	}
	if h.demands == nil {
		return
	}
	h.demands.Total(h.ownDemand, h.KnownHosts(), now)
	for key, rate := range h.ownDemand {
		request.Demands = append(request.Demands, &exchangev1.ModelDemand{Service: key.Service, ModelId: key.Model, EngineSeconds: rate})
	}
}

func (h *host) Leads() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leads
}

func (h *host) Probe(context.Context, flamingodoor.Instance) (answers, sound bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.paths.answers, h.paths.sound
}

func (h *host) Dial(context.Context, flamingodoor.Instance) flamingodoor.DialResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.paths.dial
}

func (h *host) Apply(request *exchangev1.ShareRequest, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.received++
	h.requestsReceived = h.requestsReceived || request.GetRequestsReceived()
	if h.usesByPeer == nil {
		h.usesByPeer, h.pacesByPeer = make(map[string]int32), make(map[string][]*exchangev1.GroupPace)
	}
	h.pacesByPeer[request.GetHostId()] = request.GetPaces()
	h.usesByPeer[request.GetHostId()] = 0
	for _, use := range request.GetUses() {
		h.usesByPeer[request.GetHostId()] += use.GetRequests()
	}
	if h.demands == nil {
		return
	}
	rates := make(demand.Rates)
	for _, each := range request.GetDemands() {
		rates[demand.Key{Service: each.GetService(), Model: each.GetModelId()}] = each.GetEngineSeconds()
	}
	h.demands.Report(request.GetHostId(), rates, h.ReportedHosts(request), now)
}

func (h *host) Forget(hostID string, _ time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.usesByPeer, hostID)
	delete(h.pacesByPeer, hostID)
	if h.demands != nil {
		h.demands.Forget(hostID)
	}
}

// totalUses returns the work of all other hosts as this one knows it.
func (h *host) totalUses() int32 {
	h.mu.Lock()
	defer h.mu.Unlock()
	total := int32(0)
	for _, uses := range h.usesByPeer {
		total += uses
	}
	return total
}

func (h *host) messageCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.received
}

func (h *host) Position() (int64, time.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.next, h.confirmed, h.leads || h.next > 0
}

func (h *host) ObservePosition(next int64, confirmed time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.confirmed = confirmed
	if !h.copiesOnly {
		h.next = next
	}
}

func (h *host) IsBehind(next int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.next > 0 && h.next < next
}

func (h *host) DeferReadsUntil(deadline time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deferredUntil = deadline
}

func (h *host) NeedsCopy() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.needsCopy
}

func (h *host) Snapshot() (flamingodoor.RecordBatch, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return flamingodoor.RecordBatch{Next: max(h.next, 9), Records: [][]byte{[]byte("configuration")}}, h.leads || h.next > 0
}

func (h *host) Restore(records flamingodoor.RecordBatch) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.copied, h.needsCopy = records, false
	h.version = max(h.version, h.copyVersion)
	h.next = max(h.next, records.Next)
}

func (h *host) Version() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version
}

func (h *host) position() (int64, time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.next, h.confirmed
}

// registrations is a feed that always holds the same batch.
type registrations struct {
	batch      [][]byte
	onCatchUp  func(next int64)
	onApply    func(batch flamingodoor.RecordBatch)
	onValidity func(asOf, until time.Time)
	onObserve  func(next int64)
	asOf       time.Time        // time of the read that is passed on; now if it is zero
	onChanges  func()           // is called after the changes were taken; may be nil
	onAsOf     func() time.Time // replaces asOf; may be nil
}

func (r registrations) NextOffset() int64 { return 1 }

func (r registrations) ChangesSince(from int64) (flamingodoor.RecordBatch, bool) {
	if r.onChanges != nil {
		defer r.onChanges()
	}
	return flamingodoor.RecordBatch{From: from, Next: from + int64(len(r.batch)), Records: r.batch}, true
}

func (r registrations) ObservePosition(next int64) {
	if r.onObserve != nil {
		r.onObserve(next)
	}
}

func (r registrations) AsOf() time.Time {
	if r.onAsOf != nil {
		return r.onAsOf()
	}
	if r.asOf.IsZero() {
		return time.Now()
	}
	return r.asOf
}

func (r registrations) ApplyBatch(batch flamingodoor.RecordBatch, asOf, until time.Time) {
	if r.onValidity != nil {
		r.onValidity(asOf, until)
	}
	if r.onApply != nil {
		r.onApply(batch)
	}
}
func (r registrations) CatchUpTo(next int64) { r.onCatchUp(next) }

// directory is a host directory with a fixed list of hosts.
type directory struct {
	*host
	all []flamingodoor.EntryPeer
}

func (d directory) Hosts(context.Context) ([]flamingodoor.EntryPeer, error) { return d.all, nil }

// network connects the hosts of a test.
type network interface {
	// listen reserves an address. The host there answers once serve is called.
	listen(t *testing.T) (address netip.AddrPort, serve func(handler http.Handler))
	options() []exchange.Option
}

// loopback connects hosts by TCP.
type loopback struct{}

func (loopback) listen(t *testing.T) (netip.AddrPort, func(http.Handler)) {
	t.Helper()
	server := httptest.NewUnstartedServer(nil)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String()), func(handler http.Handler) {
		server.Config.Handler = handler
		server.Start()
	}
}

func (loopback) options() []exchange.Option { return nil }

// memory connects hosts without TCP, so that tests can run in a synctest bubble.
// A host that does not serve accepts messages and never answers.
type memory struct {
	handlers map[string]http.Handler // by address; nil until the host serves
	cut      sync.Map                // addresses that get no messages
}

func newMemory() *memory { return &memory{handlers: make(map[string]http.Handler)} }

// cutOff makes the host at an address get no more messages.
func (m *memory) cutOff(address netip.AddrPort) { m.cut.Store(address.String(), true) }

func (m *memory) listen(*testing.T) (netip.AddrPort, func(http.Handler)) {
	number := len(m.handlers) + 1
	address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(number)}), 80)
	m.handlers[address.String()] = nil
	return address, func(handler http.Handler) { m.handlers[address.String()] = handler }
}

func (m *memory) options() []exchange.Option {
	return []exchange.Option{exchange.WithTransport(m)}
}

// RoundTrip delivers a message to the host at its address.
func (m *memory) RoundTrip(request *http.Request) (*http.Response, error) {
	handler := m.handlers[request.URL.Host]
	if _, cut := m.cut.Load(request.URL.Host); cut || handler == nil {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, request)
	return recorder.Result(), nil
}

// startHosts runs a leader and others that know each other.
func startHosts(t *testing.T, count int) []*host {
	t.Helper()
	return startWithRegistrations(t, count, &registrations{onCatchUp: func(int64) {}})
}

// startWithRegistrations runs a leader that passes on a batch of registrations.
func startWithRegistrations(t *testing.T, count int, list *registrations) []*host {
	t.Helper()
	return startDeployment(t, loopback{}, count, func(int) *registrations { return list })
}

// startDeployment runs a leader and others, each with its own registrations. The
// unresponsive peers are in the list of hosts as well and never answer.
func startDeployment(t *testing.T, network network, count int, registrationsOf func(i int) *registrations, unresponsive ...flamingodoor.EntryPeer) []*host {
	t.Helper()
	hosts := make([]*host, count)
	all := unresponsive
	serve := make([]func(http.Handler), count)
	for i := range hosts {
		hosts[i] = &host{leads: i == 0, registrations: *registrationsOf(i)}
		hosts[i].address, serve[i] = network.listen(t)
		all = append(all, flamingodoor.EntryPeer{ID: "host-" + strconv.Itoa(i), Address: hosts[i].address, DataCentre: "dc-" + strconv.Itoa(i%3)})
	}
	for i, host := range hosts {
		host.Exchanger = exchange.New(all[len(unresponsive)+i], directory{host, all},
			exchange.Feeds{Registrations: host.registrations, Configuration: host}, host, host, log.NewNopLogger(), network.options()...)
		serve[i](host.Handler())
	}
	for _, host := range hosts {
		run(t, host)
	}
	return hosts
}

func eventually(t *testing.T, failure string, holds func() bool) {
	t.Helper()
	for begun := time.Now(); time.Since(begun) < 10*time.Second; time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatal(failure)
}

// countingPeer counts the messages that it receives and may delay its first
// answer.
type countingPeer struct {
	exchangev1connect.UnimplementedExchangeServiceHandler
	messages atomic.Int32
	entered  chan struct{} // closed with the first message; nil if no answer is delayed
	release  chan struct{}
}

func (c *countingPeer) Share(context.Context, *connect.Request[exchangev1.ShareRequest]) (*connect.Response[exchangev1.ShareResponse], error) {
	if c.messages.Add(1) == 1 && c.entered != nil {
		close(c.entered)
		<-c.release
	}
	return connect.NewResponse(&exchangev1.ShareResponse{}), nil
}

// run starts a host that sends until the test ends.
func run(t *testing.T, sender *host) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { sender.RunDirectory(ctx) })
	running.Go(func() { sender.Run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
}

// newSender returns a host with the given numbers of counting peers in its data
// centre and in another one. It is not started.
func newSender(t *testing.T, local, remote int) (*host, []*countingPeer) {
	t.Helper()
	network := newMemory()
	self := flamingodoor.EntryPeer{ID: "self", Address: netip.MustParseAddrPort("127.0.0.1:1"), DataCentre: "dc-0"}
	all := make([]flamingodoor.EntryPeer, 0, 1+local+remote)
	all = append(all, self)
	peers := make([]*countingPeer, local+remote)
	for i := range peers {
		peers[i] = &countingPeer{}
		mux := http.NewServeMux()
		mux.Handle(exchangev1connect.NewExchangeServiceHandler(peers[i]))
		address, serve := network.listen(t)
		serve(mux)
		dataCentre := "dc-0"
		if i >= local {
			dataCentre = "dc-1"
		}
		all = append(all, flamingodoor.EntryPeer{
			ID: "peer-" + strconv.Itoa(i), Address: address, DataCentre: dataCentre,
		})
	}
	sender := &host{registrations: registrations{onCatchUp: func(int64) {}}}
	sender.Exchanger = exchange.New(self, directory{sender, all},
		exchange.Feeds{Registrations: sender.registrations, Configuration: sender}, sender, sender, log.NewNopLogger(), network.options()...)
	return sender, peers
}
