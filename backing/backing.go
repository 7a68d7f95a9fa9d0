// Package backing declares the narrow interfaces through which amaranthfork
// meets the platform: the table service, the object store, the VM list and the
// control of workers and VMs.
package backing

import (
	"context"
	"errors"
	"time"

	"amaranthfork.example/fleet"
)

// Errors of all platform services.
var (
	// ErrUnavailable means that the call had no effect.
	ErrUnavailable = errors.New("platform service unavailable")
	// ErrUnknown means that the call may have taken effect: its answer was lost.
	ErrUnknown = errors.New("outcome of platform call unknown")
	// ErrConflict means that a condition failed and nothing was written.
	ErrConflict = errors.New("condition failed")
	// ErrNotFound means that the object, VM or task does not exist.
	ErrNotFound = errors.New("not found")
	// ErrFenced means that the worker has seen a higher epoch or that another
	// holder has the lease.
	ErrFenced = errors.New("dispatch lease held by another holder or epoch")
	// ErrRefused means that the worker has proved that it did not start the task.
	ErrRefused = errors.New("worker refused the task")
)

// Row is a row of the table service. The service raises Version by each write
// of the row; a version is never used twice for a key.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
}

// Condition requires a row to be at a version; 0 requires that it is absent.
type Condition struct {
	Key     string
	Version uint64
}

// Write puts a value, or deletes the row if Delete is set.
type Write struct {
	Key    string
	Value  []byte
	Delete bool
}

// Txn is a transaction: all writes take effect if all conditions hold.
type Txn struct {
	ID         string // unique; a repeated ID is not applied twice only if its conditions prevent it
	Conditions []Condition
	Writes     []Write
}

// Table is the transactional table service. Errors: ErrConflict,
// ErrUnavailable, ErrUnknown (Commit only) and those of the context.
type Table interface {
	// Get returns a row; a row that does not exist has Version 0.
	Get(ctx context.Context, key string) (Row, error)
	// Range returns up to limit rows whose keys start with prefix and are
	// greater than after, in key order.
	Range(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction and returns the new versions of its writes
	// in order.
	Commit(ctx context.Context, txn Txn) ([]uint64, error)
}

// ConditionalTable is a Table that can leave out a row that the caller has.
type ConditionalTable interface {
	Table
	// GetNewer returns the row unless it is still at the version, in which case
	// changed is false. Version 0 is that of a row that does not exist.
	GetNewer(ctx context.Context, key string, version uint64) (row Row, changed bool, err error)
}

// Objects is the object store. Objects are written whole.
type Objects interface {
	Put(ctx context.Context, key string, value []byte) error
	Get(ctx context.Context, key string) ([]byte, error) // ErrNotFound
	List(ctx context.Context, prefix string) ([]string, error)
	Delete(ctx context.Context, key string) error
}

// VMListing is the platform's lagging list of VMs.
type VMListing struct {
	VMs     []fleet.VM
	Entries []EntryVM // the VMs that amaranthfork itself runs on
	AsOf    time.Time // the time that the listing reflects
}

// EntryVM is a VM that runs an entry process.
type EntryVM struct {
	ID         string
	DataCentre fleet.DataCentreName
	State      fleet.VMState
}

// VMList lists live and leaving VMs.
type VMList interface {
	List(ctx context.Context) (VMListing, error)
}

// VMChanges is what has changed in the list of VMs since an earlier answer.
type VMChanges struct {
	VMListing           // the VMs that changed; all of them if Whole is set
	Whole          bool // not relative to an earlier answer
	Removed        []fleet.VMID
	RemovedEntries []string
	Token          string // names this answer in the next call
}

// VMFeed tells changes of the list of VMs, so that reading it often is cheap.
type VMFeed interface {
	// Changes returns what has changed since the answer with the token. It
	// returns the whole list for an empty or unknown token.
	Changes(ctx context.Context, token string) (VMChanges, error)
}

// Task is work for a worker.
type Task struct {
	ID      fleet.AttemptID
	Job     fleet.JobID
	Step    int
	Command string
	Payload []byte
	Need    fleet.Resources
}

// TaskState is what a worker knows of a task.
type TaskState string

const (
	TaskRunning      TaskState = "running"
	TaskCompleted    TaskState = "completed"
	TaskFailed       TaskState = "failed"
	TaskCheckpointed TaskState = "checkpointed" // stopped, can go on from its checkpoint
	TaskStopped      TaskState = "stopped"      // stopped without a checkpoint
)

// TaskStatus reports on a task. Usage lags behind.
type TaskStatus struct {
	ID      fleet.AttemptID
	Job     fleet.JobID
	Step    int
	State   TaskState
	Body    []byte // the whole answer of a completed task
	Detail  string
	Usage   fleet.Resources
	UsageAt time.Time
	Need    fleet.Resources
}

// Lease names the dispatcher of a VM. Epoch is the fencing token: a worker
// refuses calls with a lower epoch than it has seen.
type Lease struct {
	Holder string
	Epoch  uint64
}

// Workers controls the tasks of workers. Errors: ErrUnavailable (no effect),
// ErrUnknown (may have taken effect), ErrFenced, ErrRefused, ErrNotFound.
type Workers interface {
	// Acquire takes or renews the dispatch lease of a VM for ttl. It is refused
	// with ErrFenced below the highest epoch seen, or at the same epoch for
	// another holder whose lease has not lapsed.
	Acquire(ctx context.Context, vm fleet.VMID, lease Lease, ttl time.Duration) error
	// Start starts a task. It is idempotent by task id, also after the task's end.
	Start(ctx context.Context, vm fleet.VMID, lease Lease, task Task) error
	// Tasks lists the running tasks and the ended ones that were not
	// acknowledged with Forget.
	Tasks(ctx context.Context, vm fleet.VMID, lease Lease) ([]TaskStatus, error)
	// Forget drops ended tasks from the worker's list.
	Forget(ctx context.Context, vm fleet.VMID, lease Lease, ids []fleet.AttemptID) error
	Checkpoint(ctx context.Context, vm fleet.VMID, lease Lease, id fleet.AttemptID) error
	// Throttle limits the processor use of a task to milliCPU.
	Throttle(ctx context.Context, vm fleet.VMID, lease Lease, id fleet.AttemptID, milliCPU int64) error
	Stop(ctx context.Context, vm fleet.VMID, lease Lease, id fleet.AttemptID) error
}

// VMs controls VMs as a whole.
type VMs interface {
	// Drain tells the platform that the VM takes no new work.
	Drain(ctx context.Context, vm fleet.VMID) error
	// Reboot restarts the VM; its tasks end. The VM list shows it leaving, then
	// live again.
	Reboot(ctx context.Context, vm fleet.VMID) error
	// Release ends the drain.
	Release(ctx context.Context, vm fleet.VMID) error
}
