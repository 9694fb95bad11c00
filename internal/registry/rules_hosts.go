package registry

import (
	"slices"

	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
)

func (t *transaction) putEndpoint(endpoint *recordv1.Endpoint) *refusal {
	if refused := checkEndpoint(endpoint); refused != nil {
		return refused
	}
	if t.state.tables[kindDataCentre][endpoint.GetDataCentre()] == nil {
		return invalid("data centre %q does not exist", endpoint.GetDataCentre())
	}
	// Two endpoints with one address could put the same host into two groups.
	address := convertAddress(endpoint.GetAddress())
	for _, object := range t.state.tables[kindEndpoint] {
		other := object.GetEndpoint()
		if convertAddress(other.GetAddress()) == address && other.GetEndpointId() != endpoint.GetEndpointId() {
			return invalid("another endpoint has the address %s", address)
		}
	}
	before := t.state.endpoint(endpoint.GetEndpointId())
	if before != nil && changesPlacement(before, endpoint) {
		if group := t.state.groupOfEndpoint(endpoint.GetEndpointId()); group != nil {
			return invalid("host, site, kind and accelerators cannot change while the endpoint is in group %q", group.GetGroupId())
		}
	}
	t.put(&recordv1.Versioned{Object: &recordv1.Versioned_Endpoint{Endpoint: endpoint}})
	return nil
}

func checkEndpoint(endpoint *recordv1.Endpoint) *refusal {
	engine := endpoint.GetKind() == recordv1.EndpointKind_ENDPOINT_KIND_ENGINE
	service := endpoint.GetKind() == recordv1.EndpointKind_ENDPOINT_KIND_SERVICE
	switch {
	case !engine && !service:
		return invalid("the endpoint's kind must be engine or service")
	case !validName(endpoint.GetHostId()) || !validName(endpoint.GetDataCentre()):
		return invalid("the endpoint needs a valid host and data centre")
	case !validAddress(endpoint.GetAddress()):
		return invalid("the address must be an IP address and a port")
	case engine && !validName(endpoint.GetFabricDomain()):
		return invalid("an engine needs a valid fabric domain")
	case engine && endpoint.GetService() != "":
		return invalid("an engine has no service name")
	case service && !validName(endpoint.GetService()):
		return invalid("a service endpoint needs a valid service name")
	case !validOptionalName(endpoint.GetFabricDomain()):
		return invalid("the fabric domain's name is not valid")
	case !validPaths(endpoint.GetIdempotentPaths()):
		return invalid("idempotent paths must be 1 to %d bytes long", maxTextBytes)
	default:
		return nil
	}
}

// validPaths reports whether the path prefixes are valid. An empty prefix is not:
// it would declare every call of the service idempotent.
func validPaths(paths []string) bool {
	return len(paths) <= maxListItems && !slices.ContainsFunc(paths, func(path string) bool {
		return path == "" || len(path) > maxTextBytes
	})
}

// changesPlacement reports whether the endpoints differ in a property that
// decides which groups they can join.
func changesPlacement(before, after *recordv1.Endpoint) bool {
	return before.GetHostId() != after.GetHostId() ||
		before.GetDataCentre() != after.GetDataCentre() ||
		before.GetFabricDomain() != after.GetFabricDomain() ||
		before.GetKind() != after.GetKind() ||
		before.GetAccelerators() != after.GetAccelerators()
}

