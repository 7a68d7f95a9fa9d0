package job

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// State is the state of a job that callers see.
type State uint8

// States of a job.
const (
	Queued State = iota
	Running
	Succeeded
	Failed
	Cancelled
)

var stateNames = [...]string{"queued", "running", "succeeded", "failed", "cancelled"}

// String returns the name of the state as callers see it.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// Final reports whether a job in this state never changes its state again.
func (s State) Final() bool { return s >= Succeeded }

// TaskState is the stored state of a task.
type TaskState uint8

// States of a task.
const (
	TaskWaiting TaskState = iota
	TaskActive            // a run of the task may be on its VM
	TaskDone
)

// Task is the stored progress of one task.
type Task struct {
	_          struct{} `cbor:",toarray"`
	State      TaskState
	Run        int    // number of the newest run, from 1; 0 if the task never started
	Failures   int    // runs that ended as failed
	VM         string // of the newest run; set only in TaskActive
	Checkpoint string // newest reported; empty if there is none
}

// Occurrence is the stored progress of one repetition of a job's steps.
type Occurrence struct {
	_      struct{} `cbor:",toarray"`
	Number int      // from 0
	Tasks  []Task   // of all steps, in order
}

// TaskCrashes are the stored numbers of VMs that have crashed under a task.
type TaskCrashes struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int      // number of the occurrence
	Task       int      // position of the task in the occurrence
	Crashes    int      // while a run of the task may have been on them
	Certain    int      // while one certainly was
	Likely     int      // of which the task is the likely cause
}

// GangFailure is the stored newest run of a gang that has ended as failed. Several members
// may list it, each once.
type GangFailure struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int      // number of the occurrence
	Task       int      // position of the gang's first member in the occurrence, which counts the failed runs
	Run        int
}

// TaskPlacement tells when the newest run of an active task was placed.
type TaskPlacement struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int      // number of the occurrence
	Task       int      // position of the task in the occurrence
	AtMS       int64    // latest time at which the record of the run can have been sent, ms on the table service's clock
}

// TaskRef names a task of a job.
type TaskRef struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int      // number of the occurrence
	Task       int      // position of the task in the occurrence
}

// Progress is the stored progress of a job. Occurrences that are not due yet are
// absent; those numbered below FirstOpen are complete.
type Progress struct {
	State       State        `cbor:"1,keyasint"`
	FirstOpen   int          `cbor:"2,keyasint,omitempty"`
	Occurrences []Occurrence `cbor:"3,keyasint,omitempty"`
	FinishedMS  int64        `cbor:"4,keyasint,omitempty"` // Unix milliseconds
	Workspace   string       `cbor:"5,keyasint,omitempty"` // of the job; empty on open queues

	Crashes []TaskCrashes `cbor:"6,keyasint,omitempty"` // of tasks that are not done; earlier builds do not write it

	// NextOpen is set if the tasks are in parts, in rows of their own: occurrences from
	// FirstOpen to before it are open.
	NextOpen int `cbor:"7,keyasint,omitempty"`

	GangFailures []GangFailure `cbor:"8,keyasint,omitempty"` // of gangs that are not done; earlier builds do not write it

	Address string `cbor:"9,keyasint,omitempty"` // at which the job was submitted, see tables.Address; empty if an earlier build has recorded it

	Placements []TaskPlacement `cbor:"10,keyasint,omitempty"` // of active tasks; earlier builds do not write it

	// Settled are the active tasks whose newest run has been started, and which no other call may
	// start later. Ended are those whose newest run has ended while a call may start it once more.
	// Earlier builds do not write them.
	Settled []TaskRef `cbor:"11,keyasint,omitempty"`
	Ended   []TaskRef `cbor:"12,keyasint,omitempty"`

	Parts map[int]*ProgressPart `cbor:"-"` // the stored parts, by number; newer than Occurrences
}

// ProgressPart is the stored progress of some tasks of a job whose tasks do not fit into
// one row.
type ProgressPart struct {
	Ranges  []TaskRange   `cbor:"1,keyasint"`
	Crashes []TaskCrashes `cbor:"2,keyasint,omitempty"` // of these tasks

	GangFailures []GangFailure `cbor:"3,keyasint,omitempty"` // of the gangs whose first members are among these tasks

	Placements []TaskPlacement `cbor:"4,keyasint,omitempty"` // of the active ones among these tasks
	Settled    []TaskRef       `cbor:"5,keyasint,omitempty"` // the same
	Ended      []TaskRef       `cbor:"6,keyasint,omitempty"` // the same
}

// TaskRange is the stored progress of successive tasks of one occurrence.
type TaskRange struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int      // number of the occurrence
	First      int      // position of the first task in the occurrence
	Tasks      []Task
}

