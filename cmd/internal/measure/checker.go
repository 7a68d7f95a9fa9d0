package measure

import "fmt"

// checker counts violations of the rules that a policy must keep, such as
// limits, slots and availability budgets. It derives its own state from the
// events of a run, independently of the state that the simulation acts on.
type checker struct {
	scenario      *Scenario
	poolOf        []int // by VM
	tasksOn       []int // number of running tasks by VM
	moving        []bool
	down          []bool // VMs under maintenance or failed
	runningByTeam []int  // tasks
	outSince      []int  // by data centre: tick since which it is out, -1 while it is in
	violations    map[string]int
}

func newChecker(s *Scenario) *checker {
	c := &checker{
		scenario: s, poolOf: append([]int(nil), s.homePool...),
		tasksOn: make([]int, len(s.VMs)), moving: make([]bool, len(s.VMs)), down: make([]bool, len(s.VMs)),
		runningByTeam: make([]int, len(s.Teams)), outSince: make([]int, len(s.DataCentres)),
		violations: make(map[string]int),
	}
	for i := range c.outSince {
		c.outSince[i] = -1
	}
	return c
}

// countIf counts a violation of a rule if bad is set.
func (c *checker) countIf(rule string, bad bool) {
	if bad {
		c.violations[rule]++
	}
}

// started checks the start of a task on its VM in data centre dc. Tasks may
// start in a data centre for up to 4 s after it was taken out: until then the
// change may not be in force everywhere.
func (c *checker) started(t *task, dc, now int) {
	c.tasksOn[t.vm]++
	c.runningByTeam[t.job.team]++
	c.countIf("slots", c.tasksOn[t.vm] > c.scenario.VMs[t.vm].Slots)
	c.countIf("pool", c.poolOf[t.vm] != c.scenario.queues[t.job.queue].pool)
	c.countIf("leaving", c.moving[t.vm] || c.down[t.vm])
	c.countIf("limit", c.runningByTeam[t.job.team] > c.scenario.Teams[t.job.team].Limit)
	c.countIf("data centre out", c.outSince[dc] >= 0 && now-c.outSince[dc] > ticks(4e9))
}

func (c *checker) ended(t *task) {
	c.tasksOn[t.vm]--
	c.runningByTeam[t.job.team]--
}

func (c *checker) dataCentreChanged(dc int, out bool, now int) {
	c.outSince[dc] = -1
	if out {
		c.outSince[dc] = now
	}
}

// moveBegan checks the start of a move of VM i. The VMs that the pool can still
// use without it must outnumber those that the rest of its availability budget
// allows to become unavailable.
func (c *checker) moveBegan(i, from, to int, planned bool) {
	c.countIf("moved twice", c.moving[i])
	c.countIf("moved from another pool", c.poolOf[i] != from || from == to)
	c.countIf("moved out of maintenance", planned || c.down[i])
	c.countIf("moved below the budget", !c.scenario.Pools[from].Spare && c.usableWithout(from, i) <= c.scenario.Pools[from].MaxUnavailable-c.unavailable(from))
	c.moving[i] = true
}

// moveEnded records that a move ended without an assignment, because VM i failed.
func (c *checker) moveEnded(i int) { c.moving[i] = false }

// assigned checks the assignment of VM i to its new pool, which ends a move.
func (c *checker) assigned(i, pool int) {
	c.countIf("assigned with tasks", c.tasksOn[i] > 0)
	c.poolOf[i] = pool
	c.moving[i] = false
}

// maintenanceBegan checks that the pool's availability budget allows VM i to
// become unavailable.
func (c *checker) maintenanceBegan(i int) {
	c.countIf("budget", c.unavailable(c.poolOf[i]) >= c.scenario.Pools[c.poolOf[i]].MaxUnavailable)
	c.countIf("maintained while moving", c.moving[i])
	c.down[i] = true
}

// unavailable returns the number of VMs of a pool under maintenance or failed.
func (c *checker) unavailable(pool int) int {
	n := 0
	for k, down := range c.down {
		if down && c.poolOf[k] == pool {
			n++
		}
	}
	return n
}

// usableWithout returns the number of VMs that a pool can use apart from one of them.
func (c *checker) usableWithout(pool, without int) int {
	n := 0
	for k := range c.poolOf {
		if c.poolOf[k] == pool && k != without && !c.down[k] && !c.moving[k] {
			n++
		}
	}
	return n
}

func (c *checker) failed(i int)    { c.down[i] = true }
func (c *checker) available(i int) { c.down[i] = false }

// observe compares the pool of each VM with that in the simulation at the end of a tick.
func (c *checker) observe(sim *simulation) {
	seen := make([]int, len(c.poolOf))
	for pool, members := range sim.members {
		for _, i := range members {
			seen[i]++
			c.countIf("membership", c.poolOf[i] != pool)
		}
	}
	for _, n := range seen {
		c.countIf("pools of a VM", n != 1)
	}
}

func (c *checker) total() int {
	n := 0
	for _, v := range c.violations {
		n += v
	}
	return n
}

func (c *checker) String() string { return fmt.Sprint(c.violations) }
