// Package metrics counts events and keeps histograms of durations by team and class.
// The values are expvar variables in a registry for each entry instead of global
// ones, so that several entries can run in one process.
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

// Kinds of histograms.
const (
	StartDelay   = "start_delay"   // from the time a step was queued until its start on the worker
	RunTime      = "run_time"      // of one step on the worker
	DirectTime   = "direct_time"   // of one direct request, with its retries
	ApplyInForce = "apply_inforce" // from the start of applying a change until it is in force on all entries
)

const (
	resolution  = time.Millisecond
	maxDuration = 24 * time.Hour
	// One significant figure keeps 882 histograms (98 teams, 3 classes, 3
	// kinds) within the memory budget of 32 MB per entry; two figures need 8
	// times as much.
	significantFigures = 1
	// recentWindow is the length of the two windows, the current and the previous
	// one, behind the recent values of a Summary, on which capacity warnings are based.
	recentWindow = time.Minute
)

type histogramKey struct {
	kind  string
	team  fleet.TeamName
	class fleet.Class
}

// series holds the values of one kind, team and class.
type series struct {
	total     *hdrhistogram.Histogram
	recent    *hdrhistogram.Histogram // since rotatedAt
	previous  *hdrhistogram.Histogram // of the window before
	rotatedAt time.Time
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
	r.vars.Set("latency_ms", expvar.Func(func() any { return r.Summaries() }))
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

// Publish adds a variable whose value fn computes whenever the metrics are read. The
// value must be encodable as JSON.
func (r *Registry) Publish(name string, fn func() any) { r.vars.Set(name, expvar.Func(fn)) }

// Observe records a duration in milliseconds. Durations under 1 ms count as 1 ms, and
// those over a day as a day.
func (r *Registry) Observe(kind string, team fleet.TeamName, class fleet.Class, d time.Duration) {
	value := min(max(int64(d/resolution), 1), int64(maxDuration/resolution))
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
		s = &series{total: newHistogram(), recent: newHistogram(), previous: newHistogram(), rotatedAt: now}
		r.series[key] = s
	}
	return s
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, int64(maxDuration/resolution), significantFigures)
}

// rotate starts a new window if the current one is over.
func (s *series) rotate(now time.Time) {
	age := now.Sub(s.rotatedAt)
	if age < recentWindow {
		return
	}
	s.previous, s.recent = s.recent, s.previous
	s.recent.Reset()
	if age >= 2*recentWindow {
		s.previous.Reset()
	}
	s.rotatedAt = now
}

// Summary describes one histogram. Its quantiles are in milliseconds.
type Summary struct {
	Kind  string         `json:"kind"`
	Team  fleet.TeamName `json:"team"`
	Class fleet.Class    `json:"class"`
	Count int64          `json:"count"`
	P50   int64          `json:"p50"`
	P99   int64          `json:"p99"`
	// RecentCount and RecentP99 cover the last one to two minutes. RecentP99 is the
	// larger of the values of the two windows.
	RecentCount int64 `json:"recentCount"`
	RecentP99   int64 `json:"recentP99"`
}

// Summaries returns the summaries of all histograms, sorted by kind, team and class.
func (r *Registry) Summaries() []Summary {
	now := r.clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Summary, 0, len(r.series))
	for key, s := range r.series {
		s.rotate(now)
		list = append(list, Summary{
			Kind: key.kind, Team: key.team, Class: key.class,
			Count:       s.total.TotalCount(),
			P50:         s.total.ValueAtQuantile(50),
			P99:         s.total.ValueAtQuantile(99),
			RecentCount: s.recent.TotalCount() + s.previous.TotalCount(),
			RecentP99:   max(s.recent.ValueAtQuantile(99), s.previous.ValueAtQuantile(99)),
		})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].sortKey() < list[j].sortKey() })
	return list
}

func (s Summary) sortKey() string { return fmt.Sprintf("%s/%s/%s", s.Kind, s.Team, s.Class) }

// ServeHTTP writes all variables as one JSON object.
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	_, _ = fmt.Fprintln(w, r.vars.String())
}
