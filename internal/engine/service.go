package engine

import (
	"context"
	"errors"
	"net/http"
	"net/url"

	"flamingodoor.example/flamingodoor"
)

// Headers of calls to plain services. net/http may retry a request that has the
// header Idempotency-Key or X-Idempotency-Key, so the key has another name.
const (
	headerRequestID = "X-Request-Id"
	headerClubID    = "X-Club-Id"
	headerCallKey   = "X-Call-Key"
)

// ServiceClient sends calls to plain services.
type ServiceClient struct {
	settings settings
	http     *http.Client
}

var _ flamingodoor.ServiceClient = (*ServiceClient)(nil)

// NewServiceClient returns a ServiceClient with the given options.
func NewServiceClient(options ...Option) *ServiceClient {
	s := newSettings(options)
	return &ServiceClient{settings: s, http: newHTTPClient(s)}
}

// Call sends a call once. It returns every complete response, whatever its
// status, because no status of a plain service proves that the call was not
// run.
func (c *ServiceClient) Call(ctx context.Context, endpoint flamingodoor.Endpoint, call flamingodoor.ServiceCall) (flamingodoor.ServiceAnswer, error) {
	target, err := url.ParseRequestURI(call.Path)
	if err != nil || target.IsAbs() || target.Host != "" {
		return flamingodoor.ServiceAnswer{}, flamingodoor.Errorf(flamingodoor.CodeInvalidRequest, "call path %q is not an absolute path", call.Path)
	}
	if !call.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, call.Deadline)
		defer cancel()
	}
	request, err := newRequest(ctx, call.Method, baseURL(endpoint)+call.Path, call.Body)
	if err != nil {
		return flamingodoor.ServiceAnswer{}, err
	}
	setHeaders(request.Header, call)
	guard := &sendGuard{now: c.settings.now, deadline: call.Deadline}
	response, err := send(ctx, c.http, guard, request)
	if err != nil {
		return flamingodoor.ServiceAnswer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := readBounded(response.Body, c.settings.maxResponseBytes)
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			err = flamingodoor.NewError(flamingodoor.CodeDeadlineExceeded, flamingodoor.RunStateMayHaveRun, err)
		}
		return flamingodoor.ServiceAnswer{}, err
	}
	return flamingodoor.ServiceAnswer{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}

func setHeaders(header http.Header, call flamingodoor.ServiceCall) {
	header.Set(headerRequestID, call.RequestID)
	header.Set(headerClubID, call.ClubID)
	if call.IdempotencyKey != "" {
		header.Set(headerCallKey, call.IdempotencyKey)
	}
	if call.ContentType != "" {
		header.Set("Content-Type", call.ContentType)
	}
}
