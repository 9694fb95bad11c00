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

// maxCandidates is the largest number of checkpoints that a restore compares.
const maxCandidates = 4

// candidate is a checkpoint among the retained records.
type candidate struct {
	recordOffset  uint64 // offset of the record that holds the checkpoint
	encodedState  []byte
	confirmations int // newer checkpoints that agree with this one, plus 1 for itself
}

// restore installs a checkpoint from the retained records. Without a usable
// checkpoint, or if the checkpoints contradict each other, it installs a
// snapshot; in the second case it falls back to the chosen checkpoint if that
// fails. The argument first is the first offset that the log retains.
func (f *Follower) restore(ctx context.Context, first uint64) error {
	entries, first, err := f.readRetained(ctx, first)
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
	state, err := registry.Decode(chosen.encodedState)
	if err != nil {
		return err
	}
	if state.Applied() <= f.store.Current().Applied() {
		return nil
	}
	_ = level.Info(f.logger).Log("event", "checkpoint_installed", "applied", state.Applied(), "offset", chosen.recordOffset)
	return f.store.Install(state)
}

// readRetained returns all retained records and the first retained offset.
func (f *Follower) readRetained(ctx context.Context, first uint64) ([]flamingodoor.LogEntry, uint64, error) {
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

// chooseCheckpoint returns the usable checkpoint with which the most newer ones
// agree, or the newest of several with equally many; it returns nil if none is
// usable. It does not simply return the newest one, because the hash does not
// protect against a wrong state that was hashed correctly, and a host without
// earlier state cannot detect one. The second result is true if there are
// several checkpoints and no two of them agree.
func chooseCheckpoint(entries []flamingodoor.LogEntry, first uint64) (*candidate, bool) {
	candidates := findCheckpoints(entries, first)
	if len(candidates) == 0 {
		return nil, false
	}
	best := candidates[0]
	maxConfirmations := 0
	for i, c := range candidates {
		c.confirmations = countConfirmations(c, candidates[:i], entries)
		if c.confirmations > best.confirmations {
			best = c
		}
		maxConfirmations = max(maxConfirmations, c.confirmations)
	}
	return best, len(candidates) > 1 && maxConfirmations == 1
}

// findCheckpoints returns up to maxCandidates usable checkpoints, newest first. A
// checkpoint is usable if its hash is correct, its state can be decoded and has
// the stated offset, and all records after that offset are retained.
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
		found = append(found, &candidate{recordOffset: entries[i].Offset, encodedState: checkpoint.GetState()})
	}
	return found
}

// countConfirmations applies the later records to the candidate's state and
// returns how many newer checkpoints the replay accepts, plus one for the
// candidate itself. It returns 0 if the state cannot be decoded.
func countConfirmations(c *candidate, newer []*candidate, entries []flamingodoor.LogEntry) int {
	state, err := registry.Decode(c.encodedState)
	if err != nil {
		return 0
	}
	checkpoints := map[uint64]bool{}
	for _, checkpoint := range newer {
		checkpoints[checkpoint.recordOffset] = true
	}
	confirmations := 1
	for _, entry := range entries {
		isLater := entry.Offset > state.Applied()
		verdict, err := state.Apply(entry)
		if err != nil {
			return confirmations
		}
		if isLater && checkpoints[entry.Offset] && verdict.GetCode() == recordv1.VerdictCode_VERDICT_CODE_ACCEPTED {
			confirmations++
		}
	}
	return confirmations
}
