package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"amaranthfork.example/fleet"
)

// classes of jobs with their part of the slot time and their mean run time.
var classes = []struct {
	name fleet.Class
	part float64
	run  time.Duration
}{
	{fleet.ClassUrgent, 0.2, 800 * time.Millisecond},
	{fleet.ClassStandard, 0.5, 2500 * time.Millisecond},
	{fleet.ClassBatch, 0.3, 15 * time.Second},
}

const (
	burstLevel = 5.0      // times the mean
	quietLevel = 1.0 / 20 // times the mean
	burstTime  = 12 * time.Second
	floodLevel = 4.2 // times the mean, in all queues: 1.2 times the whole fleet
)

// job is one task of work.
type job struct {
	id       fleet.JobID
	arrived  int // tick
	queue    int
	team     int
	class    int // index into classes
	left     int // ticks of run time that remain
	started  bool
	declared time.Duration   // run time as declared, far off
	size     fleet.Resources // as declared, far off
	usage    fleet.Resources // in truth
}

// key identifies the job's queue, class and team.
func (j *job) key() [3]int { return [3]int{j.queue, j.class, j.team} }

// demand is everything that arrives in one run. It is the same for all policies.
type demand struct {
	arrivals [][]*job    // by tick
	level    [][]float64 // by queue and tick: slots in demand
	failures map[int]int // tick to VM
}

// generate draws the demand of a seed.
func generate(s *Scenario, seed uint64) *demand {
	rng := rand.New(rand.NewPCG(seed, 0x6d656173757265))
	d := &demand{arrivals: make([][]*job, s.length), failures: make(map[int]int)}
	d.level = levels(s, rng)
	for t := range s.length {
		for q := range s.queues {
			d.arrivals[t] = append(d.arrivals[t], s.draw(rng, t, q, d.level[q][t])...)
		}
	}
	n := 0
	for _, jobs := range d.arrivals {
		for _, j := range jobs {
			j.id = fleet.JobID(fmt.Sprintf("job%09d", n))
			n++
		}
	}
	for range s.failures {
		d.failures[rng.IntN(s.length)] = rng.IntN(len(s.VMs))
	}
	return d
}

// levels draws the turns of the queues of each group: in its turn a queue
// bursts, then a short pause follows. One turn in ten goes to a random queue.
func levels(s *Scenario, rng *rand.Rand) [][]float64 {
	level := make([][]float64, len(s.queues))
	groups := make(map[int][]int)
	last := 0
	for q, qu := range s.queues {
		level[q] = make([]float64, s.length)
		for t := range level[q] {
			level[q][t] = quietLevel * qu.mean
		}
		groups[qu.group] = append(groups[qu.group], q)
		last = max(last, qu.group)
	}
	for g := range last + 1 {
		s.drawTurns(rng, groups[g], level)
	}
	for q, qu := range s.queues {
		for t := s.flood.from; t < s.flood.to; t++ {
			level[q][t] = floodLevel * qu.mean
		}
	}
	return level
}

func (s *Scenario) drawTurns(rng *rand.Rand, queues []int, level [][]float64) {
	// The part of the time in which a queue bursts follows from its mean.
	duty := (1 - quietLevel) / (burstLevel - quietLevel)
	pause := max(0, float64(ticks(burstTime))*(1/(duty*float64(len(queues)))-1))
	for t, turn := rng.IntN(ticks(burstTime)), 0; t < s.length; turn++ {
		q := queues[turn%len(queues)]
		if rng.IntN(10) == 0 {
			q = queues[rng.IntN(len(queues))]
		}
		end := min(s.length, t+int(float64(ticks(burstTime))*(0.6+0.8*rng.Float64())))
		for ; t < end; t++ {
			level[q][t] = burstLevel * s.queues[q].mean
		}
		t += int(pause * (0.5 + rng.Float64()))
	}
}

func (s *Scenario) draw(rng *rand.Rand, t, q int, level float64) []*job {
	var jobs []*job
	for c, class := range classes {
		rate := level * class.part / class.run.Seconds() * tick.Seconds()
		for range poisson(rng, rate) {
			jobs = append(jobs, s.newJob(rng, t, q, c))
		}
	}
	return jobs
}

func (s *Scenario) newJob(rng *rand.Rand, t, q, c int) *job {
	run := float64(classes[c].run) * math.Exp(0.5*rng.NormFloat64()-0.125)
	cores := s.VMs[0].Capacity.Scale(1.0 / 8)
	usage := cores.Scale(0.4 + 0.4*rng.Float64())
	wrong := math.Exp(rng.NormFloat64()) // declarations are off by a factor of 2.7 and more
	return &job{
		arrived: t, queue: q, class: c,
		team:     pick(rng, s.queues[q].parts),
		left:     max(1, int(run/float64(tick))),
		declared: time.Duration(run * math.Exp(rng.NormFloat64())),
		size:     usage.Scale(wrong),
		usage:    usage,
	}
}

func pick(rng *rand.Rand, parts []part) int {
	x := rng.Float64()
	for _, p := range parts {
		if x < p.weight {
			return p.team
		}
		x -= p.weight
	}
	return parts[len(parts)-1].team
}

// poisson draws from a Poisson distribution by Knuth's method, in steps that
// keep exp(-rate) away from zero.
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
