package fleetplan

import (
	"math"
	"sort"

	"amaranthfork.example/sched/pool"
)

// Moves between pools.
const (
	// leastVMs stay in each pool, so that a lost VM leaves another.
	leastVMs = 2
	// mostMoving is the share of the fleet that may move at a time: a turn needs
	// up to half of it.
	mostMoving = 0.5
	// idleBeforeStandby is the time that a VM must not have been needed before
	// it is switched off. Two moves cost as much as 2.3 s of a VM, and turns last longer.
	idleBeforeStandby = 1200 // ms
	// settleTime is the time without any turn after which VMs are switched off
	// all the same: before the first turn nobody knows which pool will need them.
	settleTime = 25000 // ms
)

// MovePlanner decides moves. It remembers since when pools have had more VMs
// than they need.
type MovePlanner struct {
	Demand  *Demand
	surplus map[string]int64 // since when, by pool; Unix milliseconds
	began   int64            // time of the first plan, Unix milliseconds
}

// NewMovePlanner returns a planner that has seen nothing.
func NewMovePlanner() *MovePlanner {
	return &MovePlanner{Demand: NewDemand(), surplus: map[string]int64{}}
}

type poolBooks struct {
	name   string
	least  int     // VMs that stay
	have   float64 // cores that are there or on their way
	vms    int
	need   float64
	ready  float64 // that it should have because its turn may begin
	donors []donor
}

type donor struct {
	machine Machine
	load    pool.VMLoad
}

// Plan returns the VMs to move.
func (m *MovePlanner) Plan(s *Snapshot) []Decision {
	size := vmSize(s)
	m.Demand.Observe(s.Loads, s.Standby, size*float64(len(s.Machines)))
	if m.began == 0 {
		m.began = s.Now
	}
	books := m.books(s)
	if size <= 0 || len(books) == 0 {
		return nil
	}
	moving := 0
	for _, c := range s.Cordons {
		if c.Purpose.Target != "" {
			moving++
		}
	}
	room := int(mostMoving*float64(len(s.Machines))) - moving
	decisions := m.fill(s, books, size, room)
	return append(decisions, m.retire(s, books, size, room-len(decisions))...)
}

// Book is what one pool has and needs, in processors, for the log.
type Book struct {
	Pool           string
	Have           float64
	Need           float64
	VMs            int
	Rate, MeanRate float64
	Turn           bool
}

// Books returns the figures that the next plan starts from, by pool.
func (m *MovePlanner) Books(s *Snapshot) []Book {
	var list []Book
	for name, b := range m.books(s) {
		book := Book{Pool: name, Have: b.have, Need: b.need, VMs: b.vms}
		if p := m.Demand.pools[name]; p != nil {
			book.Rate, book.MeanRate, book.Turn = p.rate, p.mean, p.active
		}
		list = append(list, book)
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Pool < list[k].Pool })
	return list
}

