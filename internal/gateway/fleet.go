package gateway

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"flamingodoor.example/flamingodoor"
	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
	"flamingodoor.example/flamingodoor/internal/relay"
	"flamingodoor.example/flamingodoor/internal/roster"
	"flamingodoor.example/flamingodoor/internal/stall"
)

// demandLife is how long the demand that a peer told counts.
const demandLife = 3 * time.Second

// strikeShare is how long a strike is told to the peers: each is reached
// several times meanwhile.
const strikeShare = 6 * time.Second

// lossShare is how long a loss is told to the peers: several rounds.
const lossShare = 3 * time.Second

// Instances passes registrations on to the roster and wakes waiting requests.
type Instances struct {
	*roster.Roster
	changed func()
}

// Publish makes the changes visible.
func (i *Instances) Publish(now time.Time) {
	before := i.View()
	i.Roster.Publish(now)
	if i.View() != before {
		i.changed()
	}
}

// fleet is what the entry hosts tell each other.
type fleet struct {
	gateway *Gateway

	mu      sync.Mutex
	demands map[string]peerDemand // by host
	losses  []ownLoss
}

type peerDemand struct {
	rates    map[relay.DemandKey]float64
	deadline time.Time
}

// ownLoss is what this host found of an instance or a group, or passes on.
type ownLoss struct {
	instanceID string
	born       time.Time
	group      roster.GroupKey
	retiring   bool
	found      bool // it answers after all
	at         time.Time
}

// same reports whether two tell of the same instance or group.
func (l ownLoss) same(other ownLoss) bool {
	return l.instanceID == other.instanceID && l.born.Equal(other.born) && l.group == other.group &&
		l.retiring == other.retiring && l.found == other.found
}

func newFleet(gateway *Gateway) *fleet {
	return &fleet{gateway: gateway, demands: make(map[string]peerDemand)}
}

// Feeds reports whether this host passes the registrations on.
func (f *fleet) Feeds() bool {
	return f.gateway.planner.Leads()
}

