package fleetplan_test

import (
	"fmt"
	"math"
	"math/rand"
	"sort"
	"testing"

	"amaranthfork.example/sched/fleetplan"
	"amaranthfork.example/sched/pool"
)

// peakSimulation simulates a fleet under a policy of moves. One pool at a time has a
// demand peak of some seconds with about five times its mean demand; in between its
// demand is a twentieth of the mean. Jobs use the cores of their pool in the order
// of their objectives, those that can still meet theirs first.
type peakSimulation struct {
	fleet
	random             *rand.Rand
	pools              []string
	vms                []*simVM
	jobs               map[string][]*simJob // open jobs, by pool
	backlog            map[string]float64   // remaining core-seconds of open jobs, by pool
	peaks              []peakSpan
	meanJobCoreSeconds float64 // core-seconds of a mean job

	reportedMS int64 // of the last load reports, Unix milliseconds
	moves      int
	vmSeconds  float64 // of VMs that are switched on
	submitted  float64 // core-seconds
	earned     float64 // core-seconds completed, less for late jobs
}

type simVM struct {
	machine  string
	pool     string
	readyMS  int64  // start of its work in the pool, Unix milliseconds
	target   string // pool that it moves to; empty if it does not move
	leavesMS int64  // start of its move, Unix milliseconds; set with target
}

type simJob struct {
	remaining   float64 // core-seconds
	work        float64 // core-seconds
	maxCores    float64 // cores that it can use at a time
	objectiveMS int64   // Unix milliseconds
	startMS     int64   // Unix milliseconds
}

type peakSpan struct {
	pool         string
	fromMS, toMS int64   // Unix milliseconds
	rate         float64 // core-seconds per second
}

// Parameters of the simulation. Times and prices are those of both of the users'
// sites. Prices are in core-seconds: a VM-second costs a fifteenth of what a VM earns
// in a second, a move as much as 1.14 VM-seconds.
const (
	stepMS           = 50
	moveMS           = 1500   // of the machine, once its VM is empty
	joinMS           = 350    // until a moved VM works
	emptyMS          = 500    // until the tasks on a busy VM have ended
	idleOrderMS      = 100    // from a decision to the move of an idle VM
	quietMS          = 10_000 // before the first peak
	simulatedMS      = 50_000
	vmCores          = 16.0
	priceVMSecond    = vmCores / 15
	priceMove        = 1.14 * priceVMSecond
	lateFraction     = 0.07 // fraction of its work that a late job earns
	longRunningCores = 16.0 // of long-running tasks, on one VM of each pool
)

// movePolicy returns the moves to make in the current state of the simulation.
type movePolicy func(w *peakSimulation) []fleetplan.Decision

func newPeakSimulation(seed int64, demand float64) *peakSimulation {
	w := &peakSimulation{random: rand.New(rand.NewSource(seed)), pools: []string{"a", "b", "c", "d"}, jobs: map[string][]*simJob{}, backlog: map[string]float64{}, meanJobCoreSeconds: 25}
	w.fleet = *newFleet(map[string]int{"a": 8, "b": 9, "c": 11, "d": 12}, 8)
	for name, m := range w.Machines {
		w.vms = append(w.vms, &simVM{machine: name, pool: m.Pool})
	}
	sort.Slice(w.vms, func(i, k int) bool { return w.vms[i].machine < w.vms[k].machine })
	order := w.random.Perm(len(w.pools))
	fromMS := w.NowMS + quietMS + int64(w.random.Intn(3000))
	for i := 0; fromMS < w.NowMS+simulatedMS; i++ {
		span := peakSpan{pool: w.pools[order[i%len(order)]], fromMS: fromMS, toMS: fromMS + 4500 + int64(w.random.Intn(4500)), rate: demand * 16 * (16 + 4*w.random.Float64())}
		w.peaks = append(w.peaks, span)
		fromMS = span.toMS + 1500 + int64(w.random.Intn(3500))
	}
	return w
}

// rate returns a pool's demand at a time in Unix milliseconds, in core-seconds per
// second.
func (w *peakSimulation) rate(name string, atMS int64) float64 {
	highest := 0.0
	for _, peak := range w.peaks {
		if peak.pool != name {
			continue
		}
		highest = max(highest, peak.rate)
		if atMS >= peak.fromMS && atMS < peak.toMS {
			return peak.rate
		}
	}
	if atMS < w.peaks[0].fromMS {
		return 0
	}
	return highest / 100 // a twentieth of the mean, which is a fifth of the peak rate
}

// lognormal draws from a log-normal distribution. deviation is its standard deviation
// relative to the mean.
func (w *peakSimulation) lognormal(mean, deviation float64) float64 {
	sigma := math.Sqrt(math.Log(1 + deviation*deviation))
	return mean * math.Exp(sigma*w.random.NormFloat64()-sigma*sigma/2)
}

