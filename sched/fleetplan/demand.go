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
	// rateWindow is the time in ms over which the present rate is measured to see
	// that a turn begins: a few publications of the load.
	rateWindow = 700
	// endWindow is the same to see that a turn has ended. Few large jobs make up a
	// turn, so that over a shorter time it seems to end between two of them.
	endWindow = 1200
	meanTime  = 12e3 // ms, time constant of the mean rate
	// turnFactor is how far above its mean a pool's rate is when a turn begins.
	turnFactor = 2.0
	// turnShare is the least rate of a turn, as a share of the whole fleet.
	turnShare = 0.15
	// leastTurn is the time in ms that a turn lasts at least.
	leastTurn = 2000
	// smallTurn is the share of the usual work of a turn below which one was only
	// a burst, and does not say which pool's turn is next.
	smallTurn = 0.33
	// firstPeak is the rate that a turn is expected to have, as a share of the
	// whole fleet, before any turn has been seen to its end.
	firstPeak = 0.4
	// riseTime is the time in ms for which a turn is taken to be as usual.
	riseTime = 2000
	// expectTime is the time in ms after the end of a turn during which the next
	// one is prepared for.
	expectTime = 5000
	// maxExpected is the most pools that are prepared at a time.
	maxExpected = 3
	// preparedShare is what each of the pools that may be next gets, relative to
	// an even share of a turn's usual rate.
	preparedShare = 1.5
	// turnEnds is the share of a turn's mean rate below which it has ended.
	turnEnds = 0.5
	// turnGain is the weight of the last turn in what is usual.
	turnGain = 0.5
	// backlogTime is the time in seconds within which a backlog should be done.
	backlogTime = 3.0
	// rateHeadroom covers estimates that are too low and room that is left over
	// between tasks.
	rateHeadroom = 1.15
	maxTurns     = 32 // kept
	maxSamples   = 24 // above endWindow at the usual interval of loads and as many early ones
)

type sample struct {
	at       int64
	accepted float64
}

type poolDemand struct {
	samples []sample
	epoch   int64
	rate    float64 // processors, over rateWindow
	mean    float64

	active  bool    // has its turn
	started int64   // of its turn, Unix milliseconds
	before  float64 // accepted before its turn
	inTurn  float64 // mean rate of its turn so far
	usual   float64 // rate of its turns
}

// Turn is a time at which one pool's demand was far above its mean.
type Turn struct {
	Pool  string `cbor:"1,keyasint"`
	Start int64  `cbor:"2,keyasint"` // Unix milliseconds
}

// Demand follows the demand of all pools and expects their turns.
type Demand struct {
	pools map[string]*poolDemand
	turns []Turn
	fleet float64 // processors of all VMs
	ended int64   // end of the last turn, Unix milliseconds
	work  float64 // core-seconds of a usual turn
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
		p = &poolDemand{}
		d.pools[name] = p
	}
	if l.Epoch != p.epoch {
		// A new owner counts from zero: the turn so far is taken to have been as
		// it was.
		p.epoch = l.Epoch
		p.samples = nil
		p.before = l.Accepted - p.inTurn*float64(l.At-p.started)/1000
	}
	if n := len(p.samples); n > 0 && p.samples[n-1].at >= l.At {
		return
	}
	p.samples = append(p.samples, sample{l.At, l.Accepted})
	if len(p.samples) > maxSamples {
		p.samples = p.samples[1:]
	}
	p.measure()
	d.follow(name, p, l)
}

// over returns the rate over the last ms.
func (p *poolDemand) over(window int64) float64 {
	last := p.samples[len(p.samples)-1]
	first := 0
	for first < len(p.samples)-2 && p.samples[first+1].at <= last.at-window {
		first++
	}
	elapsed := last.at - p.samples[first].at
	if elapsed <= 0 {
		return 0
	}
	return (last.accepted - p.samples[first].accepted) / (float64(elapsed) / 1000)
}

