package harness

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"flamingodoor.example/flamingodoor"
)

const (
	readyInterval = 100 * time.Millisecond
	readyTimeout  = time.Second
)

// Balancer chooses entry hosts like the platform's load balancer: it polls
// /readyz and sends callers only to hosts that answered 200 last.
type Balancer struct {
	mutex sync.Mutex
	ready map[*Entry]bool
}

// Add polls an entry host until the context ends.
func (b *Balancer) Add(ctx context.Context, entry *Entry) {
	go func() {
		ticker := time.NewTicker(readyInterval)
		defer ticker.Stop()
		for {
			b.set(entry, entry.Ready(ctx))
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}()
}

func (b *Balancer) set(entry *Entry, ready bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.ready == nil {
		b.ready = make(map[*Entry]bool)
	}
	b.ready[entry] = ready
}

// IsReady reports whether the entry host answered 200 at the last poll.
func (b *Balancer) IsReady(entry *Entry) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.ready[entry]
}

// Choose returns any host that was ready at the last poll.
func (b *Balancer) Choose() (*Entry, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var ready []*Entry
	for entry, isReady := range b.ready {
		if isReady {
			ready = append(ready, entry)
		}
	}
	if len(ready) == 0 {
		return nil, flamingodoor.Errorf(flamingodoor.CodeNoEndpoint, "no entry host is ready")
	}
	return ready[rand.IntN(len(ready))], nil //nolint:gosec // Spreads the load.
}

// Ready reports whether the entry host says that it takes callers.
func (e *Entry) Ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	response, err := e.metrics(ctx, "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// NewCaller returns a caller of the scene's first club at the entry host.
func (e *Entry) NewCaller() *Caller {
	return NewCaller("http://"+e.CallerAddress.String(), ClubKey, ModelID)
}