// Describe fills a message to the peers.
func (f *fleet) Describe(request *exchangev1.ShareRequest, now time.Time) {
	for id, used := range f.gateway.tracker.OwnInFlight() {
		request.Uses = append(request.Uses, &exchangev1.InstanceUse{InstanceId: id, Requests: int32(used)}) //nolint:gosec // a count of requests
	}
	for key, rate := range f.gateway.demand.Rates(now) {
		request.Demands = append(request.Demands, &exchangev1.ModelDemand{Service: key.Service, ModelId: key.Model, EngineSeconds: rate})
	}
	for _, strike := range f.gateway.strikes.Digest(now) {
		if strike.GetAge().AsDuration() < strikeShare {
			request.Strikes = append(request.Strikes, strike)
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	recent := f.losses[:0]
	for _, loss := range f.losses {
		if now.Sub(loss.at) > lossShare {
			continue
		}
		recent = append(recent, loss)
		message := &exchangev1.Loss{
			InstanceId: loss.instanceID, Group: loss.group.Name, Epoch: loss.group.Epoch, AgeMs: now.Sub(loss.at).Milliseconds(),
			Retiring: loss.retiring, Found: loss.found,
		}
		if !loss.born.IsZero() {
			message.BornMs = loss.born.UnixMilli()
		}
		request.Losses = append(request.Losses, message)
	}
	f.losses = recent
}

// Learn takes a message of a peer.
func (f *fleet) Learn(request *exchangev1.ShareRequest, now time.Time) {
	g := f.gateway
	if request.GetLeaving() {
		g.tracker.DropPeer(request.GetHostId(), now)
		// It may have led.
		g.planner.Renew()
	} else {
		uses := make(map[string]int, len(request.GetUses()))
		for _, use := range request.GetUses() {
			uses[use.GetInstanceId()] = int(use.GetRequests())
		}
		g.tracker.SetPeerInFlight(request.GetHostId(), uses, now)
	}
	g.strikes.Merge(request.GetStrikes(), now)
	f.learnDemand(request, now)
	f.learnLosses(request, now)
}

// Forget drops what a host told of its work.
func (f *fleet) Forget(hostID string, now time.Time) {
	f.gateway.tracker.DropPeer(hostID, now)
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.demands, hostID)
}

// Answers asks an instance for a peer that does not reach it.
func (f *fleet) Answers(ctx context.Context, instance flamingodoor.Instance) bool {
	_, alive := f.gateway.probe(ctx, instance)
	return alive
}

func (f *fleet) learnDemand(request *exchangev1.ShareRequest, now time.Time) {
	rates := make(map[relay.DemandKey]float64, len(request.GetDemands()))
	for _, demand := range request.GetDemands() {
		rates[relay.DemandKey{Service: demand.GetService(), Model: demand.GetModelId()}] = demand.GetEngineSeconds()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.demands[request.GetHostId()] = peerDemand{rates: rates, deadline: now.Add(demandLife)}
}

func (f *fleet) learnLosses(request *exchangev1.ShareRequest, now time.Time) {
	if len(request.GetLosses()) == 0 {
		return
	}
	g := f.gateway
	lost := false
	relays := g.exchanger.Relays()
	for _, message := range request.GetLosses() {
		loss := lossOf(message, now)
		if relays {
			f.passOn(loss)
		}
		switch {
		case loss.retiring:
			g.roster.MarkRetiring(loss.group, now)
		case loss.found:
			g.roster.MarkFound(loss.instanceID, loss.born, loss.at)
		case loss.group.Name != "":
			g.roster.MarkStalled(loss.group, now)
			lost = true
		default:
			g.roster.MarkLost(loss.instanceID, loss.born, loss.at)
			lost = true
		}
	}
	g.roster.Publish(now)
	if lost {
		g.endLostWaits(now)
		g.tracker.Wake()
	}
}

func lossOf(message *exchangev1.Loss, now time.Time) ownLoss {
	loss := ownLoss{
		instanceID: message.GetInstanceId(), retiring: message.GetRetiring(), found: message.GetFound(),
		group: roster.GroupKey{Name: message.GetGroup(), Epoch: message.GetEpoch()},
		at:    now.Add(-time.Duration(message.GetAgeMs()) * time.Millisecond),
	}
	if message.GetBornMs() > 0 {
		loss.born = time.UnixMilli(message.GetBornMs())
	}
	return loss
}

// passOn tells others what a host told this relay, unless it does already.
func (f *fleet) passOn(loss ownLoss) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !slices.ContainsFunc(f.losses, loss.same) {
		f.losses = append(f.losses, loss)
	}
}

// tell keeps a loss for the messages to the peers, and sends it at once.
func (f *fleet) tell(losses ...ownLoss) {
	f.mu.Lock()
	f.losses = append(f.losses, losses...)
	f.mu.Unlock()
	f.gateway.exchanger.HurryToAll()
}

// endLostWaits ends the streams of groups that lost a member.
func (g *Gateway) endLostWaits(now time.Time) {
	view := g.roster.View()
	for _, group := range view.Groups {
		if view.Stalled(group.Key(), now) {
			g.monitor.CancelGroup(group.Key(), stall.ErrStalled)
			continue
		}
		for _, member := range group.Members {
			if member.ID != "" && view.Lost(member.Instance, now) {
				g.monitor.CancelGroup(group.Key(), stall.ErrLost)
				break
			}
		}
	}
}

// work is the demand for a model at all hosts.
func (f *fleet) work(service, modelID string) float64 {
	now := time.Now()
	key := relay.DemandKey{Service: service, Model: modelID}
	total := f.gateway.demand.Rates(now)[key]
	f.mu.Lock()
	defer f.mu.Unlock()
	for host, demand := range f.demands {
		if now.After(demand.deadline) {
			delete(f.demands, host)
			continue
		}
		total += demand.rates[key]
	}
	return total
}

// quiet reports that no host has seen a request for a model.
func (f *fleet) quiet() bool {
	if len(f.gateway.demand.Rates(time.Now())) > 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, demand := range f.demands {
		if len(demand.rates) > 0 {
			return false
		}
	}
	return true
}

// inspect asks the members of a silent group and tells the peers of those
// that do not answer.
func (g *Gateway) inspect(ctx context.Context, group *roster.Group) stall.Inspection {
	var mu sync.Mutex
	verdict := stall.Inspection{Slowdown: slowPace}
	var probes errgroup.Group
	for rank, member := range group.Members {
		if member.ID == "" {
			continue
		}
		probes.Go(func() error {
			report, alive := g.probe(ctx, member.Instance)
			mu.Lock()
			defer mu.Unlock()
			verdict.Slowdown = max(verdict.Slowdown, report.Slowdown)
			if !alive {
				verdict.Lost = append(verdict.Lost, member.ID)
			}
			if rank == 0 {
				verdict.HeadLoad = stall.HeadLoad{Running: report.Running, KVTokensUsed: report.KVTokensUsed}
			}
			return nil
		})
	}
	_ = probes.Wait() // probes report through the verdict
	if len(verdict.Lost) > 0 {
		g.loseMembers(group, verdict.Lost)
	}
	_ = level.Info(g.logger).Log("event", "group_inspected", "group", group.Name, "epoch", group.Epoch,
		"lost", len(verdict.Lost), "pace", verdict.Slowdown, "running", verdict.HeadLoad.Running, "memory", verdict.HeadLoad.KVTokensUsed)
	return verdict
}

// probe asks an instance twice, the second time on a new connection while the
// first answer is still awaited, so that one lost packet is no loss.
func (g *Gateway) probe(ctx context.Context, instance flamingodoor.Instance) (report flamingodoor.InstanceReport, alive bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTime)
	defer cancel()
	type answer struct {
		report flamingodoor.InstanceReport
		err    error
	}
	answers := make(chan answer, probeTries)
	ask := func() {
		report, err := g.platform.Instances.Report(ctx, instance.Address)
		answers <- answer{report, err}
	}
	go ask()
	timer := time.NewTimer(secondProbeAfter)
	defer timer.Stop()
	for waiting := 1; waiting > 0; {
		select {
		case <-timer.C:
			waiting++
			go ask()
		case got := <-answers:
			waiting--
			if got.err == nil {
				same := got.report.StartedAt.IsZero() || instance.StartedAt.IsZero() || got.report.StartedAt.Equal(instance.StartedAt)
				return got.report, same
			}
			_ = level.Info(g.logger).Log("event", "member_silent", "instance", instance.ID, "err", got.err)
		}
	}
	return flamingodoor.InstanceReport{}, false
}

