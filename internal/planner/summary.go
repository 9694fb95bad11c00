package planner

import (
	"fmt"
	"maps"
	"slices"
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
	coverage := 1.0
	if p.DemandCoverage != nil {
		coverage = p.DemandCoverage()
	}
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
		p.logDomains(service, view, domains, now)
		usage := p.countUsage(view, service.Name, now)
		loading := p.countLoading(free)
		for _, model := range service.Engine.Models {
			_ = level.Info(p.Logger).Log("event", "fleet", "service", service.Name, "model", model.ID, "groups", counts[model.ID],
				"work", p.Demand(service.Name, model.ID), "coverage", coverage, "listed", len(view.ByService[service.Name]),
				"free", len(free), "formable", formableGroups(domains, model.InstancesPerGroup), "pending", p.countPending(service.Name, model.ID),
				"loading", loading, "serving", usage[usageServing], "forming", usage[usageForming], "closing", usage[usageClosing], "broken", usage[usageBroken],
				"leaving", usage[usageLeaving], "lost", usage[usageLost], "evacuated", usage[usageEvacuated], "unplaced", usage[usageUnplaced])
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

// domainSummary is what a fabric domain has for groups of one model.
type domainSummary struct {
	groups  int // that serve
	ready   int // free instances that can join a group within maxJoinDelay
	members int // members of groups of other models that hold the weights
	loads   int // under way
}

// domainSummaries holds the summaries of a service.
type domainSummaries map[domainModel]*domainSummary

func (d domainSummaries) of(domain, modelID string) *domainSummary {
	key := domainModel{domain, modelID}
	if d[key] == nil {
		d[key] = &domainSummary{}
	}
	return d[key]
}

// logDomains logs, for each fabric domain with instances and each model, what there is
// for groups of the model: it tells a lack of instances from a lack of weights.
func (p *Planner) logDomains(service flamingodoor.ServiceSpec, view *roster.View, freeByDomain [][]flamingodoor.Instance, now time.Time) {
	free := make(map[string]int)
	summaries := make(domainSummaries)
	for _, domain := range freeByDomain {
		for _, instance := range domain {
			free[instance.FabricDomain]++
			for modelID := range p.joinDelays(service.Engine, instance, now) {
				summaries.of(instance.FabricDomain, modelID).ready++
			}
		}
	}
	for key, groups := range p.servingGroups(service.Name, view, now) {
		summaries.of(key.domain, key.modelID).groups += len(groups)
		p.countConvertible(service.Engine, summaries, groups, now)
	}
	for id, load := range p.activeLoads {
		if entry, ok := view.Entries[id]; ok {
			summaries.of(entry.FabricDomain, load.ModelID).loads++
		}
	}
	for _, key := range slices.SortedFunc(maps.Keys(summaries), domainModel.compare) {
		found := summaries[key]
		_ = level.Info(p.Logger).Log("event", "domain", "service", service.Name, "domain", key.domain, "model", key.modelID, "free", free[key.domain],
			"groups", found.groups, "ready", found.ready, "members", found.members, "loads", found.loads)
	}
}

// countConvertible counts the members of groups that hold the weights of other models.
func (p *Planner) countConvertible(engine *flamingodoor.EngineSpec, summaries domainSummaries, groups []*roster.Group, now time.Time) {
	for _, group := range groups {
		for _, member := range group.Members {
			for modelID := range p.weightsHeld(engine, member.Instance, now) {
				if modelID != group.ModelID {
					summaries.of(group.FabricDomain, modelID).members++
				}
			}
		}
	}
}
