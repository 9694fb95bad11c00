package gateway

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"flamingodoor.example/flamingodoor"
	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
	"flamingodoor.example/flamingodoor/internal/demand"
	"flamingodoor.example/flamingodoor/internal/exchange"
	"flamingodoor.example/flamingodoor/internal/poison"
	"flamingodoor.example/flamingodoor/internal/proxy"
	"flamingodoor.example/flamingodoor/internal/roster"
	"flamingodoor.example/flamingodoor/internal/stall"
)

// strikeShareTime is how long a strike, which records that a request was in
// flight when an engine crashed, is sent to the peers. It reaches each of them
// several times.
const strikeShareTime = 6 * time.Second

// lossShareTime is how long a loss is sent to the peers. It covers several
// rounds of the exchange.
const lossShareTime = 3 * time.Second

// Instances is the roster that the registrations are written to. Publishing a
// change wakes the requests that wait for an instance.
type Instances struct {
	*roster.Roster
	changed func()
}

// Publish makes changes visible and wakes the waiting requests if there are any
// changes.
func (i *Instances) Publish(now time.Time) {
	before := i.View()
	i.Roster.Publish(now)
	if i.View() != before {
		i.changed()
	}
}

// sharedState is the state that the entry hosts share: it fills this host's
// messages and applies those of the peers.
type sharedState struct {
	gateway *Gateway
	// requestsReceived is set for good once any host has, or may have, received a
	// request, also one that was refused and before a restart.
	requestsReceived atomic.Bool

	demands *demand.Tracker // of the peers

	mu     sync.Mutex
	losses []lossReport
	// slowSeen is when this host last measured a group as slow, by head.
	slowSeen map[string]time.Time
}

// lossReport is a finding of this host, or one that it forwards, about an
// instance or a group. Without alive, leaving or retiring, it reports that the
// instance did not answer or that the group makes no progress.
type lossReport struct {
	instanceID string          // empty in a report about a group
	startedAt  time.Time       // of the instance
	group      roster.GroupKey // zero in a report about an instance
	retiring   bool            // the group takes no new work
	alive      bool            // the instance answers: earlier losses no longer hold
	leaving    bool            // the instance stated that it is leaving
	at         time.Time       // when it was found
}

// sameEvent reports whether both reports are about the same finding, whatever
// their times.
func (l lossReport) sameEvent(other lossReport) bool {
	return l.instanceID == other.instanceID && l.startedAt.Equal(other.startedAt) && l.group == other.group &&
		l.retiring == other.retiring && l.alive == other.alive && l.leaving == other.leaving
}

func newSharedState(gateway *Gateway) *sharedState {
	return &sharedState{gateway: gateway, demands: demand.NewTracker(exchange.HostHash(gateway.settings.HostID)), slowSeen: make(map[string]time.Time)}
}

// Leads reports whether this host leads, and so passes the registrations on.
func (s *sharedState) Leads() bool {
	return s.gateway.planner.Leads()
}

// Describe adds this host's work, demand, strikes and losses to a message to
// the peers.
func (s *sharedState) Describe(request *exchangev1.ShareRequest, now time.Time) {
	request.Stranded = s.gateway.paths.Stranded()
	request.RequestsReceived = !s.noRequestsYet()
	s.describeUses(request, now)
	own := s.gateway.demand.Rates(now)
	// Each round records the total, for the case that the next changes the relays.
	s.demands.Total(own, s.gateway.exchanger.KnownHosts(), now)
	for key, rate := range own {
		request.Demands = append(request.Demands, &exchangev1.ModelDemand{Service: key.Service, ModelId: key.Model, EngineSeconds: rate})
	}
	for _, strike := range s.gateway.crashTracker.Digest(now) {
		if strike.GetAge().AsDuration() < strikeShareTime {
			request.Strikes = append(request.Strikes, strike)
		}
	}
	s.gateway.parts.ledger.Describe(request, now)
	s.describeRateLimits(request, now)
	s.describeSpeeds(request, now)
	s.mu.Lock()
	defer s.mu.Unlock()
	recent := s.losses[:0]
	for _, loss := range s.losses {
		if now.Sub(loss.at) > lossShareTime {
			continue
		}
		recent = append(recent, loss)
		message := &exchangev1.Loss{
			InstanceId: loss.instanceID, Group: loss.group.Name, Epoch: loss.group.Epoch, AgeMs: now.Sub(loss.at).Milliseconds(),
			Retiring: loss.retiring, Found: loss.alive, Leaving: loss.leaving,
		}
		if !loss.startedAt.IsZero() {
			message.BornMs = loss.startedAt.UnixMilli()
		}
		request.Losses = append(request.Losses, message)
	}
	s.losses = recent
}

