package maintenance

import (
	"fmt"
	"math"
	"sort"
	"time"

	"amaranthfork.example/fleet"
)

// Times since the last maintenance, as fractions of the period, from which the
// maintenance of more VMs may start.
const (
	dueAge       = 0.60 // idle VMs may start
	shortWorkAge = 0.70 // also VMs whose work ends within the drain timeout
	lateAge      = 0.85 // also VMs whose work keeps its deadline after a checkpoint; the rate aims at this age
	noReserveAge = 0.95 // the reserve for the loss of a rack no longer applies
)

const (
	defaultDuration  = 20 * time.Minute
	defaultMaxStarts = 16
	// rateFactor is the number of VMs that may be in progress, relative to what the
	// period requires on average, because some VMs cannot start when they are due.
	rateFactor = 2
	// minTimeLeft is the least time assumed to be left for a VM, so that VMs that
	// are already late do not raise the rate without limit.
	minTimeLeft = time.Hour
	// giveUpFactor times the drain timeout is how long a drain may take before it
	// is given up and the VM returns to service.
	giveUpFactor = 3
	// retryAfter is the least time before the next drain of a VM whose drain was
	// given up or ended by an operator.
	retryAfter = 2 * time.Hour
	// checkpointCost is the time that a task loses by a checkpoint and a restart.
	checkpointCost = 2 * time.Minute
	// ageBucket is the range of ages within which idle VMs start before older ones.
	ageBucket = 6 * time.Hour
)

// Report describes the progress of maintenance and why VMs wait, for operators. The
// numbers count VMs.
type Report struct {
	Total             int
	Done              int            // younger than dueAge, so not due
	InProgress        int            // before this plan
	Starting          int            // started by this plan
	Failed            int            // in PhaseFailed
	Remaining         int            // due and not started
	Overdue           int            // last maintained longer ago than the period
	AllowedInProgress int            // may be in progress at a time so that all are done in time
	Waiting           map[string]int // due VMs that were not started, by reason
	Hold              string         // why no VM may start, "" if VMs may start
}

// Plan returns the decisions for the snapshot at the time now and a report on the
// progress.
func Plan(s Snapshot, now time.Time) ([]Decision, Report) {
	p := newPlanner(s, now)
	hold := p.holdReason()
	decisions := p.continueInProgress(hold)
	if hold == "" {
		decisions = append(decisions, p.startDue()...)
	}
	p.report.Hold = hold
	return decisions, p.report
}

// Candidates returns up to n due VMs whose running tasks Plan needs to know, oldest
// first. The caller fills in VM.Tasks and VM.TasksKnown before it calls Plan.
func Candidates(s Snapshot, now time.Time, n int) []fleet.VMID {
	p := newPlanner(s, now)
	due := p.due()
	var ids []fleet.VMID
	for _, v := range due {
		if len(ids) == n {
			break
		}
		if p.blockedReason(v) == "" {
			ids = append(ids, v.ID)
		}
	}
	return ids
}

// planner holds the working state of one plan. Pools, racks and data centres are
// referred to by number.
type planner struct {
	snapshot         Snapshot
	now              time.Time
	vms              []plannedVM
	pools            []poolUse
	rackUnavailable  []int // unavailable VMs by rack
	dcs              []dcUse
	outWithoutRecord map[[2]int]int // VMs in data centres that are out and without a budget record, by pool and data centre
	inProgress       int            // VMs that drain, reboot or are released, with the starts of this plan
	report           Report
}

// plannedVM is a VM with the numbers of its pool, rack and data centre.
type plannedVM struct {
	*VM
	pool, rack, dc int
	age            float64 // time since the last maintenance as a fraction of the period
	bucket         int     // time since the last maintenance in steps of ageBucket
}

// poolUse is a pool with the number of its unavailable VMs.
type poolUse struct {
	Pool
	unavailable int
	largestDomains
}

// dcUse is the state of a data centre during a plan.
type dcUse struct {
	unavailable     int  // unavailable VMs
	out             bool // taken out by operators
	blockedByOutage bool // its VMs are not maintained while another data centre is out
}

// largestDomains is the largest number of available VMs of a pool that the loss of
// one rack or one data centre takes away.
type largestDomains struct{ rack, dc int }

type rackKey struct {
	dc   int
	rack fleet.RackName
}

