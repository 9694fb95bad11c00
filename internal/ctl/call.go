package ctl

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"flamingodoor.example/flamingodoor/gen/flamingodoor/operator/v1/operatorv1connect"
)

const (
	// maxAttemptTimeout bounds one call to one server. It exceeds the 10 s to
	// which a server bounds a command.
	maxAttemptTimeout = 12 * time.Second
	retryInterval     = 1 * time.Second
	// minAttemptTimeout is the shortest timeout of one call. A command is not
	// repeated if less time would remain after retryInterval.
	minAttemptTimeout = 100 * time.Millisecond
)

// clients combines the clients of both operator services.
type clients struct {
	operatorv1connect.CommandServiceClient
	operatorv1connect.QueryServiceClient
}

// call sends a message to the servers in turn until one answers. This is safe
// because commands carry an identifier that prevents a second execution, and
// queries change nothing.
func call[Request, Response any](
	a *app, message *Request,
	send func(clients, context.Context, *connect.Request[Request]) (*connect.Response[Response], error),
) (*Response, error) {
	servers, err := a.servers()
	if err != nil {
		return nil, err
	}
	for i, server := range servers {
		request := connect.NewRequest(message)
		if a.options.Token != "" {
			request.Header().Set("Authorization", "Bearer "+a.options.Token)
		}
		var response *connect.Response[Response]
		ctx, cancel := context.WithTimeout(a.ctx, a.attemptTimeout(len(servers)-i))
		response, err = send(clients{
			CommandServiceClient: operatorv1connect.NewCommandServiceClient(a.http, server),
			QueryServiceClient:   operatorv1connect.NewQueryServiceClient(a.http, server),
		}, ctx, request)
		cancel()
		if err == nil {
			return response.Msg, nil
		}
		if !shouldTryNext(err) || a.ctx.Err() != nil {
			return nil, err
		}
		if i < len(servers)-1 {
			a.warn("%s: %s; trying the next server", server, errorText(err))
		}
	}
	return nil, err
}

// attemptTimeout divides the remaining time equally among the servers that have
// not been tried.
func (a *app) attemptTimeout(remainingServers int) time.Duration {
	deadline, ok := a.ctx.Deadline()
	if !ok {
		return maxAttemptTimeout
	}
	return min(maxAttemptTimeout, max(minAttemptTimeout, time.Until(deadline)/time.Duration(remainingServers)))
}

// shouldTryNext reports whether another server might succeed. A rejection by the
// state machine of the configuration is the same on every server.
func shouldTryNext(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeUnknown,
		connect.CodeInternal, connect.CodeUnimplemented, connect.CodeResourceExhausted:
		return true
	default:
		return false
	}
}

// printJSON writes a response as JSON with the field names of the proto schema,
// which are in snake case.
func (a *app) printJSON(message proto.Message) error {
	encoded, err := protojson.MarshalOptions{
		Multiline: true, UseProtoNames: true, EmitDefaultValues: true,
	}.Marshal(message)
	if err != nil {
		return err
	}
	return a.print("%s\n", encoded)
}
