package measure

import (
	"math"
	"time"

	"amaranthfork.example/fleet"
)

// minSamples is the number of observations from which declarations count no more.
const minSamples = 20

// running averages of observed values.
type average struct {
	mean, square float64
	n            int
}

func (a *average) add(x float64) {
	a.n++
	f := max(1/float64(a.n), 0.02)
	a.mean += (x - a.mean) * f
	a.square += (x*x - a.square) * f
}

// p90 returns the 90th percentile of a normal distribution with the average's
// mean and deviation.
func (a *average) p90() float64 {
	return a.mean + 1.28*math.Sqrt(max(0, a.square-a.mean*a.mean))
}

// estimates learns run times, sizes and arrival rates from observation.
type estimates struct {
	s     *Scenario
	run   [][]average // by queue and class, seconds
	said  [][]average // the same, as declared
	cpu   []average   // by class, milli-CPU
	mem   []average   // by class, MB
	count map[[3]int]int
	rate  map[[3]int]float64 // tasks per second
}

func newEstimates(s *Scenario) *estimates {
	e := &estimates{
		s:   s,
		run: make([][]average, len(s.queues)), said: make([][]average, len(s.queues)),
		cpu: make([]average, len(classes)), mem: make([]average, len(classes)),
		count: make(map[[3]int]int), rate: make(map[[3]int]float64),
	}
	for q := range e.run {
		e.run[q], e.said[q] = make([]average, len(classes)), make([]average, len(classes))
	}
	return e
}

func (e *estimates) learn(j *job, ran int) {
	e.run[j.queue][j.class].add(durOf(ran).Seconds())
	e.cpu[j.class].add(float64(j.usage.MilliCPU))
	e.mem[j.class].add(float64(j.usage.MemoryMB))
}

// need estimates what a job uses: its declaration until enough has been seen.
func (e *estimates) need(j *job) fleet.Resources {
	c := &e.cpu[j.class]
	if c.n < minSamples {
		return j.size
	}
	return fleet.Resources{MilliCPU: int64(c.p90()), MemoryMB: int64(e.mem[j.class].p90())}
}

// runTime estimates the run time of a queue's jobs of a class: as declared
// until enough has been seen.
func (e *estimates) runTime(q, c int) time.Duration {
	a := &e.run[q][c]
	if a.n < minSamples {
		a = &e.said[q][c]
	}
	return time.Duration(a.mean * float64(time.Second))
}

func (e *estimates) arrived(j *job) {
	e.count[j.key()]++
	e.said[j.queue][j.class].add(j.declared.Seconds())
}

// settle turns the arrivals of the last ticks into rates.
func (e *estimates) settle(span int) {
	const memory = 1.0 // seconds
	dt := durOf(span).Seconds()
	f := 1 - math.Exp(-dt/memory)
	for q, qu := range e.s.queues {
		for _, p := range qu.parts {
			for c := range classes {
				k := [3]int{q, c, p.team}
				e.rate[k] += (float64(e.count[k])/dt - e.rate[k]) * f
				e.count[k] = 0
			}
		}
	}
}
