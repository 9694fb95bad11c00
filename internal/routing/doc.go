// Package routing chooses the group that runs a request.
package routing
