package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/upstream"
)

// Headers between entry hosts. Those of a caller are dropped.
const (
	forwardedByHeader = "Entry-Forwarded-By" // host that forwards the request
	forwardedToHeader = "Entry-Forwarded-To" // host that it is meant for
	callerRetryHeader = "Entry-Caller-Retry" // set for a caller's retry
	countedHeader     = "Entry-Counted"      // set if the demand was counted elsewhere
	streamBegunHeader = "Entry-Stream-Begun" // set if the caller has a part of the stream
	sendsHeader       = "Entry-Sends"        // attempts that may have reached an instance
	ungrantedHeader   = "Entry-Ungranted"    // set if no retry budget has granted the next attempt
	versionHeader     = "Entry-Version"      // of the configuration of the host that forwards
	serviceHeader     = "Entry-Service"      // chosen from the split of the route
	lastChoiceHeader  = "Entry-Last-Choice"  // set if the peer is known to stop and there is no other
	answerHeader      = "Entry-Answer"       // of a response: answerTaken or answerDeclined
)

const (
	answerTaken    = "taken"
	answerDeclined = "declined"
)

// forwardHeaders are the headers of requests between entry hosts.
var forwardHeaders = []string{ //nolint:gochecknoglobals // a constant list
	forwardedByHeader, forwardedToHeader, callerRetryHeader, countedHeader, streamBegunHeader, sendsHeader, ungrantedHeader, versionHeader, serviceHeader, lastChoiceHeader,
}

const (
	// maxDeclines is how many peers may decline a request in a row until it is
	// refused. In a cut that spares old connections, several hosts may not know yet that
	// they have no paths; a decline takes a few milliseconds.
	maxDeclines = 8
	// peerSilenceThreshold is how long a peer may send no event before another attempt
	// begins. The instance may be silent, and the peer does not resume the stream. A
	// host that reaches instances knows of their silence in about this time.
	peerSilenceThreshold = 600 * time.Millisecond
)

// errPeerSilent is the cause of streams that are suspected because the peer sends no
// events.
var errPeerSilent = flamingodoor.Errorf(flamingodoor.CodeEndpointFailed, "the peer sends no events")

// forwardCounts count the requests that went from host to host since the start.
type forwardCounts struct {
	forwarded atomic.Int64
	declined  atomic.Int64 // by peers
	takenOver atomic.Int64
	turnedOff atomic.Int64 // declined by this host
}

// ForwardCounts are the requests that went from host to host since the start.
type ForwardCounts struct {
	Forwarded int64 // attempts at peers
	Declined  int64 // of them, those that the peer did not take or that did not reach it
	TakenOver int64 // requests of peers
	TurnedOff int64 // requests of peers that this host declined
}

// ForwardCounts returns the present counts.
func (p *Proxy) ForwardCounts() ForwardCounts {
	return ForwardCounts{
		Forwarded: p.forwards.forwarded.Load(), Declined: p.forwards.declined.Load(),
		TakenOver: p.forwards.takenOver.Load(), TurnedOff: p.forwards.turnedOff.Load(),
	}
}

// noPeers is the selector of a host without peers.
type noPeers struct{}

func (noPeers) NextPeer(map[string]bool, time.Time) (flamingodoor.EntryPeer, bool) {
	return flamingodoor.EntryPeer{}, false
}
func (noPeers) ReleasePeer(string)          {}
func (noPeers) HasPeer(time.Time) bool      { return false }
func (noPeers) AvoidPeer(string, time.Time) {}

// UsePeers sets the selector of peers. It is called before the first request.
func (p *Proxy) UsePeers(peers flamingodoor.PeerSelector) {
	p.peers = peers
}

// acquirePeer returns a peer for a job that this host cannot serve. A job that came
// from another host is not forwarded again.
func (p *Proxy) acquirePeer(j *job, now time.Time) (destination, error) {
	if j.forwardedBy != "" || j.declines >= maxDeclines || j.exhausted() {
		return destination{}, errNoPath
	}
	peer, ok := p.peers.NextPeer(j.failedPeers, now)
	if !ok && len(j.brokenPeers) > 0 {
		// Their instances broke off streams: they may have others.
		for _, id := range j.brokenPeers {
			delete(j.failedPeers, id)
		}
		j.brokenPeers = nil
		peer, ok = p.peers.NextPeer(j.failedPeers, now)
	}
	if !ok {
		return destination{}, errNoPath
	}
	return destination{peer: &peer}, nil
}

// reliesOnOwnPaths reports whether a job has no way but this host's own paths, because
// no peer is known to have better ones. The instances may only be slow.
func (p *Proxy) reliesOnOwnPaths(j *job, now time.Time) bool {
	return j.forwardedBy == "" && !p.peers.HasPeer(now)
}

