package operator_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
	operatorv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/operator/v1"
	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
	"flamingodoor.example/flamingodoor/internal/freshness"
	"flamingodoor.example/flamingodoor/internal/operator"
	"flamingodoor.example/flamingodoor/internal/registry"
)

// controlPlane implements Recorder and Accepter with a real store. The log and
// the majority of the voters can be made to fail.
type controlPlane struct {
	store      *registry.Store
	lease      *freshness.Lease
	offset     uint64
	logDown    bool
	noMajority bool
}

func (p *controlPlane) Record(_ context.Context, record *recordv1.Record) (*recordv1.Verdict, error) {
	if p.logDown {
		return nil, flamingodoor.Errorf(flamingodoor.CodeLogUnavailable, "log down")
	}
	data, err := proto.Marshal(record)
	if err != nil {
		return nil, err
	}
	p.offset++
	return p.store.Apply(flamingodoor.LogEntry{Offset: p.offset, Data: data})
}

func (p *controlPlane) Accept(context.Context, uint64) error {
	if p.noMajority {
		return flamingodoor.Errorf(flamingodoor.CodeNoMajority, "no majority")
	}
	return nil
}

func (p *controlPlane) Restrict(ctx context.Context, r flamingodoor.Restriction) ([]string, error) {
	p.lease.AddRestriction(r)
	return []string{"far"}, p.Accept(ctx, 0)
}

// newControlPlane returns a control plane with the data centres a and b, and its
// command service.
func newControlPlane(t *testing.T) (*controlPlane, *operator.Commands) {
	t.Helper()
	p := &controlPlane{store: registry.NewStore(), lease: freshness.New("self")}
	commands := operator.NewCommands("self", p.store, p, p, p.lease, operator.WithCommandToken("secret"))
	_, err := commands.Apply(t.Context(), authorized(&operatorv1.ApplyRequest{
		CommandId: "setup", Author: "ann",
		Changes: []*operatorv1.Change{putDataCentre("a", 0), putDataCentre("b", 0)},
	}))
	assert.NilError(t, err)
	return p, commands
}

func authorized[T any](message *T) *connect.Request[T] {
	request := connect.NewRequest(message)
	request.Header().Set("Authorization", "Bearer secret")
	return request
}

func putDataCentre(id string, revision uint64) *operatorv1.Change {
	return &operatorv1.Change{Record: &recordv1.Record{
		ExpectedRevision: revision,
		Body:             &recordv1.Record_PutDataCentre{PutDataCentre: &recordv1.DataCentre{DataCentre: id, Region: "r"}},
	}}
}

func (p *controlPlane) outOfService(id string) bool {
	dataCentre, _ := p.store.Current().DataCentre(id)
	return dataCentre.OutOfService
}

// Guards against accepting calls without the operators' token.
func TestTokenIsChecked(t *testing.T) {
	p, commands := newControlPlane(t)
	queries := operator.NewQueries("self", p.store, p.store, operator.WithQueryToken("secret"))
	for _, header := range []string{"", "Bearer", "Bearer secre", "Basic secret", "Bearer secret2"} {
		request := connect.NewRequest(&operatorv1.DrainRequest{CommandId: "d", Author: "ann", DataCentre: "a"})
		request.Header().Set("Authorization", header)
		_, err := commands.Drain(t.Context(), request)
		assert.Equal(t, connect.CodeOf(err), connect.CodeUnauthenticated)
		get := connect.NewRequest(&operatorv1.GetRequest{})
		get.Header().Set("Authorization", header)
		_, err = queries.Get(t.Context(), get)
		assert.Equal(t, connect.CodeOf(err), connect.CodeUnauthenticated)
	}
	response, err := queries.Get(t.Context(), authorized(&operatorv1.GetRequest{Kind: "data_centre"}))
	assert.NilError(t, err)
	assert.Equal(t, len(response.Msg.GetObjects()), 2)
}

