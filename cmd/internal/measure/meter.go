package measure

import (
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/capacity"
	"github.com/HdrHistogram/hdrhistogram-go"
)

// meter collects the measures of one run. A VM-tick or slot-tick is one VM or
// slot for one tick.
type meter struct {
	s                 *Scenario
	moves             int
	endedJobs         int
	rollOutTicks      int                       // duration of the maintenance wave, -1 while it has not ended
	heldIdleVMTicks   int                       // of idle VMs outside of the spare pool or leaving it
	heldFreeSlotTicks int                       // of free slots outside of the spare pool
	idleVMTicks       int                       // of idle VMs in the whole fleet
	shortfall         float64                   // slot-ticks that all teams lack to their entitlements
	teamShortfall     []float64                 // the same by team
	teamEntitled      []float64                 // slot-ticks by team
	shares            shareWindow               // the share window that is not yet closed
	fullSlotTicks     float64                   // usable slot-ticks of the closed share windows
	workDone          int                       // slot-ticks in dataCentreChange
	workOffered       int                       // slot-ticks in dataCentreChange
	startDelays       []*hdrhistogram.Histogram // by class, in ticks
	decisionTimes     *hdrhistogram.Histogram   // in nanoseconds
	dataCentreChange  window                    // from the loss of the data centre to the end of its ramp-up
}

func newMeter(s *Scenario) *meter {
	m := &meter{
		s: s, rollOutTicks: -1,
		teamShortfall: make([]float64, len(s.Teams)), teamEntitled: make([]float64, len(s.Teams)),
		decisionTimes:    hdrhistogram.New(1, int64(time.Minute), 3),
		dataCentreChange: window{s.outWindow.fromTick, s.outWindow.toTick + ticks(s.rampUp)},
	}
	for range classes {
		m.startDelays = append(m.startDelays, hdrhistogram.New(1, int64(s.lengthTicks)+1, 3))
	}
	return m
}

// subtractRedoneWork subtracts work that has to be done again after an interruption.
func (m *meter) subtractRedoneWork(now, slotTicks int) {
	if m.dataCentreChange.contains(now) {
		m.workDone -= slotTicks
	}
}

func (m *meter) decided(d time.Duration) { _ = m.decisionTimes.RecordValue(int64(d)) }

// started records the start delay of a job. A start in the tick of arrival
// counts as a delay of one tick.
func (m *meter) started(j *job, now int) {
	_ = m.startDelays[j.class].RecordValue(int64(now-j.arrivedTick) + 1)
}

// observe adds the state of the simulation at the end of one tick.
func (m *meter) observe(sim *simulation) {
	usable, busy := 0, 0
	for i := range sim.vms {
		v := &sim.vms[i]
		usable += sim.usableSlots(i)
		busy += len(v.tasks)
		if !sim.scenario.Pools[v.pool].Spare && v.phase != failed && v.phase != rebooting && !sim.dataCentreOut[v.dc] {
			m.heldFreeSlotTicks += sim.scenario.VMs[i].Slots - len(v.tasks)
		}
		if len(v.tasks) > 0 || v.phase == failed || v.phase == rebooting || sim.dataCentreOut[v.dc] {
			continue
		}
		m.idleVMTicks++
		if !sim.scenario.Pools[v.pool].Spare || v.phase == moving || v.phase == draining {
			m.heldIdleVMTicks++
		}
	}
	m.observeChange(sim, busy)
	if sim.scenario.overload.contains(sim.nowTick) {
		m.observeShares(sim, usable)
	}
}

// observeChange counts, during the data centre change, the slot-ticks of work
// done and those that an unlimited fleet would do: of each job, no more than
// fits before the end of the change.
func (m *meter) observeChange(sim *simulation, busy int) {
	if !m.dataCentreChange.contains(sim.nowTick) {
		return
	}
	m.workDone += busy
	if sim.nowTick == m.dataCentreChange.fromTick {
		m.workOffered += sim.outstanding(m.dataCentreChange.toTick - sim.nowTick)
		return
	}
	for _, j := range sim.demand.arrivals[sim.nowTick] {
		m.workOffered += min(j.remainingTicks, m.dataCentreChange.toTick-sim.nowTick)
	}
}

// outstanding returns the slot-ticks of work that waits or runs, at most
// maxTicks of each job.
func (sim *simulation) outstanding(maxTicks int) int {
	sum := 0
	for j := range sim.waiting {
		sum += min(j.remainingTicks, maxTicks)
	}
	for i := range sim.vms {
		for _, t := range sim.vms[i].tasks {
			sum += min(t.endTick-sim.nowTick, maxTicks)
		}
	}
	return sum
}

// shareSpan is the time over which a team's running tasks are compared with
// its entitlement. In single ticks, random arrivals would dominate the result.
const shareSpan = 10 * time.Second

// shareWindow sums slot-ticks over a shareSpan of ticks in which the fleet is full.
type shareWindow struct {
	ticks             int
	entitled, running []float64
	usable            float64
}

// observeShares compares what each team runs with its entitlement. It counts
// only ticks in which the demand fills the fleet.
func (m *meter) observeShares(sim *simulation, usable int) {
	demand, total := sim.demandByTeam()
	if usable == 0 || total < float64(usable) {
		return
	}
	if m.shares.ticks == 0 {
		n := len(sim.scenario.Teams)
		m.shares = shareWindow{entitled: make([]float64, n), running: make([]float64, n)}
	}
	entitled := capacity.Entitlements(sim.scenario.Teams, demand, float64(usable))
	for i, team := range sim.scenario.Teams {
		m.shares.entitled[i] += entitled[team.Name]
		m.shares.running[i] += float64(sim.runningByTeam[i])
	}
	m.shares.usable += float64(usable)
	m.shares.ticks++
	if m.shares.ticks == ticks(shareSpan) {
		m.closeShareWindow()
	}
}

// closeShareWindow adds what teams lack to their entitlements over the window,
// and begins a new window.
func (m *meter) closeShareWindow() {
	for i := range m.teamShortfall {
		short := max(0, m.shares.entitled[i]-m.shares.running[i])
		m.shortfall += short
		m.teamShortfall[i] += short
		m.teamEntitled[i] += m.shares.entitled[i]
	}
	m.fullSlotTicks += m.shares.usable
	m.shares.ticks = 0
}

// demandByTeam returns the number of tasks that each team could run within its
// limit if there were enough VMs, and their sum.
func (sim *simulation) demandByTeam() (byTeam map[fleet.TeamName]float64, total float64) {
	asked := append([]int(nil), sim.runningByTeam...)
	for key, n := range sim.queued {
		asked[key[2]] += n
	}
	byTeam = make(map[fleet.TeamName]float64, len(asked))
	for i, t := range sim.scenario.Teams {
		d := float64(min(asked[i], t.Limit))
		byTeam[t.Name] = d
		total += d
	}
	return byTeam, total
}
