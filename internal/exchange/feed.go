package exchange

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor"
	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
)

const (
	// feedBytesPerMbit is how many bytes of registrations a round passes on for
	// each Mbit/s of a link: half of what the link carries in the 0.2 s of a round,
	// for batches that compress to half or less. The hosts read larger batches
	// from the store, whose network has more capacity.
	feedBytesPerMbit = 25_000
	// oldConfirmation is the age from which a host gets the confirmation of the
	// configuration from any peer whose own is younger: about the age at which it would
	// read the store itself.
	oldConfirmation = time.Second
	// narrowestLinkMbps is assumed for hosts that do not state their link.
	narrowestLinkMbps = 20
)

// feedBytes returns how many bytes of registrations a round may pass on to a peer.
// The sender's link is divided among the receivers.
func (e *Exchanger) feedBytes(to *peerState, receivers int) int {
	linkBytes := func(mbps int) int { return feedBytesPerMbit * cmp.Or(mbps, narrowestLinkMbps) }
	return min(linkBytes(to.LinkMbps), linkBytes(e.self.LinkMbps)/max(1, receivers), maxMessageBytes/2)
}

// encodedBatches holds the batches that a round has encoded, because most peers
// get the same one.
type encodedBatches struct {
	mu     sync.Mutex
	byFrom map[int64]*exchangev1.RecordBatch
}

// encode returns the encoded batch. The caller must not change it.
func (b *encodedBatches) encode(batch flamingodoor.RecordBatch) (*exchangev1.RecordBatch, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if known, ok := b.byFrom[batch.From]; ok && known.GetNext() == batch.Next {
		return known, nil
	}
	message, err := encodeBatch(batch)
	if err == nil {
		b.byFrom[batch.From] = message
	}
	return message, err
}

// applyFeeds applies what the leader read from the platform, and the relay duty
// that it assigned. If configuration records are missing, it copies them from
// the relay, or from the sender if the store refuses this host.
func (e *Exchanger) applyFeeds(ctx context.Context, message *exchangev1.ShareRequest, now time.Time) {
	if e.source.Leads() {
		return // a leader reads the platform itself
	}
	e.applyRelayDuty(message, now)
	e.applyRegistrations(message.GetRegistrations(), now)
	configuration := message.GetConfiguration()
	clock := configuration.GetClock()
	// The clock may be that of an earlier process of this host.
	if clock == nil || clock.GetStartedMs() != e.started.UnixMilli() {
		return
	}
	// The time of the confirmation is computed from this host's own clock
	// reading, which the sender had before it made the message. A delay on the
	// network therefore never makes the confirmation appear later than it was.
	confirmed := e.startedUptime.Add(milliseconds(clock.GetElapsedMs()) - milliseconds(configuration.GetAgeMs()))
	next := configuration.GetNext()
	if relayID := e.relayForConfiguration(next, now); relayID != "" && e.copying.CompareAndSwap(false, true) {
		e.feeds.Configuration.DeferReadsUntil(e.uptime().Add(copyTimeout))
		go func() {
			defer e.copying.Store(false)
			if !e.fetchConfiguration(ctx, relayID, next) {
				e.feeds.Configuration.DeferReadsUntil(time.Time{})
			}
		}()
	}
	e.feeds.Configuration.ObservePosition(next, confirmed)
	if e.feeds.Configuration.NeedsCopy() && e.copying.CompareAndSwap(false, true) {
		go func() {
			defer e.copying.Store(false)
			e.fetchConfiguration(ctx, message.GetHostId(), 0)
		}()
	}
}