// measure updates the present rate, the mean, and that of the turn.
func (p *poolDemand) measure() {
	n := len(p.samples)
	if n < 2 {
		return
	}
	now := p.samples[n-1]
	p.rate = p.over(rateWindow)
	step := float64(now.at - p.samples[n-2].at)
	p.mean += (p.rate - p.mean) * (1 - math.Exp(-step/meanTime))
	if p.active {
		p.inTurn = (now.accepted - p.before) / (float64(max(rateWindow, now.at-p.started)) / 1000)
	}
}

// follow notes the start and end of the pool's turn.
func (d *Demand) follow(name string, p *poolDemand, l pool.Load) {
	switch {
	case p.active && l.At-max(p.started+leastTurn-endWindow, p.samples[0].at) >= endWindow && p.over(endWindow) < turnEnds*p.inTurn:
		p.active = false
		d.turnEnded(name, p, l)
	case !p.active && d.fleet > 0 && p.rate >= turnShare*d.fleet && p.rate >= turnFactor*p.mean:
		p.active = true
		p.started = l.At - rateWindow/2
		p.before = l.Accepted - p.rate*rateWindow/1000
		p.inTurn = p.rate
		d.turns = append(d.turns, Turn{name, p.started})
		if len(d.turns) > maxTurns {
			d.turns = d.turns[1:]
		}
	}
}

// turnEnded learns from a turn, unless it was only a burst.
func (d *Demand) turnEnded(name string, p *poolDemand, l pool.Load) {
	work := l.Accepted - p.before
	if work < smallTurn*d.work {
		d.turns = slices.DeleteFunc(d.turns, func(t Turn) bool { return t.Pool == name && t.Start == p.started })
		return
	}
	d.ended = l.At
	rate := work / (float64(l.At-p.started-endWindow/2) / 1000)
	if p.usual == 0 {
		p.usual = rate
	}
	if d.work == 0 {
		d.work = work
	}
	p.usual += turnGain * (rate - p.usual)
	d.work += turnGain * (work - d.work)
}

// Memory is what a later holder of the role needs to know of the demand.
type Memory struct {
	Turns []Turn             `cbor:"1,keyasint,omitempty"`
	Usual map[string]float64 `cbor:"2,keyasint,omitempty"` // rate of a pool's turns
	Work  float64            `cbor:"3,keyasint,omitempty"` // core-seconds of a usual turn
	Ended int64              `cbor:"4,keyasint,omitempty"` // end of the last turn, ms
}

// Shift returns the memory with its times moved by some ms, for another clock.
func (m Memory) Shift(ms int64) Memory {
	m.Turns = slices.Clone(m.Turns)
	for i := range m.Turns {
		m.Turns[i].Start += ms
	}
	if m.Ended != 0 {
		m.Ended += ms
	}
	return m
}

// Memory returns what has been learnt. It changes when a turn begins or ends.
func (d *Demand) Memory() Memory {
	m := Memory{Turns: slices.Clone(d.turns), Usual: map[string]float64{}, Work: d.work, Ended: d.ended}
	for name, p := range d.pools {
		if p.usual > 0 {
			m.Usual[name] = p.usual
		}
	}
	return m
}

// Restore goes on from what an earlier holder of the role has learnt. A turn
// that had not ended goes on.
func (d *Demand) Restore(m Memory) {
	d.turns, d.work, d.ended = slices.Clone(m.Turns), m.Work, m.Ended
	for name, usual := range m.Usual {
		d.pools[name] = &poolDemand{usual: usual}
	}
	for _, t := range m.Turns {
		if t.Start <= m.Ended {
			continue
		}
		p := d.pools[t.Pool]
		if p == nil {
			p = &poolDemand{}
			d.pools[t.Pool] = p
		}
		p.active, p.started, p.inTurn = true, t.Start, d.usualRate(t.Pool)
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

// usualRate returns the rate that a turn of a pool is expected to have: that of
// its own turns, the highest of the others, or a share of the fleet.
func (d *Demand) usualRate(name string) float64 {
	if p := d.pools[name]; p != nil && p.usual > 0 {
		return p.usual
	}
	highest := 0.0
	for _, p := range d.pools {
		highest = max(highest, p.usual)
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
		rate = max(rate, d.usualRate(name))
	} else if p.active {
		rate = max(p.over(endWindow), p.inTurn)
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
	return preparedShare * d.usualRate(name) / float64(len(pools))
}
