package poison

import (
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"flamingodoor.example/flamingodoor"
)

const (
	// partBlockThreshold is the number of crashes after which a part that alone
	// explains them is blocked. Chance puts a harmless part into one or two crashes
	// before the next response to a request with it begins.
	partBlockThreshold = 3
	// partSuspectThreshold is the number of crashes from which a request that may
	// have caused them is not repeated.
	partSuspectThreshold = 2
	// maxBlockedSize limits how many parts that only ever occurred together are
	// blocked together. One of them stands for the whole request.
	maxBlockedSize = 65
	// settleTime is how long after its latest crash a part becomes blocked. By then
	// all hosts have reported their requests in flight at the crash. A host that
	// had no request with the part in flight there waits for othersSettleTime, so
	// that usually only one host stores the part.
	settleTime       = 100 * time.Millisecond
	othersSettleTime = 3 * settleTime

	// blameTime is how long ago the crashes may be that decide whether requests in
	// flight are ended.
	blameTime = 10 * time.Second

	// separateTime is the time between two crashes from which they count as two. An
	// outage of a machine or a data centre ends many processes at one moment, and a
	// part that many requests share is in flight at most of them.
	separateTime = 200 * time.Millisecond
	// provisionalTime is how long a part is blocked by crashes that do not all count.
	// Then requests with it decide.
	provisionalTime = 1500 * time.Millisecond

	maxPartCrashes      = 512
	maxSuspectsPerCrash = 128
	maxBlockedParts     = 256
	maxBegunParts       = 4096
)

// Process identifies one process of an instance.
type Process struct {
	InstanceID string
	StartedMS  int64 // Unix milliseconds
}

// ProcessOf returns the process of an instance.
func ProcessOf(instance flamingodoor.Instance) Process {
	return Process{InstanceID: instance.ID, StartedMS: instance.StartedAt.UnixMilli()}
}

// PartLedger finds the parts of prompts that crash instances. An instance crashes
// when it begins a response to a request with such a part, so the suspects of a
// crash are the parts of the requests in flight there whose responses had not
// begun, and a part is harmless if a response to a request with it begins. A
// PartLedger is safe for concurrent use.
type PartLedger struct {
	mu        sync.RWMutex
	crashes   map[Process]*partCrash
	crashesOf map[flamingodoor.PromptPart]map[*partCrash]struct{} // by suspect
	begun     map[flamingodoor.PromptPart]begunPart
	blocked   []blockedParts
	unsettled bool      // crashes were added since Settle last examined all
	expiredAt time.Time // when Settle last dropped what had expired
}

// partCrash is the crash of one process.
type partCrash struct {
	process  Process
	at       time.Time
	refuted  bool                             // the process answered later
	suspects map[flamingodoor.PromptPart]bool // true if this host had a request with the part in flight

	refutedAt time.Time
}

// begunPart is the latest begin of a response to a request with a suspected part.
type begunPart struct {
	at         time.Time
	shareUntil time.Time // until when the peers are told
}

// NewPartLedger returns an empty PartLedger.
func NewPartLedger() *PartLedger {
	return &PartLedger{
		crashes:   make(map[Process]*partCrash),
		crashesOf: make(map[flamingodoor.PromptPart]map[*partCrash]struct{}),
		begun:     make(map[flamingodoor.PromptPart]begunPart),
	}
}

// Blocked reports whether a request with the parts would crash an instance. A part
// that may have caused three crashes is blocked, unless a part that the request
// does not have may have caused them all as well: then the request runs and its
// outcome decides between the two.
func (l *PartLedger) Blocked(parts []flamingodoor.PromptPart, now time.Time) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	for _, blocked := range l.blocked {
		if now.Before(blocked.CrashedAt.Add(strikeValidity)) && containsAll(parts, blocked.Parts) {
			return true
		}
	}
	return slices.ContainsFunc(parts, func(part flamingodoor.PromptPart) bool {
		crashes := l.crashesOf[part]
		if len(crashes) < partBlockThreshold || !containsAll(parts, l.alternatives(part)) {
			return false
		}
		return l.countCrashes(part) >= partBlockThreshold || now.Sub(latestCrash(crashes).at) < provisionalTime
	})
}

