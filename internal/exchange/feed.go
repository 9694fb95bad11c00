package exchange

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor"
	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
)

// feedBytes bounds the registrations that a round passes on: half of what the
// narrowest links carry meanwhile, 20 Mbit/s for 0.2 s, compressed to half or
// less. What is more comes from the store, whose network is wider.
const feedBytes = 512 << 10

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
	next := configuration.GetNext()
	if relayID := e.relayWith(next, now); relayID != "" && e.copying.CompareAndSwap(false, true) {
		e.feeds.Configuration.DeferReadsUntil(now.Add(copyTimeout))
		go func() {
			defer e.copying.Store(false)
			if !e.copyConfiguration(ctx, relayID, next) {
				e.feeds.Configuration.DeferReadsUntil(time.Time{})
			}
		}()
	}
	e.feeds.Configuration.ObservePosition(next, confirmed)
	if e.feeds.Configuration.NeedsCopy() && e.copying.CompareAndSwap(false, true) {
		go func() {
			defer e.copying.Store(false)
			e.copyConfiguration(ctx, message.GetHostId(), 0)
		}()
	}
}

// relayWith returns the host that relays for this one, if this one lacks records
// before the offset. Each host of a large fleet would take a call otherwise.
func (e *Exchanger) relayWith(next int64, now time.Time) string {
	if !e.feeds.Configuration.IsBehind(next) {
		return ""
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.relays(now) || !now.Before(e.relayUntil) {
		return ""
	}
	return e.relayID
}

func (e *Exchanger) takeRegistrations(records *exchangev1.RecordBatch, now time.Time) {
	if records == nil {
		return
	}
	batch, err := batchOf(records)
	if err != nil {
		_ = level.Warn(e.logger).Log("event", "registrations_unreadable", "err", err)
	}
	if err != nil || records.GetOmitted() {
		e.feeds.Registrations.CatchUpTo(records.GetNext())
		return
	}
	asOf := now.Add(-milliseconds(records.GetAgeMs()))
	e.feeds.Registrations.ApplyBatch(batch, asOf, asOf.Add(e.feedLife()))
}

// withFeeds adds what the peer lacks, if this host relays to it or feeds it.
func (e *Exchanger) withFeeds(made plan, to *peer, mostBytes int) *exchangev1.ShareRequest {
	e.mu.Lock()
	answer := to.answer
	e.mu.Unlock()
	summary := made.summaries[to.ID]
	duty, target := made.fed.targets[to.ID]
	feeds := answer != nil && (target || made.fed.leads)
	if !feeds && summary == nil {
		return made.request
	}
	message := copyOf(made.request)
	message.Summary = summary
	if !feeds {
		return message
	}
	message.RelayDuty = duty
	if batch, ok := e.feeds.Registrations.ChangesSince(answer.GetRegistrationsNext()); ok && target {
		message.Registrations = e.registrations(batch, mostBytes)
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
func (e *Exchanger) registrations(batch flamingodoor.RecordBatch, mostBytes int) *exchangev1.RecordBatch {
	omitted := &exchangev1.RecordBatch{From: batch.From, Next: batch.Next, Omitted: true}
	if sizeOf(batch) > mostBytes {
		return omitted
	}
	message, err := messageOf(batch)
	if err != nil {
		_ = level.Error(e.logger).Log("event", "registrations_unencodable", "err", err)
		return omitted
	}
	message.AgeMs = max(0, e.now().Sub(e.feeds.Registrations.AsOf()).Milliseconds())
	return message
}

// feedLife is how long a read of the leading host stands for those of a host
// that is fed: two rounds for each host on the way.
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
