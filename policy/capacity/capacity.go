// Package capacity decides which pool gets spare VMs, when, and when they go
// back. A decision is a pure function of a snapshot, settings and the memory of
// the previous decision. One policy serves every user; fleet.Profile shifts its
// settings.
package capacity

import (
	"time"

	"amaranthfork.example/fleet"
)

// Pool is a pool as the policy sees it.
type Pool struct {
	Name           fleet.PoolName
	Spare          bool // its VMs are lent to the other pools
	MaxUnavailable int  // VMs that may be unavailable at a time, planned or not
	Home           int  // declared number of VMs
}

// VM is a VM with its present load.
type VM struct {
	ID         fleet.VMID
	Pool       fleet.PoolName // the pool of the table's row; the donor while it moves
	DataCentre fleet.DataCentreName
	Rack       fleet.RackName
	Slots      int           // tasks at a time
	Running    int           // tasks that run now
	Remaining  time.Duration // estimated time until the running tasks have ended
	Available  bool          // serves work: live, not in maintenance, its data centre is in
	Maintained bool          // the next maintenance wave takes it
	Moved      time.Time     // end of its last move; zero means never moved
}

// Work is the work of one team and class in one pool.
type Work struct {
	Pool     fleet.PoolName
	Team     fleet.TeamName
	Class    fleet.Class
	Running  int           // tasks
	Queued   int           // tasks
	RunTime  time.Duration // estimated for one task
	Arrivals float64       // tasks per second, as seen lately
}

// DataCentre is a data centre with the time of its last change of state.
type DataCentre struct {
	Name  fleet.DataCentreName
	State fleet.DataCentreState
	Since time.Time // zero means that it never changed
}

// MoveInProgress is a move that was decided earlier and has not ended.
type MoveInProgress struct {
	VM       fleet.VMID
	From, To fleet.PoolName
}

// Outlook is the forecast for one pool.
type Outlook struct {
	Pool     fleet.PoolName
	Slots    float64       // demand expected when a move decided now has ended, in slots
	Peak     float64       // usual demand at the height of a burst, in slots
	Bursting bool          // a burst is under way or expected within the horizon
	Ends     time.Duration // expected remaining length of the burst
}

// Snapshot is everything that a decision depends on. Decide does not change it.
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

// Move is a decision to move a VM, with its reason in words for the operator.
type Move struct {
	VM       fleet.VMID     `json:"vm"`
	From     fleet.PoolName `json:"from"`
	To       fleet.PoolName `json:"to"`
	Reason   Reason         `json:"reason"`
	Explains string         `json:"explains"`
}

// Reason says in one word why a VM moves.
type Reason string

const (
	ReasonDemand Reason = "demand" // the pool needs more VMs than it has
	ReasonReturn Reason = "return" // the pool no longer needs the VM
)

// Memory is what one decision hands to the next. The zero value is the start.
type Memory struct {
	Window Window // surplus of all pools together
}

// Window remembers the least surplus of all pools together in the present and
// the previous span of Settings.ParkAfter.
type Window struct {
	Began     time.Time
	Least     int // VMs, since Began
	LeastLast int // VMs, in the span before; 0 in the first span
}

// Decision is the result of Decide.
type Decision struct {
	Moves  []Move
	Need   map[fleet.PoolName]int // VMs that each pool needs, for operators
	Memory Memory
}

// Decide returns the moves to begin now. It begins no second move of a VM,
// takes no VM that maintenance is about to take, and leaves every donor its
// need and its availability budget.
func Decide(s Snapshot, set Settings, m Memory) Decision {
	b := newBooks(s, set)
	b.computeNeeds()
	b.remember(m)
	b.fillDeficits()
	b.park()
	return Decision{Moves: b.moves, Need: b.needs(), Memory: b.memory}
}
