// Package estimate learns what the tasks of a queue and class really use, and
// decides what to do with tasks that use more than estimated.
package estimate

import (
	"container/list"
	"sort"
	"time"

	"amaranthfork.example/fleet"
)

const (
	// FullTrust is the number of samples from which the declaration is ignored.
	FullTrust = 20
	// Headroom multiplies estimates of processors and memory.
	Headroom = 1.15
	// quantile of the samples that is taken as the estimate.
	quantile = 0.9
	// window is the number of newest samples kept for each key: 64 samples hold
	// six values above the p90, so that one outlier does not decide.
	window = 64
	// fall is the largest relative decrease of an estimate by one sample. Usage
	// reports lag, so a sample may miss a peak; estimates rise at once and fall
	// slowly.
	fall = 0.05
	// DefaultKeys bounds the number of (queue, class) pairs kept.
	DefaultKeys = 512
)

// Key names what an estimate is for.
type Key struct {
	Queue fleet.QueueName
	Class fleet.Class
}

// Sample is what one ended task used.
type Sample struct {
	Usage   fleet.Resources // peak
	RunTime time.Duration
}

// Estimate is what the next task will probably need.
type Estimate struct {
	Need    fleet.Resources // with headroom
	RunTime time.Duration   // p90, without headroom
	Samples int             // samples behind it
}

// Estimator keeps samples by key, with bounded memory: the key that was not
// used for the longest time is dropped first. It is not safe for concurrent use.
type Estimator struct {
	limit   int
	entries map[Key]*list.Element
	order   *list.List // of *entry, most recently used first
}

type entry struct {
	key     Key
	samples []Sample // ring
	next    int
	seen    int
	current Sample // lagging p90 of each part
}

// New returns an estimator for up to limit keys; 0 means DefaultKeys.
func New(limit int) *Estimator {
	if limit <= 0 {
		limit = DefaultKeys
	}
	return &Estimator{limit: limit, entries: map[Key]*list.Element{}, order: list.New()}
}

// Observe adds a sample.
func (e *Estimator) Observe(key Key, sample Sample) {
	entry := e.entry(key)
	if len(entry.samples) < window {
		entry.samples = append(entry.samples, sample)
	} else {
		entry.samples[entry.next] = sample
		entry.next = (entry.next + 1) % window
	}
	entry.seen++
	entry.update()
}

func (e *Estimator) entry(key Key) *entry {
	if element, ok := e.entries[key]; ok {
		e.order.MoveToFront(element)
		return element.Value.(*entry)
	}
	if e.order.Len() >= e.limit {
		oldest := e.order.Back()
		delete(e.entries, oldest.Value.(*entry).key)
		e.order.Remove(oldest)
	}
	created := &entry{key: key}
	e.entries[key] = e.order.PushFront(created)
	return created
}

func (e *entry) update() {
	first := e.seen == 1
	part := func(old int64, of func(Sample) int64) int64 {
		now := e.quantile(of)
		if first {
			return now
		}
		return max(now, int64(float64(old)*(1-fall)))
	}
	e.current = Sample{
		Usage: fleet.Resources{
			MilliCPU: part(e.current.Usage.MilliCPU, func(s Sample) int64 { return s.Usage.MilliCPU }),
			MemoryMB: part(e.current.Usage.MemoryMB, func(s Sample) int64 { return s.Usage.MemoryMB }),
		},
		RunTime: time.Duration(part(int64(e.current.RunTime), func(s Sample) int64 { return int64(s.RunTime) })),
	}
}

func (e *entry) quantile(of func(Sample) int64) int64 {
	values := make([]int64, len(e.samples))
	for i, s := range e.samples {
		values[i] = of(s)
	}
	sort.Slice(values, func(i, j int) bool { return values[i] < values[j] })
	return values[int(quantile*float64(len(values)-1)+0.5)]
}

// Estimate mixes the observed p90 with the declaration: with n samples below
// FullTrust, the observed value weighs n/FullTrust. Processors and memory get
// the headroom; accelerators are whole devices and stay as declared.
func (e *Estimator) Estimate(key Key, declared fleet.Resources, runTime time.Duration) Estimate {
	element, ok := e.entries[key]
	if !ok {
		return Estimate{Need: declared.Scale(Headroom), RunTime: runTime}
	}
	entry := element.Value.(*entry)
	trust := min(1, float64(entry.seen)/FullTrust)
	mix := func(observed, declared int64) int64 {
		return int64(trust*float64(observed) + (1-trust)*float64(declared))
	}
	need := fleet.Resources{
		MilliCPU:     mix(entry.current.Usage.MilliCPU, declared.MilliCPU),
		MemoryMB:     mix(entry.current.Usage.MemoryMB, declared.MemoryMB),
		Accelerators: declared.Accelerators,
	}
	return Estimate{
		Need:    need.Scale(Headroom),
		RunTime: time.Duration(mix(int64(entry.current.RunTime), int64(runTime))),
		Samples: entry.seen,
	}
}

// Keys returns the number of keys kept.
func (e *Estimator) Keys() int { return e.order.Len() }
