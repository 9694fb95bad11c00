package planner

import (
	"slices"

	"flamingodoor.example/flamingodoor/internal/formation"
	"flamingodoor.example/flamingodoor/internal/roster"
)

// spareModel names the model whose weights an idle instance of a domain should
// hold. A group there that loses a member gets it at once, which counts whole;
// as part of one more group it counts for its share.
func (p *Planner) spareModel(view *roster.View, service, domain string, models []formation.Model) (string, bool) {
	present := formation.Value(models)
	best, most := "", 0.0
	for i, model := range models {
		changed := slices.Clone(models)
		changed[i].Groups = model.Groups + 1
		worth := (formation.Value(changed) - present) / float64(max(1, model.Size))
		if p.servesIn(view, service, domain, model.ID) {
			changed[i].Groups = max(0, model.Groups-1)
			worth += present - formation.Value(changed)
		}
		if worth > most {
			best, most = model.ID, worth
		}
	}
	return best, best != ""
}

// servesIn reports whether a group of the model is in the domain.
func (p *Planner) servesIn(view *roster.View, service, domain, modelID string) bool {
	return slices.ContainsFunc(view.Groups, func(group *roster.Group) bool {
		return group.Service == service && group.FabricDomain == domain && group.ModelID == modelID && p.dissolving[group.Key()] == nil
	})
}
