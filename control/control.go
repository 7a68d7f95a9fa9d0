// Package control declares the narrow interfaces between the parts of an
// entry's control plane. The sub-packages implement them.
package control

import (
	"context"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/config"
	"amaranthfork.example/fleet"
)

// View is the entry's view of the accepted configuration.
type View interface {
	// Snapshot returns the newest known configuration, nil before the first.
	Snapshot() *config.Snapshot
	// Fresh returns nil while the entry has evidence that the snapshot is
	// current, and a *fleet.Refusal with ReasonStaleView otherwise.
	Fresh() error
	// StoreReachable reports whether the last read of the store succeeded.
	StoreReachable() bool
}

// Member is one entry process with a session in the table.
type Member struct {
	ID         string               `cbor:"1,keyasint"` // unique for each process start
	DataCentre fleet.DataCentreName `cbor:"2,keyasint"`
	Address    string               `cbor:"3,keyasint"` // host:port of the peer link
	VM         string               `cbor:"4,keyasint"` // id of the entry VM in the platform's VM list
}

// Members is a version of the member list, ordered by id.
type Members struct {
	Version uint64   `cbor:"1,keyasint"`
	List    []Member `cbor:"2,keyasint"`
}

// Membership tells who the entries are and whether this one may still act.
type Membership interface {
	Self() Member
	Members() Members
	// Valid returns nil while the own session's lease may be used (70% of its
	// TTL, by the own monotonic clock), and a *fleet.Refusal otherwise. During
	// a store outage with outage agreement the lease counts as renewed.
	Valid() error
	// Session returns the condition that fences writes of this session: it
	// fails once another entry has fenced the session row.
	Session() backing.Condition
}

// Record is one entry of a journal page, encoded by its owner.
type Record struct {
	Shard int    `cbor:"1,keyasint"`
	Body  []byte `cbor:"2,keyasint"`
}

// Journal makes records durable.
type Journal interface {
	// Append returns once all records are durable under the own session. After
	// backing.ErrFenced or backing.ErrUnavailable none of them is durable;
	// after backing.ErrUnknown they may be.
	Append(ctx context.Context, records ...Record) error
}

// Limits hands out units of the teams' fleet-wide upper limits.
type Limits interface {
	// Take takes one unit for a task that is about to start. It returns a
	// *fleet.Refusal with ReasonTeamLimit when no unit is held here now.
	Take(team fleet.TeamName) error
	// Return gives the unit of an ended task back.
	Return(team fleet.TeamName)
	// Adopt counts a unit for a task taken over from another session, whose
	// holding moves here with it.
	Adopt(team fleet.TeamName, from string)
	// Demand tells how many units are running and wanted, for rebalancing.
	Demand(team fleet.TeamName, running, queued int)
}

// ReserveRequest asks the owners of VMs in a data centre for a slot.
type ReserveRequest struct {
	Job     fleet.JobID     `cbor:"1,keyasint"`
	Attempt fleet.AttemptID `cbor:"2,keyasint"`
	Team    fleet.TeamName  `cbor:"3,keyasint"`
	Class   fleet.Class     `cbor:"4,keyasint"`
	Pool    fleet.PoolName  `cbor:"5,keyasint"`
	Need    fleet.Resources `cbor:"6,keyasint"` // already estimated
	Avoid   []fleet.VMID    `cbor:"7,keyasint,omitempty"`
	RunTime time.Duration   `cbor:"8,keyasint"` // estimated
	// Deadline of the job; zero means none. Maintenance keeps to it.
	Deadline time.Time `cbor:"9,keyasint"`
}

// Reservation is a slot held in the VM owner's memory until it expires.
type Reservation struct {
	Owner      string               `cbor:"1,keyasint"` // member id
	VM         fleet.VMID           `cbor:"2,keyasint"`
	DataCentre fleet.DataCentreName `cbor:"3,keyasint"`
	Epoch      uint64               `cbor:"4,keyasint"`
	Attempt    fleet.AttemptID      `cbor:"5,keyasint"`
	TTL        time.Duration        `cbor:"6,keyasint"`
}

