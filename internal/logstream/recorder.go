package logstream

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	"flamingodoor.example/flamingodoor"
	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
	"flamingodoor.example/flamingodoor/internal/registry"
)

// Recorder appends records to the config stream and returns the verdicts that
// the store reaches when a Follower applies them.
type Recorder struct {
	settings
	log   flamingodoor.LogAppender
	store *registry.Store
}

// NewRecorder returns a recorder; a Follower must run on the same store.
func NewRecorder(log flamingodoor.Log, store *registry.Store, options ...Option) *Recorder {
	return &Recorder{settings: newSettings(options), log: log, store: store}
}

// Record appends a record and waits for its verdict until the context ends. It
// sets the version and the command identifier if they are empty. After a
// failed append it waits whether the record appears and then appends it again
// under the same identifier, of which only the first counts.
//
// The error has CodeLogUnavailable when no append succeeded,
// CodeDeadlineExceeded when the record was not read back in time and
// CodeFutureRecord when the store stopped. RunStateNotRun is returned only when
// nothing was appended.
func (r *Recorder) Record(ctx context.Context, record *recordv1.Record) (*recordv1.Verdict, error) {
	record, data, err := prepare(record)
	if err != nil {
		return nil, err
	}
	commandID := record.GetCommandId()
	if verdict, ok := r.store.Verdict(commandID); ok {
		return verdict, nil
	}
	if err := r.ready(ctx); err != nil {
		return nil, err
	}
	delays := newBackOff(r.repeatAfter, max(maxRepeatAfter, r.repeatAfter))
	for {
		appendErr := r.append(ctx, data)
		if appendErr == nil {
			verdict, err := r.store.WaitVerdict(ctx, commandID)
			return verdict, mayHaveRun(err)
		}
		_ = level.Warn(r.logger).Log("event", "append_unconfirmed",
			"command_id", commandID, "err", appendErr)
		verdict, err := r.waitBeforeRepeat(ctx, commandID, delays.NextBackOff())
		switch {
		case err == nil:
			return verdict, nil
		case ctx.Err() != nil:
			return nil, flamingodoor.NewError(flamingodoor.CodeLogUnavailable, flamingodoor.RunStateMayHaveRun, appendErr)
		case r.store.Err() != nil:
			return nil, mayHaveRun(err)
		}
	}
}

func (r *Recorder) append(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, r.appendTimeout)
	defer cancel()
	_, err := r.log.Append(ctx, flamingodoor.ConfigStream, data)
	return err
}

func (r *Recorder) waitBeforeRepeat(ctx context.Context, commandID string, wait time.Duration) (*recordv1.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return r.store.WaitVerdict(ctx, commandID)
}

func (r *Recorder) ready(ctx context.Context) error {
	if err := r.store.Err(); err != nil {
		return err
	}
	if ctx.Err() != nil {
		return flamingodoor.NewError(flamingodoor.CodeDeadlineExceeded, flamingodoor.RunStateNotRun, ctx.Err())
	}
	return nil
}

func prepare(record *recordv1.Record) (*recordv1.Record, []byte, error) {
	record = proto.CloneOf(record)
	if record.GetVersion() == 0 {
		record.Version = registry.RecordVersion
	}
	if record.GetCommandId() == "" {
		record.CommandId = uuid.NewString()
	}
	if err := registry.CheckRecord(record); err != nil {
		return nil, nil, err
	}
	data, err := proto.Marshal(record)
	if err != nil {
		return nil, nil, flamingodoor.NewError(flamingodoor.CodeInvalidRequest, flamingodoor.RunStateNotRun, err)
	}
	return record, data, nil
}

func mayHaveRun(err error) error {
	if err == nil {
		return nil
	}
	return flamingodoor.NewError(flamingodoor.CodeOf(err), flamingodoor.RunStateMayHaveRun, err)
}
