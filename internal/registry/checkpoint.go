package registry

import (
	"bytes"
	"crypto/sha256"

	"google.golang.org/protobuf/proto"

	"flamingodoor.example/flamingodoor"
	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
)

// checkpointHistory holds the state hashes with which this host verifies
// checkpoints, and the verdicts on them. It is not part of the encoded state,
// because a host that started from a checkpoint cannot verify the earlier ones.
type checkpointHistory struct {
	hashes   []stateHash         // oldest first
	encoded  []byte              // state at the newest hash, if the checkpoint record there was refused
	verdicts []*recordv1.Verdict // oldest first
	accepted *recordv1.Verdict   // on the newest accepted checkpoint
}

// stateHash is the hash of the encoded state at one offset.
type stateHash struct {
	offset uint64
	hash   [sha256.Size]byte
}

// Encode returns the canonical encoding of the state, a serialised
// recordv1.State. Hosts with the same state return the same bytes.
func (s *State) Encode() ([]byte, error) {
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(&recordv1.State{
		Offset:          s.applied,
		Objects:         s.Objects("", ""),
		Verdicts:        s.verdicts,
		MembersRevision: s.entryHostsRevision,
		Revision:        s.revision,
	})
	if err != nil {
		return nil, flamingodoor.NewError(flamingodoor.CodeInternal, flamingodoor.RunStateNotRun, err)
	}
	return encoded, nil
}

