package pool

import (
	"time"

	"go.uber.org/zap"
)

// Parameters of the throttles of best-effort tasks. Their throttle is lowered as
// soon as a latency-sensitive task on the same VM misses its goal, and raised in
// steps while the latency is well below the goal.
const (
	throttleCutFactor   = 0.3  // factor at each listing over the goal
	throttleRisePercent = 20   // percentage points for each listing well below the goal
	throttleRiseBelow   = 0.75 // fraction of the goal below which the throttle is raised
	minThrottlePercent  = 10   // a cut at or below this goes to 0; also assumed for unknownThrottle
	fullPercent         = 100
	// unknownThrottle stands for a throttle that an earlier owner may have set or
	// whose command was not confirmed.
	unknownThrottle = -1
)

// adjustThrottles sets the throttles of a VM's best-effort tasks by the latencies
// of its latency-sensitive tasks.
func (p *Pool) adjustThrottles(v *vm) {
	if v.latencySensitive == 0 || v.bestEffortMilliCPU == 0 {
		p.liftThrottles(v)
		return
	}
	worstRatio := 0.0
	for t := range v.tasks {
		goal := t.spec().LatencyGoal
		if goal <= 0 || t.phase != running || t.load <= 0 {
			continue
		}
		worstRatio = max(worstRatio, float64(t.load)/(float64(goal)/float64(time.Millisecond)))
	}
	for _, t := range v.sortedTasks() {
		if !t.spec().BestEffort || t.phase != running || p.now.Steady-t.loadAt > stopRetryInterval {
			continue
		}
		p.setThrottle(t, nextThrottle(t.throttlePercent, worstRatio))
	}
}

// nextThrottle returns the throttle, in percent, that replaces percent. worstRatio
// is the highest latency of a task on the same VM relative to its goal, or 0 if
// none is known.
func nextThrottle(percent int, worstRatio float64) int {
	if percent == unknownThrottle {
		percent = minThrottlePercent
	}
	switch {
	case worstRatio >= 1 && percent <= minThrottlePercent:
		return 0
	case worstRatio >= 1:
		return int(float64(percent) * throttleCutFactor)
	case worstRatio > 0 && worstRatio < throttleRiseBelow:
		return min(fullPercent, percent+throttleRisePercent)
	}
	return percent
}

// liftThrottles lets the best-effort tasks of a VM run at full speed.
func (p *Pool) liftThrottles(v *vm) {
	if v.bestEffortMilliCPU == 0 {
		return
	}
	for t := range v.tasks {
		if t.spec().BestEffort && t.phase == running {
			p.setThrottle(t, fullPercent)
		}
	}
}

// setThrottle issues a throttle command for t unless the throttle certainly stays the same
// or the job is final.
func (p *Pool) setThrottle(t *task, percent int) {
	if percent == t.throttlePercent && !t.throttleUncertain(p.now.Steady) || t.occ.job.state.Final() {
		return
	}
	p.log.Info("throttle_set", zap.String("task", t.name), zap.String("vm", t.vm.ID), zap.Int("from", t.throttlePercent), zap.Int("to", percent))
	t.throttlePercent, t.throttleSentAt = percent, p.now.Steady
	p.addCommand(Command{Kind: Throttle, VM: t.vm.ID, Address: t.vm.Address, Task: t.name, Run: t.run, ThrottlePercent: percent})
}

// throttleUncertain reports whether an earlier throttle without an answer may have replaced
// the last one.
func (t *task) throttleUncertain(now time.Duration) bool {
	return t.throttleSentAt < t.throttleLateUntil && now-t.throttleSentAt > stopRetryInterval
}
