package exchange

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log/level"
	"golang.org/x/sync/errgroup"

	"flamingodoor.example/flamingodoor"
	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
)

const (
	// reachPeersPerDataCentre is how many peers of each data centre get a
	// request to probe an instance that this host cannot reach.
	reachPeersPerDataCentre = 4
	// witnessCount is how many peers are asked whether an instance is lost.
	witnessCount = 2
	// witnessProbeTimeout bounds the probe of a witness, so that its answer arrives
	// within the time that the inspection of a silent group takes.
	witnessProbeTimeout = 160 * time.Millisecond
	// machineProbeTimeout bounds what peers do to find out whether a machine is dark. It is
	// longer than the time that an instance client waits for an answer.
	machineProbeTimeout = 250 * time.Millisecond
	// machineAnswerTimeout bounds the wait for their answers, so that a peer that is gone
	// delays a probe only slightly.
	machineAnswerTimeout = 350 * time.Millisecond
)

// Verdict is what peers state about an instance that does not answer this host.
type Verdict struct {
	Alone   bool // there is no peer to ask
	Reached bool // the instance answers a peer
	Denied  bool // it does not answer a peer that other instances answer
}

// Confirms reports whether the instance has failed, rather than this host's path to
// it.
func (v Verdict) Confirms() bool {
	return v.Denied && !v.Reached
}

// Reach probes an instance on behalf of a host that cannot reach it.
func (e *Exchanger) Reach(ctx context.Context, request *connect.Request[exchangev1.ReachRequest]) (*connect.Response[exchangev1.ReachResponse], error) {
	address, err := netip.ParseAddrPort(request.Msg.GetAddress())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if timeout := milliseconds(request.Msg.GetTimeoutMs()); timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	instance := flamingodoor.Instance{
		ID: request.Msg.GetInstanceId(), Address: address, StartedAt: time.UnixMilli(request.Msg.GetBornMs()), FabricDomain: request.Msg.GetFabricDomain(),
	}
	response := &exchangev1.ReachResponse{}
	var dialling sync.WaitGroup
	if request.Msg.GetDial() {
		dialling.Go(func() { response.Dial = dialResultMessage(e.sink.Dial(ctx, instance)) })
	}
	answers, sound := e.sink.Probe(ctx, instance)
	dialling.Wait()
	response.Answers, response.Sound = answers, sound
	return connect.NewResponse(response), nil
}

func dialResultMessage(result flamingodoor.DialResult) exchangev1.DialResult {
	switch result {
	case flamingodoor.DialResultAnswered:
		return exchangev1.DialResult_DIAL_RESULT_ANSWERED
	case flamingodoor.DialResultUnanswered:
		return exchangev1.DialResult_DIAL_RESULT_UNANSWERED
	default:
		return exchangev1.DialResult_DIAL_RESULT_UNSPECIFIED
	}
}

// AskWitnesses asks two peers about an instance that does not answer this host. It
// returns once one of them gets an answer, or both have stated that they get none.
func (e *Exchanger) AskWitnesses(ctx context.Context, instance flamingodoor.Instance) Verdict {
	witnesses := e.witnesses(instance.DataCentre)
	if len(witnesses) == 0 {
		return Verdict{Alone: true}
	}
	var denied atomic.Bool
	reached := e.askPeers(ctx, witnesses, reachRequest(instance, witnessProbeTimeout), func(response *exchangev1.ReachResponse) {
		if response.GetSound() && !response.GetAnswers() {
			denied.Store(true)
		}
	})
	return Verdict{Reached: reached, Denied: denied.Load()}
}

// ReachedElsewhere reports whether a peer gets an answer from an instance that
// this host cannot reach. It is not known if no peer whose paths are sound responds,
// unless all peers are stranded or silent.
func (e *Exchanger) ReachedElsewhere(ctx context.Context, instance flamingodoor.Instance) (reached, known bool) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	peers := e.recentPeers()
	var denied atomic.Bool
	reached = e.askPeers(ctx, peers, reachRequest(instance, 0), func(response *exchangev1.ReachResponse) {
		if response.GetSound() && !response.GetAnswers() {
			denied.Store(true)
		}
	})
	return reached, reached || denied.Load() || len(peers) == 0
}

