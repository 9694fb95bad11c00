package registry

import (
	"fmt"
	"maps"
	"slices"

	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
)

// kind is the kind of a configuration object, such as a club or an endpoint.
type kind int

const (
	kindClub kind = iota
	kindModel
	kindEndpoint
	kindDataCentre
	kindGroupPlan
	kindGroup
	kindEntryHost
	kindCount
)

// maxNameBytes is the maximum length of an identifier or an address.
const maxNameBytes = 64

func (k kind) name() string {
	return [kindCount]string{"club", "model", "endpoint", "data_centre", "group_plan", "group", "entry_host"}[k]
}

// Objects returns the objects of a kind, such as "club", with the given name,
// sorted by kind and name. An empty kind or name selects all. The objects must
// not be modified.
func (s *State) Objects(kindName, name string) []*recordv1.Versioned {
	var objects []*recordv1.Versioned
	for k := range kindCount {
		if kindName != "" && kindName != k.name() {
			continue
		}
		for _, id := range s.names(k) {
			if name == "" || name == id {
				objects = append(objects, s.tables[k][id])
			}
		}
	}
	return objects
}

func (s *State) names(k kind) []string {
	return slices.Sorted(maps.Keys(s.tables[k]))
}

func (s *State) club(id string) *recordv1.Club {
	return s.tables[kindClub][id].GetClub()
}

func (s *State) model(id string) *recordv1.Model {
	return s.tables[kindModel][id].GetModel()
}

func (s *State) endpoint(id string) *recordv1.Endpoint {
	return s.tables[kindEndpoint][id].GetEndpoint()
}

func (s *State) groupPlan(id string) *recordv1.GroupPlan {
	return s.tables[kindGroupPlan][id].GetGroupPlan()
}

// groupOfEndpoint returns the group of the endpoint, or nil if it is in none.
func (s *State) groupOfEndpoint(id string) *recordv1.Group {
	for _, object := range s.tables[kindGroup] {
		if slices.Contains(object.GetGroup().GetEndpointIds(), id) {
			return object.GetGroup()
		}
	}
	return nil
}

func (s *State) countGroups(match func(*recordv1.Group) bool) int {
	count := 0
	for _, object := range s.tables[kindGroup] {
		if match(object.GetGroup()) {
			count++
		}
	}
	return count
}

// objectKey returns the kind and the name of a stored object, or false if this
// build does not know the kind.
func objectKey(object *recordv1.Versioned) (kind, string, bool) {
	switch body := object.GetObject().(type) {
	case *recordv1.Versioned_Club:
		return kindClub, body.Club.GetClubId(), true
	case *recordv1.Versioned_Model:
		return kindModel, body.Model.GetModelId(), true
	case *recordv1.Versioned_Endpoint:
		return kindEndpoint, body.Endpoint.GetEndpointId(), true
	case *recordv1.Versioned_DataCentre:
		return kindDataCentre, body.DataCentre.GetDataCentre(), true
	case *recordv1.Versioned_GroupPlan:
		return kindGroupPlan, body.GroupPlan.GetPlanId(), true
	case *recordv1.Versioned_Group:
		return kindGroup, body.Group.GetGroupId(), true
	case *recordv1.Versioned_EntryHost:
		return kindEntryHost, body.EntryHost.GetHostId(), true
	default:
		return 0, "", false
	}
}

// recordTarget returns the kind and the name of the object that a record
// changes, or false for a batch, a checkpoint or a body that this build does
// not know.
func recordTarget(record *recordv1.Record) (kind, string, bool) {
	switch body := record.GetBody().(type) {
	case *recordv1.Record_PutClub:
		return kindClub, body.PutClub.GetClubId(), true
	case *recordv1.Record_DeleteClub:
		return kindClub, body.DeleteClub, true
	case *recordv1.Record_PutModel:
		return kindModel, body.PutModel.GetModelId(), true
	case *recordv1.Record_DeleteModel:
		return kindModel, body.DeleteModel, true
	case *recordv1.Record_PutEndpoint:
		return kindEndpoint, body.PutEndpoint.GetEndpointId(), true
	case *recordv1.Record_DeleteEndpoint:
		return kindEndpoint, body.DeleteEndpoint, true
	case *recordv1.Record_PutDataCentre:
		return kindDataCentre, body.PutDataCentre.GetDataCentre(), true
	case *recordv1.Record_PutGroupPlan:
		return kindGroupPlan, body.PutGroupPlan.GetPlanId(), true
	case *recordv1.Record_DeleteGroupPlan:
		return kindGroupPlan, body.DeleteGroupPlan, true
	case *recordv1.Record_FormGroup:
		return kindGroup, body.FormGroup.GetGroupId(), true
	case *recordv1.Record_DissolveGroup:
		return kindGroup, body.DissolveGroup.GetGroupId(), true
	case *recordv1.Record_AddEntryHost:
		return kindEntryHost, body.AddEntryHost.GetHostId(), true
	case *recordv1.Record_RemoveEntryHost:
		return kindEntryHost, body.RemoveEntryHost, true
	default:
		return 0, "", false
	}
}

// targetName returns the kind and the name of the object that a record changes,
// such as "club/kivuko". It leaves out invalid names, because they can be of any
// length.
func targetName(record *recordv1.Record) string {
	k, id, ok := recordTarget(record)
	switch {
	case !ok:
		return ""
	case !validName(id):
		return k.name()
	default:
		return k.name() + "/" + id
	}
}

// batchName returns the target's name for a batch of one record, otherwise a
// text with the number of records, such as "batch/2".
func batchName(batch *recordv1.Batch) string {
	if len(batch.GetRecords()) == 1 {
		return targetName(batch.GetRecords()[0])
	}
	return fmt.Sprintf("batch/%d", len(batch.GetRecords()))
}

// validName reports whether the identifier has 1 to 64 characters of a-z, 0-9, '.',
// '_' and '-'.
func validName(id string) bool {
	if id == "" || len(id) > maxNameBytes {
		return false
	}
	for _, c := range []byte(id) {
		letter := c >= 'a' && c <= 'z'
		digit := c >= '0' && c <= '9'
		if !letter && !digit && c != '.' && c != '_' && c != '-' {
			return false
		}
	}
	return true
}
