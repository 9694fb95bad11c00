// Package registry holds the configuration as a deterministic, replicated state
// machine. Every entry host applies the records of the config stream in order. The
// package uses no clock and no randomness, so hosts that applied the same records
// hold the same state, byte for byte.
package registry

import (
	"google.golang.org/protobuf/proto"

	"flamingodoor.example/flamingodoor"
	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
)

// RecordVersion is the newest record version that this build applies.
const RecordVersion = 1

const (
	maxVerdicts           = 4096 // retained verdicts on changes
	maxCommandIDBytes     = 128
	maxAuthorBytes        = 128
	maxBatchRecords       = 4096
	maxStateHashes        = 64 // retained to verify checkpoints
	maxCheckpointVerdicts = 16 // retained verdicts on checkpoints
)

// State is the configuration as of one offset of the config stream. It is not
// safe for concurrent use; Store is.
type State struct {
	applied            uint64 // offset of the last applied record
	revision           uint64 // offset of the latest accepted change
	entryHostsRevision uint64 // offset of the latest change of the entry hosts
	tables             [kindCount]map[string]*recordv1.Versioned

	verdicts          []*recordv1.Verdict // oldest first
	verdictsByCommand map[string]*recordv1.Verdict

	checkpoints checkpointHistory

	view  *view
	dirty [kindCount]bool // kinds that changed since the view was built
}

// New returns the state before the first record.
func New() *State {
	state := &State{verdictsByCommand: map[string]*recordv1.Verdict{}}
	for k := range state.tables {
		state.tables[k] = map[string]*recordv1.Versioned{}
		state.dirty[k] = true
	}
	return state
}

// Applied returns the offset of the last applied record, accepted or not.
func (s *State) Applied() uint64 {
	return s.applied
}

// Apply applies one record and returns the verdict on it. A record whose offset is
// not above the applied offset changes nothing. A change whose command already
// has a retained verdict is not applied again; Apply returns that verdict. The
// error has CodeFutureRecord when the record has a version that this build does
// not know; the state is then unchanged.
func (s *State) Apply(entry flamingodoor.LogEntry) (*recordv1.Verdict, error) {
	record, readable := decodeRecord(entry.Data)
	if entry.Offset <= s.applied {
		return s.replayedVerdict(record, entry.Offset), nil
	}
	if version := newestVersion(record); version > RecordVersion {
		return nil, flamingodoor.Errorf(flamingodoor.CodeFutureRecord,
			"record at offset %d has version %d, newest known version is %d", entry.Offset, version, RecordVersion)
	}

	verdict := &recordv1.Verdict{Offset: entry.Offset, Code: recordv1.VerdictCode_VERDICT_CODE_UNREADABLE}
	if reason := invalidHeaderReason(record, readable); reason != "" {
		s.applied = entry.Offset
		verdict.Reason = reason
		return verdict, nil
	}
	if first, ok := s.verdictsByCommand[record.GetCommandId()]; ok {
		s.applied = entry.Offset
		return first, nil
	}

	verdict.CommandId = record.GetCommandId()
	verdict.Author = record.GetAuthor()
	verdict.AuthorTime = record.GetAuthorTime()
	if checkpoint := record.GetCheckpoint(); checkpoint != nil {
		s.applyCheckpoint(entry.Offset, checkpoint, verdict)
		return verdict, nil
	}
	s.applied = entry.Offset
	if record.GetVersion() == 0 || record.GetBody() == nil {
		verdict.Reason = "the record has no version or no body that this version knows"
	} else {
		s.applyChange(record, verdict)
	}
	s.keepVerdict(verdict)
	return verdict, nil
}

// Verdict returns the verdict on a command, or false if none is retained.
func (s *State) Verdict(commandID string) (*recordv1.Verdict, bool) {
	if verdict, ok := s.verdictsByCommand[commandID]; ok {
		return verdict, true
	}
	return s.checkpoints.verdict(commandID)
}

// History returns the latest verdicts, newest first; a limit of 0 or less
// returns all that are retained.
func (s *State) History(limit int) []*recordv1.Verdict {
	count := len(s.verdicts)
	if limit > 0 && limit < count {
		count = limit
	}
	history := make([]*recordv1.Verdict, 0, count)
	for i := range count {
		history = append(history, s.verdicts[len(s.verdicts)-1-i])
	}
	return history
}

// applyChange applies all changes of a record or none, and fills in the verdict.
func (s *State) applyChange(record *recordv1.Record, verdict *recordv1.Verdict) {
	t := &transaction{
		state: s, offset: verdict.GetOffset(), author: record.GetAuthor(), authorTime: record.GetAuthorTime(),
		entryHostsRevision: s.entryHostsRevision,
	}
	var refused *refusal
	if batch := record.GetBatch(); batch != nil {
		verdict.Object = batchName(batch)
		refused = t.applyBatch(batch)
	} else {
		verdict.Object = targetName(record)
		refused = t.apply(record)
	}
	if refused != nil {
		t.rollBack()
		verdict.Code, verdict.Reason = refused.code, refused.reason
		return
	}
	t.commit()
	verdict.Code = recordv1.VerdictCode_VERDICT_CODE_ACCEPTED
}

func (s *State) keepVerdict(verdict *recordv1.Verdict) {
	s.verdicts = append(s.verdicts, verdict)
	s.verdictsByCommand[verdict.GetCommandId()] = verdict
	if len(s.verdicts) > maxVerdicts {
		delete(s.verdictsByCommand, s.verdicts[0].GetCommandId())
		s.verdicts[0] = nil
		s.verdicts = s.verdicts[1:]
	}
}

// replayedVerdict returns the verdict on a record that was applied before.
func (s *State) replayedVerdict(record *recordv1.Record, offset uint64) *recordv1.Verdict {
	if verdict, ok := s.Verdict(record.GetCommandId()); ok {
		return verdict
	}
	return &recordv1.Verdict{CommandId: record.GetCommandId(), Offset: offset, Reason: "the record was applied before"}
}

// decodeRecord decodes a record without unknown fields. A field that affects the
// state comes with a new record version, and the encoded state must not depend on
// any other unknown field.
func decodeRecord(data []byte) (*recordv1.Record, bool) {
	record := &recordv1.Record{}
	if err := (proto.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(data, record); err != nil {
		return &recordv1.Record{}, false
	}
	return record, true
}

// newestVersion returns the highest version of the record and of its batch.
func newestVersion(record *recordv1.Record) uint32 {
	version := record.GetVersion()
	for _, item := range record.GetBatch().GetRecords() {
		version = max(version, item.GetVersion())
	}
	return version
}

// CheckRecord returns an error with CodeInvalidRequest if the record has no
// body, or if its header is invalid, so that no verdict on it could be
// retained.
func CheckRecord(record *recordv1.Record) error {
	reason := invalidHeaderReason(record, true)
	if reason == "" && record.GetBody() == nil {
		reason = "the record has no body"
	}
	if reason != "" {
		return flamingodoor.Errorf(flamingodoor.CodeInvalidRequest, "%s", reason)
	}
	return nil
}

// invalidHeaderReason returns why the verdict on a record cannot be retained, or
// the empty string.
func invalidHeaderReason(record *recordv1.Record, readable bool) string {
	switch {
	case !readable:
		return "the record cannot be decoded"
	case record.GetCommandId() == "":
		return "the record has no command identifier"
	case len(record.GetCommandId()) > maxCommandIDBytes:
		return "the command identifier is too long"
	case len(record.GetAuthor()) > maxAuthorBytes:
		return "the author's name is too long"
	default:
		return ""
	}
}
