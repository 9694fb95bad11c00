package placement_test

import (
	"cmp"
	"slices"
	"time"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/placement"
)

// cluster is a configuration to which the tests apply actions, with the observed
// state of its endpoints.
type cluster struct {
	flamingodoor.Configuration
	offset      uint64 // of the last action
	clubs       []flamingodoor.Club
	models      []flamingodoor.Model
	endpoints   []flamingodoor.Endpoint
	dataCentres []flamingodoor.DataCentre
	plans       []flamingodoor.GroupPlan
	groups      []flamingodoor.Group
	observed    map[string]placement.Endpoint // by endpoint identifier
	serving     map[string]bool               // by group identifier
}

func (c *cluster) Club(id string) (flamingodoor.Club, bool) {
	return find(c.clubs, func(club flamingodoor.Club) bool { return club.ID == id })
}

func (c *cluster) Model(id string) (flamingodoor.Model, bool) {
	return find(c.models, func(m flamingodoor.Model) bool { return m.ID == id })
}

func (c *cluster) Endpoint(id string) (flamingodoor.Endpoint, bool) {
	return find(c.endpoints, func(e flamingodoor.Endpoint) bool { return e.ID == id })
}

func (c *cluster) DataCentre(id string) (flamingodoor.DataCentre, bool) {
	return find(c.dataCentres, func(d flamingodoor.DataCentre) bool { return d.ID == id })
}

func (c *cluster) GroupOfEndpoint(id string) (flamingodoor.Group, bool) {
	return find(c.groups, func(g flamingodoor.Group) bool { return slices.Contains(g.EndpointIDs, id) })
}

func (c *cluster) Endpoints() []flamingodoor.Endpoint   { return c.endpoints }
func (c *cluster) GroupPlans() []flamingodoor.GroupPlan { return c.plans }
func (c *cluster) Groups() []flamingodoor.Group         { return slices.Clone(c.groups) }

func find[T any](list []T, matches func(T) bool) (T, bool) {
	if i := slices.IndexFunc(list, matches); i >= 0 {
		return list[i], true
	}
	var none T
	return none, false
}

func (c *cluster) input() placement.Input {
	return placement.Input{Configuration: c, Endpoints: c.observed, Serving: c.serving}
}

// apply carries out the actions; the groups that they form or change do not serve
// yet.
func (c *cluster) apply(now time.Time, actions []placement.Action) {
	for _, action := range actions {
		c.offset++
		switch a := action.(type) {
		case placement.Form:
			c.groups = append(c.groups, flamingodoor.Group{
				ID: a.GroupID, PlanID: a.PlanID, ModelID: a.ModelID, Version: a.Version,
				FabricDomain: a.FabricDomain, EndpointIDs: a.EndpointIDs, FencingNumber: c.offset,
			})
		case placement.Replace:
			for lost := range a.Spares {
				c.markFreed(now, lost)
			}
			i := slices.IndexFunc(c.groups, func(g flamingodoor.Group) bool { return g.ID == a.Group.ID })
			c.groups[i].EndpointIDs, c.groups[i].FencingNumber = a.EndpointIDs, c.offset
			delete(c.serving, a.Group.ID)
		case placement.Dissolve:
			group, _ := find(c.groups, func(g flamingodoor.Group) bool { return g.ID == a.GroupID })
			for _, id := range group.EndpointIDs {
				c.markFreed(now, id)
			}
			c.groups = slices.DeleteFunc(c.groups, func(g flamingodoor.Group) bool { return g.ID == a.GroupID })
			delete(c.serving, a.GroupID)
		}
	}
	slices.SortFunc(c.groups, func(a, b flamingodoor.Group) int { return cmp.Compare(a.ID, b.ID) })
}

// markFreed starts the quarantine of an endpoint.
func (c *cluster) markFreed(now time.Time, id string) {
	observed := c.observed[id]
	observed.FreedAt = now
	c.observed[id] = observed
}

func (c *cluster) markAllServing() {
	for _, group := range c.groups {
		c.serving[group.ID] = true
	}
}