// acquireElsewhere returns a peer for a job without a candidate if only the paths of
// this host exclude instances, or else the reason why there is no candidate. A job of
// another host may be served where these paths are sound, whatever the other instances
// of this host ask for.
func (p *Proxy) acquireElsewhere(j *job, set *candidateSet, now time.Time) (destination, time.Time, error) {
	reason := set.emptyError()
	if set.unreachable > 0 {
		dest, err := p.acquirePeer(j, now)
		if err == nil {
			return dest, time.Time{}, nil
		}
		if j.forwardedBy != "" {
			return destination{}, time.Time{}, err // it counts where it is served
		}
		if errors.Is(reason, errNoInstance) {
			reason = err
		}
	}
	p.countArrival(j)
	return destination{}, set.heldUntil, reason
}

// acquireBeyondFull returns a peer for a job whose candidates are all at capacity if
// this host does not reach most of the instances.
func (p *Proxy) acquireBeyondFull(j *job, set *candidateSet, now time.Time) (destination, time.Time, error) {
	if set.unreachable > len(set.candidates) {
		if dest, err := p.acquirePeer(j, now); err == nil {
			return dest, time.Time{}, nil
		}
	}
	return destination{}, set.heldUntil, errFull
}

// acquireGrant returns a peer whose retry budget may grant the next attempt of a job.
func (p *Proxy) acquireGrant(j *job, now time.Time) (destination, time.Time, error) {
	if dest, err := p.acquirePeer(j, now); err == nil {
		return dest, time.Time{}, nil
	}
	return destination{}, time.Time{}, errNoRetry
}

// release ends the use of a destination that acquire returned for a job.
func (p *Proxy) release(j *job, dest destination) {
	if dest.peer != nil {
		p.peers.ReleasePeer(dest.peer.ID)
		return
	}
	p.countRelease(j)
	p.tracker.Release(dest.instance.ID)
}

// failed reports whether the job is not to try a destination again.
func (j *job) failed(dest destination) bool {
	if dest.peer == nil {
		return j.failedInstances[dest.instance.ID]
	}
	return j.failedPeers[dest.peer.ID]
}

// exclude makes the job try other destinations.
func (j *job) exclude(dest destination) {
	if dest.peer == nil {
		j.failedInstances[dest.instance.ID] = true
		return
	}
	if j.failedPeers == nil {
		j.failedPeers = make(map[string]bool)
	}
	j.failedPeers[dest.peer.ID] = true
}

// countArrival counts a job as a request and its demand, once at all hosts.
func (p *Proxy) countArrival(j *job) {
	if j.counted {
		return
	}
	j.counted = true
	p.retryBudget(j.service.Name).CountRequest(j.receivedAt)
	p.arrivalRates.add(j.queueKey(), j.receivedAt)
	if j.route.Kind == flamingodoor.RouteKindStreaming && !j.callerRetry {
		// A caller's retry repeats demand that was counted before.
		p.demand.Add(j.service, j.model, j.promptTokens, j.maxOutputTokens, j.receivedAt)
	}
}

// attemptAtPeer sends the job to a peer and buffers the response.
func (p *Proxy) attemptAtPeer(ctx context.Context, j *job, peer flamingodoor.EntryPeer) (bufferedResponse, outcome) {
	ranBefore := j.mayHaveRun
	response, result := p.sendToPeer(ctx, j, peer, j.lastEventID)
	if result != outcomeDone {
		return bufferedResponse{}, result
	}
	buffered, err := p.bufferResponse(response)
	if err != nil {
		return bufferedResponse{}, p.handlePeerError(ctx, j, peer, err)
	}
	if ranBefore && statusMeansNotRun(buffered.status) {
		// This is true of the peer only.
		buffered.discard()
		return bufferedResponse{}, outcomeFailed
	}
	j.target = peer.ID
	return buffered, outcomeDone
}

