// Package fleet is a stand-in for model instances that form replica groups. Tests
// advance its clock. It records every breach of an invariant of groups.
package fleet

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"flamingodoor.example/flamingodoor"
)

// rejoinTime is how long an instance takes to join a group that serves the same
// model as its last group.
const rejoinTime = 200 * time.Millisecond

// Fleet simulates instances, the epochs of orders and the store of heads. It is
// safe for concurrent use.
type Fleet struct {
	engine *flamingodoor.EngineSpec

	mu            sync.Mutex
	now           time.Time
	instances     map[string]*instance
	ids           []string // in the order in which the instances were added
	newestEpoch   int64
	heads         map[string]flamingodoor.Instance
	headReadsFail bool
	violations    []string
	hooks         Hooks
	preTraffic    bool        // before the first request
	loads         []time.Time // when loads from the weight store began, in order
}

// Hooks inject failures of orders.
type Hooks struct {
	// LoseAnswer reports whether an order takes effect without an answer.
	LoseAnswer func(id string, order flamingodoor.InstanceOrder) bool
	// Delay returns the time after which an order takes effect, without an answer.
	// 0 is no delay.
	Delay func(id string, order flamingodoor.InstanceOrder) time.Duration
}

type instance struct {
	flamingodoor.Instance
	members      []string
	lastModel    string    // model of the last group
	sequence     int64     // number of orders accepted
	highestEpoch int64     // of the join orders
	readyAt      time.Time // end of joining
	openAt       time.Time // end of opening; zero if the instance is not opening
	staging      string    // model that is being staged
	stagedAt     time.Time // end of staging
	dead         bool
	// lastEntry is what the list shows of an instance that died.
	lastEntry   flamingodoor.Instance
	unlisted    bool
	unreachable bool            // does not answer, but runs
	calls       int             // reports and orders sent to it
	refusing    bool            // its port refuses connections, but it runs
	cutOff      bool            // nothing passes between its machine and any host, but it runs
	readyIn     map[string]bool // groups in which the instance became ready, by groupKey
	delayed     []delayedOrder
}

type delayedOrder struct {
	at    time.Time // when it takes effect
	order flamingodoor.InstanceOrder
}

// New returns a fleet without instances whose clock shows now.
func New(engine *flamingodoor.EngineSpec, now time.Time) *Fleet {
	return &Fleet{engine: engine, now: now, instances: make(map[string]*instance), heads: make(map[string]flamingodoor.Instance)}
}

// SetHooks replaces the hooks.
func (f *Fleet) SetHooks(hooks Hooks) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hooks = hooks
}

// SetPreTraffic sets whether the first request is still to come. Until then
// weights load in a tenth of the time.
func (f *Fleet) SetPreTraffic(preTraffic bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.preTraffic = preTraffic
}

// loadTime returns the time to load the weights of a model.
func (f *Fleet) loadTime(modelID string) time.Duration {
	const preTrafficLoadDivisor = 10
	if f.preTraffic {
		return f.model(modelID).LoadTime / preTrafficLoadDivisor
	}
	return f.model(modelID).LoadTime
}

// Add starts an instance with the weights of the staged models on its host, and
// returns its identifier.
func (f *Fleet) Add(service, domain, dataCentre string, staged ...string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	number := len(f.ids) + 1
	id := fmt.Sprintf("i-%03d", number)
	f.instances[id] = &instance{
		Instance: flamingodoor.Instance{
			ID: id, Service: service, DataCentre: dataCentre, FabricDomain: domain, Slots: f.engine.Slots,
			Address:   netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(number >> 8), byte(number)}), 80), //nolint:gosec // few instances
			StartedAt: f.now, StagedModels: staged,
		},
		readyIn: make(map[string]bool),
	}
	f.ids = append(f.ids, id)
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

// Advance moves the clock and applies the orders and changes of state that are
// due.
func (f *Fleet) Advance(step time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(step)
	for _, id := range f.ids {
		f.applyDue(f.instances[id])
	}
}

// applyDue applies the delayed orders and changes of state of an instance that are
// due.
func (f *Fleet) applyDue(i *instance) {
	if i.dead {
		return
	}
	for len(i.delayed) > 0 && !f.now.Before(i.delayed[0].at) {
		order := i.delayed[0].order
		i.delayed = i.delayed[1:]
		f.execute(i, order)
	}
	if i.staging != "" && !f.now.Before(i.stagedAt) {
		i.StagedModels, i.staging = []string{i.staging}, ""
	}
	if i.Membership.State == flamingodoor.MembershipStateJoining && !f.now.Before(i.readyAt) {
		i.Membership.State = flamingodoor.MembershipStateReady
		i.lastModel = i.Membership.ModelID
		i.readyIn[groupKey(i)] = true
	}
	if !i.openAt.IsZero() && i.Membership.State == flamingodoor.MembershipStateReady && !f.now.Before(i.openAt) {
		i.Membership.State = flamingodoor.MembershipStateOpen
		i.openAt = time.Time{}
		f.checkComplete(i)
	}
}

