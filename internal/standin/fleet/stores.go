package fleet

import (
	"context"

	"flamingodoor.example/flamingodoor"
)

// Newest returns the newest epoch.
func (f *Fleet) Newest(context.Context) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newestEpoch, nil
}

// Claim allocates the next epoch if after is still the newest one. Otherwise it
// returns the newest epoch and false.
func (f *Fleet) Claim(_ context.Context, after int64, _ []byte) (int64, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if after != f.newestEpoch {
		return f.newestEpoch, false, nil
	}
	f.newestEpoch++
	return f.newestEpoch, true, nil
}

// Save stores the heads. A head replaces its earlier entry.
func (f *Fleet) Save(_ context.Context, heads []flamingodoor.Instance) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, head := range heads {
		f.heads[head.ID] = head
	}
	return nil
}

// Load returns the saved heads. It fails after FailHeadReads.
func (f *Fleet) Load(context.Context) ([]flamingodoor.Instance, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.headReadsFail {
		return nil, flamingodoor.Errorf(flamingodoor.CodeStoreUnavailable, "the head store cannot be read")
	}
	heads := make([]flamingodoor.Instance, 0, len(f.heads))
	for _, head := range f.heads {
		heads = append(heads, head)
	}
	return heads, nil
}

// ForgetHead removes the stored record of a head.
func (f *Fleet) ForgetHead(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.heads, id)
}

// FailHeadReads makes Load fail from now on.
func (f *Fleet) FailHeadReads() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.headReadsFail = true
}