func (t *transaction) formGroup(group *recordv1.Group) *refusal {
	current := t.state.tables[kindGroup][group.GetGroupId()]
	if group.GetReplaces() != current.GetFencingNumber() {
		return conflict("the group's fencing number is %d, the record replaces %d", current.GetFencingNumber(), group.GetReplaces())
	}
	plan := t.state.groupPlan(group.GetPlanId())
	if plan == nil {
		return invalid("the group plan does not exist")
	}
	if group.GetModelId() != plan.GetModelId() || group.GetVersion() != plan.GetVersion() {
		return invalid("model and version must be those of plan %q", group.GetPlanId())
	}
	formed := t.state.countGroups(func(other *recordv1.Group) bool {
		return other.GetPlanId() == group.GetPlanId() && other.GetGroupId() != group.GetGroupId()
	})
	if formed >= int(plan.GetGroups()) {
		return invalid("all %d groups of plan %q are formed", plan.GetGroups(), group.GetPlanId())
	}
	if refused := t.checkMembers(group, t.state.model(plan.GetModelId())); refused != nil {
		return refused
	}
	t.put(&recordv1.Versioned{FencingNumber: t.offset, Object: &recordv1.Versioned_Group{Group: group}})
	return nil
}

func (t *transaction) checkMembers(group *recordv1.Group, model *recordv1.Model) *refusal {
	if len(group.GetEndpointIds()) != int(model.GetHostsPerGroup()) {
		return invalid("a group of model %q has %d members", model.GetModelId(), model.GetHostsPerGroup())
	}
	usedHosts := t.hostsOfOtherGroups(group.GetGroupId())
	for i, id := range group.GetEndpointIds() {
		endpoint := t.state.endpoint(id)
		if endpoint == nil {
			return invalid("member %d is not an endpoint", i)
		}
		if refused := t.checkMember(endpoint, group, model); refused != nil {
			return refused
		}
		if usedHosts[endpoint.GetHostId()] {
			return invalid("host %q of endpoint %q is already in a group", endpoint.GetHostId(), id)
		}
		usedHosts[endpoint.GetHostId()] = true
	}
	return nil
}

func (t *transaction) checkMember(endpoint *recordv1.Endpoint, group *recordv1.Group, model *recordv1.Model) *refusal {
	id := endpoint.GetEndpointId()
	switch {
	case endpoint.GetKind() != recordv1.EndpointKind_ENDPOINT_KIND_ENGINE:
		return invalid("endpoint %q is not an engine", id)
	case endpoint.GetFabricDomain() != group.GetFabricDomain():
		return invalid("endpoint %q is not in the group's fabric domain", id)
	case endpoint.GetLeaving():
		return invalid("endpoint %q is leaving", id)
	case endpoint.GetAccelerators() < model.GetAcceleratorsPerHost():
		return invalid("endpoint %q has fewer than %d accelerators", id, model.GetAcceleratorsPerHost())
	case t.state.tables[kindDataCentre][endpoint.GetDataCentre()].GetDataCentre().GetOut():
		return invalid("data centre %q of endpoint %q is out of service", endpoint.GetDataCentre(), id)
	default:
		return nil
	}
}

// hostsOfOtherGroups returns the hosts of the members of all groups except the
// given one. The check by host also keeps an endpoint out of two groups, because
// an endpoint in a group cannot change its host.
func (t *transaction) hostsOfOtherGroups(groupID string) map[string]bool {
	hosts := map[string]bool{}
	for id, object := range t.state.tables[kindGroup] {
		if id == groupID {
			continue
		}
		for _, member := range object.GetGroup().GetEndpointIds() {
			hosts[t.state.endpoint(member).GetHostId()] = true
		}
	}
	return hosts
}

func (t *transaction) addEntryHost(host *recordv1.EntryHost) *refusal {
	switch {
	case t.state.tables[kindEntryHost][host.GetHostId()] != nil:
		return invalid("entry host %q is already a member", host.GetHostId())
	case !validAddress(host.GetPeerAddress()):
		return invalid("the peer address must be an IP address and a port")
	case !validName(host.GetDataCentre()) || !validOptionalName(host.GetRegion()):
		return invalid("the entry host needs a valid data centre and region")
	}
	host.Joined = t.offset
	t.put(&recordv1.Versioned{Object: &recordv1.Versioned_EntryHost{EntryHost: host}})
	t.state.entryHostsRevision = t.offset
	return nil
}