func withDefaults(s Snapshot) Snapshot {
	if s.Duration <= 0 {
		s.Duration = defaultDuration
	}
	if s.MaxStarts <= 0 {
		s.MaxStarts = defaultMaxStarts
	}
	return s
}

func newPlanner(s Snapshot, now time.Time) *planner {
	p := &planner{snapshot: withDefaults(s), now: now, outWithoutRecord: map[[2]int]int{}}
	p.report.Waiting = map[string]int{}
	p.indexDomains()
	p.findLargestDomains()
	for i := range p.vms {
		p.countVM(&p.vms[i])
	}
	return p
}

// indexDomains numbers the pools, racks and data centres, so that the search for
// the next VM needs no maps.
func (p *planner) indexDomains() {
	pools, racks, dcs := map[fleet.PoolName]int{}, map[rackKey]int{}, map[fleet.DataCentreName]int{}
	p.vms = make([]plannedVM, len(p.snapshot.VMs))
	for i := range p.snapshot.VMs {
		v := &p.snapshot.VMs[i]
		pool, known := pools[v.Pool]
		if !known {
			pool = len(p.pools)
			pools[v.Pool] = pool
			declared := p.snapshot.Pools[v.Pool]
			p.pools = append(p.pools, poolUse{Pool: declared, unavailable: declared.LostRecords})
		}
		dc, known := dcs[v.DataCentre]
		if !known {
			dc = len(p.dcs)
			dcs[v.DataCentre] = dc
			p.dcs = append(p.dcs, dcUse{out: p.snapshot.DataCentresOut[v.DataCentre], blockedByOutage: p.blockedByOutage(v.DataCentre)})
		}
		rack, known := racks[rackKey{dc, v.Rack}]
		if !known {
			rack = len(p.rackUnavailable)
			racks[rackKey{dc, v.Rack}] = rack
			p.rackUnavailable = append(p.rackUnavailable, 0)
		}
		p.vms[i] = plannedVM{v, pool, rack, dc, p.age(v), int(p.now.Sub(v.LastMaintained) / ageBucket)}
	}
}

// findLargestDomains sets the largest rack and data centre of each pool.
func (p *planner) findLargestDomains() {
	byRack, byDC := map[[2]int]int{}, map[[2]int]int{}
	for i := range p.vms {
		v := &p.vms[i]
		if v.HasBudgetRecord {
			continue
		}
		use := &p.pools[v.pool]
		byRack[[2]int{v.pool, v.rack}]++
		byDC[[2]int{v.pool, v.dc}]++
		use.rack = max(use.rack, byRack[[2]int{v.pool, v.rack}])
		use.dc = max(use.dc, byDC[[2]int{v.pool, v.dc}])
	}
}

// countVM counts a VM for the report and for the budgets of its domains.
func (p *planner) countVM(v *plannedVM) {
	p.report.Total++
	if v.HasBudgetRecord {
		p.rackUnavailable[v.rack]++
		p.dcs[v.dc].unavailable++
	}
	switch {
	case v.HasBudgetRecord:
		p.pools[v.pool].unavailable++
	case p.dcs[v.dc].out:
		p.pools[v.pool].unavailable++
		p.outWithoutRecord[[2]int{v.pool, v.dc}]++
	}
	switch v.Phase {
	case PhaseDraining, PhaseRebooting, PhaseReleasing:
		p.inProgress++
		p.report.InProgress++
	case PhaseFailed:
		p.report.Failed++
	case PhaseNone:
		if v.age < dueAge {
			p.report.Done++
		}
	}
	if v.age > 1 {
		p.report.Overdue++
	}
}

// holdReason returns why no VM may start now, "" if VMs may start.
func (p *planner) holdReason() string {
	switch {
	case p.snapshot.Paused != "":
		return "paused: " + p.snapshot.Paused
	case p.snapshot.Plan.Paused:
		return "paused by the configuration"
	case p.snapshot.Stopped != "":
		return "wave stopped: " + p.snapshot.Stopped
	case p.tooManyFailures():
		return "wave stopped: " + p.failureReason()
	case p.snapshot.Plan.Period <= 0:
		return "no maintenance period is configured"
	}
	return ""
}

func (p *planner) tooManyFailures() bool {
	return p.snapshot.Failures > p.snapshot.Plan.StopAfterFailures
}