var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 17}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// EncodeSpec returns the stored form of a job description.
func EncodeSpec(s *Spec) ([]byte, error) { return cbor.Marshal(s) }

// DecodeSpec decodes the stored form of a job description. It returns an error for a
// malformed or invalid one.
func DecodeSpec(b []byte) (*Spec, error) {
	s := new(Spec)
	if err := decoder.Unmarshal(b, s); err != nil {
		return nil, fmt.Errorf("job row: %w", err)
	}
	if err := s.Check(); err != nil {
		return nil, fmt.Errorf("job row: %w", err)
	}
	return s, nil
}

// Location names the pool that holds a job. Its key does not depend on the pool, so that a
// job stays one job when its queue moves.
type Location struct {
	Pool      string `cbor:"1,keyasint"`
	Workspace string `cbor:"2,keyasint,omitempty"` // of the job; empty on open queues
}

// EncodeLocation returns the stored form of a job's location.
func EncodeLocation(l Location) ([]byte, error) { return cbor.Marshal(l) }

// DecodeLocation decodes the stored form of a job's location. It returns an error for a
// malformed one.
func DecodeLocation(b []byte) (Location, error) {
	var l Location
	if err := decoder.Unmarshal(b, &l); err != nil {
		return Location{}, fmt.Errorf("location row: %w", err)
	}
	if l.Pool == "" {
		return Location{}, fmt.Errorf("location row: no pool")
	}
	return l, nil
}

// EncodeProgress returns the stored form of a job's progress.
func EncodeProgress(p *Progress) ([]byte, error) { return cbor.Marshal(p) }

// DecodeProgress decodes the stored form of a job's progress. It returns an error for
// a malformed one.
func DecodeProgress(b []byte) (*Progress, error) {
	p := new(Progress)
	if err := decoder.Unmarshal(b, p); err != nil {
		return nil, fmt.Errorf("progress row: %w", err)
	}
	return p, nil
}

// EncodeProgressPart returns the stored form of a part of a job's progress.
func EncodeProgressPart(p *ProgressPart) ([]byte, error) { return cbor.Marshal(p) }

// DecodeProgressPart decodes the stored form of a part of a job's progress. It returns an
// error for a malformed one.
func DecodeProgressPart(b []byte) (*ProgressPart, error) {
	p := new(ProgressPart)
	if err := decoder.Unmarshal(b, p); err != nil {
		return nil, fmt.Errorf("progress part row: %w", err)
	}
	return p, nil
}

// StateView is the part of a job's progress that status requests need.
type StateView struct {
	State     State  `cbor:"1,keyasint"`
	Workspace string `cbor:"5,keyasint,omitempty"`
	Address   string `cbor:"9,keyasint,omitempty"`
}

// DecodeState decodes the StateView of a job from its stored progress. It is
// cheaper than DecodeProgress. It returns an error for malformed progress.
func DecodeState(b []byte) (StateView, error) {
	var v StateView
	if err := decoder.Unmarshal(b, &v); err != nil {
		return StateView{}, fmt.Errorf("progress row: %w", err)
	}
	return v, nil
}

// QueueStatus is what a pool's owner publishes about a queue.
type QueueStatus struct {
	Waiting int   `cbor:"1,keyasint"` // accepted jobs of which no task has started
	AsOf    int64 `cbor:"2,keyasint"` // Unix milliseconds
}

// MovedQueue is what a pool's owner publishes about a queue that has left the pool while
// jobs of it waited there.
type MovedQueue struct {
	Queue   string `cbor:"1,keyasint"`
	Pool    string `cbor:"2,keyasint"` // the pool that it has left
	Waiting int    `cbor:"3,keyasint"` // jobs in that pool of which no task has started
}

// EncodeMovedQueue returns the stored form of a moved queue.
func EncodeMovedQueue(q MovedQueue) ([]byte, error) { return cbor.Marshal(q) }

// DecodeMovedQueue decodes the stored form of a moved queue. It returns an error for a
// malformed one.
func DecodeMovedQueue(b []byte) (MovedQueue, error) {
	var q MovedQueue
	err := decoder.Unmarshal(b, &q)
	return q, err
}

// EncodeQueueStatus returns the stored form of a queue's status.
func EncodeQueueStatus(q QueueStatus) ([]byte, error) { return cbor.Marshal(q) }

// DecodeQueueStatus decodes the stored form of a queue's status. It returns an error
// for a malformed one.
func DecodeQueueStatus(b []byte) (QueueStatus, error) {
	var q QueueStatus
	err := decoder.Unmarshal(b, &q)
	return q, err
}

// Millis converts a duration to whole milliseconds, rounded up.
func Millis(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
