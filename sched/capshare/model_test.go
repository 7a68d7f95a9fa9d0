package capshare

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"amaranthfork.example/fleet"
)

// Times of the model. A write takes as long as on the users' platform, and a row is seen
// by the others as late as with their feeds.
const (
	modelStep      = 10 * time.Millisecond
	modelWriteGap  = 60 * time.Millisecond
	modelWriteTime = 20 * time.Millisecond
	modelFeedDelay = 40 * time.Millisecond
	// modelUncappedRuns is how long a pool may have runs that are not in the division.
	modelUncappedRuns = 10 * time.Second
)

// modelTask is a task, or a gang, of the workspace.
type modelTask struct {
	need    fleet.Resources
	lasts   time.Duration // 0 for one that runs until it is cancelled
	readyAt time.Duration
	endsAt  time.Duration
}

// modelPool is a pool with one owner at a time. Its runs outlive the owner.
type modelPool struct {
	name     string
	room     fleet.Resources // of all VMs
	account  *Account        // nil while the pool has no owner
	running  []*modelTask
	waiting  []*modelTask // in the order of their ranks
	writing  bool
	lastSent time.Duration
	seenFrom time.Duration // when the owner first sees the row
}

func (p *modelPool) used() fleet.Resources {
	var sum fleet.Resources
	for _, t := range p.running {
		sum = sum.Add(t.need)
	}
	return sum
}

// modelWrite is a write under way.
type modelWrite struct {
	Write
	pool       *modelPool
	account    *Account // of the owner that has sent it
	executesAt time.Duration
	answersAt  time.Duration
	lostAnswer bool
	refused    bool // never carried out
	executed   bool
	outcome    Outcome
	version    int64
}

// reporter is the part of a test that the model uses.
type reporter interface {
	Helper()
	Fatalf(format string, args ...any)
}

// model plays the owners of several pools with the row of one workspace.
type model struct {
	t      reporter
	random *rand.Rand
	now    time.Duration
	limit  fleet.Resources
	pools  []*modelPool
	names  []string

	cappedSince time.Duration // 0 without a cap

	row      Division
	version  int64
	history  []modelRow
	writes   []*modelWrite
	sent     int // writes
	loseRate float64
	lateRate float64
}

type modelRow struct {
	at       time.Duration
	division Division
	version  int64
}

func newModel(t reporter, seed uint64, pools int, limit, room fleet.Resources) *model {
	m := &model{t: t, random: rand.New(rand.NewPCG(seed, 1)), now: time.Second, limit: limit}
	for i := range pools {
		p := &modelPool{name: fmt.Sprintf("pool-%02d", i), room: room}
		m.pools = append(m.pools, p)
		m.names = append(m.names, p.name)
		m.own(p)
	}
	return m
}

// own gives a pool an owner that knows nothing but its runs.
func (m *model) own(p *modelPool) {
	p.account, p.writing, p.lastSent = NewAccount(p.name), false, 0
	p.seenFrom = m.now + modelFeedDelay
}

// submit has a task wait in a pool.
func (m *model) submit(pool int, need fleet.Resources, lasts time.Duration) *modelTask {
	t := &modelTask{need: need, lasts: lasts, readyAt: m.now}
	m.pools[pool].waiting = append(m.pools[pool].waiting, t)
	return t
}

func (m *model) used() fleet.Resources {
	var sum fleet.Resources
	for _, p := range m.pools {
		sum = sum.Add(p.used())
	}
	return sum
}

// run plays the model for a time.
func (m *model) run(d time.Duration) {
	m.t.Helper()
	for end := m.now + d; m.now < end; m.now += modelStep {
		m.step()
	}
}

func (m *model) step() {
	m.executeWrites()
	order := m.random.Perm(len(m.pools))
	for _, i := range order {
		p := m.pools[i]
		p.running = slices.DeleteFunc(p.running, func(t *modelTask) bool { return t.lasts > 0 && t.endsAt <= m.now })
		if p.account != nil {
			m.cycle(p)
		}
	}
}

