package standinplatform

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"flamingodoor.example/flamingodoor"
	platformv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/platform/v1"
)

// announcement is a change of the host list that is not visible yet.
type announcement struct {
	host      *platformv1.AnnounceRequest
	visibleAt time.Time
}

// hostService is a host list that shows an announcement after a lag.
type hostService struct {
	lag time.Duration

	mu      sync.Mutex
	pending []announcement
	listed  map[string]bool // by host identifier; true if the host is leaving
}

// List returns the visible hosts sorted by identifier.
func (s *hostService) List(context.Context, *connect.Request[platformv1.ListRequest]) (*connect.Response[platformv1.ListResponse], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for len(s.pending) > 0 && !s.pending[0].visibleAt.After(now) {
		host := s.pending[0].host
		s.pending = s.pending[1:]
		if host.GetGone() {
			delete(s.listed, host.GetHostId())
			continue
		}
		s.listed[host.GetHostId()] = host.GetLeaving()
	}
	response := &platformv1.ListResponse{}
	for _, id := range slices.Sorted(maps.Keys(s.listed)) {
		response.Hosts = append(response.Hosts, &platformv1.Host{HostId: id, Leaving: s.listed[id]})
	}
	return connect.NewResponse(response), nil
}

// Announce adds, changes or removes a host in the list after the lag.
func (s *hostService) Announce(_ context.Context, request *connect.Request[platformv1.AnnounceRequest]) (*connect.Response[platformv1.AnnounceResponse], error) {
	if request.Msg.GetHostId() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument,
			flamingodoor.Errorf(flamingodoor.CodeInvalidRequest, "the announcement has no host identifier"))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, announcement{host: request.Msg, visibleAt: time.Now().Add(s.lag)})
	return connect.NewResponse(&platformv1.AnnounceResponse{}), nil
}

// weightService schedules the transfers of weights one after the other.
type weightService struct {
	bytesPerSecond uint64 // 0 for no limit

	mu     sync.Mutex
	freeAt time.Time // end of the last scheduled transfer
}

// Reserve schedules a transfer after all earlier ones and returns the time until
// it can start.
func (s *weightService) Reserve(_ context.Context, request *connect.Request[platformv1.ReserveRequest]) (*connect.Response[platformv1.ReserveResponse], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	startAfter := s.freeAt.Sub(now)
	if s.bytesPerSecond > 0 {
		seconds := float64(request.Msg.GetBytes()) / float64(s.bytesPerSecond)
		s.freeAt = s.freeAt.Add(time.Duration(seconds * float64(time.Second)))
	}
	return connect.NewResponse(&platformv1.ReserveResponse{StartAfter: durationpb.New(startAfter)}), nil
}
