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

func (c *testCluster) setDC(dc fleet.DataCentreName, state fleet.DataCentreState) {
	next := &config.Snapshot{Revision: c.config.Revision + 1, DataCentres: maps.Clone(c.config.DataCentres), Pools: c.config.Pools}
	next.DataCentres[dc] = fleet.DataCentre{Name: dc, State: state}
	c.configSupersededAt[c.config] = c.clock.now
	c.config = next
	c.outAt[dc] = time.Time{}
	if state == fleet.DataCentreOut {
		c.outAt[dc] = c.clock.now
	}
}

// TestDispatchInvariants guards, under random faults, against slots or resources
// that are given out twice, starts of attempts that were reported as not started,
// starts in data centres that are out and on leaving or draining VMs, running
// tasks reported as lost, and ends or slots that are never recovered.
func TestDispatchInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx := context.Background()
		cluster := newTestCluster(2, 2, 1)
		cluster.run(2 * time.Second)
		var reservations []control.Reservation
		reservedBy := map[fleet.AttemptID]*entry{}
		serial := 0
		pick := func() *entry { return cluster.entries[rapid.IntRange(0, len(cluster.entries)-1).Draw(t, "entry")] }
		pickVM := func() *fakeWorker { return cluster.workers[rapid.SampledFrom(cluster.vmIDs).Draw(t, "vm")] }
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
				reservedBy[id] = e
			}
		}
		start := func(t *rapid.T) {
			if len(reservations) == 0 {
				return
			}
			i := rapid.IntRange(0, len(reservations)-1).Draw(t, "reservation")
			res := reservations[i]
			if reservedBy[res.Attempt].paused {
				return
			}
			reservations = append(reservations[:i], reservations[i+1:]...)
			if err := reservedBy[res.Attempt].slots.Start(ctx, res, task(res.Attempt)); isRefusal(err) {
				cluster.markNotStarted(res.Attempt, "Start: "+err.Error())
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
				cluster.run(time.Duration(rapid.IntRange(1, 12).Draw(t, "steps")) * 100 * time.Millisecond)
			},
			"jump": func(t *rapid.T) { cluster.run(time.Duration(rapid.IntRange(5, 25).Draw(t, "seconds")) * time.Second) },
			"stall": func(t *rapid.T) { // no entry ticks
				cluster.advance(time.Duration(rapid.IntRange(1, 30).Draw(t, "seconds")) * time.Second)
			},
			"complete": func(t *rapid.T) {
				if list := cluster.runningTasks(); len(list) > 0 {
					rapid.SampledFrom(list).Draw(t, "task").State = backing.TaskCompleted
				}
			},
			"lookup": func(t *rapid.T) {
				e := pick()
				if serial == 0 || e.paused {
					return
				}
				id := fleet.AttemptID(fmt.Sprintf("a%03d", rapid.IntRange(1, serial).Draw(t, "attempt")))
				vm := cluster.started[id]
				for _, res := range reservations {
					if res.Attempt == id {
						vm = res.VM
					}
				}
				if vm == "" || len(cluster.ended[id]) > 0 {
					return // a job owner asks only for attempts without an end
				}
				_, end, known := e.slots.Lookup(ctx, vm, id)
				if known && end != nil && end.NotStarted {
					cluster.markNotStarted(id, "Lookup")
				}
				if known && end != nil && end.State == "" && !end.NotStarted && cluster.running(id) {
					t.Fatalf("lookup reports %s as lost while it runs", id)
				}
			},
			"cancel": func(t *rapid.T) {
				if list := cluster.runningTasks(); len(list) > 0 {
					id := rapid.SampledFrom(list).Draw(t, "task").ID
					if e := pick(); !e.paused {
						_ = e.slots.Cancel(ctx, cluster.started[id], id)
					}
				}
			},
			"workerDown": func(t *rapid.T) { worker := pickVM(); worker.down = !worker.down },
			"workerLose": func(*rapid.T) { pickVM().answersToLose = 1 },
			"workerHold": func(*rapid.T) { pickVM().holdNextStart = true },
			"restart": func(*rapid.T) { // epochs and ended tasks survive
				worker := pickVM()
				worker.stopAll()
				worker.leaseExpiresAt = cluster.clock.now
			},
			"refuse": func(*rapid.T) { worker := pickVM(); worker.refuseStarts = !worker.refuseStarts },
			"deliver": func(*rapid.T) {
				for _, held := range cluster.heldStarts {
					_ = held.worker.start(held.lease, held.task, held.sent)
				}
				cluster.heldStarts = nil
			},
			"leave": func(*rapid.T) {
				if worker := pickVM(); worker.vm.State == fleet.VMLive {
					worker.vm.State, cluster.leavingAt[worker.vm.ID] = fleet.VMLeaving, cluster.clock.now
				} else if worker.vm.State == fleet.VMLeaving {
					worker.vm.State, cluster.leavingAt[worker.vm.ID] = fleet.VMLive, time.Time{}
				}
			},
			"drain": func(*rapid.T) {
				id := pickVM().vm.ID
				if cluster.pool[id].State == placement.Draining {
					cluster.pool[id], cluster.drainedAt[id] = Assignment{Pool: "p", State: placement.Active}, time.Time{}
					return
				}
				cluster.advance(time.Millisecond) // starts sent before the change are allowed
				cluster.pool[id], cluster.drainedAt[id] = Assignment{Pool: "p", State: placement.Draining}, cluster.clock.now
				cluster.advance(time.Millisecond)
			},
			"dc": func(t *rapid.T) {
				cluster.setDC(pickDC(), rapid.SampledFrom([]fleet.DataCentreState{fleet.DataCentreIn, fleet.DataCentreOut}).Draw(t, "state"))
			},
			"learn": func(*rapid.T) { pick().snapshot = cluster.config },
			"learnMembers": func(*rapid.T) {
				if e := pick(); e.valid {
					e.members = cluster.members
				}
			},
			"pause":     func(*rapid.T) { e := pick(); e.paused = !e.paused },
			"evidence":  func(*rapid.T) { e := pick(); e.fresh = !e.fresh },
			"loseCalls": func(*rapid.T) { cluster.network.LoseAnswers(pick().member.ID, pick().member.ID, 1) },
			"cut": func(t *rapid.T) {
				cluster.network.SetCut(pick().member.ID, pick().member.ID, rapid.Bool().Draw(t, "cut"))
			},
			"deaf": func(*rapid.T) { cluster.failingReports = 3 },
			"takeover": func(*rapid.T) { // the new owners learn of the change at once
				if e := pick(); e.valid {
					cluster.fence(e)
					cluster.join(e.member.DataCentre)
					cluster.distributeMembers()
				}
			},
			"fence": func(*rapid.T) {
				if e := pick(); e.valid && len(cluster.members.List) > 1 {
					cluster.fence(e)
					cluster.join(e.member.DataCentre)
				}
			},
			"": func(t *rapid.T) {
				if cluster.violation != "" {
					t.Fatal(cluster.violation)
				}
			},
		})
		cluster.clearFaults()
		cluster.checkSettled(t)
	})
}

