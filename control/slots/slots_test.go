package slots

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthfork.example/backing"
	"amaranthfork.example/config"
	"amaranthfork.example/control"
	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/placement"
)

func isRefusal(err error) bool {
	var refusal *fleet.Refusal
	return errors.As(err, &refusal)
}

func (w *world) setDC(dc fleet.DataCentreName, state fleet.DataCentreState) {
	next := &config.Snapshot{Revision: w.config.Revision + 1, DataCentres: maps.Clone(w.config.DataCentres), Pools: w.config.Pools}
	next.DataCentres[dc] = fleet.DataCentre{Name: dc, State: state}
	w.configSupersededAt[w.config] = w.clock.now
	w.config = next
	w.outAt[dc] = time.Time{}
	if state == fleet.DataCentreOut {
		w.outAt[dc] = w.clock.now
	}
}

// TestDispatchInvariants guards, under random faults, against slots or resources
// that are given out twice, starts of attempts that were reported as not started,
// starts in data centres that are out and on leaving or draining VMs, running
// tasks reported as lost, and ends or slots that are lost for good.
func TestDispatchInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		w := newWorld(2, 2, 1)
		w.run(2 * time.Second)
		var reservations []control.Reservation
		homes := map[fleet.AttemptID]*entry{}
		serial := 0
		pick := func() *entry { return w.entries[rapid.IntRange(0, len(w.entries)-1).Draw(t, "entry")] }
		pickVM := func() *worker { return w.workers[rapid.SampledFrom(w.vmIDs).Draw(t, "vm")] }
		pickDC := func() fleet.DataCentreName {
			return rapid.SampledFrom([]fleet.DataCentreName{"dc00", "dc01"}).Draw(t, "dc")
		}
		reserve := func(t *rapid.T) {
			e := pick()
			if e.paused {
				return
			}
			serial++
			id := fleet.AttemptID(fmt.Sprintf("a%03d", serial))
			need := rapid.SampledFrom([]int64{500, 1500, 3000}).Draw(t, "need")
			if res, err := e.slots.Reserve(ctx, pickDC(), request(id, need)); err == nil {
				reservations = append(reservations, res)
				homes[id] = e
			}
		}
		start := func(t *rapid.T) {
			if len(reservations) == 0 {
				return
			}
			i := rapid.IntRange(0, len(reservations)-1).Draw(t, "reservation")
			res := reservations[i]
			if homes[res.Attempt].paused {
				return
			}
			reservations = append(reservations[:i], reservations[i+1:]...)
			if err := homes[res.Attempt].slots.Start(ctx, res, task(res.Attempt)); isRefusal(err) {
				w.markNotStarted(res.Attempt, "Start: "+err.Error())
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"reserve": reserve, "start": start,
			"burst": func(t *rapid.T) {
				for range 4 {
					reserve(t)
				}
				for range 4 {
					start(t)
				}
			},
			"step": func(t *rapid.T) {
				w.run(time.Duration(rapid.IntRange(1, 12).Draw(t, "steps")) * 100 * time.Millisecond)
			},
			"jump": func(t *rapid.T) { w.run(time.Duration(rapid.IntRange(5, 25).Draw(t, "seconds")) * time.Second) },
			"stall": func(t *rapid.T) { // no entry ticks
				w.advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "seconds")) * time.Second)
			},
			"complete": func(t *rapid.T) {
				if list := w.runningTasks(); len(list) > 0 {
					rapid.SampledFrom(list).Draw(t, "task").State = backing.TaskCompleted
				}
			},
			"lookup": func(t *rapid.T) {
				e := pick()
				if serial == 0 || e.paused {
					return
				}
				id := fleet.AttemptID(fmt.Sprintf("a%03d", rapid.IntRange(1, serial).Draw(t, "attempt")))
				vm := w.started[id]
				for _, res := range reservations {
					if res.Attempt == id {
						vm = res.VM
					}
				}
				if vm == "" || len(w.ended[id]) > 0 {
					return // a job owner asks only for attempts without an end
				}
				_, end, known := e.slots.Lookup(ctx, vm, id)
				if known && end != nil && end.NotStarted {
					w.markNotStarted(id, "Lookup")
				}
				if known && end != nil && end.State == "" && !end.NotStarted && w.running(id) {
					t.Fatalf("lookup reports %s as lost while it runs", id)
				}
			},
			"cancel": func(t *rapid.T) {
				if list := w.runningTasks(); len(list) > 0 {
					id := rapid.SampledFrom(list).Draw(t, "task").ID
					if e := pick(); !e.paused {
						_ = e.slots.Cancel(ctx, w.started[id], id)
					}
				}
			},
			"workerDown": func(t *rapid.T) { k := pickVM(); k.down = !k.down },
			"workerLose": func(*rapid.T) { pickVM().answersToLose = 1 },
			"workerHold": func(*rapid.T) { pickVM().holdNextStart = true },
			"restart": func(*rapid.T) { // epochs and ended tasks survive
				k := pickVM()
				k.stopAll()
				k.leaseExpiresAt = w.clock.now
			},
			"refuse": func(*rapid.T) { k := pickVM(); k.refuseStarts = !k.refuseStarts },
			"deliver": func(*rapid.T) {
				for _, held := range w.heldStarts {
					_ = held.worker.start(held.lease, held.task, held.sent)
				}
				w.heldStarts = nil
			},
			"leave": func(*rapid.T) {
				if k := pickVM(); k.vm.State == fleet.VMLive {
					k.vm.State, w.leavingAt[k.vm.ID] = fleet.VMLeaving, w.clock.now
				} else if k.vm.State == fleet.VMLeaving {
					k.vm.State, w.leavingAt[k.vm.ID] = fleet.VMLive, time.Time{}
				}
			},
			"drain": func(*rapid.T) {
				id := pickVM().vm.ID
				if w.assigned[id].State == placement.Draining {
					w.assigned[id], w.drainedAt[id] = Assignment{Pool: "p", State: placement.Active}, time.Time{}
					return
				}
				w.advance(time.Millisecond) // starts sent before the change are allowed
				w.assigned[id], w.drainedAt[id] = Assignment{Pool: "p", State: placement.Draining}, w.clock.now
				w.advance(time.Millisecond)
			},
			"dc": func(t *rapid.T) {
				w.setDC(pickDC(), rapid.SampledFrom([]fleet.DataCentreState{fleet.DataCentreIn, fleet.DataCentreOut}).Draw(t, "state"))
			},
			"learn": func(*rapid.T) { pick().snapshot = w.config },
			"learnMembers": func(*rapid.T) {
				if e := pick(); e.valid {
					e.members = w.members
				}
			},
			"pause":     func(*rapid.T) { e := pick(); e.paused = !e.paused },
			"evidence":  func(*rapid.T) { e := pick(); e.fresh = !e.fresh },
			"loseCalls": func(*rapid.T) { w.network.LoseAnswers(pick().member.ID, pick().member.ID, 1) },
			"cut": func(t *rapid.T) {
				w.network.SetCut(pick().member.ID, pick().member.ID, rapid.Bool().Draw(t, "cut"))
			},
			"deaf": func(*rapid.T) { w.failingReports = 3 },
			"takeover": func(*rapid.T) { // the new owners learn of the change at once
				if e := pick(); e.valid {
					w.fence(e)
					w.join(e.member.DataCentre)
					w.distributeMembers()
				}
			},
			"fence": func(*rapid.T) {
				if e := pick(); e.valid && len(w.members.List) > 1 {
					w.fence(e)
					w.join(e.member.DataCentre)
				}
			},
			"": func(t *rapid.T) {
				if w.violation != "" {
					t.Fatal(w.violation)
				}
			},
		})
		w.clearFaults()
		w.checkSettled(t)
	})
}