// Guards against reporting a conflict as success, reporting a change as accepted
// without a majority, and recording only a part of a batch.
func TestApplyReportsTheVerdict(t *testing.T) {
	p, commands := newControlPlane(t)
	_, err := commands.Apply(t.Context(), authorized(&operatorv1.ApplyRequest{
		CommandId: "c", Author: "ann", Changes: []*operatorv1.Change{putDataCentre("new", 0), putDataCentre("a", 9)},
	}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeAborted)
	failure := new(connect.Error)
	assert.Assert(t, errors.As(err, &failure))
	assert.Equal(t, failure.Meta().Get(operator.ErrorCodeHeader), "conflict")
	assert.Equal(t, len(failure.Details()), 1)
	assert.Equal(t, len(p.store.Objects("data_centre", "new")), 0)

	p.noMajority = true
	change := &operatorv1.ApplyRequest{CommandId: "d", Author: "ann", Changes: []*operatorv1.Change{putDataCentre("new", 0)}}
	response, err := commands.Apply(t.Context(), authorized(change))
	assert.NilError(t, err)
	assert.Equal(t, response.Msg.GetAcceptance(), operatorv1.Acceptance_ACCEPTANCE_RECORDED)
	assert.Assert(t, response.Msg.GetInForceAt() == nil)
	p.noMajority = false
	repeat, err := commands.Apply(t.Context(), authorized(change))
	assert.NilError(t, err)
	assert.Equal(t, repeat.Msg.GetAcceptance(), operatorv1.Acceptance_ACCEPTANCE_ACCEPTED)
	assert.Equal(t, repeat.Msg.GetRevision(), response.Msg.GetRevision())
	assert.Assert(t, repeat.Msg.GetInForceAt().AsTime().After(time.Now().Add(2*time.Second)))

	_, err = commands.Apply(t.Context(), authorized(&operatorv1.ApplyRequest{
		CommandId: "e", Author: "ann", Changes: []*operatorv1.Change{{Record: &recordv1.Record{
			Body: &recordv1.Record_RemoveEntryHost{RemoveEntryHost: "self"},
		}}},
	}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeInvalidArgument)
}

// Guards against a drain that fails because the log is down, that is lost when
// the log is available again, or that undoes a later return of the data centre.
func TestDrainWhileTheLogIsDown(t *testing.T) {
	p, commands := newControlPlane(t)
	p.logDown = true
	drain := &operatorv1.DrainRequest{CommandId: "d", Author: "ann", DataCentre: "a", Reason: "flood"}
	response, err := commands.Drain(t.Context(), authorized(drain))
	assert.NilError(t, err)
	assert.Equal(t, response.Msg.GetAcceptance(), operatorv1.Acceptance_ACCEPTANCE_PROVISIONAL)
	assert.DeepEqual(t, response.Msg.GetUnconfirmedHosts(), []string{"far"})
	commands.RecordRestrictions(t.Context(), 0)
	assert.Assert(t, p.lease.Restricted("a") && !p.outOfService("a"))

	p.logDown = false
	commands.RecordRestrictions(t.Context(), 0)
	assert.Assert(t, !p.lease.Restricted("a") && p.outOfService("a"))
	assert.Equal(t, p.store.History(1)[0].GetCommandId(), "d")

	p.logDown = true
	drain.CommandId = "d2"
	_, err = commands.Drain(t.Context(), authorized(drain))
	assert.NilError(t, err)
	p.logDown = false
	_, err = commands.Return(t.Context(), authorized(&operatorv1.ReturnRequest{
		CommandId: "r", Author: "ann", DataCentre: "a",
	}))
	assert.NilError(t, err)
	commands.RecordRestrictions(t.Context(), 0)
	assert.Assert(t, !p.lease.Restricted("a") && !p.outOfService("a"))
}

// Guards against reporting a provisional drain as successful without a majority
// of the voters.
func TestDrainWithoutLogAndMajority(t *testing.T) {
	p, commands := newControlPlane(t)
	p.logDown, p.noMajority = true, true
	_, err := commands.Drain(t.Context(), authorized(&operatorv1.DrainRequest{
		CommandId: "d", Author: "ann", DataCentre: "a",
	}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnavailable)
	failure := new(connect.Error)
	assert.Assert(t, errors.As(err, &failure))
	assert.Equal(t, failure.Meta().Get(operator.RunStateHeader), "may_have_run")
}

// Guards against a Status call that fails if optional sources are missing, and
// against an empty burn report of a host that does not provide summaries.
func TestStatusAndBurnReport(t *testing.T) {
	p, _ := newControlPlane(t)
	p.lease.AddRestriction(flamingodoor.Restriction{CommandID: "x", DataCentre: "b"})
	queries := operator.NewQueries("self", p.store, p.store, operator.WithFreshnessGate(p.lease), operator.WithVersion("v1"))
	status, err := queries.Status(t.Context(), connect.NewRequest(&operatorv1.StatusRequest{}))
	assert.NilError(t, err)
	assert.DeepEqual(t, status.Msg.GetRestrictedDataCentres(), []string{"b"})
	assert.Assert(t, !status.Msg.GetFresh())
	_, err = queries.BurnReport(t.Context(), connect.NewRequest(&operatorv1.BurnReportRequest{}))
	assert.Equal(t, connect.CodeOf(err), connect.CodeUnimplemented)
}
