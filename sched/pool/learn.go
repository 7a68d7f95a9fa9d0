package pool

import (
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/sched/job"
)

// runTimeModel learns how long the tasks of a queue run, relative to their
// estimates. ratio is a moving average.
type runTimeModel struct {
	ratio   float64
	samples int
}

// Parameters of learnt run times. Estimates are off by a factor of a few at most,
// so a ratio outside the bounds comes from a disturbed VM.
const (
	minRunRatio    = 0.3
	maxRunRatio    = 4
	ratioGain      = 0.05                   // minimum weight of a new sample
	firstSamples   = 20                     // the first sample weighs 1/(1+firstSamples/4)
	defaultRunTime = 500 * time.Millisecond // for tasks without an estimate
)

// expectedRunTime returns the expected run time of a step's tasks, from its estimate
// and from the run times of earlier tasks of the queue.
func (p *Pool) expectedRunTime(queue string, s *job.Step) time.Duration {
	estimate := s.Estimate
	if estimate <= 0 {
		estimate = defaultRunTime
	}
	if m := p.runTimes[queue]; m != nil {
		return time.Duration(float64(estimate) * m.ratio)
	}
	return estimate
}

// recordOutcome updates the run times of t's queue and the health of v from an
// ended run.
func (p *Pool) recordOutcome(t *task, v *vm, cause EndCause) {
	spec := t.spec()
	if spec.LongRunning {
		return
	}
	if cause == EndFailed {
		if !t.occ.job.failsOnManyVMs(v) && v.health.failed(p.now.Steady, t.occ.job.spec.ID) {
			p.log.Warn("vm_quarantined", zap.String("vm", v.ID), zap.Int("jobs", len(v.health.failedJobs)), zap.Duration("for", v.health.quarantinedUntil-p.now.Steady))
		}
		return
	}
	if cause != EndDone || t.inherited || t.checkpoint != "" {
		return
	}
	v.health.succeeded()
	t.occ.job.doneTasks++
	estimate := spec.Estimate
	if estimate <= 0 {
		estimate = defaultRunTime
	}
	ratio := float64(p.now.Steady-t.since) / float64(estimate)
	ratio = min(maxRunRatio, max(minRunRatio, ratio))
	queue := t.occ.job.spec.Queue
	m := p.runTimes[queue]
	if m == nil {
		m = &runTimeModel{ratio: 1}
		p.runTimes[queue] = m
	}
	m.samples++
	gain := max(ratioGain, 1/float64(m.samples+firstSamples/4))
	m.ratio += gain * (ratio - m.ratio)
}

// failsOnManyVMs records a failure of the job on v and reports whether the job
// rather than its VMs is at fault: it has failed on several VMs and none of its
// tasks has succeeded under this owner.
func (j *jobState) failsOnManyVMs(v *vm) bool {
	if j.failedVMs == nil {
		j.failedVMs = map[string]bool{}
	}
	j.failedVMs[v.ID] = true
	return j.doneTasks == 0 && len(j.failedVMs) >= failuresToQuarantine
}

// vmHealth decides from the results of a VM's runs whether it gets new work.
type vmHealth struct {
	failedJobs       map[string]bool // ids of jobs with a failed run since the last successful run
	quarantinedUntil time.Duration
	quarantines      int // quarantines since the last successful run
}

// Quarantine of VMs that fail what they start.
const (
	failuresToQuarantine = 2               // number of different jobs with failed runs
	unhealthyQuarantine  = time.Second     // after a start that the VM refused as unhealthy
	firstQuarantine      = 4 * time.Second // later ones double up to maxQuarantine; faults of VMs last some seconds
	maxQuarantine        = 16 * time.Second
)

// failed records a failed run of a job and reports whether it starts a quarantine.
func (h *vmHealth) failed(now time.Duration, jobID string) bool {
	if h.failedJobs == nil {
		h.failedJobs = map[string]bool{}
	}
	h.failedJobs[jobID] = true
	if len(h.failedJobs) < failuresToQuarantine || now < h.quarantinedUntil {
		return false
	}
	h.quarantinedUntil = now + min(maxQuarantine, firstQuarantine<<min(2, h.quarantines))
	h.quarantines++
	return true
}

// refused records that a VM refuses work because it is not healthy.
func (h *vmHealth) refused(now time.Duration) {
	h.quarantinedUntil = max(h.quarantinedUntil, now+unhealthyQuarantine)
}

func (h *vmHealth) succeeded() {
	h.failedJobs = nil
	h.quarantines = 0
}

func (h *vmHealth) quarantined(now time.Duration) bool { return now < h.quarantinedUntil }

// failureScore returns 0 for a VM without failures since its last successful run,
// and rises to 1 for one with enough failures for a quarantine.
func (h *vmHealth) failureScore() float64 {
	return min(1, float64(len(h.failedJobs))/float64(failuresToQuarantine))
}
