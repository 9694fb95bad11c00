package proxy

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"strings"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/stall"
)

// maxPromptParts limits the parts of a request that are examined. Those that many
// requests share come first.
const maxPromptParts = 64

// partBlockedReason is the error of a request that is refused because of a part
// of its prompt.
const partBlockedReason = "prompt_crashes_endpoints"

var errPartBlocked = flamingodoor.Errorf(flamingodoor.CodePoisonRequest, "a part of the prompt crashes instances")

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

// reportBegun reports that an endpoint began to respond to the job.
func (p *Proxy) reportBegun(j *job) {
	j.suspected = false
	if len(j.parts) > 0 {
		p.partTracker.ReportBegun(j.parts)
	}
}

// reportUnbegun reports an attempt that was sent and ended before the response
// began, unless this host or the caller ended it although the endpoint answers.
func (p *Proxy) reportUnbegun(ctx context.Context, j *job, dest destination) {
	if cause := context.Cause(ctx); len(j.parts) == 0 || (cause != nil && !errors.Is(cause, stall.ErrLost)) {
		return
	}
	j.suspected = true
	p.partTracker.ReportBroken(context.WithoutCancel(ctx), dest.instance, j.parts)
}
