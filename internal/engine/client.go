package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"flamingodoor.example/flamingodoor"
)

// Client sends requests to model engines. It is safe for concurrent use.
type Client struct {
	settings   settings
	http       *http.Client
	readClient *http.Client // keeps connections alive; nil without WithKeepAlive
}

var _ flamingodoor.EngineClient = (*Client)(nil)

// NewClient returns a Client with the given options.
func NewClient(options ...Option) *Client {
	s := newSettings(options)
	client := &Client{settings: s, http: newHTTPClient(s)}
	if s.keepAlive {
		client.readClient = newReadClient(s)
	}
	return client
}

type reportBody struct {
	Incarnation   string                     `json:"incarnation"`
	State         flamingodoor.EndpointState `json:"state"`
	InFlight      int                        `json:"in_flight"`
	GroupID       string                     `json:"group_id"`
	FencingNumber uint64                     `json:"fencing_number"`
	MemberIndex   int                        `json:"member_index"`
	Model         string                     `json:"model"`
	Version       string                     `json:"version"`
	Adapters      []string                   `json:"adapters"`
	CacheSeq      uint64                     `json:"cache_seq"`
}

type orderBody struct {
	FencingNumber uint64           `json:"fencing_number"`
	GroupID       string           `json:"group_id"`
	MemberIndex   int              `json:"member_index"`
	Members       []netip.AddrPort `json:"members"`
	Model         string           `json:"model"`
	Version       string           `json:"version"`
	Adapters      []string         `json:"adapters"`
	WeightBytes   uint64           `json:"weight_bytes"`
}

type cacheEventsBody struct {
	Events []struct {
		Seq        uint64 `json:"seq"`
		Kind       string `json:"kind"`
		PrefixHash uint64 `json:"prefix_hash"`
	} `json:"events"`
	Next  uint64 `json:"next"`
	First uint64 `json:"first"`
}

// Report reads the current report of an engine or a plain service.
func (c *Client) Report(ctx context.Context, endpoint flamingodoor.Endpoint) (flamingodoor.Report, error) {
	var body reportBody
	if err := c.getJSON(ctx, endpoint, "/v1/report", &body); err != nil {
		return flamingodoor.Report{}, err
	}
	return flamingodoor.Report{
		Incarnation: body.Incarnation, State: body.State, InFlight: body.InFlight,
		GroupID: body.GroupID, FencingNumber: body.FencingNumber, MemberIndex: body.MemberIndex,
		ModelID: body.Model, Version: body.Version, Adapters: body.Adapters, CacheSeq: body.CacheSeq,
	}, nil
}

// CacheEvents reads the events of the engine's prefix cache, beginning at the
// sequence number from.
func (c *Client) CacheEvents(ctx context.Context, endpoint flamingodoor.Endpoint, from uint64) (flamingodoor.CacheEvents, error) {
	var body cacheEventsBody
	if err := c.getJSON(ctx, endpoint, "/v1/cache_events?from="+strconv.FormatUint(from, 10), &body); err != nil {
		return flamingodoor.CacheEvents{}, err
	}
	events := flamingodoor.CacheEvents{First: body.First, Next: body.Next}
	for _, event := range body.Events {
		events.Events = append(events.Events, flamingodoor.CacheEvent{
			Seq: event.Seq, Stored: event.Kind == "stored", PrefixHash: event.PrefixHash,
		})
	}
	return events, nil
}

// Order sends an order to an engine. It fails with CodeDeadlineExceeded, and
// sends nothing, if the deadline of the order has passed when the connection is
// ready. An order without a deadline is refused.
func (c *Client) Order(ctx context.Context, endpoint flamingodoor.Endpoint, order flamingodoor.Order) error {
	if order.Deadline.IsZero() {
		return flamingodoor.Errorf(flamingodoor.CodeInvalidRequest, "order has no deadline")
	}
	data, err := json.Marshal(orderBody{
		FencingNumber: order.FencingNumber, GroupID: order.GroupID, MemberIndex: order.MemberIndex,
		Members: order.Members, Model: order.ModelID, Version: order.Version,
		Adapters: order.Adapters, WeightBytes: order.WeightBytes,
	})
	if err != nil {
		return flamingodoor.NewError(flamingodoor.CodeInternal, flamingodoor.RunStateNotRun, err)
	}
	status, _, err := c.exchange(ctx, http.MethodPost, endpoint, "/v1/orders", data, order.Deadline)
	if err != nil {
		return err
	}
	if !succeeded(status) {
		return statusError(status, flamingodoor.CodeOrderRefused)
	}
	return nil
}

// Cancel cancels an attempt. A nil error means that the engine does not run it
// any more.
func (c *Client) Cancel(ctx context.Context, endpoint flamingodoor.Endpoint, requestID string, attempt int) error {
	path := "/v1/requests/" + url.PathEscape(requestID) + "?attempt=" + strconv.Itoa(attempt)
	status, _, err := c.exchange(ctx, http.MethodDelete, endpoint, path, nil, time.Time{})
	if err != nil {
		return err
	}
	if !succeeded(status) && status != http.StatusNotFound {
		return statusError(status, flamingodoor.CodeEndpointFailed)
	}
	return nil
}

// getJSON reads the JSON document at path into target.
func (c *Client) getJSON(ctx context.Context, endpoint flamingodoor.Endpoint, path string, target any) error {
	status, data, err := c.read(ctx, endpoint, path)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return statusError(status, flamingodoor.CodeEndpointFailed)
	}
	if err := json.Unmarshal(data, target); err != nil {
		err = flamingodoor.Errorf(flamingodoor.CodeEndpointFailed, "decode the response to GET %s: %w", path, err)
		return flamingodoor.NewError(flamingodoor.CodeEndpointFailed, flamingodoor.RunStateMayHaveRun, err)
	}
	return nil
}

// read makes a GET request and returns the status and the body of the response.
// It uses a kept-alive connection if the client has WithKeepAlive.
func (c *Client) read(ctx context.Context, endpoint flamingodoor.Endpoint, path string) (int, []byte, error) {
	if c.readClient == nil {
		return c.exchange(ctx, http.MethodGet, endpoint, path, nil, time.Time{})
	}
	ctx, cancel := context.WithTimeout(ctx, c.settings.requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL(endpoint)+path, http.NoBody)
	if err != nil {
		return 0, nil, flamingodoor.NewError(flamingodoor.CodeInvalidRequest, flamingodoor.RunStateNotRun, err)
	}
	// Without an empty value net/http sends its own User-Agent.
	request.Header.Set("User-Agent", "")
	response, err := c.readClient.Do(request)
	if err != nil {
		return 0, nil, flamingodoor.NewError(flamingodoor.CodeEndpointFailed, flamingodoor.RunStateMayHaveRun, err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := readBounded(response.Body, c.settings.maxResponseBytes)
	return response.StatusCode, data, err
}

// exchange makes a request on a new connection and returns the status and the
// body of the response. It sends nothing if the deadline is set and has passed
// when the connection is ready.
func (c *Client) exchange(ctx context.Context, method string, endpoint flamingodoor.Endpoint, path string, body []byte, deadline time.Time) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.requestTimeout)
	defer cancel()
	request, err := newRequest(ctx, method, baseURL(endpoint)+path, body)
	if err != nil {
		return 0, nil, err
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	guard := &sendGuard{now: c.settings.now, deadline: deadline}
	response, err := send(ctx, c.http, guard, request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := readBounded(response.Body, c.settings.maxResponseBytes)
	return response.StatusCode, data, err
}

func baseURL(endpoint flamingodoor.Endpoint) string {
	return "http://" + endpoint.Address.String()
}

// succeeded reports whether the HTTP status is a 2xx status.
func succeeded(status int) bool {
	return status >= 200 && status < 300
}
