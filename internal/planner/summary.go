package planner

import (
	"fmt"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor/internal/catalogue"
	"flamingodoor.example/flamingodoor/internal/roster"
)

// logSummary logs the state of the fleet once per summaryInterval.
func (p *Planner) logSummary(index *catalogue.Index, view *roster.View, now time.Time) {
	if now.Sub(p.summarisedAt) < summaryInterval {
		return
	}
	p.summarisedAt = now
	for _, service := range index.Services {
		if service.Engine == nil {
			continue
		}
		counts := p.countGroups(view, service.Name, now)
		for _, domain := range groupByDomain(p.freeInstances(view, service.Name, now)) {
			for _, instance := range domain {
				_ = level.Debug(p.Logger).Log("event", "idle_instance", "instance", instance.ID, "domain", instance.FabricDomain,
					"staged", strings.Join(instance.StagedModels, "+"), "group", instance.Membership.Group, "delays", fmt.Sprint(p.joinDelays(service.Engine, instance, now)))
			}
		}
		for _, model := range service.Engine.Models {
			_ = level.Info(p.Logger).Log("event", "fleet", "service", service.Name, "model", model.ID, "groups", counts[model.ID],
				"work", p.Demand(service.Name, model.ID), "listed", len(view.ByService[service.Name]),
				"free", len(p.freeInstances(view, service.Name, now)), "pending", len(p.pending))
		}
	}
}
