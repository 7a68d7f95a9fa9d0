package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"amaranthfork.example/fleet"
)

// classes are the job classes with the demand that they have.
var classes = []struct {
	name        fleet.Class
	fraction    float64 // of the slot time of all jobs
	meanRunTime time.Duration
}{
	{fleet.ClassUrgent, 0.2, 800 * time.Millisecond},
	{fleet.ClassStandard, 0.5, 2500 * time.Millisecond},
	{fleet.ClassBatch, 0.3, 15 * time.Second},
}

const (
	peakFactor     = 5.0      // demand in a peak, times the mean
	quietFactor    = 1.0 / 20 // demand outside of peaks, times the mean
	meanPeakTime   = 12 * time.Second
	overloadFactor = 4.2 // demand of all queues in the overload, times the mean: 1.2 times the whole fleet
)

// job is a job of one task.
type job struct {
	id              fleet.JobID
	arrivedTick     int
	queue           int
	team            int
	class           int // index into classes
	remainingTicks  int // remaining run time; doesn't change while the job runs
	started         bool
	declaredRunTime time.Duration   // inaccurate
	declaredNeed    fleet.Resources // inaccurate
	usage           fleet.Resources // true usage
}

// workKey identifies the job's queue, class and team.
func (j *job) workKey() [3]int { return [3]int{j.queue, j.class, j.team} }

// demand holds the arrivals of jobs and the failures of VMs in one run. It is
// the same for all policies.
type demand struct {
	arrivals [][]*job    // by tick
	slots    [][]float64 // by queue and tick: expected demand in slots
	failures map[int]int // by tick: index of the VM that fails
}

// generateDemand draws the demand of a scenario. The same seed gives the same demand.
func generateDemand(s *Scenario, seed uint64) *demand {
	rng := rand.New(rand.NewPCG(seed, 0x6d656173757265))
	d := &demand{arrivals: make([][]*job, s.lengthTicks), failures: make(map[int]int)}
	d.slots = drawSlots(s, rng)
	for t := range s.lengthTicks {
		for q := range s.queues {
			d.arrivals[t] = append(d.arrivals[t], s.drawArrivals(rng, t, q, d.slots[q][t])...)
		}
	}
	n := 0
	for _, jobs := range d.arrivals {
		for _, j := range jobs {
			j.id = fleet.JobID(fmt.Sprintf("job%09d", n))
			n++
		}
	}
	for range s.vmFailures {
		d.failures[rng.IntN(s.lengthTicks)] = rng.IntN(len(s.VMs))
	}
	return d
}

// drawSlots draws the demand in slots by queue and tick. The queues of a group
// take turns: in its turn a queue has a demand peak, then a short pause follows.
// One turn in ten goes to a random queue of the group.
func drawSlots(s *Scenario, rng *rand.Rand) [][]float64 {
	slots := make([][]float64, len(s.queues))
	groups := make(map[int][]int)
	last := 0
	for q, qu := range s.queues {
		slots[q] = make([]float64, s.lengthTicks)
		for t := range slots[q] {
			slots[q][t] = quietFactor * qu.meanSlots
		}
		groups[qu.group] = append(groups[qu.group], q)
		last = max(last, qu.group)
	}
	for g := range last + 1 {
		s.drawPeaks(rng, groups[g], slots)
	}
	for q, qu := range s.queues {
		for t := s.overload.fromTick; t < s.overload.toTick; t++ {
			slots[q][t] = overloadFactor * qu.meanSlots
		}
	}
	return slots
}

// drawPeaks sets the demand of the queues of one group during their demand peaks.
func (s *Scenario) drawPeaks(rng *rand.Rand, queues []int, slots [][]float64) {
	// If a queue is in a peak for this fraction of the time, its demand has the
	// mean meanSlots.
	peakFraction := (1 - quietFactor) / (peakFactor - quietFactor)
	meanPauseTicks := max(0, float64(ticks(meanPeakTime))*(1/(peakFraction*float64(len(queues)))-1))
	for t, turn := rng.IntN(ticks(meanPeakTime)), 0; t < s.lengthTicks; turn++ {
		q := queues[turn%len(queues)]
		if rng.IntN(10) == 0 {
			q = queues[rng.IntN(len(queues))]
		}
		end := min(s.lengthTicks, t+int(float64(ticks(meanPeakTime))*(0.6+float64(0.8*rng.Float64()))))
		for ; t < end; t++ {
			slots[q][t] = peakFactor * s.queues[q].meanSlots
		}
		t += int(meanPauseTicks * (0.5 + rng.Float64()))
	}
}

// drawArrivals draws the jobs that arrive on queue q at tick t for a demand in slots.
func (s *Scenario) drawArrivals(rng *rand.Rand, t, q int, slots float64) []*job {
	var jobs []*job
	for c, class := range classes {
		rate := slots * class.fraction / class.meanRunTime.Seconds() * tick.Seconds()
		for range poisson(rng, rate) {
			jobs = append(jobs, s.newJob(rng, t, q, c))
		}
	}
	return jobs
}

// newJob draws a job of queue q and class c that arrives at tick t. Its run
// time is log-normal with the mean of the class.
func (s *Scenario) newJob(rng *rand.Rand, t, q, c int) *job {
	runTime := float64(classes[c].meanRunTime) * math.Exp(0.5*rng.NormFloat64()-0.125)
	perSlot := s.VMs[0].Capacity.Scale(1.0 / 8)
	usage := perSlot.Scale(0.4 + float64(0.4*rng.Float64()))
	declarationError := math.Exp(rng.NormFloat64()) // a third of the declarations are off by a factor of 2.7 or more
	return &job{
		arrivedTick: t, queue: q, class: c,
		team:            pickTeam(rng, s.queues[q].teams),
		remainingTicks:  max(1, int(runTime/float64(tick))),
		declaredRunTime: time.Duration(runTime * math.Exp(rng.NormFloat64())),
		declaredNeed:    usage.Scale(declarationError),
		usage:           usage,
	}
}

func pickTeam(rng *rand.Rand, fractions []teamFraction) int {
	x := rng.Float64()
	for _, f := range fractions {
		if x < f.fraction {
			return f.team
		}
		x -= f.fraction
	}
	return fractions[len(fractions)-1].team
}

// poisson draws from a Poisson distribution by Knuth's method. It splits large
// rates, for which exp(-rate) would be too close to zero.
func poisson(rng *rand.Rand, rate float64) int {
	n := 0
	for ; rate > 30; rate -= 30 {
		n += poisson(rng, 30)
	}
	limit, p := math.Exp(-rate), 1.0
	for {
		p *= rng.Float64()
		if p <= limit {
			return n
		}
		n++
	}
}
