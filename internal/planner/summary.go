package planner

import (
	"fmt"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"flamingodoor.example/flamingodoor"
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
		free := p.freeInstances(view, service.Name, now)
		domains := groupByDomain(free)
		for _, domain := range domains {
			for _, instance := range domain {
				_ = level.Debug(p.Logger).Log("event", "idle_instance", "instance", instance.ID, "domain", instance.FabricDomain,
					"staged", strings.Join(instance.StagedModels, "+"), "group", instance.Membership.Group, "delays", fmt.Sprint(p.joinDelays(service.Engine, instance, now)))
			}
		}
		for _, model := range service.Engine.Models {
			_ = level.Info(p.Logger).Log("event", "fleet", "service", service.Name, "model", model.ID, "groups", counts[model.ID],
				"work", p.Demand(service.Name, model.ID), "listed", len(view.ByService[service.Name]),
				"free", len(free), "formable", formableGroups(domains, model.InstancesPerGroup), "pending", p.countPending(service.Name, model.ID))
		}
	}
}

// formableGroups returns how many groups of a size the free instances suffice for.
func formableGroups(domains [][]flamingodoor.Instance, size int) int {
	count := 0
	for _, domain := range domains {
		count += len(domain) / max(1, size)
	}
	return count
}

// countPending returns how many groups of a model form.
func (p *Planner) countPending(service, modelID string) int {
	count := 0
	for _, group := range p.pending {
		if group.service == service && group.modelID == modelID {
			count++
		}
	}
	return count
}