// vmSize returns the usual processors of a VM.
func vmSize(s *Snapshot) float64 {
	total, n := int64(0), 0
	for _, l := range s.Loads {
		for _, v := range l.VMs {
			total += v.Capacity
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return float64(total) / float64(n) / 1000
}

// books sums up what each pool has and needs.
func (m *MovePlanner) books(s *Snapshot) map[string]*poolBooks {
	books := map[string]*poolBooks{}
	size := vmSize(s)
	for name, l := range s.Loads {
		if s.Standby[name] {
			continue
		}
		b := &poolBooks{name: name, least: max(leastVMs, l.LeastVMs)}
		lasting := 0.0
		for _, v := range l.VMs {
			machine, known := s.Machines[v.Machine]
			_, cordoned := s.Cordons[v.Machine]
			if !known || machine.VM != v.VM || cordoned || !v.Usable {
				continue
			}
			b.have += float64(v.Capacity) / 1000
			b.vms++
			if v.Lasting > 0 {
				lasting += float64(v.Used) / 1000
			} else if machine.Up {
				b.donors = append(b.donors, donor{machine, v})
			}
		}
		b.need = lasting + m.Demand.Need(name, l, s.Now)
		b.ready = lasting + m.Demand.Prepared(name, s.Now)
		sort.Slice(b.donors, func(i, k int) bool {
			if b.donors[i].load.Used != b.donors[k].load.Used {
				return b.donors[i].load.Used < b.donors[k].load.Used
			}
			return b.donors[i].machine.Name < b.donors[k].machine.Name
		})
		books[name] = b
	}
	addArrivals(s, books, size)
	return books
}

// addArrivals counts the VMs that are on their way to a pool.
func addArrivals(s *Snapshot, books map[string]*poolBooks, size float64) {
	counted := map[string]bool{}
	for _, c := range s.Cordons {
		target := c.Purpose.Target
		if target == "" && c.Ordered {
			target = c.Pool // comes back from maintenance
		}
		if b := books[target]; b != nil {
			b.have += size
			b.vms++
			counted[c.Machine] = true
		}
	}
	for name, machine := range s.Machines {
		b := books[machine.Pool]
		if b == nil || counted[name] {
			continue
		}
		if _, listed := s.vmLoad(machine); !listed && (machine.VM != "" || !machine.Up) {
			if _, cordoned := s.Cordons[name]; !cordoned {
				b.have += size
				b.vms++
			}
		}
	}
}

// fill moves VMs to pools that will need them, from standby first, then from
// pools that have more than they need.
func (m *MovePlanner) fill(s *Snapshot, books map[string]*poolBooks, size float64, room int) []Decision {
	f := filling{books: books, size: size, room: room, standby: standbyMachines(s)}
	for _, b := range byDeficit(books) {
		// Tasks that last and have no place come before any queue.
		f.give(b, b.least-b.vms, takeLargest)
	}
	for _, b := range byDeficit(books) {
		f.give(b, int(math.Round((b.need-b.have)/size)), takeSurplus)
	}
	return m.prepare(books, size, room, f.decisions)
}

// filling collects the VMs that pools in need get.
type filling struct {
	books     map[string]*poolBooks
	size      float64
	room      int // decisions that may be made
	standby   []Machine
	decisions []Decision
}

// give moves VMs to a pool: from standby, or those that take finds.
func (f *filling) give(b *poolBooks, missing int, take func(map[string]*poolBooks, string, float64) (Machine, bool)) {
	for ; missing > 0 && len(f.decisions) < f.room; missing-- {
		d := Decision{Purpose: Purpose{Target: b.name}, Reason: "standby to a pool in need"}
		if len(f.standby) > 0 {
			d.Machine, f.standby = f.standby[0], f.standby[1:]
		} else {
			machine, ok := take(f.books, b.name, f.size)
			if !ok {
				return
			}
			d.Machine, d.Reason = machine, "from another pool to one in need"
		}
		b.vms++
		b.have += f.size
		f.decisions = append(f.decisions, d)
	}
}

// prepare moves VMs that are paid for and not needed to pools whose turn may
// begin. VMs on standby stay there until they are needed.
func (m *MovePlanner) prepare(books map[string]*poolBooks, size float64, room int, decisions []Decision) []Decision {
	for len(decisions) < room {
		b := leastReady(books)
		if b == nil || b.ready-b.have < size {
			return decisions
		}
		machine, ok := takeSurplus(books, b.name, size)
		if !ok {
			return decisions
		}
		b.have += size
		decisions = append(decisions, Decision{machine, Purpose{Target: b.name}, "surplus to a pool whose turn may begin"})
	}
	return decisions
}

// leastReady returns the pool that lacks most of what it should have.
func leastReady(books map[string]*poolBooks) *poolBooks {
	var least *poolBooks
	for _, b := range books {
		if least == nil || b.ready-b.have > least.ready-least.have || b.ready-b.have == least.ready-least.have && b.name < least.name {
			least = b
		}
	}
	return least
}

func byDeficit(books map[string]*poolBooks) []*poolBooks {
	list := make([]*poolBooks, 0, len(books))
	for _, b := range books {
		list = append(list, b)
	}
	sort.Slice(list, func(i, k int) bool {
		a, b := list[i].need-list[i].have, list[k].need-list[k].have
		if a != b {
			return a > b
		}
		return list[i].name < list[k].name
	})
	return list
}

// spare returns the processors that a pool does not need.
func (b *poolBooks) spare() float64 { return b.have - max(b.need, b.ready) }

// takeSurplus takes the emptiest VM of the pool that has most to spare.
func takeSurplus(books map[string]*poolBooks, except string, size float64) (Machine, bool) {
	var best *poolBooks
	for _, b := range books {
		if b.name == except || len(b.donors) == 0 || b.vms <= b.least || b.spare() < size {
			continue
		}
		if best == nil || b.spare() > best.spare() || b.spare() == best.spare() && b.name < best.name {
			best = b
		}
	}
	if best == nil {
		return Machine{}, false
	}
	return best.take(), true
}

// keep reports whether VMs stay although their pools do not need them yet: no
// turn has been seen, and any pool's may be the first.
func (m *MovePlanner) keep(s *Snapshot) bool {
	return len(m.Demand.turns) == 0 && s.Now-m.began < settleTime
}

// takeLargest takes a VM that nobody needs, or else the emptiest one of the pool
// that has most VMs, at least twice as many as must stay there.
func takeLargest(books map[string]*poolBooks, except string, size float64) (Machine, bool) {
	if machine, ok := takeSurplus(books, except, size); ok {
		return machine, true
	}
	var best *poolBooks
	for _, b := range books {
		if b.name == except || len(b.donors) == 0 || b.vms < 2*b.least {
			continue
		}
		if best == nil || b.vms > best.vms || b.vms == best.vms && b.name < best.name {
			best = b
		}
	}
	if best == nil {
		return Machine{}, false
	}
	return best.take(), true
}

func (b *poolBooks) take() Machine {
	d := b.donors[0]
	b.donors = b.donors[1:]
	b.vms--
	b.have -= float64(d.load.Capacity) / 1000
	return d.machine
}

func standbyMachines(s *Snapshot) []Machine {
	var list []Machine
	for name, machine := range s.Machines {
		if _, cordoned := s.Cordons[name]; s.Standby[machine.Pool] && machine.Up && !cordoned && !s.Out[machine.DataCentre] {
			list = append(list, machine)
		}
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Name < list[k].Name })
	return list
}

// retire switches off VMs that have not been needed for some time.
func (m *MovePlanner) retire(s *Snapshot, books map[string]*poolBooks, size float64, room int) []Decision {
	target := ""
	for name, on := range s.Standby {
		if on && (target == "" || name < target) {
			target = name
		}
	}
	var decisions []Decision
	for _, b := range byDeficit(books) {
		if b.spare() < size || b.vms <= b.least || target == "" || m.keep(s) {
			delete(m.surplus, b.name)
			continue
		}
		since, known := m.surplus[b.name]
		if !known {
			m.surplus[b.name] = s.Now
			continue
		}
		if s.Now-since < idleBeforeStandby {
			continue
		}
		for b.spare() >= size && b.vms > b.least && len(b.donors) > 0 && len(decisions) < room && b.donors[0].load.Tasks == 0 {
			decisions = append(decisions, Decision{b.take(), Purpose{Target: target}, "not needed for some time"})
		}
	}
	return decisions
}
