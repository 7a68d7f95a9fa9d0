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

// shardMap is the ownership that follows from one version of the member list.
type shardMap struct {
	version uint64
	members int
	byDC    map[fleet.DataCentreName][]string
	dcs     []string // data centres that have members
}

func newShardMap(members control.Members) *shardMap {
	m := &shardMap{version: members.Version, members: len(members.List), byDC: map[fleet.DataCentreName][]string{}}
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
func (m *shardMap) serving(dc fleet.DataCentreName) []string {
	if own := m.byDC[dc]; len(own) > 0 {
		return own
	}
	return m.byDC[fleet.DataCentreName(sharding.Owner("dc/"+string(dc), m.dcs))]
}

func (m *shardMap) owner(vm fleet.VMID, dc fleet.DataCentreName) string {
	return sharding.Owner("vm/"+string(vm), m.serving(dc))
}

// knownVM is a VM of the platform's list.
type knownVM struct {
	fleet.VM
	goneSince time.Time // zero while the VM is in the list and not gone
}

// goneMemory is the time for which a VM is remembered after it left the list,
// so that lookups of its attempts still find their owner.
const goneMemory = 30 * time.Minute

// shardMapNow returns the map of the present member list; s.mu is held.
func (s *Slots) shardMapNow() *shardMap {
	members := s.o.Membership.Members()
	if s.shards == nil || s.shards.version != members.Version || s.shards.members != len(members.List) {
		s.shards = newShardMap(members)
	}
	return s.shards
}

// TickList reads the VM list and applies changes of ownership. The caller runs
// it every second.
func (s *Slots) TickList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	before := s.o.Clock.Now()
	listing, err := s.o.List.List(ctx)
	s.mu.Lock()
	defer s.unlock()
	if err == nil {
		s.listedAt = before
		s.merge(listing.VMs, before)
	}
	s.syncOwnership()
	s.syncTotals()
	s.evaluateHealth()
	s.expireMemory()
	if err != nil {
		return fmt.Errorf("list VMs: %w", err)
	}
	return nil
}

func (s *Slots) merge(vms []fleet.VM, now time.Time) {
	listed := make(map[fleet.VMID]bool, len(vms))
	for _, vm := range vms {
		entry := knownVM{VM: vm}
		if vm.State == fleet.VMGone {
			entry.goneSince = s.goneSince(vm.ID, now)
		}
		listed[vm.ID] = true
		s.known[vm.ID] = entry
	}
	for id, entry := range s.known {
		if !listed[id] {
			entry.State = fleet.VMGone
			entry.goneSince = s.goneSince(id, now)
			s.known[id] = entry
		}
		if !entry.goneSince.IsZero() && now.Sub(entry.goneSince) > goneMemory {
			delete(s.known, id)
		}
	}
}

func (s *Slots) goneSince(vm fleet.VMID, now time.Time) time.Time {
	if since := s.known[vm].goneSince; !since.IsZero() {
		return since
	}
	return now
}

// syncOwnership creates and drops owned VMs; s.mu is held.
func (s *Slots) syncOwnership() {
	shards := s.shardMapNow()
	now := s.o.Clock.Now()
	for id, entry := range s.known {
		owned := shards.owner(id, entry.DataCentre) == s.self
		v, have := s.vms[id]
		switch {
		case owned && have:
			v.vm = entry.VM
		case owned:
			s.vms[id] = newOwnedVM(entry.VM, now)
		case have:
			s.drop(v)
		}
	}
	for id, v := range s.vms {
		if _, ok := s.known[id]; !ok {
			s.drop(v)
		}
	}
}

// drop ends the ownership of a VM. The next owner reads the task list, so the
// ends that stand in it are left to that owner.
func (s *Slots) drop(v *ownedVM) {
	delete(s.vms, v.id)
	v.dropped = true
	if v.epoch > 0 {
		s.floors[v.id] = max(s.floors[v.id], v.epoch+1)
	}
	s.dropListedEnds(v.id)
}

// totalKey names a pool's part in a data centre.
type totalKey struct {
	pool fleet.PoolName
	dc   fleet.DataCentreName
}

// total is what the VM list and the pools say of it.
type total struct {
	slots   int
	largest fleet.Resources
	byOwner map[string]int // slots by owner
}

func (s *Slots) syncTotals() {
	shards := s.shardMapNow()
	totals := map[totalKey]total{}
	for id, entry := range s.known {
		assigned, ok := s.o.Pools.Assignment(id)
		if !ok || assigned.State != placement.Active || entry.State != fleet.VMLive {
			continue
		}
		key := totalKey{assigned.Pool, entry.DataCentre}
		sum := totals[key]
		if sum.byOwner == nil {
			sum.byOwner = map[string]int{}
		}
		sum.slots += entry.Slots
		sum.largest = maxParts(sum.largest, entry.Capacity)
		sum.byOwner[shards.owner(id, entry.DataCentre)] += entry.Slots
		totals[key] = sum
	}
	s.totals = totals
}

func maxParts(a, b fleet.Resources) fleet.Resources {
	return fleet.Resources{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryMB:     max(a.MemoryMB, b.MemoryMB),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// evaluateHealth applies the quarantine policy to the owned VMs. An entry
// compares the VMs that it owns with each other.
func (s *Slots) evaluateHealth() {
	members := map[fleet.PoolName][]fleet.VMID{}
	for id := range s.vms {
		if assigned, ok := s.o.Pools.Assignment(id); ok {
			members[assigned.Pool] = append(members[assigned.Pool], id)
		}
	}
	for _, change := range s.health.Evaluate(s.o.Clock.Now(), members) {
		s.event(healthEvents[change.State], change.VM, "", "%d of %d tasks failed, chance %.1e",
			change.Failures, change.Tasks, change.Chance)
	}
}

var healthEvents = map[quarantine.State]EventKind{
	quarantine.Healthy:     EventHealthy,
	quarantine.Probation:   EventProbation,
	quarantine.Quarantined: EventQuarantined,
}
