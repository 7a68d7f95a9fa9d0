package pool

import (
	"sort"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/sched/catalog"
)

// Parameters of the requests to the advisor of a queue, which decides on which VMs
// a step may run.
const (
	// maxVMsPerRequest limits the VMs of one request, which takes longer for each VM.
	maxVMsPerRequest = 30
	// vmsPerTask is the number of VMs in a request for each waiting task.
	vmsPerTask = 2
	// minVMsPerRequest is the minimum number of VMs in a request, since the advisor
	// forbids some of them.
	minVMsPerRequest = 4
	adviceRetryDelay = 300 * time.Millisecond // pause after a request that failed
	// minTicketUse is how long the tickets of a request should remain valid after its
	// answer even if the advisor counts their validity from the request.
	minTicketUse = 500 * time.Millisecond
)

// ticket permits starts of one step on one incarnation of a VM.
type ticket struct {
	value     string
	startedMS int64 // of the incarnation, Unix milliseconds; 0 if unknown
	until     time.Duration
}

// adviceState holds the advisor's answers for one step of an occurrence.
type adviceState struct {
	requestPending bool
	asked          map[string]int64 // by VM of the last request: its incarnation then
	retryAt        time.Duration    // no request before this time
	tickets        map[string]ticket
	forbidden      map[string]int64 // by VM that may not run the step: its incarnation
}

// Ticket is an advisor's permission to run a step on a VM.
type Ticket struct {
	VM    string
	Value string // passed on to the VM with a start
}

// adviceOf returns the advice for t's step, or nil if its queue has no advisor.
func (p *Pool) adviceOf(t *task) *adviceState {
	q := p.queueOf(t.occ.job)
	if q == nil || q.Advice == nil {
		return nil
	}
	if t.occ.advice == nil {
		t.occ.advice = make([]*adviceState, len(t.occ.tasks))
	}
	if t.occ.advice[t.step] == nil {
		t.occ.advice[t.step] = &adviceState{tickets: map[string]ticket{}, forbidden: map[string]int64{}}
	}
	return t.occ.advice[t.step]
}

// ticketFor returns the ticket for a start on v and whether the start may be sent.
// A nil adviceState stands for a step that needs no ticket.
func (a *adviceState) ticketFor(v *vm, now time.Duration) (string, bool) {
	if a == nil {
		return "", true
	}
	found, ok := a.tickets[v.ID]
	return found.value, ok && found.startedMS == v.StartedMS && found.until-now > catalog.TicketMargin
}

// forbids reports whether the advisor has answered that the step may not run on v. A nil
// adviceState stands for a step that needs no ticket.
func (a *adviceState) forbids(v *vm) bool {
	if a == nil {
		return false
	}
	incarnation, known := a.forbidden[v.ID]
	return known && incarnation == v.StartedMS
}

// requestAdvice asks the advisor about VMs that could run t's step now. waiting is
// the number of its tasks that have found no VM.
func (p *Pool) requestAdvice(t *task, waiting int) {
	a := p.adviceOf(t)
	if a == nil || a.requestPending || p.now.Steady < a.retryAt {
		return
	}
	advice := p.queueOf(t.occ.job).Advice
	wanted := min(maxVMsPerRequest, max(minVMsPerRequest, vmsPerTask*waiting))
	if !t.spec().Gang { // which needs the tickets of all its VMs at once
		wanted = min(wanted, usefulRequest(advice))
	}
	ids := p.adviceCandidates(t, a, wanted)
	if len(ids) == 0 {
		return
	}
	a.requestPending = true
	a.asked = make(map[string]int64, len(ids))
	for _, id := range ids {
		a.asked[id] = p.vms[id].StartedMS
	}
	step := stepName(t)
	p.log.Info("advice_asked", zap.String("step", step), zap.Int("vms", len(ids)), zap.Int("tasks", waiting))
	p.addCommand(Command{Kind: Advise, Task: step, VMs: ids, Timeout: adviceTimeout(advice, len(ids))})
}

// usefulRequest returns the largest number of VMs in a request whose tickets remain valid for
// minTicketUse after the answer, at least 1.
func usefulRequest(a *catalog.Advice) int {
	if a.TimePerVM <= 0 {
		return maxVMsPerRequest
	}
	return max(1, int((a.Validity-catalog.TicketMargin-minTicketUse-a.CallTime)/a.TimePerVM))
}

// adviceTimeout returns the timeout of a request: twice its duration, since
// earlier requests may be served first, and one second for the network.
func adviceTimeout(a *catalog.Advice, vms int) time.Duration {
	return 2*a.CallDuration(vms) + time.Second
}

// adviceCandidates returns the ids of at most maxVMs VMs, the best first, that
// could run t, lack a ticket and are not known to be forbidden.
func (p *Pool) adviceCandidates(t *task, a *adviceState, maxVMs int) []string {
	var list []*vm
	for _, v := range p.vms {
		if a.forbids(v) || !p.usable(v) || !t.fits(v) || !p.allowed(t, v) {
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
	ids := make([]string, 0, min(maxVMs, len(list)))
	for _, v := range list[:min(maxVMs, len(list))] {
		ids = append(ids, v.ID)
	}
	return ids
}

// stepName returns the name of t's step: the task name without the index.
func stepName(t *task) string {
	name := TaskName(t.occ.job.spec.ID, t.occ.number, t.step, 0)
	return name[:len(name)-len(".0")]
}

// Advised handles an advisor's answer to a command that was sent at sentAt, on the steady
// clock. The tickets are valid for validity from the earliest time at which it can have
// answered. ok is false if there was no answer.
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
	a.requestPending = false
	if !ok {
		a.retryAt = p.now.Steady + adviceRetryDelay
		return
	}
	issuedAt := sentAt
	if q := p.queueOf(p.jobs[id]); q != nil && q.Advice != nil {
		issuedAt = min(p.now.Steady, sentAt+q.Advice.CallDuration(len(c.VMs)))
	}
	// A VM may have restarted under its id since the request was sent. The answer may be about
	// either incarnation, and is taken for one about the earlier.
	for _, vmID := range c.VMs {
		a.forbidden[vmID] = a.asked[vmID]
	}
	for _, got := range tickets {
		delete(a.forbidden, got.VM)
		a.tickets[got.VM] = ticket{got.Value, a.asked[got.VM], issuedAt + validity}
	}
	p.log.Info("advice", zap.String("step", c.Task), zap.Int("asked", len(c.VMs)), zap.Int("permitted", len(tickets)), zap.Duration("validity", validity))
}

// dropTicket drops the ticket for v, which has refused it.
func (p *Pool) dropTicket(t *task, v *vm) {
	if a := p.adviceOf(t); a != nil {
		delete(a.tickets, v.ID)
	}
}
