package registry

import (
	"encoding/hex"
	"net/netip"
	"slices"
	"strings"

	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
)

// Limits on values. They keep the products in checkShare far below 64 bits and
// the encoded state small.
const (
	maxHostsPerGroup       = 1024
	maxAcceleratorsPerHost = 1024
	maxGroupsPerPlan       = 100_000
	maxListItems           = 4096
	maxTextBytes           = 1024
	maxPriority            = 9
	keyHashBytes           = 32 // SHA-256
)

func (t *transaction) putClub(club *recordv1.Club) *refusal {
	if refused := t.checkClub(club); refused != nil {
		return refused
	}
	for _, grant := range club.GetModels() {
		if refused := t.checkGrant(club.GetClubId(), grant); refused != nil {
			return refused
		}
	}
	t.put(&recordv1.Versioned{Object: &recordv1.Versioned_Club{Club: club}})
	return t.checkShare(club.GetClubId())
}

func (t *transaction) checkClub(club *recordv1.Club) *refusal {
	granted := make([]string, 0, len(club.GetModels()))
	for _, grant := range club.GetModels() {
		granted = append(granted, grant.GetModelId())
	}
	switch {
	case len(club.GetDisplayName()) > maxTextBytes:
		return invalid("the display name is longer than %d bytes", maxTextBytes)
	case club.GetMaxPriority() > maxPriority:
		return invalid("the highest priority is above %d", maxPriority)
	case !validNames(granted):
		return invalid("model grants must name distinct models")
	case !validNames(club.GetServices()):
		return invalid("services must have distinct valid names")
	case len(club.GetKeyHashes()) > maxListItems || hasDuplicate(club.GetKeyHashes()):
		return invalid("key hashes must be distinct")
	}
	for _, hash := range club.GetKeyHashes() {
		if !validKeyHash(hash) {
			return invalid("a key hash must be a SHA-256 hash in lower-case hexadecimal")
		}
		for _, other := range t.state.tables[kindClub] {
			if other.GetClub().GetClubId() != club.GetClubId() && slices.Contains(other.GetClub().GetKeyHashes(), hash) {
				return invalid("a key hash belongs to another club")
			}
		}
	}
	return nil
}

func (t *transaction) checkGrant(clubID string, grant *recordv1.ModelGrant) *refusal {
	model := t.state.model(grant.GetModelId())
	switch {
	case model == nil:
		return invalid("club %q is granted model %q, which does not exist", clubID, grant.GetModelId())
	case !containsAll(model.GetAdapters(), grant.GetAdapters()):
		return invalid("club %q is granted an adapter that model %q does not declare", clubID, grant.GetModelId())
	case !containsAll(model.GetVersions(), grant.GetVersions()):
		return invalid("club %q is granted a version that model %q does not declare", clubID, grant.GetModelId())
	default:
		return nil
	}
}

// checkShare refuses group plans of a club that together need more accelerators
// than the club's share.
func (t *transaction) checkShare(clubID string) *refusal {
	var planned uint64
	for _, object := range t.state.tables[kindGroupPlan] {
		plan := object.GetGroupPlan()
		if plan.GetClubId() != clubID {
			continue
		}
		model := t.state.model(plan.GetModelId())
		planned += uint64(plan.GetGroups()) * uint64(model.GetHostsPerGroup()) * uint64(model.GetAcceleratorsPerHost())
	}
	if share := uint64(t.state.club(clubID).GetAccelerators()); planned > share {
		return invalid("group plans of club %q need %d accelerators, its share is %d", clubID, planned, share)
	}
	return nil
}

func (t *transaction) putModel(model *recordv1.Model) *refusal {
	switch {
	case !validNames(model.GetVersions()) || !validNames(model.GetAdapters()):
		return invalid("versions and adapters must have distinct valid names")
	case model.GetHostsPerGroup() < 1 || model.GetHostsPerGroup() > maxHostsPerGroup:
		return invalid("hosts per group must be 1 to %d", maxHostsPerGroup)
	case model.GetAcceleratorsPerHost() < 1 || model.GetAcceleratorsPerHost() > maxAcceleratorsPerHost:
		return invalid("accelerators per host must be 1 to %d", maxAcceleratorsPerHost)
	}
	if refused := t.checkGroupsOfModel(model); refused != nil {
		return refused
	}
	t.put(&recordv1.Versioned{Object: &recordv1.Versioned_Model{Model: model}})
	return t.checkUsersOfModel(model)
}

// checkGroupsOfModel refuses a change of the model's group shape while groups
// exist, and the removal of a version that a group runs.
func (t *transaction) checkGroupsOfModel(model *recordv1.Model) *refusal {
	before := t.state.model(model.GetModelId())
	reshaped := before.GetHostsPerGroup() != model.GetHostsPerGroup() ||
		before.GetAcceleratorsPerHost() != model.GetAcceleratorsPerHost()
	invalidated := t.state.countGroups(func(group *recordv1.Group) bool {
		return group.GetModelId() == model.GetModelId() &&
			(reshaped || !slices.Contains(model.GetVersions(), group.GetVersion()))
	})
	if invalidated > 0 {
		return invalid("groups use the present shape or a removed version of the model")
	}
	return nil
}

