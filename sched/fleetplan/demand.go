package fleetplan

import (
	"math"
	"slices"
	"sort"

	"amaranthfork.example/sched/pool"
)

// Parameters of the demand model. Rates are core-seconds of work accepted per
// second, that is, the number of cores that a pool needs to keep up.
const (
	// rateWindowMS is the window of the current rate, by which the start of a peak
	// is detected. It spans a few load reports.
	rateWindowMS = 700
	// peakEndWindowMS is the window of the rate by which the end of a peak is
	// detected. A peak consists of few large jobs, so over a shorter window it
	// would seem to end between two of them.
	peakEndWindowMS        = 1200
	meanRateTimeConstantMS = 12e3
	// peakMeanFactor is the ratio of a pool's rate to its mean at which a peak begins.
	peakMeanFactor = 2.0
	// peakFleetFraction is the minimum rate of a peak, as a fraction of the fleet's
	// cores.
	peakFleetFraction = 0.15
	// minPeakMS is the minimum duration of a peak.
	minPeakMS = 2000
	// minPeakWorkFraction is the fraction of a usual peak's work below which a peak
	// is treated as a burst, which does not count in the order of peaks.
	minPeakWorkFraction = 0.33
	// initialPeakFraction is the expected rate of a peak, as a fraction of the
	// fleet's cores, until a complete peak has been observed.
	initialPeakFraction = 0.4
	// peakRiseMS is how long after its start a peak is assumed to reach at least
	// its usual rate.
	peakRiseMS = 2000
	// nextPeakWindowMS is how long after the end of a peak the next one is
	// prepared for.
	nextPeakWindowMS = 5000
	// maxNextPools is the largest number of pools that are prepared at a time.
	maxNextPools = 3
	// prepareFactor scales the cores prepared for each pool that may be next,
	// relative to an even share of a peak's usual rate.
	prepareFactor = 1.5
	// peakEndFraction is the fraction of a peak's mean rate below which it has ended.
	peakEndFraction = 0.5
	// peakLearningRate is the weight of the last peak in the usual rate and work.
	peakLearningRate = 0.5
	// backlogTimeS is the time in which a backlog should be completed.
	backlogTimeS = 3.0
	// lateBacklogTimeS is the same for jobs that will miss their objective anyway: a VM
	// that is switched on for them costs about as much as they are worth.
	lateBacklogTimeS = 10.0
	// rateHeadroomFactor allows for estimates that are too low and for capacity
	// left unused between tasks.
	rateHeadroomFactor = 1.15
	// silentAfterMS is the least age of a load report above which the pool's owner counts
	// as silent, and silentAfterReports the same in usual times between two of its reports.
	silentAfterMS      = 1000
	silentAfterReports = 3
	// maxSilenceMS is the age of a load report above which the demand of a pool is no
	// longer assumed to go on. Owners are replaced sooner.
	maxSilenceMS = 6000
	// risingPeakFraction is the fraction of the minimum rate of a peak from which on a
	// rising rate is assumed to go on rising while the pool's owner is silent.
	risingPeakFraction = 1.0 / 3
	maxPeaks           = 32 // kept over all pools
	maxSamples         = 24 // span more than peakEndWindowMS, even if half of the load reports come early
)

// sample is one load report of a pool.
type sample struct {
	atMS     int64   // Unix milliseconds
	accepted float64 // core-seconds accepted since the pool's owner took over
}

// poolDemand is what the model knows of one pool.
type poolDemand struct {
	samples  []sample
	epoch    int64   // of the pool's owner
	rate     float64 // cores, over rateWindowMS
	meanRate float64 // cores

	inPeak         bool
	peakStartMS    int64   // Unix milliseconds
	acceptedBefore float64 // core-seconds accepted before the peak
	peakRate       float64 // mean rate of the peak so far, in cores
	usualPeakRate  float64 // cores; 0 until a complete peak has been observed
}

// Peak is a demand peak: a period in which one pool's demand is far above its mean.
type Peak struct {
	Pool    string `cbor:"1,keyasint"`
	StartMS int64  `cbor:"2,keyasint"` // Unix milliseconds
}

