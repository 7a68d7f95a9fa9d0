package placement

import (
	"slices"
	"time"
)

// StandardFilters returns the standard filters. If several of them reject a VM,
// only the cause of the first one is counted.
func StandardFilters() []Filter {
	return []Filter{
		FilterFunc(filterDataCentre),
		FilterFunc(filterState),
		FilterFunc(filterLeaving),
		FilterFunc(filterLease),
		FilterFunc(filterQuarantine),
		FilterFunc(filterAvoid),
		FilterFunc(filterMaintenance),
		FilterFunc(filterSlots),
		FilterFunc(filterResources),
	}
}

func filterDataCentre(vm *VM, req *Request, _ time.Time) Cause {
	if req.DataCentre != "" && vm.DataCentre != req.DataCentre {
		return CauseDataCentre
	}
	return ""
}

func filterState(vm *VM, _ *Request, _ time.Time) Cause {
	if vm.State != Active {
		return CauseState
	}
	return ""
}

func filterLeaving(vm *VM, _ *Request, _ time.Time) Cause {
	if vm.Leaving {
		return CauseLeaving
	}
	return ""
}

func filterLease(vm *VM, _ *Request, _ time.Time) Cause {
	if !vm.LeaseHeld {
		return CauseLease
	}
	return ""
}

// filterQuarantine rejects quarantined VMs and VMs on probation that already
// have a task.
func filterQuarantine(vm *VM, _ *Request, _ time.Time) Cause {
	if vm.Health == Quarantined || vm.Health == Probation && vm.UsedSlots > 0 {
		return CauseQuarantine
	}
	return ""
}

func filterAvoid(vm *VM, req *Request, _ time.Time) Cause {
	if slices.Contains(req.Avoid, vm.ID) {
		return CauseAvoid
	}
	return ""
}

// filterMaintenance rejects VMs on which the task is not expected to end before
// the planned maintenance begins.
func filterMaintenance(vm *VM, req *Request, now time.Time) Cause {
	if !vm.MaintenanceAt.IsZero() && !now.Add(req.RunTime).Before(vm.MaintenanceAt) {
		return CauseMaintenance
	}
	return ""
}

func filterSlots(vm *VM, _ *Request, _ time.Time) Cause {
	if vm.FreeSlots() == 0 {
		return CauseSlots
	}
	return ""
}

func filterResources(vm *VM, req *Request, _ time.Time) Cause {
	switch {
	case req.Need.MemoryMB > vm.Free.MemoryMB:
		return CauseMemory
	case req.Need.MilliCPU > vm.Free.MilliCPU:
		return CauseCPU
	case req.Need.Accelerators > vm.Free.Accelerators:
		return CauseAccelerator
	}
	return ""
}

func standardScorers(s Settings) []Scorer {
	return []Scorer{
		packing{s.Packing},
		rackSpread{s.RackSpread},
		dataCentreSpread{s.DataCentreSpread},
		acceleratorSaving{},
	}
}

// packing prefers full VMs, or empty ones if its weight is negative.
type packing struct{ weight float64 }

// Score rates the fraction of the VM that is in use after the placement: the
// largest fraction among slots, processors and memory.
func (p packing) Score(_ *Snapshot, vm *VM, req *Request) float64 {
	use := fraction(int64(vm.UsedSlots+1), int64(vm.Slots))
	use = max(use, fraction(vm.Capacity.MilliCPU-vm.Free.MilliCPU+req.Need.MilliCPU, vm.Capacity.MilliCPU))
	use = max(use, fraction(vm.Capacity.MemoryMB-vm.Free.MemoryMB+req.Need.MemoryMB, vm.Capacity.MemoryMB))
	return p.weight * use
}

func fraction(used, total int64) float64 {
	if total == 0 {
		return 0
	}
	return float64(used) / float64(total)
}

type rackSpread struct{ weight float64 }

// Score rates the free fraction of the slots in the VM's rack.
func (r rackSpread) Score(s *Snapshot, vm *VM, _ *Request) float64 {
	return r.weight * (1 - s.racks[vm.Rack].usedFraction())
}

type dataCentreSpread struct{ weight float64 }

// Score rates the free fraction of the slots in the VM's data centre.
func (d dataCentreSpread) Score(s *Snapshot, vm *VM, _ *Request) float64 {
	return d.weight * (1 - s.dataCentres[vm.DataCentre].usedFraction())
}

// acceleratorPenalty exceeds the largest sum of the other scores at weight 1,
// so that tasks that need no accelerator use a VM with free accelerators only
// when no other VM is left.
const acceleratorPenalty = 4

type acceleratorSaving struct{}

// Score penalizes VMs with free accelerators for tasks that need none.
func (acceleratorSaving) Score(_ *Snapshot, vm *VM, req *Request) float64 {
	if req.Need.Accelerators == 0 && vm.Free.Accelerators > 0 {
		return -acceleratorPenalty
	}
	return 0
}

type slotReserver struct{}

// Reserve takes one slot and the needed resources from the VM.
func (slotReserver) Reserve(vm VM, req *Request) VM {
	vm.UsedSlots++
	vm.Free = vm.Free.Sub(req.Need)
	return vm
}
