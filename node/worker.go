package node

import (
	"context"
	"errors"
	"time"

	"amaranthfork.example/sched/catalog"
	"amaranthfork.example/sched/pool"
	"amaranthfork.example/sched/store"
)

// Errors of calls to workers.
var (
	// ErrFenced means that the worker has seen a higher fencing token, so there
	// is another owner.
	ErrFenced = errors.New("worker has seen a higher fencing token")
	// ErrOtherIncarnation means that another incarnation of the worker answered.
	ErrOtherIncarnation = errors.New("another incarnation of the worker answered")
	// ErrNoAnswer means that the call is unconfirmed: it may take effect, now
	// or later.
	ErrNoAnswer = errors.New("worker did not answer")
)

// WorkerRef identifies one incarnation of a worker.
type WorkerRef struct {
	ID      string
	Address string // host:port
}

// Renewal extends the lease of all runs on a worker and asks for its listing.
type Renewal struct {
	Token            int64         // fencing token
	AcknowledgedEnds int64         // ends of runs up to this sequence number are acknowledged
	DeadlineMS       int64         // end of the lease, ms on the worker's clock; 0 extends nothing
	Wait             time.Duration // how long the worker may hold the call while it has nothing to list
}

// RenewalAnswer is a worker's listing.
type RenewalAnswer struct {
	ClockMS   int64 // worker's clock, ms
	StartedMS int64 // start of this incarnation, Unix ms; 0 if not reported
	Running   []pool.RunState
	Ended     []pool.RunEnd // not acknowledged yet; at most maxListedEnds
}

// StartOrder starts a run.
type StartOrder struct {
	Task       string
	Run        int // number of the run of the task
	Payload    string
	DeadlineMS int64 // end of the lease, ms on the worker's clock
	Token      int64 // fencing token
	Checkpoint string
	Ticket     string // from the advisor; empty if the step needs none
}

// StartAnswer is the outcome of a start.
type StartAnswer struct {
	Result pool.StartResult
	// ClockMS is the worker's clock when it answered, in ms; 0 if no answer told it.
	ClockMS int64
}

// Workers sends orders to workers. Each call names the incarnation that it is
// meant for.
type Workers interface {
	// Renew extends the lease and returns the listing. The error wraps
	// ErrFenced, ErrOtherIncarnation or ErrNoAnswer.
	Renew(ctx context.Context, w WorkerRef, r Renewal) (RenewalAnswer, error)
	// Start starts a run and returns what the answer proves about it.
	Start(ctx context.Context, w WorkerRef, o StartOrder) StartAnswer
	// Stop ends a run. It returns nil if the worker has registered the stop.
	Stop(ctx context.Context, w WorkerRef, task string, run int, token int64) error
	// Throttle sets the throttle of a run, in percent of its processor share.
	Throttle(ctx context.Context, w WorkerRef, task string, run, percent int, token int64) error
}

// Advisor decides which VMs may run a step. It serves only one call at a time
// from each process.
type Advisor interface {
	// Advise returns tickets for those VMs among ids that may run the step, and
	// how long the tickets are valid, counted from the call.
	Advise(ctx context.Context, step string, ids []string) ([]pool.Ticket, time.Duration, error)
}

// ListedVM is a worker in the discovery table, and the pool that it reports.
type ListedVM struct {
	Pool string
	VM   pool.VM
}

// OperatorRow is a decoded row of the operators' table. At most one field is
// set.
type OperatorRow struct {
	Catalog             *catalog.Catalog
	EvacuatedDataCentre string // data centre that is evacuated: nothing may start in it
	Wave                *Wave
}

// Wave is a maintenance wave that an operator has declared.
type Wave struct {
	ID               string
	Machines         []string
	Within           time.Duration // time for the whole wave, from when it is first seen
	MaxInMaintenance int           // machines that may be in maintenance at the same time; at least 1 is assumed
}

// Rows decodes the rows that the platform and its operators write.
type Rows interface {
	// VMTable returns the name of the discovery table.
	VMTable() string
	// DecodeVM decodes a row of the discovery table.
	DecodeVM(row store.Row) (ListedVM, error)
	// OperatorTable returns the name of the operators' table.
	OperatorTable() string
	// DecodeOperator decodes a row of the operators' table. A row of an unknown
	// kind decodes to an empty OperatorRow.
	DecodeOperator(row store.Row) (OperatorRow, error)
	// WaveStatus returns the write that publishes whether a wave is complete.
	WaveStatus(wave string, complete bool) (store.Put, error)
}

// Machine is a machine in the platform's inventory.
type Machine struct {
	Name       string
	Pool       string
	Up         bool // not moving, in maintenance or down
	DataCentre string
	Worker     string // id of its current incarnation; empty if it has none
}

// Results of orders for machines.
var (
	// ErrBusy means that the machine is not up or is leaving; the order had no
	// effect.
	ErrBusy = errors.New("machine is busy")
	// ErrNotInWave means that the wave does not name the machine.
	ErrNotInWave = errors.New("machine is not part of the wave")
	// ErrRefused means that the order certainly had no effect.
	ErrRefused = errors.New("order for machine refused")
)

// Machines is the platform's inventory of machines, and takes orders for them.
// An order names the holder of the fleet role and its fencing token. The error
// of an order wraps ErrBusy, ErrNotInWave, ErrRefused, ErrFenced or ErrNoAnswer.
type Machines interface {
	// List returns all machines.
	List(ctx context.Context) ([]Machine, error)
	// Move ends all runs on the machine and moves it to another pool.
	Move(ctx context.Context, machine, pool, holder string, token int64) error
	// Maintain ends all runs on the machine and starts its maintenance.
	Maintain(ctx context.Context, machine, wave, holder string, token int64) error
}
