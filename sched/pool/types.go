// Package pool schedules the jobs of one pool on its VMs. It is a deterministic
// state machine: events go in, rows to write and commands for VMs come out. It
// does no I/O, starts no goroutines and takes the time as an argument.
package pool

import (
	"strconv"
	"strings"
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/job"
)

// Time is a moment on both clocks of the process.
type Time struct {
	Steady time.Duration // since an arbitrary start; includes time that the VM was suspended
	Wall   int64         // Unix milliseconds
}

// Add returns the moment d later.
func (t Time) Add(d time.Duration) Time {
	return Time{t.Steady + d, t.Wall + d.Milliseconds()}
}

// VM is what the discovery service says of a worker.
type VM struct {
	ID         string
	Machine    string // stays the same over the lives of a worker
	Address    string
	DataCentre string
	Rack       string
	Labels     []string
	Capacity   fleet.Resources
	Draining   bool
	DrainLeft  time.Duration // the least time until a draining VM leaves
	Born       int64         // start of this life, Unix milliseconds; 0 if not told
}

// RunState is one running task in a VM's listing.
type RunState struct {
	Task       string
	Run        int
	Checkpoint string
	Percent    int   // progress; for a task that lasts, 100 means at work
	Load       int64 // serving tasks: tail latency in ms; others: processor use in thousandths of a core
}

// EndCause says how a run ended.
type EndCause string

// Causes of the end of a run.
const (
	EndDone    EndCause = "done"
	EndFailed  EndCause = "failed"  // through its own fault or the VM's
	EndStopped EndCause = "stopped" // by an order
	EndLapsed  EndCause = "lapsed"  // its lease expired
	EndBroken  EndCause = "broken"  // another member of its gang ended
	EndAlone   EndCause = "alone"   // waited too long for the other members of its gang
)

// RunEnd is one ended run in a VM's listing.
type RunEnd struct {
	Sequence   int64 // rises by each end in one life of the worker
	Task       string
	Run        int
	Cause      EndCause
	Checkpoint string
}

// Listing is a VM's answer to a renewal of its leases.
type Listing struct {
	VM       string
	Born     int64 // 0 if not told
	SentAt   time.Duration
	At       time.Duration
	Running  []RunState
	Ended    []RunEnd
	Complete bool // no more ends are waiting to be listed
}

// StartResult is the answer to a start.
type StartResult int

// Results of starts. All but StartUnknown and StartAccepted prove that this
// order has not started the run.
const (
	StartAccepted  StartResult = iota
	StartUnknown               // no answer; the run may begin later
	StartFenced                // the VM has seen a higher fencing token
	StartOld                   // the run is not higher than one that was stopped or ended there
	StartLate                  // its lease deadline had passed on the VM's clock
	StartNoRoom                // the VM has no room for it
	StartNoTicket              // the advisor's ticket is missing or no longer valid
	StartUnhealthy             // the VM refuses work at the moment
	StartOtherLife             // another life of the worker answered
	StartRejected              // the VM does not understand the order
)

var startResultNames = [...]string{"accepted", "unknown", "fenced", "old", "late", "no_room", "no_ticket", "unhealthy", "other_life", "rejected"}

// String returns the result's name in logs.
func (r StartResult) String() string { return startResultNames[r] }

// Command is an order for a VM.
type Command struct {
	Kind       CommandKind
	VM         string
	Address    string
	Task       string
	Run        int
	Payload    string        // starts only
	Checkpoint string        // starts only
	Ticket     string        // starts only
	Percent    int           // paces only
	IssuedAt   time.Duration // when it was decided, on the steady clock

	VMs   []string      // advice only: the VMs that are asked about
	Limit time.Duration // advice only: time limit of the call
}

// CommandKind tells what a command orders.
type CommandKind int

// Kinds of commands.
const (
	Start CommandKind = iota
	Stop
	Pace
	Advise // asks the advisor; Task is the step's name
)

var commandNames = [...]string{"start", "stop", "pace", "advise"}

// String returns the kind's name in logs.
func (k CommandKind) String() string { return commandNames[k] }

// TaskName returns the name of a task on the VMs.
func TaskName(id string, occurrence, step, index int) string {
	b := make([]byte, 0, len(id)+12)
	b = append(b, id...)
	for _, n := range [...]int{occurrence, step, index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// parseTaskName splits a task's name. The last result is false for a name that
// this scheduler would not give.
func parseTaskName(name string) (id string, occurrence, step, index int, ok bool) {
	id, rest, found := strings.Cut(name, ".")
	if !found || !job.ValidID(id) {
		return "", 0, 0, 0, false
	}
	parts := strings.Split(rest, ".")
	if len(parts) != 3 {
		return "", 0, 0, 0, false
	}
	var numbers [3]int
	for i, part := range parts {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return "", 0, 0, 0, false
		}
		numbers[i] = n
	}
	return id, numbers[0], numbers[1], numbers[2], true
}
