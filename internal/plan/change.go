package plan

import (
	"context"
	"time"

	"github.com/google/uuid"
	"google.golang.org/protobuf/types/known/timestamppb"

	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
	"flamingodoor.example/flamingodoor/internal/placement"
)

const recordVersion = 1

// change records the actions that are due, in order and in the background, so
// that a slow log does not delay orders.
func (p *Planner) change(ctx context.Context, now time.Time, actions []placement.Action) {
	var due []placement.Action
	for _, action := range actions {
		if p.due(now, action.Key(), action.Domain()) {
			due = append(due, action)
		}
	}
	if len(due) == 0 {
		return
	}
	p.mu.Lock()
	p.busy = true
	p.mu.Unlock()
	p.recording.Go(func() {
		defer func() {
			p.mu.Lock()
			p.busy = false
			p.mu.Unlock()
		}()
		p.recordAll(ctx, now, due)
	})
}

func (p *Planner) recordAll(ctx context.Context, planned time.Time, actions []placement.Action) {
	dissolved := map[string]bool{}
	for _, action := range actions {
		if !p.waitedFor(action, dissolved) || p.contradicted(ctx, action) {
			continue
		}
		now := time.Now()
		if now.Sub(planned) > batchLifetime || !p.parts.Freshness.Fresh(now) {
			return
		}
		accepted, err := p.record(ctx, now, action)
		if err != nil {
			p.warn("record_group_change_failed", err, "need", action.Key())
			return
		}
		if change, ok := action.(placement.Dissolve); ok && accepted {
			dissolved[change.GroupID] = true
		}
	}
}

// waitedFor reports whether the groups whose share a new group takes are gone.
func (p *Planner) waitedFor(action placement.Action, dissolved map[string]bool) bool {
	form, ok := action.(placement.Form)
	if !ok {
		return true
	}
	configuration := p.parts.Configurations.Current()
	for _, id := range form.After {
		if _, exists := configuration.Group(id); exists && !dissolved[id] {
			return false
		}
	}
	return true
}

// contradicted reports whether a member that is to be replaced for missing
// evidence answers this host directly. The evidence of a host that is cut off
// from its peers expires although the endpoints are well.
func (p *Planner) contradicted(ctx context.Context, action placement.Action) bool {
	var members []string
	switch change := action.(type) {
	case placement.Replace:
		for lost := range change.Spares {
			members = append(members, lost)
		}
	case placement.Dissolve:
		if change.Reason == placement.ReasonNoSpare {
			group, _ := p.parts.Configurations.Current().Group(change.GroupID)
			members = group.EndpointIDs
		}
	}
	silent, answered := 0, 0
	for _, id := range members {
		endpoint, known := p.parts.Configurations.Current().Endpoint(id)
		if _, live := p.parts.Health.Endpoint(id, time.Now()); live || !known {
			continue
		}
		reportCtx, cancel := context.WithTimeout(ctx, reportTimeout)
		_, err := p.parts.Engine.Report(reportCtx, endpoint)
		cancel()
		if err != nil {
			silent++
			break
		}
		answered++
	}
	if silent > 0 || answered == 0 {
		return false
	}
	p.info("member_answers_without_evidence", "need", action.Key())
	return true
}

func (p *Planner) record(ctx context.Context, now time.Time, action placement.Action) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	record := recordOf(action)
	record.Version = recordVersion
	record.CommandId = uuid.NewString()
	record.Author = p.parts.HostID
	record.AuthorTime = timestamppb.New(now)
	verdict, err := p.parts.Recorder.Record(ctx, record)
	if err != nil {
		return false, err
	}
	p.observer.ChangeRecorded(kindOf(action), verdict.GetCode())
	p.info("group_change_recorded", "kind", kindOf(action), "need", action.Key(), "offset", verdict.GetOffset(),
		"verdict", verdict.GetCode().String(), "reason", verdict.GetReason())
	if verdict.GetCode() != recordv1.VerdictCode_VERDICT_CODE_ACCEPTED {
		return false, nil
	}
	p.mu.Lock()
	p.recorded = max(p.recorded, verdict.GetOffset())
	p.mu.Unlock()
	return true, nil
}

// recordOf translates an action. The revision of a group is its fencing
// number, because only the record that forms a group changes it.
func recordOf(action placement.Action) *recordv1.Record {
	switch change := action.(type) {
	case placement.Form:
		return &recordv1.Record{Body: &recordv1.Record_FormGroup{FormGroup: &recordv1.Group{
			GroupId:      change.GroupID,
			PlanId:       change.PlanID,
			ModelId:      change.ModelID,
			Version:      change.Version,
			FabricDomain: change.FabricDomain,
			EndpointIds:  change.EndpointIDs,
		}}}
	case placement.Replace:
		return &recordv1.Record{
			ExpectedRevision: change.Group.FencingNumber,
			Body: &recordv1.Record_FormGroup{FormGroup: &recordv1.Group{
				GroupId:      change.Group.ID,
				PlanId:       change.Group.PlanID,
				ModelId:      change.Group.ModelID,
				Version:      change.Group.Version,
				FabricDomain: change.Group.FabricDomain,
				EndpointIds:  change.EndpointIDs,
				Replaces:     change.Group.FencingNumber,
			}},
		}
	case placement.Dissolve:
		return &recordv1.Record{
			ExpectedRevision: change.FencingNumber,
			Body: &recordv1.Record_DissolveGroup{DissolveGroup: &recordv1.DissolveGroup{
				GroupId: change.GroupID,
				Reason:  change.Reason,
			}},
		}
	}
	return &recordv1.Record{}
}

func kindOf(action placement.Action) string {
	switch action.(type) {
	case placement.Form:
		return "form"
	case placement.Replace:
		return "replace"
	default:
		return "dissolve"
	}
}
