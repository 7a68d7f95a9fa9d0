package measure

import "fmt"

// checker counts violations of the commitments from the events of a run. It
// keeps its own account and does not read the state that the run acts on.
type checker struct {
	s          *Scenario
	pool       []int // of each VM
	tasks      []int // running on each VM
	moving     []bool
	down       []bool // unavailable, planned or not
	team       []int  // running
	out        []int  // tick since which a data centre is out, -1 when it is in
	violations map[string]int
}

func newChecker(s *Scenario) *checker {
	c := &checker{
		s: s, pool: append([]int(nil), s.home...),
		tasks: make([]int, len(s.VMs)), moving: make([]bool, len(s.VMs)), down: make([]bool, len(s.VMs)),
		team: make([]int, len(s.Teams)), out: make([]int, len(s.DataCentres)),
		violations: make(map[string]int),
	}
	for i := range c.out {
		c.out[i] = -1
	}
	return c
}

func (c *checker) violated(rule string, bad bool) {
	if bad {
		c.violations[rule]++
	}
}

func (c *checker) started(t *task, dc, now int) {
	c.tasks[t.vm]++
	c.team[t.job.team]++
	c.violated("slots", c.tasks[t.vm] > c.s.VMs[t.vm].Slots)
	c.violated("pool", c.pool[t.vm] != c.s.queues[t.job.queue].pool)
	c.violated("leaving", c.moving[t.vm] || c.down[t.vm])
	c.violated("limit", c.team[t.job.team] > c.s.Teams[t.job.team].Limit)
	c.violated("data centre out", c.out[dc] >= 0 && now-c.out[dc] > ticks(4e9))
}

func (c *checker) ended(t *task) {
	c.tasks[t.vm]--
	c.team[t.job.team]--
}

func (c *checker) dataCentre(dc int, out bool, now int) {
	c.out[dc] = -1
	if out {
		c.out[dc] = now
	}
}

func (c *checker) moveBegan(i, from, to int, planned bool) {
	c.violated("moved twice", c.moving[i])
	c.violated("moved from another pool", c.pool[i] != from || from == to)
	c.violated("moved out of maintenance", planned || c.down[i])
	c.violated("moved below the budget", !c.s.Pools[from].Spare && c.left(from, i) <= c.s.Pools[from].MaxUnavailable-c.unavailable(from))
	c.moving[i] = true
}

func (c *checker) moveEnded(i int) { c.moving[i] = false }

func (c *checker) assigned(i, pool int) {
	c.violated("assigned with tasks", c.tasks[i] > 0)
	c.pool[i] = pool
	c.moving[i] = false
}

func (c *checker) maintenance(i int) {
	c.violated("budget", c.unavailable(c.pool[i]) >= c.s.Pools[c.pool[i]].MaxUnavailable)
	c.violated("maintained while moving", c.moving[i])
	c.down[i] = true
}

func (c *checker) unavailable(pool int) int {
	n := 0
	for k, down := range c.down {
		if down && c.pool[k] == pool {
			n++
		}
	}
	return n
}

// left returns the VMs that a pool can still use without one of them.
func (c *checker) left(pool, without int) int {
	n := 0
	for k := range c.pool {
		if c.pool[k] == pool && k != without && !c.down[k] && !c.moving[k] {
			n++
		}
	}
	return n
}

func (c *checker) failed(i int)    { c.down[i] = true }
func (c *checker) available(i int) { c.down[i] = false }

// observe compares the account with the world at the end of a tick.
func (c *checker) observe(w *world) {
	seen := make([]int, len(c.pool))
	for pool, members := range w.members {
		for _, i := range members {
			seen[i]++
			c.violated("membership", c.pool[i] != pool)
		}
	}
	for _, n := range seen {
		c.violated("pools of a VM", n != 1)
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
