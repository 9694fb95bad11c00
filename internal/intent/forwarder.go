package intent

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"flamingodoor.example/flamingodoor"
)

// ForwarderParts are the dependencies of a Forwarder.
type ForwarderParts struct {
	HostID string
	// Runner runs calls on this host.
	Runner flamingodoor.OnceRunner
	// Owners returns the entry hosts of a shard in rendezvous order; the key is
	// the name of the shard's stream.
	Owners func(key string) []flamingodoor.EntryHost
	// Reachable reports whether calls can be forwarded to a host.
	Reachable func(hostID string) bool
	Peers     flamingodoor.PeerDirectory
}

// Forwarder forwards each call to the preferred owner of its shard and falls
// back to this host.
type Forwarder struct {
	parts ForwarderParts
}

var _ flamingodoor.OnceRunner = (*Forwarder)(nil)

// NewForwarder returns a forwarder with the given dependencies.
func NewForwarder(parts ForwarderParts) *Forwarder {
	return &Forwarder{parts: parts}
}

// RunOnce forwards the call to the first reachable owner. This host runs it if
// it is that owner, if no owner is reachable or if the owner fails. When the
// owner does not answer within half of the time to the deadline, this host runs
// the call as well; the order of the log lets only one of the two hosts dispatch
// it.
func (f *Forwarder) RunOnce(ctx context.Context, call flamingodoor.ServiceCall) (flamingodoor.ServiceAnswer, error) {
	now := time.Now()
	k, err := parseKey(call, now)
	if err != nil {
		return flamingodoor.ServiceAnswer{}, err
	}
	owner, ok := f.owner(k.hash.Stream())
	if !ok || owner.ID == f.parts.HostID {
		return f.parts.Runner.RunOnce(ctx, call)
	}
	call.Deadline = callDeadline(ctx, call, now)
	forwardCtx, cancel := context.WithDeadline(ctx, call.Deadline)
	defer cancel()
	results := make(chan result, 1)
	go func() { results <- f.forward(forwardCtx, owner, call) }()
	timer := time.NewTimer(call.Deadline.Sub(now) / 2)
	defer timer.Stop()
	var remote result
	select {
	case remote = <-results:
	case <-timer.C:
	}
	if remote.answered && !canRunLocally(remote.err) {
		return remote.answer, remote.err
	}
	answer, err := f.parts.Runner.RunOnce(ctx, call)
	if err == nil || remote.answered {
		return answer, err
	}
	select {
	case remote = <-results:
	default:
	}
	if remote.answered && flamingodoor.RunStateOf(remote.err) != flamingodoor.RunStateNotRun {
		return remote.answer, remote.err
	}
	if !remote.answered && flamingodoor.RunStateOf(err) == flamingodoor.RunStateNotRun {
		// The owner may have run the call although its answer was lost.
		err = flamingodoor.NewError(flamingodoor.CodeOutcomeUnknown, flamingodoor.RunStateMayHaveRun, err)
	}
	return answer, err
}

// result is the response of the owner to a forwarded call, or the failure of the
// RPC. It is the zero value until the RPC has ended.
type result struct {
	answer   flamingodoor.ServiceAnswer
	err      error
	answered bool // the owner responded; otherwise err is the failure of the RPC, if any
}

// owner returns the first owner of a stream that is this host or reachable, and
// false if there is none.
func (f *Forwarder) owner(stream string) (flamingodoor.EntryHost, bool) {
	for _, host := range f.parts.Owners(stream) {
		if host.ID == f.parts.HostID || f.parts.Reachable(host.ID) {
			return host, true
		}
	}
	return flamingodoor.EntryHost{}, false
}

// forward sends the call to the owner and returns its response.
func (f *Forwarder) forward(ctx context.Context, owner flamingodoor.EntryHost, call flamingodoor.ServiceCall) result {
	response, err := f.parts.Peers.Peer(owner).RunOnce(ctx, connect.NewRequest(encodeCall(call)))
	if err != nil {
		return result{err: err}
	}
	answer, err := decodeResult(response.Msg)
	return result{answer: answer, err: err, answered: true}
}

// canRunLocally reports whether the owner refused the call for a reason that may
// not apply to this host.
func canRunLocally(err error) bool {
	if err == nil || flamingodoor.RunStateOf(err) != flamingodoor.RunStateNotRun {
		return false
	}
	switch flamingodoor.CodeOf(err) {
	case flamingodoor.CodeLogUnavailable, flamingodoor.CodeStopping, flamingodoor.CodeNotFresh:
		return true
	default:
		return false
	}
}