// relayForConfiguration returns the relay from which this host copies the
// configuration, or "" if it is not behind the offset, is a relay itself or has
// no relay. Without relays, each host of a large deployment would make a call
// to the store for every change.
func (e *Exchanger) relayForConfiguration(next int64, now time.Time) string {
	if !e.feeds.Configuration.IsBehind(next) {
		return ""
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.isRelay(now) || !now.Before(e.relayUntil) {
		return ""
	}
	return e.relayID
}

func (e *Exchanger) applyRegistrations(records *exchangev1.RecordBatch, now time.Time) {
	if records == nil {
		return
	}
	batch, err := decodeBatch(records)
	if err != nil {
		_ = level.Warn(e.logger).Log("event", "registrations_unreadable", "err", err)
	}
	if err != nil || records.GetOmitted() {
		e.feeds.Registrations.CatchUpTo(records.GetNext())
		return
	}
	asOf := now.Add(-milliseconds(records.GetAgeMs()))
	e.feeds.Registrations.ApplyBatch(batch, asOf, asOf.Add(e.feedValidity))
}

// messageFor returns the message for one peer: that of the round, with the
// summary and the feeds that the peer gets from this host. The leader adds its
// position in the configuration for every peer.
func (e *Exchanger) messageFor(round roundPlan, to *peerState) *exchangev1.ShareRequest {
	e.mu.Lock()
	response := to.lastResponse
	maxBytes := e.feedBytes(to, len(round.feeds.targets))
	e.mu.Unlock()
	summary := round.summaries[to.ID]
	duty, isTarget := round.feeds.targets[to.ID]
	hasFeeds := response != nil && (isTarget || round.feeds.leads)
	configuration := e.configurationFor(response, hasFeeds)
	if !hasFeeds && summary == nil && configuration == nil {
		return round.request
	}
	message := copyCommon(round.request)
	message.Summary, message.Configuration = summary, configuration
	if !hasFeeds {
		return message
	}
	message.RelayDuty = duty
	if isTarget {
		message.Registrations = e.registrationsSince(response.GetRegistrationsNext(), round.batches, maxBytes)
	}
	return message
}

// configurationFor returns how far this host has read the configuration, for a peer that
// gets its feeds or that knows less. The peer may be refused by the platform's store while
// no host leads.
func (e *Exchanger) configurationFor(response *exchangev1.ShareResponse, hasFeeds bool) *exchangev1.Configuration {
	next, confirmed, ok := e.feeds.Configuration.Position()
	if !ok || response == nil {
		return nil
	}
	age := e.ageOf(confirmed)
	peerAge := response.GetConfigurationAgeMs()
	isLater := next > response.GetConfigurationNext() || (peerAge > oldConfirmation.Milliseconds() && age < peerAge)
	if !hasFeeds && (peerAge == 0 || !isLater) {
		return nil
	}
	return &exchangev1.Configuration{Next: next, Clock: response.GetClock(), AgeMs: age}
}

// ageOf returns the time since a confirmation in milliseconds, rounded up.
func (e *Exchanger) ageOf(confirmed time.Time) int64 {
	return max(0, e.uptime().Sub(confirmed).Milliseconds()) + 1
}

// registrationsSince returns the registrations for a peer that needs them from a
// position on. A peer that needs more than this host keeps reads them itself.
func (e *Exchanger) registrationsSince(from int64, batches *encodedBatches, maxBytes int) *exchangev1.RecordBatch {
	// The batch is taken last: it may lack the changes of a read that ends in between.
	asOf := e.feeds.Registrations.AsOf()
	batch, ok := e.feeds.Registrations.ChangesSince(from)
	if !ok {
		return &exchangev1.RecordBatch{From: from, Next: e.feeds.Registrations.NextOffset(), Omitted: true}
	}
	return e.encodeRegistrations(batches, batch, asOf, maxBytes)
}

// encodeRegistrations encodes a batch that holds all changes up to the given time. A
// batch of more than maxBytes, or one that cannot be encoded, is sent without its
// records, and the receiver reads them from the store.
func (e *Exchanger) encodeRegistrations(batches *encodedBatches, batch flamingodoor.RecordBatch, asOf time.Time, maxBytes int) *exchangev1.RecordBatch {
	omitted := &exchangev1.RecordBatch{From: batch.From, Next: batch.Next, Omitted: true}
	if batchSize(batch) > maxBytes {
		return omitted
	}
	encoded, err := batches.encode(batch)
	if err != nil {
		_ = level.Error(e.logger).Log("event", "registrations_unencodable", "err", err)
		return omitted
	}
	return &exchangev1.RecordBatch{
		From: encoded.GetFrom(), Next: encoded.GetNext(), Records: encoded.GetRecords(), Packed: encoded.GetPacked(),
		AgeMs: max(0, e.now().Sub(asOf).Milliseconds()),
	}
}

// ownClock returns the reading of this host's clock, which the leader sends back
// with its confirmations.
func (e *Exchanger) ownClock() *exchangev1.Clock {
	return &exchangev1.Clock{StartedMs: e.started.UnixMilli(), ElapsedMs: e.uptime().Sub(e.startedUptime).Milliseconds()}
}

func milliseconds(count int64) time.Duration {
	return time.Duration(count) * time.Millisecond
}
