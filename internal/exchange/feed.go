package exchange

import (
	"cmp"
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor"
	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
)

const (
	// feedBytes bounds the registrations that a round passes on: half of what
	// the narrowest links carry meanwhile, 20 Mbit/s for 0.2 s, compressed to
	// half or less. What is more comes from the store, whose network is wider.
	feedBytes = 512 << 10
	// directPeers is up to how many peers the leading host feeds itself.
	directPeers = 24
	// relaysPerCentre hosts of each data centre pass the feeds on in larger
	// fleets, so that one that stops cuts off only a part of it.
	relaysPerCentre = 2
	// relayLife is how long a host relays without news of the leading host.
	relayLife = 3 * shareEvery
	// copyTimeout lets a configuration of a megabyte pass the narrowest links.
	copyTimeout = time.Second
)

// relayDuty is what the leading host asks of a host that relays.
type relayDuty struct {
	leader   string
	part     int
	parts    int
	told     time.Time // when the leading host last said so
	deadline time.Time
}

// feeding says which peers get the feeds in a round.
type feeding struct {
	leads   bool
	targets map[string]*exchangev1.RelayDuty // by peer; nil for one that relays nothing
	age     time.Duration                    // of what the leading host told this one
}

// feeding chooses the peers that this host feeds: all or those that relay if
// it leads, its part of the data centre if it relays.
func (e *Exchanger) feeding(peers []*peer, leads bool, now time.Time) feeding {
	fed := feeding{leads: leads, targets: make(map[string]*exchangev1.RelayDuty)}
	switch {
	case leads && len(peers) <= directPeers:
		for _, each := range peers {
			fed.targets[each.ID] = nil
		}
	case leads:
		chooseRelays(peers, fed.targets)
	case now.Before(e.duty.deadline):
		fed.age = now.Sub(e.duty.told)
		for _, each := range peers {
			if each.DataCentre == e.self.DataCentre && each.ID != e.duty.leader && partOf(each.ID, e.duty.parts) == e.duty.part {
				fed.targets[each.ID] = nil
			}
		}
	}
	return fed
}

// chooseRelays takes the hosts with the widest links of each data centre.
func chooseRelays(peers []*peer, targets map[string]*exchangev1.RelayDuty) {
	centres := make(map[string][]*peer)
	for _, each := range peers {
		if !each.heard.IsZero() {
			centres[each.DataCentre] = append(centres[each.DataCentre], each)
		}
	}
	for _, hosts := range centres {
		slices.SortStableFunc(hosts, func(a, b *peer) int { return cmp.Compare(b.LinkMbps, a.LinkMbps) })
		hosts = hosts[:min(len(hosts), relaysPerCentre)]
		for part, each := range hosts {
			targets[each.ID] = &exchangev1.RelayDuty{Part: int32(part), Parts: int32(len(hosts))} //nolint:gosec // a few
		}
	}
}

// partOf spreads the hosts of a data centre over those that relay.
func partOf(hostID string, parts int) int {
	return int(xxhash.Sum64String(hostID) % uint64(max(1, parts))) //nolint:gosec // below parts
}

// takeFeeds applies what the leading host read.
func (e *Exchanger) takeFeeds(ctx context.Context, message *exchangev1.ShareRequest, now time.Time) {
	if e.source.Feeds() {
		return // this host reads itself
	}
	e.takeDuty(message, now)
	e.takeRegistrations(message.GetRegistrations(), now)
	configuration := message.GetConfiguration()
	clock := configuration.GetClock()
	// The answer may be of an earlier process of this host.
	if clock == nil || clock.GetStartedMs() != e.started.UnixMilli() {
		return
	}
	// The sender made the message after it had this host's clock, so that the
	// time on the way does not count as knowledge.
	confirmed := e.started.Add(milliseconds(clock.GetElapsedMs()) - milliseconds(configuration.GetAgeMs()))
	e.feeds.Configuration.Follow(configuration.GetNext(), confirmed)
	if e.feeds.Configuration.Stranded() && e.copying.CompareAndSwap(false, true) {
		e.calls.Go(func() {
			defer e.copying.Store(false)
			e.copyConfiguration(ctx, message.GetHostId())
		})
	}
}

// copyConfiguration asks a peer for what the platform's store does not give
// this host: its keys would count as unknown before long.
func (e *Exchanger) copyConfiguration(ctx context.Context, from string) {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	e.mu.Lock()
	to, ok := e.peers[from]
	e.mu.Unlock()
	if !ok {
		return
	}
	response, err := to.client.CopyConfiguration(ctx, connect.NewRequest(&exchangev1.CopyConfigurationRequest{}))
	if err != nil {
		_ = level.Warn(e.logger).Log("event", "configuration_copy_failed", "peer", from, "err", err)
		return
	}
	batch, err := batchOf(response.Msg.GetRecords())
	if err != nil {
		_ = level.Warn(e.logger).Log("event", "configuration_copy_failed", "peer", from, "err", err)
		return
	}
	e.feeds.Configuration.Restore(batch)
}