// acceptJobs adds the jobs that a pool accepts in one step.
func (w *peakSimulation) acceptJobs(name string) {
	expected := w.rate(name, w.NowMS) * stepMS / 1000 / w.meanJobCoreSeconds
	for ; expected > 0; expected-- {
		if expected < 1 && w.random.Float64() > expected {
			return
		}
		work := w.lognormal(w.meanJobCoreSeconds, 0.9)
		chainMS := w.lognormal(1500, 0.5)
		w.jobs[name] = append(w.jobs[name], &simJob{remaining: work, work: work, maxCores: work / chainMS * 1000, startMS: w.NowMS, objectiveMS: w.NowMS + int64(1.6*chainMS) + 600})
		w.accepted[name] += work
		w.submitted += work
	}
}

// runJobs advances the jobs of a pool by one step on the pool's cores.
func (w *peakSimulation) runJobs(name string) {
	cores := -longRunningCores
	for _, v := range w.vms {
		if v.pool == name && v.target == "" && v.readyMS <= w.NowMS {
			cores += vmCores
		}
	}
	jobs := w.jobs[name]
	sort.SliceStable(jobs, func(i, k int) bool {
		a, b := jobs[i].feasible(w.NowMS), jobs[k].feasible(w.NowMS)
		if a != b {
			return a
		}
		return jobs[i].objectiveMS < jobs[k].objectiveMS
	})
	kept := jobs[:0]
	w.backlog[name] = 0
	for _, j := range jobs {
		use := min(max(0, cores), j.maxCores)
		cores -= use
		j.remaining -= use * stepMS / 1000
		if j.remaining > 1e-9 {
			kept = append(kept, j)
			w.backlog[name] += j.remaining
			continue
		}
		if w.NowMS+stepMS <= j.objectiveMS {
			w.earned += j.work
		} else {
			w.earned += lateFraction * j.work
		}
	}
	w.jobs[name] = kept
}

// feasible reports whether the job can still meet its objective.
func (j *simJob) feasible(nowMS int64) bool {
	return nowMS+int64(j.remaining/j.maxCores*1000) <= j.objectiveMS
}

// advance moves VMs by one step, and updates the load reports when they are due.
func (w *peakSimulation) advance() {
	for _, v := range w.vms {
		if v.target != "" && w.NowMS >= v.leavesMS {
			v.pool, v.target, v.readyMS = v.target, "", w.NowMS+moveMS+joinMS
		}
		switch {
		case w.Standby[v.pool]:
		case v.readyMS-joinMS <= w.NowMS:
			w.vmSeconds += stepMS / 1000.0
		}
	}
	if w.NowMS-w.reportedMS >= 300 {
		w.publish()
	}
}

// publish updates the snapshot: load reports, cordons and machines.
func (w *peakSimulation) publish() {
	w.reportedMS = w.NowMS
	w.Cordons = map[string]fleetplan.Cordon{}
	for _, name := range w.pools {
		w.Loads[name] = pool.LoadReport{AtMS: w.NowMS, Epoch: 1, AcceptedCoreSeconds: w.accepted[name], BacklogCoreSeconds: w.backlog[name], MinVMs: 2}
	}
	for _, v := range w.vms {
		m := w.Machines[v.machine]
		moving := v.readyMS > w.NowMS
		m.Pool, m.Up, m.VM = v.pool, v.readyMS-joinMS <= w.NowMS, ""
		if v.target != "" || moving {
			target := v.target
			if target == "" {
				target = v.pool
			}
			w.Cordons[v.machine] = fleetplan.Cordon{Machine: v.machine, VM: m.VM, Pool: v.pool, Purpose: fleetplan.Purpose{Target: target}, Ordered: true}
		}
		if !w.Standby[v.pool] && !moving {
			m.VM = fmt.Sprintf("i-%s-%d", v.machine, v.readyMS)
			l := w.Loads[v.pool]
			used := int64(0)
			if w.backlog[v.pool] > 0 {
				used = vmCPU / 2
			}
			entry := pool.VMLoad{VM: m.VM, Machine: v.machine, CapacityMilliCPU: vmCPU, UsedMilliCPU: used, Tasks: int(used / 1000), Usable: v.target == ""}
			if v.machine == w.longRunningVM(v.pool) {
				entry.LongRunning, entry.UsedMilliCPU = 1, longRunningCores*1000
			}
			l.VMs = append(l.VMs, entry)
			w.Loads[v.pool] = l
		}
		w.Machines[v.machine] = m
	}
}

// longRunningVM returns the machine of a pool that its long-running tasks run on,
// or an empty string if no VM of the pool works.
func (w *peakSimulation) longRunningVM(name string) string {
	for _, v := range w.vms {
		if v.pool == name && v.target == "" && v.readyMS <= w.NowMS {
			return v.machine
		}
	}
	return ""
}

// startMoves starts the moves that were decided.
func (w *peakSimulation) startMoves(decisions []fleetplan.Decision) {
	for _, d := range decisions {
		for _, v := range w.vms {
			if v.machine != d.Machine.Name || v.target != "" || v.readyMS > w.NowMS {
				continue
			}
			v.target, v.leavesMS = d.Purpose.Target, w.NowMS+idleOrderMS
			if w.backlog[v.pool] > 0 {
				v.leavesMS = w.NowMS + emptyMS
			}
			w.moves++
		}
	}
	if len(decisions) > 0 {
		w.publish()
	}
}

