package poison

import (
	"cmp"
	"slices"
	"time"

	"flamingodoor.example/flamingodoor"
	exchangev1 "flamingodoor.example/flamingodoor/gen/flamingodoor/exchange/v1"
)

const (
	// partShareTime is how long crashes and begun responses are sent to the peers.
	// It covers several rounds of the exchange.
	partShareTime = 3 * time.Second
	// ageTolerance is the difference below which two times of the same event count
	// as equal: ages grow by the delay of each message.
	ageTolerance = time.Second

	// maxMessageDelay is longer than a suspended host delays a message.
	maxMessageDelay = 10 * time.Second

	maxCrashesPerMessage = 16
	maxBegunPerMessage   = 64
	maxBlockedPerMessage = 32
	// maxBlockedPartsPerMessage bounds the parts of all of these to 4 KB.
	maxBlockedPartsPerMessage = 512
)

// Describe adds the recent crashes, the parts that have been cleared since, and the
// blocked parts to a message to the peers.
func (l *PartLedger) Describe(request *exchangev1.ShareRequest, now time.Time) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	for _, crash := range l.crashes {
		if now.Sub(crash.at) >= partShareTime || len(crash.suspects) == 0 {
			continue
		}
		message := &exchangev1.PartCrash{
			InstanceId: crash.process.InstanceID, BornMs: crash.process.StartedMS, AgeMs: ageMS(crash.at, now),
			Suspects: make([]uint64, 0, len(crash.suspects)),
		}
		for part := range crash.suspects {
			message.Suspects = append(message.Suspects, uint64(part))
		}
		request.PartCrashes = append(request.PartCrashes, message)
	}
	request.PartCrashes = newest(request.GetPartCrashes(), maxCrashesPerMessage)
	for part, begun := range l.begun {
		if now.Before(begun.shareUntil) {
			request.PartsBegun = append(request.PartsBegun, &exchangev1.PartBegun{Part: uint64(part), AgeMs: ageMS(begun.at, now)})
		}
	}
	request.PartsBegun = newest(request.GetPartsBegun(), maxBegunPerMessage)
	for _, blocked := range l.blocked {
		message := &exchangev1.BlockedParts{AgeMs: ageMS(blocked.CrashedAt, now), Crashes: int32(min(blocked.Crashes, maxPartCrashes))} //nolint:gosec // bounded
		for _, part := range blocked.Parts {
			message.Parts = append(message.Parts, uint64(part))
		}
		request.BlockedParts = append(request.BlockedParts, message)
	}
	request.BlockedParts = limitBlocked(newest(request.GetBlockedParts(), maxBlockedPerMessage))
}

// Merge records what a peer sent, and reports whether any of it is new.
func (l *PartLedger) Merge(request *exchangev1.ShareRequest, now time.Time) bool {
	if len(request.GetPartCrashes())+len(request.GetPartsBegun())+len(request.GetBlockedParts()) == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := false
	for _, begun := range request.GetPartsBegun()[:min(len(request.GetPartsBegun()), maxBegunPerMessage)] {
		part, at := flamingodoor.PromptPart(begun.GetPart()), atAge(begun.GetAgeMs(), now)
		if known, ok := l.begun[part]; ok && at.Sub(known.at) < ageTolerance {
			continue
		}
		l.clear(part, at, &Cleared{})
		l.recordBegun(part, at)
		changed = true
	}
	for _, crash := range request.GetPartCrashes()[:min(len(request.GetPartCrashes()), maxCrashesPerMessage)] {
		suspects := toParts(crash.GetSuspects()[:min(len(crash.GetSuspects()), maxSuspectsPerCrash)])
		process := Process{InstanceID: crash.GetInstanceId(), StartedMS: crash.GetBornMs()}
		changed = l.addCrash(process, suspects, atAge(crash.GetAgeMs(), now), false) || changed
	}
	for _, blocked := range request.GetBlockedParts()[:min(len(request.GetBlockedParts()), maxBlockedPerMessage)] {
		changed = l.mergeBlocked(flamingodoor.BlockedParts{
			Parts: toParts(blocked.GetParts()), CrashedAt: atAge(blocked.GetAgeMs(), now), Crashes: int(blocked.GetCrashes()),
		}, now) || changed
	}
	return changed
}