// streamFromPeer sends the job to a peer and forwards its events.
func (p *Proxy) streamFromPeer(runner *streamRunner, j *job, peer flamingodoor.EntryPeer, client *delivery, suspect func(cause error)) outcome {
	ctx, ranBefore, from := runner.ctx, j.mayHaveRun, client.sent()
	response, result := p.sendToPeer(ctx, j, peer, from.lastEventID)
	if result != outcomeDone {
		return result
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK || response.Header.Get(p.headers.Signature) == "" {
		return p.deliverRefusal(runner, j, peer, response, client, ranBefore)
	}
	j.target = peer.ID
	watched := &watchedBody{ReadCloser: response.Body, silence: time.AfterFunc(peerSilenceThreshold, func() {
		p.peers.AvoidPeer(peer.ID, p.now())
		suspect(errPeerSilent)
	})}
	defer watched.silence.Stop()
	response.Body = watched
	err := p.copyEvents(runner, response, client, from, func(sent position) { p.recordFirstEvent(j, sent) })
	if err == nil {
		return outcomeDone
	}
	var callerLeft *callerLeftError
	if errors.As(err, &callerLeft) {
		return outcomeCallerLeft
	}
	return p.handlePeerError(ctx, j, peer, err)
}

// watchedBody is the body of a peer's answer. Its timer runs only while the peer is
// read: a caller that reads slowly is not the peer's silence.
type watchedBody struct {
	io.ReadCloser

	silence *time.Timer
}

// Read reads from the peer.
func (w *watchedBody) Read(data []byte) (int, error) {
	w.silence.Reset(peerSilenceThreshold)
	defer w.silence.Stop()
	return w.ReadCloser.Read(data)
}

// deliverRefusal forwards a peer's response that is no stream, unless events were
// sent before or it states only for the peer that the request has not run.
func (p *Proxy) deliverRefusal(runner *streamRunner, j *job, peer flamingodoor.EntryPeer, response *upstream.Response, client *delivery, ranBefore bool) outcome {
	buffered, err := p.bufferResponse(response)
	if err != nil {
		return p.handlePeerError(runner.ctx, j, peer, err)
	}
	if ranBefore && statusMeansNotRun(buffered.status) {
		buffered.discard()
		return outcomeFailed
	}
	j.target = peer.ID
	return client.refuse(runner, j, buffered)
}

// sendToPeer forwards the request to a peer as the caller sent it, with the time
// left and the state of its attempts. The outcome is outcomeDone if the peer took
// the request over and its response has begun.
func (p *Proxy) sendToPeer(ctx context.Context, j *job, peer flamingodoor.EntryPeer, lastEventID string) (*upstream.Response, outcome) {
	p.forwards.forwarded.Add(1)
	_ = level.Info(p.logger).Log("event", "request_forwarded", "request", j.id, "peer", peer.ID, "sends", j.sends, "last_event", lastEventID)
	response, err := p.peerPool.Do(ctx, upstream.Target{InstanceID: peer.ID, Address: peer.Address}, upstream.Call{
		Method: j.method, URI: j.uri, Host: j.host, Header: p.forwardedHeader(j, peer, lastEventID), Body: j.body,
		NewConnection: !j.repeatable(),
	})
	if err != nil {
		result := p.handlePeerError(ctx, j, peer, err)
		if result == outcomeFailed {
			j.sends++
		}
		return nil, result
	}
	switch response.Header.Get(answerHeader) {
	case answerTaken:
	case answerDeclined:
		defer func() { _ = response.Body.Close() }()
		p.recordDecline(j, peer, response)
		return nil, outcomeNotRun
	default:
		_ = response.Body.Close()
		return nil, p.handlePeerError(ctx, j, peer, flamingodoor.Errorf(flamingodoor.CodeProtocol, "status %d of an unknown host", response.StatusCode))
	}
	j.mayHaveRun, j.counted, j.retryGranted, j.declines = true, true, false, 0
	if sends, err := strconv.Atoi(response.Header.Get(sendsHeader)); err == nil {
		j.sends = max(j.sends, min(sends, maxForwardedSends))
	}
	return response, outcomeDone
}

// forwardedHeader returns the header of the request to a peer.
func (p *Proxy) forwardedHeader(j *job, peer flamingodoor.EntryPeer, lastEventID string) http.Header {
	header := j.header.Clone()
	header.Del(p.headers.Workspace)
	if j.authorization != "" {
		header.Set("Authorization", j.authorization)
	}
	header.Set(p.headers.DeadlineMS, strconv.FormatInt(max(1, j.deadline.Sub(p.now()).Milliseconds()), 10))
	if lastEventID != "" {
		header.Set(p.headers.LastEventID, lastEventID)
	}
	header.Set(forwardedByHeader, p.hostID)
	header.Set(forwardedToHeader, peer.ID)
	header.Set(sendsHeader, strconv.Itoa(j.sends))
	header.Set(versionHeader, strconv.FormatInt(j.version, 10))
	header.Set(serviceHeader, j.service.Name)
	for name, set := range map[string]bool{
		callerRetryHeader: j.callerRetry, countedHeader: j.counted, streamBegunHeader: j.responseStarted, ungrantedHeader: j.sends > 0 && !j.retryGranted,
		lastChoiceHeader: peer.Leaving,
	} {
		if set {
			header.Set(name, "1")
		}
	}
	return header
}

// recordDecline logs that a peer did not take a request over, which has not run
// there.
func (p *Proxy) recordDecline(j *job, peer flamingodoor.EntryPeer, response *upstream.Response) {
	j.cause = "declined"
	j.declines++
	p.forwards.declined.Add(1)
	p.peers.AvoidPeer(peer.ID, p.now())
	_ = level.Info(p.logger).Log("event", "forward_declined", "request", j.id, "peer", peer.ID, "status", response.StatusCode)
}

// handlePeerError returns the outcome of an attempt at a peer without a complete
// response.
func (p *Proxy) handlePeerError(ctx context.Context, j *job, peer flamingodoor.EntryPeer, err error) outcome {
	var failure *upstream.CallError
	unsent := errors.As(err, &failure) && !failure.Sent
	_ = level.Info(p.logger).Log("event", "forward_broken", "request", j.id, "peer", peer.ID, "unsent", unsent, "cause", context.Cause(ctx), "err", err)
	if unsent {
		p.peers.AvoidPeer(peer.ID, p.now())
		j.cause = "peer_unreachable"
		j.declines++
		p.forwards.declined.Add(1)
		return p.callerLeftOr(ctx, outcomeNotRun)
	}
	j.cause = "peer_broken"
	j.mayHaveRun, j.retryGranted = true, false
	return p.callerLeftOr(ctx, outcomeFailed)
}