// BlamedAlone reports whether a request with the parts would be refused, and its
// parts are suspects of most of the latest crashes. When many instances are lost
// for another reason, a harmless part can be a suspect at several of them.
func (l *PartLedger) BlamedAlone(parts []flamingodoor.PromptPart, now time.Time) bool {
	if !l.Blocked(parts, now) {
		return false
	}
	l.mu.RLock()
	defer l.mu.RUnlock()
	recent, explained := 0, 0
	for _, crash := range l.crashes {
		if crash.refuted || now.Sub(crash.at) >= blameTime {
			continue
		}
		recent++
		if slices.ContainsFunc(parts, func(part flamingodoor.PromptPart) bool {
			_, suspected := crash.suspects[part]
			return suspected && l.countCrashes(part) >= partBlockThreshold
		}) {
			explained++
		}
	}
	return explained >= partBlockThreshold && 2*explained > recent
}

// Suspected reports whether any of the parts may have caused two crashes.
func (l *PartLedger) Suspected(parts []flamingodoor.PromptPart) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return slices.ContainsFunc(parts, func(part flamingodoor.PromptPart) bool {
		return l.countCrashes(part) >= partSuspectThreshold
	})
}

// Known reports whether the crash of the process is recorded.
func (l *PartLedger) Known(process Process) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	crash, ok := l.crashes[process]
	return ok && !crash.refuted
}

// ReportCrash records that requests with the parts were in flight at the process
// when it crashed, and that their responses had not begun. It reports whether any
// of this is new.
func (l *PartLedger) ReportCrash(process Process, parts []flamingodoor.PromptPart, at time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addCrash(process, parts, at, true)
}

// ReportBegun records that a response to a request with the parts began.
func (l *PartLedger) ReportBegun(parts []flamingodoor.PromptPart, at time.Time) Cleared {
	l.mu.RLock()
	idle := len(l.crashesOf) == 0 && len(l.blocked) == 0
	l.mu.RUnlock()
	if idle {
		return Cleared{}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var cleared Cleared
	for _, part := range parts {
		crashes := l.countCrashes(part)
		if l.clear(part, at, &cleared) {
			cleared.Suspected = cleared.Suspected || crashes >= partSuspectThreshold
		}
	}
	return cleared
}

// Cleared holds the parts that turned out to be harmless.
type Cleared struct {
	Parts     []flamingodoor.PromptPart
	Suspected bool                        // one of the parts may have caused two crashes
	Ended     []flamingodoor.BlockedParts // blocked parts that contained one of them
	Remaining []flamingodoor.BlockedParts // what stays blocked in their place
}

// Refute records that the process answered after a crash of it was recorded: it
// was only unreachable. Parts that are blocked because of it are cleared.
func (l *PartLedger) Refute(process Process, at time.Time) Cleared {
	l.mu.Lock()
	defer l.mu.Unlock()
	var cleared Cleared
	crash, ok := l.crashes[process]
	if !ok || crash.refuted || crash.at.After(at) {
		return cleared
	}
	crash.refuted, crash.refutedAt = true, at
	l.uncountBlocked(crash, at, &cleared)
	for part := range crash.suspects {
		l.removeSuspect(crash, part)
	}
	return cleared
}

// Settle records as blocked what explains three crashes, the latest of which all
// hosts have reported by now. It drops what has expired.
func (l *PartLedger) Settle(now time.Time) Settled {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.expiredAt) >= time.Second {
		l.expire(now)
		l.expiredAt = now
	}
	var settled Settled
	if !l.unsettled {
		return settled
	}
	l.unsettled = false
	for part, crashes := range l.crashesOf {
		if l.countCrashes(part) < partBlockThreshold {
			continue
		}
		latest := latestCrash(crashes)
		parts := l.alternatives(part)
		l.countBlocked(parts, l.countCrashes(part)+l.refutedOf(parts))
		if len(parts) > maxBlockedSize || l.covers(parts, latest.at) {
			continue
		}
		wait := othersSettleTime
		if slices.ContainsFunc(parts, func(part flamingodoor.PromptPart) bool { return latest.suspects[part] }) {
			wait = settleTime
		}
		if now.Sub(latest.at) < wait {
			l.unsettled = true
			continue
		}
		blocked := flamingodoor.BlockedParts{Parts: parts, CrashedAt: latest.at, Crashes: l.countCrashes(part)}
		settled.Blocked = append(settled.Blocked, blocked)
		settled.Ended = append(settled.Ended, l.block(blocked)...)
	}
	return settled
}

