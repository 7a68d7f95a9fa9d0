// Package metrics counts events and keeps histograms by team and class. The
// values are expvar variables of one entry, so that several entries can run in
// one process.
package metrics

import (
	"expvar"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"amaranthfork.example/fleet"
)

// Kinds of histograms. All hold durations.
const (
	StartDelay   = "start_delay"   // from the time a step was queued until its start on the worker
	RunTime      = "run_time"      // of one step on the worker
	DirectTime   = "direct_time"   // of one direct request
	ApplyInForce = "apply_inforce" // from commit until in force everywhere
)

const (
	resolution = time.Millisecond
	longest    = 24 * time.Hour
	// One significant figure keeps 882 histograms (98 teams, 3 classes, 3
	// kinds) within the 32 MB that a node may spend; two figures need 8 times
	// as much.
	significantFigures = 1
	// recentWindow is the length of the windows that warnings look at.
	recentWindow = time.Minute
)

type histogramKey struct {
	kind  string
	team  fleet.TeamName
	class fleet.Class
}

type series struct {
	total   *hdrhistogram.Histogram
	recent  *hdrhistogram.Histogram
	before  *hdrhistogram.Histogram
	rotated time.Time
}

// Registry holds the metrics of one entry.
type Registry struct {
	clock fleet.Clock
	vars  *expvar.Map

	mu     sync.Mutex
	series map[histogramKey]*series
}

// New returns an empty registry.
func New(clock fleet.Clock) *Registry {
	r := &Registry{clock: clock, vars: new(expvar.Map).Init(), series: map[histogramKey]*series{}}
	r.vars.Set("latency_ms", expvar.Func(func() any { return r.Quantiles() }))
	return r
}

// Add adds delta to a counter.
func (r *Registry) Add(name string, delta int64) { r.vars.Add(name, delta) }

// Count returns a counter's value.
func (r *Registry) Count(name string) int64 {
	if v, ok := r.vars.Get(name).(*expvar.Int); ok {
		return v.Value()
	}
	return 0
}

// Publish adds a variable that is computed when the metrics are read.
func (r *Registry) Publish(name string, fn func() any) { r.vars.Set(name, expvar.Func(fn)) }

// Observe records a duration. Durations over a day count as a day.
func (r *Registry) Observe(kind string, team fleet.TeamName, class fleet.Class, d time.Duration) {
	value := min(max(int64(d/resolution), 1), int64(longest/resolution))
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.seriesFor(histogramKey{kind, team, class}, now)
	s.rotate(now)
	_ = s.total.RecordValue(value)
	_ = s.recent.RecordValue(value)
}

func (r *Registry) seriesFor(key histogramKey, now time.Time) *series {
	s, ok := r.series[key]
	if !ok {
		s = &series{total: newHistogram(), recent: newHistogram(), before: newHistogram(), rotated: now}
		r.series[key] = s
	}
	return s
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(longest/resolution), significantFigures)
}

func (s *series) rotate(now time.Time) {
	age := now.Sub(s.rotated)
	if age < recentWindow {
		return
	}
	s.before, s.recent = s.recent, s.before
	s.recent.Reset()
	if age >= 2*recentWindow {
		s.before.Reset()
	}
	s.rotated = now
}

// Quantile describes one histogram; all durations are in milliseconds.
type Quantile struct {
	Kind  string         `json:"kind"`
	Team  fleet.TeamName `json:"team"`
	Class fleet.Class    `json:"class"`
	Count int64          `json:"count"`
	P50   int64          `json:"p50"`
	P99   int64          `json:"p99"`
	// Over the last one to two minutes.
	RecentCount int64 `json:"recentCount"`
	RecentP99   int64 `json:"recentP99"`
}

// Quantiles returns all histograms, ordered by kind, team and class.
func (r *Registry) Quantiles() []Quantile {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Quantile, 0, len(r.series))
	for key, s := range r.series {
		s.rotate(now)
		list = append(list, Quantile{
			Kind: key.kind, Team: key.team, Class: key.class,
			Count:       s.total.TotalCount(),
			P50:         s.total.ValueAtQuantile(50),
			P99:         s.total.ValueAtQuantile(99),
			RecentCount: s.recent.TotalCount() + s.before.TotalCount(),
			RecentP99:   max(s.recent.ValueAtQuantile(99), s.before.ValueAtQuantile(99)),
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].order() < list[j].order() })
	return list
}

func (q Quantile) order() string { return fmt.Sprintf("%s/%s/%s", q.Kind, q.Team, q.Class) }

// ServeHTTP writes all variables as one JSON object.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = fmt.Fprintln(w, r.vars.String())
}
