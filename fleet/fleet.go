// Package fleet defines the domain types of amaranthfork: VMs, pools, teams,
// queues, data centres, jobs and their results. It does no I/O.
package fleet

import "time"

// Identifiers of VMs, racks and declared objects, each unique within its kind.
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

// Revision is the number of an accepted configuration. Later configurations have
// higher numbers; 0 means none.
type Revision uint64

// Resources is the capacity of a VM, or the need or usage of a task.
type Resources struct {
	MilliCPU     int64 `cbor:"1,keyasint,omitempty" json:"milliCPU"`     // thousandths of a processor
	MemoryMB     int64 `cbor:"2,keyasint,omitempty" json:"memoryMB"`     // mebibytes
	Accelerators int64 `cbor:"3,keyasint,omitempty" json:"accelerators"` // whole devices
}

// Add returns r plus o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o; the results may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Scale returns r with its processors and memory multiplied by factor. Accelerators
// are whole devices and stay unchanged.
func (r Resources) Scale(factor float64) Resources {
	return Resources{int64(float64(r.MilliCPU) * factor), int64(float64(r.MemoryMB) * factor), r.Accelerators}
}

// Times returns r for n tasks.
func (r Resources) Times(n int) Resources {
	return Resources{r.MilliCPU * int64(n), r.MemoryMB * int64(n), r.Accelerators * int64(n)}
}

// Fits reports whether no resource of r exceeds that of free.
func (r Resources) Fits(free Resources) bool {
	return r.MilliCPU <= free.MilliCPU && r.MemoryMB <= free.MemoryMB && r.Accelerators <= free.Accelerators
}

// CountIn returns how many times r fits into free, at most limit.
func (r Resources) CountIn(free Resources, limit int) int {
	n := int64(limit)
	for _, amount := range [][2]int64{{r.MilliCPU, free.MilliCPU}, {r.MemoryMB, free.MemoryMB}, {r.Accelerators, free.Accelerators}} {
		if need, free := amount[0], amount[1]; need > 0 {
			n = min(n, max(0, free)/need)
		}
	}
	return int(n)
}

// VMState is the state of a VM according to the platform.
type VMState string

const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving" // draining or rebooting; it takes no new tasks
	VMGone    VMState = "gone"    // lost or removed
)

// VM describes a VM and its worker.
type VM struct {
	ID          VMID
	DataCentre  DataCentreName
	Rack        RackName
	Capacity    Resources
	Slots       int    // tasks at a time
	Connections int    // open connections at a time
	Address     string // host:port of the endpoint
	State       VMState
}

// DataCentreState says whether tasks may start in a data centre.
type DataCentreState string

const (
	DataCentreIn  DataCentreState = "in"  // tasks may start
	DataCentreOut DataCentreState = "out" // no task may start
)

// DataCentre is a declared data centre.
type DataCentre struct {
	Name   DataCentreName
	Region RegionName
	State  DataCentreState
}

// Pool is a declared pool. Its VMs are the initial members; the current pool of
// a VM is stored in the table service.
type Pool struct {
	Name           PoolName
	Spare          bool // its VMs are a reserve for the other pools
	VMs            []VMID
	MaxUnavailable int // VMs that may be unavailable at a time, for planned and unplanned reasons together
}

// Team is a declared team.
type Team struct {
	Name             TeamName
	ShareThousandths int // thousandths of the fleet to which the team is entitled when the fleet is full
	Limit            int // tasks that may run at a time in the whole fleet
}

// Key authenticates its bearer as a team. Only a hash of its secret is stored.
type Key struct {
	ID        KeyID
	Team      TeamName
	Salt      string // hex
	Hash      string // hex SHA-256 over salt and secret
	Withdrawn bool   // no longer valid
}

// Queue is a declared queue.
type Queue struct {
	Name      QueueName
	Pool      PoolName
	Open      bool       // anyone may submit, without a key
	Teams     []TeamName // teams that may submit when the queue is not open
	MaxQueued int        // waiting jobs of each team and class
}

// Workspace is a declared workspace, whose direct requests go to the endpoints
// of its pool.
type Workspace struct {
	Name WorkspaceName
	Pool PoolName
	Open bool     // requests need no key
	Team TeamName // the team whose key is needed when the workspace is not open
}

// MaintenancePlan configures the rate and limits of maintenance.
type MaintenancePlan struct {
	Period              time.Duration // within which every VM is maintained once
	DrainTimeout        time.Duration // tasks still running after it are checkpointed
	RebootTimeout       time.Duration // a VM that is not live again after it counts as failed
	MaxPerRack          int           // VMs unavailable at a time in a rack
	MaxPerDataCentre    int           // VMs unavailable at a time in a data centre
	StopAfterFailures   int           // number of failed VMs in a wave at which the wave stops
	Paused              bool
	AvoidDataCentresOut bool // no maintenance in other data centres while one is out
}

// Profile holds the operator's weights of the costs that capacity decisions trade
// off. A weight of 1 is neutral.
type Profile struct {
	IdleWeight  float64 // cost of an idle VM
	MoveWeight  float64 // cost of moving a VM between pools
	ShareWeight float64 // cost of a team being below its share
}

// Class is the urgency of work.
type Class string

const (
	ClassUrgent   Class = "urgent"   // starts within 1.7 s
	ClassStandard Class = "standard" // short steps, for which a user waits
	ClassBatch    Class = "batch"    // may wait, is never lost
)

// Classes lists all classes, the most urgent first.
var Classes = []Class{ClassUrgent, ClassStandard, ClassBatch}

// Clock returns the current time. Control code uses it instead of the system clock
// so that tests can stop and skew the clock of each node independently.
type Clock interface {
	Now() time.Time
}

// SystemClock is the system clock, including Go's monotonic reading.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }
