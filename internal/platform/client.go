// Package platform provides clients of the platform's services: the log, the host
// list and the store of model weights.
package platform

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/types/known/durationpb"

	"flamingodoor.example/flamingodoor"
	platformv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/platform/v1"
	"flamingodoor.example/flamingodoor/gen/flamingodoor/platform/v1/platformv1connect"
)

const (
	dialTimeout        = 2 * time.Second
	idleTimeout        = 30 * time.Second
	idleConnections    = 8
	defaultCallTimeout = 5 * time.Second
	maxPageRecords     = 10_000
	maxResponseBytes   = 32 << 20
)

type settings struct {
	httpClient  connect.HTTPClient
	callTimeout time.Duration
}

// Option changes a default of a client.
type Option func(*settings)

// WithHTTPClient sets the HTTP client that sends the calls.
func WithHTTPClient(client connect.HTTPClient) Option {
	return func(s *settings) { s.httpClient = client }
}

// WithCallTimeout sets the timeout of each call. For a read it is added to the
// wait at the tail.
func WithCallTimeout(timeout time.Duration) Option {
	return func(s *settings) { s.callTimeout = timeout }
}

// newSettings applies the options. The default HTTP client uses HTTP/1, where a
// call that times out also closes its connection, so that the next call does not
// reuse a connection that no longer carries data.
func newSettings(options []Option) settings {
	s := settings{callTimeout: defaultCallTimeout}
	for _, option := range options {
		option(&s)
	}
	if s.httpClient == nil {
		s.httpClient = &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     idleTimeout,
		}}
	}
	return s
}

func baseURL(address netip.AddrPort) string {
	return "http://" + address.String()
}

// Log is the client of the platform's log.
type Log struct {
	client      platformv1connect.LogServiceClient
	callTimeout time.Duration
}

var _ flamingodoor.Log = (*Log)(nil)

// NewLog returns a client of the log at the address.
func NewLog(address netip.AddrPort, options ...Option) *Log {
	s := newSettings(options)
	return &Log{
		client: platformv1connect.NewLogServiceClient(s.httpClient, baseURL(address),
			connect.WithReadMaxBytes(maxResponseBytes)),
		callTimeout: s.callTimeout,
	}
}

// Append appends a record to a stream and returns its offset. Errors have
// CodeLogUnavailable; the record may still appear in the stream afterwards.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, l.callTimeout)
	defer cancel()
	response, err := l.client.Append(ctx, connect.NewRequest(&platformv1.AppendRequest{Stream: stream, Data: data}))
	if err != nil {
		return 0, flamingodoor.NewError(flamingodoor.CodeLogUnavailable, flamingodoor.RunStateMayHaveRun, err)
	}
	return response.Msg.GetOffset(), nil
}

// Read returns records from an offset on. At the tail it waits for new records
// until the given time. If the log no longer keeps the record at that offset, the
// error has CodeTrimmed and the page holds no records, but the bounds of the
// retained offsets. Other errors have CodeLogUnavailable.
func (l *Log) Read(ctx context.Context, stream string, from uint64, limit int, until time.Time) (flamingodoor.LogPage, error) {
	wait := max(time.Until(until), 0)
	ctx, cancel := context.WithTimeout(ctx, wait+l.callTimeout)
	defer cancel()
	response, err := l.client.Read(ctx, connect.NewRequest(&platformv1.ReadRequest{
		Stream: stream, From: from, MaxRecords: uint32(min(max(limit, 0), maxPageRecords)), Wait: durationpb.New(wait),
	}))
	if err != nil {
		return flamingodoor.LogPage{}, notRun(err)
	}
	page := flamingodoor.LogPage{
		First:     response.Msg.GetFirst(),
		Next:      response.Msg.GetNext(),
		Retention: response.Msg.GetRetention().AsDuration(),
	}
	if max(from, 1) < page.First {
		return page, flamingodoor.Errorf(flamingodoor.CodeTrimmed,
			"stream %s keeps records from offset %d on, but offset %d was requested", stream, page.First, from)
	}
	page.Entries = make([]flamingodoor.LogEntry, 0, len(response.Msg.GetEntries()))
	for _, entry := range response.Msg.GetEntries() {
		page.Entries = append(page.Entries, flamingodoor.LogEntry{Offset: entry.GetOffset(), Data: entry.GetData()})
	}
	return page, nil
}

// HostList is the client of the platform's host list.
type HostList struct {
	client      platformv1connect.HostListServiceClient
	callTimeout time.Duration
}

var _ flamingodoor.HostList = (*HostList)(nil)

// NewHostList returns a client of the host list at the address.
func NewHostList(address netip.AddrPort, options ...Option) *HostList {
	s := newSettings(options)
	return &HostList{
		client:      platformv1connect.NewHostListServiceClient(s.httpClient, baseURL(address)),
		callTimeout: s.callTimeout,
	}
}

// Hosts returns the listed hosts. Errors have CodeLogUnavailable.
func (h *HostList) Hosts(ctx context.Context) ([]flamingodoor.PlatformHost, error) {
	ctx, cancel := context.WithTimeout(ctx, h.callTimeout)
	defer cancel()
	response, err := h.client.List(ctx, connect.NewRequest(&platformv1.ListRequest{}))
	if err != nil {
		return nil, notRun(err)
	}
	hosts := make([]flamingodoor.PlatformHost, 0, len(response.Msg.GetHosts()))
	for _, host := range response.Msg.GetHosts() {
		hosts = append(hosts, flamingodoor.PlatformHost{ID: host.GetHostId(), Leaving: host.GetLeaving()})
	}
	return hosts, nil
}

// Announce reports to the platform that a host is live, leaving or gone. Errors
// have CodeLogUnavailable; the announcement may still take effect.
func (h *HostList) Announce(ctx context.Context, hostID string, leaving, gone bool) error {
	ctx, cancel := context.WithTimeout(ctx, h.callTimeout)
	defer cancel()
	_, err := h.client.Announce(ctx, connect.NewRequest(&platformv1.AnnounceRequest{
		HostId: hostID, Leaving: leaving, Gone: gone,
	}))
	if err != nil {
		return flamingodoor.NewError(flamingodoor.CodeLogUnavailable, flamingodoor.RunStateMayHaveRun, err)
	}
	return nil
}

// WeightStore is the client of the store of model weights.
type WeightStore struct {
	client      platformv1connect.WeightServiceClient
	callTimeout time.Duration
}

var _ flamingodoor.WeightStore = (*WeightStore)(nil)

// NewWeightStore returns a client of the weight store at the address.
func NewWeightStore(address netip.AddrPort, options ...Option) *WeightStore {
	s := newSettings(options)
	return &WeightStore{
		client:      platformv1connect.NewWeightServiceClient(s.httpClient, baseURL(address)),
		callTimeout: s.callTimeout,
	}
}

// Reserve reserves a transfer and returns the earliest time at which it can
// start. The answer of the store holds the time until the start, which is counted
// from the arrival of the answer. Errors have CodeLogUnavailable; the transfer
// may still have been reserved.
func (w *WeightStore) Reserve(ctx context.Context, endpointID string, bytes uint64) (time.Time, error) {
	ctx, cancel := context.WithTimeout(ctx, w.callTimeout)
	defer cancel()
	response, err := w.client.Reserve(ctx, connect.NewRequest(&platformv1.ReserveRequest{EndpointId: endpointID, Bytes: bytes}))
	if err != nil {
		return time.Time{}, flamingodoor.NewError(flamingodoor.CodeLogUnavailable, flamingodoor.RunStateMayHaveRun, err)
	}
	return time.Now().Add(response.Msg.GetStartAfter().AsDuration()), nil
}

// notRun returns the error with CodeLogUnavailable and RunStateNotRun.
func notRun(err error) error {
	return flamingodoor.NewError(flamingodoor.CodeLogUnavailable, flamingodoor.RunStateNotRun, err)
}