// NoneConnects reports whether a peer whose paths are sound states that the machine of
// an instance does not answer the opening of a connection, and none states that it
// does. Peers that do not state it count for nothing.
func (e *Exchanger) NoneConnects(ctx context.Context, instance flamingodoor.Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, machineAnswerTimeout)
	defer cancel()
	request := reachRequest(instance, machineProbeTimeout)
	request.Dial = true
	var answered, unanswered atomic.Bool
	reached := e.askPeers(ctx, e.recentPeers(), request, func(response *exchangev1.ReachResponse) {
		switch response.GetDial() {
		case exchangev1.DialResult_DIAL_RESULT_ANSWERED:
			answered.Store(true)
		case exchangev1.DialResult_DIAL_RESULT_UNANSWERED:
			if response.GetSound() {
				unanswered.Store(true)
			}
		case exchangev1.DialResult_DIAL_RESULT_UNSPECIFIED:
		}
	})
	return unanswered.Load() && !answered.Load() && !reached
}

// reachRequest asks a peer to probe an instance. A timeout of 0 leaves the bound to the
// peer.
func reachRequest(instance flamingodoor.Instance, timeout time.Duration) *exchangev1.ReachRequest {
	return &exchangev1.ReachRequest{
		InstanceId: instance.ID, Address: instance.Address.String(), BornMs: instance.StartedAt.UnixMilli(),
		FabricDomain: instance.FabricDomain, TimeoutMs: timeout.Milliseconds(),
	}
}

// askPeers asks peers to probe an instance, and reports whether it answers one of
// them.
func (e *Exchanger) askPeers(ctx context.Context, peers []*peerState, request *exchangev1.ReachRequest, observe func(response *exchangev1.ReachResponse)) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var reached atomic.Bool
	var calls errgroup.Group
	for _, peer := range peers {
		calls.Go(func() error {
			response, err := peer.client.Reach(ctx, connect.NewRequest(request))
			if err != nil {
				_ = level.Debug(e.logger).Log("event", "reach_failed", "peer", peer.ID, "err", err)
				return nil
			}
			observe(response.Msg)
			if response.Msg.GetAnswers() {
				reached.Store(true)
				cancel()
			}
			return nil
		})
	}
	_ = calls.Wait() // failed calls are logged and count as no answer
	return reached.Load()
}

// witnesses returns recent peers that are not stranded, at random: one of the given
// data centre if there is one, because its paths are the shortest, and others.
func (e *Exchanger) witnesses(dataCentre string) []*peerState {
	now := e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	var witnesses []*peerState
	for _, peer := range e.peers {
		if !peer.left && !peer.stranded && peer.silence(now) < peerTimeout {
			witnesses = append(witnesses, peer)
		}
	}
	rand.Shuffle(len(witnesses), func(i, j int) { witnesses[i], witnesses[j] = witnesses[j], witnesses[i] }) //nolint:gosec // need not be unpredictable
	if near := slices.IndexFunc(witnesses, func(peer *peerState) bool { return peer.DataCentre == dataCentre }); near > 0 {
		witnesses[0], witnesses[near] = witnesses[near], witnesses[0]
	}
	return witnesses[:min(witnessCount, len(witnesses))]
}

// recentPeers returns up to reachPeersPerDataCentre peers of each data centre
// from which a message, a response, or a summary with their work, arrived within
// peerTimeout.
func (e *Exchanger) recentPeers() []*peerState {
	now := e.now()
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := make(map[string]int)
	var recent []*peerState
	for _, peer := range e.peers {
		if !peer.left && peer.silence(now) < peerTimeout && !peer.stranded && counts[peer.DataCentre] < reachPeersPerDataCentre {
			counts[peer.DataCentre]++
			recent = append(recent, peer)
		}
	}
	return recent
}