// TaskEnd reports the end of a task to the owner of its job.
type TaskEnd struct {
	Job     fleet.JobID     `cbor:"1,keyasint"`
	Attempt fleet.AttemptID `cbor:"2,keyasint"`
	Step    int             `cbor:"3,keyasint"`
	VM      fleet.VMID      `cbor:"4,keyasint"`
	// State is the worker's word; it is empty when the worker was lost.
	State  backing.TaskState `cbor:"5,keyasint"`
	Body   []byte            `cbor:"6,keyasint,omitempty"`
	Detail string            `cbor:"7,keyasint,omitempty"`
	Usage  fleet.Resources   `cbor:"8,keyasint"`
	// NotStarted is set when it is proved that the task never started.
	NotStarted bool `cbor:"9,keyasint,omitempty"`
}

// Capacity is the free capacity of one pool in one data centre, as published by
// the owners of its VMs.
type Capacity struct {
	Pool        fleet.PoolName       `cbor:"1,keyasint"`
	DataCentre  fleet.DataCentreName `cbor:"2,keyasint"`
	FreeSlots   int                  `cbor:"3,keyasint"`
	TotalSlots  int                  `cbor:"4,keyasint"`
	LargestFree fleet.Resources      `cbor:"5,keyasint"` // by part, over the VMs with a free slot
	LargestVM   fleet.Resources      `cbor:"6,keyasint"` // by part, over all VMs
}

// Dispatcher starts tasks on VMs; it hides which entry owns which VM.
type Dispatcher interface {
	// Capacity returns the known free capacity of a pool by data centre.
	Capacity(pool fleet.PoolName) []Capacity
	// Reserve reserves a slot in a data centre. It returns a *fleet.Refusal
	// with ReasonNoCapacity, ReasonDataCentreOut or ReasonStaleView.
	Reserve(ctx context.Context, dc fleet.DataCentreName, req ReserveRequest) (Reservation, error)
	// Start starts the task of a reservation. A *fleet.Refusal proves that the
	// task was not started and will not be; any other error leaves that open.
	Start(ctx context.Context, res Reservation, task backing.Task) error
	// Release gives up a reservation that was not started.
	Release(ctx context.Context, res Reservation)
	// Cancel stops a running task; its end is reported as usual.
	Cancel(ctx context.Context, vm fleet.VMID, attempt fleet.AttemptID) error
	// Lookup asks the present owner of a VM what the worker knows of an
	// attempt, under the owner's epoch. known is false while nobody can tell;
	// a TaskEnd with NotStarted is a proof that the attempt never started and
	// cannot start any more.
	Lookup(ctx context.Context, vm fleet.VMID, attempt fleet.AttemptID) (status backing.TaskStatus, end *TaskEnd, known bool)
}

// Jobs accepts and follows jobs; it hides which entry owns a job's shard.
type Jobs interface {
	// Submit returns once the job is durable, or a *fleet.Refusal.
	Submit(ctx context.Context, job fleet.Job) (JobStatus, error)
	Status(ctx context.Context, id fleet.JobID) (JobStatus, error)
	// Wait returns when the job has ended or ctx is done.
	Wait(ctx context.Context, id fleet.JobID) (JobStatus, error)
	Cancel(ctx context.Context, id fleet.JobID) (JobStatus, error)
	// TaskEnded takes the word of a VM owner; it is idempotent by attempt.
	TaskEnded(ctx context.Context, end TaskEnd) error
}

// JobState is the state of a job that callers see.
type JobState string

const (
	JobQueued  JobState = "queued"
	JobRunning JobState = "running"
	JobEnded   JobState = "ended"
)

// JobStatus describes a job to its caller.
type JobStatus struct {
	ID     fleet.JobID    `cbor:"1,keyasint" json:"id"`
	Team   fleet.TeamName `cbor:"2,keyasint" json:"team"`
	State  JobState       `cbor:"3,keyasint" json:"state"`
	Step   int            `cbor:"4,keyasint" json:"step"`
	Result *fleet.Result  `cbor:"5,keyasint,omitempty" json:"result,omitempty"`
	// Unrecorded is set while the job is not durable: it was accepted during a
	// store outage and is lost if its owner fails before the store returns.
	Unrecorded bool `cbor:"6,keyasint,omitempty" json:"unrecorded,omitempty"`
}
