// Package placement chooses the VM on which a task starts. It is pure: a
// decision depends on an immutable snapshot of VMs, a request, the settings and
// the time that is passed in.
package placement

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"amaranthfork.example/fleet"
)

// State says whether the pool of a VM lets it take new work.
type State string

const (
	Active      State = "active"
	Draining    State = "draining"
	Maintenance State = "maintenance"
)

// Health is the quarantine state of a VM.
type Health string

const (
	Healthy     Health = ""
	Probation   Health = "probation" // takes one task at a time
	Quarantined Health = "quarantined"
)

// VM is what a placement decision knows of a worker.
type VM struct {
	ID            fleet.VMID
	DataCentre    fleet.DataCentreName
	Rack          fleet.RackName
	Pool          fleet.PoolName
	State         State
	Leaving       bool // the platform shows the VM as leaving or gone
	Usable        bool // the dispatcher holds the lease and may start tasks
	Health        Health
	MaintenanceAt time.Time // start of the next planned maintenance, zero if none
	Slots         int
	Used          int // slots in use or reserved
	Capacity      fleet.Resources
	Free          fleet.Resources // capacity less the needs of all used slots
}

// FreeSlots returns the number of slots that are not in use.
func (v VM) FreeSlots() int { return max(0, v.Slots-v.Used) }

// Request describes the task to place.
type Request struct {
	Pool       fleet.PoolName
	DataCentre fleet.DataCentreName // empty allows every data centre
	Need       fleet.Resources
	RunTime    time.Duration // estimated, zero if unknown
	Avoid      []fleet.VMID
}

// Cause is the reason for which a filter passes over a VM.
type Cause string

const (
	CauseDataCentre  Cause = "other data centre"
	CauseState       Cause = "draining or in maintenance"
	CauseLeaving     Cause = "leaving"
	CauseLease       Cause = "no dispatch lease"
	CauseSlots       Cause = "no free slot"
	CauseCPU         Cause = "processors"
	CauseMemory      Cause = "memory"
	CauseAccelerator Cause = "accelerators"
	CauseQuarantine  Cause = "quarantined"
	CauseAvoid       Cause = "avoided by the job"
	CauseMaintenance Cause = "maintenance within the run time"
)

// Filter returns the cause for which a VM cannot take a request, "" if it can.
type Filter interface {
	Reject(vm *VM, req *Request, now time.Time) Cause
}

// Scorer rates a VM that passed the filters; the highest sum of scores wins.
type Scorer interface {
	Score(snapshot *Snapshot, vm *VM, req *Request) float64
}

// Reserver returns the VM as it is after the request was placed on it.
type Reserver interface {
	Reserve(vm VM, req *Request) VM
}

// FilterFunc is a function that is a Filter.
type FilterFunc func(vm *VM, req *Request, now time.Time) Cause

// Reject calls the function.
func (f FilterFunc) Reject(vm *VM, req *Request, now time.Time) Cause { return f(vm, req, now) }

// Settings weigh the scores. Weights are relative; zero switches a score off.
type Settings struct {
	// Packing is 1 to fill VMs that are in use first, -1 to spread the load
	// evenly; values between weaken the preference.
	Packing float64
	// RackSpread prefers racks with a smaller part of their slots in use, so
	// that the loss of a rack hits less work.
	RackSpread float64
	// DataCentreSpread does the same for data centres.
	DataCentreSpread float64
}

// DefaultSettings spreads weakly over VMs and racks.
func DefaultSettings() Settings {
	return Settings{Packing: -0.5, RackSpread: 0.5, DataCentreSpread: 0.5}
}

// Placer applies filters, scores and the reservation in order.
type Placer struct {
	Filters  []Filter
	Scorers  []Scorer
	Reserver Reserver
}

// New returns a placer with the standard plugins.
func New(settings Settings) *Placer {
	return &Placer{Filters: StandardFilters(), Scorers: standardScorers(settings), Reserver: slotReserver{}}
}

// Decision is the outcome of a placement.
type Decision struct {
	VM     fleet.VMID // empty if no VM can take the request
	After  VM         // the VM after the reservation
	Counts Counts     // why VMs were passed over
}

// Placed reports whether a VM was found.
func (d Decision) Placed() bool { return d.VM != "" }

// Place chooses a VM of the request's pool. Ties go to the smaller VM id.
func (p *Placer) Place(snapshot *Snapshot, req Request, now time.Time) Decision {
	group := snapshot.groups[req.Pool]
	decision := Decision{Counts: Counts{}}
	var best *VM
	bestScore := 0.0
	for i := range group {
		vm := &group[i]
		decision.Counts.Total++
		if cause := p.reject(vm, &req, now); cause != "" {
			decision.Counts.add(cause)
			continue
		}
		score := p.score(snapshot, vm, &req)
		if best == nil || score > bestScore || score == bestScore && vm.ID < best.ID {
			best, bestScore = vm, score
		}
	}
	if best != nil {
		decision.VM = best.ID
		decision.After = p.Reserver.Reserve(*best, &req)
	}
	return decision
}

func (p *Placer) reject(vm *VM, req *Request, now time.Time) Cause {
	for _, filter := range p.Filters {
		if cause := filter.Reject(vm, req, now); cause != "" {
			return cause
		}
	}
	return ""
}

func (p *Placer) score(snapshot *Snapshot, vm *VM, req *Request) float64 {
	sum := 0.0
	for _, scorer := range p.Scorers {
		sum += scorer.Score(snapshot, vm, req)
	}
	return sum
}

// Counts tells for how many VMs each cause held.
type Counts struct {
	Total  int // VMs of the pool
	Causes map[Cause]int
}

func (c *Counts) add(cause Cause) {
	if c.Causes == nil {
		c.Causes = map[Cause]int{}
	}
	c.Causes[cause]++
}

// String returns for example "8 VMs: 5 no free slot, 3 memory".
func (c Counts) String() string {
	type count struct {
		cause Cause
		n     int
	}
	var counts []count
	for cause, n := range c.Causes {
		counts = append(counts, count{cause, n})
	}
	sort.Slice(counts, func(i, j int) bool {
		return counts[i].n > counts[j].n || counts[i].n == counts[j].n && counts[i].cause < counts[j].cause
	})
	parts := make([]string, len(counts))
	for i, count := range counts {
		parts[i] = fmt.Sprintf("%d %s", count.n, count.cause)
	}
	if len(parts) == 0 {
		return fmt.Sprintf("%d VMs", c.Total)
	}
	return fmt.Sprintf("%d VMs: %s", c.Total, strings.Join(parts, ", "))
}
