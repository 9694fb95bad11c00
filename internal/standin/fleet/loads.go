package fleet

import (
	"context"
	"maps"
	"slices"
	"sync"

	"flamingodoor.example/flamingodoor"
)

// LoadStore keeps weight loads in memory.
type LoadStore struct {
	mu    sync.Mutex
	loads map[string]flamingodoor.WeightLoad
}

// NewLoadStore returns an empty register.
func NewLoadStore() *LoadStore {
	return &LoadStore{loads: make(map[string]flamingodoor.WeightLoad)}
}

// Save adds loads and drops those that are over.
func (r *LoadStore) Save(_ context.Context, loads []flamingodoor.WeightLoad, over []string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range over {
		delete(r.loads, id)
	}
	for _, load := range loads {
		r.loads[load.InstanceID] = load
	}
	return nil
}

// Load returns the loads that were not dropped.
func (r *LoadStore) Load(context.Context) ([]flamingodoor.WeightLoad, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Collect(maps.Values(r.loads)), nil
}
