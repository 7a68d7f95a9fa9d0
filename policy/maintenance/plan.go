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
	lateShare   = 0.85 // any VM whose work keeps its deadline; the pace aims at this age
	lastShare   = 0.95 // the reserve for the loss of a rack is given up
)

const (
	defaultDuration = 20 * time.Minute
	defaultStarts   = 16
	// paceFactor leaves room for VMs that cannot be taken at once: the planner
	// works on twice as many VMs as the mean that the period requires.
	paceFactor = 2
	// minTimeLeft bounds the pace of VMs that are already late.
	minTimeLeft = time.Hour
	// giveUpFactor times the drain timeout is how long a drain may take before
	// the VM is returned and tried again later.
	giveUpFactor = 3
	// retryAfter is how long a VM is left alone after a drain that was given up.
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
	InProgress int
	Failed     int
	Remaining  int            // due and not started
	Overdue    int            // older than the period
	Allowed    int            // VMs that may be in progress at a time by the pace
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
	used    usage
	shares  map[fleet.PoolName]share
	working int // VMs that maintenance has taken
	report  Report
}

// usage counts unavailable VMs.
type usage struct {
	pool map[fleet.PoolName]int
	rack map[rackKey]int
	dc   map[fleet.DataCentreName]int
}

type rackKey struct {
	dc   fleet.DataCentreName
	rack fleet.RackName
}

// share is the largest part of a pool that one failure domain takes with it.
type share struct{ rack, dc int }

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
	p := &planner{s: defaults(s), now: now}
	p.used = usage{map[fleet.PoolName]int{}, map[rackKey]int{}, map[fleet.DataCentreName]int{}}
	p.report.Waiting = map[string]int{}
	for name, pool := range s.Pools {
		p.used.pool[name] = pool.Lost
	}
	for i := range s.VMs {
		p.count(&s.VMs[i])
	}
	p.shares = shares(s.VMs)
	return p
}

func (p *planner) count(v *VM) {
	p.report.Total++
	if v.Drawn {
		p.used.rack[rackKey{v.DataCentre, v.Rack}]++
		p.used.dc[v.DataCentre]++
	}
	if v.Drawn || p.s.DataCentresOut[v.DataCentre] {
		p.used.pool[v.Pool]++
	}
	switch v.Phase {
	case PhaseDraining, PhaseRebooting, PhaseReleasing:
		p.working++
		p.report.InProgress++
	case PhaseFailed:
		p.report.Failed++
	case PhaseNone:
		if p.age(v) < dueShare {
			p.report.Done++
		}
	}
	if p.age(v) > 1 {
		p.report.Overdue++
	}
}

// shares counts the available VMs of each pool by failure domain.
func shares(vms []VM) map[fleet.PoolName]share {
	type domain struct {
		pool fleet.PoolName
		dc   fleet.DataCentreName
		rack fleet.RackName // "" for the data centre
	}
	counts := map[domain]int{}
	for i := range vms {
		v := &vms[i]
		if v.Drawn {
			continue
		}
		counts[domain{v.Pool, v.DataCentre, v.Rack}]++
		if v.Rack != "" {
			counts[domain{v.Pool, v.DataCentre, ""}]++
		}
	}
	result := map[fleet.PoolName]share{}
	for d, n := range counts {
		s := result[d.pool]
		if d.rack == "" {
			s.dc = max(s.dc, n)
		} else {
			s.rack = max(s.rack, n)
		}
		result[d.pool] = s
	}
	return result
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
		return fmt.Sprintf("wave stopped: %d reboots failed, %d allowed", p.s.Failures, p.s.Plan.StopAfterFailures)
	case p.s.Plan.Period <= 0:
		return "no maintenance period is configured"
	}
	return ""
}

func (p *planner) tooManyFailures() bool {
	return p.s.Failures > p.s.Plan.StopAfterFailures
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
		out = append(out, Decision{Action: ActionStopWave, Reason: hold})
	}
	for i := range p.s.VMs {
		v := &p.s.VMs[i]
		switch v.Phase {
		case PhaseDraining:
			out = append(out, p.draining(v, hold)...)
		case PhaseRebooting, PhaseFailed:
			out = append(out, p.rebooting(v)...)
		case PhaseReleasing:
			out = append(out, Decision{Action: ActionReturn, VM: v.ID, Reason: "released"})
		case PhaseHeld:
			if !v.Live && !v.Failed {
				out = append(out, Decision{Action: ActionFail, VM: v.ID, Reason: "lost while held by an operator"})
			}
		}
	}
	return out
}

