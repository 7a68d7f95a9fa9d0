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
	// ErrFenced means that the worker has seen a higher fencing token.
	ErrFenced = errors.New("worker has seen a higher fencing token")
	// ErrOtherLife means that another life of the worker answered.
	ErrOtherLife = errors.New("another life of the worker answered")
	// ErrNoAnswer means that the call may take effect, now or later.
	ErrNoAnswer = errors.New("worker did not answer")
)

// WorkerRef names one life of a worker.
type WorkerRef struct {
	ID      string
	Address string // host:port
}

// Renewal extends the lease of everything that runs on a worker and asks for
// its listing.
type Renewal struct {
	Token    int64 // fencing token
	Seen     int64 // ends up to this number may be forgotten
	Deadline int64 // of the lease, in ms on the worker's clock; 0 extends nothing
	Wait     time.Duration
}

// RenewalAnswer is a worker's listing.
type RenewalAnswer struct {
	Clock   int64 // ms on the worker's clock
	Born    int64 // start of this life, Unix milliseconds; 0 if not told
	Running []pool.RunState
	Ended   []pool.RunEnd
}

// StartOrder starts a run.
type StartOrder struct {
	Task       string
	Run        int
	Payload    string
	Deadline   int64 // of the lease, in ms on the worker's clock
	Token      int64
	Checkpoint string
	Ticket     string
}

// Workers carries orders to workers. Each call names the life that it is meant
// for.
type Workers interface {
	// Renew returns ErrFenced, ErrOtherLife or ErrNoAnswer.
	Renew(ctx context.Context, w WorkerRef, r Renewal) (RenewalAnswer, error)
	// Start returns what the answer proves.
	Start(ctx context.Context, w WorkerRef, o StartOrder) pool.StartResult
	// Stop returns nil if the worker has taken note of the stop.
	Stop(ctx context.Context, w WorkerRef, task string, run int, token int64) error
	// Pace sets the share of its processor time that a task may use, in percent.
	Pace(ctx context.Context, w WorkerRef, task string, run, percent int, token int64) error
}

// Advisor tells which VMs may run a step. It serves one call of a process at a
// time.
type Advisor interface {
	// Advise returns the VMs among ids that may run the step, with tickets that
	// are valid for the returned time from the call on.
	Advise(ctx context.Context, step string, ids []string) ([]pool.Ticket, time.Duration, error)
}

// ListedVM is a worker in the discovery table.
type ListedVM struct {
	Pool string
	VM   pool.VM
}

// OperatorRow is one decoded row that operators have written. At most one field
// is set.
type OperatorRow struct {
	Catalog   *catalog.Catalog
	Evacuated string // data centre in which nothing may start
	Wave      *Wave
}

// Wave asks for maintenance of machines.
type Wave struct {
	ID       string
	Machines []string
	Within   time.Duration
	AtOnce   int
}

// Rows decodes what the platform and its operators write.
type Rows interface {
	// VMTable names the discovery table.
	VMTable() string
	// DecodeVM reads a row of the discovery table.
	DecodeVM(row store.Row) (ListedVM, error)
	// OperatorTable names the operators' table.
	OperatorTable() string
	// DecodeOperator reads a row of the operators' table. A row of a kind that
	// is not known decodes to an empty OperatorRow.
	DecodeOperator(row store.Row) (OperatorRow, error)
	// WaveStatus returns the row that tells how far a wave is.
	WaveStatus(wave string, complete bool) (store.Put, error)
}

// Machine is a VM in the fleet's inventory.
type Machine struct {
	Name       string
	Pool       string
	Up         bool // neither moving, in maintenance nor down
	DataCentre string
	Worker     string // id of its present life, empty if none
}

// Results of orders for machines.
var (
	// ErrBusy means that the machine is not up or leaves; nothing was done.
	ErrBusy = errors.New("machine is busy")
	// ErrNotOfWave means that the wave does not name the machine.
	ErrNotOfWave = errors.New("machine is not of the wave")
	// ErrRefused means that the call was proved to have had no effect.
	ErrRefused = errors.New("order for machine refused")
)

// Machines is the inventory and control of the fleet's VMs.
type Machines interface {
	List(ctx context.Context) ([]Machine, error)
	// Move ends everything on the machine and gives it to another pool.
	Move(ctx context.Context, machine, pool, holder string, token int64) error
	// Maintain ends everything on the machine and begins its maintenance.
	Maintain(ctx context.Context, machine, wave, holder string, token int64) error
}