// Decode restores a state from its encoding. The error has CodeUnreadableRecord
// when the data is not the canonical encoding of a state that this build
// understands.
func Decode(data []byte) (*State, error) {
	message := &recordv1.State{}
	if err := (proto.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(data, message); err != nil {
		return nil, flamingodoor.NewError(flamingodoor.CodeUnreadableRecord, flamingodoor.RunStateNotRun, err)
	}
	state := New()
	state.applied = message.GetOffset()
	state.revision = message.GetRevision()
	state.entryHostsRevision = message.GetMembersRevision()
	for _, object := range message.GetObjects() {
		k, id, ok := objectKey(object)
		if !ok {
			return nil, flamingodoor.Errorf(flamingodoor.CodeUnreadableRecord, "state has an object of an unknown kind")
		}
		state.tables[k][id] = object
	}
	for _, verdict := range message.GetVerdicts() {
		state.keepVerdict(verdict)
	}
	if err := state.checkGroups(); err != nil {
		return nil, err
	}
	encoded, err := state.Encode()
	if err != nil {
		return nil, err
	}
	if !bytes.Equal(encoded, data) {
		return nil, flamingodoor.Errorf(flamingodoor.CodeUnreadableRecord, "state is not in its canonical encoding")
	}
	state.checkpoints.addHash(state.applied, encoded)
	state.checkpoints.encoded = nil
	return state, nil
}

// checkGroups returns an error with CodeUnreadableRecord unless every member of
// a group exists and no two members, of one group or of two, share a host.
func (s *State) checkGroups() error {
	hosts := map[string]bool{}
	for _, object := range s.tables[kindGroup] {
		for _, member := range object.GetGroup().GetEndpointIds() {
			host := s.endpoint(member).GetHostId()
			if host == "" || hosts[host] {
				return flamingodoor.Errorf(flamingodoor.CodeUnreadableRecord, "state has a group with a missing or shared host")
			}
			hosts[host] = true
		}
	}
	return nil
}

// applyCheckpoint compares a checkpoint with this host's state at the
// checkpoint's offset. This host knows its state just before the record and the
// hashes of its states at earlier checkpoint records. If other records came
// between the checkpoint's offset and its record, the checkpoint is refused,
// and the hash of the state at that record is kept so that the next checkpoint
// can use its offset.
func (s *State) applyCheckpoint(offset uint64, checkpoint *recordv1.Checkpoint, verdict *recordv1.Verdict) {
	verdict.Code = recordv1.VerdictCode_VERDICT_CODE_INVALID
	verdict.Object = "checkpoint"
	known, ok := s.hashAt(checkpoint.GetOffset())
	hash := sha256.Sum256(checkpoint.GetState())
	switch {
	case !bytes.Equal(hash[:], checkpoint.GetHash()):
		verdict.Reason = "the hash is not that of the checkpoint's state"
	case !ok:
		verdict.Reason = "the state at the checkpoint's offset is not known"
	case known != hash:
		verdict.Reason = "the state differs from the state machine's"
	default:
		verdict.Code = recordv1.VerdictCode_VERDICT_CODE_ACCEPTED
	}
	s.applied = offset
	if encoded, err := s.Encode(); err == nil {
		s.checkpoints.addHash(offset, encoded)
	}
	s.checkpoints.keepVerdict(verdict)
}

// hashAt returns the hash of the state at the offset, or false if it is not known.
func (s *State) hashAt(offset uint64) ([sha256.Size]byte, bool) {
	for _, stateHash := range s.checkpoints.hashes {
		if stateHash.offset == offset {
			return stateHash.hash, true
		}
	}
	if offset != s.applied {
		return [sha256.Size]byte{}, false
	}
	encoded, err := s.Encode()
	return sha256.Sum256(encoded), err == nil
}

func (c *checkpointHistory) addHash(offset uint64, encoded []byte) {
	c.hashes = append(c.hashes, stateHash{offset: offset, hash: sha256.Sum256(encoded)})
	if len(c.hashes) > maxStateHashes {
		c.hashes = c.hashes[1:]
	}
	c.encoded = encoded
}

func (c *checkpointHistory) keepVerdict(verdict *recordv1.Verdict) {
	c.verdicts = append(c.verdicts, verdict)
	if len(c.verdicts) > maxCheckpointVerdicts {
		c.verdicts = c.verdicts[1:]
	}
	if verdict.GetCode() == recordv1.VerdictCode_VERDICT_CODE_ACCEPTED {
		c.accepted = verdict
		c.encoded = nil
	}
}

func (c *checkpointHistory) verdict(commandID string) (*recordv1.Verdict, bool) {
	for _, verdict := range c.verdicts {
		if verdict.GetCommandId() == commandID {
			return verdict, true
		}
	}
	return nil, false
}

// CheckpointStatus describes the checkpoints of the config stream as seen by this
// host.
type CheckpointStatus struct {
	// Accepted is the verdict on the newest accepted checkpoint, or nil.
	Accepted *recordv1.Verdict
	// Refused is the verdict on the newest checkpoint record if it was
	// refused, otherwise nil.
	Refused *recordv1.Verdict
	// OldestVerdict is the oldest retained verdict on a change, or nil.
	OldestVerdict *recordv1.Verdict
}

// CheckpointStatus returns the latest verdicts on checkpoints and the oldest
// retained verdict on a change.
func (s *State) CheckpointStatus() CheckpointStatus {
	status := CheckpointStatus{Accepted: s.checkpoints.accepted}
	if count := len(s.checkpoints.verdicts); count > 0 && s.checkpoints.verdicts[count-1] != status.Accepted {
		status.Refused = s.checkpoints.verdicts[count-1]
	}
	if len(s.verdicts) > 0 {
		status.OldestVerdict = s.verdicts[0]
	}
	return status
}

// Checkpoint returns a checkpoint to append in a record. After a refused
// checkpoint it is of the state at that record, whose hash every host has kept;
// otherwise it is of the current state.
func (s *State) Checkpoint() (*recordv1.Checkpoint, error) {
	offset, encoded := s.applied, s.checkpoints.encoded
	if s.CheckpointStatus().Refused != nil {
		offset = s.checkpoints.hashes[len(s.checkpoints.hashes)-1].offset
	} else {
		var err error
		if encoded, err = s.Encode(); err != nil {
			return nil, err
		}
	}
	hash := sha256.Sum256(encoded)
	return &recordv1.Checkpoint{Offset: offset, State: encoded, Hash: hash[:]}, nil
}