func (p *planner) draining(v *VM, hold string) []Decision {
	waited := p.now.Sub(v.Since)
	switch {
	case !v.Live:
		return []Decision{{Action: ActionFail, VM: v.ID, Reason: "lost while draining"}}
	case hold != "":
		return []Decision{{Action: ActionReturn, VM: v.ID, Reason: hold}}
	case p.avoided(v.DataCentre):
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
// one. Tasks that would not are left to end by themselves.
func (p *planner) checkpoints(v *VM) []Decision {
	var out []Decision
	for _, t := range v.Tasks {
		if t.CanCheckpoint && !t.CheckpointAsked && keepsDeadline(t, p.now) {
			out = append(out, Decision{Action: ActionCheckpoint, VM: v.ID, Task: t.ID, Reason: "still running after the drain timeout"})
		}
	}
	return out
}

func (p *planner) rebooting(v *VM) []Decision {
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
	allowed := p.pace()
	p.report.Allowed = allowed
	var out []Decision
	for len(due) > 0 {
		if len(out) == p.s.MaxStarts || p.working >= allowed {
			p.wait(len(due), "pace: enough VMs are in progress")
			break
		}
		i := p.best(due)
		if i < 0 {
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

// due returns the VMs that may be maintained by their age, oldest first.
func (p *planner) due() []*VM {
	var due []*VM
	for i := range p.s.VMs {
		v := &p.s.VMs[i]
		if v.Phase == PhaseNone && p.age(v) >= dueShare && !v.Drawn {
			due = append(due, v)
		}
	}
	sort.Slice(due, func(i, j int) bool {
		if !due[i].Last.Equal(due[j].Last) {
			return due[i].Last.Before(due[j].Last)
		}
		return due[i].ID < due[j].ID
	})
	return due
}

// pace returns how many VMs are to be in progress so that every VM is done at
// lateShare of the period: for each k, the k oldest need k durations until the
// k-th is due.
func (p *planner) pace() int {
	lasts := make([]time.Time, 0, len(p.s.VMs))
	for i := range p.s.VMs {
		if v := &p.s.VMs[i]; v.Phase == PhaseNone && !v.Drawn {
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
	return max(1, int(math.Ceil(paceFactor*need)))
}

// best returns the index of the VM to take next, -1 if none may be taken.
func (p *planner) best(due []*VM) int {
	best, reasons := -1, map[string]int{}
	for i, v := range due {
		if reason := p.refuse(v); reason != "" {
			reasons[reason]++
			continue
		}
		if best < 0 || p.before(v, due[best]) {
			best = i
		}
	}
	if best < 0 {
		for reason, n := range reasons {
			p.wait(n, reason)
		}
	}
	return best
}

// before orders by age in steps of ageBucket, then idle VMs first, then by how
// few VMs of the rack and of the data centre are unavailable.
func (p *planner) before(a, b *VM) bool {
	ka, kb := p.rank(a), p.rank(b)
	for i := range ka {
		if ka[i] != kb[i] {
			return ka[i] < kb[i]
		}
	}
	if !a.Last.Equal(b.Last) {
		return a.Last.Before(b.Last)
	}
	return a.ID < b.ID
}

func (p *planner) rank(v *VM) [4]int {
	return [4]int{
		-int(p.now.Sub(v.Last) / ageBucket),
		len(v.Tasks),
		p.used.rack[rackKey{v.DataCentre, v.Rack}],
		p.used.dc[v.DataCentre],
	}
}

func (p *planner) take(v *VM) {
	p.working++
	p.report.InProgress++
	p.used.rack[rackKey{v.DataCentre, v.Rack}]++
	p.used.dc[v.DataCentre]++
	if !p.s.DataCentresOut[v.DataCentre] {
		p.used.pool[v.Pool]++
	}
}

// refuse returns why a due VM may not be taken now, "" if it may.
func (p *planner) refuse(v *VM) string {
	if reason := p.bound(v); reason != "" {
		return reason
	}
	if !v.TasksKnown {
		return "older VMs go first"
	}
	return p.work(v)
}

// bound checks the state of the VM and the budgets.
func (p *planner) bound(v *VM) string {
	plan := p.s.Plan
	switch {
	case !v.Live:
		return "not live"
	case !v.Active:
		return "being moved"
	case p.now.Before(v.NotBefore):
		return "tried a short while ago"
	case p.avoided(v.DataCentre):
		return "another data centre is out"
	case p.used.rack[rackKey{v.DataCentre, v.Rack}] >= plan.MaxPerRack:
		return "rack budget is spent"
	case p.used.dc[v.DataCentre] >= plan.MaxPerDataCentre:
		return "data centre budget is spent"
	case p.poolUsed(v) >= p.poolLimit(v):
		return "pool budget is spent or reserved for the loss of a rack or data centre"
	}
	return ""
}

// poolUsed counts the VMs of the pool that are unavailable without v. A VM of a
// data centre that is out was counted already.
func (p *planner) poolUsed(v *VM) int {
	used := p.used.pool[v.Pool]
	if p.s.DataCentresOut[v.DataCentre] {
		used--
	}
	return used
}

func (p *planner) poolLimit(v *VM) int {
	return reserved(p.s.Pools[v.Pool].MaxUnavailable, p.shares[v.Pool], p.age(v))
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
func (p *planner) work(v *VM) string {
	age, end := p.age(v), p.now.Add(p.s.Plan.DrainTimeout)
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
