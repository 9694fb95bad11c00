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

// recordDue records the actions that are due, in order and in the background, so
// that a slow log does not delay orders.
func (p *Planner) recordDue(ctx context.Context, now time.Time, actions []placement.Action) {
	var due []placement.Action
	for _, action := range actions {
		if p.isDue(now, action.Key(), action.Domain()) {
			due = append(due, action)
		}
	}
	if len(due) == 0 {
		return
	}
	p.mu.Lock()
	p.recordInFlight = true
	p.mu.Unlock()
	p.recordings.Go(func() {
		defer func() {
			p.mu.Lock()
			p.recordInFlight = false
			p.mu.Unlock()
		}()
		p.recordAll(ctx, now, due)
	})
}

// recordAll records the actions until one fails, their input is too old or the
// freshness lease has expired. It skips actions whose prerequisites are not met
// or whose members answer after all.
func (p *Planner) recordAll(ctx context.Context, planned time.Time, actions []placement.Action) {
	dissolved := map[string]bool{}
	for _, action := range actions {
		if !p.prerequisitesMet(action, dissolved) || p.membersAnswer(ctx, action) {
			continue
		}
		now := time.Now()
		if now.Sub(planned) > maxInputAge || !p.parts.Freshness.Fresh(now) {
			return
		}
		accepted, err := p.recordAction(ctx, now, action)
		if err != nil {
			p.warn("record_group_change_failed", err, "need", action.Key())
			return
		}
		if change, ok := action.(placement.Dissolve); ok && accepted {
			dissolved[change.GroupID] = true
		}
	}
}

// prerequisitesMet reports whether the groups that must be dissolved before a new
// group forms are gone.
func (p *Planner) prerequisitesMet(action placement.Action, dissolved map[string]bool) bool {
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

// membersAnswer reports whether the action is due to members without health
// evidence that all answer a direct query of this host, which means that the
// action is not needed. On a host that is cut off from its peers, evidence
// expires although the endpoints work.
func (p *Planner) membersAnswer(ctx context.Context, action placement.Action) bool {
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

// recordAction appends the record of an action and reports whether the state
// machine accepted it.
func (p *Planner) recordAction(ctx context.Context, now time.Time, action placement.Action) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	record := newRecord(action)
	record.Version = recordVersion
	record.CommandId = uuid.NewString()
	record.Author = p.parts.HostID
	record.AuthorTime = timestamppb.New(now)
	verdict, err := p.parts.Recorder.Record(ctx, record)
	if err != nil {
		return false, err
	}
	p.observer.ChangeRecorded(actionKind(action), verdict.GetCode())
	p.info("group_change_recorded", "kind", actionKind(action), "need", action.Key(), "offset", verdict.GetOffset(),
		"verdict", verdict.GetCode().String(), "reason", verdict.GetReason())
	if verdict.GetCode() != recordv1.VerdictCode_VERDICT_CODE_ACCEPTED {
		return false, nil
	}
	p.mu.Lock()
	p.lastRecorded = max(p.lastRecorded, verdict.GetOffset())
	p.mu.Unlock()
	return true, nil
}

// newRecord returns the record of an action. The expected revision of a group
// is its fencing number: the record that forms the group sets both to its
// offset, and no other record changes them.
func newRecord(action placement.Action) *recordv1.Record {
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

func actionKind(action placement.Action) string {
	switch action.(type) {
	case placement.Form:
		return "form"
	case placement.Replace:
		return "replace"
	default:
		return "dissolve"
	}
}
