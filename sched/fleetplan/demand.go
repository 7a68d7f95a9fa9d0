package fleetplan

import (
	"math"
	"sort"

	"amaranthfork.example/sched/pool"
)

// Demand model. Arrival rates are core-seconds of work accepted a second, so
// they are the processors that a pool needs to keep up.
const (
	rateWindow = 900  // ms over which the present rate is measured
	meanTime   = 12e3 // ms, time constant of the mean rate
	// turnFactor is how far above its mean a pool's rate is during its turn.
	turnFactor = 2.0
	// turnShare is the least rate of a turn, as a share of the pool's capacity.
	turnShare = 0.35
	// turnEnds is the share of the peak below which a turn has ended.
	turnEnds = 0.35
	// steadyShare bounds how far the last intervals between turns may differ
	// for the next one to be expected.
	steadyShare = 0.3
	// backlogTime is the time in seconds within which a backlog should be done.
	backlogTime = 2.0
	// rateHeadroom covers estimates that are too low and room that is left over
	// between tasks.
	rateHeadroom = 1.15
	maxTurns     = 32 // kept
	maxSamples   = 16
)

type sample struct {
	at       int64
	accepted float64
}

type poolDemand struct {
	samples []sample
	epoch   int64
	rate    float64 // cores, over the last window
	mean    float64
	seen    int64 // time of the first sample
	active  bool
	peak    float64 // of the present or last turn
	peaks   float64 // highest rate of a turn, decaying
	started int64
}

// Turn is a time at which one pool's demand was far above its mean.
type Turn struct {
	Pool  string
	Start int64 // Unix milliseconds
}

// Demand follows the demand of all pools and expects their turns.
type Demand struct {
	pools map[string]*poolDemand
	turns []Turn
}

// NewDemand returns a model that has seen nothing.
func NewDemand() *Demand { return &Demand{pools: map[string]*poolDemand{}} }

// Observe takes the published loads of pools that are not on standby.
func (d *Demand) Observe(loads map[string]pool.Load, standby map[string]bool) {
	names := make([]string, 0, len(loads))
	for name := range loads {
		if !standby[name] {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		d.observe(name, loads[name])
	}
}

func (d *Demand) observe(name string, l pool.Load) {
	p := d.pools[name]
	if p == nil {
		p = &poolDemand{seen: l.At}
		d.pools[name] = p
	}
	if l.Epoch != p.epoch {
		p.epoch = l.Epoch
		p.samples = nil // a new owner counts from zero
	}
	if n := len(p.samples); n > 0 && p.samples[n-1].at >= l.At {
		return
	}
	p.samples = append(p.samples, sample{l.At, l.Accepted})
	if len(p.samples) > maxSamples {
		p.samples = p.samples[1:]
	}
	p.measure(l.At)
	d.follow(name, p, l)
}

// measure updates the present and the mean rate.
func (p *poolDemand) measure(now int64) {
	first := 0
	for first < len(p.samples)-2 && p.samples[first+1].at <= now-rateWindow {
		first++
	}
	last := p.samples[len(p.samples)-1]
	elapsed := last.at - p.samples[first].at
	if elapsed <= 0 {
		return
	}
	p.rate = (last.accepted - p.samples[first].accepted) / (float64(elapsed) / 1000)
	step := float64(last.at - p.samples[len(p.samples)-2].at)
	p.mean += (p.rate - p.mean) * (1 - math.Exp(-step/meanTime))
}

// follow notes the start and end of the pool's turn.
func (d *Demand) follow(name string, p *poolDemand, l pool.Load) {
	if p.active {
		p.peak = max(p.peak, p.rate)
		if p.rate < turnEnds*p.peak {
			p.active = false
			p.peaks = max(p.peak, 0.7*p.peaks)
		}
		return
	}
	if p.rate < turnShare*capacityOf(l) || p.rate < turnFactor*p.mean {
		return
	}
	p.active = true
	p.peak = p.rate
	p.started = l.At - rateWindow/2
	d.turns = append(d.turns, Turn{name, p.started})
	if len(d.turns) > maxTurns {
		d.turns = d.turns[1:]
	}
}

func capacityOf(l pool.Load) float64 {
	total := int64(0)
	for _, v := range l.VMs {
		total += v.Capacity
	}
	return float64(total) / 1000
}

// interval returns the time between turns, or 0 if they are not regular.
func (d *Demand) interval() int64 {
	n := len(d.turns)
	if n < 3 {
		return 0
	}
	last := d.turns[n-1].Start - d.turns[n-2].Start
	before := d.turns[n-2].Start - d.turns[n-3].Start
	if math.Abs(float64(last-before)) > steadyShare*float64(max(last, before)) {
		return 0
	}
	return (last + before) / 2
}

// Expected returns the next turn if turns come regularly and it is clear whose
// it is: pools take turns, so it is the one whose last turn is longest ago.
func (d *Demand) Expected() (Turn, bool) {
	interval := d.interval()
	if interval <= 0 {
		return Turn{}, false
	}
	last := map[string]int64{}
	for _, t := range d.turns {
		last[t.Pool] = t.Start
	}
	next, never := "", 0
	for name := range d.pools {
		at, had := last[name]
		switch {
		case !had:
			never++
			next = name
		case never == 0 && (next == "" || at < last[next] || at == last[next] && name < next):
			next = name
		}
	}
	if never > 1 || next == "" {
		return Turn{}, false
	}
	return Turn{next, d.turns[len(d.turns)-1].Start + interval}, true
}

// peakOf returns the rate that a turn of a pool is expected to reach: that of its
// own last turn, or the highest of the others.
func (d *Demand) peakOf(name string) float64 {
	if p := d.pools[name]; p != nil && p.peaks > 0 {
		return p.peaks
	}
	highest := 0.0
	for _, p := range d.pools {
		highest = max(highest, p.peaks, p.peak)
	}
	return highest
}

// Need returns the processors that a pool needs at a time, without its tasks
// that last.
func (d *Demand) Need(name string, l pool.Load, at int64) float64 {
	p := d.pools[name]
	if p == nil {
		return 0
	}
	rate := p.rate
	interval := d.interval()
	if p.active {
		rate = max(rate, p.peak)
		if interval > 0 && at > p.started+interval {
			rate = min(p.rate, p.mean)
		}
	}
	if turn, ok := d.Expected(); ok && turn.Pool == name && at >= turn.Start && at < turn.Start+interval {
		rate = max(rate, d.peakOf(name))
	}
	return rate*rateHeadroom + max(0, l.Backlog-rate)/backlogTime
}
