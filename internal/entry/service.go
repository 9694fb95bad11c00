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

func (h *handler) serveService(x *exchange) error {
	service, err := url.PathUnescape(mux.Vars(x.request)["service"])
	if err != nil {
		return invalidf("service name is malformed")
	}
	endpoints := h.parts.Configuration.Current().ServiceEndpoints(service)
	if !slices.Contains(x.club.Services, service) {
		return flamingodoor.Errorf(flamingodoor.CodeNotAllowed, "club may not use service %q", service)
	}
	if len(endpoints) == 0 {
		return flamingodoor.Errorf(flamingodoor.CodeUnknownService, "service %q has no endpoint", service)
	}
	callPath, err := plainPath(mux.Vars(x.request)["path"])
	if err != nil {
		return err
	}
	idempotent := isIdempotent(x.request.Method, callPath, endpoints)
	key := x.request.Header.Get("Idempotency-Key")
	if !idempotent && key == "" {
		return flamingodoor.Errorf(flamingodoor.CodeKeyRequired, "call is not idempotent and needs the header Idempotency-Key")
	}
	body, err := h.readBody(x)
	if err != nil {
		return err
	}
	// Services take no priority from the caller, so all calls of a club have
	// its highest one.
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
	return x.answerService(answer)
}

func (x *exchange) answerService(answer flamingodoor.ServiceAnswer) error {
	if answer.Status < http.StatusOK || answer.Status > 599 {
		return flamingodoor.NewError(flamingodoor.CodeEndpointFailed, flamingodoor.RunStateRan,
			invalidf("service answered status %d", answer.Status))
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

// plainPath decodes the path of a call. Dot segments, repeated slashes and
// encoded slashes are refused: a service might resolve them to another path
// than the one by which the call counts as idempotent.
func plainPath(encoded string) (string, error) {
	decoded, err := url.PathUnescape(encoded)
	if err != nil {
		return "", invalidf("path of the call is malformed")
	}
	plain := "/" + decoded
	cleaned := path.Clean(plain)
	if strings.HasSuffix(plain, "/") && cleaned != "/" {
		cleaned += "/"
	}
	if cleaned != plain || strings.Contains(strings.ToLower(encoded), "%2f") || strings.ContainsAny(decoded, "\\\x00") {
		return "", invalidf("path of the call is not in plain form")
	}
	return plain, nil
}

// isIdempotent reports whether every endpoint of the service declares the
// path idempotent, or the method only reads.
func isIdempotent(method, callPath string, endpoints []flamingodoor.Endpoint) bool {
	if method == http.MethodGet || method == http.MethodHead {
		return true
	}
	for i := range endpoints {
		if !slices.ContainsFunc(endpoints[i].IdempotentPaths, func(prefix string) bool { return below(callPath, prefix) }) {
			return false
		}
	}
	return true
}

// below compares whole segments: /balance covers /balance/7, not /balances.
func below(callPath, prefix string) bool {
	rest, ok := strings.CutPrefix(callPath, prefix)
	return ok && prefix != "" && (rest == "" || strings.HasSuffix(prefix, "/") || rest[0] == '/')
}
