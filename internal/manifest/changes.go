package manifest

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	operatorv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/operator/v1"
	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
)

// The state machine checks each record of a batch against those before it. The
// stages put an object before those that refer to it, and free a club's share
// before it is used: shares grow first, plans shrink before others grow, shares
// shrink last.
const (
	stageDataCentre = iota
	stageModel
	stageGrowingClub
	stageDeletePlan
	stageShrinkingPlan
	stageGrowingPlan
	stageShrinkingClub
	stageEndpoint
	stageDelete
	stageDeleteModel
)

type stagedChange struct {
	stage  int
	record *recordv1.Record
}

// Changes returns what turns the present objects into the declared ones, in an
// order that the state machine accepts as one batch. Every change expects the
// present revision. With prune, clubs, models, endpoints and group plans that
// are not declared are deleted. A data centre keeps its state of service unless
// the file names it, so that applying a file does not return a drained one.
func (m *Manifest) Changes(present []*recordv1.Versioned, prune bool) []*operatorv1.Change {
	known := make(map[string]*recordv1.Versioned, len(present))
	for _, object := range present {
		known[KindOf(object)+" "+NameOf(object)] = object
	}
	var staged []stagedChange
	declared := make(map[string]bool)
	for _, object := range m.objects(known) {
		key := KindOf(object) + " " + NameOf(object)
		declared[key] = true
		before := known[key]
		if before != nil && sameObject(before, object) {
			continue
		}
		change := put(before, object)
		change.record.ExpectedRevision = before.GetRevision()
		staged = append(staged, change)
	}
	for _, object := range present {
		if prune && !declared[KindOf(object)+" "+NameOf(object)] {
			if change, ok := remove(object); ok {
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

// objects returns the declared objects. The present ones complete what the
// file leaves to the operators' other commands.
func (m *Manifest) objects(present map[string]*recordv1.Versioned) []*recordv1.Versioned {
	count := len(m.dataCentres) + len(m.models) + len(m.clubs) + len(m.groupPlans) + len(m.endpoints)
	objects := make([]*recordv1.Versioned, 0, count)
	for _, declared := range m.dataCentres {
		site := proto.CloneOf(declared.object)
		before := present["data_centre "+site.GetDataCentre()].GetDataCentre()
		site.Out, site.Reason = before.GetOut(), before.GetReason()
		if declared.out != nil {
			site.Out = *declared.out
			site.Reason = ""
		}
		if declared.reason != nil {
			site.Reason = *declared.reason
		}
		objects = append(objects, &recordv1.Versioned{Object: &recordv1.Versioned_DataCentre{DataCentre: site}})
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

func sameObject(a, b *recordv1.Versioned) bool {
	return proto.Equal(&recordv1.Versioned{Object: a.GetObject()}, &recordv1.Versioned{Object: b.GetObject()})
}

func put(before, object *recordv1.Versioned) stagedChange {
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

// remove deletes an object of a kind that the file declares. Data centres
// cannot be deleted.
func remove(object *recordv1.Versioned) (stagedChange, bool) {
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

// KindOf returns the kind of an object, such as "club".
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

// NameOf returns the identifier of an object.
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