// clearFaults ends all faults and gives the current configuration and member list
// to the entries.
func (w *world) clearFaults() {
	for _, k := range w.workers {
		k.down, k.answersToLose, k.holdNextStart, k.refuseStarts = false, 0, false, false
		k.vm.State, w.leavingAt[k.vm.ID] = fleet.VMLive, time.Time{}
		w.assigned[k.vm.ID], w.drainedAt[k.vm.ID] = Assignment{Pool: "p", State: placement.Active}, time.Time{}
	}
	for dc := range w.config.DataCentres {
		w.setDC(dc, fleet.DataCentreIn)
	}
	for _, e := range w.entries {
		for _, other := range w.entries {
			w.network.SetCut(e.member.ID, other.member.ID, false)
		}
		e.fresh, e.paused, e.snapshot = true, !e.valid, w.config
	}
	w.distributeMembers()
	w.failingReports = 0
}

// checkSettled runs the entries for 60 s, ends the running tasks, and checks 10 s
// later that no slot is in use, that every VM is owned and leased, and that the
// workers were told to forget all tasks.
func (w *world) checkSettled(t *rapid.T) {
	w.run(60 * time.Second)
	for _, task := range w.runningTasks() {
		task.State = backing.TaskCompleted
	}
	w.run(10 * time.Second)
	if w.violation != "" {
		t.Fatal(w.violation)
	}
	owned, leased := 0, 0
	for _, e := range w.entries {
		if stats := e.slots.Stats(); e.valid {
			owned += stats.Owned
			leased += stats.Leased
			if stats.Running+stats.Reserved > 0 {
				t.Fatalf("%s still counts %d running and %d reserved", e.member.ID, stats.Running, stats.Reserved)
			}
		}
	}
	if owned != len(w.vmIDs) || leased != owned {
		t.Fatalf("%d of %d VMs owned, %d leased", owned, len(w.vmIDs), leased)
	}
	for id, k := range w.workers {
		if len(k.tasks) > 0 {
			t.Fatalf("worker %s still lists %d tasks", id, len(k.tasks))
		}
	}
}
