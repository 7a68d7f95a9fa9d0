package maintenance

import (
	"fmt"
	"math"
	"sort"
	"time"

	"amaranthfork.example/fleet"
)

// Shares of the period at which a VM's maintenance becomes more urgent.
const (
	dueShare    = 0.60 // idle VMs may be taken
	normalShare = 0.70 // VMs whose work ends within the drain timeout may be taken
	lateShare   = 0.85 // any VM whose work keeps its deadline; the rate aims at this age
	lastShare   = 0.95 // the reserve for the loss of a rack is given up
)

const (
	defaultDuration = 20 * time.Minute
	defaultStarts   = 16
	// rateFactor leaves room for VMs that cannot be taken at once: the planner
	// works on twice as many VMs as the mean that the period requires.
	rateFactor = 2
	// minTimeLeft bounds the rate for VMs that are already late.
	minTimeLeft = time.Hour
	// giveUpFactor times the drain timeout is how long a drain may take before
	// the VM is returned and tried again later.
	giveUpFactor = 3
	// retryAfter is how long a VM is left alone after a drain that was given up
	// or ended by an operator.
	retryAfter = 2 * time.Hour
	// checkpointCost is the time a task loses by a checkpoint and a restart.
	checkpointCost = 2 * time.Minute
	// ageBucket is the difference in age below which idle VMs go first.
	ageBucket = 6 * time.Hour
)

// Report tells people how far maintenance is and why it waits.
type Report struct {
	Total      int
	Done       int // younger than the age at which a VM is due
	InProgress int // before the starts of this plan
	Starting   int // starts of this plan
	Failed     int
	Remaining  int            // due and not started
	Overdue    int            // older than the period
	Allowed    int            // VMs that may be in progress at a time by the rate
	Waiting    map[string]int // reasons of the due VMs that were not started
	Hold       string         // why nothing starts at all, "" when it may
}

// Plan returns the decisions for the snapshot at the time now, and the report
// that explains them.
func Plan(s Snapshot, now time.Time) ([]Decision, Report) {
	p := newPlanner(s, now)
	hold := p.hold()
	decisions := p.progress(hold)
	if hold == "" {
		decisions = append(decisions, p.starts()...)
	}
	p.report.Hold = hold
	return decisions, p.report
}

// Candidates returns up to n VMs whose running tasks the planner needs to know,
// those due longest first.
func Candidates(s Snapshot, now time.Time, n int) []fleet.VMID {
	p := newPlanner(s, now)
	due := p.due()
	var ids []fleet.VMID
	for _, v := range due {
		if len(ids) == n {
			break
		}
		if p.bound(v) == "" {
			ids = append(ids, v.ID)
		}
	}
	return ids
}

type planner struct {
	s       Snapshot
	now     time.Time
	items   []item
	pools   []poolUse
	racks   []int // unavailable VMs
	dcs     []dcUse
	outside map[[2]int]int // VMs without a record in data centres that are out, by pool and data centre
	working int            // VMs that maintenance has taken
	report  Report
}

// item is a VM with the indices of its domains.
type item struct {
	*VM
	pool, rack, dc int
	age            float64 // time since the last maintenance as a share of the period
	bucket         int     // age in steps of ageBucket
}

type poolUse struct {
	Pool
	used int // unavailable VMs
	share
}

type dcUse struct {
	used    int  // unavailable VMs
	out     bool // taken out by operators
	avoided bool // waits for another data centre that is out
}

// share is the largest part of a pool's available VMs that one failure domain
// takes with it.
type share struct{ rack, dc int }

type rackKey struct {
	dc   int
	rack fleet.RackName
}

func defaults(s Snapshot) Snapshot {
	if s.Duration <= 0 {
		s.Duration = defaultDuration
	}
	if s.MaxStarts <= 0 {
		s.MaxStarts = defaultStarts
	}
	return s
}

func newPlanner(s Snapshot, now time.Time) *planner {
	p := &planner{s: defaults(s), now: now, outside: map[[2]int]int{}}
	p.report.Waiting = map[string]int{}
	p.index()
	p.shares()
	for i := range p.items {
		p.count(&p.items[i])
	}
	return p
}