// executeWrites carries out the writes that are due, and passes on their answers.
func (m *model) executeWrites() {
	for _, w := range m.writes {
		if !w.executed && w.executesAt <= m.now {
			w.executed, w.outcome = true, Refused
			if !w.refused && w.Version == m.version {
				m.version++
				m.row = w.Division
				m.history = append(m.history, modelRow{m.now, m.row, m.version})
				w.outcome, w.version = Done, m.version
			}
		}
	}
	m.writes = slices.DeleteFunc(m.writes, func(w *modelWrite) bool {
		if w.answersAt > m.now {
			return false
		}
		if w.pool.account == w.account && w.pool.writing {
			w.pool.writing = false
			switch {
			case w.lostAnswer:
				w.account.Finish(w.Write, Unknown, 0)
			default:
				w.account.Finish(w.Write, w.outcome, w.version)
				if w.outcome == Refused { // the answer holds the row
					w.account.Observe(m.row, m.version)
				}
			}
		}
		// A write without an answer may be carried out later.
		w.answersAt = max(w.answersAt, w.executesAt+1)
		return w.executed
	})
}

// cycle plays one cycle of a pool's owner.
func (m *model) cycle(p *modelPool) {
	if m.now < p.seenFrom {
		return
	}
	seen := modelRow{}
	for _, row := range m.history {
		if row.at <= m.now-modelFeedDelay {
			seen = row
		}
	}
	if seen.version > 0 || m.version == 0 {
		p.account.Observe(seen.division, seen.version)
	}
	if m.limit == (fleet.Resources{}) {
		m.cappedSince = 0
	} else if m.cappedSince == 0 {
		m.cappedSince = m.now
	}
	usable, blocked := p.account.Usable(m.limit, m.names, p.used(), m.now-m.cappedSince < modelUncappedRuns)
	blocked = blocked && m.limit != fleet.Resources{}
	var unit, needed fleet.Resources
	kept := p.waiting[:0]
	for _, t := range p.waiting {
		used := p.used()
		fits := t.need.Fits(p.room.Sub(used))
		switch {
		case fits && !blocked && !ExceedsShare(used.Add(t.need), usable, m.limit):
			t.endsAt = m.now + t.lasts
			p.running = append(p.running, t)
			if total := m.used(); ExceedsCap(total, m.limit) {
				m.t.Fatalf("at %v: %+v runs, the cap is %+v; row %+v", m.now, total, m.limit, m.row)
			}
			continue
		case fits && unit == fleet.Resources{}:
			unit = t.need
		}
		needed = needed.Add(t.need)
		kept = append(kept, t)
	}
	p.waiting = kept
	if m.limit == (fleet.Resources{}) || p.writing || m.now-p.lastSent < modelWriteGap {
		return
	}
	used := p.used()
	work := Work{Used: used, Need: used.Add(minEach(needed, p.room.Sub(used))), Unit: unit}
	w, ok := p.account.Next(m.limit, m.names, work, m.now)
	if !ok {
		return
	}
	p.writing, p.lastSent = true, m.now
	m.sent++
	latency := time.Duration(m.random.Int64N(int64(modelWriteTime))) + time.Millisecond
	sent := &modelWrite{Write: w, pool: p, account: p.account, executesAt: m.now + latency, answersAt: m.now + 2*latency}
	if m.random.Float64() < m.loseRate {
		sent.lostAnswer = true
		sent.refused = m.random.IntN(2) == 0
	}
	if m.random.Float64() < m.lateRate {
		sent.lostAnswer, sent.answersAt = true, m.now+modelWriteGap
		sent.executesAt = m.now + time.Duration(m.random.Int64N(int64(5*time.Second)))
	}
	m.writes = append(m.writes, sent)
}

// runsWithin reports whether a task starts within a time.
func (m *model) runsWithin(t *modelTask, d time.Duration) bool {
	m.t.Helper()
	for end := m.now + d; m.now < end; m.now += modelStep {
		m.step()
		if t.endsAt > 0 {
			return true
		}
	}
	return false
}
