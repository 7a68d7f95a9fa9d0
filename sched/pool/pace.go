package pool

import (
	"time"

	"go.uber.org/zap"
)

// Pace control of tasks that fill. Fillers are cut as soon as a serving task
// beside them is over its goal, and given back in steps while it is well below.
const (
	paceCut   = 0.3  // factor at the first listing over the goal
	paceRise  = 20   // points for each listing below the goal
	calmShare = 0.75 // of the goal, below which fillers get more
	minPace   = 10   // below it fillers are stopped altogether
	fullPace  = 100
	// unknownPace stands for a pace that an earlier owner may have ordered, or
	// whose order was not confirmed.
	unknownPace = -1
)

// observeLoads adjusts the fillers of a VM to the serving tasks beside them.
func (p *Pool) observeLoads(v *vm) {
	if v.serving == 0 || v.fillCPU == 0 {
		p.releaseFillers(v)
		return
	}
	worst := 0.0
	for t := range v.tasks {
		goal := t.spec().LatencyGoal
		if goal <= 0 || t.phase != running || t.load <= 0 {
			continue
		}
		worst = max(worst, float64(t.load)/(float64(goal)/float64(time.Millisecond)))
	}
	for _, t := range v.sortedTasks() {
		if !t.spec().Fills || t.phase != running || p.now.Steady-t.loadAt > stopRepeat {
			continue
		}
		p.setPace(t, nextPace(t.pace, worst))
	}
}

// nextPace returns the pace of a filler, given the worst serving task beside it
// as a share of its goal.
func nextPace(pace int, worst float64) int {
	if pace == unknownPace {
		pace = minPace
	}
	switch {
	case worst >= 1 && pace <= minPace:
		return 0
	case worst >= 1:
		return int(float64(pace) * paceCut)
	case worst > 0 && worst < calmShare:
		return min(fullPace, pace+paceRise)
	}
	return pace
}

func (p *Pool) releaseFillers(v *vm) {
	if v.fillCPU == 0 {
		return
	}
	for t := range v.tasks {
		if t.spec().Fills && t.phase == running && t.pace < fullPace {
			p.setPace(t, fullPace)
		}
	}
}

func (p *Pool) setPace(t *task, pace int) {
	if pace == t.pace || t.occ.job.state.Final() {
		return
	}
	p.log.Info("pace", zap.String("task", t.name), zap.String("vm", t.vm.ID), zap.Int("from", t.pace), zap.Int("to", pace))
	t.pace = pace
	p.command(Command{Kind: Pace, VM: t.vm.ID, Address: t.vm.Address, Task: t.name, Run: t.run, Percent: pace})
}
