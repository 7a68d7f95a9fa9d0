// Package pool schedules the jobs of one pool on its VMs. It is a deterministic
// state machine: the caller passes in events, writes the rows of each Batch and
// sends the commands that the package returns. The package does no I/O, starts
// no goroutines and takes the time as an argument.
package pool

import (
	"strconv"
	"strings"
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/job"
)

// Time is one moment, read on both clocks of the process.
type Time struct {
	Steady time.Duration // since an arbitrary start; continues while the process's VM is suspended
	Wall   int64         // Unix milliseconds
}

// Add returns the moment d later.
func (t Time) Add(d time.Duration) Time {
	return Time{t.Steady + d, t.Wall + d.Milliseconds()}
}

// VM describes a worker as the discovery service lists it.
type VM struct {
	ID             string
	Machine        string // the same over all incarnations of a worker
	Address        string
	DataCentre     string
	Rack           string
	Labels         []string
	Capacity       fleet.Resources
	Draining       bool
	DrainRemaining time.Duration // minimum time until a draining VM leaves
	StartedMS      int64         // start of this incarnation, Unix milliseconds; 0 if unknown
}

// RunState describes one running task in a VM's listing.
type RunState struct {
	Task            string
	Run             int
	Checkpoint      string
	ProgressPercent int   // a long-running task is available at 100
	Load            int64 // latency-sensitive tasks: tail latency in ms; others: processor use in thousandths of a core
}

// EndCause says how a run ended.
type EndCause string

// Causes of the end of a run.
const (
	EndDone         EndCause = "done"
	EndFailed       EndCause = "failed"  // because of the task or the VM
	EndStopped      EndCause = "stopped" // by a stop command
	EndLeaseExpired EndCause = "lapsed"  // its lease expired
	EndGangBroken   EndCause = "broken"  // another member of its gang ended
	EndGangTimeout  EndCause = "alone"   // timed out waiting for the other members of its gang
)

// RunEnd describes one ended run in a VM's listing.
type RunEnd struct {
	Sequence   int64 // rises with each end of one incarnation of the worker
	Task       string
	Run        int
	Cause      EndCause
	Checkpoint string
}

// Listing is a VM's answer to a renewal of its leases.
type Listing struct {
	VM        string
	StartedMS int64         // start of the incarnation that answered, Unix milliseconds; 0 if unknown
	ClockMS   int64         // clock of the VM, which began with the incarnation, in ms; 0 if unknown
	SentAt    time.Duration // when the renewal was sent, on the steady clock
	At        time.Duration // when the answer arrived, on the steady clock
	Running   []RunState
	Ended     []RunEnd // ends that the owner has not acknowledged
	Complete  bool     // no more ends are waiting to be listed
}

// LeaseBounds are the times by which the leases that an owner has granted on a VM have ended,
// on the steady clock, whatever the clock of the VM does.
type LeaseBounds struct {
	// Confirmed is the bound for runs that the VM has listed or whose start it has answered.
	Confirmed time.Duration
	// Unconfirmed is the bound for runs whose start has no answer. Another incarnation of the
	// VM than the one whose clock is known may have taken it.
	Unconfirmed time.Duration
}

// StartResult is the outcome of a start command.
type StartResult int

// Results of start commands. All but StartUnconfirmed and StartAccepted prove that
// this command has not started the run.
const (
	StartAccepted         StartResult = iota
	StartUnconfirmed                  // no answer: the run may still begin
	StartFenced                       // the VM has seen a higher fencing token
	StartStaleRun                     // the VM has stopped or ended a run of the task with the same or a higher number
	StartPastDeadline                 // the lease deadline had passed on the VM's clock
	StartNoRoom                       // the VM has no room for the run
	StartNoTicket                     // the advisor's ticket is missing or no longer valid
	StartUnhealthy                    // the VM refuses work at the moment
	StartOtherIncarnation             // another incarnation of the worker answered
	StartRejected                     // the VM does not understand the command
)

var startResultNames = [...]string{"accepted", "unknown", "fenced", "old", "late", "no_room", "no_ticket", "unhealthy", "other_life", "rejected"}

// String returns the result's name in logs.
func (r StartResult) String() string { return startResultNames[r] }

// Command is a command for a VM or a request to the advisor.
type Command struct {
	Kind            CommandKind
	VM              string
	Address         string
	Task            string
	Run             int
	Payload         string        // starts only
	Checkpoint      string        // starts only
	Ticket          string        // starts only
	Gang            bool          // starts only: the task works only together with others, whose starts are sent at the same time
	ThrottlePercent int           // throttles only: percentage of its processor share that the task may use
	IssuedAt        time.Duration // when the command was issued, on the steady clock

	VMs     []string      // advice only: ids of the VMs that the request is about
	Timeout time.Duration // advice only: timeout of the request
}

// CommandKind says what a command asks for.
type CommandKind int

// Kinds of commands.
const (
	Start CommandKind = iota
	Stop
	Throttle // sets the throttle of a task
	Advise   // asks the advisor which VMs may run a step; Task is the step's name
)

var commandNames = [...]string{"start", "stop", "pace", "advise"}

// String returns the kind's name in logs.
func (k CommandKind) String() string { return commandNames[k] }

// TaskName returns the name under which VMs know a task:
// "<id>.<occurrence>.<step>.<index>", with the id of its job.
func TaskName(id string, occurrence, step, index int) string {
	b := make([]byte, 0, len(id)+12)
	b = append(b, id...)
	for _, n := range [...]int{occurrence, step, index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// parseTaskName splits a task's name. ok is false for a name that TaskName does
// not produce.
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
