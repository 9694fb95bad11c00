package logstream

import (
	"bytes"
	"context"
	"crypto/sha256"
	"time"

	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"flamingodoor.example/flamingodoor"
	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
	"flamingodoor.example/flamingodoor/internal/registry"
)

// maxCandidates bounds the checkpoints that a restore compares.
const maxCandidates = 4

// candidate is a checkpoint in the kept records.
type candidate struct {
	recordOffset uint64
	encoded      []byte
	confirmed    int // checkpoints that a replay from this one accepts
}

// restore installs a checkpoint of the kept records, or else a snapshot.
func (f *Follower) restore(ctx context.Context, first uint64) error {
	entries, first, err := f.readKept(ctx, first)
	if err != nil {
		return err
	}
	chosen, contested := chooseCheckpoint(entries, first)
	if chosen == nil {
		return f.installSnapshot(ctx)
	}
	if contested && f.installSnapshot(ctx) == nil {
		return nil
	}
	state, err := registry.Decode(chosen.encoded)
	if err != nil {
		return err
	}
	if state.Applied() <= f.store.Current().Applied() {
		return nil
	}
	_ = level.Info(f.logger).Log("event", "checkpoint_installed", "applied", state.Applied(), "offset", chosen.recordOffset)
	return f.store.Install(state)
}

// readKept returns all kept records.
func (f *Follower) readKept(ctx context.Context, first uint64) ([]flamingodoor.LogEntry, uint64, error) {
	var entries []flamingodoor.LogEntry
	from := max(first, 1)
	for {
		page, err := f.read(ctx, from, time.Now())
		if err != nil {
			return nil, 0, err
		}
		entries = append(entries, page.Entries...)
		if reachesTail(page, from) {
			return entries, page.First, nil
		}
		if len(page.Entries) == 0 {
			return nil, 0, flamingodoor.Errorf(flamingodoor.CodeLogUnavailable, "the log returned no records at offset %d before its tail", from)
		}
		from = page.Entries[len(page.Entries)-1].Offset + 1
	}
}

// chooseCheckpoint returns the newest checkpoint whose hash is right and from
// which all later records are kept. A host that starts without earlier state
// cannot tell a wrong state that was hashed rightly, so when checkpoints
// disagree, the one that agrees with most others wins. It also returns whether
// others do not confirm the choice.
func chooseCheckpoint(entries []flamingodoor.LogEntry, first uint64) (*candidate, bool) {
	candidates := findCheckpoints(entries, first)
	if len(candidates) == 0 {
		return nil, false
	}
	best := candidates[0]
	agreeing := 0
	for i, c := range candidates {
		c.confirmed = replay(c, candidates[:i], entries)
		if c.confirmed > best.confirmed {
			best = c
		}
		agreeing = max(agreeing, c.confirmed)
	}
	return best, len(candidates) > 1 && agreeing == 1
}

// findCheckpoints returns the newest usable checkpoints, newest first.
func findCheckpoints(entries []flamingodoor.LogEntry, first uint64) []*candidate {
	var found []*candidate
	for i := len(entries) - 1; i >= 0 && len(found) < maxCandidates; i-- {
		record := &recordv1.Record{}
		if err := proto.Unmarshal(entries[i].Data, record); err != nil || record.GetVersion() > registry.RecordVersion {
			continue
		}
		checkpoint := record.GetCheckpoint()
		hash := sha256.Sum256(checkpoint.GetState())
		if checkpoint == nil || !bytes.Equal(hash[:], checkpoint.GetHash()) {
			continue
		}
		if checkpoint.GetOffset()+1 < first || checkpoint.GetOffset() >= entries[i].Offset {
			continue
		}
		state, err := registry.Decode(checkpoint.GetState())
		if err != nil || state.Applied() != checkpoint.GetOffset() {
			continue
		}
		found = append(found, &candidate{recordOffset: entries[i].Offset, encoded: checkpoint.GetState()})
	}
	return found
}

// replay counts the candidate and the newer ones that agree with it.
func replay(c *candidate, newer []*candidate, entries []flamingodoor.LogEntry) int {
	state, err := registry.Decode(c.encoded)
	if err != nil {
		return 0
	}
	checkpoints := map[uint64]bool{}
	for _, other := range newer {
		checkpoints[other.recordOffset] = true
	}
	confirmed := 1
	for _, entry := range entries {
		isNew := entry.Offset > state.Applied()
		verdict, err := state.Apply(entry)
		if err != nil {
			return confirmed
		}
		if isNew && checkpoints[entry.Offset] && verdict.GetCode() == recordv1.VerdictCode_VERDICT_CODE_ACCEPTED {
			confirmed++
		}
	}
	return confirmed
}
