package proxy

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"strings"
	"sync"
	"time"

	"flamingodoor.example/flamingodoor"
)

// maxPromptParts limits the parts of a request that are examined. Those that many
// requests share come first.
const maxPromptParts = 64

// Errors of requests that are refused because they, or parts of their prompts, crash
// instances.
const (
	requestBlockedReason = "crashes_endpoints"
	partBlockedReason    = "prompt_crashes_endpoints"
)

var errPartBlocked = flamingodoor.Errorf(flamingodoor.CodePoisonRequest, "the request or a part of its prompt crashes instances")

// wholeRequest returns the part that stands for a whole request: repeats of the request
// share it, and no other request has it.
func wholeRequest(fingerprint flamingodoor.Fingerprint) flamingodoor.PromptPart {
	return flamingodoor.PromptPart(binary.BigEndian.Uint64(fingerprint[:]))
}

// wholeRequestName returns the name of the last part, which stands for the whole request,
// as log lines about parts name it.
func (j *job) wholeRequestName() string {
	return j.parts[len(j.parts)-1].String()
}

// blockedReason returns why a job crashes instances, or "" if it is not known to. The
// whole request is the last of its parts.
func (p *Proxy) blockedReason(j *job, now time.Time) string {
	switch {
	case p.crashTracker.Blocked(j.fingerprint, now):
		return requestBlockedReason
	case !p.partTracker.Blocked(j.parts, now):
		return ""
	case p.partTracker.Blocked(j.parts[:len(j.parts)-1], now):
		return partBlockedReason
	default:
		return requestBlockedReason
	}
}

// promptParts returns the parts in a comma-separated list of ID:TOKENS entries,
// without the last, which no other request has. Parts of different services
// differ.
func promptParts(service string, lines []string) []flamingodoor.PromptPart {
	entries := strings.SplitN(strings.Join(lines, ","), ",", maxPromptParts+2)
	entries = entries[:min(len(entries)-1, maxPromptParts)]
	parts := make([]flamingodoor.PromptPart, 0, len(entries))
	for _, entry := range entries {
		id, _, _ := strings.Cut(entry, ":")
		hash := sha256.Sum256([]byte(service + "\x00" + strings.ToLower(strings.TrimSpace(id))))
		parts = append(parts, flamingodoor.PromptPart(binary.BigEndian.Uint64(hash[:])))
	}
	return parts
}

// unbegunAttempts holds the attempts at streams whose responses have not begun. It is
// safe for concurrent use.
type unbegunAttempts struct {
	mu       sync.Mutex
	attempts map[*unbegunAttempt]struct{}
}

type unbegunAttempt struct {
	parts  []flamingodoor.PromptPart
	cancel context.CancelCauseFunc
}

// add holds an attempt until the returned function is called.
func (u *unbegunAttempts) add(parts []flamingodoor.PromptPart, cancel context.CancelCauseFunc) (remove func()) {
	attempt := &unbegunAttempt{parts: parts, cancel: cancel}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.attempts[attempt] = struct{}{}
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		delete(u.attempts, attempt)
	}
}

// EndUnbegun ends the attempts whose responses have not begun and whose parts are
// to blame for crashes: an instance that has such a request crashes when it begins
// the response.
func (p *Proxy) EndUnbegun(toBlame func(parts []flamingodoor.PromptPart) bool) {
	p.unbegun.mu.Lock()
	defer p.unbegun.mu.Unlock()
	for attempt := range p.unbegun.attempts {
		if toBlame(attempt.parts) {
			attempt.cancel(errPartBlocked)
		}
	}
}

// reportBegun reports that an endpoint began to respond to the job.
func (p *Proxy) reportBegun(j *job) {
	j.suspected = false
	p.partTracker.ReportBegun(j.parts)
}

// reportUnbegun reports an attempt that was sent and ended before the response
// began, unless this host or the caller ended it although the endpoint answers.
func (p *Proxy) reportUnbegun(ctx context.Context, j *job, dest destination) {
	if context.Cause(ctx) != nil {
		return
	}
	j.suspected = true
	p.partTracker.ReportBroken(context.WithoutCancel(ctx), dest.instance, j.parts)
}
