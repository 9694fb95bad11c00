package registry

import (
	"context"
	"sync"
	"sync/atomic"

	"flamingodoor.example/flamingodoor"
	recordv1 "flamingodoor.example/flamingodoor/gen/flamingodoor/record/v1"
)

// maxRecords is the number of applied records retained for peers.
const maxRecords = 1024

// Store holds this host's replica of the configuration and the latest records
// that it has applied. It is safe for concurrent use.
type Store struct {
	current atomic.Pointer[view] // read for every request without the mutex

	mu      sync.Mutex
	state   *State
	records []flamingodoor.LogEntry // latest applied, oldest first
	changed chan struct{}           // closed and replaced at every change
	stopErr error                   // the error of the first record of a future version
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

// Apply applies a record and returns the verdict on it. After a record of a future
// version it applies no more records and returns the error of that record.
func (s *Store) Apply(entry flamingodoor.LogEntry) (*recordv1.Verdict, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopErr != nil {
		return nil, s.stopErr
	}
	advances := entry.Offset > s.state.Applied()
	verdict, err := s.state.Apply(entry)
	if err != nil {
		s.stopErr = err
		s.wakeWaiters()
		return nil, err
	}
	if advances {
		s.records = append(s.records, entry)
		if len(s.records) > maxRecords {
			s.records[0] = flamingodoor.LogEntry{}
			s.records = s.records[1:]
		}
		s.publish()
	}
	return verdict, nil
}

// Install replaces the state and takes ownership of the new one. The error has
// CodeConflict when the new state is older than the current one.
func (s *Store) Install(state *State) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopErr != nil {
		return s.stopErr
	}
	current := s.state.Applied()
	if state.Applied() < current {
		return flamingodoor.Errorf(flamingodoor.CodeConflict,
			"state of offset %d is older than the applied offset %d", state.Applied(), current)
	}
	if state.Applied() == current {
		return nil
	}
	s.state = state
	s.records = nil
	s.publish()
	return nil
}

// Verdict returns the verdict on a command, or false if none is retained.
func (s *Store) Verdict(commandID string) (*recordv1.Verdict, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Verdict(commandID)
}

// WaitVerdict waits until there is a verdict on the command and returns it. It
// returns the error of the store if that stops first.
func (s *Store) WaitVerdict(ctx context.Context, commandID string) (*recordv1.Verdict, error) {
	var verdict *recordv1.Verdict
	err := s.wait(ctx, func() bool {
		found, ok := s.state.Verdict(commandID)
		verdict = found
		return ok
	})
	return verdict, err
}

// WaitApplied waits until the record at the offset is applied. It returns the
// error of the store if that stops first.
func (s *Store) WaitApplied(ctx context.Context, offset uint64) error {
	return s.wait(ctx, func() bool { return s.state.Applied() >= offset })
}

// Records returns up to limit applied records from an offset on. The list is
// empty when the record at that offset is no longer retained.
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

// Snapshot returns the encoded state and the offset of its last record.
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

// Objects returns the objects of a kind with the given name; empty arguments
// select all. The objects must not be modified.
func (s *Store) Objects(kindName, name string) []*recordv1.Versioned {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Objects(kindName, name)
}

// CheckpointStatus returns the latest verdicts on checkpoints and the oldest
// retained verdict on a change.
func (s *Store) CheckpointStatus() CheckpointStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.CheckpointStatus()
}

// Checkpoint returns a checkpoint to append in a record.
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
	return s.stopErr
}

// wait returns once done, which is called with the mutex held, returns true. The
// error is that of the stopped store, or has CodeDeadlineExceeded when the context
// ends first.
func (s *Store) wait(ctx context.Context, done func() bool) error {
	for {
		s.mu.Lock()
		reached, stopErr, changed := done(), s.stopErr, s.changed
		s.mu.Unlock()
		if reached {
			return nil
		}
		if stopErr != nil {
			return stopErr
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return flamingodoor.NewError(flamingodoor.CodeDeadlineExceeded, flamingodoor.RunStateMayHaveRun, context.Cause(ctx))
		}
	}
}

// publish makes the configuration of the current state visible to readers.
func (s *Store) publish() {
	s.state.Configuration()
	s.current.Store(s.state.view)
	s.wakeWaiters()
}

func (s *Store) wakeWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}