// checkUsersOfModel refuses a change of the model that invalidates a group plan
// or a model grant, or with which a club's plans exceed its share.
func (t *transaction) checkUsersOfModel(model *recordv1.Model) *refusal {
	for _, id := range t.state.names(kindGroupPlan) {
		plan := t.state.groupPlan(id)
		if plan.GetModelId() == model.GetModelId() && !slices.Contains(model.GetVersions(), plan.GetVersion()) {
			return invalid("group plan %q uses a version that is not declared", id)
		}
	}
	for _, id := range t.state.names(kindClub) {
		for _, grant := range t.state.club(id).GetModels() {
			if grant.GetModelId() != model.GetModelId() {
				continue
			}
			if refused := t.checkGrant(id, grant); refused != nil {
				return refused
			}
		}
		if refused := t.checkShare(id); refused != nil {
			return refused
		}
	}
	return nil
}

func (t *transaction) putDataCentre(dataCentre *recordv1.DataCentre) *refusal {
	if !validOptionalName(dataCentre.GetRegion()) {
		return invalid("the region's name is not valid")
	}
	if len(dataCentre.GetReason()) > maxTextBytes {
		return invalid("the reason is longer than %d bytes", maxTextBytes)
	}
	t.put(&recordv1.Versioned{Object: &recordv1.Versioned_DataCentre{DataCentre: dataCentre}})
	return nil
}

func (t *transaction) putGroupPlan(plan *recordv1.GroupPlan) *refusal {
	model := t.state.model(plan.GetModelId())
	switch {
	case model == nil:
		return invalid("the model does not exist")
	case !slices.Contains(model.GetVersions(), plan.GetVersion()):
		return invalid("model %q does not declare the version", plan.GetModelId())
	case t.state.club(plan.GetClubId()) == nil:
		return invalid("the club does not exist")
	case plan.GetGroups() > maxGroupsPerPlan:
		return invalid("a plan has at most %d groups", maxGroupsPerPlan)
	}
	before := t.state.groupPlan(plan.GetPlanId())
	reassigned := before != nil && (before.GetModelId() != plan.GetModelId() || before.GetClubId() != plan.GetClubId())
	if reassigned && t.countGroupsOfPlan(plan.GetPlanId()) > 0 {
		return invalid("the model and the club of a plan with groups cannot change")
	}
	t.put(&recordv1.Versioned{Object: &recordv1.Versioned_GroupPlan{GroupPlan: plan}})
	return t.checkShare(plan.GetClubId())
}

func (t *transaction) countGroupsOfPlan(planID string) int {
	return t.state.countGroups(func(group *recordv1.Group) bool { return group.GetPlanId() == planID })
}

// checkUnreferenced refuses the removal of an object that another object refers
// to.
func (t *transaction) checkUnreferenced(k kind, id string) *refusal {
	switch k {
	case kindClub:
		return t.checkNoPlanUses(func(plan *recordv1.GroupPlan) bool { return plan.GetClubId() == id })
	case kindModel:
		return t.checkModelUnused(id)
	case kindEndpoint:
		if group := t.state.groupOfEndpoint(id); group != nil {
			return invalid("the endpoint is in group %q", group.GetGroupId())
		}
	case kindGroupPlan:
		if t.countGroupsOfPlan(id) > 0 {
			return invalid("the plan has groups")
		}
	default:
	}
	return nil
}

func (t *transaction) checkNoPlanUses(match func(*recordv1.GroupPlan) bool) *refusal {
	for _, id := range t.state.names(kindGroupPlan) {
		if match(t.state.groupPlan(id)) {
			return invalid("group plan %q uses it", id)
		}
	}
	return nil
}

func (t *transaction) checkModelUnused(modelID string) *refusal {
	if t.state.countGroups(func(group *recordv1.Group) bool { return group.GetModelId() == modelID }) > 0 {
		return invalid("the model has groups")
	}
	for _, id := range t.state.names(kindClub) {
		for _, grant := range t.state.club(id).GetModels() {
			if grant.GetModelId() == modelID {
				return invalid("club %q is granted the model", id)
			}
		}
	}
	return t.checkNoPlanUses(func(plan *recordv1.GroupPlan) bool { return plan.GetModelId() == modelID })
}

func validAddress(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err == nil && parsed.Port() != 0 && len(address) <= maxNameBytes
}

func validKeyHash(hash string) bool {
	decoded, err := hex.DecodeString(hash)
	return err == nil && len(decoded) == keyHashBytes && hash == strings.ToLower(hash)
}

func validOptionalName(name string) bool {
	return name == "" || validName(name)
}

func validNames(names []string) bool {
	return len(names) <= maxListItems && !hasDuplicate(names) && !slices.ContainsFunc(names, func(name string) bool {
		return !validName(name)
	})
}

func hasDuplicate(items []string) bool {
	seen := make(map[string]bool, len(items))
	for _, item := range items {
		if seen[item] {
			return true
		}
		seen[item] = true
	}
	return false
}

func containsAll(declared, wanted []string) bool {
	return validNames(wanted) && !slices.ContainsFunc(wanted, func(item string) bool {
		return !slices.Contains(declared, item)
	})
}