// index numbers the pools, racks and data centres, so that the search for the
// next VM needs no maps.
func (p *planner) index() {
	pools, racks, dcs := map[fleet.PoolName]int{}, map[rackKey]int{}, map[fleet.DataCentreName]int{}
	p.items = make([]item, len(p.s.VMs))
	for i := range p.s.VMs {
		v := &p.s.VMs[i]
		pool, known := pools[v.Pool]
		if !known {
			pool = len(p.pools)
			pools[v.Pool] = pool
			declared := p.s.Pools[v.Pool]
			p.pools = append(p.pools, poolUse{Pool: declared, used: declared.Lost})
		}
		dc, known := dcs[v.DataCentre]
		if !known {
			dc = len(p.dcs)
			dcs[v.DataCentre] = dc
			p.dcs = append(p.dcs, dcUse{out: p.s.DataCentresOut[v.DataCentre], avoided: p.avoided(v.DataCentre)})
		}
		rack, known := racks[rackKey{dc, v.Rack}]
		if !known {
			rack = len(p.racks)
			racks[rackKey{dc, v.Rack}] = rack
			p.racks = append(p.racks, 0)
		}
		p.items[i] = item{v, pool, rack, dc, p.age(v), int(p.now.Sub(v.Last) / ageBucket)}
	}
}

// shares finds the largest share of each pool by rack and by data centre.
func (p *planner) shares() {
	byRack, byDC := map[[2]int]int{}, map[[2]int]int{}
	for i := range p.items {
		v := &p.items[i]
		if v.Drawn {
			continue
		}
		use := &p.pools[v.pool]
		byRack[[2]int{v.pool, v.rack}]++
		byDC[[2]int{v.pool, v.dc}]++
		use.rack = max(use.rack, byRack[[2]int{v.pool, v.rack}])
		use.dc = max(use.dc, byDC[[2]int{v.pool, v.dc}])
	}
}

func (p *planner) count(v *item) {
	p.report.Total++
	if v.Drawn {
		p.racks[v.rack]++
		p.dcs[v.dc].used++
	}
	switch {
	case v.Drawn:
		p.pools[v.pool].used++
	case p.dcs[v.dc].out:
		p.pools[v.pool].used++
		p.outside[[2]int{v.pool, v.dc}]++
	}
	switch v.Phase {
	case PhaseDraining, PhaseRebooting, PhaseReleasing:
		p.working++
		p.report.InProgress++
	case PhaseFailed:
		p.report.Failed++
	case PhaseNone:
		if v.age < dueShare {
			p.report.Done++
		}
	}
	if v.age > 1 {
		p.report.Overdue++
	}
}

// hold returns why no VM may be taken now, "" if VMs may be taken.
func (p *planner) hold() string {
	switch {
	case p.s.Paused != "":
		return "paused: " + p.s.Paused
	case p.s.Plan.Paused:
		return "paused by the configuration"
	case p.s.Stopped != "":
		return "wave stopped: " + p.s.Stopped
	case p.tooManyFailures():
		return "wave stopped: " + p.failures()
	case p.s.Plan.Period <= 0:
		return "no maintenance period is configured"
	}
	return ""
}

func (p *planner) tooManyFailures() bool {
	return p.s.Failures > p.s.Plan.StopAfterFailures
}

func (p *planner) failures() string {
	return fmt.Sprintf("%d reboots failed, %d allowed", p.s.Failures, p.s.Plan.StopAfterFailures)
}

// avoided reports whether VMs of a data centre wait for another data centre
// that operators have taken out.
func (p *planner) avoided(dc fleet.DataCentreName) bool {
	if !p.s.Plan.AvoidDataCentresOut {
		return false
	}
	for out, is := range p.s.DataCentresOut {
		if is && out != dc {
			return true
		}
	}
	return false
}

// age returns the time since the last maintenance as a share of the period.
func (p *planner) age(v *VM) float64 {
	if p.s.Plan.Period <= 0 {
		return 0
	}
	return float64(p.now.Sub(v.Last)) / float64(p.s.Plan.Period)
}

func (p *planner) progress(hold string) []Decision {
	var out []Decision
	if p.tooManyFailures() && p.s.Stopped == "" {
		out = append(out, Decision{Action: ActionStopWave, Reason: p.failures()})
	}
	for i := range p.items {
		v := &p.items[i]
		switch v.Phase {
		case PhaseDraining:
			out = append(out, p.draining(v, hold)...)
		case PhaseRebooting, PhaseFailed:
			out = append(out, p.rebooting(v)...)
		case PhaseReleasing:
			out = append(out, Decision{Action: ActionReturn, VM: v.ID, Reason: "released", RetryAfter: retryAfter})
		case PhaseHeld:
			if !v.Live && !v.Failed {
				out = append(out, Decision{Action: ActionFail, VM: v.ID, Reason: "lost while held by an operator"})
			}
		}
	}
	return out
}

