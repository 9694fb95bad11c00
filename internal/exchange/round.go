package exchange

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log/level"

	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
)

// roundPlan holds the message of a round, its receivers, and the feeds and
// summaries that are added for some of them.
type roundPlan struct {
	request   *exchangev1.ShareRequest
	peers     []*peerState
	feeds     feedPlan
	summaries map[string]*exchangev1.Summary // by identifier of the peer
	batches   *encodedBatches
}

// startRound sends to the next peers without waiting for their responses. A peer
// that has not answered the latest message is skipped, so that it does not
// delay the others.
func (e *Exchanger) startRound(ctx context.Context) {
	round := e.planRound()
	for _, peer := range round.peers {
		if !peer.inFlight.CompareAndSwap(false, true) {
			continue
		}
		e.calls.Go(func() {
			message := e.messageFor(round, peer)
			e.send(ctx, message, peer)
			peer.inFlight.Store(false)
			if e.hasUrgentChange(peer) {
				e.SendNow()
			}
		})
	}
}

// Round sends this host's state to the peers of one round and waits for their
// responses.
func (e *Exchanger) Round(ctx context.Context) {
	e.startRound(ctx)
	e.calls.Wait()
}

// hasUrgentChange reports whether a change that the peer must get at once
// occurred while a message to it was under way.
func (e *Exchanger) hasUrgentChange(to *peerState) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return to.urgent
}

func (e *Exchanger) send(ctx context.Context, request *exchangev1.ShareRequest, to *peerState) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	e.recordSent(to, request.GetStranded())
	response, err := to.client.Share(ctx, connect.NewRequest(request))
	if err != nil {
		_ = level.Debug(e.logger).Log("event", "share_failed", "peer", to.ID, "err", err)
		e.mu.Lock()
		defer e.mu.Unlock()
		to.failed = true
		return
	}
	e.recordAnswered(to, request.GetStranded())
	e.feeds.Registrations.ObservePosition(response.Msg.GetRegistrationsNext())
	e.compareConfiguration(context.WithoutCancel(ctx), to.ID, response.Msg)
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	to.lastResponse, to.answeredAt, e.answeredAt = response.Msg, now, now
}

// AnsweredSince reports whether a peer has answered a message at the given time or
// later, or there is none.
func (e *Exchanger) AnsweredSince(since time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.answeredAt.Before(since) || len(e.peers) == 0
}

// planRound selects the receivers of the next round and prepares what they get.
// It also drops summaries that are too old.
func (e *Exchanger) planRound() roundPlan {
	now := e.now()
	leads := e.source.Leads()
	request := e.newMessage(now)
	e.mu.Lock()
	forgotten := e.dropSummaries(func(_ string, received receivedSummary) bool { return now.Sub(received.at) >= summaryTimeout })
	peers, silent := e.classifyPeers(now)
	round := roundPlan{request: request, feeds: e.planFeeds(peers, leads, now), batches: &encodedBatches{byFrom: make(map[int64]*exchangev1.RecordBatch)}}
	isRelay := !leads && e.isRelay(now)
	if isRelay {
		round.summaries = e.buildSummaries(request, peers, now)
	}
	round.peers = takeUrgentPeers(peers)
	if len(round.peers) == 0 {
		round.peers = e.choosePeers(peers, round, isRelay, now)
		round.peers = append(round.peers, rotate(silent, silentPeersPerRound, &e.silentOffset)...)
	}
	e.mu.Unlock()
	for _, name := range forgotten {
		e.sink.Forget(name, now)
	}
	return round
}

// newMessage returns the next message with the state of this host.
func (e *Exchanger) newMessage(now time.Time) *exchangev1.ShareRequest {
	e.mu.Lock()
	e.sequence++
	request := &exchangev1.ShareRequest{
		HostId: e.self.ID, Address: e.self.Address.String(), DataCentre: e.self.DataCentre, StartedMs: e.started.UnixMilli(), Sequence: e.sequence,
		Leaving: e.leaving, LinkMbps: int32(e.self.LinkMbps), //nolint:gosec // a capacity in megabits
	}
	e.mu.Unlock()
	e.source.Describe(request, now)
	return request
}

// classifyPeers returns the peers that take part in the rotation, and those
// that have been silent for peerTimeout. Peers that stopped are in neither.
func (e *Exchanger) classifyPeers(now time.Time) (peers, silent []*peerState) {
	for _, peer := range e.peers {
		switch {
		case peer.left:
		// A peer that was never seen stays in the rotation.
		case peer.lastSeen.IsZero(), now.Sub(peer.lastSeen) < peerTimeout:
			peers = append(peers, peer)
		default:
			silent = append(silent, peer)
		}
	}
	sortPeers(peers)
	sortPeers(silent)
	return peers, silent
}

// choosePeers returns the receivers of a round without urgent changes: the
// relay of this host or, without one, the next peers of the rotation. Peers
// that get feeds or a summary from this host are added. A relay sends only to
// these once its introductionTime is over.
func (e *Exchanger) choosePeers(peers []*peerState, round roundPlan, isRelay bool, now time.Time) []*peerState {
	relay := e.currentRelay(peers, now)
	introduced := now.Sub(e.started) >= introductionTime
	var chosen []*peerState
	switch {
	case isRelay && introduced:
	case relay != nil && !isRelay:
		chosen = append(chosen, relay)
	default:
		chosen = e.nextPeers(peers)
	}
	for _, peer := range peers {
		_, isTarget := round.feeds.targets[peer.ID]
		if (isTarget || round.summaries[peer.ID] != nil) && !slices.Contains(chosen, peer) {
			chosen = append(chosen, peer)
		}
	}
	return chosen
}

// takeUrgentPeers returns the peers that must get a message at once and clears
// their urgent flags. Peers to which a message is under way keep the flag for a
// later round.
func takeUrgentPeers(peers []*peerState) []*peerState {
	var urgent []*peerState
	for _, peer := range peers {
		if peer.urgent && !peer.inFlight.Load() {
			peer.urgent = false
			urgent = append(urgent, peer)
		}
	}
	return urgent
}

// nextPeers returns the next peers of the rotation in this data centre and in
// the others.
func (e *Exchanger) nextPeers(peers []*peerState) []*peerState {
	var local, remote []*peerState
	for _, peer := range peers {
		if peer.DataCentre == e.self.DataCentre {
			local = append(local, peer)
		} else {
			remote = append(remote, peer)
		}
	}
	return append(slices.Clone(rotate(local, localPeersPerRound, &e.localOffset)), rotate(remote, remotePeersPerRound, &e.remoteOffset)...)
}

// rotate returns the next count peers of a list, wrapping around at its end,
// and advances the offset.
func rotate(peers []*peerState, count int, offset *int) []*peerState {
	if len(peers) <= count {
		return peers
	}
	chosen := make([]*peerState, 0, count)
	for i := range count {
		chosen = append(chosen, peers[(*offset+i)%len(peers)])
	}
	*offset = (*offset + count) % len(peers)
	return chosen
}
