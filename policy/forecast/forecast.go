// Package forecast predicts the demand on each pool for the next seconds. It
// remembers how high and how long each pool's bursts are, and which pool tends
// to burst after which (turn-taking). Memory is bounded by the number of keys.
package forecast

import (
	"math"
	"time"
)

// Options are the time constants and thresholds of a Forecaster.
type Options struct {
	MaxKeys int           // keys beyond this number are not followed
	Fast    time.Duration // time constant of the present level
	Slow    time.Duration // time constant of the mean
	Enter   float64       // a burst begins above this multiple of the mean
	Leave   float64       // a burst ends below this multiple of the mean
	Learn   float64       // weight of a new burst in the learned figures, 0 to 1
	Certain float64       // probability from which a successor is expected, 0 to 1
}

// DefaultOptions returns options for bursts of some seconds.
func DefaultOptions() Options {
	return Options{
		MaxKeys: 64,
		Fast:    time.Second,
		Slow:    3 * time.Minute,
		Enter:   2,
		Leave:   0.7,
		Learn:   0.25,
		Certain: 0.5,
	}
}

// Outlook is the forecast for one key. Levels have the unit of the observations.
type Outlook struct {
	Level    float64       // present level
	Mean     float64       // long-term mean
	Expected float64       // level expected within the horizon
	Peak     float64       // usual level of a burst, 0 before the first
	Bursting bool          // a burst is under way
	Imminent bool          // a burst is expected to begin within the horizon
	Ends     time.Duration // expected remaining length of the burst, or its length when imminent
}

// series is what is remembered of one key.
type series struct {
	seen     time.Time
	level    float64
	mean     float64
	weight   float64 // of the observations behind mean
	bursting bool
	began    time.Time
	top      float64 // sum of the levels of this burst
	samples  int
	peak     float64
	length   float64 // seconds
	bursts   int
	next     map[string]float64 // weight of each successor
	interval float64            // seconds from the begin of a burst to the successor's
}

// Forecaster follows a bounded number of keys. It is not safe for concurrent use.
type Forecaster struct {
	o      Options
	keys   map[string]*series
	last   string    // key whose burst began last
	lastAt time.Time // when it began
}

// New returns a Forecaster without memory.
func New(o Options) *Forecaster {
	return &Forecaster{o: o, keys: make(map[string]*series)}
}

// Observe takes the demand of a key at a time. Times of a key must not go back.
// An observation of a new key beyond MaxKeys is dropped and reported as false.
func (f *Forecaster) Observe(key string, now time.Time, value float64) bool {
	s := f.keys[key]
	if s == nil {
		if len(f.keys) >= f.o.MaxKeys {
			return false
		}
		s = &series{seen: now, level: value, next: make(map[string]float64)}
		f.keys[key] = s
	}
	s.add(now, value, f.o)
	f.followBurst(key, s, now)
	return true
}

// Forget drops a key, for pools that no longer exist.
func (f *Forecaster) Forget(key string) {
	delete(f.keys, key)
	for _, s := range f.keys {
		delete(s.next, key)
	}
	if f.last == key {
		f.last = ""
	}
}

// add updates the moving averages. The mean counts all observations alike until
// they span the slow time constant, so that the first values do not bias it.
func (s *series) add(now time.Time, value float64, o Options) {
	dt := now.Sub(s.seen).Seconds()
	s.seen = now
	s.level += (value - s.level) * (1 - math.Exp(-dt/o.Fast.Seconds()))
	s.weight = min(s.weight+dt, o.Slow.Seconds())
	if s.weight > 0 {
		s.mean += (value - s.mean) * min(1, dt/s.weight)
	} else {
		s.mean = value
	}
}

// followBurst detects the begin and end of bursts and learns from them.
func (f *Forecaster) followBurst(key string, s *series, now time.Time) {
	switch {
	case !s.bursting && s.mean > 0 && s.level > f.o.Enter*s.mean:
		s.bursting, s.began, s.top, s.samples = true, now, 0, 0
		f.learnTurn(key, now)
	case s.bursting && s.level < f.o.Leave*s.mean:
		s.bursting = false
		f.learnBurst(s, now)
	}
	if s.bursting {
		s.top += s.level
		s.samples++
	}
}

func (f *Forecaster) learnTurn(key string, now time.Time) {
	if p := f.keys[f.last]; p != nil && f.last != key {
		for k := range p.next {
			p.next[k] *= 1 - f.o.Learn
		}
		p.next[key] += f.o.Learn
		gap := now.Sub(f.lastAt).Seconds()
		p.interval = learn(p.interval, gap, f.o.Learn)
	}
	f.last, f.lastAt = key, now
}

func (f *Forecaster) learnBurst(s *series, now time.Time) {
	s.bursts++
	s.length = learn(s.length, now.Sub(s.began).Seconds(), f.o.Learn)
	s.peak = learn(s.peak, s.top/float64(max(1, s.samples)), f.o.Learn)
}

func learn(old, sample, weight float64) float64 {
	if old == 0 {
		return sample
	}
	return old + (sample-old)*weight
}

// Outlook returns the forecast for a key within the horizon; the zero Outlook
// for a key that is not followed.
func (f *Forecaster) Outlook(key string, now time.Time, horizon time.Duration) Outlook {
	s := f.keys[key]
	if s == nil {
		return Outlook{}
	}
	o := Outlook{Level: s.level, Mean: s.mean, Expected: s.level, Peak: s.peak, Bursting: s.bursting}
	switch {
	case s.bursting:
		left := max(0, s.length-now.Sub(s.began).Seconds())
		o.Ends = seconds(left)
		o.Expected = max(s.level, s.peak)
	case f.expects(key, now, horizon):
		o.Imminent = true
		o.Ends = seconds(s.length)
		o.Expected = max(s.level, s.peak)
	}
	return o
}

// expects reports whether the key's turn is due within the horizon. A turn
// that is overdue by half its interval is no longer expected.
func (f *Forecaster) expects(key string, now time.Time, horizon time.Duration) bool {
	p := f.keys[f.last]
	if p == nil || p.interval == 0 || p.next[key] < f.o.Certain {
		return false
	}
	due := p.interval - now.Sub(f.lastAt).Seconds()
	return due <= horizon.Seconds() && due > -p.interval/2
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
