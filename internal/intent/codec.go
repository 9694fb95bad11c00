package intent

import (
	"context"
	"math"
	"time"

	"google.golang.org/protobuf/types/known/timestamppb"

	"flamingodoor.example/flamingodoor"
	peerv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/peer/v1"
)

// ServeRunOnce runs a call that a peer forwarded and encodes its result as the
// response. The deadline of the context overrides that of the request: the RPC
// transmits the former as a remaining duration, while the latter is a time on
// the clock of the peer, which may differ from this host's.
func ServeRunOnce(ctx context.Context, runner flamingodoor.OnceRunner, request *peerv1.RunOnceRequest) *peerv1.RunOnceResponse {
	call := decodeCall(request)
	if deadline, ok := ctx.Deadline(); ok {
		call.Deadline = deadline
	}
	return encodeResult(runner.RunOnce(ctx, call))
}

// encodeCall returns the request that forwards a call to a peer.
func encodeCall(call flamingodoor.ServiceCall) *peerv1.RunOnceRequest {
	request := &peerv1.RunOnceRequest{
		ClubId:         call.ClubID,
		Service:        call.Service,
		IdempotencyKey: call.IdempotencyKey,
		Method:         call.Method,
		Path:           call.Path,
		ContentType:    call.ContentType,
		Body:           call.Body,
		RequestId:      call.RequestID,
	}
	if !call.Deadline.IsZero() {
		request.Deadline = timestamppb.New(call.Deadline)
	}
	return request
}

// decodeCall returns the call in a forwarded request.
func decodeCall(request *peerv1.RunOnceRequest) flamingodoor.ServiceCall {
	var deadline time.Time
	if request.GetDeadline() != nil {
		deadline = request.GetDeadline().AsTime()
	}
	return flamingodoor.ServiceCall{
		RequestID:      request.GetRequestId(),
		ClubID:         request.GetClubId(),
		Service:        request.GetService(),
		IdempotencyKey: request.GetIdempotencyKey(),
		Method:         request.GetMethod(),
		Path:           request.GetPath(),
		ContentType:    request.GetContentType(),
		Body:           request.GetBody(),
		Deadline:       deadline,
	}
}

// encodeResult encodes an answer, or the code and run state of an error.
func encodeResult(answer flamingodoor.ServiceAnswer, err error) *peerv1.RunOnceResponse {
	if err != nil {
		return &peerv1.RunOnceResponse{
			RunState:     encodeRunState(flamingodoor.RunStateOf(err)),
			ErrorCode:    flamingodoor.CodeOf(err).String(),
			ErrorMessage: err.Error(),
		}
	}
	return &peerv1.RunOnceResponse{
		RunState:        peerv1.RunState_RUN_STATE_RAN,
		Status:          encodeStatus(answer.Status),
		ContentType:     answer.ContentType,
		Body:            answer.Body,
		RepeatedOutcome: answer.Repeated,
	}
}

// decodeResult returns the answer or error in a response. An unknown error code
// becomes CodeInternal.
func decodeResult(response *peerv1.RunOnceResponse) (flamingodoor.ServiceAnswer, error) {
	state := decodeRunState(response.GetRunState())
	if response.GetErrorCode() == "" && state == flamingodoor.RunStateRan {
		return flamingodoor.ServiceAnswer{
			Status:      int(response.GetStatus()),
			ContentType: response.GetContentType(),
			Body:        response.GetBody(),
			Repeated:    response.GetRepeatedOutcome(),
		}, nil
	}
	code, err := flamingodoor.CodeString(response.GetErrorCode())
	if err != nil {
		code = flamingodoor.CodeInternal
	}
	return flamingodoor.ServiceAnswer{}, flamingodoor.NewError(code, state, flamingodoor.Errorf(code, "%s", response.GetErrorMessage()))
}

func encodeRunState(state flamingodoor.RunState) peerv1.RunState {
	switch state {
	case flamingodoor.RunStateNotRun:
		return peerv1.RunState_RUN_STATE_NOT_RUN
	case flamingodoor.RunStateRan:
		return peerv1.RunState_RUN_STATE_RAN
	default:
		return peerv1.RunState_RUN_STATE_MAY_HAVE_RUN
	}
}

// decodeRunState maps unknown values to RunStateMayHaveRun.
func decodeRunState(state peerv1.RunState) flamingodoor.RunState {
	switch state {
	case peerv1.RunState_RUN_STATE_NOT_RUN:
		return flamingodoor.RunStateNotRun
	case peerv1.RunState_RUN_STATE_RAN:
		return flamingodoor.RunStateRan
	default:
		return flamingodoor.RunStateMayHaveRun
	}
}

// encodeStatus returns 0 for a status outside 0 to 65535.
func encodeStatus(status int) uint32 {
	if status < 0 || status > math.MaxUint16 {
		return 0
	}
	return uint32(status)
}
