package manifest

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	operatorv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/operator/v1"
	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
)

// Stages of a batch, in order. The state machine checks each record against the
// state after the records before it, so objects come before those that refer to
// them. A club's share is never exceeded in between: shares grow first, plans
// are deleted or shrink before others grow, and shares shrink last.
const (
	stageDataCentre = iota
	stageModel
	stageGrowingClub
	stageDeletePlan
	stageShrinkingPlan
	stageGrowingPlan
	stageShrinkingClub
	stageEndpoint
	stageDelete      // clubs and endpoints
	stageDeleteModel // after the clubs that are granted the model
)

type stagedChange struct {
	stage  int
	record *recordv1.Record
}

// Changes returns the changes that turn the current objects into the declared
// ones, in an order that the state machine accepts as one batch. Every change
// expects the object's current revision. With prune, clubs, models, endpoints and
// group plans that are not declared are deleted. A data centre stays in or out of
// service unless the file sets that, so that applying a file does not return a
// drained data centre to service.
func (m *Manifest) Changes(current []*recordv1.Versioned, prune bool) []*operatorv1.Change {
	currentByKey := make(map[string]*recordv1.Versioned, len(current))
	for _, object := range current {
		currentByKey[KindOf(object)+" "+NameOf(object)] = object
	}
	var staged []stagedChange
	declared := make(map[string]bool)
	for _, object := range m.objects(currentByKey) {
		key := KindOf(object) + " " + NameOf(object)
		declared[key] = true
		before := currentByKey[key]
		if before != nil && equalObjects(before, object) {
			continue
		}
		change := putChange(before, object)
		change.record.ExpectedRevision = before.GetRevision()
		staged = append(staged, change)
	}
	for _, object := range current {
		if prune && !declared[KindOf(object)+" "+NameOf(object)] {
			if change, ok := deleteChange(object); ok {
				staged = append(staged, change)
			}
		}
	}
	slices.SortStableFunc(staged, func(a, b stagedChange) int { return cmp.Compare(a.stage, b.stage) })
	changes := make([]*operatorv1.Change, 0, len(staged))
	for _, change := range staged {
		changes = append(changes, &operatorv1.Change{Record: change.record})
	}
	return changes
}

// objects returns the declared objects. Whether a data centre is out of service,
// and why, is taken from the current object where the file does not set it,
// because operators also change it by other commands.
func (m *Manifest) objects(current map[string]*recordv1.Versioned) []*recordv1.Versioned {
	count := len(m.dataCentres) + len(m.models) + len(m.clubs) + len(m.groupPlans) + len(m.endpoints)
	objects := make([]*recordv1.Versioned, 0, count)
	for _, declared := range m.dataCentres {
		merged := proto.CloneOf(declared.object)
		before := current["data_centre "+merged.GetDataCentre()].GetDataCentre()
		merged.Out, merged.Reason = before.GetOut(), before.GetReason()
		if declared.out != nil {
			merged.Out = *declared.out
			merged.Reason = ""
		}
		if declared.reason != nil {
			merged.Reason = *declared.reason
		}
		objects = append(objects, &recordv1.Versioned{Object: &recordv1.Versioned_DataCentre{DataCentre: merged}})
	}
	for _, model := range m.models {
		objects = append(objects, &recordv1.Versioned{Object: &recordv1.Versioned_Model{Model: model}})
	}
	for _, club := range m.clubs {
		objects = append(objects, &recordv1.Versioned{Object: &recordv1.Versioned_Club{Club: club}})
	}
	for _, plan := range m.groupPlans {
		objects = append(objects, &recordv1.Versioned{Object: &recordv1.Versioned_GroupPlan{GroupPlan: plan}})
	}
	for _, endpoint := range m.endpoints {
		objects = append(objects, &recordv1.Versioned{Object: &recordv1.Versioned_Endpoint{Endpoint: endpoint}})
	}
	return objects
}

// equalObjects compares two objects without their revisions and authors.
func equalObjects(a, b *recordv1.Versioned) bool {
	return proto.Equal(&recordv1.Versioned{Object: a.GetObject()}, &recordv1.Versioned{Object: b.GetObject()})
}

