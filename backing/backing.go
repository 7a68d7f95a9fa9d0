// Package backing declares the interfaces through which amaranthfork uses the
// platform: the table service, the object store, the VM list and the control of
// workers and VMs.
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
	// ErrUnconfirmed means that the answer of the call was lost; the call may have
	// taken effect.
	ErrUnconfirmed = errors.New("outcome of platform call unknown")
	// ErrConflict means that a condition of a transaction failed and nothing was
	// written.
	ErrConflict = errors.New("condition failed")
	// ErrNotFound means that the object, VM or task does not exist.
	ErrNotFound = errors.New("not found")
	// ErrFenced means that the caller does not hold the dispatch lease: the worker
	// has seen a higher epoch, another holder has the lease, or it has expired.
	ErrFenced = errors.New("dispatch lease held by another holder or epoch")
	// ErrRefused means that the worker certainly did not start the task, or that it
	// cannot checkpoint it.
	ErrRefused = errors.New("worker refused the task")
)

// Row is a row of the table service. Each write of the row raises Version; a
// version is never used twice for a key, also after a delete.
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

// Txn is a transaction: its writes take effect, all at once, if all conditions hold.
type Txn struct {
	ID         string // unique; the service does not detect a repeated ID, only the conditions prevent a second effect
	Conditions []Condition
	Writes     []Write
}

// Table is the transactional table service. Errors: ErrUnavailable and those of the
// context; for Commit also ErrConflict and ErrUnconfirmed.
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

// ConditionalTable is a Table with a read that omits a row which the caller already
// has.
type ConditionalTable interface {
	Table
	// GetNewer returns the row, unless its version is still the given one; changed
	// is then false. A row that does not exist has Version 0.
	GetNewer(ctx context.Context, key string, version uint64) (row Row, changed bool, err error)
}

// Objects is the object store. Objects are read and written as a whole. Errors:
// ErrUnavailable, and ErrUnconfirmed for Put and Delete.
type Objects interface {
	Put(ctx context.Context, key string, value []byte) error
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, key string) ([]byte, error)
	// List returns the keys that start with prefix, in order.
	List(ctx context.Context, prefix string) ([]string, error)
	// Delete removes an object; it succeeds if there is none.
	Delete(ctx context.Context, key string) error
}

// VMListing is the platform's list of VMs, which lags behind their current state.
type VMListing struct {
	VMs     []fleet.VM
	Entries []EntryVM // the VMs that run entry processes
	AsOf    time.Time // the listing shows the states at this time
}

// EntryVM is a VM that runs an entry process.
type EntryVM struct {
	ID         string
	DataCentre fleet.DataCentreName
	State      fleet.VMState
}

// VMList lists the VMs, ordered by id. A VM that is gone may still be listed for
// some time, in state gone. Errors: ErrUnavailable.
type VMList interface {
	List(ctx context.Context) (VMListing, error)
}

// VMChanges is what has changed in the list of VMs since an earlier answer.
type VMChanges struct {
	VMListing           // the VMs that changed; all of them if Whole is set
	Whole          bool // the complete list, not changes since an earlier answer
	Removed        []fleet.VMID
	RemovedEntries []string
	Token          string // identifies this answer in the next call
}

// VMFeed returns the changes of the list of VMs, so that frequent reads are cheap.
// Errors: ErrUnavailable.
type VMFeed interface {
	// Changes returns what has changed since the answer with the token, or the
	// complete list for an empty or unknown token.
	Changes(ctx context.Context, token string) (VMChanges, error)
}

// Task is a task as it is given to a worker. ID identifies the attempt.
type Task struct {
	ID      fleet.AttemptID
	Job     fleet.JobID
	Step    int
	Command string
	Payload []byte
	Need    fleet.Resources
}

// TaskState is the state of a task on a worker.
type TaskState string

const (
	TaskRunning      TaskState = "running"
	TaskCompleted    TaskState = "completed"
	TaskFailed       TaskState = "failed"
	TaskCheckpointed TaskState = "checkpointed" // stopped; the next start of the step resumes from the checkpoint
	TaskStopped      TaskState = "stopped"      // stopped without a checkpoint
)

// TaskStatus is a worker's report on a task. Usage is as of UsageAt, which lags
// behind; both are zero before the first measurement.
type TaskStatus struct {
	ID      fleet.AttemptID
	Job     fleet.JobID
	Step    int
	State   TaskState
	Body    []byte // the complete answer of a completed task
	Detail  string
	Usage   fleet.Resources
	UsageAt time.Time
	Need    fleet.Resources
}

// Lease identifies the holder of the dispatch lease of a VM, which may start and
// control tasks there. Epoch is the fencing token: a worker refuses calls with a
// lower epoch than the highest it has seen.
type Lease struct {
	Holder string
	Epoch  uint64
}

// Workers controls the tasks of workers. Errors: ErrUnavailable (no effect),
// ErrUnconfirmed (may have taken effect), ErrFenced, ErrRefused, ErrNotFound.
type Workers interface {
	// Acquire obtains or renews the dispatch lease of a VM for ttl. It returns
	// ErrFenced for an epoch below the highest one seen, and at the same epoch
	// while the lease of another holder has not expired.
	Acquire(ctx context.Context, vm fleet.VMID, lease Lease, ttl time.Duration) error
	// Start starts a task, or returns ErrRefused. It is idempotent by task id, also
	// after the end of the task.
	Start(ctx context.Context, vm fleet.VMID, lease Lease, task Task) error
	// Tasks returns the running tasks and the ended ones that were not acknowledged
	// with Forget.
	Tasks(ctx context.Context, vm fleet.VMID, lease Lease) ([]TaskStatus, error)
	// Forget acknowledges the ends of tasks: the worker drops them from its list.
	Forget(ctx context.Context, vm fleet.VMID, lease Lease, ids []fleet.AttemptID) error
	// Checkpoint stops a running task so that the next start of its step resumes
	// there. It returns ErrRefused for a task that cannot be checkpointed.
	Checkpoint(ctx context.Context, vm fleet.VMID, lease Lease, id fleet.AttemptID) error
	// Throttle limits the processor use of a running task to milliCPU thousandths
	// of a processor; 0 removes the limit.
	Throttle(ctx context.Context, vm fleet.VMID, lease Lease, id fleet.AttemptID, milliCPU int64) error
	// Stop ends a running task without a checkpoint.
	Stop(ctx context.Context, vm fleet.VMID, lease Lease, id fleet.AttemptID) error
}

// VMs controls VMs as a whole. Errors: ErrUnavailable, ErrUnconfirmed and ErrNotFound.
type VMs interface {
	// Drain stops the start of new tasks on the VM; its running tasks continue.
	Drain(ctx context.Context, vm fleet.VMID) error
	// Reboot restarts the VM and ends its drain; its running tasks are stopped.
	// The VM list shows it as leaving, then as live again.
	Reboot(ctx context.Context, vm fleet.VMID) error
	// Release ends the drain of the VM, which is live again.
	Release(ctx context.Context, vm fleet.VMID) error
}
