package pool

import (
	"math"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/sched/job"
)

// runTimeModel learns how long the tasks of a queue run, given their estimates. It is
// a linear regression of the logarithm of the run time on that of the estimate, with
// exponentially decaying weights: where the estimates are far off, predictions move
// towards the mean run time of the queue.
type runTimeModel struct {
	samples      int
	meanX, meanY float64 // of the logarithms of estimates and run times in seconds
	varX, varY   float64
	cov          float64
	spread       taskSpread
}

// taskSpread learns how far the run times of the tasks of one step lie apart.
type taskSpread struct {
	steps     int     // observed
	deviation float64 // standard deviation of the logarithms of the run times of one step
}

// Parameters of the learnt spread within steps.
const (
	initialDeviation = 0.15 // before any step is observed
	priorSteps       = 10   // weight of initialDeviation, in steps
	minStepWeight    = 0.02 // of a new step
)

// observe adds a step with the longest and the mean run time of n tasks.
func (s *taskSpread) observe(n int, longest, mean float64) {
	if n < 2 || mean <= 0 {
		return
	}
	deviation := math.Log(min(maxSampleRatio, max(1, longest/mean))) / expectedMaximum(n)
	s.steps++
	s.deviation += max(minStepWeight, 1/float64(s.steps+priorSteps)) * (deviation - s.deviation)
}

// longestFactor returns the expected ratio of the longest run time of n tasks of one step to
// their mean.
func (s *taskSpread) longestFactor(n int) float64 {
	return min(maxSampleRatio, math.Exp(s.deviation*expectedMaximum(n)))
}

// maxima holds expectedMaximum of the step sizes that occur most.
var maxima = func() (table [65]float64) {
	for n := 2; n < len(table); n++ {
		table[n] = blomMaximum(n)
	}
	return table
}()

// expectedMaximum returns the expected largest of n values of the standard normal
// distribution, 0 for at most one.
func expectedMaximum(n int) float64 {
	switch {
	case n < 2:
		return 0
	case n < len(maxima):
		return maxima[n]
	}
	return blomMaximum(n)
}

// blomMaximum is Blom's approximation of the expected largest of n standard normal values.
func blomMaximum(n int) float64 {
	const alpha = 0.375
	return math.Sqrt2 * math.Erfinv(2*(float64(n)-alpha)/(float64(n)+1-2*alpha)-1)
}

// Parameters of learnt run times.
const (
	minSampleWeight = 0.01                   // of a new sample
	priorSamples    = 20                     // weight of the assumption that estimates are right, in samples
	priorVariance   = 0.25                   // of the logarithms, under that assumption
	maxSampleRatio  = 6                      // bound of a sample's ratio to its prediction; more comes from a disturbed VM
	defaultRunTime  = 500 * time.Millisecond // for tasks without an estimate
)

// newRunTimeModel returns a model that trusts estimates, with the logarithm of a
// typical estimate.
func newRunTimeModel(x float64) *runTimeModel {
	return &runTimeModel{meanX: x, meanY: x, varX: priorVariance, varY: priorVariance, cov: priorVariance,
		spread: taskSpread{deviation: initialDeviation}}
}

// predict returns the expected run time in seconds for the logarithm of an estimate.
func (m *runTimeModel) predict(x float64) float64 {
	slope := m.cov / m.varX
	residual := max(0, m.varY-slope*m.cov)
	return math.Exp(m.meanY + slope*(x-m.meanX) + residual/2)
}

// observe adds a run time to the model, given its estimate. Both are in seconds.
func (m *runTimeModel) observe(estimate, runTime float64) {
	x := math.Log(estimate)
	expected := m.predict(x)
	y := math.Log(min(expected*maxSampleRatio, max(expected/maxSampleRatio, runTime)))
	m.samples++
	weight := max(minSampleWeight, 1/float64(m.samples+priorSamples))
	dx, dy := x-m.meanX, y-m.meanY
	m.meanX += weight * dx
	m.meanY += weight * dy
	m.varX += weight * ((1-weight)*dx*dx - m.varX)
	m.varY += weight * ((1-weight)*dy*dy - m.varY)
	m.cov += weight * ((1-weight)*dx*dy - m.cov)
}

// estimateSeconds returns the estimate of a step's tasks in seconds.
func estimateSeconds(s *job.Step) float64 {
	if s.Estimate <= 0 {
		return defaultRunTime.Seconds()
	}
	return s.Estimate.Seconds()
}

// expectedRunTime returns the expected run time of a step's tasks, from its estimate
// and from the run times of earlier tasks of the queue.
func (p *Pool) expectedRunTime(queue string, s *job.Step) time.Duration {
	estimate := estimateSeconds(s)
	if m := p.runTimes[queue]; m != nil {
		estimate = m.predict(math.Log(estimate))
	}
	return time.Duration(estimate * float64(time.Second))
}

// expectedLongest returns the expected run time of the longest of n tasks of a step. The members
// of a gang end together.
func (p *Pool) expectedLongest(queue string, s *job.Step, n int) time.Duration {
	if s.Gang {
		n = 1
	}
	spread := taskSpread{deviation: initialDeviation}
	if m := p.runTimes[queue]; m != nil {
		spread = m.spread
	}
	return time.Duration(float64(p.expectedRunTime(queue, s)) * spread.longestFactor(n))
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
	if cause != EndDone || t.inherited || t.history.checkpoint != "" {
		return
	}
	v.health.succeeded()
	t.occ.job.doneTasks++
	estimate := estimateSeconds(spec)
	queue := t.occ.job.spec.Queue
	m := p.runTimes[queue]
	if m == nil {
		m = newRunTimeModel(math.Log(estimate))
		p.runTimes[queue] = m
	}
	t.ranFor = max(minRunTime, p.now.Steady-t.since)
	m.observe(estimate, t.ranFor.Seconds())
	if t.occ.remaining[t.step] == 1 {
		m.spread.observe(t.occ.runTimesOf(t.step))
	}
}

// runTimesOf returns the number of tasks of a step whose run times are known, and the longest and
// the mean of these in seconds.
func (o *occurrence) runTimesOf(step int) (n int, longest, mean float64) {
	for _, t := range o.tasks[step] {
		if t.ranFor > 0 {
			n++
			longest = max(longest, t.ranFor.Seconds())
			mean += (t.ranFor.Seconds() - mean) / float64(n)
		}
	}
	return n, longest, mean
}

// startTimeGain is the weight of the last start in the usual time of a start.
const startTimeGain = 0.02

// recordStartTime updates the usual time of a start, from its placement to the answer of
// its VM: milliseconds, but a good part of a job's objective while this process is
// short of processor time or the table service is slow.
func (p *Pool) recordStartTime(took time.Duration) {
	p.startTime += time.Duration(startTimeGain * float64(took-p.startTime))
}

// minRunTime is the lower bound of an observed run time: listings arrive within
// milliseconds of the ends of runs.
const minRunTime = 5 * time.Millisecond

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
