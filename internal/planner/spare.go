package planner

import (
	"slices"

	"flamingodoor.example/flamingodoor/internal/formation"
	"flamingodoor.example/flamingodoor/internal/roster"
)

// spareModel names the model whose weights an idle instance of a domain should
// hold: the one whose groups there lose most by the loss of one instance. In a
// domain without groups it is the one that is needed most everywhere.
func (p *Planner) spareModel(view *roster.View, service, domain string, models []formation.Model) (string, bool) {
	members := make(map[string]int)
	for _, group := range view.Groups {
		if group.Service == service && group.FabricDomain == domain && p.dissolving[group.Key()] == nil {
			members[group.ModelID] += len(group.Members)
		}
	}
	present := formation.Value(models)
	best, loss := "", 0.0
	for i, model := range models {
		fewer := slices.Clone(models)
		fewer[i].Groups = max(0, fewer[i].Groups-1)
		if expected := float64(members[model.ID]) * (present - formation.Value(fewer)); expected > loss {
			best, loss = model.ID, expected
		}
	}
	if best == "" {
		return neediest(models)
	}
	return best, true
}
