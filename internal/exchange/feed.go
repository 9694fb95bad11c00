package exchange

import (
	"time"

	"flamingodoor.example/flamingodoor"
	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
)

// feedBytes bounds the registrations that a round of the leading host passes
// on: half of what the narrowest links carry meanwhile, 20 Mbit/s for 0.1 s.
// What is more comes from the store, whose network is wider.
const feedBytes = 128 << 10

// takeFeeds applies what the leading host read.
func (e *Exchanger) takeFeeds(message *exchangev1.ShareRequest, now time.Time) {
	if records := message.GetRegistrations(); records.GetOmitted() {
		e.feeds.Registrations.ReadFrom(records.GetNext())
	} else if records != nil {
		e.feeds.Registrations.Accept(batchOf(records), now.Add(e.feedLife()))
	}
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
}

// withFeeds adds what the peer lacks, if this host leads.
func (e *Exchanger) withFeeds(request *exchangev1.ShareRequest, to *peer, mostBytes int) *exchangev1.ShareRequest {
	e.mu.Lock()
	answer := to.answer
	e.mu.Unlock()
	if answer == nil || !e.source.Feeds() {
		return request
	}
	fed := &exchangev1.ShareRequest{
		HostId: request.GetHostId(), StartedMs: request.GetStartedMs(), Sequence: request.GetSequence(), Uses: request.GetUses(),
		Losses: request.GetLosses(), Demands: request.GetDemands(), Strikes: request.GetStrikes(), Leaving: request.GetLeaving(),
		Address: request.GetAddress(), DataCentre: request.GetDataCentre(),
	}
	if batch, ok := e.feeds.Registrations.Since(answer.GetRegistrationsNext()); ok {
		fed.Registrations = messageOf(batch, mostBytes)
	}
	if next, confirmed, ok := e.feeds.Configuration.Position(); ok {
		fed.Configuration = &exchangev1.Configuration{
			Next: next, Clock: answer.GetClock(),
			AgeMs: max(0, e.now().Sub(confirmed).Milliseconds()) + 1, // rounded up
		}
	}
	return fed
}

// feedLife is how long a batch stands for reads: two turns of the leading host
// among its peers.
func (e *Exchanger) feedLife() time.Duration {
	turns := (e.Hosts() + feedPeers - 1) / feedPeers
	return feedSlack + time.Duration(2*turns)*shareEvery
}

func (e *Exchanger) clock(now time.Time) *exchangev1.Clock {
	return &exchangev1.Clock{StartedMs: e.started.UnixMilli(), ElapsedMs: now.Sub(e.started).Milliseconds()}
}

func milliseconds(count int64) time.Duration {
	return time.Duration(count) * time.Millisecond
}

func batchOf(message *exchangev1.RecordBatch) flamingodoor.RecordBatch {
	return flamingodoor.RecordBatch{From: message.GetFrom(), Next: message.GetNext(), Records: message.GetRecords()}
}

// messageOf leaves the records out if they have more bytes than that.
func messageOf(batch flamingodoor.RecordBatch, mostBytes int) *exchangev1.RecordBatch {
	size := 0
	for _, record := range batch.Records {
		size += len(record)
	}
	if size > mostBytes {
		return &exchangev1.RecordBatch{From: batch.From, Next: batch.Next, Omitted: true}
	}
	return &exchangev1.RecordBatch{From: batch.From, Next: batch.Next, Records: batch.Records}
}
