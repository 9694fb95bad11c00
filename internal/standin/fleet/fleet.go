// Package fleet is a stand-in for model instances that form replica groups. It
// keeps the time that it is given and checks what orders must never do.
package fleet

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"time"

	"flamingodoor.example/flamingodoor"
)

// joinAgain is the time of a join with the model of the last group.
const joinAgain = 200 * time.Millisecond

// Fleet is safe for concurrent use.
type Fleet struct {
	engine *flamingodoor.EngineSpec

	mu         sync.Mutex
	now        time.Time
	instances  map[string]*instance
	order      []string
	epochs     int64
	heads      map[string]flamingodoor.Instance
	headsLost  bool
	violations []string
	hooks      Hooks
	quiet      bool
}

// Hooks bring about failures of orders.
type Hooks struct {
	// LoseAnswer makes an order take effect without an answer.
	LoseAnswer func(id string, order flamingodoor.InstanceOrder) bool
	// Delay keeps an order without an answer and carries it out after a time.
	Delay func(id string, order flamingodoor.InstanceOrder) time.Duration
}

type instance struct {
	flamingodoor.Instance
	members  []string
	lastUsed string // model of the last group
	sequence int64
	seen     int64 // highest epoch
	readyAt  time.Time
	openAt   time.Time
	staging  string
	stagedAt time.Time
	down     bool
	// lastEntry is what the list shows of an instance that died.
	lastEntry flamingodoor.Instance
	unlisted  bool
	cut       bool // does not answer, but runs
	everIn    map[string]bool
	late      []lateOrder
}

type lateOrder struct {
	at    time.Time
	order flamingodoor.InstanceOrder
}

// New returns a fleet without instances at the given time.
func New(engine *flamingodoor.EngineSpec, now time.Time) *Fleet {
	return &Fleet{engine: engine, now: now, instances: make(map[string]*instance), heads: make(map[string]flamingodoor.Instance)}
}

// SetHooks brings about failures.
func (f *Fleet) SetHooks(hooks Hooks) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hooks = hooks
}

// SetPreTraffic makes weights load in a tenth of the time, as before the first
// request.
func (f *Fleet) SetPreTraffic(quiet bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.quiet = quiet
}

// loadTime of a model at present.
func (f *Fleet) loadTime(modelID string) time.Duration {
	const quietShare = 10
	if f.quiet {
		return f.model(modelID).LoadTime / quietShare
	}
	return f.model(modelID).LoadTime
}

// Add starts an instance in a fabric domain, with weights on its host.
func (f *Fleet) Add(service, domain, dataCentre string, staged ...string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	number := len(f.order) + 1
	id := fmt.Sprintf("i-%03d", number)
	f.instances[id] = &instance{
		Instance: flamingodoor.Instance{
			ID: id, Service: service, DataCentre: dataCentre, FabricDomain: domain, Slots: f.engine.Slots,
			Address:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(number >> 8), byte(number)}), 80), //nolint:gosec // few instances
			StartedAt: f.now, StagedModels: staged,
		},
		everIn: make(map[string]bool),
	}
	f.order = append(f.order, id)
	return id
}

// SetAddress sets the address under which an instance is listed and reached.
func (f *Fleet) SetAddress(id string, address netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances[id].Address = address
}

// Now returns the fleet's time.
func (f *Fleet) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Advance moves the time and carries out what is due.
func (f *Fleet) Advance(step time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(step)
	for _, id := range f.order {
		f.settle(f.instances[id])
	}
}

func (f *Fleet) settle(i *instance) {
	if i.down {
		return
	}
	for len(i.late) > 0 && !f.now.Before(i.late[0].at) {
		late := i.late[0].order
		i.late = i.late[1:]
		f.carryOut(i, late)
	}
	if i.staging != "" && !f.now.Before(i.stagedAt) {
		i.StagedModels, i.staging = []string{i.staging}, ""
	}
	if i.Membership.State == flamingodoor.MembershipStateJoining && !f.now.Before(i.readyAt) {
		i.Membership.State = flamingodoor.MembershipStateReady
		i.lastUsed = i.Membership.ModelID
		i.everIn[groupID(i)] = true
	}
	if !i.openAt.IsZero() && i.Membership.State == flamingodoor.MembershipStateReady && !f.now.Before(i.openAt) {
		i.Membership.State = flamingodoor.MembershipStateOpen
		i.openAt = time.Time{}
		f.checkWhole(i)
	}
}

