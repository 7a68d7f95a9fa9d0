// Package maintenance plans the maintenance of VMs: each VM is drained, rebooted
// and returned once in a period, within the availability budgets and without
// cutting work. It is pure: the same snapshot and time give the same decisions.
package maintenance

import (
	"time"

	"amaranthfork.example/fleet"
)

// Phase is where a VM stands in its maintenance.
type Phase uint8

const (
	PhaseNone      Phase = iota // in service
	PhaseDraining               // takes no new work
	PhaseRebooting              // the reboot may have been asked for
	PhaseFailed                 // did not come back in time
	PhaseHeld                   // drained by an operator
	PhaseReleasing              // returns to service without having been maintained
)

// String returns the name of the phase.
func (p Phase) String() string {
	names := [...]string{"in service", "draining", "rebooting", "failed", "held by operator", "releasing"}
	if int(p) < len(names) {
		return names[p]
	}
	return "unknown"
}

// Task is work that runs on a VM.
type Task struct {
	ID            fleet.AttemptID
	End           time.Time // estimated
	Deadline      time.Time // zero means none
	CanCheckpoint bool
}

// VM is what the planner knows of a VM.
type VM struct {
	ID         fleet.VMID
	DataCentre fleet.DataCentreName
	Rack       fleet.RackName
	Pool       fleet.PoolName
	Last       time.Time // end of the last maintenance, or the time the VM was first seen
	Phase      Phase
	Since      time.Time // start of the phase
	Rebooted   time.Time // when the platform had accepted the reboot; zero before
	NotBefore  time.Time // earliest next attempt after one that was given up
	Active     bool      // assigned to its pool, not being moved or drained
	Drawn      bool      // has a record in the budget rows
	Failed     bool      // that record has the cause "failed"
	Live       bool      // in the newest VM listing
	SeenAt     time.Time // the time that this listing reflects
	Idle       bool      // the dispatcher holds no task and no reservation
	TasksKnown bool      // Tasks is filled; VMs without are not started
	Tasks      []Task
}

// Pool is the availability budget of a pool.
type Pool struct {
	MaxUnavailable int // VMs that may be unavailable at a time
	Lost           int // records of removed VMs that nothing has replaced
}

// Snapshot is all that a plan depends on, besides the time.
type Snapshot struct {
	VMs            []VM
	Pools          map[fleet.PoolName]Pool
	Plan           fleet.MaintenancePlan
	DataCentresOut map[fleet.DataCentreName]bool
	Paused         string        // why operators paused maintenance, "" when they did not
	Stopped        string        // why the wave was stopped, "" when it was not
	Failures       int           // failed reboots of the wave
	Duration       time.Duration // of one VM's maintenance, as observed; 0 means 20 minutes
	MaxStarts      int           // starts in one plan; 0 means 16
}

// Action is what is to be done.
type Action uint8

const (
	ActionDrain      Action = iota + 1 // draw the budget and start
	ActionCheckpoint                   // checkpoint Task
	ActionReboot
	ActionFinish   // back in service, maintained
	ActionReturn   // back in service, not maintained
	ActionFail     // record the VM as failed
	ActionStopWave // start no more until operators resume
)

// String returns the name of the action.
func (a Action) String() string {
	names := [...]string{"none", "drain", "checkpoint", "reboot", "finish", "return", "fail", "stop wave"}
	if int(a) < len(names) {
		return names[a]
	}
	return "unknown"
}

// Decision is one action with its reason.
type Decision struct {
	Action Action
	VM     fleet.VMID
	Task   fleet.AttemptID
	Reason string
	// RetryAfter is how long a returned VM is left alone.
	RetryAfter time.Duration
}