func (p *planner) failureReason() string {
	return fmt.Sprintf("%d reboots failed, %d allowed", p.snapshot.Failures, p.snapshot.Plan.StopAfterFailures)
}

// blockedByOutage reports whether the VMs of a data centre must not be maintained
// because operators have taken another data centre out.
func (p *planner) blockedByOutage(dc fleet.DataCentreName) bool {
	if !p.snapshot.Plan.AvoidDataCentresOut {
		return false
	}
	for other, out := range p.snapshot.DataCentresOut {
		if out && other != dc {
			return true
		}
	}
	return false
}

// age returns the time since the last maintenance as a fraction of the period.
func (p *planner) age(v *VM) float64 {
	if p.snapshot.Plan.Period <= 0 {
		return 0
	}
	return float64(p.now.Sub(v.LastMaintained)) / float64(p.snapshot.Plan.Period)
}

// continueInProgress decides on the VMs whose maintenance has begun. It also stops
// the wave after too many failures. hold is the result of holdReason.
func (p *planner) continueInProgress(hold string) []Decision {
	var decisions []Decision
	if p.tooManyFailures() && p.snapshot.Stopped == "" {
		decisions = append(decisions, Decision{Action: ActionStopWave, Reason: p.failureReason()})
	}
	for i := range p.vms {
		v := &p.vms[i]
		switch v.Phase {
		case PhaseDraining:
			decisions = append(decisions, p.decideDraining(v, hold)...)
		case PhaseRebooting, PhaseFailed:
			decisions = append(decisions, p.decideRebooting(v)...)
		case PhaseReleasing:
			decisions = append(decisions, Decision{Action: ActionReturn, VM: v.ID, Reason: "released", RetryAfter: retryAfter})
		case PhaseHeld:
			if !v.Live && !v.RecordedFailed {
				decisions = append(decisions, Decision{Action: ActionFail, VM: v.ID, Reason: "lost while held by an operator"})
			}
		}
	}
	return decisions
}

// decideDraining decides on a VM that is being drained.
func (p *planner) decideDraining(v *plannedVM, hold string) []Decision {
	waited := p.now.Sub(v.PhaseSince)
	switch {
	case !v.Live:
		return []Decision{{Action: ActionFail, VM: v.ID, Reason: "lost while draining"}}
	case hold != "":
		return []Decision{{Action: ActionReturn, VM: v.ID, Reason: hold}}
	case p.dcs[v.dc].blockedByOutage:
		return []Decision{{Action: ActionReturn, VM: v.ID, Reason: "another data centre is out"}}
	case v.Idle:
		return []Decision{{Action: ActionReboot, VM: v.ID, Reason: "idle"}}
	case waited > giveUpFactor*p.snapshot.Plan.DrainTimeout:
		return []Decision{{Action: ActionReturn, VM: v.ID, Reason: "work did not end and could not be checkpointed", RetryAfter: retryAfter}}
	case waited > p.snapshot.Plan.DrainTimeout:
		return p.requestCheckpoints(v)
	}
	return nil
}

// requestCheckpoints asks for a checkpoint of each task that would still keep its
// deadline, and repeats this in each plan until the task has stopped. Other tasks
// run to their end.
func (p *planner) requestCheckpoints(v *plannedVM) []Decision {
	var decisions []Decision
	for _, t := range v.Tasks {
		if t.CanCheckpoint && keepsDeadline(t, p.now) {
			decisions = append(decisions, Decision{Action: ActionCheckpoint, VM: v.ID, Task: t.ID, Reason: "still running after the drain timeout"})
		}
	}
	return decisions
}

// decideRebooting decides on a VM that is rebooting or has failed. A failed VM that
// is live again returns to service, as maintained if its reboot was accepted.
func (p *planner) decideRebooting(v *plannedVM) []Decision {
	accepted := !v.RebootAcceptedAt.IsZero()
	back := v.Live && v.ListedAt.After(v.RebootAcceptedAt)
	switch {
	case accepted && back:
		return []Decision{{Action: ActionFinish, VM: v.ID, Reason: "live again after the reboot"}}
	case v.Phase == PhaseFailed && !accepted && v.Live && v.ListedAt.After(v.PhaseSince):
		return []Decision{{Action: ActionReturn, VM: v.ID, Reason: "live again"}}
	case v.Phase == PhaseFailed:
		return nil
	case p.now.Sub(v.PhaseSince) > p.snapshot.Plan.RebootTimeout:
		return []Decision{{Action: ActionFail, VM: v.ID, Reason: "not back within the reboot timeout"}}
	case !accepted:
		return []Decision{{Action: ActionReboot, VM: v.ID, Reason: "the answer to the reboot was not recorded"}}
	}
	return nil
}