func groupID(i *instance) string {
	return fmt.Sprint(i.Membership.Group, i.Membership.Epoch, i.members)
}

// checkWhole notes a group that opens without a member that was ever ready.
func (f *Fleet) checkWhole(head *instance) {
	for _, id := range head.members {
		member, ok := f.instances[id]
		if !ok || !member.everIn[groupID(head)] {
			f.violations = append(f.violations, fmt.Sprintf("group %s opened without member %s", head.Membership.Group, id))
		}
	}
}

// Kill ends an instance; its entry stays listed until SetUnlisted.
func (f *Fleet) Kill(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := f.instances[id]
	i.down, i.lastEntry = true, i.Instance
	i.Membership = flamingodoor.Membership{}
}

// SetUnreachable makes an instance unreachable while it runs on.
func (f *Fleet) SetUnreachable(id string, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances[id].cut = cut
}

// SetUnlisted drops the entry of an instance, or lists it again.
func (f *Fleet) SetUnlisted(id string, unlisted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances[id].unlisted = unlisted
}

// SetLeaving makes an instance drain.
func (f *Fleet) SetLeaving(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances[id].Leaving = true
}

// Listed returns the entries, as they were written last.
func (f *Fleet) Listed() []flamingodoor.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	var listed []flamingodoor.Instance
	for _, id := range f.order {
		i := f.instances[id]
		switch {
		case i.unlisted:
		case i.down:
			listed = append(listed, i.lastEntry)
		default:
			listed = append(listed, i.Instance)
		}
	}
	return listed
}

// Violations lists what orders did that must never happen.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.violations)
}

// OpenGroups counts the open groups of a model whose members all run.
func (f *Fleet) OpenGroups(modelID string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, id := range f.order {
		head := f.instances[id]
		if head.Membership.State != flamingodoor.MembershipStateOpen || head.Membership.ModelID != modelID || head.down {
			continue
		}
		if !slices.ContainsFunc(head.members, func(id string) bool {
			return f.instances[id].down || f.instances[id].Membership.Group != head.Membership.Group
		}) {
			count++
		}
	}
	return count
}

// GroupMembers returns the members of the open group that the instance heads.
func (f *Fleet) GroupMembers(head string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.instances[head].members)
}

func (f *Fleet) at(address netip.AddrPort) (*instance, error) {
	for _, i := range f.instances {
		if i.Address == address {
			if i.down || i.cut {
				return nil, flamingodoor.Errorf(flamingodoor.CodeEndpointFailed, "no answer")
			}
			return i, nil
		}
	}
	return nil, flamingodoor.Errorf(flamingodoor.CodeEndpointFailed, "no such address")
}

// Report answers for an instance.
func (f *Fleet) Report(_ context.Context, address netip.AddrPort) (flamingodoor.InstanceReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i, err := f.at(address)
	if err != nil {
		return flamingodoor.InstanceReport{}, err
	}
	return flamingodoor.InstanceReport{Instance: i.Instance, OrderSequence: i.sequence, Slowdown: 1}, nil
}

// Order carries an order out, unless a hook loses or delays it.
func (f *Fleet) Order(_ context.Context, target flamingodoor.Instance, order flamingodoor.InstanceOrder) (flamingodoor.OrderResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i, err := f.at(target.Address)
	if err != nil {
		return flamingodoor.OrderResultUnknown, err
	}
	if i.ID != target.ID {
		return flamingodoor.OrderResultOther, nil
	}
	if f.hooks.Delay != nil {
		if delay := f.hooks.Delay(i.ID, order); delay > 0 {
			i.late = append(i.late, lateOrder{at: f.now.Add(delay), order: order})
			return flamingodoor.OrderResultUnknown, flamingodoor.Errorf(flamingodoor.CodeEndpointFailed, "no answer")
		}
	}
	result := f.carryOut(i, order)
	if f.hooks.LoseAnswer != nil && f.hooks.LoseAnswer(i.ID, order) {
		return flamingodoor.OrderResultUnknown, flamingodoor.Errorf(flamingodoor.CodeEndpointFailed, "answer lost")
	}
	return result, nil
}

