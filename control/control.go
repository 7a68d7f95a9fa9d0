// Package control declares the interfaces between the parts of an entry's
// control plane, and the types that they exchange. The sub-packages implement
// them.
package control

import (
	"context"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/config"
	"amaranthfork.example/fleet"
)

// View is an entry's copy of the accepted configuration.
type View interface {
	// Snapshot returns the newest known configuration, nil while none is known.
	Snapshot() *config.Snapshot
	// Fresh returns nil while the entry has evidence that the snapshot is
	// current, and otherwise a *fleet.Refusal with ReasonStaleView.
	Fresh() error
	// StoreReachable reports whether the last read of the table service
	// succeeded.
	StoreReachable() bool
}

// Member is an entry process with a session in the table service.
type Member struct {
	ID         string               `cbor:"1,keyasint"` // unique for each process start
	DataCentre fleet.DataCentreName `cbor:"2,keyasint"`
	Address    string               `cbor:"3,keyasint"` // host:port for connections of other entries
	VM         string               `cbor:"4,keyasint"` // id of the entry VM in the platform's VM list
}

// Members is a version of the member list. List is ordered by id.
type Members struct {
	Version uint64   `cbor:"1,keyasint"`
	List    []Member `cbor:"2,keyasint"`
}

// Membership provides the member list, and the state of this entry's session.
type Membership interface {
	// Self returns this entry's own member.
	Self() Member
	// Members returns the newest known member list.
	Members() Members
	// Valid returns nil while the lease of this entry's session may be used (70%
	// of its TTL, by this entry's monotonic clock), and otherwise a
	// *fleet.Refusal. The lease counts as renewed during an outage of the table
	// service on which the entries have agreed.
	Valid() error
	// Session returns the condition that every write of this session has. It
	// fails once another entry has fenced the session's row.
	Session() backing.Condition
}

// Record is a record of a journal page. The caller of Append encodes Body.
type Record struct {
	Shard int    `cbor:"1,keyasint"`
	Body  []byte `cbor:"2,keyasint"`
}

// Journal makes records durable.
type Journal interface {
	// Append returns nil once all records are durable under this entry's
	// session. After backing.ErrFenced or backing.ErrUnavailable none of them is
	// durable; after backing.ErrUnconfirmed they may be.
	Append(ctx context.Context, records ...Record) error
}

// Limits manages the units that this entry holds of the teams' fleet-wide limits
// of running tasks.
type Limits interface {
	// Take acquires one unit for a task that is about to start. It returns a
	// *fleet.Refusal with ReasonTeamLimit if this entry has no free unit now.
	Take(team fleet.TeamName) error
	// Return gives back the unit of an ended task.
	Return(team fleet.TeamName)
	// Adopt counts a unit for a task that was taken over from another session,
	// whose unit moves to this entry with it.
	Adopt(team fleet.TeamName, from string)
	// SetDemand sets the number of running and queued tasks, from which the units
	// are rebalanced between entries.
	SetDemand(team fleet.TeamName, running, queued int)
}

// ReserveRequest is a request for a slot on a VM of a pool.
type ReserveRequest struct {
	Job     fleet.JobID     `cbor:"1,keyasint"`
	Attempt fleet.AttemptID `cbor:"2,keyasint"`
	Team    fleet.TeamName  `cbor:"3,keyasint"`
	Class   fleet.Class     `cbor:"4,keyasint"`
	Pool    fleet.PoolName  `cbor:"5,keyasint"`
	Need    fleet.Resources `cbor:"6,keyasint"` // estimated
	Avoid   []fleet.VMID    `cbor:"7,keyasint,omitempty"`
	RunTime time.Duration   `cbor:"8,keyasint"` // estimated
	// Deadline is the deadline of the job, zero if none. Maintenance takes it
	// into account.
	Deadline time.Time `cbor:"9,keyasint"`
}

// Reservation is a slot that the owner of a VM reserves in memory for TTL.
type Reservation struct {
	Owner      string               `cbor:"1,keyasint"` // member id
	VM         fleet.VMID           `cbor:"2,keyasint"`
	DataCentre fleet.DataCentreName `cbor:"3,keyasint"`
	Epoch      uint64               `cbor:"4,keyasint"` // of the owner's dispatch lease on the VM
	Attempt    fleet.AttemptID      `cbor:"5,keyasint"`
	TTL        time.Duration        `cbor:"6,keyasint"`
}