func (p *planner) draining(v *item, hold string) []Decision {
	waited := p.now.Sub(v.Since)
	switch {
	case !v.Live:
		return []Decision{{Action: ActionFail, VM: v.ID, Reason: "lost while draining"}}
	case hold != "":
		return []Decision{{Action: ActionReturn, VM: v.ID, Reason: hold}}
	case p.dcs[v.dc].avoided:
		return []Decision{{Action: ActionReturn, VM: v.ID, Reason: "another data centre is out"}}
	case v.Idle:
		return []Decision{{Action: ActionReboot, VM: v.ID, Reason: "idle"}}
	case waited > giveUpFactor*p.s.Plan.DrainTimeout:
		return []Decision{{Action: ActionReturn, VM: v.ID, Reason: "work did not end and could not be checkpointed", RetryAfter: retryAfter}}
	case waited > p.s.Plan.DrainTimeout:
		return p.checkpoints(v)
	}
	return nil
}

// checkpoints asks for a checkpoint of each task that keeps its deadline after
// one, in each plan until the task is gone. Tasks that would not are left to end by themselves.
func (p *planner) checkpoints(v *item) []Decision {
	var out []Decision
	for _, t := range v.Tasks {
		if t.CanCheckpoint && keepsDeadline(t, p.now) {
			out = append(out, Decision{Action: ActionCheckpoint, VM: v.ID, Task: t.ID, Reason: "still running after the drain timeout"})
		}
	}
	return out
}

func (p *planner) rebooting(v *item) []Decision {
	accepted := !v.Rebooted.IsZero()
	back := v.Live && v.SeenAt.After(v.Rebooted)
	switch {
	case accepted && back:
		return []Decision{{Action: ActionFinish, VM: v.ID, Reason: "live again after the reboot"}}
	case v.Phase == PhaseFailed && !accepted && v.Live && v.SeenAt.After(v.Since):
		return []Decision{{Action: ActionReturn, VM: v.ID, Reason: "live again"}}
	case v.Phase == PhaseFailed:
		return nil
	case p.now.Sub(v.Since) > p.s.Plan.RebootTimeout:
		return []Decision{{Action: ActionFail, VM: v.ID, Reason: "not back within the reboot timeout"}}
	case !accepted:
		return []Decision{{Action: ActionReboot, VM: v.ID, Reason: "the answer to the reboot was not recorded"}}
	}
	return nil
}

// keepsDeadline reports whether a task that is checkpointed at the time at and
// started again elsewhere still ends before its deadline.
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

func (p *planner) starts() []Decision {
	due := p.due()
	allowed := p.concurrency()
	p.report.Allowed = allowed
	var out []Decision
	for len(due) > 0 {
		if len(out) == p.s.MaxStarts || p.working >= allowed {
			p.wait(len(due), "rate: enough VMs are in progress")
			break
		}
		i := p.best(due)
		if i < 0 {
			p.explain(due)
			break
		}
		v := due[i]
		p.take(v)
		reason := fmt.Sprintf("last maintained %s ago", p.now.Sub(v.Last).Round(time.Minute))
		out = append(out, Decision{Action: ActionDrain, VM: v.ID, Reason: reason})
		due = append(due[:i], due[i+1:]...)
	}
	p.report.Remaining = len(due)
	return out
}

func (p *planner) wait(n int, reason string) { p.report.Waiting[reason] += n }

func (p *planner) explain(due []*item) {
	for _, v := range due {
		p.wait(1, p.refuse(v))
	}
}

// due returns the VMs that may be maintained by their age, oldest first.
func (p *planner) due() []*item {
	var due []*item
	for i := range p.items {
		if v := &p.items[i]; v.Phase == PhaseNone && v.age >= dueShare && !v.Drawn {
			due = append(due, v)
		}
	}
	sort.Slice(due, func(i, j int) bool { return older(due[i], due[j]) })
	return due
}

func older(a, b *item) bool {
	if !a.Last.Equal(b.Last) {
		return a.Last.Before(b.Last)
	}
	return a.ID < b.ID
}

