package measure

import (
	"math"
	"time"

	"amaranthfork.example/fleet"
)

// minSamples is the number of observations from which on an estimate ignores declarations.
const minSamples = 20

// movingAverage holds averages of observed values and of their squares. All of
// the first 50 values count alike; later ones replace 2% of the average each.
type movingAverage struct {
	mean, meanSquare float64
	samples          int
}

func (a *movingAverage) add(x float64) {
	a.samples++
	weight := max(1/float64(a.samples), 0.02)
	a.mean += float64((x - a.mean) * weight)
	a.meanSquare += float64((float64(x*x) - a.meanSquare) * weight)
}

// p90 returns the 90th percentile of a normal distribution with the observed
// mean and standard deviation.
func (a *movingAverage) p90() float64 {
	return a.mean + float64(1.28*math.Sqrt(max(0, a.meanSquare-float64(a.mean*a.mean))))
}

// estimates holds estimates of run times, resource needs and arrival rates,
// learned from arrivals and ended tasks.
type estimates struct {
	s                 *Scenario
	observedRunTime   [][]movingAverage  // by queue and class, in seconds
	declaredRunTime   [][]movingAverage  // by queue and class, in seconds
	milliCPU          []movingAverage    // by class
	memoryMB          []movingAverage    // by class
	arrivals          map[[3]int]int     // jobs since the last update of the rates, by job.workKey
	arrivalsPerSecond map[[3]int]float64 // jobs, by job.workKey
}

func newEstimates(s *Scenario) *estimates {
	e := &estimates{
		s:               s,
		observedRunTime: make([][]movingAverage, len(s.queues)), declaredRunTime: make([][]movingAverage, len(s.queues)),
		milliCPU: make([]movingAverage, len(classes)), memoryMB: make([]movingAverage, len(classes)),
		arrivals: make(map[[3]int]int), arrivalsPerSecond: make(map[[3]int]float64),
	}
	for q := range e.observedRunTime {
		e.observedRunTime[q], e.declaredRunTime[q] = make([]movingAverage, len(classes)), make([]movingAverage, len(classes))
	}
	return e
}

// learn records the run time and the usage of a job that has ended.
func (e *estimates) learn(j *job, ranTicks int) {
	e.observedRunTime[j.queue][j.class].add(durationOf(ranTicks).Seconds())
	e.milliCPU[j.class].add(float64(j.usage.MilliCPU))
	e.memoryMB[j.class].add(float64(j.usage.MemoryMB))
}

// need estimates the resources that a job uses: the declared ones until
// minSamples jobs of its class have ended.
func (e *estimates) need(j *job) fleet.Resources {
	c := &e.milliCPU[j.class]
	if c.samples < minSamples {
		return j.declaredNeed
	}
	return fleet.Resources{MilliCPU: int64(c.p90()), MemoryMB: int64(e.memoryMB[j.class].p90())}
}

// runTime estimates the run time of a queue's jobs of a class: the mean
// declared one until minSamples of them have ended.
func (e *estimates) runTime(q, class int) time.Duration {
	a := &e.observedRunTime[q][class]
	if a.samples < minSamples {
		a = &e.declaredRunTime[q][class]
	}
	return time.Duration(a.mean * float64(time.Second))
}

// arrived records the arrival of a job and its declared run time.
func (e *estimates) arrived(j *job) {
	e.arrivals[j.workKey()]++
	e.declaredRunTime[j.queue][j.class].add(j.declaredRunTime.Seconds())
}

// updateRates smooths the arrivals of the last spanTicks ticks into the rates.
func (e *estimates) updateRates(spanTicks int) {
	const timeConstantSeconds = 1.0
	spanSeconds := durationOf(spanTicks).Seconds()
	smoothing := 1 - math.Exp(-spanSeconds/timeConstantSeconds)
	for q, qu := range e.s.queues {
		for _, team := range qu.teams {
			for c := range classes {
				k := [3]int{q, c, team.team}
				e.arrivalsPerSecond[k] += float64((float64(e.arrivals[k])/spanSeconds - e.arrivalsPerSecond[k]) * smoothing)
				e.arrivals[k] = 0
			}
		}
	}
}
