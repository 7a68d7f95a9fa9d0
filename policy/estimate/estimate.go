// Package estimate estimates the resources and run times of tasks from what earlier
// tasks of the same queue and class used. It also decides what to do when the tasks
// of a VM use more than its capacity. It keeps the samples in memory and does no I/O.
package estimate

import (
	"container/list"
	"sort"
	"time"

	"amaranthfork.example/fleet"
)

const (
	// FullTrustSamples is the number of samples from which an estimate no longer
	// depends on the declaration.
	FullTrustSamples = 20
	// HeadroomFactor is the factor by which the estimates of processors and memory
	// are increased.
	HeadroomFactor = 1.15
	// estimateQuantile is the quantile of the samples that is the estimate: the p90.
	estimateQuantile = 0.9
	// windowSamples is the number of newest samples that are kept for each key. Of
	// 64 samples six are above the p90, so that a single outlier does not change it.
	windowSamples = 64
	// maxDecrease is the largest relative decrease of an estimate by one sample.
	// Usage reports lag, so a sample may miss the peak usage of a task; estimates
	// therefore rise at once and fall slowly.
	maxDecrease = 0.05
	// DefaultMaxKeys is the default limit of the (queue, class) pairs that are kept.
	DefaultMaxKeys = 512
)

// Key identifies the tasks that share an estimate.
type Key struct {
	Queue fleet.QueueName
	Class fleet.Class
}

// Sample is the usage of one ended task.
type Sample struct {
	Usage   fleet.Resources // peak usage; accelerators are ignored
	RunTime time.Duration
}

// Estimate is the estimated need of a task.
type Estimate struct {
	Need    fleet.Resources // increased by HeadroomFactor
	RunTime time.Duration   // observed p90 mixed with the declaration; not increased
	Samples int             // number of samples so far
}

// Estimator keeps samples by key. When there are too many keys, it drops the one
// for which no sample has been added for the longest time. It is not safe for
// concurrent use.
type Estimator struct {
	maxKeys int
	records map[Key]*list.Element
	order   *list.List // of *record, the most recently observed first
}

// record holds the samples of one key.
type record struct {
	key         Key
	samples     []Sample // ring buffer of the newest samples
	oldest      int      // index of the oldest sample, once the buffer is full
	sampleCount int      // all samples so far
	laggingP90  Sample   // p90 of each quantity, with its decrease limited by maxDecrease
}

// New returns an estimator for up to limit keys. A limit that is not positive means
// DefaultMaxKeys.
func New(limit int) *Estimator {
	if limit <= 0 {
		limit = DefaultMaxKeys
	}
	return &Estimator{maxKeys: limit, records: map[Key]*list.Element{}, order: list.New()}
}

// Observe adds the sample of an ended task.
func (e *Estimator) Observe(key Key, sample Sample) {
	r := e.record(key)
	if len(r.samples) < windowSamples {
		r.samples = append(r.samples, sample)
	} else {
		r.samples[r.oldest] = sample
		r.oldest = (r.oldest + 1) % windowSamples
	}
	r.sampleCount++
	r.updateEstimate()
}

// record returns the record of a key and creates it if necessary.
func (e *Estimator) record(key Key) *record {
	if element, ok := e.records[key]; ok {
		e.order.MoveToFront(element)
		return element.Value.(*record)
	}
	if e.order.Len() >= e.maxKeys {
		leastRecent := e.order.Back()
		delete(e.records, leastRecent.Value.(*record).key)
		e.order.Remove(leastRecent)
	}
	created := &record{key: key}
	e.records[key] = e.order.PushFront(created)
	return created
}

// updateEstimate computes the p90 of each quantity after a new sample.
func (r *record) updateEstimate() {
	first := r.sampleCount == 1
	limited := func(old int64, of func(Sample) int64) int64 {
		p90 := r.quantile(of)
		if first {
			return p90
		}
		return max(p90, int64(float64(old)*(1-maxDecrease)))
	}
	r.laggingP90 = Sample{
		Usage: fleet.Resources{
			MilliCPU: limited(r.laggingP90.Usage.MilliCPU, func(s Sample) int64 { return s.Usage.MilliCPU }),
			MemoryMB: limited(r.laggingP90.Usage.MemoryMB, func(s Sample) int64 { return s.Usage.MemoryMB }),
		},
		RunTime: time.Duration(limited(int64(r.laggingP90.RunTime), func(s Sample) int64 { return int64(s.RunTime) })),
	}
}

// quantile returns the p90 of one quantity of the samples.
func (r *record) quantile(of func(Sample) int64) int64 {
	values := make([]int64, len(r.samples))
	for i, s := range r.samples {
		values[i] = of(s)
	}
	sort.Slice(values, func(i, j int) bool { return values[i] < values[j] })
	return values[int(estimateQuantile*float64(len(values)-1)+0.5)]
}

// Estimate returns the estimate for the next task of a key, given its declared need
// and run time. With n samples, the observed p90 has the weight n/FullTrustSamples,
// at most 1, and the declaration has the rest. Processors and memory are increased
// by HeadroomFactor; accelerators are whole devices and stay as declared.
func (e *Estimator) Estimate(key Key, declared fleet.Resources, runTime time.Duration) Estimate {
	element, ok := e.records[key]
	if !ok {
		return Estimate{Need: declared.Scale(HeadroomFactor), RunTime: runTime}
	}
	r := element.Value.(*record)
	trust := min(1, float64(r.sampleCount)/FullTrustSamples)
	mix := func(observed, declared int64) int64 {
		return int64(trust*float64(observed) + (1-trust)*float64(declared))
	}
	need := fleet.Resources{
		MilliCPU:     mix(r.laggingP90.Usage.MilliCPU, declared.MilliCPU),
		MemoryMB:     mix(r.laggingP90.Usage.MemoryMB, declared.MemoryMB),
		Accelerators: declared.Accelerators,
	}
	return Estimate{
		Need:    need.Scale(HeadroomFactor),
		RunTime: time.Duration(mix(int64(r.laggingP90.RunTime), int64(runTime))),
		Samples: r.sampleCount,
	}
}

// Keys returns the number of keys for which samples are kept.
func (e *Estimator) Keys() int { return e.order.Len() }
