package jobs

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"amaranthfork.example/control"
	"amaranthfork.example/fleet"
)

// ID derives a job's id from its team and the caller's idempotency id, so that
// every entry finds the same shard and job for a repeated request.
func ID(team fleet.TeamName, idempotencyID string) fleet.JobID {
	sum := sha256.Sum256([]byte(string(team) + "\x00" + idempotencyID))
	return fleet.JobID(hex.EncodeToString(sum[:16]))
}

// claim is the right to start one attempt of a step on one VM. It is made
// durable before the start is sent.
type claim struct {
	Attempt    fleet.AttemptID      `cbor:"1,keyasint"`
	VM         fleet.VMID           `cbor:"2,keyasint"`
	DataCentre fleet.DataCentreName `cbor:"3,keyasint"`
	Epoch      uint64               `cbor:"4,keyasint"`
	Step       int                  `cbor:"5,keyasint"`
	Holder     string               `cbor:"6,keyasint"` // session that holds the unit of the team's limit
}

// progress is the part of a job's state that changes.
type progress struct {
	Step     int           `cbor:"1,keyasint,omitempty"`
	Attempts int           `cbor:"2,keyasint,omitempty"` // starts of the current step, without those that did not happen or ended in a checkpoint
	Started  int           `cbor:"3,keyasint,omitempty"` // attempts of all steps that may have started
	Claim    *claim        `cbor:"4,keyasint,omitempty"`
	Canceled bool          `cbor:"5,keyasint,omitempty"`
	Avoid    []fleet.VMID  `cbor:"6,keyasint,omitempty"` // VMs on which the current step has failed
	Result   *fleet.Result `cbor:"7,keyasint,omitempty"`
	Ended    int64         `cbor:"8,keyasint,omitempty"` // time of the end, Unix time in nanoseconds
	// MayHaveStarted is set when a former owner may have started the job
	// without a durable claim, which owners do with idempotent jobs during a
	// store outage.
	MayHaveStarted bool `cbor:"9,keyasint,omitempty"`
}

// record is the whole progress of a job at one moment. Of several records of a
// job the one with the highest sequence is valid, in whichever order they are
// read. Replaying pages that a checkpoint already contains is therefore
// harmless.
//
// A job's sequences start at the time of its submission. A job that is
// submitted again after its result was dropped therefore has higher sequences
// than all records of the earlier submission.
type record struct {
	ID       fleet.JobID `cbor:"1,keyasint"`
	Sequence uint64      `cbor:"2,keyasint"`
	Progress progress    `cbor:"3,keyasint"`
	Job      *fleet.Job  `cbor:"4,keyasint,omitempty"` // set until a record that contains it is durable
}

func encodeRecord(shard int, r record) (control.Record, error) {
	body, err := cbor.Marshal(r)
	if err != nil {
		return control.Record{}, fmt.Errorf("encode record of job %s: %w", r.ID, err)
	}
	return control.Record{Shard: shard, Body: body}, nil
}

// merger rebuilds jobs from records in any order.
type merger struct {
	jobs map[fleet.JobID]*mergedJob
}

// mergedJob is the newest record of a job and the job itself.
type mergedJob struct {
	record
	shard       int
	jobSequence uint64 // sequence of the record that contained Job
}

func newMerger() *merger { return &merger{jobs: map[fleet.JobID]*mergedJob{}} }

// addBody adds the record of a journal page.
func (m *merger) addBody(shard int, body []byte) error {
	var r record
	if err := cbor.Unmarshal(body, &r); err != nil {
		return fmt.Errorf("decode record of shard %d: %w", shard, err)
	}
	m.add(shard, r)
	return nil
}

// addState adds the records of a checkpoint.
func (m *merger) addState(shard int, state []byte) error {
	var records []record
	if err := cbor.Unmarshal(state, &records); err != nil {
		return fmt.Errorf("decode checkpoint of shard %d: %w", shard, err)
	}
	for _, r := range records {
		m.add(shard, r)
	}
	return nil
}

