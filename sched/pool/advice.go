package pool

import (
	"sort"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/sched/catalog"
)

// Advice on which VMs may run a step.
const (
	// ticketMargin is the least validity that a ticket must have left for a
	// start: a record and the way to the VM.
	ticketMargin = 150 * time.Millisecond
	// maxAsked bounds the VMs of one call, which takes longer for each of them.
	maxAsked = 30
	// askedPerTask is how many VMs are asked about for each task that waits.
	askedPerTask = 2
	// leastAsked VMs are asked about at least, since some are not allowed.
	leastAsked = 4
	adviceWait = 300 * time.Millisecond // pause after a call that failed
)

type ticket struct {
	value string
	until time.Duration
}

// adviceState is what is known of the VMs that may run one step.
type adviceState struct {
	asking bool
	retry  time.Duration // no call before
	good   map[string]ticket
	bad    map[string]int64 // VMs that may not run the step, with their life
}

// Ticket is a VM that may run a step, in an advisor's answer.
type Ticket struct {
	VM    string
	Value string
}

// adviceOf returns the state of a step whose queue has an advisor, or nil.
func (p *Pool) adviceOf(t *task) *adviceState {
	q := p.catalog.queue(t.occ.job.spec.Queue)
	if q == nil || q.Advice == nil {
		return nil
	}
	if t.occ.advice == nil {
		t.occ.advice = make([]*adviceState, len(t.occ.tasks))
	}
	if t.occ.advice[t.step] == nil {
		t.occ.advice[t.step] = &adviceState{good: map[string]ticket{}, bad: map[string]int64{}}
	}
	return t.occ.advice[t.step]
}

// ticketFor returns a ticket that is still valid for a start on v. It is true
// without a ticket for a step that needs no advice (nil).
func (a *adviceState) ticketFor(v *vm, now time.Duration) (string, bool) {
	if a == nil {
		return "", true
	}
	got, ok := a.good[v.ID]
	return got.value, ok && got.until-now > ticketMargin
}

// ask asks the advisor about VMs that could run a step now, if tasks of it have
// found no VM.
func (p *Pool) ask(t *task, waiting int) {
	a := p.adviceOf(t)
	if a == nil || a.asking || p.now.Steady < a.retry {
		return
	}
	ids := p.askable(t, a, min(maxAsked, max(leastAsked, askedPerTask*waiting)))
	if len(ids) == 0 {
		return
	}
	a.asking = true
	step := stepName(t)
	p.log.Info("advice_asked", zap.String("step", step), zap.Int("vms", len(ids)), zap.Int("tasks", waiting))
	p.command(Command{Kind: Advise, Task: step, VMs: ids, Limit: adviceLimit(p.catalog.queue(t.occ.job.spec.Queue).Advice, len(ids))})
}

// adviceLimit is the time that a call takes, with as much again for the calls
// before it and the way.
func adviceLimit(a *catalog.Advice, vms int) time.Duration {
	return 2*(a.Decision+time.Duration(vms)*a.PerVM) + time.Second
}

// askable returns the best VMs that are not known to be forbidden.
func (p *Pool) askable(t *task, a *adviceState, most int) []string {
	var list []*vm
	for _, v := range p.vms {
		born, forbidden := a.bad[v.ID]
		if forbidden && born == v.Born || !p.usable(v) || !t.fits(v) || !p.allowed(t, v) {
			continue
		}
		if _, ok := a.ticketFor(v, p.now.Steady); ok {
			continue
		}
		list = append(list, v)
	}
	sort.Slice(list, func(i, k int) bool {
		if x, y := p.score(t, list[i]), p.score(t, list[k]); x != y {
			return x > y
		}
		return list[i].ID < list[k].ID
	})
	ids := make([]string, 0, min(most, len(list)))
	for _, v := range list[:min(most, len(list))] {
		ids = append(ids, v.ID)
	}
	return ids
}

func stepName(t *task) string {
	name := TaskName(t.occ.job.spec.ID, t.occ.number, t.step, 0)
	return name[:len(name)-len(".0")]
}

// Advised takes an advisor's answer to a command; ok is false if there was none.
func (p *Pool) Advised(c Command, tickets []Ticket, validity time.Duration, sentAt time.Duration, ok bool) {
	id, number, step, _, valid := parseTaskName(c.Task + ".0")
	if !valid || p.jobs[id] == nil {
		return
	}
	o := p.jobs[id].occurrence(number)
	if o == nil || step >= len(o.advice) || o.advice[step] == nil {
		return
	}
	a := o.advice[step]
	a.asking = false
	if !ok {
		a.retry = p.now.Steady + adviceWait
		return
	}
	for _, vmID := range c.VMs {
		if v := p.vms[vmID]; v != nil {
			a.bad[vmID] = v.Born
		}
	}
	for _, got := range tickets {
		delete(a.bad, got.VM)
		a.good[got.VM] = ticket{got.Value, sentAt + validity}
	}
	p.log.Info("advice", zap.String("step", c.Task), zap.Int("asked", len(c.VMs)), zap.Int("good", len(tickets)), zap.Duration("validity", validity))
}

// dropTicket forgets a ticket that a VM has refused.
func (p *Pool) dropTicket(t *task, v *vm) {
	if a := p.adviceOf(t); a != nil {
		delete(a.good, v.ID)
	}
}
