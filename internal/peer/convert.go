package peer

import (
	"context"
	"errors"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/timestamppb"

	"flamingodoor.example/flamingodoor"
	peerv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/peer/v1"
)

// errorCodeHeader is the header with the flamingodoor.Code of a failed call.
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

// serviceCall decodes a call. It prefers the deadline of the context, which the
// RPC carries as a remaining time, over the timestamp in the message, because
// the clocks of the two hosts may differ.
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

// unimplemented returns the error of a call whose function is nil in Parts.
func unimplemented() error {
	return connect.NewError(connect.CodeUnimplemented,
		flamingodoor.Errorf(flamingodoor.CodeInternal, "this host does not implement the call"))
}

// connectError converts an error to a connect error with a matching code and
// the header errorCodeHeader. Connect errors are returned unchanged.
func connectError(err error) error {
	var existing *connect.Error
	if errors.As(err, &existing) {
		return existing
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
	converted := connect.NewError(code, err)
	converted.Meta().Set(errorCodeHeader, flamingodoor.CodeOf(err).String())
	return converted
}
