package job

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// State is what callers see of a job.
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

// String returns the state's name in the job interface.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// Final reports whether the state never changes again.
func (s State) Final() bool { return s >= Succeeded }

// TaskState is where a task stands.
type TaskState uint8

// States of a task. Only Waiting, Active and Done are stored.
const (
	TaskWaiting TaskState = iota
	TaskActive            // a run of it may be on its VM
	TaskDone
)

// Task is the stored progress of one task.
type Task struct {
	_          struct{} `cbor:",toarray"`
	State      TaskState
	Run        int    // number of the newest run; runs are numbered from 1
	Failures   int    // runs that ended as failed
	VM         string // of the newest run while Active
	Checkpoint string
}

// Occurrence is the progress of one repetition of the steps.
type Occurrence struct {
	_      struct{} `cbor:",toarray"`
	Number int
	Tasks  []Task // of all steps, in order
}

// Progress is the stored progress of a job. Occurrences that have not begun
// are absent; those below FirstOpen are complete.
type Progress struct {
	State       State        `cbor:"1,keyasint"`
	FirstOpen   int          `cbor:"2,keyasint,omitempty"`
	Occurrences []Occurrence `cbor:"3,keyasint,omitempty"`
	FinishedAt  int64        `cbor:"4,keyasint,omitempty"` // Unix milliseconds
	Workspace   string       `cbor:"5,keyasint,omitempty"` // of the job; empty on open queues
}

var decoder = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxArrayElements: 1 << 17}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}()

// EncodeSpec returns the stored form of a description.
func EncodeSpec(s *Spec) ([]byte, error) { return cbor.Marshal(s) }

// DecodeSpec reads the stored form of a description and checks it.
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

// EncodeProgress returns the stored form of a job's progress.
func EncodeProgress(p *Progress) ([]byte, error) { return cbor.Marshal(p) }

// DecodeProgress reads the stored form of a job's progress.
func DecodeProgress(b []byte) (*Progress, error) {
	p := new(Progress)
	if err := decoder.Unmarshal(b, p); err != nil {
		return nil, fmt.Errorf("progress row: %w", err)
	}
	return p, nil
}

// StateView is the part of a progress row that status requests need.
type StateView struct {
	State     State  `cbor:"1,keyasint"`
	Workspace string `cbor:"5,keyasint,omitempty"`
}

// DecodeState reads only what status requests need of a progress row.
func DecodeState(b []byte) (StateView, error) {
	var v StateView
	if err := decoder.Unmarshal(b, &v); err != nil {
		return StateView{}, fmt.Errorf("progress row: %w", err)
	}
	return v, nil
}

// QueueStatus is what the scheduler publishes of a queue.
type QueueStatus struct {
	Waiting int   `cbor:"1,keyasint"` // accepted jobs of which no task has started
	AsOf    int64 `cbor:"2,keyasint"` // Unix milliseconds
}

// EncodeQueueStatus returns the stored form.
func EncodeQueueStatus(q QueueStatus) ([]byte, error) { return cbor.Marshal(q) }

// DecodeQueueStatus reads the stored form.
func DecodeQueueStatus(b []byte) (QueueStatus, error) {
	var q QueueStatus
	err := decoder.Unmarshal(b, &q)
	return q, err
}

// Millis converts a duration to whole milliseconds, rounded up.
func Millis(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
