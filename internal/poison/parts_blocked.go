package poison

import (
	"slices"
	"time"

	"flamingodoor.example/flamingodoor"
)

// blockedParts are blocked, with the number of their crashes that this host knows to
// be none. Each host hears of these itself, so that only the number of all crashes is
// part of the messages.
type blockedParts struct {
	flamingodoor.BlockedParts

	refuted int
}

// AllBlocked returns the blocked parts.
func (l *PartLedger) AllBlocked() []flamingodoor.BlockedParts {
	l.mu.RLock()
	defer l.mu.RUnlock()
	all := make([]flamingodoor.BlockedParts, 0, len(l.blocked))
	for _, blocked := range l.blocked {
		all = append(all, blocked.BlockedParts)
	}
	return all
}

// uncountBlocked takes a refuted crash from those that blocked parts explain, and
// clears the parts for which too few remain.
func (l *PartLedger) uncountBlocked(refuted *partCrash, at time.Time, cleared *Cleared) {
	var ended []flamingodoor.PromptPart
	for i := range l.blocked {
		blocked := &l.blocked[i]
		explains := slices.ContainsFunc(blocked.Parts, func(part flamingodoor.PromptPart) bool {
			_, suspected := refuted.suspects[part]
			return suspected
		})
		if !explains || blocked.Crashes == 0 || refuted.at.Sub(blocked.CrashedAt) > ageTolerance {
			continue
		}
		blocked.refuted++
		if blocked.Crashes-blocked.refuted < partBlockThreshold {
			ended = append(ended, blocked.Parts...)
		}
	}
	for _, part := range ended {
		l.clear(part, at, cleared)
	}
}

// countBlocked raises the number of crashes that blocked parts explain, of which some
// may have been refuted since.
func (l *PartLedger) countBlocked(parts []flamingodoor.PromptPart, crashes int) {
	for i, blocked := range l.blocked {
		if slices.Equal(blocked.Parts, parts) {
			l.blocked[i].Crashes = max(blocked.Crashes, crashes)
		}
	}
}

// refutedOf returns how many crashes of blocked parts this host knows to be none.
func (l *PartLedger) refutedOf(parts []flamingodoor.PromptPart) int {
	for _, blocked := range l.blocked {
		if slices.Equal(blocked.Parts, parts) {
			return blocked.refuted
		}
	}
	return 0
}

// block adds blocked parts and returns those that they replace: the ones that
// contain them.
func (l *PartLedger) block(added flamingodoor.BlockedParts) (replaced []flamingodoor.BlockedParts) {
	refuted := l.refutedOf(added.Parts)
	l.blocked = slices.DeleteFunc(l.blocked, func(blocked blockedParts) bool {
		if !containsAll(blocked.Parts, added.Parts) {
			return false
		}
		if len(blocked.Parts) > len(added.Parts) {
			replaced = append(replaced, blocked.BlockedParts)
		}
		return true
	})
	if len(l.blocked) >= maxBlockedParts {
		oldest := 0
		for i, blocked := range l.blocked {
			if blocked.CrashedAt.Before(l.blocked[oldest].CrashedAt) {
				oldest = i
			}
		}
		l.blocked = slices.Delete(l.blocked, oldest, oldest+1)
	}
	l.blocked = append(l.blocked, blockedParts{BlockedParts: added, refuted: refuted})
	return replaced
}

// covers reports whether requests with the parts are blocked already, because of a
// crash that is not clearly older.
func (l *PartLedger) covers(parts []flamingodoor.PromptPart, crashedAt time.Time) bool {
	return slices.ContainsFunc(l.blocked, func(blocked blockedParts) bool {
		return containsAll(parts, blocked.Parts) && crashedAt.Sub(blocked.CrashedAt) < ageTolerance
	})
}
