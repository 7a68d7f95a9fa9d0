package fleetplan

import (
	"math"
	"slices"
	"sort"

	"amaranthfork.example/sched/pool"
)

// Demand model. Arrival rates are core-seconds of work accepted a second, so
// they are the processors that a pool needs to keep up.
const (
	rateWindow = 700  // ms over which the present rate is measured
	meanTime   = 12e3 // ms, time constant of the mean rate
	// turnFactor is how far above its mean a pool's rate is during its turn.
	turnFactor = 2.0
	// turnShare is the least rate of a turn, as a share of the whole fleet.
	turnShare = 0.15
	// firstPeak is the rate that a turn is expected to reach, as a share of the
	// whole fleet, before any turn has been seen to its end.
	firstPeak = 0.4
	// riseTime is the time in ms within which a turn reaches its peak.
	riseTime = 2500
	// expectTime is the time in ms after the end of a turn during which the next
	// one is prepared for.
	expectTime = 3500
	// maxExpected is the most pools that are prepared at a time.
	maxExpected = 3
	// turnEnds is the share of the peak below which a turn has ended.
	turnEnds = 0.35
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
	fleet float64 // processors of all VMs
	ended int64   // end of the last turn, Unix milliseconds
}

// NewDemand returns a model that has seen nothing.
func NewDemand() *Demand { return &Demand{pools: map[string]*poolDemand{}} }

// Observe takes the published loads of pools that are not on standby, and the
// processors of the whole fleet.
func (d *Demand) Observe(loads map[string]pool.Load, standby map[string]bool, fleet float64) {
	d.fleet = fleet
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
			d.ended = l.At
			p.peaks = max(p.peak, 0.7*p.peaks)
		}
		return
	}
	if d.fleet <= 0 || p.rate < turnShare*d.fleet || p.rate < turnFactor*p.mean {
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

// Expected returns the pools that may have the next turn. Turns follow each
// other: for some time after one has ended, the next may begin at any of the
// pools that have had none yet, or else at the one whose last turn is longest
// ago. There are none while a turn lasts, or if too many pools may be next.
func (d *Demand) Expected(now int64) []string {
	if d.ended == 0 || now > d.ended+expectTime {
		return nil
	}
	last := map[string]int64{}
	for _, t := range d.turns {
		last[t.Pool] = t.Start
	}
	var pools []string
	oldest := ""
	for name, p := range d.pools {
		at, had := last[name]
		switch {
		case p.active:
			return nil
		case !had:
			pools = append(pools, name)
		case oldest == "" || at < last[oldest] || at == last[oldest] && name < oldest:
			oldest = name
		}
	}
	if len(pools) == 0 && oldest != "" {
		pools = append(pools, oldest)
	}
	if len(pools) > maxExpected {
		return nil
	}
	sort.Strings(pools)
	return pools
}

// peakOf returns the rate that a turn of a pool is expected to reach: that of its
// own last turn, the highest of the others, or a share of the fleet.
func (d *Demand) peakOf(name string) float64 {
	if p := d.pools[name]; p != nil && p.peaks > 0 {
		return p.peaks
	}
	highest := 0.0
	for _, p := range d.pools {
		highest = max(highest, p.peaks)
	}
	if highest > 0 {
		return highest
	}
	return firstPeak * d.fleet
}

// Need returns the processors that a pool needs, without its tasks that last.
func (d *Demand) Need(name string, l pool.Load, now int64) float64 {
	p := d.pools[name]
	if p == nil {
		return 0
	}
	rate := p.rate
	if p.active && now < p.started+riseTime {
		rate = max(rate, d.peakOf(name))
	} else if p.active {
		rate = max(rate, 0.7*p.peak)
	}
	return rate*rateHeadroom + max(0, l.Backlog-rate)/backlogTime
}

// Prepared returns the processors that a pool should have because its turn may
// begin.
func (d *Demand) Prepared(name string, now int64) float64 {
	pools := d.Expected(now)
	if !slices.Contains(pools, name) {
		return 0
	}
	return d.peakOf(name) / float64(len(pools))
}
