// Package capacity decides when which VMs move between pools: to pools that lack
// VMs for their demand, and back to the spare pool when no pool needs them. A
// decision is a pure function of a snapshot, the settings and the memory of the
// previous decision; the caller carries out the moves. All operators use the same
// policy; fleet.Profile adjusts its settings.
package capacity

import (
	"time"

	"amaranthfork.example/fleet"
)

// Pool describes a pool.
type Pool struct {
	Name           fleet.PoolName
	Spare          bool // has no demand of its own; lends its VMs to the other pools
	MaxUnavailable int  // VMs that may be unavailable at a time, planned or not
	DeclaredVMs    int  // number of VMs in the configuration
}

// VM describes a VM and its present load.
type VM struct {
	ID             fleet.VMID
	Pool           fleet.PoolName // the assigned pool; the pool that it leaves while it moves
	DataCentre     fleet.DataCentreName
	Rack           fleet.RackName
	Slots          int           // tasks that may run at a time
	Running        int           // running tasks
	Remaining      time.Duration // estimated time until the running tasks have ended
	Available      bool          // serves work: it is live and not in maintenance, and its data centre is in service
	MaintenanceDue bool          // its maintenance is about to begin
	LastMoved      time.Time     // end of its last move; zero if it never moved
}

// Work describes the tasks of one team and class in one pool.
type Work struct {
	Pool              fleet.PoolName
	Team              fleet.TeamName
	Class             fleet.Class
	Running           int           // running tasks
	Queued            int           // waiting tasks
	RunTime           time.Duration // estimated, of one task
	ArrivalsPerSecond float64       // tasks per second, recently
}

// DataCentre describes the state of a data centre.
type DataCentre struct {
	Name  fleet.DataCentreName
	State fleet.DataCentreState
	Since time.Time // last change of State; zero if it never changed
}

// MoveInProgress is a move of an earlier decision that has not ended.
type MoveInProgress struct {
	VM       fleet.VMID
	From, To fleet.PoolName
}

// Outlook is the demand forecast for one pool.
type Outlook struct {
	Pool          fleet.PoolName
	ExpectedSlots float64       // demand, in slots, expected at the time when a move that is decided now ends
	PeakSlots     float64       // usual demand, in slots, during a demand peak
	PeakExpected  bool          // a demand peak is under way, or expected by the time when such a move ends
	PeakRemaining time.Duration // expected remaining length of the demand peak
}

// Snapshot is the observed state that a decision depends on. Decide does not
// change it.
type Snapshot struct {
	Now         time.Time
	Pools       []Pool
	VMs         []VM
	Work        []Work
	Teams       []fleet.Team
	DataCentres []DataCentre
	Moves       []MoveInProgress
	Outlooks    []Outlook
}

// Move is a decision to move a VM.
type Move struct {
	VM          fleet.VMID     `json:"vm"`
	From        fleet.PoolName `json:"from"`
	To          fleet.PoolName `json:"to"`
	Reason      Reason         `json:"reason"`
	Explanation string         `json:"explains"` // the reason in words, for operators
}

// Reason is the kind of reason for which a VM moves.
type Reason string

const (
	ReasonDemand Reason = "demand" // the pool needs more VMs than it has
	ReasonReturn Reason = "return" // the pool no longer needs the VM
)

// Memory is the state that one decision passes to the next. The zero value is for
// the first decision.
type Memory struct {
	Window Window // least surplus of all pools together
}

// Window holds the least surplus of all pools together, in VMs, during the present
// and the previous span. A span lasts Settings.ReturnAfter.
type Window struct {
	Began                time.Time // start of the present span
	LeastSurplus         int       // since Began
	PreviousLeastSurplus int       // in the previous span; 0 during the first span
}

// Decision is the result of Decide.
type Decision struct {
	Moves  []Move
	Need   map[fleet.PoolName]int // VMs that each pool needs for its demand, for operators
	Memory Memory
}

// Decide returns the moves to begin now. It moves no VM that is already moving or
// whose maintenance is due, and leaves every pool other than the spare
// the VMs that it needs and those of its availability budget.
func Decide(s Snapshot, set Settings, m Memory) Decision {
	b := newDecisionBuilder(s, set)
	b.computeNeeds()
	b.updateMemory(m)
	b.fillDeficits()
	b.returnUnneeded()
	return Decision{Moves: b.moves, Need: b.needs(), Memory: b.memory}
}