// groupKey identifies the group that an instance joined last.
func groupKey(i *instance) string {
	return fmt.Sprint(i.Membership.Group, i.Membership.Epoch, i.members)
}

// checkComplete records a violation if a group opens although one of its members
// never became ready in it.
func (f *Fleet) checkComplete(head *instance) {
	for _, id := range head.members {
		member, ok := f.instances[id]
		if !ok || !member.readyIn[groupKey(head)] {
			f.violations = append(f.violations, fmt.Sprintf("group %s opened without member %s", head.Membership.Group, id))
		}
	}
}

// Kill ends an instance. It stays in the list until SetUnlisted removes it.
func (f *Fleet) Kill(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := f.instances[id]
	i.dead, i.lastEntry = true, i.Instance
	i.Membership = flamingodoor.Membership{}
}

// Crash ends an instance whose machine runs on, so that its port refuses connections.
func (f *Fleet) Crash(id string) {
	f.Kill(id)
	f.SetRefusing(id, true)
}

// SetUnreachable sets whether a running instance is unreachable.
func (f *Fleet) SetUnreachable(id string, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances[id].unreachable = unreachable
}

// Calls returns the number of reports and orders that were sent to an instance,
// answered or not.
func (f *Fleet) Calls(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instances[id].calls
}

// SetRefusing sets whether the port of a running instance refuses connections.
func (f *Fleet) SetRefusing(id string, refusing bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances[id].refusing = refusing
}

// SetCutOff sets whether nothing passes between the machine of a running instance and
// any host.
func (f *Fleet) SetCutOff(id string, cutOff bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances[id].cutOff = cutOff
}

// SetUnlisted removes an instance from the list, or lists it again.
func (f *Fleet) SetUnlisted(id string, unlisted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances[id].unlisted = unlisted
}

// DropWeights removes the staged weights from all machines.
func (f *Fleet) DropWeights() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range f.instances {
		i.StagedModels = nil
	}
}

// SetLeaving marks an instance as leaving.
func (f *Fleet) SetLeaving(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances[id].Leaving = true
}

// Listed returns the list of instances. A dead instance is listed as it last was.
func (f *Fleet) Listed() []flamingodoor.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	var listed []flamingodoor.Instance
	for _, id := range f.ids {
		i := f.instances[id]
		switch {
		case i.unlisted:
		case i.dead:
			listed = append(listed, i.lastEntry)
		default:
			listed = append(listed, i.Instance)
		}
	}
	return listed
}

// Violations returns a description of every breach of an invariant: an instance
// leaves an open group by joining another, or a group opens before all its members
// became ready in it.
func (f *Fleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.violations)
}

// MostLoads returns the largest number of loads from the weight store that began within
// a window after the given time.
func (f *Fleet) MostLoads(after time.Time, window time.Duration) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	most, first := 0, 0
	for last, begun := range f.loads {
		for f.loads[first].Before(after) || begun.Sub(f.loads[first]) > window {
			if first++; first > last {
				break
			}
		}
		most = max(most, last-first+1)
	}
	return most
}

// OpenGroups returns the number of open groups of a model whose members all run.
func (f *Fleet) OpenGroups(modelID string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := 0
	for _, id := range f.ids {
		head := f.instances[id]
		if head.Membership.State != flamingodoor.MembershipStateOpen || head.Membership.ModelID != modelID || head.dead {
			continue
		}
		if !slices.ContainsFunc(head.members, func(id string) bool {
			return f.instances[id].dead || f.instances[id].Membership.Group != head.Membership.Group
		}) {
			count++
		}
	}
	return count
}

// GroupMembers returns the members of the group that the instance heads.
func (f *Fleet) GroupMembers(head string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.instances[head].members)
}

// reachableAt returns the instance at an address. It fails if there is none or if it
// does not answer.
func (f *Fleet) reachableAt(address netip.AddrPort) (*instance, error) {
	for _, i := range f.instances {
		if i.Address == address {
			i.calls++
			if i.refusing {
				return nil, flamingodoor.NewError(flamingodoor.CodeEndpointFailed, flamingodoor.RunStateNotRun, syscall.ECONNREFUSED)
			}
			if i.dead || i.unreachable || i.cutOff {
				return nil, flamingodoor.Errorf(flamingodoor.CodeEndpointFailed, "instance %s does not answer", i.ID)
			}
			return i, nil
		}
	}
	return nil, flamingodoor.Errorf(flamingodoor.CodeEndpointFailed, "no instance has the address %s", address)
}

