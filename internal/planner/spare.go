package planner

import (
	"slices"

	"flamingodoor.example/flamingodoor/internal/formation"
	"flamingodoor.example/flamingodoor/internal/roster"
)

// spareModel returns the model whose weights an idle instance of a domain should
// hold, and whether there is one. It is the model with the highest expected loss
// of value if an instance of the domain fails. In a domain without groups, it is
// the model that is needed most in the whole fleet.
func (p *Planner) spareModel(view *roster.View, service, domain string, models []formation.Model) (string, bool) {
	members := make(map[string]int)
	for _, group := range view.Groups {
		if group.Service == service && group.FabricDomain == domain && p.dissolving[group.Key()] == nil {
			members[group.ModelID] += len(group.Members)
		}
	}
	current := formation.Value(models)
	best, loss := "", 0.0
	for i, model := range models {
		fewer := slices.Clone(models)
		fewer[i].Groups = max(0, fewer[i].Groups-1)
		if expected := float64(members[model.ID]) * (current - formation.Value(fewer)); expected > loss {
			best, loss = model.ID, expected
		}
	}
	if best == "" {
		return neediestModel(models)
	}
	return best, true
}
