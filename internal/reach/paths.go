// Package reach tracks which instances answer this host, and whether it has lost
// its paths to all of them.
package reach

import (
	"sync/atomic"
	"time"

	"flamingodoor.example/flamingodoor"
)

// Paths holds what this host's connections show of its paths to instances. It is
// safe for concurrent use.
type Paths struct {
	stranded atomic.Bool
}

var _ flamingodoor.PathState = (*Paths)(nil)

// New returns the paths of a host that has had no failure.
func New() *Paths {
	return &Paths{}
}

// Stranded reports whether no instance answers this host, although other hosts may
// reach them.
func (p *Paths) Stranded() bool {
	return p.stranded.Load()
}

// Heard records that bytes of an instance arrived.
func (p *Paths) Heard(flamingodoor.Instance, time.Time) {}

// Failed records that a connection to an instance could not be opened, broke or
// stayed silent.
func (p *Paths) Failed(flamingodoor.Instance, time.Time) {}
