// Package forecast predicts the demand on each pool for the next seconds. It learns
// how high and how long the demand peaks of each pool are, and which pool tends to
// have its peak after which other one. It does no I/O and knows pools only as
// keys. The number of followed keys is limited, and with it the memory.
package forecast

import (
	"math"
	"time"
)

// Options are the parameters of a Forecaster.
type Options struct {
	MaxKeys                 int           // upper limit of the keys that are followed
	LevelTimeConstant       time.Duration // of the moving average behind Outlook.Level
	MeanTimeConstant        time.Duration // of the moving average behind Outlook.Mean
	PeakStartRatio          float64       // a peak begins when the level exceeds this multiple of the mean
	PeakEndRatio            float64       // a peak ends when the level falls below this multiple of the mean
	LearningWeight          float64       // weight of a new peak in the learned averages, 0 to 1
	MinSuccessorProbability float64       // estimated probability from which a key is expected to have the next peak, 0 to 1
}

// DefaultOptions returns options for demand peaks of some seconds.
func DefaultOptions() Options {
	return Options{
		MaxKeys:                 64,
		LevelTimeConstant:       time.Second,
		MeanTimeConstant:        3 * time.Minute,
		PeakStartRatio:          2,
		PeakEndRatio:            0.7,
		LearningWeight:          0.25,
		MinSuccessorProbability: 0.5,
	}
}

// Outlook is the forecast for one key. Levels have the unit of the observed values.
type Outlook struct {
	Level         float64       // present level
	Mean          float64       // long-term mean
	ExpectedLevel float64       // level expected within the horizon
	PeakLevel     float64       // usual level of a peak; 0 before the end of the first peak
	InPeak        bool          // a peak is under way
	PeakImminent  bool          // a peak is expected to begin within the horizon
	PeakRemaining time.Duration // expected remaining length of the peak, or its whole length if it is imminent
}

// series holds the averages and the learned peaks of one key.
type series struct {
	lastObserved     time.Time
	level            float64 // present level, a fast moving average
	mean             float64 // long-term mean, a slow moving average
	meanSeconds      float64 // span of the observations behind mean, at most MeanTimeConstant
	inPeak           bool
	peakBegan        time.Time          // start of the present or last peak
	peakLevelSum     float64            // sum of the levels observed in that peak
	peakSamples      int                // observations in that peak
	peakLevel        float64            // learned level of a peak
	peakSeconds      float64            // learned length of a peak
	peaks            int                // ended peaks
	successorWeights map[string]float64 // by key: estimated probability that its peak begins next, 0 to 1
	successorSeconds float64            // learned time from the start of a peak to the start of the next key's peak
}

// Forecaster follows a bounded number of keys. It is not safe for concurrent use.
type Forecaster struct {
	options   Options
	keys      map[string]*series
	lastKey   string    // key whose peak began last, "" if none
	lastBegan time.Time // when that peak began
}

// New returns a Forecaster that follows no key yet.
func New(o Options) *Forecaster {
	return &Forecaster{options: o, keys: make(map[string]*series)}
}

// Observe records the demand of a key at the time now. The times of a key must not
// decrease. It returns false and drops the value if the key is new and MaxKeys keys
// are already followed.
func (f *Forecaster) Observe(key string, now time.Time, value float64) bool {
	s := f.keys[key]
	if s == nil {
		if len(f.keys) >= f.options.MaxKeys {
			return false
		}
		s = &series{lastObserved: now, level: value, successorWeights: make(map[string]float64)}
		f.keys[key] = s
	}
	s.add(now, value, f.options)
	f.trackPeak(key, s, now)
	return true
}

// Forget drops a key whose pool no longer exists.
func (f *Forecaster) Forget(key string) {
	delete(f.keys, key)
	for _, s := range f.keys {
		delete(s.successorWeights, key)
	}
	if f.lastKey == key {
		f.lastKey = ""
	}
}

