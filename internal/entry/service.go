package entry

import (
	"net/http"
	"net/url"
	"path"
	"slices"
	"strings"

	"github.com/gorilla/mux"

	"flamingodoor.example/flamingodoor"
)

// serveService serves a call of a plain service. Calls that are not idempotent
// need an idempotency key and run at most once.
func (h *handler) serveService(x *exchange) error {
	service, err := url.PathUnescape(mux.Vars(x.request)["service"])
	if err != nil {
		return invalidf("service name in the path has a malformed escape sequence")
	}
	endpoints := h.parts.Configuration.Current().ServiceEndpoints(service)
	if !slices.Contains(x.club.Services, service) {
		return flamingodoor.Errorf(flamingodoor.CodeNotAllowed, "club may not use service %q", service)
	}
	if len(endpoints) == 0 {
		return flamingodoor.Errorf(flamingodoor.CodeUnknownService, "service %q has no endpoint", service)
	}
	callPath, err := canonicalPath(mux.Vars(x.request)["path"])
	if err != nil {
		return err
	}
	idempotent := isIdempotent(x.request.Method, callPath, endpoints)
	key := x.request.Header.Get("Idempotency-Key")
	if !idempotent && key == "" {
		return flamingodoor.Errorf(flamingodoor.CodeKeyRequired, "call is not idempotent and has no header Idempotency-Key")
	}
	body, err := h.readBody(x)
	if err != nil {
		return err
	}
	// Callers cannot set the priority of service calls, so all calls of a club
	// have its maximum priority.
	release, err := h.admit(x, x.club.MaxPriority)
	if err != nil {
		return err
	}
	defer release()
	call := flamingodoor.ServiceCall{
		RequestID: x.requestID, ClubID: x.club.ID, Service: service,
		Method: x.request.Method, Path: (&url.URL{Path: callPath, RawQuery: x.request.URL.RawQuery}).RequestURI(),
		ContentType: x.request.Header.Get("Content-Type"), Body: body, Deadline: x.deadline,
	}
	run := h.parts.Dispatcher.CallService
	if !idempotent {
		call.IdempotencyKey = key
		run = h.parts.OnceRunner.RunOnce
	}
	answer, err := run(x.request.Context(), call)
	if err != nil {
		return err
	}
	return x.writeServiceAnswer(answer)
}

// writeServiceAnswer sends the answer of a service to the caller.
func (x *exchange) writeServiceAnswer(answer flamingodoor.ServiceAnswer) error {
	if answer.Status < http.StatusOK || answer.Status > 599 {
		return flamingodoor.NewError(flamingodoor.CodeEndpointFailed, flamingodoor.RunStateRan,
			invalidf("service answered with status %d", answer.Status))
	}
	header := x.writer.Header()
	if answer.ContentType != "" {
		header.Set("Content-Type", answer.ContentType)
	}
	header.Set("X-Run-State", flamingodoor.RunStateRan.String())
	if answer.Repeated {
		header.Set("X-Repeated", "true")
	}
	x.writer.WriteHeader(answer.Status)
	_, _ = x.writer.Write(answer.Body)
	return nil
}

// canonicalPath decodes the path of a call. It rejects dot segments, repeated
// slashes, encoded slashes, backslashes and NUL: a service might resolve such a
// path to another one than the path that was checked for idempotency.
func canonicalPath(encoded string) (string, error) {
	decoded, err := url.PathUnescape(encoded)
	if err != nil {
		return "", invalidf("path of the call has a malformed escape sequence")
	}
	callPath := "/" + decoded
	cleaned := path.Clean(callPath)
	if strings.HasSuffix(callPath, "/") && cleaned != "/" {
		cleaned += "/"
	}
	if cleaned != callPath || strings.Contains(strings.ToLower(encoded), "%2f") || strings.ContainsAny(decoded, "\\\x00") {
		return "", invalidf("path of the call is not canonical: dot segments, repeated or encoded slashes, backslashes and NUL are not allowed")
	}
	return callPath, nil
}

// isIdempotent reports whether the method is GET or HEAD, or every endpoint of
// the service declares the path as idempotent.
func isIdempotent(method, callPath string, endpoints []flamingodoor.Endpoint) bool {
	if method == http.MethodGet || method == http.MethodHead {
		return true
	}
	for i := range endpoints {
		if !slices.ContainsFunc(endpoints[i].IdempotentPaths, func(prefix string) bool { return hasPathPrefix(callPath, prefix) }) {
			return false
		}
	}
	return true
}

// hasPathPrefix compares whole segments: /balance is a prefix of /balance/7, but
// not of /balances.
func hasPathPrefix(callPath, prefix string) bool {
	rest, ok := strings.CutPrefix(callPath, prefix)
	return ok && prefix != "" && (rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/')
}
