package measure

import (
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/capacity"
	"github.com/HdrHistogram/hdrhistogram-go"
)

// meter collects the measures of one run.
type meter struct {
	s        *Scenario
	moves    int
	ended    int // jobs
	rollOut  int // ticks, -1 while the wave has not ended
	held     int // idle VM-ticks in pools other than the spare
	free     int // free slot-ticks in pools other than the spare
	idle     int // idle VM-ticks in the whole fleet
	below    float64
	worst    []float64 // by team: shortfall against its entitlement
	entitled []float64
	window   shareWindow
	full     float64 // slot-ticks of the windows in which the fleet was full
	work     int     // slot-ticks done in the window of the data centre change
	offered  int     // slot-ticks offered in that window
	delays   []*hdrhistogram.Histogram
	decide   *hdrhistogram.Histogram
	change   window
}

func newMeter(s *Scenario) *meter {
	m := &meter{
		s: s, rollOut: -1,
		worst: make([]float64, len(s.Teams)), entitled: make([]float64, len(s.Teams)),
		decide: hdrhistogram.New(1, int64(time.Minute), 3),
		change: window{s.out.from, s.out.to + ticks(s.ramp)},
	}
	for range classes {
		m.delays = append(m.delays, hdrhistogram.New(1, int64(s.length)+1, 3))
	}
	return m
}

// redo takes back work that has to be done again after an interruption.
func (m *meter) redo(now, ticks int) {
	if m.change.has(now) {
		m.work -= ticks
	}
}

func (m *meter) decided(d time.Duration) { _ = m.decide.RecordValue(int64(d)) }

// started records the start delay of a job; a start in the tick of arrival
// counts as one tick.
func (m *meter) started(j *job, now int) {
	_ = m.delays[j.class].RecordValue(int64(now-j.arrived) + 1)
}

// observe adds one tick.
func (m *meter) observe(w *world) {
	usable, busy := 0, 0
	for i := range w.vms {
		v := &w.vms[i]
		usable += w.usable(i)
		busy += len(v.tasks)
		if !w.s.Pools[v.pool].Spare && v.phase != failed && v.phase != rebooting && !w.out[v.dc] {
			m.free += w.s.VMs[i].Slots - len(v.tasks)
		}
		if len(v.tasks) > 0 || v.phase == failed || v.phase == rebooting || w.out[v.dc] {
			continue
		}
		m.idle++
		if !w.s.Pools[v.pool].Spare || v.phase == moving || v.phase == draining {
			m.held++
		}
	}
	m.observeChange(w, busy)
	if w.s.flood.has(w.now) {
		m.observeShares(w, usable)
	}
}

// observeChange counts work done against what an unlimited fleet would have
// done: of each job, no more than fits before the end of the change.
func (m *meter) observeChange(w *world, busy int) {
	if !m.change.has(w.now) {
		return
	}
	m.work += busy
	if w.now == m.change.from {
		m.offered += w.outstanding(m.change.to - w.now)
		return
	}
	for _, j := range w.d.arrivals[w.now] {
		m.offered += min(j.left, m.change.to-w.now)
	}
}

// outstanding returns the slot-ticks of work that waits or runs, at most limit
// of each job.
func (w *world) outstanding(limit int) int {
	sum := 0
	for j := range w.waiting {
		sum += min(j.left, limit)
	}
	for i := range w.vms {
		for _, t := range w.vms[i].tasks {
			sum += min(t.end-w.now, limit)
		}
	}
	return sum
}

// shareSpan is the time over which a team's running tasks are compared with
// its entitlement. Single ticks would measure the chance of arrivals.
const shareSpan = 10 * time.Second

// shareWindow sums slot-ticks over a span while the fleet is full.
type shareWindow struct {
	ticks             int
	entitled, running []float64
	usable            float64
}

// observeShares compares what each team runs with its entitlement while the
// demand exceeds the fleet.
func (m *meter) observeShares(w *world, usable int) {
	demand, total := w.demand()
	if usable == 0 || total < float64(usable) {
		return
	}
	if m.window.ticks == 0 {
		n := len(w.s.Teams)
		m.window = shareWindow{entitled: make([]float64, n), running: make([]float64, n)}
	}
	entitled := capacity.Entitlements(w.s.Teams, demand, float64(usable))
	for i, t := range w.s.Teams {
		m.window.entitled[i] += entitled[t.Name]
		m.window.running[i] += float64(w.running[i])
	}
	m.window.usable += float64(usable)
	m.window.ticks++
	if m.window.ticks == ticks(shareSpan) {
		m.closeWindow()
	}
}

func (m *meter) closeWindow() {
	for i := range m.worst {
		short := max(0, m.window.entitled[i]-m.window.running[i])
		m.below += short
		m.worst[i] += short
		m.entitled[i] += m.window.entitled[i]
	}
	m.full += m.window.usable
	m.window.ticks = 0
}

// demand returns what each team could run if there were VMs enough.
func (w *world) demand() (byTeam map[fleet.TeamName]float64, total float64) {
	asked := append([]int(nil), w.running...)
	for key, n := range w.queued {
		asked[key[2]] += n
	}
	byTeam = make(map[fleet.TeamName]float64, len(asked))
	for i, t := range w.s.Teams {
		d := float64(min(asked[i], t.Limit))
		byTeam[t.Name] = d
		total += d
	}
	return byTeam, total
}
