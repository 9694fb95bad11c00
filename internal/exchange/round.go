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
	peers     []*peer
	feeds     feedPlan
	summaries map[string]*exchangev1.Summary // by identifier of the peer
}

// startRound sends to the next peers without waiting for their answers. A peer
// that has not answered the latest message is skipped, so that it does not
// delay the others.
func (e *Exchanger) startRound(ctx context.Context) {
	round := e.planRound()
	maxBytes := maxFeedBytesPerRound / max(1, len(round.feeds.targets))
	for _, each := range round.peers {
		if !each.inFlight.CompareAndSwap(false, true) {
			continue
		}
		e.calls.Go(func() {
			message := e.messageFor(round, each, maxBytes)
			e.send(ctx, message, each)
			each.inFlight.Store(false)
			if e.hasUrgentNews(each) {
				e.SendNow()
			}
		})
	}
}

// RunOnce runs one round and waits for the answers.
func (e *Exchanger) RunOnce(ctx context.Context) {
	e.startRound(ctx)
	e.calls.Wait()
}

// hasUrgentNews reports whether urgent news for the peer came up while a
// message to it was under way.
func (e *Exchanger) hasUrgentNews(to *peer) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return to.urgent
}

func (e *Exchanger) send(ctx context.Context, request *exchangev1.ShareRequest, to *peer) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	response, err := to.client.Share(ctx, connect.NewRequest(request))
	if err != nil {
		_ = level.Debug(e.logger).Log("event", "share_failed", "peer", to.ID, "err", err)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	to.lastResponse = response.Msg
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
	round := roundPlan{request: request, feeds: e.planFeeds(peers, leads, now)}
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
func (e *Exchanger) classifyPeers(now time.Time) (peers, silent []*peer) {
	for _, each := range e.peers {
		switch {
		case each.left:
		// A peer that was never heard from stays in the rotation until its
		// first message arrives.
		case each.lastHeard.IsZero(), now.Sub(each.lastHeard) < peerTimeout:
			peers = append(peers, each)
		default:
			silent = append(silent, each)
		}
	}
	sortPeers(peers)
	sortPeers(silent)
	return peers, silent
}

// choosePeers returns the receivers of a round without urgent news: the relay
// of this host or, without one, the next peers of the rotation. Peers that get
// feeds or a summary from this host are added. A relay sends only to these once
// its introductionTime is over.
func (e *Exchanger) choosePeers(peers []*peer, round roundPlan, isRelay bool, now time.Time) []*peer {
	relay := e.currentRelay(peers, now)
	introduced := now.Sub(e.started) >= introductionTime
	var chosen []*peer
	switch {
	case isRelay && introduced:
	case relay != nil && !isRelay:
		chosen = append(chosen, relay)
	default:
		chosen = e.nextPeers(peers)
	}
	for _, each := range peers {
		_, isTarget := round.feeds.targets[each.ID]
		if (isTarget || round.summaries[each.ID] != nil) && !slices.Contains(chosen, each) {
			chosen = append(chosen, each)
		}
	}
	return chosen
}

// takeUrgentPeers returns the peers that must get urgent news now and clears
// their urgent flags. Peers to which a message is under way keep the flag for a
// later round.
func takeUrgentPeers(peers []*peer) []*peer {
	var urgent []*peer
	for _, each := range peers {
		if each.urgent && !each.inFlight.Load() {
			each.urgent = false
			urgent = append(urgent, each)
		}
	}
	return urgent
}

// nextPeers returns the next peers of the rotation in this data centre and in
// the others.
func (e *Exchanger) nextPeers(peers []*peer) []*peer {
	var local, remote []*peer
	for _, each := range peers {
		if each.DataCentre == e.self.DataCentre {
			local = append(local, each)
		} else {
			remote = append(remote, each)
		}
	}
	return append(slices.Clone(rotate(local, localPeersPerRound, &e.localOffset)), rotate(remote, remotePeersPerRound, &e.remoteOffset)...)
}

// rotate returns the next count peers of a list, wrapping around at its end,
// and advances the offset.
func rotate(peers []*peer, count int, offset *int) []*peer {
	if len(peers) <= count {
		return peers
	}
	chosen := make([]*peer, 0, count)
	for i := range count {
		chosen = append(chosen, peers[(*offset+i)%len(peers)])
	}
	*offset = (*offset + count) % len(peers)
	return chosen
}
