package node

import (
	"encoding/json"
	"expvar"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"amaranthfork.example/sched/pool"
)

// Names and parameters of histograms.
const (
	metricSubmit      = "submit_ms"     // time of a submission, by queue
	metricCommit      = "commit_ms"     // time of a transaction of a pool's owner
	metricStart       = "start_ms"      // time of the start of a run, by pool
	metricStatus      = "status_ms"     // time of a status request, by queue
	maxRecordedTime   = 5 * time.Minute // longer times are recorded as this one
	significantDigits = 2
	quantileP50       = 50
	quantileP90       = 90
	quantileP99       = 99
	quantileMax       = 100
)

type seriesKey struct{ name, label string }

// metrics holds the counters and histograms of one entry.
type metrics struct {
	counters *expvar.Map
	loads    *tableLoads

	mu     sync.Mutex
	pools  map[string]pool.Stats // of the pools that this entry schedules
	series map[seriesKey]*hdrhistogram.Histogram
}

func newMetrics(loads *tableLoads) *metrics {
	return &metrics{loads: loads, counters: new(expvar.Map).Init(), series: map[seriesKey]*hdrhistogram.Histogram{}, pools: map[string]pool.Stats{}}
}

func (m *metrics) add(name string) { m.counters.Add(name, 1) }

// Publish adds a variable to the counters that Metrics serves.
func (n *Node) Publish(name string, v expvar.Var) { n.metrics.counters.Set(name, v) }

func (m *metrics) observe(name, label string, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	k := seriesKey{name, label}
	h := m.series[k]
	if h == nil {
		h = hdrhistogram.New(1, maxRecordedTime.Milliseconds(), significantDigits)
		m.series[k] = h
	}
	// The error is that of a value out of range, which min and max prevent.
	_ = h.RecordValue(min(maxRecordedTime, max(time.Millisecond, d)).Milliseconds())
}

// setPoolStats publishes the counters of a pool's scheduler.
func (m *metrics) setPoolStats(name string, s pool.Stats) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pools[name] = s
}

func (m *metrics) poolStats() map[string]pool.Stats {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.pools)
}

// Quantiles is one histogram as it is served. P50 to Max are in ms.
type Quantiles struct {
	Name  string `json:"name"`
	Label string `json:"label,omitempty"`
	Count int64  `json:"count"`
	P50   int64  `json:"p50"`
	P90   int64  `json:"p90"`
	P99   int64  `json:"p99"`
	Max   int64  `json:"max"`
}

func (m *metrics) quantiles() []Quantiles {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := make([]Quantiles, 0, len(m.series))
	for k, h := range m.series {
		list = append(list, Quantiles{k.name, k.label, h.TotalCount(), h.ValueAtQuantile(quantileP50),
			h.ValueAtQuantile(quantileP90), h.ValueAtQuantile(quantileP99), h.ValueAtQuantile(quantileMax)})
	}
	return list
}

// ServeHTTP writes the counters, the histograms and the load that this entry puts on
// the table service as JSON.
func (m *metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	var counters json.RawMessage = []byte(m.counters.String())
	_ = json.NewEncoder(w).Encode(map[string]any{"counters": counters, "pools": m.poolStats(), "histograms": m.quantiles(), "table_load": m.loads.list()})
}
