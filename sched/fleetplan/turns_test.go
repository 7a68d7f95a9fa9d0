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

// turnWorld plays the demand of both sites against a policy of moves: each pool
// in its turn asks for about five times its mean for some seconds, and a
// twentieth in between. Jobs share the processors of their pool, the earliest
// objective first among those that can still be met.
type turnWorld struct {
	fleet
	random *rand.Rand
	pools  []string
	vms    []*turnVM
	jobs   map[string][]*turnJob
	load   map[string]float64 // core-seconds of open jobs
	turns  []turnSpan
	jobCPU float64 // core-seconds of a mean job

	sinceLoad int64
	moves     int
	vmSeconds float64
	owed      float64
	earned    float64
}

type turnVM struct {
	machine string
	pool    string
	ready   int64 // serves its pool from then on
	target  string
	leaves  int64 // begins its move, if target is set
}

type turnJob struct {
	left  float64 // core-seconds
	work  float64
	most  float64 // processors that it can use at a time
	goal  int64
	start int64
}

type turnSpan struct {
	pool     string
	from, to int64
	rate     float64 // core-seconds a second
}

// Times and prices of both sites, in ms and core-seconds: a VM-second costs a
// fifteenth of what a VM earns in a second, a move as much as 1.14 VM-seconds.
const (
	turnStep      = 50
	moveMS        = 1500
	joinMS        = 350
	emptyMS       = 500 // rest of the tasks on a busy VM
	idleOrderMS   = 100
	quietMS       = 10_000 // before the first turn
	dayMS         = 50_000
	vmCores       = 16.0
	priceVMSecond = vmCores / 15
	priceMove     = 1.14 * priceVMSecond
	lateShare     = 0.07
	lastingCores  = 16.0 // tasks that last, on a VM of each pool
)

// movePolicy decides moves.
type movePolicy func(w *turnWorld) []fleetplan.Decision

func newTurnWorld(seed int64, demand float64) *turnWorld {
	w := &turnWorld{random: rand.New(rand.NewSource(seed)), pools: []string{"a", "b", "c", "d"}, jobs: map[string][]*turnJob{}, load: map[string]float64{}, jobCPU: 25}
	w.fleet = *newFleet(map[string]int{"a": 8, "b": 9, "c": 11, "d": 12}, 8)
	for name, m := range w.Machines {
		w.vms = append(w.vms, &turnVM{machine: name, pool: m.Pool})
	}
	sort.Slice(w.vms, func(i, k int) bool { return w.vms[i].machine < w.vms[k].machine })
	order := w.random.Perm(len(w.pools))
	at := w.Now + quietMS + int64(w.random.Intn(3000))
	for i := 0; at < w.Now+dayMS; i++ {
		span := turnSpan{pool: w.pools[order[i%len(order)]], from: at, to: at + 4500 + int64(w.random.Intn(4500)), rate: demand * 16 * (16 + 4*w.random.Float64())}
		w.turns = append(w.turns, span)
		at = span.to + 1500 + int64(w.random.Intn(3500))
	}
	return w
}

func (w *turnWorld) rate(name string, at int64) float64 {
	most := 0.0
	for _, t := range w.turns {
		if t.pool != name {
			continue
		}
		most = max(most, t.rate)
		if at >= t.from && at < t.to {
			return t.rate
		}
	}
	if at < w.turns[0].from {
		return 0
	}
	return most / 100 // a twentieth of the mean, a fifth of the rate in a turn
}

func (w *turnWorld) lognormal(mean, spread float64) float64 {
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return mean * math.Exp(sigma*w.random.NormFloat64()-sigma*sigma/2)
}

func (w *turnWorld) arrivals(name string) {
	expected := w.rate(name, w.Now) * turnStep / 1000 / w.jobCPU
	for ; expected > 0; expected-- {
		if expected < 1 && w.random.Float64() > expected {
			return
		}
		work := w.lognormal(w.jobCPU, 0.9)
		chain := w.lognormal(1500, 0.5)
		w.jobs[name] = append(w.jobs[name], &turnJob{left: work, work: work, most: work / chain * 1000, start: w.Now, goal: w.Now + int64(1.6*chain) + 600})
		w.accepted[name] += work
		w.owed += work
	}
}

