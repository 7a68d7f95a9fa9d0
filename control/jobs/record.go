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

// claim is the right to start one attempt of a step on one VM. It is durable
// before the start is sent.
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
	Attempts int           `cbor:"2,keyasint,omitempty"` // starts of the current step
	Started  int           `cbor:"3,keyasint,omitempty"` // attempts of all steps that may have started
	Claim    *claim        `cbor:"4,keyasint,omitempty"`
	Canceled bool          `cbor:"5,keyasint,omitempty"`
	Avoid    []fleet.VMID  `cbor:"6,keyasint,omitempty"` // VMs on which the current step has failed
	Result   *fleet.Result `cbor:"7,keyasint,omitempty"`
	Ended    int64         `cbor:"8,keyasint,omitempty"` // Unix time in nanoseconds
	// MayHaveStarted is set when a former owner may have started the job without a
	// durable claim, as owners do with idempotent jobs during an outage.
	MayHaveStarted bool `cbor:"9,keyasint,omitempty"`
}

// record is the whole progress of a job at one moment. The record with the
// highest sequence holds, in whichever order records are read, so replaying
// pages over a checkpoint that contains them does no harm. Sequences start at
// the time of the submission, so a job that is submitted again after its result
// was dropped is later than all records of its first life.
type record struct {
	ID       fleet.JobID `cbor:"1,keyasint"`
	Sequence uint64      `cbor:"2,keyasint"`
	Progress progress    `cbor:"3,keyasint"`
	Job      *fleet.Job  `cbor:"4,keyasint,omitempty"` // until a record with it is durable
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

type mergedJob struct {
	record
	shard       int
	jobSequence uint64 // sequence of the record that Job came with
}

func newMerger() *merger { return &merger{jobs: map[fleet.JobID]*mergedJob{}} }

func (m *merger) addBody(shard int, body []byte) error {
	var r record
	if err := cbor.Unmarshal(body, &r); err != nil {
		return fmt.Errorf("decode record of shard %d: %w", shard, err)
	}
	m.add(shard, r)
	return nil
}

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

func (m *merger) add(shard int, r record) {
	known := m.jobs[r.ID]
	if known == nil {
		known = &mergedJob{shard: shard}
		m.jobs[r.ID] = known
	}
	job, jobAt := known.Job, known.jobSequence
	if r.Job != nil && r.Sequence >= jobAt {
		job, jobAt = r.Job, r.Sequence
	}
	if r.Sequence >= known.Sequence {
		known.record = r
	}
	known.Job, known.jobSequence = job, jobAt
}

// queueKey names the waiting jobs that one bound applies to.
type queueKey struct {
	queue fleet.QueueName
	team  fleet.TeamName
	class fleet.Class
}

// phase says where a job stands in its owner's memory.
type phase int

const (
	phaseSubmitting phase = iota // its first record is being journaled
	phaseQueued                  // waits in a lane
	phaseDelayed                 // waits for its next attempt's time
	phaseStarting                // a slot is being reserved or claimed, or the start is being sent
	phaseOpen                    // claimed; may run
	phaseEnded
)

// jobEntry is a job in its owner's memory. All fields are guarded by the owner's
// lock.
type jobEntry struct {
	job   fleet.Job
	shard int
	pool  fleet.PoolName // lane of a waiting job
	progress
	phase phase

	sequence          uint64 // of the present progress
	durableSequence   uint64 // highest sequence that is durable
	appendingSequence uint64 // highest sequence that is being appended
	jobDurable        bool   // the job itself is durable
	unrecorded        bool   // ran or ended while the store was unavailable

	submissionDone chan struct{} // closed when the submission is decided; nil from then on
	endedOrMoved   chan struct{} // closed when the job has ended or moved; nil without waiters

	notBefore         time.Time // of phaseDelayed
	startRefusals     int       // starts refused in a row
	lookupAt          time.Time // of phaseOpen
	unansweredLookups int       // in a row without an answer
	lastKnownAt       time.Time // when the attempt was last known to a VM owner, or claimed
	queuedAt          time.Time
	startedAt         time.Time // of the present attempt; zero if it was taken over
	countedInQueue    bool      // counted against the queue's bound
}

func (e *jobEntry) key() queueKey { return queueKey{e.job.Queue, e.job.Team, e.job.Class} }

func (e *jobEntry) dirty() bool { return e.durableSequence < e.sequence }

// resultVisible reports whether callers may see the result: it is durable, or it is
// not a refusal and the store is away. A result of not_run is shown only when
// durable, because the next owner would still run the job otherwise.
func (e *jobEntry) resultVisible() bool {
	if e.phase != phaseEnded {
		return false
	}
	return !e.dirty() || e.unrecorded && e.Result.Outcome != fleet.OutcomeNotRun
}

func (e *jobEntry) record() record {
	r := record{ID: e.job.ID, Sequence: e.sequence, Progress: e.progress}
	if !e.jobDurable {
		r.Job = &e.job
	}
	return r
}

func (e *jobEntry) status() control.JobStatus {
	s := control.JobStatus{ID: e.job.ID, Team: e.job.Team, State: control.JobQueued, Step: e.Step, Unrecorded: !e.jobDurable}
	switch {
	case e.resultVisible():
		s.State = control.JobEnded
		result := *e.Result
		result.Unrecorded = e.unrecorded
		s.Result = &result
	case e.phase == phaseOpen || e.phase == phaseEnded:
		s.State = control.JobRunning
	}
	return s
}