// Settled is what became blocked.
type Settled struct {
	Blocked []flamingodoor.BlockedParts
	Ended   []flamingodoor.BlockedParts // replaced by fewer parts
}

// countCrashes returns how many crashes the part may have caused. Those at about
// the same time count once.
func (l *PartLedger) countCrashes(part flamingodoor.PromptPart) int {
	crashes := l.crashesOf[part]
	if len(crashes) <= 1 {
		return len(crashes)
	}
	times := make([]time.Time, 0, len(crashes))
	for crash := range crashes {
		times = append(times, crash.at)
	}
	slices.SortFunc(times, time.Time.Compare)
	count, latest := 0, time.Time{}
	for _, at := range times {
		if count == 0 || at.Sub(latest) >= separateTime {
			count++
			latest = at
		}
	}
	return count
}

// alternatives returns the parts that may have caused all crashes that the part
// may have caused, in ascending order. The part is one of them.
func (l *PartLedger) alternatives(part flamingodoor.PromptPart) []flamingodoor.PromptPart {
	crashes := l.crashesOf[part]
	var smallest *partCrash
	for crash := range crashes {
		if smallest == nil || len(crash.suspects) < len(smallest.suspects) {
			smallest = crash
		}
	}
	var found []flamingodoor.PromptPart
	for other := range smallest.suspects {
		explains := true
		for crash := range crashes {
			_, suspected := crash.suspects[other]
			explains = explains && suspected
		}
		if explains {
			found = append(found, other)
		}
	}
	slices.Sort(found)
	return found
}

// addCrash adds suspects to the crash of a process and reports whether any is new.
func (l *PartLedger) addCrash(process Process, parts []flamingodoor.PromptPart, at time.Time, own bool) bool {
	crash, ok := l.crashes[process]
	if !ok {
		l.evictOldestCrash()
		crash = &partCrash{process: process, at: at, suspects: make(map[flamingodoor.PromptPart]bool)}
		l.crashes[process] = crash
	}
	if crash.refuted {
		if !at.After(crash.refutedAt) {
			return false
		}
		crash.refuted, crash.at = false, at
	}
	if at.Before(crash.at) {
		crash.at = at
	}
	added := !ok
	for _, part := range parts {
		if known, suspected := crash.suspects[part]; suspected {
			crash.suspects[part] = known || own
			continue
		}
		if begun, harmless := l.begun[part]; harmless && !crash.at.After(begun.at) {
			continue
		}
		if len(crash.suspects) >= maxSuspectsPerCrash && !l.replaceSuspect(crash, part) {
			continue
		}
		crash.suspects[part] = own
		if l.crashesOf[part] == nil {
			l.crashesOf[part] = make(map[*partCrash]struct{})
		}
		l.crashesOf[part][crash] = struct{}{}
		added, l.unsettled = true, true
	}
	return added
}

// replaceSuspect removes a suspect of a crash that has as many as it may have, to make
// room for a part, and reports whether it did. Which of them remain is drawn by a hash
// of the part and the process: all hosts keep the same ones, and a part that is left
// out at one crash is kept at others.
func (l *PartLedger) replaceSuspect(crash *partCrash, part flamingodoor.PromptPart) bool {
	last, lastRank := part, crash.process.rank(part)
	for suspect := range crash.suspects {
		if rank := crash.process.rank(suspect); rank > lastRank {
			last, lastRank = suspect, rank
		}
	}
	if last == part {
		return false
	}
	l.removeSuspect(crash, last)
	return true
}