// add keeps the record with the highest sequence of each job, and the job
// itself from the newest record that contains it.
func (m *merger) add(shard int, r record) {
	known := m.jobs[r.ID]
	if known == nil {
		known = &mergedJob{shard: shard}
		m.jobs[r.ID] = known
	}
	job, jobSequence := known.Job, known.jobSequence
	if r.Job != nil && r.Sequence >= jobSequence {
		job, jobSequence = r.Job, r.Sequence
	}
	if r.Sequence >= known.Sequence {
		known.record = r
	}
	known.Job, known.jobSequence = job, jobSequence
}

// queueKey identifies the waiting jobs that share one limit on their number.
type queueKey struct {
	queue fleet.QueueName
	team  fleet.TeamName
	class fleet.Class
}

// phase is the state of a job in its owner's memory.
type phase int

const (
	phaseSubmitting phase = iota // its first record is being journaled
	phaseQueued                  // waits in the queue of its pool
	phaseDelayed                 // waits until notBefore for its next attempt
	phaseStarting                // a slot is being reserved or claimed, or the start is being sent
	phaseOpen                    // claimed; its task may be running
	phaseEnded
)

// jobEntry is a job in its owner's memory. All fields are guarded by
// Manager.mu.
type jobEntry struct {
	job   fleet.Job
	shard int
	pool  fleet.PoolName // pool of its queue
	progress
	phase phase

	sequence          uint64 // of the current progress
	durableSequence   uint64 // highest sequence that is durable
	appendingSequence uint64 // highest sequence that is being appended
	jobDurable        bool   // a record that contains the job is durable
	unrecorded        bool   // started or ended while the store was unavailable, without a durable record

	submissionDone chan struct{} // closed when the submission is accepted or rejected; nil afterwards
	endedOrMoved   chan struct{} // closed when the result is visible or the shard has moved; nil without waiters

	notBefore         time.Time // end of phaseDelayed
	startRefusals     int       // consecutive refused starts
	lookupAt          time.Time // time of the next lookup in phaseOpen
	unansweredLookups int       // consecutive lookups without an answer
	lastKnownAt       time.Time // when a VM owner last reported the attempt as running; at first, when the claim was opened
	queuedAt          time.Time
	startedAt         time.Time // start of the current attempt; zero if it was taken over
	countedInQueue    bool      // counted in Manager.queued
}

func (e *jobEntry) key() queueKey { return queueKey{e.job.Queue, e.job.Team, e.job.Class} }

// dirty reports whether the job has changes that are not durable.
func (e *jobEntry) dirty() bool { return e.durableSequence < e.sequence }

// resultVisible reports whether callers may see the result: it is durable, or
// it could not be recorded during a store outage and the outcome is not
// not_run. A result of not_run is shown only when durable, because otherwise
// the next owner would still run the job.
func (e *jobEntry) resultVisible() bool {
	if e.phase != phaseEnded {
		return false
	}
	return !e.dirty() || e.unrecorded && e.Result.Outcome != fleet.OutcomeNotRun
}

// record returns the current progress, with the job itself until that is
// durable.
func (e *jobEntry) record() record {
	r := record{ID: e.job.ID, Sequence: e.sequence, Progress: e.progress}
	if !e.jobDurable {
		r.Job = &e.job
	}
	return r
}

// status returns what callers may see of the job.
func (e *jobEntry) status() control.JobStatus {
	status := control.JobStatus{ID: e.job.ID, Team: e.job.Team, State: control.JobQueued, Step: e.Step, Unrecorded: !e.jobDurable}
	switch {
	case e.resultVisible():
		status.State = control.JobEnded
		result := *e.Result
		result.Unrecorded = e.unrecorded
		status.Result = &result
	case e.phase == phaseOpen || e.phase == phaseEnded:
		status.State = control.JobRunning
	}
	return status
}