// keepsDeadline reports whether a task that is checkpointed at the given time and
// started again elsewhere would still keep its deadline. A task whose deadline has
// already passed has none to keep.
func keepsDeadline(t Task, at time.Time) bool {
	if t.Deadline.IsZero() || t.Deadline.Before(at) {
		return true
	}
	end := t.End
	if end.Before(at) {
		end = at
	}
	return !end.Add(checkpointCost).After(t.Deadline)
}

// startDue starts the maintenance of due VMs, as many as the rate and the budgets
// allow, and counts why the others wait.
func (p *planner) startDue() []Decision {
	due := p.due()
	allowed := p.allowedInProgress()
	p.report.AllowedInProgress = allowed
	var decisions []Decision
	for len(due) > 0 {
		if len(decisions) == p.snapshot.MaxStarts || p.inProgress >= allowed {
			p.addWaiting(len(due), "rate: enough VMs are in progress")
			break
		}
		i := p.bestStart(due)
		if i < 0 {
			p.countRefusals(due)
			break
		}
		v := due[i]
		p.recordStart(v)
		reason := fmt.Sprintf("last maintained %s ago", p.now.Sub(v.LastMaintained).Round(time.Minute))
		decisions = append(decisions, Decision{Action: ActionDrain, VM: v.ID, Reason: reason})
		due = append(due[:i], due[i+1:]...)
	}
	p.report.Remaining = len(due)
	return decisions
}

func (p *planner) addWaiting(n int, reason string) { p.report.Waiting[reason] += n }

// countRefusals adds the reasons why the due VMs wait to the report.
func (p *planner) countRefusals(due []*plannedVM) {
	for _, v := range due {
		p.addWaiting(1, p.refusalReason(v))
	}
}

// due returns the VMs that are old enough to be maintained, oldest first.
func (p *planner) due() []*plannedVM {
	var due []*plannedVM
	for i := range p.vms {
		if v := &p.vms[i]; v.Phase == PhaseNone && v.age >= dueAge && !v.HasBudgetRecord {
			due = append(due, v)
		}
	}
	sort.Slice(due, func(i, j int) bool { return older(due[i], due[j]) })
	return due
}

// older orders VMs by their last maintenance, then by id.
func older(a, b *plannedVM) bool {
	if !a.LastMaintained.Equal(b.LastMaintained) {
		return a.LastMaintained.Before(b.LastMaintained)
	}
	return a.ID < b.ID
}

// allowedInProgress returns how many VMs may be in progress at a time so that every
// VM is done by lateAge: for each k, the maintenance of the k oldest VMs, one after
// the other, takes k durations and must end before the k-th reaches that age.
func (p *planner) allowedInProgress() int {
	maintained := make([]time.Time, 0, len(p.vms))
	for i := range p.vms {
		if v := &p.vms[i]; v.Phase == PhaseNone && !v.HasBudgetRecord {
			maintained = append(maintained, v.LastMaintained)
		}
	}
	sort.Slice(maintained, func(i, j int) bool { return maintained[i].Before(maintained[j]) })
	target := time.Duration(lateAge * float64(p.snapshot.Plan.Period))
	need := 0.0
	for k, last := range maintained {
		left := max(last.Add(target).Sub(p.now), minTimeLeft)
		need = max(need, float64(k+1)*float64(p.snapshot.Duration)/float64(left))
	}
	return max(1, int(math.Ceil(rateFactor*need)))
}

// bestStart returns the index of the VM to start next, -1 if none may start. due is
// ordered by age, so the search ends at the first VM of a younger bucket.
func (p *planner) bestStart(due []*plannedVM) int {
	best := -1
	for i, v := range due {
		if best >= 0 && v.bucket < due[best].bucket {
			break
		}
		if p.refusalReason(v) == "" && (best < 0 || p.preferred(v, due[best])) {
			best = i
		}
	}
	return best
}

