package proxy

import (
	"cmp"
	"net/http"
	"strings"
	"time"

	"flamingodoor.example/flamingodoor"
	"flamingodoor.example/flamingodoor/internal/catalogue"
)

// configuration is the newest configuration that this host has read, with a
// confirmation that it reflects.
type configuration struct {
	*catalogue.Index // nil before one was read

	confirmed  time.Time
	peersAgree bool // no peer is known to have a newer one
}

// configuration returns the configuration by which a request is served. The index is
// taken last: it may change while the confirmation is read, and a confirmation says
// nothing of an earlier index, which may accept a revoked key or lack a new one.
func (p *Proxy) configuration() configuration {
	peersAgree := p.configurationConfirmed()
	confirmed := p.catalogue.Confirmed()
	return configuration{Index: p.catalogue.Index(), confirmed: confirmed, peersAgree: peersAgree}
}

// keysConfirmed reports whether a configuration is recent enough to accept keys: a key
// that was revoked since is rejected within Limits.RevokeWithin, and no peer is known to
// have a newer one.
func (p *Proxy) keysConfirmed(current configuration) bool {
	return current.peersAgree && p.uptime().Before(current.confirmed.Add(p.limits.Load().RevokeWithin-revokeMargin))
}

// authorise returns the route and the workspace of a request, or the status and
// reason of its rejection. The workspace is nil on public routes and if none is
// configured.
func (p *Proxy) authorise(current configuration, request *http.Request) (*flamingodoor.Route, *flamingodoor.Workspace, int, string) {
	path, _, _ := strings.Cut(request.RequestURI, "?")
	route, ok := current.Route(request.Host, path)
	if !ok {
		status, reason := p.denial(current, http.StatusNotFound, "no_route")
		return nil, nil, status, reason
	}
	if route.Public || len(current.Workspaces) == 0 {
		return route, nil, 0, ""
	}
	if !p.keysConfirmed(current) {
		return nil, nil, http.StatusServiceUnavailable, "keys_unconfirmed"
	}
	key, found := strings.CutPrefix(request.Header.Get("Authorization"), "Bearer ")
	workspace, ok := current.Workspace(key)
	if found && ok {
		return route, workspace, 0, ""
	}
	status, reason := p.denial(current, http.StatusUnauthorized, "unknown_key")
	return nil, nil, status, reason
}

// denial returns the given status and reason, by which what the configuration lacks is
// denied, or those of a configuration that may lack a change.
func (p *Proxy) denial(current configuration, status int, reason string) (actualStatus int, actualReason string) {
	if p.uptime().Sub(current.confirmed) >= cmp.Or(p.limits.Load().ApplyWithin, defaultApplyWithin) {
		return http.StatusServiceUnavailable, "configuration_stale"
	}
	return status, reason
}