// CopyConfiguration serves a host that the platform's store turns away.
func (e *Exchanger) CopyConfiguration(context.Context, *connect.Request[exchangev1.CopyConfigurationRequest]) (*connect.Response[exchangev1.CopyConfigurationResponse], error) {
	batch, known := e.feeds.Configuration.Copy()
	if !known {
		return nil, connect.NewError(connect.CodeUnavailable, errNoConfiguration)
	}
	records, err := messageOf(batch)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&exchangev1.CopyConfigurationResponse{Records: records}), nil
}

var errNoConfiguration = flamingodoor.Errorf(flamingodoor.CodeNotFresh, "this host has no configuration")

func (e *Exchanger) takeRegistrations(records *exchangev1.RecordBatch, now time.Time) {
	if records == nil {
		return
	}
	batch, err := batchOf(records)
	if err != nil {
		_ = level.Warn(e.logger).Log("event", "registrations_unreadable", "err", err)
	}
	if err != nil || records.GetOmitted() {
		e.feeds.Registrations.ReadFrom(records.GetNext())
		return
	}
	e.feeds.Registrations.Accept(batch, now.Add(e.feedLife()-milliseconds(records.GetAgeMs())))
}

func (e *Exchanger) takeDuty(message *exchangev1.ShareRequest, now time.Time) {
	duty := message.GetRelayDuty()
	if duty == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.duty = relayDuty{
		leader: message.GetHostId(), part: int(duty.GetPart()), parts: int(duty.GetParts()), told: now, deadline: now.Add(relayLife),
	}
}

// withFeeds adds what the peer lacks, if this host feeds it.
func (e *Exchanger) withFeeds(request *exchangev1.ShareRequest, to *peer, fed feeding, mostBytes int) *exchangev1.ShareRequest {
	e.mu.Lock()
	answer := to.answer
	e.mu.Unlock()
	duty, target := fed.targets[to.ID]
	if answer == nil || (!target && !fed.leads) {
		return request
	}
	message := &exchangev1.ShareRequest{
		HostId: request.GetHostId(), StartedMs: request.GetStartedMs(), Sequence: request.GetSequence(), Uses: request.GetUses(),
		Losses: request.GetLosses(), Demands: request.GetDemands(), Strikes: request.GetStrikes(), Leaving: request.GetLeaving(),
		Address: request.GetAddress(), DataCentre: request.GetDataCentre(), LinkMbps: request.GetLinkMbps(), RelayDuty: duty,
	}
	if batch, ok := e.feeds.Registrations.Since(answer.GetRegistrationsNext()); ok && target {
		message.Registrations = e.registrations(batch, mostBytes, fed.age)
	}
	if next, confirmed, ok := e.feeds.Configuration.Position(); ok {
		message.Configuration = &exchangev1.Configuration{
			Next: next, Clock: answer.GetClock(),
			AgeMs: max(0, e.now().Sub(confirmed).Milliseconds()) + 1, // rounded up
		}
	}
	return message
}

// registrations encodes a batch, and leaves the records out if they have more
// bytes than that.
func (e *Exchanger) registrations(batch flamingodoor.RecordBatch, mostBytes int, age time.Duration) *exchangev1.RecordBatch {
	omitted := &exchangev1.RecordBatch{From: batch.From, Next: batch.Next, Omitted: true}
	if sizeOf(batch) > mostBytes {
		return omitted
	}
	message, err := messageOf(batch)
	if err != nil {
		_ = level.Error(e.logger).Log("event", "registrations_unencodable", "err", err)
		return omitted
	}
	message.AgeMs = age.Milliseconds()
	return message
}

// feedLife is how long a batch stands for reads: two rounds for each host on
// the way from the leading host.
func (e *Exchanger) feedLife() time.Duration {
	hops := 1
	if e.Hosts() > directPeers {
		hops = 2
	}
	return feedSlack + time.Duration(2*hops)*shareEvery
}

func (e *Exchanger) clock(now time.Time) *exchangev1.Clock {
	return &exchangev1.Clock{StartedMs: e.started.UnixMilli(), ElapsedMs: now.Sub(e.started).Milliseconds()}
}

func milliseconds(count int64) time.Duration {
	return time.Duration(count) * time.Millisecond
}