// serve lets the pool's processors work for one step.
func (w *turnWorld) serve(name string) {
	cores := -lastingCores
	for _, v := range w.vms {
		if v.pool == name && v.target == "" && v.ready <= w.Now {
			cores += vmCores
		}
	}
	jobs := w.jobs[name]
	sort.SliceStable(jobs, func(i, k int) bool {
		a, b := jobs[i].feasible(w.Now), jobs[k].feasible(w.Now)
		if a != b {
			return a
		}
		return jobs[i].goal < jobs[k].goal
	})
	kept := jobs[:0]
	w.load[name] = 0
	for _, j := range jobs {
		use := min(max(0, cores), j.most)
		cores -= use
		j.left -= use * turnStep / 1000
		if j.left > 1e-9 {
			kept = append(kept, j)
			w.load[name] += j.left
			continue
		}
		if w.Now+turnStep <= j.goal {
			w.earned += j.work
		} else {
			w.earned += lateShare * j.work
		}
	}
	w.jobs[name] = kept
}

func (j *turnJob) feasible(now int64) bool {
	return now+int64(j.left/j.most*1000) <= j.goal
}

// advance moves VMs and publishes what the pools' owners see.
func (w *turnWorld) advance() {
	for _, v := range w.vms {
		if v.target != "" && w.Now >= v.leaves {
			v.pool, v.target, v.ready = v.target, "", w.Now+moveMS+joinMS
		}
		switch {
		case w.Standby[v.pool]:
		case v.ready-joinMS <= w.Now:
			w.vmSeconds += turnStep / 1000.0
		}
	}
	if w.Now-w.sinceLoad >= 300 {
		w.publish()
	}
}

func (w *turnWorld) publish() {
	w.sinceLoad = w.Now
	w.Cordons = map[string]fleetplan.Cordon{}
	for _, name := range w.pools {
		w.Loads[name] = pool.Load{At: w.Now, Epoch: 1, Accepted: w.accepted[name], Backlog: w.load[name], LeastVMs: 2}
	}
	for _, v := range w.vms {
		m := w.Machines[v.machine]
		moving := v.ready > w.Now
		m.Pool, m.Up, m.VM = v.pool, v.ready-joinMS <= w.Now, ""
		if v.target != "" || moving {
			target := v.target
			if target == "" {
				target = v.pool
			}
			w.Cordons[v.machine] = fleetplan.Cordon{Machine: v.machine, VM: m.VM, Pool: v.pool, Purpose: fleetplan.Purpose{Target: target}, Ordered: true}
		}
		if !w.Standby[v.pool] && !moving {
			m.VM = fmt.Sprintf("i-%s-%d", v.machine, v.ready)
			l := w.Loads[v.pool]
			used := int64(0)
			if w.load[v.pool] > 0 {
				used = vmCPU / 2
			}
			entry := pool.VMLoad{VM: m.VM, Machine: v.machine, Capacity: vmCPU, Used: used, Tasks: int(used / 1000), Usable: v.target == ""}
			if v.machine == w.lastingOn(v.pool) {
				entry.Lasting, entry.Used = 1, lastingCores*1000
			}
			l.VMs = append(l.VMs, entry)
			w.Loads[v.pool] = l
		}
		w.Machines[v.machine] = m
	}
}

// lastingOn returns the VM of a pool that its tasks which last are on.
func (w *turnWorld) lastingOn(name string) string {
	for _, v := range w.vms {
		if v.pool == name && v.target == "" && v.ready <= w.Now {
			return v.machine
		}
	}
	return ""
}

func (w *turnWorld) order(decisions []fleetplan.Decision) {
	for _, d := range decisions {
		for _, v := range w.vms {
			if v.machine != d.Machine.Name || v.target != "" || v.ready > w.Now {
				continue
			}
			v.target, v.leaves = d.Purpose.Target, w.Now+idleOrderMS
			if w.load[v.pool] > 0 {
				v.leaves = w.Now + emptyMS
			}
			w.moves++
		}
	}
	if len(decisions) > 0 {
		w.publish()
	}
}

