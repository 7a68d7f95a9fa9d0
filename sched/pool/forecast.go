package pool

import (
	"math"
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/lookahead"
)

const (
	// largeTaskFactor is how much larger than the mean task of the pool a task is that small
	// ones leave no room for.
	largeTaskFactor = 1.5
	// minEstimateMargin is the least factor between the expected run time of a task and the
	// one by which it is assumed to have ended.
	minEstimateMargin = 1.2
	// overdueFraction is the part of its present run time for which a run that should have
	// ended is expected to go on.
	overdueFraction = 0.25
)

// large reports whether a task with a need is larger than the mean of the runs of the pool.
func (p *Pool) large(need fleet.Resources) bool {
	if p.ahead.meanShare == 0 {
		var used fleet.Resources
		p.ahead.capacity = fleet.Resources{}
		tasks := 0
		for _, v := range p.candidates.usable {
			used, p.ahead.capacity = used.Add(v.used), p.ahead.capacity.Add(v.Capacity)
			tasks += len(v.tasks)
		}
		p.ahead.meanShare = math.SmallestNonzeroFloat64
		if tasks > 0 {
			p.ahead.meanShare = share(used, p.ahead.capacity) / float64(tasks)
		}
	}
	return share(need, p.ahead.capacity) >= largeTaskFactor*p.ahead.meanShare
}

// share returns the largest part of a capacity that a need takes of any resource.
func share(need, capacity fleet.Resources) float64 {
	part := 0.0
	for _, amount := range [][2]int64{{need.MilliCPU, capacity.MilliCPU}, {need.MemoryMB, capacity.MemoryMB}, {need.Accelerators, capacity.Accelerators}} {
		if amount[1] > 0 {
			part = max(part, float64(amount[0])/float64(amount[1]))
		}
	}
	return part
}

// forecast returns the state of v with the expected ends of its runs.
func (p *Pool) forecast(v *vm) lookahead.VM {
	f := lookahead.VM{Free: v.free(), Runs: make([]lookahead.Run, 0, len(v.tasks))}
	for t := range v.tasks {
		f.Runs = append(f.Runs, lookahead.Run{Room: t.room(), End: p.expectedEnd(t)})
	}
	return f
}

// expectedEnd returns when the newest run of t, which is active, is expected to end.
func (p *Pool) expectedEnd(t *task) time.Duration {
	now := p.now.Steady
	switch {
	case t.stopSentAt > 0:
		return max(now, t.stopSentAt+p.settings.StopGrace)
	case t.spec().LongRunning:
		return lookahead.Never
	}
	start := t.since
	if t.phase != running {
		start += p.startTime
	}
	if end := start + p.expectedRunTime(t.occ.job.spec.Queue, t.spec()); end > now {
		return end
	}
	return now + max(minRunTime, time.Duration(overdueFraction*float64(now-start)))
}

// assumedEnd returns the time by which a run of t that is placed now is assumed to have ended,
// with a margin for the errors that the estimates of its queue have had.
func (p *Pool) assumedEnd(t *task) time.Duration {
	if t.spec().LongRunning {
		return lookahead.Never
	}
	queue := t.occ.job.spec.Queue
	return p.now.Steady + p.startTime + time.Duration(p.estimateMargin(queue)*float64(p.expectedRunTime(queue, t.spec())))
}

// estimateMargin returns the factor that is put on the run times of a queue's tasks where an
// end that comes late would delay others.
func (p *Pool) estimateMargin(queue string) float64 {
	m := p.runTimes[queue]
	if m == nil {
		m = newRunTimeModel(0)
		return max(minEstimateMargin, math.Exp(math.Sqrt(m.varY)))
	}
	return max(minEstimateMargin, math.Exp(m.deviation()))
}
