package slots

import (
	"context"
	"fmt"
	"sort"
	"time"

	"amaranthfork.example/control"
	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/placement"
	"amaranthfork.example/policy/quarantine"
	"amaranthfork.example/policy/sharding"
)

// ownerMap assigns VMs to owners by one version of the member list.
type ownerMap struct {
	version uint64
	members int
	byDC    map[fleet.DataCentreName][]string // member ids
	dcs     []string                          // data centres that have members, sorted
}

func newOwnerMap(members control.Members) *ownerMap {
	m := &ownerMap{version: members.Version, members: len(members.List), byDC: map[fleet.DataCentreName][]string{}}
	for _, member := range members.List {
		m.byDC[member.DataCentre] = append(m.byDC[member.DataCentre], member.ID)
	}
	for dc := range m.byDC {
		m.dcs = append(m.dcs, string(dc))
	}
	sort.Strings(m.dcs)
	return m
}

// serving returns the members that own the VMs of a data centre.
func (m *ownerMap) serving(dc fleet.DataCentreName) []string {
	if own := m.byDC[dc]; len(own) > 0 {
		return own
	}
	return m.byDC[fleet.DataCentreName(sharding.Owner("dc/"+string(dc), m.dcs))]
}

func (m *ownerMap) owner(vm fleet.VMID, dc fleet.DataCentreName) string {
	return sharding.Owner("vm/"+string(vm), m.serving(dc))
}

// knownVM is a VM that is in the platform's VM list or was until
// goneVMRetention ago.
type knownVM struct {
	fleet.VM
	goneSince time.Time // zero while the VM is in the list and not gone
}

// goneVMRetention is how long a VM is remembered after it is gone or has left
// the list, so that lookups of its attempts still find its owner.
const goneVMRetention = 30 * time.Minute

// currentOwners returns the map for the current member list; s.mu is held.
func (s *Slots) currentOwners() *ownerMap {
	members := s.options.Membership.Members()
	if s.owners == nil || s.owners.version != members.Version || s.owners.members != len(members.List) {
		s.owners = newOwnerMap(members)
	}
	return s.owners
}

// TickList reads the VM list and updates ownership, totals and VM health. The
// caller runs it every second. If the list cannot be read, it updates them from
// the last known list and returns the error.
func (s *Slots) TickList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	requestedAt := s.options.Clock.Now()
	listing, err := s.options.VMList.List(ctx)
	s.mu.Lock()
	defer s.unlock()
	if err == nil {
		s.listedAt = requestedAt
		s.mergeListing(listing.VMs, requestedAt)
	}
	s.syncOwnership()
	s.syncTotals()
	s.evaluateHealth()
	s.expireRecords()
	if err != nil {
		return fmt.Errorf("list VMs: %w", err)
	}
	return nil
}

// mergeListing updates the known VMs. A VM that is not listed any more counts as
// gone.
func (s *Slots) mergeListing(vms []fleet.VM, now time.Time) {
	listed := make(map[fleet.VMID]bool, len(vms))
	for _, vm := range vms {
		known := knownVM{VM: vm}
		if vm.State == fleet.VMGone {
			known.goneSince = s.goneSince(vm.ID, now)
		}
		listed[vm.ID] = true
		s.knownVMs[vm.ID] = known
	}
	for id, known := range s.knownVMs {
		if !listed[id] {
			known.State = fleet.VMGone
			known.goneSince = s.goneSince(id, now)
			s.knownVMs[id] = known
		}
		if !known.goneSince.IsZero() && now.Sub(known.goneSince) > goneVMRetention {
			delete(s.knownVMs, id)
		}
	}
}

func (s *Slots) goneSince(vm fleet.VMID, now time.Time) time.Time {
	if since := s.knownVMs[vm].goneSince; !since.IsZero() {
		return since
	}
	return now
}

// syncOwnership creates and drops owned VMs; s.mu is held.
func (s *Slots) syncOwnership() {
	owners := s.currentOwners()
	now := s.options.Clock.Now()
	for id, known := range s.knownVMs {
		owned := owners.owner(id, known.DataCentre) == s.self
		v, have := s.vms[id]
		switch {
		case owned && have:
			v.vm = known.VM
		case owned:
			s.vms[id] = newOwnedVM(known.VM, now)
		case have:
			s.dropVM(v)
		}
	}
	for id, v := range s.vms {
		if _, ok := s.knownVMs[id]; !ok {
			s.dropVM(v)
		}
	}
}

// dropVM ends the ownership of a VM. The next owner reads the task list, so ends
// in that list are left to it.
func (s *Slots) dropVM(v *ownedVM) {
	delete(s.vms, v.id)
	v.dropped = true
	if v.epoch > 0 {
		s.epochFloors[v.id] = max(s.epochFloors[v.id], v.epoch+1)
	}
	s.dropListedEnds(v.id)
}

// totalKey identifies the VMs of a pool in a data centre.
type totalKey struct {
	pool fleet.PoolName
	dc   fleet.DataCentreName
}

// total sums up the live VMs that are active in a pool, in one data centre.
type total struct {
	slots   int
	largest fleet.Resources // component-wise maximum of the capacities
	byOwner map[string]int  // slots by member id of the owner
}

// syncTotals computes the totals from the known VMs and their assignments.
func (s *Slots) syncTotals() {
	owners := s.currentOwners()
	totals := map[totalKey]total{}
	for id, known := range s.knownVMs {
		assigned, ok := s.options.Pools.Assignment(id)
		if !ok || assigned.State != placement.Active || known.State != fleet.VMLive {
			continue
		}
		key := totalKey{assigned.Pool, known.DataCentre}
		sum := totals[key]
		if sum.byOwner == nil {
			sum.byOwner = map[string]int{}
		}
		sum.slots += known.Slots
		sum.largest = maxComponents(sum.largest, known.Capacity)
		sum.byOwner[owners.owner(id, known.DataCentre)] += known.Slots
		totals[key] = sum
	}
	s.totals = totals
}

func maxComponents(a, b fleet.Resources) fleet.Resources {
	return fleet.Resources{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// evaluateHealth applies the quarantine policy to the owned VMs, comparing them
// with each other.
func (s *Slots) evaluateHealth() {
	members := map[fleet.PoolName][]fleet.VMID{}
	for id := range s.vms {
		if assigned, ok := s.options.Pools.Assignment(id); ok {
			members[assigned.Pool] = append(members[assigned.Pool], id)
		}
	}
	for _, change := range s.health.Evaluate(s.options.Clock.Now(), members) {
		s.queueEvent(healthEvents[change.State], change.VM, "", "%d of %d tasks failed, probability by chance %.1e",
			change.Failures, change.Tasks, change.PValue)
	}
}

var healthEvents = map[quarantine.State]EventKind{
	quarantine.Healthy:     EventWorkerHealthy,
	quarantine.Probation:   EventWorkerProbation,
	quarantine.Quarantined: EventWorkerQuarantined,
}
