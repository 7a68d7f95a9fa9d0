// Package fleet holds the domain types of amaranthfork: VMs, pools, teams,
// queues, data centres and the outcomes of work. It does no I/O.
package fleet

import "time"

// Names of declared objects. Each is unique within its kind.
type (
	VMID           string
	PoolName       string
	TeamName       string
	QueueName      string
	WorkspaceName  string
	DataCentreName string
	RackName       string
	RegionName     string
	KeyID          string
)

// Revision numbers accepted configurations. It only ever rises; 0 means none.
type Revision uint64

// Resources is an amount of a VM's capacity or of a task's need.
type Resources struct {
	MilliCPU     int64 `cbor:"1,keyasint,omitempty" json:"milliCPU"`     // thousandths of a processor
	MemoryMB     int64 `cbor:"2,keyasint,omitempty" json:"memoryMB"`     // mebibytes
	Accelerators int64 `cbor:"3,keyasint,omitempty" json:"accelerators"` // whole devices
}

// Add returns r plus o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o; parts may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Scale returns r with its processors and memory multiplied by f. Accelerators
// are whole devices and stay as they are.
func (r Resources) Scale(f float64) Resources {
	return Resources{int64(float64(r.MilliCPU) * f), int64(float64(r.MemoryMB) * f), r.Accelerators}
}

// Fits reports whether r fits into free in every part.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// VMState is the platform's word on a VM.
type VMState string

const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
	VMGone    VMState = "gone"
)

// VM describes a worker.
type VM struct {
	ID          VMID
	DataCentre  DataCentreName
	Rack        RackName
	Capacity    Resources
	Slots       int    // tasks at a time
	Connections int    // open connections at a time
	Address     string // host:port of the endpoint's HTTP server
	State       VMState
}

// DataCentreState says whether tasks may start in a data centre.
type DataCentreState string

const (
	DataCentreIn  DataCentreState = "in"
	DataCentreOut DataCentreState = "out"
)

// DataCentre is a declared data centre.
type DataCentre struct {
	Name   DataCentreName
	Region RegionName
	State  DataCentreState
}

// Pool is a declared pool. Its VMs are the initial members; the current pool of
// a VM is kept in the platform's table.
type Pool struct {
	Name           PoolName
	Spare          bool
	VMs            []VMID
	MaxUnavailable int // VMs that may be unavailable at a time, planned or not
}

// Team is a declared team.
type Team struct {
	Name  TeamName
	Share int // thousandths of the fleet when it is full
	Limit int // tasks that may run at a time in the whole fleet
}

// Key lets its holder act for a team. Only the hash is kept.
type Key struct {
	ID        KeyID
	Team      TeamName
	Salt      string // hex
	Hash      string // hex SHA-256 over salt and secret
	Withdrawn bool
}

// Queue is a declared queue.
type Queue struct {
	Name      QueueName
	Pool      PoolName
	Open      bool       // anyone may submit, without a key
	Teams     []TeamName // teams that may submit when the queue is not open
	MaxQueued int        // jobs waiting for each team and class
}

// Workspace is a declared workspace, whose direct requests go to the endpoints
// of its pool.
type Workspace struct {
	Name WorkspaceName
	Pool PoolName
	Open bool     // requests need no key
	Team TeamName // the team whose key is needed when the workspace is not open
}

// MaintenancePlan sets the rate and limits of maintenance.
type MaintenancePlan struct {
	Period              time.Duration // every VM once in this time
	DrainTimeout        time.Duration // work still running after this is checkpointed
	RebootTimeout       time.Duration // a VM not back after this counts as failed
	MaxPerRack          int           // VMs unavailable at a time in a rack
	MaxPerDataCentre    int           // VMs unavailable at a time in a data centre
	StopAfterFailures   int           // failed VMs of a wave after which it stops
	Paused              bool
	AvoidDataCentresOut bool // no maintenance in the others while one is out
}

// Profile weighs what an operator cares for. All weights are relative, 1 is neutral.
type Profile struct {
	IdleWeight  float64 // cost of an idle VM
	MoveWeight  float64 // cost of moving a VM between pools
	ShareWeight float64 // cost of a team being below its share
}

// Class orders work by urgency.
type Class string

const (
	ClassUrgent   Class = "urgent"   // starts within 1.7 s
	ClassStandard Class = "standard" // short steps within a visit
	ClassBatch    Class = "batch"    // may wait, is never lost
)

// Classes lists every class, most urgent first.
var Classes = []Class{ClassUrgent, ClassStandard, ClassBatch}

// Clock tells the time. Control code reads it instead of the system clock so
// that tests can pause and skew each node by itself.
type Clock interface {
	Now() time.Time
}

// SystemClock is the clock of the machine, with Go's monotonic reading.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }
