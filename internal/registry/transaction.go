package registry

import (
	"fmt"

	"google.golang.org/protobuf/types/known/timestamppb"

	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
)

// refusal is the reason why a change is not accepted. Its text is stored in the
// verdict and thereby in the encoded state, so it must be the same on every host:
// it must not depend on the iteration order of a map.
type refusal struct {
	code   recordv1.VerdictCode
	reason string
}

func invalid(format string, args ...any) *refusal {
	return &refusal{code: recordv1.VerdictCode_VERDICT_CODE_INVALID, reason: fmt.Sprintf(format, args...)}
}

func conflict(format string, args ...any) *refusal {
	return &refusal{code: recordv1.VerdictCode_VERDICT_CODE_CONFLICT, reason: fmt.Sprintf(format, args...)}
}

// undoEntry holds an object as it was before a change, nil if it did not exist.
type undoEntry struct {
	kind   kind
	id     string
	before *recordv1.Versioned
}

// transaction applies the changes of one record to the state and can undo them if
// the record is refused.
type transaction struct {
	state              *State
	offset             uint64
	author             string
	authorTime         *timestamppb.Timestamp
	entryHostsRevision uint64 // before the record
	undoLog            []undoEntry
	inBatch            bool
}

func (t *transaction) applyBatch(batch *recordv1.Batch) *refusal {
	if len(batch.GetRecords()) == 0 {
		return invalid("the batch is empty")
	}
	if len(batch.GetRecords()) > maxBatchRecords {
		return invalid("the batch has more than %d records", maxBatchRecords)
	}
	t.inBatch = len(batch.GetRecords()) > 1
	for i, item := range batch.GetRecords() {
		if refused := t.apply(item); refused != nil {
			refused.reason = fmt.Sprintf("record %d of the batch: %s", i+1, refused.reason)
			return refused
		}
	}
	return nil
}

func (t *transaction) apply(record *recordv1.Record) *refusal {
	k, id, ok := recordTarget(record)
	if !ok {
		return invalid("a batch takes only changes of objects")
	}
	if !validName(id) {
		return invalid("the %s's identifier must have 1 to %d characters of a-z, 0-9, '.', '_' and '-'", k.name(), maxNameBytes)
	}
	if refused := t.checkRevision(k, id, record); refused != nil {
		return refused
	}
	switch body := record.GetBody().(type) {
	case *recordv1.Record_PutClub:
		return t.putClub(body.PutClub)
	case *recordv1.Record_PutModel:
		return t.putModel(body.PutModel)
	case *recordv1.Record_PutEndpoint:
		return t.putEndpoint(body.PutEndpoint)
	case *recordv1.Record_PutDataCentre:
		return t.putDataCentre(body.PutDataCentre)
	case *recordv1.Record_PutGroupPlan:
		return t.putGroupPlan(body.PutGroupPlan)
	case *recordv1.Record_FormGroup:
		return t.formGroup(body.FormGroup)
	case *recordv1.Record_AddEntryHost:
		return t.addEntryHost(body.AddEntryHost)
	default:
		return t.remove(k, id)
	}
}

// checkRevision compares the record's expected revision with that of the object.
// For entry hosts it compares with the revision of the whole list, so that the
// list changes by one host at a time.
func (t *transaction) checkRevision(k kind, id string, record *recordv1.Record) *refusal {
	current := t.state.tables[k][id].GetRevision()
	if k == kindEntryHost {
		if t.inBatch || record.GetAnyRevision() {
			return invalid("entry hosts change one at a time and name the members revision")
		}
		current = t.state.entryHostsRevision
	}
	if !record.GetAnyRevision() && record.GetExpectedRevision() != current {
		return conflict("expected revision %d, present revision is %d", record.GetExpectedRevision(), current)
	}
	return nil
}

func (t *transaction) remove(k kind, id string) *refusal {
	if t.state.tables[k][id] == nil {
		return invalid("%s %q does not exist", k.name(), id)
	}
	if refused := t.checkUnreferenced(k, id); refused != nil {
		return refused
	}
	t.store(k, id, nil)
	if k == kindEntryHost {
		t.state.entryHostsRevision = t.offset
	}
	return nil
}

// put stores an object with the record's offset as its revision.
func (t *transaction) put(object *recordv1.Versioned) {
	k, id, _ := objectKey(object)
	object.Revision = t.offset
	object.Author = t.author
	object.AuthorTime = t.authorTime
	t.store(k, id, object)
}

// store adds or replaces an object, or deletes it if the new object is nil, and
// logs the previous one.
func (t *transaction) store(k kind, id string, object *recordv1.Versioned) {
	table := t.state.tables[k]
	t.undoLog = append(t.undoLog, undoEntry{kind: k, id: id, before: table[id]})
	if object == nil {
		delete(table, id)
		return
	}
	table[id] = object
}

func (t *transaction) rollBack() {
	t.state.entryHostsRevision = t.entryHostsRevision
	for i := len(t.undoLog) - 1; i >= 0; i-- {
		change := t.undoLog[i]
		if change.before == nil {
			delete(t.state.tables[change.kind], change.id)
			continue
		}
		t.state.tables[change.kind][change.id] = change.before
	}
}

func (t *transaction) commit() {
	t.state.revision = t.offset
	for _, change := range t.undoLog {
		t.state.dirty[change.kind] = true
	}
}
