package intent

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"flamingodoor.example/flamingodoor"
)

// ForwarderParts are what a Forwarder works with.
type ForwarderParts struct {
	HostID string
	// Runner runs calls on this host.
	Runner flamingodoor.OnceRunner
	// Owners returns the entry hosts of a shard in rendezvous order; the key is
	// the name of the shard's stream.
	Owners    func(key string) []flamingodoor.EntryHost
	Reachable func(hostID string) bool
	Peers     flamingodoor.PeerDirectory
}

// Forwarder sends calls to the preferred owners of their shards.
type Forwarder struct {
	parts ForwarderParts
}

var _ flamingodoor.OnceRunner = (*Forwarder)(nil)

// NewForwarder returns a forwarder.
func NewForwarder(parts ForwarderParts) *Forwarder {
	return &Forwarder{parts: parts}
}

// RunOnce sends the call to the first reachable owner and runs it on this host
// if that is the owner or the owner fails. When the owner does not answer in
// half of the time, this host runs the call too; the order of the log lets only
// one of the two dispatch.
func (f *Forwarder) RunOnce(ctx context.Context, call flamingodoor.ServiceCall) (flamingodoor.ServiceAnswer, error) {
	now := time.Now()
	k, err := keyOf(call, now)
	if err != nil {
		return flamingodoor.ServiceAnswer{}, err
	}
	owner, ok := f.owner(k.hash.Stream())
	if !ok || owner.ID == f.parts.HostID {
		return f.parts.Runner.RunOnce(ctx, call)
	}
	call.Deadline = deadlineOf(ctx, call, now)
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
	if remote.answered && !runsElsewhere(remote.err) {
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
		// The owner, whose answer was lost, may have run the call.
		err = flamingodoor.NewError(flamingodoor.CodeOutcomeUnknown, flamingodoor.RunStateMayHaveRun, err)
	}
	return answer, err
}

// result is what the owner answered, if it did.
type result struct {
	answer   flamingodoor.ServiceAnswer
	err      error
	answered bool
}

func (f *Forwarder) owner(stream string) (flamingodoor.EntryHost, bool) {
	for _, host := range f.parts.Owners(stream) {
		if host.ID == f.parts.HostID || f.parts.Reachable(host.ID) {
			return host, true
		}
	}
	return flamingodoor.EntryHost{}, false
}

func (f *Forwarder) forward(ctx context.Context, owner flamingodoor.EntryHost, call flamingodoor.ServiceCall) result {
	response, err := f.parts.Peers.Peer(owner).RunOnce(ctx, connect.NewRequest(encodeCall(call)))
	if err != nil {
		return result{err: err}
	}
	answer, err := decodeResult(response.Msg)
	return result{answer: answer, err: err, answered: true}
}

// runsElsewhere reports whether the owner refused a call that this host may be
// able to run.
func runsElsewhere(err error) bool {
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
