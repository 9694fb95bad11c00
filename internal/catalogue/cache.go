// Package catalogue holds the newest configuration that this host has read, looks
// up the route and the workspace of a request in it, and records when it was last
// confirmed to be current.
package catalogue

import (
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"flamingodoor.example/flamingodoor"
)

// Index is a version of the configuration with indexes for lookups. It is
// immutable.
type Index struct {
	*flamingodoor.Catalogue
	routes     map[string]map[string]*flamingodoor.Route // by host name and path prefix
	workspaces map[string]*flamingodoor.Workspace        // by API key
}

// NewIndex indexes a configuration.
func NewIndex(catalogue *flamingodoor.Catalogue) *Index {
	index := &Index{
		Catalogue:  catalogue,
		routes:     make(map[string]map[string]*flamingodoor.Route),
		workspaces: make(map[string]*flamingodoor.Workspace),
	}
	for i := range catalogue.Routes {
		route := &catalogue.Routes[i]
		prefixes, ok := index.routes[route.Host]
		if !ok {
			prefixes = make(map[string]*flamingodoor.Route)
			index.routes[route.Host] = prefixes
		}
		prefixes[route.Prefix] = route
	}
	for i := range catalogue.Workspaces {
		for _, key := range catalogue.Workspaces[i].Keys {
			index.workspaces[key] = &catalogue.Workspaces[i]
		}
	}
	return index
}

// Route returns the route of the host with the longest prefix of the path.
func (i *Index) Route(host, path string) (*flamingodoor.Route, bool) {
	if hostname, _, err := net.SplitHostPort(host); err == nil {
		host = hostname
	}
	prefixes := i.routes[strings.ToLower(host)]
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			break
		}
		if route, ok := prefixes[path[:slash+1]]; ok {
			return route, true
		}
		end = slash
	}
	return nil, false
}

// Workspace returns the workspace of an API key.
func (i *Index) Workspace(key string) (*flamingodoor.Workspace, bool) {
	workspace, ok := i.workspaces[key]
	return workspace, ok
}

// Cache holds the newest configuration and the evacuated data centres.
type Cache struct {
	index     atomic.Pointer[Index]
	evacuated atomic.Pointer[map[string]bool]

	mu        sync.Mutex
	confirmed time.Time
	onUpdate  func(*flamingodoor.Catalogue)
}

// New returns a cache without a configuration. `onUpdate` is called with each new
// configuration.
func New(onUpdate func(*flamingodoor.Catalogue)) *Cache {
	cache := &Cache{onUpdate: onUpdate}
	noDataCentres := make(map[string]bool)
	cache.evacuated.Store(&noDataCentres)
	return cache
}

// Index returns the newest configuration, or nil before one was read.
func (c *Cache) Index() *Index {
	return c.index.Load()
}

// Evacuated reports whether operators have evacuated the data centre.
func (c *Cache) Evacuated(dataCentre string) bool {
	return (*c.evacuated.Load())[dataCentre]
}

// Confirmed returns the latest time, by uptime.Now, at which the configuration was
// known to be current.
func (c *Cache) Confirmed() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.confirmed
}

// Configure replaces the configuration if the version is newer than the current
// one.
func (c *Cache) Configure(catalogue *flamingodoor.Catalogue) {
	if current := c.index.Load(); current != nil && catalogue.Version <= current.Version {
		return
	}
	c.index.Store(NewIndex(catalogue))
	c.onUpdate(catalogue)
}

// Evacuate replaces the list of evacuated data centres.
func (c *Cache) Evacuate(dataCentres []string) {
	evacuated := make(map[string]bool, len(dataCentres))
	for _, dataCentre := range dataCentres {
		evacuated[dataCentre] = true
	}
	c.evacuated.Store(&evacuated)
}

// Confirm records that the configuration was current at the given time. Earlier
// times than the latest are ignored.
func (c *Cache) Confirm(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.confirmed) {
		c.confirmed = at
	}
}
