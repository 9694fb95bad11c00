package standinplatform

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"flamingodoor.example/flamingodoor"
	platformv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/platform/v1"
)

type appendFault int

const (
	appendFaultNone appendFault = iota
	appendFaultLoseAnswer
	appendFaultLate
)

// faults is what FaultService has set.
type faults struct {
	mu          sync.Mutex
	outage      bool
	outageBegan chan struct{} // closed while an outage lasts
	delay       time.Duration
	loseAnswers uint32
	lateAppends uint32
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

// takeAppendFault consumes the fault of the next append.
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

// intercept applies outage and delay to every call.
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

// Set replaces all faults; a trim takes effect once.
func (s *faultService) Set(_ context.Context, request *connect.Request[platformv1.SetRequest]) (*connect.Response[platformv1.SetResponse], error) {
	s.faults.set(request.Msg)
	if stream := request.Msg.GetTrimStream(); stream != "" {
		s.log.trim(stream, request.Msg.GetTrimBefore())
	}
	return connect.NewResponse(&platformv1.SetResponse{}), nil
}
