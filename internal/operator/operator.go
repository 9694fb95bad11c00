// Package operator implements the RPC for operators: commands that change the
// configuration and queries that read it and the state of the deployment.
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

// Headers of a failed call.
const (
	ErrorCodeHeader = "X-Error-Code" // flamingodoor.Code
	RunStateHeader  = "X-Run-State"  // flamingodoor.RunState
)

// authenticator checks the bearer token of operators. The zero value accepts
// every caller.
type authenticator struct {
	required bool
	hash     [sha256.Size]byte // of the token
}

func newAuthenticator(token string) authenticator {
	return authenticator{required: true, hash: sha256.Sum256([]byte(token))}
}

// check returns an error unless the header contains the token. It compares hashes
// in constant time, so that the duration of a call reveals neither the token nor
// its length.
func (a authenticator) check(header http.Header) error {
	if !a.required {
		return nil
	}
	scheme, token, _ := strings.Cut(header.Get("Authorization"), " ")
	presented := sha256.Sum256([]byte(strings.TrimSpace(token)))
	if !strings.EqualFold(scheme, "Bearer") || token == "" ||
		subtle.ConstantTimeCompare(presented[:], a.hash[:]) != 1 {
		return connectError(flamingodoor.Errorf(flamingodoor.CodeUnauthenticated,
			"call does not have the operators' bearer token"))
	}
	return nil
}

// rejection returns the error of a command that the state machine rejected. The
// verdict is attached as an error detail.
func rejection(verdict *recordv1.Verdict) error {
	code := flamingodoor.CodeInvalidConfiguration
	switch verdict.GetCode() {
	case recordv1.VerdictCode_VERDICT_CODE_CONFLICT:
		code = flamingodoor.CodeConflict
	case recordv1.VerdictCode_VERDICT_CODE_UNREADABLE:
		code = flamingodoor.CodeUnreadableRecord
	default:
	}
	converted := connectError(flamingodoor.Errorf(code, "%s: %s", verdict.GetObject(), verdict.GetReason()))
	if detail, err := connect.NewErrorDetail(verdict); err == nil {
		converted.AddDetail(detail)
	}
	return converted
}

// connectError converts an error to a connect error with a matching code and
// the headers of a failed call. Connect errors are returned unchanged.
func connectError(err error) *connect.Error {
	var existing *connect.Error
	if errors.As(err, &existing) {
		return existing
	}
	converted := connect.NewError(connectCode(err), err)
	converted.Meta().Set(ErrorCodeHeader, flamingodoor.CodeOf(err).String())
	converted.Meta().Set(RunStateHeader, flamingodoor.RunStateOf(err).String())
	return converted
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

// inForceAt returns the time at which every lease that was granted before the
// acceptance has expired. From then on all hosts apply the change.
func inForceAt(accepted time.Time) *timestamppb.Timestamp {
	return timestamppb.New(accepted.Add(freshness.LeaseDuration))
}
