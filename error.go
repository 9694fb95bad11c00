package flamingodoor

import (
	"errors"

	"github.com/samber/oops"
)

// RunState tells whether a refused request ran.
type RunState int

// Run states.
const (
	RunStateNotRun RunState = iota + 1
	RunStateMayHaveRun
	RunStateRan
)

// Code is the type of a failure.
type Code int

// Codes of failures.
const (
	CodeInternal Code = iota + 1
	CodeInvalidRequest
	CodeUnauthenticated
	CodeNotAllowed
	CodeUnknownModel
	CodeUnknownService
	CodeTooLarge
	CodeNotFresh
	CodeStopping
	CodeOverloaded
	CodeNoEndpoint
	CodeDeadlineExceeded
	CodeEndpointFailed
	CodeStreamLost
	CodePoisonRequest
	CodeKeyRequired
	CodeKeyInvalid
	CodeKeyExpired
	CodeKeyReused
	CodeOutcomeUnknown
	CodeLogUnavailable
	CodeConflict
	CodeInvalidConfiguration
	CodeUnreadableRecord
	CodeFutureRecord
	CodePermitDenied
	CodeOrderRefused
	CodeNoMajority
	CodeTrimmed
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

// Errorf returns the error of a request that was not run.
func Errorf(code Code, format string, args ...any) *Error {
	return NewError(code, RunStateNotRun, oops.Code(code.String()).Errorf(format, args...))
}

// NewError wraps a cause.
func NewError(code Code, state RunState, cause error) *Error {
	return &Error{Code: code, RunState: state, cause: oops.Code(code.String()).Wrap(cause)}
}

// Error returns the text of the cause.
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

// CodeOf returns the code of the outermost Error in err, or CodeInternal.
func CodeOf(err error) Code {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.Code
	}
	return CodeInternal
}

// RunStateOf returns the run state of the outermost Error in err. An error
// of no such type may have run, since nothing proves otherwise.
func RunStateOf(err error) RunState {
	var typed *Error
	if errors.As(err, &typed) {
		return typed.RunState
	}
	return RunStateMayHaveRun
}