// clearFaults ends all faults and gives the current configuration and member list
// to the entries.
func (c *testCluster) clearFaults() {
	for _, worker := range c.workers {
		worker.down, worker.answersToLose, worker.holdNextStart, worker.refuseStarts = false, 0, false, false
		worker.vm.State, c.leavingAt[worker.vm.ID] = fleet.VMLive, time.Time{}
		c.pool[worker.vm.ID], c.drainedAt[worker.vm.ID] = Assignment{Pool: "p", State: placement.Active}, time.Time{}
	}
	for dc := range c.config.DataCentres {
		c.setDC(dc, fleet.DataCentreIn)
	}
	for _, e := range c.entries {
		for _, other := range c.entries {
			c.network.SetCut(e.member.ID, other.member.ID, false)
		}
		e.fresh, e.paused, e.snapshot = true, !e.valid, c.config
	}
	c.distributeMembers()
	c.failingReports = 0
}

// checkSettled runs the entries for 60 s, ends the running tasks, and checks 10 s
// later that no slot is in use, that every VM is owned and leased, and that the
// workers were told to forget all tasks.
func (c *testCluster) checkSettled(t *rapid.T) {
	c.run(60 * time.Second)
	for _, task := range c.runningTasks() {
		task.State = backing.TaskCompleted
	}
	c.run(10 * time.Second)
	if c.violation != "" {
		t.Fatal(c.violation)
	}
	owned, leased := 0, 0
	for _, e := range c.entries {
		if stats := e.slots.Stats(); e.valid {
			owned += stats.Owned
			leased += stats.Leased
			if stats.Running+stats.Reserved > 0 {
				t.Fatalf("%s still counts %d running and %d reserved slots, want none", e.member.ID, stats.Running, stats.Reserved)
			}
		}
	}
	if owned != len(c.vmIDs) || leased != owned {
		t.Fatalf("%d of %d VMs owned, %d leased, want all", owned, len(c.vmIDs), leased)
	}
	for id, worker := range c.workers {
		if len(worker.tasks) > 0 {
			t.Fatalf("worker %s still lists %d tasks, want none", id, len(worker.tasks))
		}
	}
}