// describeUses adds this host's requests in flight. Those at instances that it does not
// reach are left out: the instance has answered them or never got them, and the other
// hosts would take it for full until they time out here.
func (s *sharedState) describeUses(request *exchangev1.ShareRequest, now time.Time) {
	if request.GetStranded() {
		return
	}
	view := s.gateway.roster.View()
	for id, requests := range s.gateway.tracker.OwnInFlight() {
		if entry, ok := view.Entries[id]; ok && view.Unreachable(entry.Instance, now) {
			continue
		}
		request.Uses = append(request.Uses, &exchangev1.InstanceUse{InstanceId: id, Requests: int32(requests)}) //nolint:gosec // a count of requests
	}
}

// Apply updates what this host knows from a message of a peer.
func (s *sharedState) Apply(request *exchangev1.ShareRequest, now time.Time) {
	g := s.gateway
	if request.GetLeaving() {
		g.tracker.DropPeer(request.GetHostId(), now)
		// The leaving host may have been the leader and have resigned.
		g.planner.Renew()
	} else {
		uses := make(map[string]int, len(request.GetUses()))
		for _, use := range request.GetUses() {
			uses[use.GetInstanceId()] = int(use.GetRequests())
		}
		g.tracker.SetPeerInFlight(request.GetHostId(), uses, now)
	}
	g.crashTracker.Merge(request.GetStrikes(), now)
	g.parts.merge(request, now)
	s.applyRateLimits(request, now)
	s.applySpeeds(request, now)
	if request.GetRequestsReceived() || len(request.GetDemands()) > 0 {
		s.requestsReceived.Store(true)
	}
	s.applyDemand(request, now)
	s.applyLosses(request, now)
}

// Forget discards the work, demand and speeds that a host reported.
func (s *sharedState) Forget(hostID string, now time.Time) {
	s.gateway.tracker.DropPeer(hostID, now)
	s.gateway.peerSpeeds.Forget(hostID)
	s.demands.Forget(hostID)
}

// Probe probes an instance on behalf of a peer that cannot reach it. This host's
// paths are sound if another instance was heard since.
func (s *sharedState) Probe(ctx context.Context, instance flamingodoor.Instance) (answers, sound bool) {
	testimony := s.gateway.prober.Testify(ctx, instance)
	return testimony.Answers, testimony.Sound
}

// Dial opens a connection to the machine of an instance on behalf of a peer.
func (s *sharedState) Dial(ctx context.Context, instance flamingodoor.Instance) flamingodoor.DialResult {
	return s.gateway.platform.Instances.Dial(ctx, instance.Address)
}

func (s *sharedState) applyDemand(request *exchangev1.ShareRequest, now time.Time) {
	rates := make(demand.Rates, len(request.GetDemands()))
	for _, each := range request.GetDemands() {
		rates[proxy.DemandKey{Service: each.GetService(), Model: each.GetModelId()}] = each.GetEngineSeconds()
	}
	s.demands.Report(request.GetHostId(), rates, s.gateway.exchanger.ReportedHosts(request), now)
}

func (s *sharedState) applyLosses(request *exchangev1.ShareRequest, now time.Time) {
	if len(request.GetLosses()) == 0 {
		return
	}
	g := s.gateway
	lost, forwarded := false, false
	isRelay := g.exchanger.IsRelay()
	for _, message := range request.GetLosses() {
		loss := decodeLoss(message, now)
		if isRelay {
			forwarded = s.forwardLoss(loss) || forwarded
		}
		switch {
		case loss.retiring:
			g.roster.MarkRetiring(loss.group, now)
		case loss.leaving:
			g.roster.MarkLeaving(loss.instanceID, loss.startedAt, now)
		case loss.alive:
			g.roster.MarkAlive(loss.instanceID, loss.startedAt, loss.at)
			g.parts.refute(poison.Process{InstanceID: loss.instanceID, StartedMS: loss.startedAt.UnixMilli()}, loss.at)
		case loss.group.Name != "":
			lost = g.roster.MarkStalled(loss.group, now) || lost
		default:
			lost = g.roster.MarkLost(loss.instanceID, loss.startedAt, loss.at) || lost
		}
	}
	g.roster.Publish(now)
	if forwarded {
		g.exchanger.SendUrgent()
	}
	if lost {
		g.suspectStreamsOfLostGroups(now)
		g.tracker.Wake()
		g.planner.Wake()
	}
}

