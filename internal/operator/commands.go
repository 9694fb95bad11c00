package operator

import (
	"context"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"

	"flamingodoor.example/flamingodoor"
	operatorv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/operator/v1"
	"flamingodoor.example/flamingodoor/gen/flamingodoor/operator/v1/operatorv1connect"
	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
	"flamingodoor.example/flamingodoor/internal/freshness"
	"flamingodoor.example/flamingodoor/internal/member"
)

const (
	recordVersion  = 1 // of the record format
	kindDataCentre = "data_centre"
	// commandTimeout bounds every command, because its caller may have set no
	// deadline.
	commandTimeout = 10 * time.Second
	// drainRecordTimeout is how long Drain waits for the log before it makes the
	// restriction provisional, because a slow log must not delay the drain.
	drainRecordTimeout = 2 * time.Second
	// restrictionRecordTimeout bounds the recording of a provisional restriction.
	restrictionRecordTimeout = 5 * time.Second
	// turnInterval is the length of a turn. In each turn some of the hosts
	// record the provisional restrictions that they hold.
	turnInterval = 1 * time.Second
	// turnCount is the number of turns in a cycle. A host's rank for a
	// restriction determines its turn, so that usually only one host records the
	// restriction.
	turnCount = 8
)

// Recorder appends a record to the config stream and returns the verdict of
// the state machine. The error has CodeLogUnavailable or CodeDeadlineExceeded
// if the log does not answer.
type Recorder interface {
	Record(ctx context.Context, record *recordv1.Record) (*recordv1.Verdict, error)
}

// Accepter collects the voters' acknowledgements of changes and restrictions.
type Accepter interface {
	// Accept waits until a majority of the voters has acknowledged the offset.
	Accept(ctx context.Context, offset uint64) error
	// Restrict sends a provisional restriction to all members and returns those
	// that have not confirmed it. The error has CodeNoMajority if a majority of
	// the voters has not confirmed it.
	Restrict(ctx context.Context, restriction flamingodoor.Restriction) (unconfirmed []string, err error)
}

// ObjectReader reads the configuration, as a whole or as objects with their
// revisions.
type ObjectReader interface {
	flamingodoor.ConfigurationSource
	// Objects returns the objects with the given kind and name. An empty kind
	// or name matches all.
	Objects(kind, name string) []*recordv1.Versioned
}

// CommandOption changes a default of Commands.
type CommandOption func(*Commands)

// WithCommandToken sets the bearer token of the operators. Without this option
// callers are not authenticated.
func WithCommandToken(token string) CommandOption {
	return func(c *Commands) { c.authenticator = newAuthenticator(token) }
}

// WithCommandLogger sets the logger for commands.
func WithCommandLogger(logger log.Logger) CommandOption {
	return func(c *Commands) { c.logger = logger }
}

// Commands implements the command service.
type Commands struct {
	hostID        string
	store         ObjectReader
	recorder      Recorder
	accepter      Accepter
	lease         *freshness.Lease
	authenticator authenticator
	logger        log.Logger
}

var _ operatorv1connect.CommandServiceHandler = (*Commands)(nil)