// rank returns a number by which the suspects of the process's crash are drawn.
func (p Process) rank(part flamingodoor.PromptPart) uint64 {
	key := binary.LittleEndian.AppendUint64([]byte(p.InstanceID), uint64(p.StartedMS)) //nolint:gosec // bits for a hash
	return xxhash.Sum64(binary.LittleEndian.AppendUint64(key, uint64(part)))
}

// clear removes a part from all crashes and blocked parts up to the given time,
// and reports whether it was in any. Parts that were blocked together with it stay
// blocked: they caused the crashes.
func (l *PartLedger) clear(part flamingodoor.PromptPart, at time.Time, cleared *Cleared) bool {
	found := false
	for crash := range l.crashesOf[part] {
		if !crash.at.After(at) {
			l.removeSuspect(crash, part)
			found = true
		}
	}
	var kept []blockedParts
	for _, blocked := range l.blocked {
		if !slices.Contains(blocked.Parts, part) || blocked.CrashedAt.After(at) {
			kept = append(kept, blocked)
			continue
		}
		found = true
		cleared.Ended = append(cleared.Ended, blocked.BlockedParts)
		cleared.Remaining = slices.DeleteFunc(cleared.Remaining, func(each flamingodoor.BlockedParts) bool { return slices.Equal(each.Parts, blocked.Parts) })
		rest := flamingodoor.BlockedParts{
			Parts:     slices.DeleteFunc(slices.Clone(blocked.Parts), func(each flamingodoor.PromptPart) bool { return each == part }),
			CrashedAt: blocked.CrashedAt,
			Crashes:   blocked.Crashes,
		}
		if len(rest.Parts) > 0 {
			kept = append(kept, blockedParts{BlockedParts: rest, refuted: blocked.refuted})
			cleared.Remaining = append(cleared.Remaining, rest)
		}
	}
	l.blocked = kept
	if found {
		l.recordBegun(part, at)
		cleared.Parts = append(cleared.Parts, part)
	}
	return found
}

func (l *PartLedger) removeSuspect(crash *partCrash, part flamingodoor.PromptPart) {
	l.unsettled = true
	delete(crash.suspects, part)
	delete(l.crashesOf[part], crash)
	if len(l.crashesOf[part]) == 0 {
		delete(l.crashesOf, part)
	}
}

func (l *PartLedger) removeCrash(crash *partCrash) {
	for part := range crash.suspects {
		l.removeSuspect(crash, part)
	}
	delete(l.crashes, crash.process)
}

func (l *PartLedger) evictOldestCrash() {
	if len(l.crashes) < maxPartCrashes {
		return
	}
	var oldest *partCrash
	for _, crash := range l.crashes {
		if oldest == nil || crash.at.Before(oldest.at) {
			oldest = crash
		}
	}
	l.removeCrash(oldest)
}

func (l *PartLedger) recordBegun(part flamingodoor.PromptPart, at time.Time) {
	if _, known := l.begun[part]; !known && len(l.begun) >= maxBegunParts {
		var oldest flamingodoor.PromptPart
		var oldestAt time.Time
		for each, begun := range l.begun {
			if oldestAt.IsZero() || begun.at.Before(oldestAt) {
				oldest, oldestAt = each, begun.at
			}
		}
		delete(l.begun, oldest)
	}
	l.begun[part] = begunPart{at: at, shareUntil: at.Add(partShareTime)}
}

func (l *PartLedger) expire(now time.Time) {
	for _, crash := range l.crashes {
		if now.Sub(crash.at) >= strikeValidity {
			l.removeCrash(crash)
		}
	}
	for part, begun := range l.begun {
		if now.Sub(begun.at) >= strikeValidity {
			delete(l.begun, part)
		}
	}
	l.blocked = slices.DeleteFunc(l.blocked, func(blocked blockedParts) bool {
		return !now.Before(blocked.CrashedAt.Add(strikeValidity))
	})
}

func latestCrash(crashes map[*partCrash]struct{}) *partCrash {
	var latest *partCrash
	for crash := range crashes {
		if latest == nil || crash.at.After(latest.at) {
			latest = crash
		}
	}
	return latest
}

func containsAll(set, parts []flamingodoor.PromptPart) bool {
	for _, part := range parts {
		if !slices.Contains(set, part) {
			return false
		}
	}
	return true
}
