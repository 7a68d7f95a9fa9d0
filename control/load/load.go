// Package load collects what all entries know about running and waiting work
// and about start delays.
package load

import (
	"context"
	"sort"
	"sync"
	"time"

	"amaranthfork.example/control"
	"amaranthfork.example/control/jobs"
	"amaranthfork.example/control/rpc"
	"amaranthfork.example/control/slots"
	"amaranthfork.example/fleet"
)

const (
	methodReport = "load.report"
	callTimeout  = time.Second
)

// Delay is the start delay of one team and class at one entry.
type Delay struct {
	Team    fleet.TeamName `cbor:"1,keyasint"`
	Class   fleet.Class    `cbor:"2,keyasint"`
	P99     time.Duration  `cbor:"3,keyasint"` // over the last minutes
	Samples int            `cbor:"4,keyasint"`
}

// Report is the knowledge of one entry.
type Report struct {
	Work   []jobs.Load    `cbor:"1,keyasint"`
	Delays []Delay        `cbor:"2,keyasint"`
	VMs    []slots.VMLoad `cbor:"3,keyasint"` // owned by the entry
}

// Work is the work of one kind over all entries.
type Work struct {
	jobs.LoadKey
	Running  int
	Queued   int
	RunTime  time.Duration // estimated for one task, on average
	Arrivals float64       // jobs per second since the previous collection
}

// Fleet is the sum of all reports.
type Fleet struct {
	Work   []Work  // ordered by pool, team and class
	Delays []Delay // the worst of all entries for each team and class
	VMs    map[fleet.VMID]slots.VMLoad
	Silent int // members that did not answer
}

// Options configures a Collector.
type Options struct {
	Membership control.Membership
	Caller     rpc.Caller
	Clock      fleet.Clock
	Local      func() Report // of the own entry
}

// Collector asks all entries for their reports. It is safe for concurrent use.
type Collector struct {
	o Options

	mu       sync.Mutex
	previous map[string]arrivals // by member id
}

type arrivals struct {
	at     time.Time
	counts map[jobs.LoadKey]uint64
}

// New returns a collector and registers its method with router.
func New(o Options, router *rpc.Router) *Collector {
	c := &Collector{o: o, previous: map[string]arrivals{}}
	rpc.Handle(router, methodReport, func(context.Context, string, struct{}) (Report, error) {
		return o.Local(), nil
	})
	return c
}

// Collect asks all members. Members that do not answer are counted as silent.
func (c *Collector) Collect(ctx context.Context) Fleet {
	reports, silent := c.ask(ctx)
	now := c.o.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	rates := c.rates(reports, now)
	fleetLoad := merge(reports, rates)
	fleetLoad.Silent = silent
	return fleetLoad
}

func (c *Collector) ask(ctx context.Context) (map[string]Report, int) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	self := c.o.Membership.Self().ID
	reports := map[string]Report{self: c.o.Local()}
	silent := 0
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, m := range c.o.Membership.Members().List {
		if m.ID == self {
			continue
		}
		group.Go(func() {
			var report Report
			err := c.o.Caller.Call(ctx, m.ID, methodReport, struct{}{}, &report)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				silent++
				return
			}
			reports[m.ID] = report
		})
	}
	group.Wait()
	return reports, silent
}

// rates returns arrivals per second since the previous collection, by member.
// A member that is new or silent for a while contributes from its second report on.
func (c *Collector) rates(reports map[string]Report, now time.Time) map[jobs.LoadKey]float64 {
	rates := map[jobs.LoadKey]float64{}
	next := map[string]arrivals{}
	for id, report := range reports {
		counts := map[jobs.LoadKey]uint64{}
		before, known := c.previous[id]
		elapsed := now.Sub(before.at).Seconds()
		for _, w := range report.Work {
			counts[w.LoadKey] = w.Arrived
			if known && elapsed > 0 && w.Arrived >= before.counts[w.LoadKey] {
				rates[w.LoadKey] += float64(w.Arrived-before.counts[w.LoadKey]) / elapsed
			}
		}
		next[id] = arrivals{at: now, counts: counts}
	}
	c.previous = next
	return rates
}

func merge(reports map[string]Report, rates map[jobs.LoadKey]float64) Fleet {
	work := map[jobs.LoadKey]*Work{}
	delays := map[[2]string]Delay{}
	for _, report := range reports {
		for _, w := range report.Work {
			addWork(work, w)
		}
		for _, d := range report.Delays {
			key := [2]string{string(d.Team), string(d.Class)}
			worst := delays[key]
			d.P99 = max(d.P99, worst.P99)
			d.Samples += worst.Samples
			delays[key] = d
		}
	}
	f := Fleet{VMs: map[fleet.VMID]slots.VMLoad{}}
	for _, report := range reports {
		for _, vm := range report.VMs {
			f.VMs[vm.VM] = vm
		}
	}
	for key, w := range work {
		w.Arrivals = rates[key]
		if n := w.Running + w.Queued; n > 0 {
			w.RunTime /= time.Duration(n)
		}
		f.Work = append(f.Work, *w)
	}
	for _, d := range delays {
		f.Delays = append(f.Delays, d)
	}
	sort.Slice(f.Work, func(i, j int) bool { return before(f.Work[i].LoadKey, f.Work[j].LoadKey) })
	sort.Slice(f.Delays, func(i, j int) bool {
		a, b := f.Delays[i], f.Delays[j]
		return a.Team < b.Team || a.Team == b.Team && a.Class < b.Class
	})
	return f
}

func addWork(work map[jobs.LoadKey]*Work, l jobs.Load) {
	w, ok := work[l.LoadKey]
	if !ok {
		w = &Work{LoadKey: l.LoadKey}
		work[l.LoadKey] = w
	}
	w.Running += l.Running
	w.Queued += l.Queued
	w.RunTime += l.RunTime * time.Duration(l.Running+l.Queued) // weighted; divided after the sum
}

func before(a, b jobs.LoadKey) bool {
	if a.Pool != b.Pool {
		return a.Pool < b.Pool
	}
	if a.Team != b.Team {
		return a.Team < b.Team
	}
	return a.Class < b.Class
}

// ByTeam sums running and waiting work by team.
func (f Fleet) ByTeam() (running, queued map[fleet.TeamName]int) {
	running, queued = map[fleet.TeamName]int{}, map[fleet.TeamName]int{}
	for _, w := range f.Work {
		running[w.Team] += w.Running
		queued[w.Team] += w.Queued
	}
	return running, queued
}