// run simulates a policy. It returns the earned work as a fraction of all submitted
// work, before and after the prices of VMs and moves.
func (w *peakSimulation) run(policy movePolicy) (served, net float64) {
	w.publish()
	for end := w.NowMS + simulatedMS; w.NowMS < end; w.NowMS += stepMS {
		for _, name := range w.pools {
			w.acceptJobs(name)
			w.runJobs(name)
		}
		w.advance()
		if w.NowMS == w.reportedMS {
			w.startMoves(policy(w))
		}
	}
	served = w.earned / w.submitted
	return served, served - (priceVMSecond*w.vmSeconds+priceMove*float64(w.moves))/w.submitted
}

func noMoves(*peakSimulation) []fleetplan.Decision { return nil }

func plannedMoves() movePolicy {
	m := fleetplan.NewMovePlanner()
	return func(w *peakSimulation) []fleetplan.Decision { return m.Plan(&w.Snapshot) }
}

// onBacklog sizes pools by their backlog: VMs move from standby and from pools
// without work to pools with a backlog, and idle VMs are switched off.
func onBacklog(w *peakSimulation) []fleetplan.Decision {
	return w.movesToSize(func(name string) float64 { return longRunningCores + w.backlog[name] })
}

// knownDemand sizes pools by the demand two seconds ahead.
func knownDemand(w *peakSimulation) []fleetplan.Decision {
	return w.movesToSize(func(name string) float64 {
		rate := max(w.rate(name, w.NowMS+moveMS+joinMS+idleOrderMS), w.rate(name, w.NowMS))
		return longRunningCores + 1.2*rate + max(0, w.backlog[name]-rate)/2
	})
}

// movesToSize returns the moves that give each pool the cores that coresOf returns.
func (w *peakSimulation) movesToSize(coresOf func(string) float64) []fleetplan.Decision {
	have := map[string]int{}
	var free []*simVM
	byPool := map[string][]*simVM{}
	for _, v := range w.vms {
		target := v.pool
		if v.target != "" {
			target = v.target
		}
		have[target]++
		switch {
		case v.target != "" || v.readyMS > w.NowMS:
		case w.Standby[v.pool]:
			free = append(free, v)
		default:
			byPool[v.pool] = append(byPool[v.pool], v)
		}
	}
	need := map[string]int{}
	for _, name := range w.pools {
		need[name] = max(2, int(math.Ceil(coresOf(name)/vmCores)))
		for i := len(byPool[name]) - 1; i > 0 && have[name] > need[name]; i-- {
			free = append(free, byPool[name][i])
			have[name]--
		}
	}
	var decisions []fleetplan.Decision
	for _, name := range w.pools {
		for ; have[name] < need[name] && len(free) > 0; have[name]++ {
			decisions = append(decisions, fleetplan.Decision{Machine: w.Machines[free[0].machine], Purpose: fleetplan.Purpose{Target: name}})
			free = free[1:]
		}
	}
	for _, v := range free {
		if !w.Standby[v.pool] {
			decisions = append(decisions, fleetplan.Decision{Machine: w.Machines[v.machine], Purpose: fleetplan.Purpose{Target: "spare"}})
		}
	}
	return decisions
}

// Guards against moves that serve demand peaks worse, or at a higher price, than
// simple policies do. In a peak a pool demands about five times its mean. The policy
// that knows the demand sees two seconds ahead, the time of a move.
func TestMovesAgainstBaselines(t *testing.T) {
	policies := []struct {
		name string
		new  func() movePolicy
	}{
		{"no moves", func() movePolicy { return noMoves }},
		{"on backlog", func() movePolicy { return onBacklog }},
		{"known demand", func() movePolicy { return knownDemand }},
		{"planned", plannedMoves},
	}
	const (
		seeds = 24
		// minNetFraction is the minimum net value relative to that under known demand.
		minNetFraction = 0.85
	)
	for _, demand := range []float64{0.8, 1.0, 1.3} {
		netValues := map[string]float64{}
		for _, p := range policies {
			var served, vmSeconds, moves float64
			for seed := range int64(seeds) {
				w := newPeakSimulation(seed, demand)
				servedFraction, netValue := w.run(p.new())
				served += servedFraction / seeds
				netValues[p.name] += netValue / seeds
				vmSeconds, moves = vmSeconds+w.vmSeconds/seeds, moves+float64(w.moves)/seeds
			}
			t.Logf("demand %.1f, %-18s served %.3f net %.3f, %.0f VM-seconds, %.0f moves", demand, p.name, served, netValues[p.name], vmSeconds, moves)
		}
		got := netValues["planned"]
		if got < netValues["no moves"] || got < netValues["on backlog"] || got < minNetFraction*netValues["known demand"] {
			t.Errorf("demand %.1f: net value of planned moves %.3f is too low; by policy %v", demand, got, netValues)
		}
	}
}
