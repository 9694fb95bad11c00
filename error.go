package flamingodoor

import (
	"errors"

	"github.com/samber/oops"
)

// RunState records whether a failed request ran at an endpoint.
type RunState int

// Run states.
const (
	RunStateNotRun RunState = iota + 1
	RunStateMayHaveRun
	RunStateRan
)

// Code is the type of a failure.
type Code int

// Failure codes.
const (
	CodeInternal Code = iota + 1
	CodeInvalidRequest
	CodeUnauthenticated
	CodeNotAllowed
	CodeUnknownModel
	CodeUnknownService
	CodeTooLarge
	CodeNotFresh // the host's configuration may be out of date
	CodeStopping
	CodeOverloaded
	CodeNoEndpoint
	CodeDeadlineExceeded
	CodeEndpointFailed
	CodeStreamLost
	CodePoisonRequest // the request was in flight at repeated endpoint crashes
	CodeKeyRequired
	CodeKeyInvalid
	CodeKeyExpired
	CodeKeyReused
	CodeOutcomeUnknown // it is not known whether a call with this idempotency key ran
	CodeLogUnavailable
	CodeConflict
	CodeInvalidConfiguration
	CodeUnreadableRecord
	CodeFutureRecord // the record has a version that this build does not know
	CodePermitDenied
	CodeOrderRefused
	CodeNoMajority
	CodeTrimmed // the log no longer keeps the requested records
	CodeStoreUnavailable
	CodeInvalidSettings
	CodeProtocol
)

// Error is an error with a code and, for requests, a run state.
type Error struct {
	Code     Code
	RunState RunState
	cause    error
}

// Errorf returns an error with RunStateNotRun and a formatted cause.
func Errorf(code Code, format string, args ...any) *Error {
	return NewError(code, RunStateNotRun, oops.Code(code.String()).Errorf(format, args...))
}

// NewError returns an error that wraps the cause.
func NewError(code Code, state RunState, cause error) *Error {
	return &Error{Code: code, RunState: state, cause: oops.Code(code.String()).Wrap(cause)}
}

// Error returns the text of the cause, or the code if there is no cause.
func (e *Error) Error() string {
	if e.cause == nil {
		return e.Code.String()
	}
	return e.cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.cause
}

// CodeOf returns the code of the outermost Error in err, or CodeInternal if err
// wraps no Error.
func CodeOf(err error) Code {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Code
	}
	return CodeInternal
}

// RunStateOf returns the run state of the outermost Error in err, or
// RunStateMayHaveRun if err wraps no Error, since nothing proves that the
// request did not run.
func RunStateOf(err error) RunState {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.RunState
	}
	return RunStateMayHaveRun
}
