package pool

import (
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/sched/job"
)

// runModel follows how long tasks of a queue take, relative to their estimates.
type runModel struct {
	ratio   float64
	samples int
}

// Bounds of learnt run times. Estimates are off by a factor of a few at most,
// so a ratio beyond them comes from a disturbed VM.
const (
	minRunRatio  = 0.3
	maxRunRatio  = 4
	ratioGain    = 0.05 // weight of a new sample once enough were seen
	firstSamples = 20
	defaultRun   = 500 * time.Millisecond // for tasks without an estimate
)

// expected returns the expected run time of a step's tasks.
func (p *Pool) expected(queue string, s *job.Step) time.Duration {
	estimate := s.Estimate
	if estimate <= 0 {
		estimate = defaultRun
	}
	if m := p.runs[queue]; m != nil {
		return time.Duration(float64(estimate) * m.ratio)
	}
	return estimate
}

// learnRun updates what is known of run times and of the health of a VM.
func (p *Pool) learnRun(t *task, v *vm, cause EndCause) {
	spec := t.spec()
	if spec.LongRunning {
		return
	}
	if cause == EndFailed {
		if !t.occ.job.suspect(v) && v.health.failed(p.now.Steady, t.occ.job.spec.ID) {
			p.log.Warn("vm_quarantined", zap.String("vm", v.ID), zap.Int("jobs", len(v.health.failures)), zap.Duration("for", v.health.until-p.now.Steady))
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
		estimate = defaultRun
	}
	ratio := float64(p.now.Steady-t.since) / float64(estimate)
	ratio = min(maxRunRatio, max(minRunRatio, ratio))
	queue := t.occ.job.spec.Queue
	m := p.runs[queue]
	if m == nil {
		m = &runModel{ratio: 1}
		p.runs[queue] = m
	}
	m.samples++
	gain := max(ratioGain, 1/float64(m.samples+firstSamples/4))
	m.ratio += gain * (ratio - m.ratio)
}

// suspect reports whether a job rather than its VMs is to blame for failures:
// it has failed on several VMs and nothing of it has ever been done.
func (j *jobState) suspect(v *vm) bool {
	if j.failedVMs == nil {
		j.failedVMs = map[string]bool{}
	}
	j.failedVMs[v.ID] = true
	return j.doneTasks == 0 && len(j.failedVMs) >= failuresToQuarantine
}

// vmHealth is evidence against a VM from the runs that it fails.
type vmHealth struct {
	failures map[string]bool // jobs that failed in a row, without a success between
	until    time.Duration
	probes   int // quarantines so far
}

// Quarantine of VMs that fail what they start.
const (
	failuresToQuarantine = 2 // different jobs
	refusedTime          = time.Second
	quarantineTime       = 4 * time.Second // faults of VMs last some seconds
	maxQuarantine        = 16 * time.Second
)

func (h *vmHealth) failed(now time.Duration, job string) bool {
	if h.failures == nil {
		h.failures = map[string]bool{}
	}
	h.failures[job] = true
	if len(h.failures) < failuresToQuarantine || now < h.until {
		return false
	}
	h.until = now + min(maxQuarantine, quarantineTime<<min(2, h.probes))
	h.probes++
	return true
}

// refused notes that a VM refuses work because it is not healthy.
func (h *vmHealth) refused(now time.Duration) { h.until = max(h.until, now+refusedTime) }

func (h *vmHealth) succeeded() {
	h.failures = nil
	h.probes = 0
}

func (h *vmHealth) quarantined(now time.Duration) bool { return now < h.until }

// suspicion is 0 for a VM without recent failures and 1 for one that would be
// quarantined by the next failure.
func (h *vmHealth) suspicion() float64 {
	return min(1, float64(len(h.failures))/float64(failuresToQuarantine))
}