// putChange returns the change that stores the object. The current object
// before is nil if the object is new.
func putChange(before, object *recordv1.Versioned) stagedChange {
	switch body := object.GetObject().(type) {
	case *recordv1.Versioned_DataCentre:
		return stagedChange{stageDataCentre, &recordv1.Record{
			Body: &recordv1.Record_PutDataCentre{PutDataCentre: body.DataCentre},
		}}
	case *recordv1.Versioned_Model:
		return stagedChange{stageModel, &recordv1.Record{Body: &recordv1.Record_PutModel{PutModel: body.Model}}}
	case *recordv1.Versioned_Club:
		stage := stageGrowingClub
		if body.Club.GetAccelerators() < before.GetClub().GetAccelerators() {
			stage = stageShrinkingClub
		}
		return stagedChange{stage, &recordv1.Record{Body: &recordv1.Record_PutClub{PutClub: body.Club}}}
	case *recordv1.Versioned_GroupPlan:
		stage := stageGrowingPlan
		if body.GroupPlan.GetGroups() < before.GetGroupPlan().GetGroups() {
			stage = stageShrinkingPlan
		}
		return stagedChange{stage, &recordv1.Record{Body: &recordv1.Record_PutGroupPlan{PutGroupPlan: body.GroupPlan}}}
	default:
		return stagedChange{stageEndpoint, &recordv1.Record{
			Body: &recordv1.Record_PutEndpoint{PutEndpoint: object.GetEndpoint()},
		}}
	}
}

// deleteChange returns the change that deletes the object, or false if it is of a
// kind that the file does not declare, or a data centre, which cannot be deleted.
func deleteChange(object *recordv1.Versioned) (stagedChange, bool) {
	change := stagedChange{stage: stageDelete, record: &recordv1.Record{ExpectedRevision: object.GetRevision()}}
	switch body := object.GetObject().(type) {
	case *recordv1.Versioned_Club:
		change.record.Body = &recordv1.Record_DeleteClub{DeleteClub: body.Club.GetClubId()}
	case *recordv1.Versioned_Model:
		change.stage = stageDeleteModel
		change.record.Body = &recordv1.Record_DeleteModel{DeleteModel: body.Model.GetModelId()}
	case *recordv1.Versioned_Endpoint:
		change.record.Body = &recordv1.Record_DeleteEndpoint{DeleteEndpoint: body.Endpoint.GetEndpointId()}
	case *recordv1.Versioned_GroupPlan:
		change.stage = stageDeletePlan
		change.record.Body = &recordv1.Record_DeleteGroupPlan{DeleteGroupPlan: body.GroupPlan.GetPlanId()}
	default:
		return stagedChange{}, false
	}
	return change, true
}

// KindOf returns the kind of an object, such as "club", or the empty string if it
// is unknown.
func KindOf(object *recordv1.Versioned) string {
	switch object.GetObject().(type) {
	case *recordv1.Versioned_Club:
		return "club"
	case *recordv1.Versioned_Model:
		return "model"
	case *recordv1.Versioned_Endpoint:
		return "endpoint"
	case *recordv1.Versioned_DataCentre:
		return "data_centre"
	case *recordv1.Versioned_GroupPlan:
		return "group_plan"
	case *recordv1.Versioned_Group:
		return "group"
	case *recordv1.Versioned_EntryHost:
		return "entry_host"
	default:
		return ""
	}
}

// NameOf returns the identifier of an object, or the empty string if its kind is
// unknown.
func NameOf(object *recordv1.Versioned) string {
	switch body := object.GetObject().(type) {
	case *recordv1.Versioned_Club:
		return body.Club.GetClubId()
	case *recordv1.Versioned_Model:
		return body.Model.GetModelId()
	case *recordv1.Versioned_Endpoint:
		return body.Endpoint.GetEndpointId()
	case *recordv1.Versioned_DataCentre:
		return body.DataCentre.GetDataCentre()
	case *recordv1.Versioned_GroupPlan:
		return body.GroupPlan.GetPlanId()
	case *recordv1.Versioned_Group:
		return body.Group.GetGroupId()
	case *recordv1.Versioned_EntryHost:
		return body.EntryHost.GetHostId()
	default:
		return ""
	}
}
