package placement

import "amaranthfork.example/fleet"

// Snapshot is an immutable set of VMs grouped by pool.
type Snapshot struct {
	groups      map[fleet.PoolName][]VM
	racks       map[fleet.RackName]load
	dataCentres map[fleet.DataCentreName]load
}

// load is the use of the slots of a failure domain.
type load struct{ used, slots int }

func (l load) part() float64 {
	if l.slots == 0 {
		return 0
	}
	return float64(l.used) / float64(l.slots)
}

// NewSnapshot copies vms into a snapshot.
func NewSnapshot(vms []VM) *Snapshot {
	s := &Snapshot{
		groups:      map[fleet.PoolName][]VM{},
		racks:       map[fleet.RackName]load{},
		dataCentres: map[fleet.DataCentreName]load{},
	}
	for _, vm := range vms {
		s.groups[vm.Pool] = append(s.groups[vm.Pool], vm)
		s.count(vm, vm.Used, vm.Slots)
	}
	return s
}

func (s *Snapshot) count(vm VM, used, slots int) {
	rack, dc := s.racks[vm.Rack], s.dataCentres[vm.DataCentre]
	s.racks[vm.Rack] = load{rack.used + used, rack.slots + slots}
	s.dataCentres[vm.DataCentre] = load{dc.used + used, dc.slots + slots}
}

// VMs returns the VMs of a pool. The result must not be changed.
func (s *Snapshot) VMs(pool fleet.PoolName) []VM { return s.groups[pool] }

// With returns a snapshot in which a VM is replaced by the VM with the same id
// and pool. It shares all other pools with s. A VM that is not in s is ignored.
func (s *Snapshot) With(vm VM) *Snapshot {
	next := &Snapshot{
		groups:      cloneMap(s.groups),
		racks:       cloneMap(s.racks),
		dataCentres: cloneMap(s.dataCentres),
	}
	group := append([]VM(nil), s.groups[vm.Pool]...)
	for i := range group {
		if group[i].ID == vm.ID {
			next.count(vm, vm.Used-group[i].Used, vm.Slots-group[i].Slots)
			group[i] = vm
		}
	}
	next.groups[vm.Pool] = group
	return next
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	clone := make(map[K]V, len(m))
	for k, v := range m {
		clone[k] = v
	}
	return clone
}

// CanEverHold reports whether a VM of the pool has the capacity for need when
// it is empty, whatever its present state.
func (s *Snapshot) CanEverHold(pool fleet.PoolName, need fleet.Resources) bool {
	for _, vm := range s.groups[pool] {
		if vm.Slots > 0 && need.Fits(vm.Capacity) {
			return true
		}
	}
	return false
}
