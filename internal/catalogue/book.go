// Package catalogue finds the route and the workspace of a request in the
// newest configuration, and knows how long that configuration is confirmed.
package catalogue

import (
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"flamingodoor.example/flamingodoor"
)

// Index is one configuration, ready for lookups.
type Index struct {
	*flamingodoor.Catalogue
	routes     map[string]map[string]*flamingodoor.Route // by host name and prefix
	workspaces map[string]*flamingodoor.Workspace        // by key
}

// NewIndex prepares a configuration for lookups.
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

// Route finds the route with the longest prefix that begins the path.
func (i *Index) Route(host, path string) (*flamingodoor.Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
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

// Workspace finds the workspace of a key.
func (i *Index) Workspace(key string) (*flamingodoor.Workspace, bool) {
	workspace, ok := i.workspaces[key]
	return workspace, ok
}

// Book holds the newest configuration and the evacuated data centres.
type Book struct {
	index     atomic.Pointer[Index]
	evacuated atomic.Pointer[map[string]bool]

	mu        sync.Mutex
	confirmed time.Time
	updated   func(*flamingodoor.Catalogue)
}

// New returns a book without configuration. `updated` is called with each new
// configuration.
func New(updated func(*flamingodoor.Catalogue)) *Book {
	book := &Book{updated: updated}
	none := make(map[string]bool)
	book.evacuated.Store(&none)
	return book
}

// Index returns the newest configuration, or nil before the first.
func (b *Book) Index() *Index {
	return b.index.Load()
}

// Evacuated reports whether operators emptied the data centre.
func (b *Book) Evacuated(dataCentre string) bool {
	return (*b.evacuated.Load())[dataCentre]
}

// Confirmed returns the time up to which the configuration is known.
func (b *Book) Confirmed() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.confirmed
}

// Configure takes a configuration unless it is older than the present one.
func (b *Book) Configure(catalogue *flamingodoor.Catalogue) {
	if known := b.index.Load(); known != nil && catalogue.Version <= known.Version {
		return
	}
	b.index.Store(NewIndex(catalogue))
	b.updated(catalogue)
}

// Evacuate replaces the list of evacuated data centres.
func (b *Book) Evacuate(dataCentres []string) {
	evacuated := make(map[string]bool, len(dataCentres))
	for _, dataCentre := range dataCentres {
		evacuated[dataCentre] = true
	}
	b.evacuated.Store(&evacuated)
}

// Confirm extends the time up to which the configuration is known.
func (b *Book) Confirm(at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if at.After(b.confirmed) {
		b.confirmed = at
	}
}
