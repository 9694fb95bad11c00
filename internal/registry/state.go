// Package registry is the deterministic state machine over the config stream.
// It uses no clock and no randomness, so that every host that applies the same
// records holds the same state, byte for byte.
package registry

import (
	"google.golang.org/protobuf/proto"

	"flamingodoor.example/flamingodoor"
	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
)

// RecordVersion is the newest version of records that this build applies.
const RecordVersion = 1

const (
	maxVerdicts        = 4096
	maxCommandIDBytes  = 128
	maxAuthorBytes     = 128
	maxBatchRecords    = 4096
	checkpointsKept    = 64
	checkpointVerdicts = 16
)

// State is the configuration as of one offset of the config stream. It is not
// safe for concurrent use; Store is.
type State struct {
	applied         uint64
	revision        uint64
	membersRevision uint64
	tables          [kindCount]map[string]*recordv1.Versioned

	verdicts []*recordv1.Verdict // oldest first
	byID     map[string]*recordv1.Verdict

	checkpoints checkpoints

	view  *view
	dirty [kindCount]bool
}

// New returns the state before the first record.
func New() *State {
	state := &State{byID: map[string]*recordv1.Verdict{}}
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

// Apply applies one record and returns its verdict. A record whose offset is
// not above the applied one changes nothing. The error has CodeFutureRecord
// when the record has a version that this build does not know; the state is
// unchanged then.
func (s *State) Apply(entry flamingodoor.LogEntry) (*recordv1.Verdict, error) {
	record, readable := decodeRecord(entry.Data)
	if entry.Offset <= s.applied {
		return s.passedVerdict(record, entry.Offset), nil
	}
	if version := newestVersion(record); version > RecordVersion {
		return nil, flamingodoor.Errorf(flamingodoor.CodeFutureRecord,
			"record at offset %d has version %d, newest known version is %d", entry.Offset, version, RecordVersion)
	}

	verdict := &recordv1.Verdict{Offset: entry.Offset, Code: recordv1.VerdictCode_VERDICT_CODE_UNREADABLE}
	if reason := unidentifiedReason(record, readable); reason != "" {
		s.applied = entry.Offset
		verdict.Reason = reason
		return verdict, nil
	}
	if first, ok := s.byID[record.GetCommandId()]; ok {
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
	s.remember(verdict)
	return verdict, nil
}

// Verdict returns the verdict on a command, if it is still kept.
func (s *State) Verdict(commandID string) (*recordv1.Verdict, bool) {
	if verdict, ok := s.byID[commandID]; ok {
		return verdict, true
	}
	return s.checkpoints.verdict(commandID)
}

// History returns the latest verdicts, newest first; a limit of 0 or less
// returns all that are kept.
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

func (s *State) applyChange(record *recordv1.Record, verdict *recordv1.Verdict) {
	t := &transaction{
		state: s, offset: verdict.GetOffset(), author: record.GetAuthor(), authorTime: record.GetAuthorTime(),
		membersRevision: s.membersRevision,
	}
	var refused *refusal
	if batch := record.GetBatch(); batch != nil {
		verdict.Object = batchName(batch)
		refused = t.applyBatch(batch)
	} else {
		verdict.Object = objectName(record)
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

func (s *State) remember(verdict *recordv1.Verdict) {
	s.verdicts = append(s.verdicts, verdict)
	s.byID[verdict.GetCommandId()] = verdict
	if len(s.verdicts) > maxVerdicts {
		delete(s.byID, s.verdicts[0].GetCommandId())
		s.verdicts[0] = nil
		s.verdicts = s.verdicts[1:]
	}
}

func (s *State) passedVerdict(record *recordv1.Record, offset uint64) *recordv1.Verdict {
	if verdict, ok := s.Verdict(record.GetCommandId()); ok {
		return verdict
	}
	return &recordv1.Verdict{CommandId: record.GetCommandId(), Offset: offset, Reason: "the record was applied before"}
}

// decodeRecord drops unknown fields: a field that matters comes with a new
// record version, and the encoded state must not depend on the others.
func decodeRecord(data []byte) (*recordv1.Record, bool) {
	record := &recordv1.Record{}
	if err := (proto.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(data, record); err != nil {
		return &recordv1.Record{}, false
	}
	return record, true
}

func newestVersion(record *recordv1.Record) uint32 {
	version := record.GetVersion()
	for _, item := range record.GetBatch().GetRecords() {
		version = max(version, item.GetVersion())
	}
	return version
}

// unidentifiedReason tells why a record cannot have a kept verdict.
func unidentifiedReason(record *recordv1.Record, readable bool) string {
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
