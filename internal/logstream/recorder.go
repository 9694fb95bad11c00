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

// Recorder appends records to the config stream and returns their verdicts, which
// the store determines when a Follower applies the records.
type Recorder struct {
	settings
	log   flamingodoor.LogAppender
	store *registry.Store
}

// NewRecorder returns a recorder. A Follower must be running on the same store.
func NewRecorder(log flamingodoor.Log, store *registry.Store, options ...Option) *Recorder {
	return &Recorder{settings: newSettings(options), log: log, store: store}
}

// Record appends a record and waits for its verdict until the context ends. It
// sets the version and the command identifier if they are empty. After a failed
// append it waits in case the record appears anyway, and otherwise appends it
// again under the same identifier. Only the first record with an identifier is
// applied.
//
// The error has CodeLogUnavailable when no append succeeded,
// CodeDeadlineExceeded when the record was not read back in time and
// CodeFutureRecord when the store has stopped at a record of a future version.
// Its run state is RunStateNotRun only if no append was attempted.
func (r *Recorder) Record(ctx context.Context, record *recordv1.Record) (*recordv1.Verdict, error) {
	record, data, err := prepare(record)
	if err != nil {
		return nil, err
	}
	commandID := record.GetCommandId()
	if verdict, ok := r.store.Verdict(commandID); ok {
		return verdict, nil
	}
	if err := r.checkReady(ctx); err != nil {
		return nil, err
	}
	delays := newBackOff(r.appendRetryDelay, max(maxAppendRetryDelay, r.appendRetryDelay))
	for {
		appendErr := r.append(ctx, data)
		if appendErr == nil {
			verdict, err := r.store.WaitVerdict(ctx, commandID)
			return verdict, mayHaveRun(err)
		}
		_ = level.Warn(r.logger).Log("event", "append_unconfirmed",
			"command_id", commandID, "err", appendErr)
		verdict, err := r.waitBeforeRetry(ctx, commandID, delays.NextBackOff())
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

// append makes one attempt to append the encoded record.
func (r *Recorder) append(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, r.appendTimeout)
	defer cancel()
	_, err := r.log.Append(ctx, flamingodoor.ConfigStream, data)
	return err
}

// waitBeforeRetry waits for the verdict of a record whose append failed, because
// the append may have taken effect.
func (r *Recorder) waitBeforeRetry(ctx context.Context, commandID string, wait time.Duration) (*recordv1.Verdict, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return r.store.WaitVerdict(ctx, commandID)
}

// checkReady returns an error if the store has stopped or the context has ended.
func (r *Recorder) checkReady(ctx context.Context) error {
	if err := r.store.Err(); err != nil {
		return err
	}
	if ctx.Err() != nil {
		return flamingodoor.NewError(flamingodoor.CodeDeadlineExceeded, flamingodoor.RunStateNotRun, ctx.Err())
	}
	return nil
}

// prepare returns a copy of the record with the missing fields set, and its
// encoding. It returns an error if the record is invalid.
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

// mayHaveRun returns the error with RunStateMayHaveRun.
func mayHaveRun(err error) error {
	if err == nil {
		return nil
	}
	return flamingodoor.NewError(flamingodoor.CodeOf(err), flamingodoor.RunStateMayHaveRun, err)
}