// Demand tracks the demand of all pools and predicts which pools have the next
// peak. It is not safe for concurrent use.
type Demand struct {
	pools         map[string]*poolDemand
	peaks         []Peak  // oldest first
	fleetCores    float64 // cores of all VMs
	lastPeakEndMS int64   // Unix milliseconds; 0 before the first
	usualPeakWork float64 // core-seconds
}

// NewDemand returns a model without observations.
func NewDemand() *Demand { return &Demand{pools: map[string]*poolDemand{}} }

// Observe updates the model with the load reports of all pools that are not
// standby pools, and with the number of cores of the whole fleet.
func (d *Demand) Observe(loads map[string]pool.LoadReport, standby map[string]bool, fleetCores float64) {
	d.fleetCores = fleetCores
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

func (d *Demand) observe(name string, l pool.LoadReport) {
	p := d.pools[name]
	if p == nil {
		p = &poolDemand{}
		d.pools[name] = p
	}
	if l.Epoch != p.epoch {
		// A new owner counts accepted work from zero. The peak up to now is
		// assumed to have had its last known mean rate, and at least the usual
		// one if it was still rising.
		p.epoch = l.Epoch
		if n := len(p.samples); n > 0 && p.inPeak && p.samples[n-1].atMS < p.peakStartMS+peakRiseMS {
			p.peakRate = max(p.peakRate, d.expectedPeakRate(name))
		}
		p.samples = nil
		p.acceptedBefore = l.AcceptedCoreSeconds - p.peakRate*float64(l.AtMS-p.peakStartMS)/1000
	}
	if n := len(p.samples); n > 0 && p.samples[n-1].atMS >= l.AtMS {
		return
	}
	p.samples = append(p.samples, sample{l.AtMS, l.AcceptedCoreSeconds})
	if len(p.samples) > maxSamples {
		p.samples = p.samples[1:]
	}
	p.updateRates()
	d.detectPeak(name, p, l)
}

// rateOver returns the rate over the last windowMS milliseconds, in cores.
func (p *poolDemand) rateOver(windowMS int64) float64 {
	last := p.samples[len(p.samples)-1]
	first := 0
	for first < len(p.samples)-2 && p.samples[first+1].atMS <= last.atMS-windowMS {
		first++
	}
	elapsed := last.atMS - p.samples[first].atMS
	if elapsed <= 0 {
		return 0
	}
	return (last.accepted - p.samples[first].accepted) / (float64(elapsed) / 1000)
}

// updateRates updates the current rate, the mean rate and the rate of the peak.
func (p *poolDemand) updateRates() {
	n := len(p.samples)
	if n < 2 {
		return
	}
	now := p.samples[n-1]
	p.rate = p.rateOver(rateWindowMS)
	step := float64(now.atMS - p.samples[n-2].atMS)
	p.meanRate += (p.rate - p.meanRate) * (1 - math.Exp(-step/meanRateTimeConstantMS))
	if p.inPeak {
		p.peakRate = (now.accepted - p.acceptedBefore) / (float64(max(rateWindowMS, now.atMS-p.peakStartMS)) / 1000)
	}
}

// detectPeak records the start or end of a peak of the pool.
func (d *Demand) detectPeak(name string, p *poolDemand, l pool.LoadReport) {
	switch {
	case p.inPeak && l.AtMS-max(p.peakStartMS+minPeakMS-peakEndWindowMS, p.samples[0].atMS) >= peakEndWindowMS && p.rateOver(peakEndWindowMS) < peakEndFraction*p.peakRate:
		p.inPeak = false
		d.peakEnded(name, p, l)
	case !p.inPeak && d.fleetCores > 0 && p.rate >= peakFleetFraction*d.fleetCores && p.rate >= peakMeanFactor*p.meanRate:
		p.inPeak = true
		p.peakStartMS = l.AtMS - rateWindowMS/2
		p.acceptedBefore = l.AcceptedCoreSeconds - p.rate*rateWindowMS/1000
		p.peakRate = p.rate
		d.peaks = append(d.peaks, Peak{name, p.peakStartMS})
		if len(d.peaks) > maxPeaks {
			d.peaks = d.peaks[1:]
		}
	}
}

// peakEnded updates the usual rate and work of peaks with one that has ended.
// A burst is removed from the list of peaks instead.
func (d *Demand) peakEnded(name string, p *poolDemand, l pool.LoadReport) {
	work := l.AcceptedCoreSeconds - p.acceptedBefore
	if work < minPeakWorkFraction*d.usualPeakWork {
		d.peaks = slices.DeleteFunc(d.peaks, func(peak Peak) bool { return peak.Pool == name && peak.StartMS == p.peakStartMS })
		return
	}
	d.lastPeakEndMS = l.AtMS
	rate := work / (float64(l.AtMS-p.peakStartMS-peakEndWindowMS/2) / 1000)
	if p.usualPeakRate == 0 {
		p.usualPeakRate = rate
	}
	if d.usualPeakWork == 0 {
		d.usualPeakWork = work
	}
	p.usualPeakRate += peakLearningRate * (rate - p.usualPeakRate)
	d.usualPeakWork += peakLearningRate * (work - d.usualPeakWork)
}

// DemandState is the state of the demand model that the next holder of the fleet
// role restores.
type DemandState struct {
	Peaks            []Peak             `cbor:"1,keyasint,omitempty"`
	UsualRates       map[string]float64 `cbor:"2,keyasint,omitempty"` // usual rate of a peak in cores, by pool
	UsualCoreSeconds float64            `cbor:"3,keyasint,omitempty"` // of a peak, in core-seconds
	LastPeakEndMS    int64              `cbor:"4,keyasint,omitempty"` // end of the last peak, Unix milliseconds
}

// Shift returns a copy whose times are moved by some milliseconds, to convert
// them to another clock.
func (s DemandState) Shift(ms int64) DemandState {
	s.Peaks = slices.Clone(s.Peaks)
	for i := range s.Peaks {
		s.Peaks[i].StartMS += ms
	}
	if s.LastPeakEndMS != 0 {
		s.LastPeakEndMS += ms
	}
	return s
}

// State returns the state to store. It changes only when a peak begins or ends.
func (d *Demand) State() DemandState {
	s := DemandState{Peaks: slices.Clone(d.peaks), UsualRates: map[string]float64{}, UsualCoreSeconds: d.usualPeakWork, LastPeakEndMS: d.lastPeakEndMS}
	for name, p := range d.pools {
		if p.usualPeakRate > 0 {
			s.UsualRates[name] = p.usualPeakRate
		}
	}
	return s
}

// Restore continues from the state that an earlier holder of the role stored. A
// peak without a recorded end is assumed to be in progress.
func (d *Demand) Restore(s DemandState) {
	d.peaks, d.usualPeakWork, d.lastPeakEndMS = slices.Clone(s.Peaks), s.UsualCoreSeconds, s.LastPeakEndMS
	for name, rate := range s.UsualRates {
		d.pools[name] = &poolDemand{usualPeakRate: rate}
	}
	for _, peak := range s.Peaks {
		if peak.StartMS <= s.LastPeakEndMS {
			continue
		}
		p := d.pools[peak.Pool]
		if p == nil {
			p = &poolDemand{}
			d.pools[peak.Pool] = p
		}
		p.inPeak, p.peakStartMS, p.peakRate = true, peak.StartMS, d.expectedPeakRate(peak.Pool)
	}
}

// NextPools returns the pools that may have the next peak, in order of name. Peaks
// follow each other: for some time after one has ended, the next may begin in any
// pool that has had none yet or, if all have had one, in the pool whose last peak
// is longest ago. The result is empty during a peak and when too many pools may
// be next. nowMS is in Unix milliseconds.
func (d *Demand) NextPools(nowMS int64) []string {
	if d.lastPeakEndMS == 0 || nowMS > d.lastPeakEndMS+nextPeakWindowMS {
		return nil
	}
	last := map[string]int64{} // start of the last peak, by pool
	for _, peak := range d.peaks {
		last[peak.Pool] = peak.StartMS
	}
	var pools []string
	oldest := ""
	for name, p := range d.pools {
		start, found := last[name]
		switch {
		case p.inPeak:
			return nil
		case !found:
			pools = append(pools, name)
		case oldest == "" || start < last[oldest] || start == last[oldest] && name < oldest:
			oldest = name
		}
	}
	if len(pools) == 0 && oldest != "" {
		pools = append(pools, oldest)
	}
	if len(pools) > maxNextPools {
		return nil
	}
	sort.Strings(pools)
	return pools
}

// expectedPeakRate returns the expected rate of a peak of the pool in cores: the
// usual rate of its own peaks, the highest of the other pools, or a fraction of the
// fleet's cores.
func (d *Demand) expectedPeakRate(name string) float64 {
	if p := d.pools[name]; p != nil && p.usualPeakRate > 0 {
		return p.usualPeakRate
	}
	highest := 0.0
	for _, p := range d.pools {
		highest = max(highest, p.usualPeakRate)
	}
	if highest > 0 {
		return highest
	}
	return initialPeakFraction * d.fleetCores
}

// silenceMS returns how long the work of a pool with a silent owner has gone unreported,
// in milliseconds. The result is 0 if the owner is not silent, or for so long that nothing
// can be assumed.
func (d *Demand) silenceMS(name string, l pool.LoadReport, nowMS int64) int64 {
	age, limit := nowMS-l.AtMS, int64(silentAfterMS)
	if p := d.pools[name]; p != nil && len(p.samples) > 1 {
		usual := (p.samples[len(p.samples)-1].atMS - p.samples[0].atMS) / int64(len(p.samples)-1)
		limit = max(limit, silentAfterReports*usual)
	}
	if age <= limit || age > maxSilenceMS {
		return 0
	}
	return age
}

// RequiredCores returns the cores that a pool needs for all but its long-running
// tasks: for jobs that can still meet their objective, and besides for those that will
// be late. While the pool's owner is silent, the demand is assumed to go on, and its work
// to wait for the next owner; after maxSilenceMS the figures are those of its last report.
// nowMS is in Unix milliseconds.
func (d *Demand) RequiredCores(name string, l pool.LoadReport, nowMS int64) (inTime, late float64) {
	p := d.pools[name]
	if p == nil {
		return 0, 0
	}
	silence := d.silenceMS(name, l, nowMS)
	reportedMS := nowMS
	if silence > 0 {
		reportedMS = l.AtMS
	}
	rate := p.rate
	switch {
	case p.inPeak && reportedMS < p.peakStartMS+peakRiseMS:
		rate = max(rate, d.expectedPeakRate(name))
	case p.inPeak:
		rate = max(p.rateOver(peakEndWindowMS), p.peakRate)
	case silence > 0:
		rate = max(rate, min(d.risingRate(p, silence), d.expectedPeakRate(name)))
	}
	backlog := l.BacklogCoreSeconds + rate*float64(silence)/1000
	return rate*rateHeadroomFactor + max(0, backlog-rate)/backlogTimeS, l.LateCoreSeconds / lateBacklogTimeS
}

// risingRate returns the rate of a pool some milliseconds after its last report, in
// cores, if its rate rises as at that time. The result is 0 if it did not rise towards a
// peak.
func (d *Demand) risingRate(p *poolDemand, afterMS int64) float64 {
	if len(p.samples) < 3 || p.rate < peakMeanFactor*p.meanRate || p.rate < risingPeakFraction*peakFleetFraction*d.fleetCores {
		return 0
	}
	recent := p.rateOver(rateWindowMS / 2)
	if recent <= p.rate {
		return 0
	}
	// The mean rates over a window and over its second half are a quarter of it apart.
	return recent + (recent-p.rate)*float64(afterMS)/(rateWindowMS/4)
}

// PreparedCores returns the cores that a pool should have because a peak of it
// may begin, or 0. nowMS is in Unix milliseconds.
func (d *Demand) PreparedCores(name string, nowMS int64) float64 {
	pools := d.NextPools(nowMS)
	if !slices.Contains(pools, name) {
		return 0
	}
	return prepareFactor * d.expectedPeakRate(name) / float64(len(pools))
}