// play returns the worth of the day relative to all that was asked for, before
// and after prices.
func (w *turnWorld) play(policy movePolicy) (served, worth float64) {
	w.publish()
	for end := w.Now + dayMS; w.Now < end; w.Now += turnStep {
		for _, name := range w.pools {
			w.arrivals(name)
			w.serve(name)
		}
		w.advance()
		if w.Now == w.sinceLoad {
			w.order(policy(w))
		}
	}
	served = w.earned / w.owed
	return served, served - (priceVMSecond*w.vmSeconds+priceMove*float64(w.moves))/w.owed
}

func noMoves(*turnWorld) []fleetplan.Decision { return nil }

func planned() movePolicy {
	m := fleetplan.NewMovePlanner()
	return func(w *turnWorld) []fleetplan.Decision { return m.Plan(&w.Snapshot) }
}

// onBacklog gives VMs from standby, and from pools without work, to pools with a
// backlog, and switches idle ones off.
func onBacklog(w *turnWorld) []fleetplan.Decision {
	return w.sized(func(name string) float64 { return lastingCores + w.load[name] })
}

// knowing sizes pools by the demand of two seconds ahead.
func knowing(w *turnWorld) []fleetplan.Decision {
	return w.sized(func(name string) float64 {
		rate := max(w.rate(name, w.Now+moveMS+joinMS+idleOrderMS), w.rate(name, w.Now))
		return lastingCores + 1.2*rate + max(0, w.load[name]-rate)/2
	})
}

// sized gives each pool the processors that a policy wants.
func (w *turnWorld) sized(want func(string) float64) []fleetplan.Decision {
	have := map[string]int{}
	var free []*turnVM
	byPool := map[string][]*turnVM{}
	for _, v := range w.vms {
		target := v.pool
		if v.target != "" {
			target = v.target
		}
		have[target]++
		switch {
		case v.target != "" || v.ready > w.Now:
		case w.Standby[v.pool]:
			free = append(free, v)
		default:
			byPool[v.pool] = append(byPool[v.pool], v)
		}
	}
	need := map[string]int{}
	for _, name := range w.pools {
		need[name] = max(2, int(math.Ceil(want(name)/vmCores)))
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

// Guards against moves that serve the turns of both sites worse, or dearer, than
// simple policies do: each pool in its turn asks for about five times its mean.
// The last policy knows the demand of two seconds ahead, the time of a move.
func TestMovesAgainstBaselines(t *testing.T) {
	policies := []struct {
		name string
		new  func() movePolicy
	}{
		{"no moves", func() movePolicy { return noMoves }},
		{"on backlog", func() movePolicy { return onBacklog }},
		{"knowing the demand", func() movePolicy { return knowing }},
		{"planned", planned},
	}
	const (
		rounds = 24
		// knownShare is the least share of the worth under known demand.
		knownShare = 0.85
	)
	for _, demand := range []float64{0.8, 1.0, 1.3} {
		worths := map[string]float64{}
		for _, p := range policies {
			var served, vmSeconds, moves float64
			for seed := range int64(rounds) {
				w := newTurnWorld(seed, demand)
				s, v := w.play(p.new())
				served += s / rounds
				worths[p.name] += v / rounds
				vmSeconds, moves = vmSeconds+w.vmSeconds/rounds, moves+float64(w.moves)/rounds
			}
			t.Logf("demand %.1f, %-18s served %.3f worth %.3f, %.0f VM-seconds, %.0f moves", demand, p.name, served, worths[p.name], vmSeconds, moves)
		}
		got := worths["planned"]
		if got < worths["no moves"] || got < worths["on backlog"] || got < knownShare*worths["knowing the demand"] {
			t.Errorf("demand %.1f: worth %.3f, of the others %v", demand, got, worths)
		}
	}
}