// Restore records stored blocked parts.
func (l *PartLedger) Restore(stored []flamingodoor.BlockedParts, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, blocked := range stored {
		crashedAt := blocked.CrashedAt
		if crashedAt.After(now) {
			crashedAt = now // by the clock of another host
		}
		l.mergeBlocked(flamingodoor.BlockedParts{Parts: blocked.Parts, CrashedAt: crashedAt, Crashes: blocked.Crashes}, now)
	}
}

// mergeBlocked records blocked parts that another host found, without those that
// have been cleared since, and reports whether this is new. Peers are told once
// more of the parts that have been cleared.
//
// The age in a message that was delayed makes the crash look later than it was. What
// was cleared is therefore blocked again only if this host knows a later crash itself,
// or if the crash is later than a delay explains.
func (l *PartLedger) mergeBlocked(found flamingodoor.BlockedParts, now time.Time) bool {
	if len(found.Parts) > maxBlockedSize || now.Sub(found.CrashedAt) >= strikeValidity {
		return false
	}
	parts := slices.DeleteFunc(slices.Clone(found.Parts), func(part flamingodoor.PromptPart) bool {
		begun, ok := l.begun[part]
		if !ok || found.CrashedAt.Sub(begun.at) > maxMessageDelay || (found.CrashedAt.After(begun.at) && l.crashedAfter(part, begun.at)) {
			return false
		}
		begun.shareUntil = now.Add(partShareTime)
		l.begun[part] = begun
		return true
	})
	slices.Sort(parts)
	l.countBlocked(parts, found.Crashes)
	if len(parts) == 0 || l.covers(parts, found.CrashedAt) {
		return false
	}
	l.block(flamingodoor.BlockedParts{Parts: parts, CrashedAt: found.CrashedAt, Crashes: found.Crashes})
	return true
}

// crashedAfter reports whether the part is a suspect of a crash after the given time.
func (l *PartLedger) crashedAfter(part flamingodoor.PromptPart, at time.Time) bool {
	for crash := range l.crashesOf[part] {
		if crash.at.After(at) {
			return true
		}
	}
	return false
}

// limitBlocked drops blocked parts, in the order of their ages, that no longer fit into
// a message.
func limitBlocked(messages []*exchangev1.BlockedParts) []*exchangev1.BlockedParts {
	left := maxBlockedPartsPerMessage
	return slices.DeleteFunc(messages, func(message *exchangev1.BlockedParts) bool {
		left -= len(message.GetParts())
		return left < 0
	})
}

// newest returns the given number of messages with the lowest ages.
func newest[Message interface{ GetAgeMs() int64 }](messages []Message, limit int) []Message {
	slices.SortFunc(messages, func(a, b Message) int { return cmp.Compare(a.GetAgeMs(), b.GetAgeMs()) })
	return messages[:min(len(messages), limit)]
}

func toParts(values []uint64) []flamingodoor.PromptPart {
	parts := make([]flamingodoor.PromptPart, 0, len(values))
	for _, value := range values {
		parts = append(parts, flamingodoor.PromptPart(value))
	}
	return parts
}

func ageMS(at, now time.Time) int64 {
	return max(0, now.Sub(at).Milliseconds())
}

// atAge returns the time of an event of the given age. Ages of other hosts are
// limited, so that their arithmetic cannot overflow.
func atAge(age int64, now time.Time) time.Time {
	return now.Add(-time.Duration(min(max(age, 0), strikeValidity.Milliseconds())) * time.Millisecond)
}
