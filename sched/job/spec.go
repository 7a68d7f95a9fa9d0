// Package job defines the description and the progress of a submitted job, and how
// both are stored.
package job

import (
	"fmt"
	"math"
	"strings"
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/store"
)

// Limits of a job description. They keep the row of a job within the size that the
// table service allows.
const (
	MaxPayloadBytes = 4000   // limit of task_spec in the platform's job interface
	MaxSteps        = 64     // far above the steps of any known job; bounds the dependency check
	MaxTasks        = 10_000 // of one occurrence, and of all occurrences that are open at a time; bounds the memory of a pool's owner
	IDLength        = 16     // hexadecimal digits
)

// Step is a set of tasks with the same properties.
type Step struct {
	Count          int             `cbor:"1,keyasint"`
	Need           fleet.Resources `cbor:"2,keyasint"`            // for one task
	Estimate       time.Duration   `cbor:"3,keyasint,omitempty"`  // of the run time of one task
	After          []int           `cbor:"4,keyasint,omitempty"`  // indexes of earlier steps that must be done first
	Checkpoints    bool            `cbor:"5,keyasint,omitempty"`  // tasks save their progress
	Gang           bool            `cbor:"6,keyasint,omitempty"`  // all tasks run together or not at all
	SameRack       bool            `cbor:"7,keyasint,omitempty"`  // tasks are slower when spread over racks
	Label          string          `cbor:"8,keyasint,omitempty"`  // label that the VM must have
	NearRack       string          `cbor:"9,keyasint,omitempty"`  // rack of the step's data; tasks are slower elsewhere
	MaxPerVM       int             `cbor:"10,keyasint,omitempty"` // tasks on one VM; 0 means no bound
	Speculative    bool            `cbor:"11,keyasint,omitempty"` // copies of a task may run in parallel
	LongRunning    bool            `cbor:"12,keyasint,omitempty"` // tasks run until the job is cancelled
	Image          string          `cbor:"13,keyasint,omitempty"` // tasks of one image behave alike
	LatencyGoal    time.Duration   `cbor:"14,keyasint,omitempty"` // upper limit of the tail latency of a latency-sensitive task; 0 for other tasks
	BestEffort     bool            `cbor:"15,keyasint,omitempty"` // tasks use only processor time that other tasks leave idle
	MaxUnavailable int             `cbor:"16,keyasint,omitempty"` // availability budget: tasks that planned actions may make unavailable at a time
}

// Spec is the description of a job as submitted by its caller.
type Spec struct {
	ID          string        `cbor:"1,keyasint"`
	Queue       string        `cbor:"2,keyasint"`
	Workspace   string        `cbor:"3,keyasint,omitempty"` // empty on open queues
	Payload     string        `cbor:"4,keyasint,omitempty"`
	Steps       []Step        `cbor:"5,keyasint"`
	Repetitions int           `cbor:"6,keyasint,omitempty"` // 0 means that the job runs once, as soon as possible
	FirstRunMS  int64         `cbor:"7,keyasint,omitempty"` // Unix milliseconds; ignored without repetitions
	Interval    time.Duration `cbor:"8,keyasint,omitempty"` // between the starts of two repetitions
	AcceptedMS  int64         `cbor:"9,keyasint,omitempty"` // Unix milliseconds, at the accepting entry

	Terms    *QueueTerms `cbor:"10,keyasint,omitempty"` // of the queue; nil if an earlier build has accepted the job
	Location string      `cbor:"11,keyasint,omitempty"` // name of the row with the job's location; empty if an earlier build has accepted the job

	Cancelled bool `cbor:"12,keyasint,omitempty"` // it was cancelled before it was stored, and never runs

	Stored []store.Condition `cbor:"-"` // the rows that the description was read from
}

// QueueTerms are the declarations of a job's queue when the job was accepted. They hold
// once the queue is no longer declared.
type QueueTerms struct {
	Priority    int           `cbor:"1,keyasint,omitempty"`
	MaxAttempts int           `cbor:"2,keyasint,omitempty"`
	Stretch     float64       `cbor:"3,keyasint,omitempty"`
	Target      time.Duration `cbor:"4,keyasint,omitempty"`
	Advice      *AdviceTerms  `cbor:"5,keyasint,omitempty"` // nil if the queue has no advisor
}

