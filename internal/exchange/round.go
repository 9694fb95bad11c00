package exchange

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log/level"

	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
)

// plan is what a round tells whom.
type plan struct {
	request   *exchangev1.ShareRequest
	peers     []*peer
	fed       feedRound
	summaries map[string]*exchangev1.Summary // by peer
}

// round tells the next peers. One that has not answered the last message yet
// is passed over, so that it does not hold up the others.
func (e *Exchanger) round(ctx context.Context) {
	made := e.prepare()
	mostBytes := feedBytes / max(1, len(made.fed.targets))
	for _, each := range made.peers {
		if !each.busy.CompareAndSwap(false, true) {
			continue
		}
		e.calls.Go(func() {
			message := e.withFeeds(made, each, mostBytes)
			e.share(ctx, message, each)
			each.busy.Store(false)
			if e.owesNews(each) {
				e.Hurry()
			}
		})
	}
}

// RunOnce shares once and waits for the answers.
func (e *Exchanger) RunOnce(ctx context.Context) {
	e.round(ctx)
	e.calls.Wait()
}

// owesNews reports whether news came up while a message to the peer was on its
// way.
func (e *Exchanger) owesNews(to *peer) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return to.urgent
}

func (e *Exchanger) share(ctx context.Context, request *exchangev1.ShareRequest, to *peer) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	response, err := to.client.Share(ctx, connect.NewRequest(request))
	if err != nil {
		_ = level.Debug(e.logger).Log("event", "share_failed", "peer", to.ID, "err", err)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	to.answer = response.Msg
}

// prepare returns what the next round tells whom.
func (e *Exchanger) prepare() plan {
	now := e.now()
	leads := e.source.Feeds()
	request := e.describe(now)
	e.mu.Lock()
	forgotten := e.dropSummaries(func(_ string, held heldSummary) bool { return now.Sub(held.at) >= summaryLife })
	peers, silent := e.livePeers(now)
	made := plan{request: request, fed: e.feedTargets(peers, leads, now)}
	relays := !leads && e.relays(now)
	if relays {
		made.summaries = e.summarise(request, peers, now)
	}
	made.peers = takeUrgent(peers)
	if len(made.peers) == 0 {
		made.peers = e.choose(peers, made, relays, now)
		made.peers = append(made.peers, inTurn(silent, silentPeers, &e.lostTurn)...)
	}
	e.mu.Unlock()
	for _, name := range forgotten {
		e.sink.Forget(name, now)
	}
	return made
}

// describe returns the next message.
func (e *Exchanger) describe(now time.Time) *exchangev1.ShareRequest {
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

// livePeers returns the peers that are told in turn, and those that were silent
// for long.
func (e *Exchanger) livePeers(now time.Time) (peers, silent []*peer) {
	for _, each := range e.peers {
		switch {
		case each.left:
		// One that was never heard is tried in each turn until it is.
		case each.heard.IsZero(), now.Sub(each.heard) < peerLife:
			peers = append(peers, each)
		default:
			silent = append(silent, each)
		}
	}
	sortPeers(peers)
	sortPeers(silent)
	return peers, silent
}

// choose returns whom a usual round tells: the relay that tells the others, the
// hosts for which this one relays, or the next in turn, and those it feeds.
func (e *Exchanger) choose(peers []*peer, made plan, relays bool, now time.Time) []*peer {
	relay := e.relayOf(peers, now)
	introduced := now.Sub(e.started) >= introduceFor
	var chosen []*peer
	switch {
	case relays && introduced:
	case relay != nil && !relays:
		chosen = append(chosen, relay)
	default:
		chosen = e.inTurns(peers)
	}
	for _, each := range peers {
		_, fed := made.fed.targets[each.ID]
		if (fed || made.summaries[each.ID] != nil) && !slices.Contains(chosen, each) {
			chosen = append(chosen, each)
		}
	}
	return chosen
}

// takeUrgent returns the peers that have to hear news now. Those to which a
// message is on its way keep their mark.
func takeUrgent(peers []*peer) []*peer {
	var urgent []*peer
	for _, each := range peers {
		if each.urgent && !each.busy.Load() {
			each.urgent = false
			urgent = append(urgent, each)
		}
	}
	return urgent
}

// inTurns takes turns among many peers.
func (e *Exchanger) inTurns(peers []*peer) []*peer {
	var near, far []*peer
	for _, each := range peers {
		if each.DataCentre == e.self.DataCentre {
			near = append(near, each)
		} else {
			far = append(far, each)
		}
	}
	return append(slices.Clone(inTurn(near, nearPeers, &e.nearTurn)), inTurn(far, farPeers, &e.farTurn)...)
}

// inTurn takes the next peers of a list, starting over at its end.
func inTurn(peers []*peer, count int, turn *int) []*peer {
	if len(peers) <= count {
		return peers
	}
	chosen := make([]*peer, 0, count)
	for i := range count {
		chosen = append(chosen, peers[(*turn+i)%len(peers)])
	}
	*turn = (*turn + count) % len(peers)
	return chosen
}