func (f *Fleet) carryOut(i *instance, order flamingodoor.InstanceOrder) flamingodoor.OrderResult {
	if order.Sequence != i.sequence {
		return flamingodoor.OrderResultConflict
	}
	in := i.Membership.Group == order.Group && i.Membership.Epoch == order.Epoch
	switch order.Kind {
	case flamingodoor.OrderKindJoin:
		return f.join(i, order)
	case flamingodoor.OrderKindOpen:
		if !in || i.Membership.State != flamingodoor.MembershipStateReady {
			return flamingodoor.OrderResultConflict
		}
		i.openAt = f.now.Add(f.engine.FormationTime)
	case flamingodoor.OrderKindLeave:
		if !in {
			return flamingodoor.OrderResultHolds
		}
		i.Membership, i.openAt = flamingodoor.Membership{}, time.Time{}
		i.sequence++
		return flamingodoor.OrderResultHolds
	case flamingodoor.OrderKindStage:
		if i.staging != "" {
			return flamingodoor.OrderResultConflict
		}
		i.staging, i.stagedAt = order.ModelID, f.now.Add(f.loadTime(order.ModelID))
	case flamingodoor.OrderKindClose:
		return flamingodoor.OrderResultConflict
	}
	i.sequence++
	return flamingodoor.OrderResultBegun
}

func (f *Fleet) join(i *instance, order flamingodoor.InstanceOrder) flamingodoor.OrderResult {
	if order.Epoch < i.seen {
		return flamingodoor.OrderResultStale
	}
	f.checkFree(i)
	model := f.model(order.ModelID)
	delay := f.loadTime(order.ModelID)
	switch {
	case i.lastUsed == order.ModelID:
		delay = joinAgain
	case slices.Contains(i.StagedModels, order.ModelID):
		delay = model.WarmTime
	case i.staging == order.ModelID:
		delay = i.stagedAt.Sub(f.now) + model.WarmTime
	}
	i.seen = order.Epoch
	i.members = order.Members
	i.Membership = flamingodoor.Membership{
		Group: order.Group, Epoch: order.Epoch, Rank: slices.Index(order.Members, i.ID),
		State: flamingodoor.MembershipStateJoining, ModelID: order.ModelID,
	}
	i.readyAt, i.openAt = f.now.Add(delay), time.Time{}
	i.sequence++
	return flamingodoor.OrderResultBegun
}

// checkFree notes a join that takes a member from a group whose head serves.
func (f *Fleet) checkFree(i *instance) {
	if i.Membership.Group == "" || len(i.members) == 0 {
		return
	}
	head := f.instances[i.members[0]]
	if head.down || head.Membership.Group != i.Membership.Group || head.Membership.Epoch != i.Membership.Epoch {
		return
	}
	if head.Membership.State == flamingodoor.MembershipStateOpen {
		f.violations = append(f.violations, fmt.Sprintf("member %s of the open group %s joined another", i.ID, i.Membership.Group))
	}
}

func (f *Fleet) model(id string) flamingodoor.ModelSpec {
	for _, model := range f.engine.Models {
		if model.ID == id {
			return model
		}
	}
	return flamingodoor.ModelSpec{}
}

// Newest returns the newest epoch.
func (f *Fleet) Newest(context.Context) (int64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.epochs, nil
}

// Claim gives the next epoch to a planner that knows the newest.
func (f *Fleet) Claim(_ context.Context, after int64, _ []byte) (int64, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if after != f.epochs {
		return f.epochs, false, nil
	}
	f.epochs++
	return f.epochs, true, nil
}

// Save keeps the newest group of each head.
func (f *Fleet) Save(_ context.Context, heads []flamingodoor.Instance) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, head := range heads {
		f.heads[head.ID] = head
	}
	return nil
}

// Load returns the heads that were saved.
func (f *Fleet) Load(context.Context) ([]flamingodoor.Instance, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.headsLost {
		return nil, flamingodoor.Errorf(flamingodoor.CodeStoreUnavailable, "down")
	}
	heads := make([]flamingodoor.Instance, 0, len(f.heads))
	for _, head := range f.heads {
		heads = append(heads, head)
	}
	return heads, nil
}

// FailHeadReads makes the register unreadable.
func (f *Fleet) FailHeadReads() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.headsLost = true
}
