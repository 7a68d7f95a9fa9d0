// Package placement chooses the VM on which a task starts. It keeps no state and
// does no I/O: a decision depends only on an immutable snapshot of VMs, a
// request, the settings and the time that is passed in.
package placement

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"amaranthfork.example/fleet"
)

// State says whether a VM takes new work of its pool. Only active VMs do.
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

// VM describes a VM as far as a placement decision depends on it.
type VM struct {
	ID            fleet.VMID
	DataCentre    fleet.DataCentreName
	Rack          fleet.RackName
	Pool          fleet.PoolName
	State         State
	Leaving       bool // the VM list shows the VM as leaving or gone
	LeaseHeld     bool // the dispatcher holds the dispatch lease of the VM and may start tasks on it
	Health        Health
	MaintenanceAt time.Time // start of the next planned maintenance; zero if none is planned
	Slots         int       // tasks that the VM may run at a time
	UsedSlots     int       // slots in use or reserved
	Capacity      fleet.Resources
	Free          fleet.Resources // Capacity minus the needs of all used slots
}

// FreeSlots returns the number of slots that are not in use.
func (v VM) FreeSlots() int { return max(0, v.Slots-v.UsedSlots) }

// Request describes the task to place.
type Request struct {
	Pool       fleet.PoolName
	DataCentre fleet.DataCentreName // empty allows every data centre
	Need       fleet.Resources
	RunTime    time.Duration // estimated, zero if unknown
	Avoid      []fleet.VMID  // VMs on which the job must not run
}

// Cause is the reason why a filter rejects a VM. Its text is shown to users in
// RejectionCounts.String.
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

// Filter decides whether a VM can take a request.
type Filter interface {
	// Reject returns why the VM cannot take the request, "" if it can.
	Reject(vm *VM, req *Request, now time.Time) Cause
}

// Scorer rates a VM that passed the filters. The VM with the highest sum of
// scores is chosen.
type Scorer interface {
	Score(snapshot *Snapshot, vm *VM, req *Request) float64
}

// Reserver computes the state of a VM after a request has been placed on it.
type Reserver interface {
	Reserve(vm VM, req *Request) VM
}

// FilterFunc adapts a function to the Filter interface.
type FilterFunc func(vm *VM, req *Request, now time.Time) Cause

// Reject calls f.
func (f FilterFunc) Reject(vm *VM, req *Request, now time.Time) Cause { return f(vm, req, now) }

// Settings are the weights of the scores, relative to each other. A weight of
// zero switches a score off.
type Settings struct {
	// Packing is 1 to fill VMs that are already in use first and -1 to spread
	// the load evenly. Values between weaken the preference.
	Packing float64
	// RackSpread is the weight of the preference for racks with a smaller
	// fraction of their slots in use, which limits the work that the loss of a
	// rack interrupts.
	RackSpread float64
	// DataCentreSpread is the same weight for data centres.
	DataCentreSpread float64
}

// DefaultSettings returns settings with a weak preference for spreading over
// VMs, racks and data centres.
func DefaultSettings() Settings {
	return Settings{Packing: -0.5, RackSpread: 0.5, DataCentreSpread: 0.5}
}

// Placer chooses VMs: it applies the filters, ranks the remaining VMs by their
// scores and computes the reservation on the best one.
type Placer struct {
	Filters  []Filter
	Scorers  []Scorer
	Reserver Reserver
}

// New returns a placer with the standard filters, scorers and reserver.
func New(settings Settings) *Placer {
	return &Placer{Filters: StandardFilters(), Scorers: standardScorers(settings), Reserver: slotReserver{}}
}

// Decision is the result of Place.
type Decision struct {
	VM         fleet.VMID      // empty if no VM can take the request
	After      VM              // the VM after the reservation; zero if none was found
	Rejections RejectionCounts // why VMs were rejected
}

// Placed reports whether a VM was found.
func (d Decision) Placed() bool { return d.VM != "" }

// Place chooses a VM of the request's pool. Of VMs with the same score it takes
// the one with the smaller id.
func (p *Placer) Place(snapshot *Snapshot, req Request, now time.Time) Decision {
	group := snapshot.vmsByPool[req.Pool]
	decision := Decision{Rejections: RejectionCounts{}}
	var best *VM
	bestScore := 0.0
	for i := range group {
		vm := &group[i]
		decision.Rejections.Total++
		if cause := p.reject(vm, &req, now); cause != "" {
			decision.Rejections.add(cause)
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

// reject returns the cause of the first filter that rejects the VM, "" if none does.
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

// RejectionCounts says how many VMs of a pool were rejected, and why.
type RejectionCounts struct {
	Total  int           // VMs of the pool
	Causes map[Cause]int // rejected VMs by cause
}

func (c *RejectionCounts) add(cause Cause) {
	if c.Causes == nil {
		c.Causes = map[Cause]int{}
	}
	c.Causes[cause]++
}

// String returns the counts in descending order, for example
// "8 VMs: 5 no free slot, 3 memory".
func (c RejectionCounts) String() string {
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