// preferred reports whether a should start before b, which is in the same age
// bucket: the VM with fewer tasks, then the one in the rack and in the data centre
// with fewer unavailable VMs, then the older one.
func (p *planner) preferred(a, b *plannedVM) bool {
	switch {
	case len(a.Tasks) != len(b.Tasks):
		return len(a.Tasks) < len(b.Tasks)
	case p.rackUnavailable[a.rack] != p.rackUnavailable[b.rack]:
		return p.rackUnavailable[a.rack] < p.rackUnavailable[b.rack]
	case p.dcs[a.dc].unavailable != p.dcs[b.dc].unavailable:
		return p.dcs[a.dc].unavailable < p.dcs[b.dc].unavailable
	}
	return older(a, b)
}

// recordStart counts a VM that this plan starts as in progress and unavailable.
func (p *planner) recordStart(v *plannedVM) {
	p.inProgress++
	p.report.Starting++
	p.rackUnavailable[v.rack]++
	p.dcs[v.dc].unavailable++
	if p.dcs[v.dc].out {
		p.outWithoutRecord[[2]int{v.pool, v.dc}]--
	} else {
		p.pools[v.pool].unavailable++
	}
}

// refusalReason returns why a due VM may not start now, "" if it may.
func (p *planner) refusalReason(v *plannedVM) string {
	if reason := p.blockedReason(v); reason != "" {
		return reason
	}
	if !v.TasksKnown {
		return "older VMs go first"
	}
	return p.workRefusal(v)
}

// blockedReason returns why the state of the VM or a budget does not allow its
// start, "" if they do.
func (p *planner) blockedReason(v *plannedVM) string {
	plan := p.snapshot.Plan
	switch {
	case !v.Live:
		return "not live"
	case !v.Active:
		return "being moved"
	case p.now.Before(v.NotBefore):
		return "tried a short while ago"
	case p.dcs[v.dc].blockedByOutage:
		return "another data centre is out"
	case p.rackUnavailable[v.rack] >= plan.MaxPerRack:
		return "rack budget is spent"
	case p.dcs[v.dc].unavailable >= plan.MaxPerDataCentre:
		return "data centre budget is spent"
	case p.poolUsed(v) >= p.poolLimit(v):
		return "pool budget is spent or reserved for the loss of a rack or data centre"
	}
	return ""
}

// poolUsed returns how many VMs of v's pool count as unavailable when v is to
// start. If the data centre of v is out, its other VMs count only if they have a
// budget record: they are unavailable in any case, and the limit has to hold when
// the data centre is back.
func (p *planner) poolUsed(v *plannedVM) int {
	return p.pools[v.pool].unavailable - p.outWithoutRecord[[2]int{v.pool, v.dc}]
}

// poolLimit returns how many VMs of v's pool may be unavailable when v is to start.
func (p *planner) poolLimit(v *plannedVM) int {
	use := &p.pools[v.pool]
	return limitWithReserve(use.MaxUnavailable, use.largestDomains, v.age)
}

// limitWithReserve returns how many VMs of a pool maintenance may make unavailable
// so that the loss of a data centre, or else of a rack, still stays within the
// limit. If the limit is too small for such a reserve, it allows one VM at a time.
// The reserve shrinks with the age of the VM to start, and ends at noReserveAge.
func limitWithReserve(limit int, largest largestDomains, age float64) int {
	switch {
	case age >= noReserveAge:
		return limit
	case age < lateAge && limit > largest.dc:
		return limit - largest.dc
	case limit > largest.rack:
		return limit - largest.rack
	}
	return min(limit, 1)
}

// workRefusal returns why the running tasks of a VM do not allow its start, "" if
// they do.
func (p *planner) workRefusal(v *plannedVM) string {
	age, end := v.age, p.now.Add(p.snapshot.Plan.DrainTimeout)
	for _, t := range v.Tasks {
		endsInTime := !t.End.After(end)
		switch {
		case age < shortWorkAge:
			return "not idle"
		case endsInTime:
		case age < lateAge:
			return "running work outlasts the drain"
		case !t.CanCheckpoint:
			return "running work cannot be checkpointed"
		case !keepsDeadline(t, end):
			return "running work would miss its deadline"
		}
	}
	return ""
}
