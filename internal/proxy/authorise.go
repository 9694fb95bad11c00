package proxy

import (
	"cmp"
	"net/http"
	"strings"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/catalogue"
)

// authorise returns the route and the workspace of a request, or the status and
// reason of its rejection. The workspace is nil on public routes and if none is
// configured.
func (p *Proxy) authorise(index *catalogue.Index, request *http.Request) (*flamingodoor.Route, *flamingodoor.Workspace, int, string) {
	path, _, _ := strings.Cut(request.RequestURI, "?")
	route, ok := index.Route(request.Host, path)
	if !ok {
		status, reason := p.denial(http.StatusNotFound, "no_route")
		return nil, nil, status, reason
	}
	if route.Public || len(index.Workspaces) == 0 {
		return route, nil, 0, ""
	}
	if !p.keysConfirmed() {
		return nil, nil, http.StatusServiceUnavailable, "keys_unconfirmed"
	}
	key, found := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	workspace, ok := index.Workspace(key)
	if found && ok {
		return route, workspace, 0, ""
	}
	status, reason := p.denial(http.StatusUnauthorized, "unknown_key")
	return nil, nil, status, reason
}

// denial returns the given status and reason, by which what the configuration lacks is
// denied, or those of a configuration that may lack a change.
func (p *Proxy) denial(status int, reason string) (actualStatus int, actualReason string) {
	if p.uptime().Sub(p.catalogue.Confirmed()) >= cmp.Or(p.limits.Load().ApplyWithin, defaultApplyWithin) {
		return http.StatusServiceUnavailable, "configuration_stale"
	}
	return status, reason
}
