package placement_test

import (
	"cmp"
	"slices"
	"time"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/placement"
)

// world is a configuration that takes actions, with the state of its hosts.
type world struct {
	flamingodoor.Configuration
	offset      uint64
	clubs       []flamingodoor.Club
	models      []flamingodoor.Model
	endpoints   []flamingodoor.Endpoint
	dataCentres []flamingodoor.DataCentre
	plans       []flamingodoor.GroupPlan
	groups      []flamingodoor.Group
	seen        map[string]placement.Endpoint
	serving     map[string]bool
}

func (w *world) Club(id string) (flamingodoor.Club, bool) {
	return find(w.clubs, func(c flamingodoor.Club) bool { return c.ID == id })
}

func (w *world) Model(id string) (flamingodoor.Model, bool) {
	return find(w.models, func(m flamingodoor.Model) bool { return m.ID == id })
}

func (w *world) Endpoint(id string) (flamingodoor.Endpoint, bool) {
	return find(w.endpoints, func(e flamingodoor.Endpoint) bool { return e.ID == id })
}

func (w *world) DataCentre(id string) (flamingodoor.DataCentre, bool) {
	return find(w.dataCentres, func(d flamingodoor.DataCentre) bool { return d.ID == id })
}

func (w *world) GroupOfEndpoint(id string) (flamingodoor.Group, bool) {
	return find(w.groups, func(g flamingodoor.Group) bool { return slices.Contains(g.EndpointIDs, id) })
}

func (w *world) Endpoints() []flamingodoor.Endpoint   { return w.endpoints }
func (w *world) GroupPlans() []flamingodoor.GroupPlan { return w.plans }
func (w *world) Groups() []flamingodoor.Group         { return slices.Clone(w.groups) }

func find[T any](list []T, matches func(T) bool) (T, bool) {
	if i := slices.IndexFunc(list, matches); i >= 0 {
		return list[i], true
	}
	var none T
	return none, false
}

func (w *world) input() placement.Input {
	return placement.Input{Configuration: w, Endpoints: w.seen, Serving: w.serving}
}

// apply records the actions; groups that they form or change do not serve yet.
func (w *world) apply(now time.Time, actions []placement.Action) {
	for _, action := range actions {
		w.offset++
		switch a := action.(type) {
		case placement.Form:
			w.groups = append(w.groups, flamingodoor.Group{
				ID: a.GroupID, PlanID: a.PlanID, ModelID: a.ModelID, Version: a.Version,
				FabricDomain: a.FabricDomain, EndpointIDs: a.EndpointIDs, FencingNumber: w.offset,
			})
		case placement.Replace:
			for lost := range a.Spares {
				w.free(now, lost)
			}
			i := slices.IndexFunc(w.groups, func(g flamingodoor.Group) bool { return g.ID == a.Group.ID })
			w.groups[i].EndpointIDs, w.groups[i].FencingNumber = a.EndpointIDs, w.offset
			delete(w.serving, a.Group.ID)
		case placement.Dissolve:
			group, _ := find(w.groups, func(g flamingodoor.Group) bool { return g.ID == a.GroupID })
			for _, id := range group.EndpointIDs {
				w.free(now, id)
			}
			w.groups = slices.DeleteFunc(w.groups, func(g flamingodoor.Group) bool { return g.ID == a.GroupID })
			delete(w.serving, a.GroupID)
		}
	}
	slices.SortFunc(w.groups, func(a, b flamingodoor.Group) int { return cmp.Compare(a.ID, b.ID) })
}

func (w *world) free(now time.Time, id string) {
	seen := w.seen[id]
	seen.FreedAt = now
	w.seen[id] = seen
}

func (w *world) serveAll() {
	for _, group := range w.groups {
		w.serving[group.ID] = true
	}
}
