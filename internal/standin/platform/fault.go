package standinplatform

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"flamingodoor.example/flamingodoor"
	platformv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/platform/v1"
)

// appendFault is the injected fault of one append.
type appendFault int

const (
	appendFaultNone       appendFault = iota
	appendFaultLoseAnswer             // takes effect, then fails
	appendFaultLate                   // fails, then takes effect
)

// faults holds the faults that FaultService has set.
type faults struct {
	mu          sync.Mutex
	outage      bool
	outageBegan chan struct{} // closed while an outage lasts
	delay       time.Duration
	loseAnswers uint32 // next appends that take effect and then fail
	lateAppends uint32 // next appends that fail and take effect after lateBy
	lateBy      time.Duration
}

func newFaults() *faults {
	return &faults{outageBegan: make(chan struct{})}
}

// set replaces all faults.
func (f *faults) set(request *platformv1.SetRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if request.GetOutage() != f.outage {
		if request.GetOutage() {
			close(f.outageBegan)
		} else {
			f.outageBegan = make(chan struct{})
		}
	}
	f.outage = request.GetOutage()
	f.delay = request.GetDelay().AsDuration()
	f.loseAnswers = request.GetLoseAnswers()
	f.lateAppends = request.GetLateAppends()
	f.lateBy = request.GetLateBy().AsDuration()
}

// outageSignal returns a channel that is closed while an outage lasts.
func (f *faults) outageSignal() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outageBegan
}

// takeAppendFault returns the fault of the next append, with the delay of a late
// one, and counts it as used.
func (f *faults) takeAppendFault() (appendFault, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.loseAnswers > 0:
		f.loseAnswers--
		return appendFaultLoseAnswer, 0
	case f.lateAppends > 0:
		f.lateAppends--
		return appendFaultLate, f.lateBy
	default:
		return appendFaultNone, 0
	}
}

// intercept delays every call and fails it during an outage.
func (f *faults) intercept(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, request connect.AnyRequest) (connect.AnyResponse, error) {
		f.mu.Lock()
		delay := f.delay
		f.mu.Unlock()
		if delay > 0 {
			select {
			case <-time.After(delay):
			case <-f.outageSignal():
			case <-ctx.Done():
				return nil, connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
			}
		}
		select {
		case <-f.outageSignal():
			return nil, unavailable("injected outage")
		default:
			return next(ctx, request)
		}
	}
}

func unavailable(reason string) error {
	return connect.NewError(connect.CodeUnavailable, flamingodoor.Errorf(flamingodoor.CodeLogUnavailable, "%s", reason))
}

type faultService struct {
	faults *faults
	log    *logService
}

// Set replaces all faults. A trim is applied once, at this call.
func (s *faultService) Set(_ context.Context, request *connect.Request[platformv1.SetRequest]) (*connect.Response[platformv1.SetResponse], error) {
	s.faults.set(request.Msg)
	if stream := request.Msg.GetTrimStream(); stream != "" {
		s.log.trim(stream, request.Msg.GetTrimBefore())
	}
	return connect.NewResponse(&platformv1.SetResponse{}), nil
}
