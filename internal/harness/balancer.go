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
	readyPollInterval = 100 * time.Millisecond
	readyTimeout      = time.Second
)

// Balancer selects entry hosts as the platform's load balancer does: it polls
// /readyz and selects only hosts whose last answer was 200.
type Balancer struct {
	mutex sync.Mutex
	ready map[*Entry]bool // result of the last poll
}

// Add starts to poll an entry host, until the context ends.
func (b *Balancer) Add(ctx context.Context, entry *Entry) {
	go func() {
		ticker := time.NewTicker(readyPollInterval)
		defer ticker.Stop()
		for {
			b.setReady(entry, entry.Ready(ctx))
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}()
}

func (b *Balancer) setReady(entry *Entry, ready bool) {
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

// Choose returns a random entry host that was ready at the last poll. It fails
// with CodeNoEndpoint if there is none.
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
	return ready[rand.IntN(len(ready))], nil //nolint:gosec // Load balancing needs no secure randomness.
}

// Ready reports whether /readyz of the entry host answers 200.
func (e *Entry) Ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	response, err := e.getMetrics(ctx, "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// NewCaller returns a caller that sends requests to the entry host with the API key
// of ClubID.
func (e *Entry) NewCaller() *Caller {
	return NewCaller("http://"+e.CallerAddress.String(), ClubKey, ModelID)
}
