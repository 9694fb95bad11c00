package registry

import (
	"context"
	"sync"
	"sync/atomic"

	"flamingodoor.example/flamingodoor"
	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
)

const recordsKept = 1024

// Store holds the state of a running host. It is safe for concurrent use.
type Store struct {
	current atomic.Pointer[view] // read on the path of every request

	mu      sync.Mutex
	state   *State
	records []flamingodoor.LogEntry // latest applied, oldest first
	changed chan struct{}           // closed and replaced by every change
	failure error
}

// NewStore returns a store without records.
func NewStore() *Store {
	store := &Store{state: New(), changed: make(chan struct{})}
	store.publish()
	return store
}

// Current returns the latest configuration.
func (s *Store) Current() flamingodoor.Configuration {
	return s.current.Load()
}

// Apply applies a record. After a record of a future version it applies none
// and returns the error of that record.
func (s *Store) Apply(entry flamingodoor.LogEntry) (*recordv1.Verdict, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure != nil {
		return nil, s.failure
	}
	isNew := entry.Offset > s.state.Applied()
	verdict, err := s.state.Apply(entry)
	if err != nil {
		s.failure = err
		s.wakeWaiters()
		return nil, err
	}
	if isNew {
		s.records = append(s.records, entry)
		if len(s.records) > recordsKept {
			s.records[0] = flamingodoor.LogEntry{}
			s.records = s.records[1:]
		}
		s.publish()
	}
	return verdict, nil
}

// Install replaces the state, which the store owns from then on. The error
// has CodeConflict when the state is older than the present one.
func (s *Store) Install(state *State) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failure != nil {
		return s.failure
	}
	present := s.state.Applied()
	if state.Applied() < present {
		return flamingodoor.Errorf(flamingodoor.CodeConflict,
			"state of offset %d is older than the applied offset %d", state.Applied(), present)
	}
	if state.Applied() == present {
		return nil
	}
	s.state = state
	s.records = nil
	s.publish()
	return nil
}

// WaitVerdict waits until a verdict on the command is known.
func (s *Store) WaitVerdict(ctx context.Context, commandID string) (*recordv1.Verdict, error) {
	var verdict *recordv1.Verdict
	err := s.wait(ctx, func() bool {
		found, ok := s.state.Verdict(commandID)
		verdict = found
		return ok
	})
	return verdict, err
}

// WaitApplied waits until the record at the offset is applied.
func (s *Store) WaitApplied(ctx context.Context, offset uint64) error {
	return s.wait(ctx, func() bool { return s.state.Applied() >= offset })
}

// Records returns up to limit applied records from an offset on. The list is
// empty when the record at that offset is no longer kept.
func (s *Store) Records(from uint64, limit int) []flamingodoor.LogEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.records) == 0 || from < s.records[0].Offset {
		return nil
	}
	var found []flamingodoor.LogEntry
	for _, entry := range s.records {
		if len(found) == limit {
			break
		}
		if entry.Offset >= from {
			found = append(found, entry)
		}
	}
	return found
}

// Snapshot returns the encoded state and its offset.
func (s *Store) Snapshot() (applied uint64, encoded []byte, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	encoded, err = s.state.Encode()
	return s.state.Applied(), encoded, err
}

// History returns the latest verdicts, newest first.
func (s *Store) History(limit int) []*recordv1.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.History(limit)
}

// Objects returns the objects of a kind; empty arguments select all. The
// objects must not be modified.
func (s *Store) Objects(kindName, name string) []*recordv1.Versioned {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Objects(kindName, name)
}

// CheckpointStatus returns what this host knows of checkpoints.
func (s *Store) CheckpointStatus() CheckpointStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.CheckpointStatus()
}

// Checkpoint returns a checkpoint for a record to append.
func (s *Store) Checkpoint() (*recordv1.Checkpoint, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Checkpoint()
}

// Err returns the error that stopped the store, which has CodeFutureRecord,
// or nil.
func (s *Store) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failure
}

func (s *Store) wait(ctx context.Context, done func() bool) error {
	for {
		s.mu.Lock()
		reached, failure, changed := done(), s.failure, s.changed
		s.mu.Unlock()
		if reached {
			return nil
		}
		if failure != nil {
			return failure
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return flamingodoor.NewError(flamingodoor.CodeDeadlineExceeded, flamingodoor.RunStateMayHaveRun, context.Cause(ctx))
		}
	}
}

func (s *Store) publish() {
	s.state.Configuration()
	s.current.Store(s.state.view)
	s.wakeWaiters()
}

func (s *Store) wakeWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}
