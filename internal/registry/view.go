package registry

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"slices"

	"flamingodoor.example/flamingodoor"
	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
)

// HashKey returns the SHA-256 hash of a caller's key in hexadecimal.
func HashKey(key string) string {
	hash := sha256.Sum256([]byte(key))
	return hex.EncodeToString(hash[:])
}

// table holds the converted objects of a kind by identifier and sorted by it.
type table[T any] struct {
	byID   map[string]T
	sorted []T
}

func newTable[T any](s *State, k kind, convert func(*recordv1.Versioned) T) table[T] {
	converted := table[T]{
		byID:   make(map[string]T, len(s.tables[k])),
		sorted: make([]T, 0, len(s.tables[k])),
	}
	for _, id := range s.names(k) {
		object := convert(s.tables[k][id])
		converted.byID[id] = object
		converted.sorted = append(converted.sorted, object)
	}
	return converted
}

func (t table[T]) get(id string) (T, bool) {
	object, ok := t.byID[id]
	return object, ok
}

// list returns the sorted objects without spare capacity, so that an append by a
// reader copies the list.
func (t table[T]) list() []T {
	return slices.Clip(t.sorted)
}

// view is an immutable flamingodoor.Configuration. Its lists are shared between
// readers, which must not modify them.
type view struct {
	applied            uint64
	revision           uint64
	entryHostsRevision uint64

	clubs           table[flamingodoor.Club]
	clubsByKey      map[string]string // club identifiers by key hash
	models          table[flamingodoor.Model]
	endpoints       table[flamingodoor.Endpoint]
	byService       map[string][]flamingodoor.Endpoint
	dataCentres     table[flamingodoor.DataCentre]
	groupPlans      table[flamingodoor.GroupPlan]
	groups          table[flamingodoor.Group]
	groupsByModel   map[string][]flamingodoor.Group
	groupByEndpoint map[string]string        // group identifiers by endpoint identifier
	entryHosts      []flamingodoor.EntryHost // in the order in which they joined
}

// Configuration returns an immutable view of the state. Only the kinds of
// objects that changed since the last call are converted again.
func (s *State) Configuration() flamingodoor.Configuration {
	if s.view != nil && s.view.applied == s.applied {
		return s.view
	}
	next := view{}
	if s.view != nil {
		next = *s.view
	}
	next.applied, next.revision, next.entryHostsRevision = s.applied, s.revision, s.entryHostsRevision
	for k := range kindCount {
		if s.dirty[k] {
			next.rebuild(s, k)
			s.dirty[k] = false
		}
	}
	s.view = &next
	return s.view
}

// rebuild converts the objects of a kind and rebuilds their indexes.
func (v *view) rebuild(s *State, k kind) {
	switch k {
	case kindClub:
		v.clubs = newTable(s, k, convertClub)
		v.clubsByKey = map[string]string{}
		for _, club := range v.clubs.sorted {
			for _, hash := range club.KeyHashes {
				v.clubsByKey[hash] = club.ID
			}
		}
	case kindModel:
		v.models = newTable(s, k, convertModel)
	case kindEndpoint:
		v.endpoints = newTable(s, k, convertEndpoint)
		v.byService = map[string][]flamingodoor.Endpoint{}
		for _, endpoint := range v.endpoints.sorted {
			if endpoint.Kind == flamingodoor.EndpointKindService {
				v.byService[endpoint.Service] = append(v.byService[endpoint.Service], endpoint)
			}
		}
	case kindDataCentre:
		v.dataCentres = newTable(s, k, convertDataCentre)
	case kindGroupPlan:
		v.groupPlans = newTable(s, k, convertGroupPlan)
	case kindGroup:
		v.rebuildGroups(s)
	default:
		v.entryHosts = newTable(s, kindEntryHost, convertEntryHost).sorted
		slices.SortStableFunc(v.entryHosts, func(a, b flamingodoor.EntryHost) int { return cmp.Compare(a.JoinOffset, b.JoinOffset) })
	}
}

func (v *view) rebuildGroups(s *State) {
	v.groups = newTable(s, kindGroup, convertGroup)
	v.groupsByModel = map[string][]flamingodoor.Group{}
	v.groupByEndpoint = map[string]string{}
	for _, group := range v.groups.sorted {
		v.groupsByModel[group.ModelID] = append(v.groupsByModel[group.ModelID], group)
		for _, id := range group.EndpointIDs {
			v.groupByEndpoint[id] = group.ID
		}
	}
}

func (v *view) Applied() uint64            { return v.applied }
func (v *view) Revision() uint64           { return v.revision }
func (v *view) EntryHostsRevision() uint64 { return v.entryHostsRevision }

func (v *view) Club(id string) (flamingodoor.Club, bool) { return v.clubs.get(id) }
func (v *view) Clubs() []flamingodoor.Club               { return v.clubs.list() }

func (v *view) ClubByKey(key string) (flamingodoor.Club, bool) {
	id, ok := v.clubsByKey[HashKey(key)]
	if !ok {
		return flamingodoor.Club{}, false
	}
	return v.clubs.get(id)
}

func (v *view) Model(id string) (flamingodoor.Model, bool) { return v.models.get(id) }
func (v *view) Models() []flamingodoor.Model               { return v.models.list() }