func (g *Gateway) loseMembers(group *roster.Group, lost []string) {
	now := time.Now()
	var losses []ownLoss
	for _, member := range group.Members {
		if slices.Contains(lost, member.ID) {
			g.roster.MarkLost(member.ID, member.StartedAt, now)
			losses = append(losses, ownLoss{instanceID: member.ID, born: member.StartedAt, at: now})
		}
	}
	g.roster.Publish(now)
	g.fleet.tell(losses...)
	g.tracker.Wake()
}

// found tells the peers that an instance answers which a host found lost.
func (g *Gateway) found(instance flamingodoor.Instance, at time.Time) {
	g.roster.MarkFound(instance.ID, instance.StartedAt, at)
	g.roster.Publish(time.Now())
	g.fleet.tell(ownLoss{instanceID: instance.ID, born: instance.StartedAt, found: true, at: at})
	g.tracker.Wake()
}

// retire takes new work off a group, here and on the other hosts.
func (g *Gateway) retire(key roster.GroupKey) {
	now := time.Now()
	g.roster.MarkRetiring(key, now)
	g.roster.Publish(now)
	g.fleet.tell(ownLoss{group: key, retiring: true, at: now})
}

// groupStalled tells the peers of a group that stands still.
func (g *Gateway) groupStalled(key roster.GroupKey) {
	now := time.Now()
	_ = level.Info(g.logger).Log("event", "group_stalled", "group", key.Name, "epoch", key.Epoch)
	g.roster.MarkStalled(key, now)
	g.roster.Publish(now)
	g.fleet.tell(ownLoss{group: key, at: now})
}