// NewCommands returns the command service of the host with the given ID.
func NewCommands(
	hostID string, store ObjectReader, recorder Recorder, accepter Accepter,
	lease *freshness.Lease, options ...CommandOption,
) *Commands {
	c := &Commands{
		hostID:   hostID,
		store:    store,
		recorder: recorder,
		accepter: accepter,
		lease:    lease,
		logger:   log.NewNopLogger(),
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Apply records a batch of changes atomically. Repeating it with the same
// command identifier returns the result of the first call.
func (c *Commands) Apply(
	ctx context.Context, request *connect.Request[operatorv1.ApplyRequest],
) (*connect.Response[operatorv1.ApplyResponse], error) {
	ctx, cancel, err := c.begin(ctx, request.Header(), request.Msg)
	if err != nil {
		return nil, err
	}
	defer cancel()
	record, err := batchRecord(request.Msg)
	if err != nil {
		return nil, connectError(err)
	}
	result, err := c.change(ctx, record)
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&operatorv1.ApplyResponse{
		Acceptance: result.acceptance, Revision: result.revision, InForceAt: result.inForceAt,
	}), nil
}

// Drain takes a data centre out of service. If the log does not answer, the
// restriction is provisional and is recorded later under the same command
// identifier. Its record accepts any revision, so that a concurrent change of
// the data centre cannot make the log reject a restriction that was reported to
// the operator as successful.
func (c *Commands) Drain(
	ctx context.Context, request *connect.Request[operatorv1.DrainRequest],
) (*connect.Response[operatorv1.DrainResponse], error) {
	ctx, cancel, err := c.begin(ctx, request.Header(), request.Msg)
	if err != nil {
		return nil, err
	}
	defer cancel()
	restriction := flamingodoor.Restriction{
		CommandID:  request.Msg.GetCommandId(),
		DataCentre: request.Msg.GetDataCentre(),
		Author:     request.Msg.GetAuthor(),
		AuthorTime: time.Now(),
		Reason:     request.Msg.GetReason(),
	}
	record, err := c.drainRecord(restriction)
	if err != nil {
		return nil, connectError(err)
	}
	verdict, err := c.recordDrain(ctx, record)
	if !logUnavailable(err) {
		result, err := c.accept(ctx, verdict, err)
		if err != nil {
			return nil, connectError(err)
		}
		return connect.NewResponse(&operatorv1.DrainResponse{
			Acceptance: result.acceptance, Revision: result.revision, InForceAt: result.inForceAt,
		}), nil
	}
	_ = level.Warn(c.logger).Log("event", "provisional_drain",
		"data_centre", restriction.DataCentre, "command_id", restriction.CommandID, "err", err)
	unconfirmed, err := c.accepter.Restrict(ctx, restriction)
	if err != nil {
		// Some hosts hold the restriction and will record it in the log.
		return nil, connectError(flamingodoor.NewError(flamingodoor.CodeOf(err), flamingodoor.RunStateMayHaveRun, err))
	}
	return connect.NewResponse(&operatorv1.DrainResponse{
		Acceptance:       operatorv1.Acceptance_ACCEPTANCE_PROVISIONAL,
		InForceAt:        inForceAt(time.Now()),
		UnconfirmedHosts: unconfirmed,
	}), nil
}

// Return puts a data centre back into service. It records provisional
// restrictions of the data centre first, because they would otherwise be
// recorded later and take the data centre out of service again.
func (c *Commands) Return(
	ctx context.Context, request *connect.Request[operatorv1.ReturnRequest],
) (*connect.Response[operatorv1.ReturnResponse], error) {
	ctx, cancel, err := c.begin(ctx, request.Header(), request.Msg)
	if err != nil {
		return nil, err
	}
	defer cancel()
	for _, restriction := range c.lease.Restrictions() {
		if restriction.DataCentre == request.Msg.GetDataCentre() {
			if err := c.recordRestriction(ctx, restriction); err != nil {
				return nil, connectError(err)
			}
		}
	}
	object, err := c.dataCentre(request.Msg.GetDataCentre())
	if err != nil {
		return nil, connectError(err)
	}
	updated := proto.CloneOf(object.GetDataCentre())
	updated.Out, updated.Reason = false, ""
	result, err := c.change(ctx, &recordv1.Record{
		Version:          recordVersion,
		CommandId:        request.Msg.GetCommandId(),
		Author:           request.Msg.GetAuthor(),
		AuthorTime:       timestamppb.Now(),
		ExpectedRevision: object.GetRevision(),
		Body:             &recordv1.Record_PutDataCentre{PutDataCentre: updated},
	})
	if err != nil {
		return nil, connectError(err)
	}
	return connect.NewResponse(&operatorv1.ReturnResponse{
		Acceptance: result.acceptance, Revision: result.revision, InForceAt: result.inForceAt,
	}), nil
}

// Run records provisional restrictions until the context ends. All hosts take
// turns at this, because the host that received the command may have stopped.
func (c *Commands) Run(ctx context.Context) {
	ticker := time.NewTicker(turnInterval)
	defer ticker.Stop()
	for turn := 0; ; turn = (turn + 1) % turnCount {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.RecordRestrictions(ctx, turn)
	}
}

// RecordRestrictions records the provisional restrictions that this host has
// to record in the given turn, from 0 to 7. A host that is not in the member list
// records them in turn 0.
func (c *Commands) RecordRestrictions(ctx context.Context, turn int) {
	for _, restriction := range c.lease.Restrictions() {
		owners := member.Owners(c.store.Current(), "restriction/"+restriction.CommandID)
		rank := slices.IndexFunc(owners, func(host flamingodoor.EntryHost) bool { return host.ID == c.hostID })
		if max(rank, 0)%turnCount != turn {
			continue
		}
		if err := c.recordRestriction(ctx, restriction); err != nil {
			_ = level.Info(c.logger).Log("event", "restriction_not_recorded",
				"command_id", restriction.CommandID, "err", err)
		}
	}
}

// recordRestriction records a restriction. The provisional restriction is dropped
// once the record is applied.
func (c *Commands) recordRestriction(ctx context.Context, restriction flamingodoor.Restriction) error {
	ctx, cancel := context.WithTimeout(ctx, restrictionRecordTimeout)
	defer cancel()
	record, err := c.drainRecord(restriction)
	if err != nil {
		return err
	}
	verdict, err := c.recorder.Record(ctx, record)
	if err != nil {
		return err
	}
	c.lease.DropRecorded(c.store.Current(), func(commandID string) bool { return commandID == restriction.CommandID })
	_ = level.Info(c.logger).Log("event", "restriction_recorded",
		"command_id", restriction.CommandID, "verdict", verdict.GetCode(), "offset", verdict.GetOffset())
	if verdict.GetCode() != recordv1.VerdictCode_VERDICT_CODE_ACCEPTED {
		return nil
	}
	return c.accepter.Accept(ctx, verdict.GetOffset())
}

// command is a request of the command service.
type command interface {
	GetCommandId() string
	GetAuthor() string
}

// begin authenticates and validates a command. It returns the context of the
// command, which has a deadline.
func (c *Commands) begin(
	ctx context.Context, header map[string][]string, request command,
) (context.Context, context.CancelFunc, error) {
	if err := c.authenticator.check(header); err != nil {
		return nil, nil, err
	}
	if request.GetCommandId() == "" || request.GetAuthor() == "" {
		return nil, nil, connectError(flamingodoor.Errorf(flamingodoor.CodeInvalidRequest,
			"command has no identifier or no author"))
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	return ctx, cancel, nil
}

// changeResult is the result of a recorded change.
type changeResult struct {
	acceptance operatorv1.Acceptance
	revision   uint64
	inForceAt  *timestamppb.Timestamp
}

// change records a change and waits for its acceptance.
func (c *Commands) change(ctx context.Context, record *recordv1.Record) (changeResult, error) {
	verdict, err := c.recorder.Record(ctx, record)
	return c.accept(ctx, verdict, err)
}

// accept waits until a majority of the voters has acknowledged a recorded
// change. Without a majority the change stays recorded, and the operator can
// repeat the command to have it accepted. The verdict and err are the results
// of recording the change.
func (c *Commands) accept(ctx context.Context, verdict *recordv1.Verdict, err error) (changeResult, error) {
	if err != nil {
		return changeResult{}, err
	}
	if verdict.GetCode() != recordv1.VerdictCode_VERDICT_CODE_ACCEPTED {
		return changeResult{}, rejection(verdict)
	}
	if err := c.accepter.Accept(ctx, verdict.GetOffset()); err != nil {
		_ = level.Warn(c.logger).Log("event", "change_not_accepted",
			"command_id", verdict.GetCommandId(), "offset", verdict.GetOffset(), "err", err)
		return changeResult{acceptance: operatorv1.Acceptance_ACCEPTANCE_RECORDED, revision: verdict.GetOffset()}, nil
	}
	_ = level.Info(c.logger).Log("event", "change_accepted", "command_id", verdict.GetCommandId(),
		"author", verdict.GetAuthor(), "object", verdict.GetObject(), "offset", verdict.GetOffset())
	return changeResult{
		acceptance: operatorv1.Acceptance_ACCEPTANCE_ACCEPTED,
		revision:   verdict.GetOffset(),
		inForceAt:  inForceAt(time.Now()),
	}, nil
}

// recordDrain records a drain, but waits at most drainRecordTimeout for the log.
func (c *Commands) recordDrain(ctx context.Context, record *recordv1.Record) (*recordv1.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, drainRecordTimeout)
	defer cancel()
	return c.recorder.Record(ctx, record)
}

// logUnavailable reports whether err means that the log did not answer.
func logUnavailable(err error) bool {
	if err == nil {
		return false
	}
	code := flamingodoor.CodeOf(err)
	return code == flamingodoor.CodeLogUnavailable || code == flamingodoor.CodeDeadlineExceeded
}

// dataCentre returns the data centre with its revision.
func (c *Commands) dataCentre(id string) (*recordv1.Versioned, error) {
	if id != "" {
		if objects := c.store.Objects(kindDataCentre, id); len(objects) == 1 {
			return objects[0], nil
		}
	}
	return nil, flamingodoor.Errorf(flamingodoor.CodeInvalidRequest, "data centre %q does not exist", id)
}

// drainRecord returns the record that makes the restriction permanent.
func (c *Commands) drainRecord(restriction flamingodoor.Restriction) (*recordv1.Record, error) {
	object, err := c.dataCentre(restriction.DataCentre)
	if err != nil {
		return nil, err
	}
	updated := proto.CloneOf(object.GetDataCentre())
	updated.Out, updated.Reason = true, restriction.Reason
	return &recordv1.Record{
		Version:     recordVersion,
		CommandId:   restriction.CommandID,
		Author:      restriction.Author,
		AuthorTime:  timestamppb.New(restriction.AuthorTime),
		AnyRevision: true,
		Body:        &recordv1.Record_PutDataCentre{PutDataCentre: updated},
	}, nil
}

// batchRecord converts the changes of a request into one record. Of each change
// it uses only the body and the revision fields.
func batchRecord(request *operatorv1.ApplyRequest) (*recordv1.Record, error) {
	if len(request.GetChanges()) == 0 {
		return nil, flamingodoor.Errorf(flamingodoor.CodeInvalidRequest, "batch has no changes")
	}
	records := make([]*recordv1.Record, 0, len(request.GetChanges()))
	for i, change := range request.GetChanges() {
		if !operatorMayChange(change.GetRecord()) {
			return nil, flamingodoor.Errorf(flamingodoor.CodeInvalidRequest,
				"change %d of the batch is of a kind that operators cannot make", i+1)
		}
		records = append(records, &recordv1.Record{
			Version:          recordVersion,
			ExpectedRevision: change.GetRecord().GetExpectedRevision(),
			AnyRevision:      change.GetRecord().GetAnyRevision(),
			Body:             change.GetRecord().GetBody(),
		})
	}
	record := records[0]
	if len(records) > 1 {
		record = &recordv1.Record{
			Version: recordVersion,
			Body:    &recordv1.Record_Batch{Batch: &recordv1.Batch{Records: records}},
		}
	}
	record.CommandId = request.GetCommandId()
	record.Author = request.GetAuthor()
	record.AuthorTime = timestamppb.Now()
	return record, nil
}

// operatorMayChange reports whether an operator may submit the record. Changes of
// members, new groups and checkpoints are recorded only by hosts, and batches
// cannot be nested.
func operatorMayChange(record *recordv1.Record) bool {
	switch record.GetBody().(type) {
	case *recordv1.Record_PutClub, *recordv1.Record_DeleteClub,
		*recordv1.Record_PutModel, *recordv1.Record_DeleteModel,
		*recordv1.Record_PutEndpoint, *recordv1.Record_DeleteEndpoint,
		*recordv1.Record_PutGroupPlan, *recordv1.Record_DeleteGroupPlan,
		*recordv1.Record_PutDataCentre, *recordv1.Record_DissolveGroup:
		return true
	default:
		return false
	}
}