func (v *view) Endpoint(id string) (flamingodoor.Endpoint, bool) { return v.endpoints.get(id) }
func (v *view) Endpoints() []flamingodoor.Endpoint               { return v.endpoints.list() }

func (v *view) ServiceEndpoints(service string) []flamingodoor.Endpoint {
	return slices.Clip(v.byService[service])
}

func (v *view) DataCentre(id string) (flamingodoor.DataCentre, bool) { return v.dataCentres.get(id) }
func (v *view) DataCentres() []flamingodoor.DataCentre               { return v.dataCentres.list() }
func (v *view) GroupPlans() []flamingodoor.GroupPlan                 { return v.groupPlans.list() }
func (v *view) Group(id string) (flamingodoor.Group, bool)           { return v.groups.get(id) }
func (v *view) Groups() []flamingodoor.Group                         { return v.groups.list() }

func (v *view) GroupsOfModel(modelID string) []flamingodoor.Group {
	return slices.Clip(v.groupsByModel[modelID])
}

func (v *view) GroupOfEndpoint(endpointID string) (flamingodoor.Group, bool) {
	id, ok := v.groupByEndpoint[endpointID]
	if !ok {
		return flamingodoor.Group{}, false
	}
	return v.groups.get(id)
}

func (v *view) EntryHosts() []flamingodoor.EntryHost { return slices.Clip(v.entryHosts) }

func convertClub(object *recordv1.Versioned) flamingodoor.Club {
	club := object.GetClub()
	grants := make([]flamingodoor.ModelGrant, 0, len(club.GetModels()))
	for _, grant := range club.GetModels() {
		grants = append(grants, flamingodoor.ModelGrant{
			ModelID: grant.GetModelId(), Adapters: grant.GetAdapters(), Versions: grant.GetVersions(),
		})
	}
	return flamingodoor.Club{
		ID:           club.GetClubId(),
		DisplayName:  club.GetDisplayName(),
		KeyHashes:    club.GetKeyHashes(),
		Accelerators: int(club.GetAccelerators()),
		Weight:       int(club.GetWeight()),
		Models:       grants,
		Services:     club.GetServices(),
		MaxPriority:  int(club.GetMaxPriority()),
	}
}

func convertModel(object *recordv1.Versioned) flamingodoor.Model {
	model := object.GetModel()
	return flamingodoor.Model{
		ID:                  model.GetModelId(),
		Versions:            model.GetVersions(),
		Adapters:            model.GetAdapters(),
		HostsPerGroup:       int(model.GetHostsPerGroup()),
		AcceleratorsPerHost: int(model.GetAcceleratorsPerHost()),
		WeightBytesPerHost:  model.GetWeightBytesPerHost(),
	}
}

func convertEndpoint(object *recordv1.Versioned) flamingodoor.Endpoint {
	endpoint := object.GetEndpoint()
	return flamingodoor.Endpoint{
		ID:              endpoint.GetEndpointId(),
		HostID:          endpoint.GetHostId(),
		DataCentre:      endpoint.GetDataCentre(),
		FabricDomain:    endpoint.GetFabricDomain(),
		Address:         convertAddress(endpoint.GetAddress()),
		Kind:            flamingodoor.EndpointKind(endpoint.GetKind()),
		ChecksFencing:   endpoint.GetChecksFencing(),
		Accelerators:    int(endpoint.GetAccelerators()),
		ColdAllowance:   int(endpoint.GetColdAllowance()),
		WarmCapacity:    int(endpoint.GetWarmCapacity()),
		Service:         endpoint.GetService(),
		IdempotentPaths: endpoint.GetIdempotentPaths(),
		Leaving:         endpoint.GetLeaving(),
	}
}

func convertDataCentre(object *recordv1.Versioned) flamingodoor.DataCentre {
	dataCentre := object.GetDataCentre()
	return flamingodoor.DataCentre{
		ID: dataCentre.GetDataCentre(), Region: dataCentre.GetRegion(),
		OutOfService: dataCentre.GetOut(), Reason: dataCentre.GetReason(),
	}
}

func convertGroupPlan(object *recordv1.Versioned) flamingodoor.GroupPlan {
	plan := object.GetGroupPlan()
	return flamingodoor.GroupPlan{
		ID: plan.GetPlanId(), ModelID: plan.GetModelId(), Version: plan.GetVersion(),
		ClubID: plan.GetClubId(), Groups: int(plan.GetGroups()),
	}
}

func convertGroup(object *recordv1.Versioned) flamingodoor.Group {
	group := object.GetGroup()
	return flamingodoor.Group{
		ID: group.GetGroupId(), PlanID: group.GetPlanId(), ModelID: group.GetModelId(), Version: group.GetVersion(),
		FabricDomain: group.GetFabricDomain(), EndpointIDs: group.GetEndpointIds(), FencingNumber: object.GetFencingNumber(),
	}
}

func convertEntryHost(object *recordv1.Versioned) flamingodoor.EntryHost {
	host := object.GetEntryHost()
	return flamingodoor.EntryHost{
		ID: host.GetHostId(), PeerAddress: convertAddress(host.GetPeerAddress()),
		DataCentre: host.GetDataCentre(), Region: host.GetRegion(), JoinOffset: host.GetJoined(),
	}
}

// convertAddress returns the zero address for a text that is not an IP address and
// a port.
func convertAddress(text string) netip.AddrPort {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(address.Addr().Unmap(), address.Port())
}
