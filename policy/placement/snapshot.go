package placement

import "amaranthfork.example/fleet"

// Snapshot is an immutable set of VMs grouped by pool.
type Snapshot struct {
	vmsByPool   map[fleet.PoolName][]VM
	racks       map[fleet.RackName]load
	dataCentres map[fleet.DataCentreName]load
}

// load counts the used slots and all slots of a failure domain.
type load struct{ used, slots int }

func (l load) usedFraction() float64 {
	if l.slots == 0 {
		return 0
	}
	return float64(l.used) / float64(l.slots)
}

// NewSnapshot copies vms into a snapshot.
func NewSnapshot(vms []VM) *Snapshot {
	s := &Snapshot{
		vmsByPool:   map[fleet.PoolName][]VM{},
		racks:       map[fleet.RackName]load{},
		dataCentres: map[fleet.DataCentreName]load{},
	}
	for _, vm := range vms {
		s.vmsByPool[vm.Pool] = append(s.vmsByPool[vm.Pool], vm)
		s.addLoad(vm, vm.UsedSlots, vm.Slots)
	}
	return s
}

func (s *Snapshot) addLoad(vm VM, used, slots int) {
	rack, dc := s.racks[vm.Rack], s.dataCentres[vm.DataCentre]
	s.racks[vm.Rack] = load{rack.used + used, rack.slots + slots}
	s.dataCentres[vm.DataCentre] = load{dc.used + used, dc.slots + slots}
}

// VMs returns the VMs of a pool. The caller must not modify the result.
func (s *Snapshot) VMs(pool fleet.PoolName) []VM { return s.vmsByPool[pool] }

// With returns a copy of s in which vm replaces the VM with the same id and
// pool. The copy shares the VMs of all other pools with s. A VM that is not in
// s is ignored.
func (s *Snapshot) With(vm VM) *Snapshot {
	next := &Snapshot{
		vmsByPool:   cloneMap(s.vmsByPool),
		racks:       cloneMap(s.racks),
		dataCentres: cloneMap(s.dataCentres),
	}
	group := append([]VM(nil), s.vmsByPool[vm.Pool]...)
	for i := range group {
		if group[i].ID == vm.ID {
			next.addLoad(vm, vm.UsedSlots-group[i].UsedSlots, vm.Slots-group[i].Slots)
			group[i] = vm
		}
	}
	next.vmsByPool[vm.Pool] = group
	return next
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	clone := make(map[K]V, len(m))
	for k, v := range m {
		clone[k] = v
	}
	return clone
}

// CanEverHold reports whether any VM of the pool would have the capacity for
// need if it were empty, regardless of its present state.
func (s *Snapshot) CanEverHold(pool fleet.PoolName, need fleet.Resources) bool {
	for _, vm := range s.vmsByPool[pool] {
		if vm.Slots > 0 && need.Fits(vm.Capacity) {
			return true
		}
	}
	return false
}