func decodeLoss(message *exchangev1.Loss, now time.Time) lossReport {
	loss := lossReport{
		instanceID: message.GetInstanceId(), retiring: message.GetRetiring(), alive: message.GetFound(), leaving: message.GetLeaving(),
		group: roster.GroupKey{Name: message.GetGroup(), Epoch: message.GetEpoch()},
		at:    now.Add(-time.Duration(message.GetAgeMs()) * time.Millisecond),
	}
	if message.GetBornMs() > 0 {
		loss.startedAt = time.UnixMilli(message.GetBornMs())
	}
	return loss
}

// forwardLoss adds a loss that this relay received to its own messages, unless
// it is in them already, and reports whether it did.
func (s *sharedState) forwardLoss(loss lossReport) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if slices.ContainsFunc(s.losses, loss.sameEvent) {
		return false
	}
	s.losses = append(s.losses, loss)
	return true
}

// publishLosses adds reports to the messages to the peers and sends them at
// once.
func (s *sharedState) publishLosses(losses ...lossReport) {
	s.mu.Lock()
	s.losses = append(s.losses, losses...)
	s.mu.Unlock()
	s.gateway.exchanger.SendUrgent()
}

// suspectStreamsOfLostGroups suspects the streams of groups that stalled or lost a
// member.
func (g *Gateway) suspectStreamsOfLostGroups(now time.Time) {
	view := g.roster.View()
	for _, group := range view.Groups {
		if view.Stalled(group.Key(), now) {
			g.monitor.SuspectGroup(group.Key(), stall.ErrStalled)
			continue
		}
		for _, member := range group.Members {
			if member.ID != "" && view.Lost(member.Instance, now) {
				g.monitor.SuspectGroup(group.Key(), stall.ErrLost)
				break
			}
		}
	}
}

// fleetDemand returns the demand at all hosts, and for how many of them the latest
// reports stand.
func (s *sharedState) fleetDemand(now time.Time) demand.Total {
	return s.demands.Total(s.gateway.demand.Rates(now), s.gateway.exchanger.KnownHosts(), now)
}

// totalDemands returns the demand for all models at all hosts, in engine seconds per
// second. The map must not be changed.
func (s *sharedState) totalDemands() map[proxy.DemandKey]float64 {
	return s.fleetDemand(time.Now()).Rates
}

// totalDemand returns the demand for a model at all hosts, in engine seconds
// per second.
func (s *sharedState) totalDemand(service, modelID string) float64 {
	return s.totalDemands()[proxy.DemandKey{Service: service, Model: modelID}]
}

// demandCoverage returns the share of the known hosts that the latest reports of demand
// stand for.
func (s *sharedState) demandCoverage() float64 {
	return s.fleetDemand(time.Now()).Coverage
}

// noRequestsYet reports whether no host has received a request since the first start of
// the whole system, as far as this host knows.
func (s *sharedState) noRequestsYet() bool {
	return !s.requestsReceived.Load() && !s.gateway.proxy.RequestsReceived()
}

// noDemand reports whether, as far as this host knows, no host has received a
// request for any model.
func (s *sharedState) noDemand() bool {
	return len(s.gateway.demand.Rates(time.Now())) == 0 && !s.demands.Any()
}

// markAlive records that an instance answers although some host had marked it as
// lost, and sends this to the peers.
func (g *Gateway) markAlive(instance flamingodoor.Instance, at time.Time) {
	g.roster.MarkAlive(instance.ID, instance.StartedAt, at)
	g.parts.refute(poison.ProcessOf(instance), at)
	g.roster.Publish(time.Now())
	g.shared.publishLosses(lossReport{instanceID: instance.ID, startedAt: instance.StartedAt, alive: true, at: at})
	g.tracker.Wake()
}

// announceLeaving sends the peers what an instance stated in a response to this
// host.
func (g *Gateway) announceLeaving(instanceID string, startedAt time.Time) {
	g.shared.publishLosses(lossReport{instanceID: instanceID, startedAt: startedAt, leaving: true, at: time.Now()})
}

// retireGroup stops new work for a group, here and on the other hosts.
func (g *Gateway) retireGroup(key roster.GroupKey) {
	now := time.Now()
	g.roster.MarkRetiring(key, now)
	g.roster.Publish(now)
	g.shared.publishLosses(lossReport{group: key, retiring: true, at: now})
}
