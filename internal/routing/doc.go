// Package routing chooses the group, or the endpoint of a plain service, that
// runs a request. It scores the candidates by load, distance, adapters and
// cached prefixes.
package routing
