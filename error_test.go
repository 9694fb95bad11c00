package flamingodoor_test

import (
	"io"
	"testing"

	"github.com/samber/oops"
	"gotest.tools/v3/assert"

	"flamingodoor.example/flamingodoor"
)

// Guards against a wrapped error losing its code or its run state.
func TestErrorKeepsCodeThroughWrapping(t *testing.T) {
	failure := flamingodoor.NewError(flamingodoor.CodeStreamLost, flamingodoor.RunStateRan, io.ErrUnexpectedEOF)
	wrapped := oops.With("attempt", 2).Wrap(failure)

	assert.Equal(t, flamingodoor.CodeOf(wrapped), flamingodoor.CodeStreamLost)
	assert.Equal(t, flamingodoor.RunStateOf(wrapped), flamingodoor.RunStateRan)
	assert.ErrorIs(t, wrapped, io.ErrUnexpectedEOF)
}

// Guards against an untyped error being reported as not run.
func TestUntypedErrorMayHaveRun(t *testing.T) {
	assert.Equal(t, flamingodoor.RunStateOf(io.EOF), flamingodoor.RunStateMayHaveRun)
	assert.Equal(t, flamingodoor.CodeOf(io.EOF), flamingodoor.CodeInternal)
}