// concurrency returns how many VMs are to be in progress so that every VM is done at
// lateShare of the period: for each k, the k oldest need k durations until the
// k-th is due.
func (p *planner) concurrency() int {
	lasts := make([]time.Time, 0, len(p.items))
	for i := range p.items {
		if v := &p.items[i]; v.Phase == PhaseNone && !v.Drawn {
			lasts = append(lasts, v.Last)
		}
	}
	sort.Slice(lasts, func(i, j int) bool { return lasts[i].Before(lasts[j]) })
	target := time.Duration(lateShare * float64(p.s.Plan.Period))
	need := 0.0
	for k, last := range lasts {
		left := max(last.Add(target).Sub(p.now), minTimeLeft)
		need = max(need, float64(k+1)*float64(p.s.Duration)/float64(left))
	}
	return max(1, int(math.Ceil(rateFactor*need)))
}

// best returns the index of the VM to take next, -1 if none may be taken. The
// VMs are in the order of their age: a VM of a younger bucket is not better.
func (p *planner) best(due []*item) int {
	best := -1
	for i, v := range due {
		if best >= 0 && v.bucket < due[best].bucket {
			break
		}
		if p.refuse(v) == "" && (best < 0 || p.before(v, due[best])) {
			best = i
		}
	}
	return best
}

// before orders VMs of one bucket: idle ones first, then by how few VMs of the
// rack and of the data centre are unavailable, then by age.
func (p *planner) before(a, b *item) bool {
	switch {
	case len(a.Tasks) != len(b.Tasks):
		return len(a.Tasks) < len(b.Tasks)
	case p.racks[a.rack] != p.racks[b.rack]:
		return p.racks[a.rack] < p.racks[b.rack]
	case p.dcs[a.dc].used != p.dcs[b.dc].used:
		return p.dcs[a.dc].used < p.dcs[b.dc].used
	}
	return older(a, b)
}

func (p *planner) take(v *item) {
	p.working++
	p.report.Starting++
	p.racks[v.rack]++
	p.dcs[v.dc].used++
	if p.dcs[v.dc].out {
		p.outside[[2]int{v.pool, v.dc}]--
	} else {
		p.pools[v.pool].used++
	}
}

// refuse returns why a due VM may not be taken now, "" if it may.
func (p *planner) refuse(v *item) string {
	if reason := p.bound(v); reason != "" {
		return reason
	}
	if !v.TasksKnown {
		return "older VMs go first"
	}
	return p.work(v)
}

// bound checks the state of the VM and the budgets.
func (p *planner) bound(v *item) string {
	plan := p.s.Plan
	switch {
	case !v.Live:
		return "not live"
	case !v.Active:
		return "being moved"
	case p.now.Before(v.NotBefore):
		return "tried a short while ago"
	case p.dcs[v.dc].avoided:
		return "another data centre is out"
	case p.racks[v.rack] >= plan.MaxPerRack:
		return "rack budget is spent"
	case p.dcs[v.dc].used >= plan.MaxPerDataCentre:
		return "data centre budget is spent"
	case p.poolUsed(v) >= p.poolLimit(v):
		return "pool budget is spent or reserved for the loss of a rack or data centre"
	}
	return ""
}

// poolUsed counts the unavailable VMs of the pool. For a VM of a data centre
// that is out, the other VMs there count only with a record: they are
// unavailable anyway, and the limit is to hold when the data centre is back.
func (p *planner) poolUsed(v *item) int {
	return p.pools[v.pool].used - p.outside[[2]int{v.pool, v.dc}]
}

func (p *planner) poolLimit(v *item) int {
	use := &p.pools[v.pool]
	return reserved(use.MaxUnavailable, use.share, v.age)
}

// reserved returns how many of limit VMs of a pool may be unavailable so that
// the loss of a data centre, or else of a rack, stays within the limit. Where
// the limit is too small for such a reserve, one VM at a time is taken. The
// reserve shrinks as the age of the VM to be taken nears the period.
func reserved(limit int, s share, age float64) int {
	switch {
	case age >= lastShare:
		return limit
	case age < lateShare && limit > s.dc:
		return limit - s.dc
	case limit > s.rack:
		return limit - s.rack
	}
	return min(limit, 1)
}

// work checks the running tasks of a VM.
func (p *planner) work(v *item) string {
	age, end := v.age, p.now.Add(p.s.Plan.DrainTimeout)
	for _, t := range v.Tasks {
		endsInTime := !t.End.After(end)
		switch {
		case age < normalShare:
			return "not idle"
		case endsInTime:
		case age < lateShare:
			return "running work outlasts the drain"
		case !t.CanCheckpoint:
			return "running work cannot be checkpointed"
		case !keepsDeadline(t, end):
			return "running work would miss its deadline"
		}
	}
	return ""
}
