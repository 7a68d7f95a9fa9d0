package node

import (
	"go.uber.org/zap"

	"amaranthfork.example/sched/pool"
)

// machineUse names a machine for which it matters whether it is gone, and the wave for which
// it does; wave is empty for the machine's cordon.
type machineUse struct {
	wave, machine string
}

// absence is what the lists of the inventory tell of a machine that they do not name.
type absence struct {
	proof pool.ListProof
	gone  bool
}

// machineUses returns the machines for which it matters whether they are gone: those with
// cordons, and those that open waves still have to take.
func (f *fleetController) machineUses() []machineUse {
	var uses []machineUse
	for name := range f.cordons {
		uses = append(uses, machineUse{machine: name})
	}
	view, _ := f.node.operator.Get()
	for _, w := range view.Waves {
		if s := f.waves[w.ID]; s != nil && s.row.Complete {
			continue
		}
		for _, name := range w.Machines {
			uses = append(uses, machineUse{w.ID, name})
		}
	}
	return uses
}

// observeAbsences takes a complete list of all machines. It tells nothing of a use that has
// begun after its request: the machine may have joined in between. A list without machines
// proves nothing.
func (f *fleetController) observeAbsences(list listResult) {
	if len(list.machines) == 0 {
		return
	}
	absences := make(map[machineUse]*absence, len(f.absences))
	for _, use := range list.uses {
		if _, listed := f.machines[use.machine]; listed {
			continue
		}
		a := f.absences[use]
		if a == nil {
			a = &absence{}
		}
		if a.proof.Add(list.sentAt, f.listEndedAt, machineGoneAfter) && !a.gone {
			a.gone = true
			f.log.Info("machine_gone", zap.String("machine", use.machine), zap.String("wave", use.wave), zap.Int("listed", len(list.machines)))
		}
		absences[use] = a
	}
	f.absences = absences
}

// isGone reports whether lists that were requested after a use of a machine began prove that
// the machine is gone.
func (f *fleetController) isGone(use machineUse) bool {
	a := f.absences[use]
	return a != nil && a.gone
}
