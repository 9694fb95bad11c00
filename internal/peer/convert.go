package peer

import (
	"context"
	"errors"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/timestamppb"

	"flamingodoor.example/flamingodoor"
	peerv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/peer/v1"
)

// errorCodeHeader carries the typed code of a failed peer call.
const errorCodeHeader = "X-Error-Code"

func restrictionMessage(r flamingodoor.Restriction) *peerv1.Restriction {
	return &peerv1.Restriction{
		CommandId:  r.CommandID,
		DataCentre: r.DataCentre,
		Author:     r.Author,
		AuthorTime: timestamppb.New(r.AuthorTime),
		Reason:     r.Reason,
	}
}

func restrictionFrom(m *peerv1.Restriction) flamingodoor.Restriction {
	return flamingodoor.Restriction{
		CommandID:  m.GetCommandId(),
		DataCentre: m.GetDataCentre(),
		Author:     m.GetAuthor(),
		AuthorTime: m.GetAuthorTime().AsTime(),
		Reason:     m.GetReason(),
	}
}

// serviceCall prefers the deadline that the RPC carries as a remaining time
// over the caller's clock, which may differ from the clock of this host.
func serviceCall(ctx context.Context, m *peerv1.RunOnceRequest) flamingodoor.ServiceCall {
	deadline, ok := ctx.Deadline()
	if !ok && m.GetDeadline() != nil {
		deadline = m.GetDeadline().AsTime()
	}
	return flamingodoor.ServiceCall{
		RequestID:      m.GetRequestId(),
		ClubID:         m.GetClubId(),
		Service:        m.GetService(),
		IdempotencyKey: m.GetIdempotencyKey(),
		Method:         m.GetMethod(),
		Path:           m.GetPath(),
		ContentType:    m.GetContentType(),
		Body:           m.GetBody(),
		Deadline:       deadline,
	}
}

func runStateMessage(state flamingodoor.RunState) peerv1.RunState {
	switch state {
	case flamingodoor.RunStateNotRun:
		return peerv1.RunState_RUN_STATE_NOT_RUN
	case flamingodoor.RunStateRan:
		return peerv1.RunState_RUN_STATE_RAN
	default:
		return peerv1.RunState_RUN_STATE_MAY_HAVE_RUN
	}
}

func unimplemented() error {
	return connect.NewError(connect.CodeUnimplemented,
		flamingodoor.Errorf(flamingodoor.CodeInternal, "this host does not serve the call"))
}

func connectError(err error) error {
	var already *connect.Error
	if errors.As(err, &already) {
		return already
	}
	code := connect.CodeInternal
	switch flamingodoor.CodeOf(err) {
	case flamingodoor.CodeInvalidRequest:
		code = connect.CodeInvalidArgument
	case flamingodoor.CodeNotFresh, flamingodoor.CodeStopping, flamingodoor.CodeLogUnavailable:
		code = connect.CodeUnavailable
	case flamingodoor.CodeFutureRecord:
		code = connect.CodeFailedPrecondition
	default:
		if errors.Is(err, context.DeadlineExceeded) {
			code = connect.CodeDeadlineExceeded
		}
	}
	failure := connect.NewError(code, err)
	failure.Meta().Set(errorCodeHeader, flamingodoor.CodeOf(err).String())
	return failure
}