// add updates the moving averages. Until the observations span MeanTimeConstant, the
// mean gives all of them the same weight, so that the first values do not bias it.
func (s *series) add(now time.Time, value float64, o Options) {
	dt := now.Sub(s.lastObserved).Seconds()
	s.lastObserved = now
	s.level += float64((value - s.level) * (1 - math.Exp(-dt/o.LevelTimeConstant.Seconds())))
	s.meanSeconds = min(s.meanSeconds+dt, o.MeanTimeConstant.Seconds())
	if s.meanSeconds > 0 {
		s.mean += float64((value - s.mean) * min(1, dt/s.meanSeconds))
	} else {
		s.mean = value
	}
}

// trackPeak detects the start and the end of peaks and learns from them.
func (f *Forecaster) trackPeak(key string, s *series, now time.Time) {
	switch {
	case !s.inPeak && s.mean > 0 && s.level > f.options.PeakStartRatio*s.mean:
		s.inPeak, s.peakBegan, s.peakLevelSum, s.peakSamples = true, now, 0, 0
		f.learnSuccessor(key, now)
	case s.inPeak && s.level < f.options.PeakEndRatio*s.mean:
		s.inPeak = false
		f.learnPeak(s, now)
	}
	if s.inPeak {
		s.peakLevelSum += s.level
		s.peakSamples++
	}
}

// learnSuccessor records that the peak of key followed that of lastKey.
func (f *Forecaster) learnSuccessor(key string, now time.Time) {
	if last := f.keys[f.lastKey]; last != nil && f.lastKey != key {
		for k := range last.successorWeights {
			last.successorWeights[k] *= 1 - f.options.LearningWeight
		}
		last.successorWeights[key] += f.options.LearningWeight
		gap := now.Sub(f.lastBegan).Seconds()
		last.successorSeconds = movingAverage(last.successorSeconds, gap, f.options.LearningWeight)
	}
	f.lastKey, f.lastBegan = key, now
}

// learnPeak adds a peak that has just ended to the learned averages.
func (f *Forecaster) learnPeak(s *series, now time.Time) {
	s.peaks++
	s.peakSeconds = movingAverage(s.peakSeconds, now.Sub(s.peakBegan).Seconds(), f.options.LearningWeight)
	s.peakLevel = movingAverage(s.peakLevel, s.peakLevelSum/float64(max(1, s.peakSamples)), f.options.LearningWeight)
}

// movingAverage returns the average after one more sample. An average of 0 has no
// samples yet.
func movingAverage(old, sample, weight float64) float64 {
	if old == 0 {
		return sample
	}
	return old + float64((sample-old)*weight)
}

// Outlook returns the forecast for a key from now to the horizon, or the zero
// Outlook if the key is not followed.
func (f *Forecaster) Outlook(key string, now time.Time, horizon time.Duration) Outlook {
	s := f.keys[key]
	if s == nil {
		return Outlook{}
	}
	o := Outlook{Level: s.level, Mean: s.mean, ExpectedLevel: s.level, PeakLevel: s.peakLevel, InPeak: s.inPeak}
	switch {
	case s.inPeak:
		remaining := max(0, s.peakSeconds-now.Sub(s.peakBegan).Seconds())
		o.PeakRemaining = seconds(remaining)
		o.ExpectedLevel = max(s.level, s.peakLevel)
	case f.expectsPeak(key, now, horizon):
		o.PeakImminent = true
		o.PeakRemaining = seconds(s.peakSeconds)
		o.ExpectedLevel = max(s.level, s.peakLevel)
	}
	return o
}

// expectsPeak reports whether the next peak is expected to be that of key and to
// begin within the horizon. A peak that is overdue by half the usual time between
// the two peaks is no longer expected.
func (f *Forecaster) expectsPeak(key string, now time.Time, horizon time.Duration) bool {
	last := f.keys[f.lastKey]
	if last == nil || last.successorSeconds == 0 || last.successorWeights[key] < f.options.MinSuccessorProbability {
		return false
	}
	dueIn := last.successorSeconds - now.Sub(f.lastBegan).Seconds()
	return dueIn <= horizon.Seconds() && dueIn > -last.successorSeconds/2
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