// Dial opens a connection. The machine of an instance that is unreachable accepts it.
func (f *Fleet) Dial(_ context.Context, address netip.AddrPort) flamingodoor.DialResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range f.instances {
		if i.Address == address && !i.cutOff && (!i.dead || i.refusing) {
			return flamingodoor.DialResultAnswered
		}
	}
	return flamingodoor.DialResultUnanswered
}

// Report returns the report of the instance at an address.
func (f *Fleet) Report(_ context.Context, address netip.AddrPort) (flamingodoor.InstanceReport, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i, err := f.reachableAt(address)
	if err != nil {
		return flamingodoor.InstanceReport{}, err
	}
	return flamingodoor.InstanceReport{Instance: i.Instance, OrderSequence: i.sequence, Slowdown: 1}, nil
}

// Order executes an order. A hook can delay it or lose the answer.
func (f *Fleet) Order(_ context.Context, target flamingodoor.Instance, order flamingodoor.InstanceOrder) (flamingodoor.OrderResult, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i, err := f.reachableAt(target.Address)
	if err != nil {
		return flamingodoor.OrderResultUnknown, err
	}
	if i.ID != target.ID {
		return flamingodoor.OrderResultOther, nil
	}
	if f.hooks.Delay != nil {
		if delay := f.hooks.Delay(i.ID, order); delay > 0 {
			i.delayed = append(i.delayed, delayedOrder{at: f.now.Add(delay), order: order})
			return flamingodoor.OrderResultUnknown, flamingodoor.Errorf(flamingodoor.CodeEndpointFailed, "the order to instance %s is delayed", i.ID)
		}
	}
	result := f.execute(i, order)
	if f.hooks.LoseAnswer != nil && f.hooks.LoseAnswer(i.ID, order) {
		return flamingodoor.OrderResultUnknown, flamingodoor.Errorf(flamingodoor.CodeEndpointFailed, "the answer of instance %s to the order is lost", i.ID)
	}
	return result, nil
}

// execute applies an order to an instance.
func (f *Fleet) execute(i *instance, order flamingodoor.InstanceOrder) flamingodoor.OrderResult {
	if order.Sequence != i.sequence {
		return flamingodoor.OrderResultConflict
	}
	inGroup := i.Membership.Group == order.Group && i.Membership.Epoch == order.Epoch
	switch order.Kind {
	case flamingodoor.OrderKindJoin:
		return f.join(i, order)
	case flamingodoor.OrderKindOpen:
		if !inGroup || i.Membership.State != flamingodoor.MembershipStateReady {
			return flamingodoor.OrderResultConflict
		}
		i.openAt = f.now.Add(f.engine.FormationTime)
	case flamingodoor.OrderKindLeave:
		if !inGroup {
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
		if !slices.Contains(i.StagedModels, order.ModelID) {
			f.loads = append(f.loads, f.now)
		}
	case flamingodoor.OrderKindClose:
		return flamingodoor.OrderResultConflict
	}
	i.sequence++
	return flamingodoor.OrderResultBegun
}

func (f *Fleet) join(i *instance, order flamingodoor.InstanceOrder) flamingodoor.OrderResult {
	if order.Epoch < i.highestEpoch {
		return flamingodoor.OrderResultStale
	}
	f.checkAvailable(i)
	model := f.model(order.ModelID)
	delay := f.loadTime(order.ModelID)
	switch {
	case i.lastModel == order.ModelID:
		delay = rejoinTime
	case slices.Contains(i.StagedModels, order.ModelID):
		delay = model.WarmTime
	case i.staging == order.ModelID:
		delay = i.stagedAt.Sub(f.now) + model.WarmTime
	default:
		f.loads = append(f.loads, f.now)
	}
	i.highestEpoch = order.Epoch
	i.members = order.Members
	i.Membership = flamingodoor.Membership{
		Group: order.Group, Epoch: order.Epoch, Rank: slices.Index(order.Members, i.ID),
		State: flamingodoor.MembershipStateJoining, ModelID: order.ModelID,
	}
	i.readyAt, i.openAt = f.now.Add(delay), time.Time{}
	i.sequence++
	return flamingodoor.OrderResultBegun
}

// checkAvailable records a violation if an instance that joins a group is still a
// member of an open group.
func (f *Fleet) checkAvailable(i *instance) {
	if i.Membership.Group == "" || len(i.members) == 0 {
		return
	}
	head := f.instances[i.members[0]]
	if head.dead || head.Membership.Group != i.Membership.Group || head.Membership.Epoch != i.Membership.Epoch {
		return
	}
	if head.Membership.State == flamingodoor.MembershipStateOpen {
		f.violations = append(f.violations, fmt.Sprintf("member %s of the open group %s joined another group", i.ID, i.Membership.Group))
	}
}

// model returns the specification of a model, or the zero value if there is none.
func (f *Fleet) model(id string) flamingodoor.ModelSpec {
	for _, model := range f.engine.Models {
		if model.ID == id {
			return model
		}
	}
	return flamingodoor.ModelSpec{}
}
