package standinplatform

import (
	"context"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/types/known/durationpb"

	"flamingodoor.example/flamingodoor"
	platformv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/platform/v1"
)

const (
	maxRecordBytes = 4 << 20
	maxPageBytes   = 8 << 20
	maxPageRecords = 1000
	maxWait        = 30 * time.Second
)

type logEntry struct {
	offset   uint64
	data     []byte
	appended time.Time
}

type logStream struct {
	entries []logEntry
	next    uint64        // offset of the next append
	changed chan struct{} // closed and replaced by every append
}

// logService is a log whose records expire after the retention.
type logService struct {
	retention time.Duration
	limiter   *rate.Limiter
	faults    *faults

	mu      sync.Mutex
	streams map[string]*logStream
}

func newLogService(retention time.Duration, appendRate float64, injected *faults) *logService {
	limiter := rate.NewLimiter(rate.Inf, 1)
	if appendRate > 0 {
		// The burst is the appends of a tenth of a second.
		limiter = rate.NewLimiter(rate.Limit(appendRate), max(1, int(appendRate/10)))
	}
	return &logService{retention: retention, limiter: limiter, faults: injected, streams: map[string]*logStream{}}
}

// Append adds a record. With an injected fault it returns an error although the
// record is added, at once or later.
func (s *logService) Append(ctx context.Context, request *connect.Request[platformv1.AppendRequest]) (*connect.Response[platformv1.AppendResponse], error) {
	name, data := request.Msg.GetStream(), request.Msg.GetData()
	if name == "" || len(data) > maxRecordBytes {
		return nil, connect.NewError(connect.CodeInvalidArgument,
			flamingodoor.Errorf(flamingodoor.CodeInvalidRequest, "an append needs a stream and at most %d bytes", maxRecordBytes))
	}
	if err := s.limiter.Wait(ctx); err != nil {
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	}
	fault, lateBy := s.faults.takeAppendFault()
	switch fault {
	case appendFaultLoseAnswer:
		s.add(name, data)
		return nil, unavailable("injected loss of the answer")
	case appendFaultLate:
		time.AfterFunc(lateBy, func() { s.add(name, data) })
		return nil, unavailable("injected late append")
	default:
		return connect.NewResponse(&platformv1.AppendResponse{Offset: s.add(name, data)}), nil
	}
}

// Read returns the retained records from an offset on. If there are none, it waits
// for the next append.
func (s *logService) Read(ctx context.Context, request *connect.Request[platformv1.ReadRequest]) (*connect.Response[platformv1.ReadResponse], error) {
	wait := min(request.Msg.GetWait().AsDuration(), maxWait)
	timer := time.NewTimer(max(wait, 0))
	defer timer.Stop()
	for {
		response, changed := s.page(request.Msg)
		if len(response.GetEntries()) > 0 || wait <= 0 {
			return connect.NewResponse(response), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-s.faults.outageSignal():
			return nil, unavailable("injected outage")
		case <-ctx.Done():
			return nil, connect.NewError(connect.CodeDeadlineExceeded, ctx.Err())
		}
	}
}

// page returns the records that one answer holds, and a channel that the next
// append closes.
func (s *logService) page(request *platformv1.ReadRequest) (*platformv1.ReadResponse, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stream := s.stream(request.GetStream())
	stream.trimOlder(time.Now().Add(-s.retention))
	response := &platformv1.ReadResponse{
		First: stream.first(), Next: stream.next, Retention: durationpb.New(s.retention),
	}
	limit := int(request.GetMaxRecords())
	if limit <= 0 || limit > maxPageRecords {
		limit = maxPageRecords
	}
	size := 0
	for _, entry := range stream.entries {
		if entry.offset < request.GetFrom() {
			continue
		}
		size += len(entry.data)
		if len(response.GetEntries()) == limit || (size > maxPageBytes && len(response.GetEntries()) > 0) {
			break
		}
		response.Entries = append(response.Entries, &platformv1.Entry{Offset: entry.offset, Data: entry.data})
	}
	return response, stream.changed
}

// add appends a record and returns its offset.
func (s *logService) add(name string, data []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	stream := s.stream(name)
	offset := stream.next
	stream.entries = append(stream.entries, logEntry{offset: offset, data: slices.Clone(data), appended: time.Now()})
	stream.next++
	stream.trimOlder(time.Now().Add(-s.retention))
	close(stream.changed)
	stream.changed = make(chan struct{})
	return offset
}

// trim deletes the records before an offset.
func (s *logService) trim(name string, before uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stream := s.stream(name)
	stream.entries = slices.DeleteFunc(stream.entries, func(entry logEntry) bool { return entry.offset < before })
}

// stream returns a stream, which it creates if necessary. The caller holds the
// lock.
func (s *logService) stream(name string) *logStream {
	stream, ok := s.streams[name]
	if !ok {
		stream = &logStream{next: 1, changed: make(chan struct{})}
		s.streams[name] = stream
	}
	return stream
}

// first returns the offset of the oldest retained record, or of the next append if
// there is none.
func (l *logStream) first() uint64 {
	if len(l.entries) == 0 {
		return l.next
	}
	return l.entries[0].offset
}

// trimOlder deletes the records that were appended before a time.
func (l *logStream) trimOlder(oldest time.Time) {
	expired := 0
	for expired < len(l.entries) && l.entries[expired].appended.Before(oldest) {
		expired++
	}
	l.entries = slices.Delete(l.entries, 0, expired)
}
