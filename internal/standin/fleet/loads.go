package fleet

import (
	"context"
	"maps"
	"slices"
	"sync"

	"flamingodoor.example/flamingodoor"
)

// LoadStore is a flamingodoor.LoadStore in memory.
type LoadStore struct {
	mu    sync.Mutex
	loads map[string]flamingodoor.WeightLoad
}

// NewLoadStore returns an empty store.
func NewLoadStore() *LoadStore {
	return &LoadStore{loads: make(map[string]flamingodoor.WeightLoad)}
}

// Save adds loads and removes those of the instances in ended.
func (s *LoadStore) Save(_ context.Context, loads []flamingodoor.WeightLoad, ended []string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ended {
		delete(s.loads, id)
	}
	for _, load := range loads {
		s.loads[load.InstanceID] = load
	}
	return nil
}

// Load returns the loads that were not removed.
func (s *LoadStore) Load(context.Context) ([]flamingodoor.WeightLoad, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.loads)), nil
}
