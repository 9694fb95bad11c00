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
	// attemptTimeout bounds one call to one server; a server bounds a command
	// to 10 s.
	attemptTimeout = 12 * time.Second
	retryInterval  = 1 * time.Second
	// minAttempt is the least time worth another attempt.
	minAttempt = 100 * time.Millisecond
)

type clients struct {
	operatorv1connect.CommandServiceClient
	operatorv1connect.QueryServiceClient
}

// call sends a message to the servers in turn until one answers. A message with
// a command identifier is safe to repeat, and queries change nothing.
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
		if !mayTryNext(err) || a.ctx.Err() != nil {
			return nil, err
		}
		if i < len(servers)-1 {
			a.warn("%s: %s; trying the next server", server, describe(err))
		}
	}
	return nil, err
}

// attemptTimeout leaves an equal part of the remaining time to each server that
// is left.
func (a *app) attemptTimeout(left int) time.Duration {
	deadline, ok := a.ctx.Deadline()
	if !ok {
		return attemptTimeout
	}
	return min(attemptTimeout, max(minAttempt, time.Until(deadline)/time.Duration(left)))
}

// mayTryNext reports whether another server could answer better. A refusal by
// the state machine is the same everywhere.
func mayTryNext(err error) bool {
	switch connect.CodeOf(err) {
	case connect.CodeUnavailable, connect.CodeDeadlineExceeded, connect.CodeUnknown,
		connect.CodeInternal, connect.CodeUnimplemented, connect.CodeResourceExhausted:
		return true
	default:
		return false
	}
}

// printJSON writes a response in the project's own form, in snake case.
func (a *app) printJSON(message proto.Message) error {
	encoded, err := protojson.MarshalOptions{
		Multiline: true, UseProtoNames: true, EmitDefaultValues: true,
	}.Marshal(message)
	if err != nil {
		return err
	}
	return a.print("%s\n", encoded)
}
