// Package operator serves the operators' RPC: commands that change the
// configuration and queries that only read.
package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"net/http"
	"strings"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/timestamppb"

	"flamingodoor.example/flamingodoor"
	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
	"flamingodoor.example/flamingodoor/internal/freshness"
)

// Headers of a failed call that carry the typed code and the run state.
const (
	ErrorCodeHeader = "X-Error-Code"
	RunStateHeader  = "X-Run-State"
)

// authenticator compares bearer tokens. Without a token it admits every caller.
type authenticator struct {
	needed bool
	token  [sha256.Size]byte
}

func newAuthenticator(token string) authenticator {
	return authenticator{needed: true, token: sha256.Sum256([]byte(token))}
}

// check compares hashes in constant time, so that neither the token nor its
// length shows in the duration of a call.
func (a authenticator) check(header http.Header) error {
	if !a.needed {
		return nil
	}
	scheme, token, _ := strings.Cut(header.Get("Authorization"), " ")
	given := sha256.Sum256([]byte(strings.TrimSpace(token)))
	if !strings.EqualFold(scheme, "Bearer") || token == "" ||
		subtle.ConstantTimeCompare(given[:], a.token[:]) != 1 {
		return connectError(flamingodoor.Errorf(flamingodoor.CodeUnauthenticated,
			"the call needs the operators' bearer token"))
	}
	return nil
}

// rejection is the error of a command that the state machine did not accept.
// The verdict is its detail.
func rejection(verdict *recordv1.Verdict) error {
	code := flamingodoor.CodeInvalidConfiguration
	switch verdict.GetCode() {
	case recordv1.VerdictCode_VERDICT_CODE_CONFLICT:
		code = flamingodoor.CodeConflict
	case recordv1.VerdictCode_VERDICT_CODE_UNREADABLE:
		code = flamingodoor.CodeUnreadableRecord
	default:
	}
	failure := connectError(flamingodoor.Errorf(code, "%s: %s", verdict.GetObject(), verdict.GetReason()))
	if detail, err := connect.NewErrorDetail(verdict); err == nil {
		failure.AddDetail(detail)
	}
	return failure
}

func connectError(err error) *connect.Error {
	var already *connect.Error
	if errors.As(err, &already) {
		return already
	}
	failure := connect.NewError(connectCode(err), err)
	failure.Meta().Set(ErrorCodeHeader, flamingodoor.CodeOf(err).String())
	failure.Meta().Set(RunStateHeader, flamingodoor.RunStateOf(err).String())
	return failure
}

func connectCode(err error) connect.Code {
	switch flamingodoor.CodeOf(err) {
	case flamingodoor.CodeInvalidRequest:
		return connect.CodeInvalidArgument
	case flamingodoor.CodeUnauthenticated:
		return connect.CodeUnauthenticated
	case flamingodoor.CodeConflict:
		return connect.CodeAborted
	case flamingodoor.CodeInvalidConfiguration, flamingodoor.CodeUnreadableRecord, flamingodoor.CodeFutureRecord:
		return connect.CodeFailedPrecondition
	case flamingodoor.CodeLogUnavailable, flamingodoor.CodeNoMajority, flamingodoor.CodeStopping:
		return connect.CodeUnavailable
	case flamingodoor.CodeDeadlineExceeded:
		return connect.CodeDeadlineExceeded
	default:
	}
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return connect.CodeDeadlineExceeded
	case errors.Is(err, context.Canceled):
		return connect.CodeCanceled
	default:
		return connect.CodeInternal
	}
}

// inForceAt is the time at which every lease from before the acceptance has
// expired.
func inForceAt(accepted time.Time) *timestamppb.Timestamp {
	return timestamppb.New(accepted.Add(freshness.LeaseDuration))
}