// TaskEnd reports the end of a task to the owner of its job.
type TaskEnd struct {
	Job     fleet.JobID     `cbor:"1,keyasint"`
	Attempt fleet.AttemptID `cbor:"2,keyasint"`
	Step    int             `cbor:"3,keyasint"`
	VM      fleet.VMID      `cbor:"4,keyasint"`
	// State is the state that the worker reported; it is empty if the worker was
	// lost or the task was not started.
	State  backing.TaskState `cbor:"5,keyasint"`
	Body   []byte            `cbor:"6,keyasint,omitempty"`
	Detail string            `cbor:"7,keyasint,omitempty"`
	Usage  fleet.Resources   `cbor:"8,keyasint"`
	// NotStarted is set if the task certainly did not start and cannot start any
	// more.
	NotStarted bool `cbor:"9,keyasint,omitempty"`
}

// Capacity is the free capacity of one pool in one data centre, as published by
// the owners of its VMs.
type Capacity struct {
	Pool        fleet.PoolName       `cbor:"1,keyasint"`
	DataCentre  fleet.DataCentreName `cbor:"2,keyasint"`
	FreeSlots   int                  `cbor:"3,keyasint"`
	TotalSlots  int                  `cbor:"4,keyasint"`
	LargestFree fleet.Resources      `cbor:"5,keyasint"` // component-wise maximum over the VMs with a free slot
	LargestVM   fleet.Resources      `cbor:"6,keyasint"` // component-wise maximum over all VMs
}

// Dispatcher starts tasks on VMs; it hides which entry owns which VM.
type Dispatcher interface {
	// Capacity returns the known free capacity of a pool by data centre.
	Capacity(pool fleet.PoolName) []Capacity
	// Reserve reserves a slot in a data centre. It returns a *fleet.Refusal
	// with ReasonNoCapacity, ReasonDataCentreOut or ReasonStaleView.
	Reserve(ctx context.Context, dc fleet.DataCentreName, req ReserveRequest) (Reservation, error)
	// Start starts the task of a reservation. After a *fleet.Refusal the task
	// was not started and will not be; after any other error the start is
	// unconfirmed.
	Start(ctx context.Context, res Reservation, task backing.Task) error
	// Release gives up a reservation that was not started.
	Release(ctx context.Context, res Reservation)
	// Cancel stops a running task; its end is reported as usual.
	Cancel(ctx context.Context, vm fleet.VMID, attempt fleet.AttemptID) error
	// Lookup asks the current owner of a VM for the state of an attempt. known
	// is false while the state is uncertain. An end with NotStarted means that
	// the attempt did not start and cannot start any more, as the worker rejects
	// epochs below the owner's.
	Lookup(ctx context.Context, vm fleet.VMID, attempt fleet.AttemptID) (status backing.TaskStatus, end *TaskEnd, known bool)
}

// Jobs accepts jobs and reports their status; it hides which entry owns a job's
// shard.
type Jobs interface {
	// Submit returns once the job is durable, see also JobStatus.Unrecorded. It
	// returns a *fleet.Refusal if the job is not accepted.
	Submit(ctx context.Context, job fleet.Job) (JobStatus, error)
	// Status returns the current status of the job, or an error that matches
	// backing.ErrNotFound.
	Status(ctx context.Context, id fleet.JobID) (JobStatus, error)
	// Wait returns when the job has ended or ctx is done.
	Wait(ctx context.Context, id fleet.JobID) (JobStatus, error)
	// Cancel marks the job as canceled. A running task is stopped; the job ends
	// once its end is reported.
	Cancel(ctx context.Context, id fleet.JobID) (JobStatus, error)
	// TaskEnded reports the end of a task to the owner of its job. It returns nil
	// once the end is durable, and is idempotent by attempt.
	TaskEnded(ctx context.Context, end TaskEnd) error
}

// JobState is the state of a job as reported to callers.
type JobState string

const (
	JobQueued  JobState = "queued"  // waits for the start of its current step
	JobRunning JobState = "running" // its task may be running, or its result is not durable yet
	JobEnded   JobState = "ended"   // has a result
)

// JobStatus describes a job to its caller.
type JobStatus struct {
	ID     fleet.JobID    `cbor:"1,keyasint" json:"id"`
	Team   fleet.TeamName `cbor:"2,keyasint" json:"team"`
	State  JobState       `cbor:"3,keyasint" json:"state"`
	Step   int            `cbor:"4,keyasint" json:"step"` // index of the current step
	Result *fleet.Result  `cbor:"5,keyasint,omitempty" json:"result,omitempty"`
	// Unrecorded is set while the job is not durable: it was accepted during a
	// store outage and is lost if its owner fails before the store returns.
	Unrecorded bool `cbor:"6,keyasint,omitempty" json:"unrecorded,omitempty"`
}
