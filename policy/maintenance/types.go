// Package maintenance plans the maintenance of VMs: each VM is drained, rebooted
// and returned to service once in a period, within the availability budgets and
// without interrupting work. It keeps no state and does no I/O: the same snapshot
// and time give the same decisions.
package maintenance

import (
	"time"

	"amaranthfork.example/fleet"
)

// Phase is the phase of a VM's maintenance.
type Phase uint8

const (
	PhaseNone      Phase = iota // in service
	PhaseDraining               // takes no new work
	PhaseRebooting              // the reboot has been requested, or will be next
	PhaseFailed                 // lost, or not back within the reboot timeout
	PhaseHeld                   // drained by an operator
	PhaseReleasing              // is about to return to service without having been maintained
)

// String returns the name of the phase, "unknown" for other values.
func (p Phase) String() string {
	names := [...]string{"in service", "draining", "rebooting", "failed", "held by operator", "releasing"}
	if int(p) < len(names) {
		return names[p]
	}
	return "unknown"
}

// Task describes a task that runs on a VM.
type Task struct {
	ID            fleet.AttemptID
	End           time.Time // estimated
	Deadline      time.Time // zero means none
	CanCheckpoint bool      // can be checkpointed and started again elsewhere
}

// VM describes a VM and the state of its maintenance.
type VM struct {
	ID               fleet.VMID
	DataCentre       fleet.DataCentreName
	Rack             fleet.RackName
	Pool             fleet.PoolName
	LastMaintained   time.Time // end of the last maintenance, or the time the VM was first seen
	Phase            Phase
	PhaseSince       time.Time // start of the phase
	RebootAcceptedAt time.Time // when the platform accepted the reboot; zero before that
	NotBefore        time.Time // earliest time of the next drain after one that was given up
	Active           bool      // assigned to its pool and not being moved or drained
	HasBudgetRecord  bool      // has a record in the budget rows, that is, it counts as unavailable
	RecordedFailed   bool      // that record has the cause "failed"
	Live             bool      // live in the newest answer of the VM list
	ListedAt         time.Time // the time that this answer reflects
	Idle             bool      // the dispatcher holds no task and no reservation
	TasksKnown       bool      // Tasks is filled; a drain starts only when it is
	Tasks            []Task
}

// Pool is the availability budget of a pool.
type Pool struct {
	MaxUnavailable int // VMs that may be unavailable at a time
	LostRecords    int // records of removed VMs that have not been replaced
}

// Snapshot is everything that a plan depends on besides the time.
type Snapshot struct {
	VMs            []VM
	Pools          map[fleet.PoolName]Pool
	Plan           fleet.MaintenancePlan
	DataCentresOut map[fleet.DataCentreName]bool // taken out of service by operators
	Paused         string                        // why operators paused maintenance, "" if they did not
	Stopped        string                        // why the wave was stopped, "" if it was not
	Failures       int                           // failed reboots in the wave
	Duration       time.Duration                 // observed duration of the maintenance of one VM; 0 means 20 minutes
	MaxStarts      int                           // upper limit of the drains that one plan starts; 0 means 16
}

// Action is the action that a decision asks for.
type Action uint8

const (
	ActionDrain      Action = iota + 1 // count the VM against the availability budgets and start its drain
	ActionCheckpoint                   // checkpoint the task Decision.Task
	ActionReboot                       // request the reboot
	ActionFinish                       // return the VM to service as maintained
	ActionReturn                       // return the VM to service without having been maintained
	ActionFail                         // record the VM as failed
	ActionStopWave                     // start no more drains until operators resume the wave
)

// String returns the name of the action, "none" for 0 and "unknown" for other values.
func (a Action) String() string {
	names := [...]string{"none", "drain", "checkpoint", "reboot", "finish", "return", "fail", "stop wave"}
	if int(a) < len(names) {
		return names[a]
	}
	return "unknown"
}

// Decision is one action and its reason.
type Decision struct {
	Action Action
	VM     fleet.VMID      // empty for ActionStopWave
	Task   fleet.AttemptID // only for ActionCheckpoint
	Reason string          // in words, for operators
	// RetryAfter is how long no new drain of a returned VM may start.
	RetryAfter time.Duration
}
