// Package load collects what all entries know about running and queued work and
// about start delays.
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
	// methodReport is the peer method that returns the report of an entry.
	methodReport = "load.report"
	// callTimeout bounds the calls of a collection.
	callTimeout = time.Second
)

// Delay is the start delay of the tasks of one team and class at one entry.
type Delay struct {
	Team    fleet.TeamName `cbor:"1,keyasint"`
	Class   fleet.Class    `cbor:"2,keyasint"`
	P99     time.Duration  `cbor:"3,keyasint"` // over the last minutes
	Samples int            `cbor:"4,keyasint"`
}

// Report is what one entry knows of the load.
type Report struct {
	Work   []jobs.Load    `cbor:"1,keyasint"`
	Delays []Delay        `cbor:"2,keyasint"`
	VMs    []slots.VMLoad `cbor:"3,keyasint"` // those that the entry owns
}

// Work is the work of one pool, team and class over all entries.
type Work struct {
	jobs.LoadKey
	Running           int
	Queued            int
	RunTime           time.Duration // mean estimate for one task
	ArrivalsPerSecond float64       // jobs per second since the previous collection
}

// Fleet combines the reports of all entries.
type Fleet struct {
	Work       []Work  // ordered by pool, team and class
	Delays     []Delay // by team and class: the largest P99 of all entries and the sum of their samples
	VMs        map[fleet.VMID]slots.VMLoad
	Unanswered int // number of members without an answer
}

// Options configures a Collector.
type Options struct {
	Membership control.Membership
	Caller     rpc.Caller
	Clock      fleet.Clock
	Local      func() Report // returns the report of this entry
}

// Collector requests the reports of all entries. It is safe for concurrent use.
type Collector struct {
	options Options

	mu             sync.Mutex
	previousCounts map[string]arrivalCounts // by member id
}

// arrivalCounts holds the arrivals that a member had counted at the time of a
// collection.
type arrivalCounts struct {
	at     time.Time
	counts map[jobs.LoadKey]uint64
}

// New returns a collector and registers the method that answers other entries'
// collectors with router.
func New(o Options, router *rpc.Router) *Collector {
	c := &Collector{options: o, previousCounts: map[string]arrivalCounts{}}
	rpc.Handle(router, methodReport, func(context.Context, string, struct{}) (Report, error) {
		return o.Local(), nil
	})
	return c
}

// Collect requests the reports of all members and combines them. It takes at
// most callTimeout; members that do not answer by then are counted in
// Unanswered.
func (c *Collector) Collect(ctx context.Context) Fleet {
	reports, unanswered := c.requestReports(ctx)
	now := c.options.Clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	rates := c.arrivalRates(reports, now)
	fleetLoad := merge(reports, rates)
	fleetLoad.Unanswered = unanswered
	return fleetLoad
}

// requestReports returns the reports by member id, and the number of members
// that did not answer.
func (c *Collector) requestReports(ctx context.Context) (map[string]Report, int) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	self := c.options.Membership.Self().ID
	reports := map[string]Report{self: c.options.Local()}
	unanswered := 0
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, m := range c.options.Membership.Members().List {
		if m.ID == self {
			continue
		}
		group.Go(func() {
			var report Report
			err := c.options.Caller.Call(ctx, m.ID, methodReport, struct{}{}, &report)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unanswered++
				return
			}
			reports[m.ID] = report
		})
	}
	group.Wait()
	return reports, unanswered
}

// arrivalRates returns the arrivals per second since the previous collection,
// summed over the members. A member that is new or did not answer the previous
// collection counts from its second report on. A member whose count has fallen
// has restarted and is left out.
func (c *Collector) arrivalRates(reports map[string]Report, now time.Time) map[jobs.LoadKey]float64 {
	rates := map[jobs.LoadKey]float64{}
	next := map[string]arrivalCounts{}
	for id, report := range reports {
		counts := map[jobs.LoadKey]uint64{}
		before, known := c.previousCounts[id]
		elapsed := now.Sub(before.at).Seconds()
		for _, w := range report.Work {
			counts[w.LoadKey] = w.Arrived
			if known && elapsed > 0 && w.Arrived >= before.counts[w.LoadKey] {
				rates[w.LoadKey] += float64(w.Arrived-before.counts[w.LoadKey]) / elapsed
			}
		}
		next[id] = arrivalCounts{at: now, counts: counts}
	}
	c.previousCounts = next
	return rates
}

// merge combines the reports. rates holds arrivals per second.
func merge(reports map[string]Report, rates map[jobs.LoadKey]float64) Fleet {
	work := map[jobs.LoadKey]*Work{}
	delays := map[[2]string]Delay{}
	for _, report := range reports {
		for _, w := range report.Work {
			addWork(work, w)
		}
		for _, d := range report.Delays {
			key := [2]string{string(d.Team), string(d.Class)}
			previous := delays[key]
			d.P99 = max(d.P99, previous.P99)
			d.Samples += previous.Samples
			delays[key] = d
		}
	}
	combined := Fleet{VMs: map[fleet.VMID]slots.VMLoad{}}
	for _, report := range reports {
		for _, vm := range report.VMs {
			combined.VMs[vm.VM] = vm
		}
	}
	for key, w := range work {
		w.ArrivalsPerSecond = rates[key]
		if n := w.Running + w.Queued; n > 0 {
			w.RunTime /= time.Duration(n)
		}
		combined.Work = append(combined.Work, *w)
	}
	for _, d := range delays {
		combined.Delays = append(combined.Delays, d)
	}
	sort.Slice(combined.Work, func(i, j int) bool { return lessKey(combined.Work[i].LoadKey, combined.Work[j].LoadKey) })
	sort.Slice(combined.Delays, func(i, j int) bool {
		a, b := combined.Delays[i], combined.Delays[j]
		return a.Team < b.Team || a.Team == b.Team && a.Class < b.Class
	})
	return combined
}

// addWork adds the load of one entry. RunTime is a sum over the tasks here,
// which merge divides by their number.
func addWork(work map[jobs.LoadKey]*Work, l jobs.Load) {
	w, ok := work[l.LoadKey]
	if !ok {
		w = &Work{LoadKey: l.LoadKey}
		work[l.LoadKey] = w
	}
	w.Running += l.Running
	w.Queued += l.Queued
	w.RunTime += l.RunTime * time.Duration(l.Running+l.Queued)
}

// lessKey orders keys by pool, team and class.
func lessKey(a, b jobs.LoadKey) bool {
	if a.Pool != b.Pool {
		return a.Pool < b.Pool
	}
	if a.Team != b.Team {
		return a.Team < b.Team
	}
	return a.Class < b.Class
}

// ByTeam returns the number of running and of queued tasks by team.
func (f Fleet) ByTeam() (running, queued map[fleet.TeamName]int) {
	running, queued = map[fleet.TeamName]int{}, map[fleet.TeamName]int{}
	for _, w := range f.Work {
		running[w.Team] += w.Running
		queued[w.Team] += w.Queued
	}
	return running, queued
}