// AdviceTerms are the durations of an advisor's answers.
type AdviceTerms struct {
	CallTime  time.Duration `cbor:"1,keyasint,omitempty"`
	TimePerVM time.Duration `cbor:"2,keyasint,omitempty"`
	Validity  time.Duration `cbor:"3,keyasint,omitempty"`
}

// Occurrences returns how many times the steps run, at least 1.
func (s *Spec) Occurrences() int {
	return max(1, s.Repetitions)
}

// Due returns the time from which an occurrence, numbered from 0, may start, in
// Unix milliseconds; 0 means as soon as possible.
func (s *Spec) Due(occurrence int) int64 {
	if s.Repetitions == 0 {
		return 0
	}
	interval := s.Interval.Milliseconds()
	if interval > 0 && int64(occurrence) > (math.MaxInt64-s.FirstRunMS)/interval {
		return math.MaxInt64 // never
	}
	return s.FirstRunMS + int64(occurrence)*interval
}

// MaxOpen returns how many occurrences may be open at a time.
func (s *Spec) MaxOpen() int { return max(1, MaxTasks/max(1, s.Tasks())) }

// Tasks returns the number of tasks of one occurrence.
func (s *Spec) Tasks() int {
	n := 0
	for i := range s.Steps {
		n += s.Steps[i].Count
	}
	return n
}

// LongRunning reports whether the job has a long-running step.
func (s *Spec) LongRunning() bool {
	for i := range s.Steps {
		if s.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// ValidID reports whether id consists of IDLength hexadecimal digits in lower or
// upper case.
func ValidID(id string) bool {
	if len(id) != IDLength {
		return false
	}
	return strings.Trim(id, "0123456789abcdefABCDEF") == ""
}

// ErrInvalidID means that an id is not one that a job can have.
var ErrInvalidID = fmt.Errorf("id: want %d hexadecimal digits", IDLength)

// Check returns an error that names the first invalid field of the description, or
// nil.
func (s *Spec) Check() error {
	if !ValidID(s.ID) {
		return ErrInvalidID
	}
	if len(s.Payload) > MaxPayloadBytes {
		return fmt.Errorf("payload: %d bytes, at most %d", len(s.Payload), MaxPayloadBytes)
	}
	if len(s.Steps) == 0 {
		return fmt.Errorf("steps: empty")
	}
	if len(s.Steps) > MaxSteps {
		return fmt.Errorf("steps: %d, at most %d", len(s.Steps), MaxSteps)
	}
	if s.Repetitions < 0 || s.Interval < 0 || s.FirstRunMS < 0 {
		return fmt.Errorf("repetitions, interval or first run: negative")
	}
	for i := range s.Steps {
		if err := s.Steps[i].check(i); err != nil {
			return fmt.Errorf("steps[%d].%w", i, err)
		}
	}
	if tasks := s.Tasks(); tasks > MaxTasks {
		return fmt.Errorf("steps: %d tasks, at most %d", tasks, MaxTasks)
	}
	return nil
}

func (s *Step) check(index int) error {
	if s.Count <= 0 || s.Count > MaxTasks {
		return fmt.Errorf("count: %d is not between 1 and %d", s.Count, MaxTasks)
	}
	if s.Need.MilliCPU < 0 || s.Need.MemoryMB < 0 || s.Need.Accelerators < 0 {
		return fmt.Errorf("resources: negative")
	}
	if s.Estimate < 0 || s.MaxPerVM < 0 || s.MaxUnavailable < 0 || s.LatencyGoal < 0 {
		return fmt.Errorf("estimate, latency goal or limits: negative")
	}
	for _, earlier := range s.After {
		// Dependencies on earlier steps only cannot form a cycle.
		if earlier < 0 || earlier >= index {
			return fmt.Errorf("after: step %d is not an earlier step", earlier)
		}
	}
	return nil
}
