package slots

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"testing"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/control"
	"amaranthfork.example/fleet"
	"amaranthfork.example/policy/placement"
)

// owner returns the entry with a valid session that owns a VM.
func (c *testCluster) owner(vm fleet.VMID) *entry {
	for _, e := range c.entries {
		if _, ok := e.slots.Status(vm); ok && e.valid {
			return e
		}
	}
	return nil
}

func (c *testCluster) mustPlace(t *testing.T, id fleet.AttemptID) *fakeWorker {
	t.Helper()
	res, err := c.place(t, c.entries[0], "dc00", id)
	if err != nil {
		t.Fatal(err)
	}
	return c.workers[res.VM]
}

func (c *testCluster) onlyEnd(t *testing.T, id fleet.AttemptID) control.TaskEnd {
	t.Helper()
	if len(c.ended[id]) != 1 {
		t.Fatalf("%d ends of %s, want 1", len(c.ended[id]), id)
	}
	return c.ended[id][0]
}

// TestScenarios checks single mechanisms of the owner and the dispatcher; each
// case is named after the behaviour that it expects or the fault that it causes.
func TestScenarios(t *testing.T) {
	ctx := context.Background()
	cases := []struct {
		name              string
		dcs, entries, vms int
		run               func(t *testing.T, cluster *testCluster)
	}{
		{"takeover adopts tasks and reports their ends", 1, 2, 4, func(t *testing.T, cluster *testCluster) {
			worker := cluster.mustPlace(t, "a")
			cluster.fence(cluster.owner(worker.vm.ID))
			cluster.distributeMembers()
			cluster.run(3 * time.Second)
			status, _ := cluster.owner(worker.vm.ID).slots.Status(worker.vm.ID)
			if status.Running != 1 || !status.Leased {
				t.Fatalf("after takeover: %+v, want a lease and 1 running task", status)
			}
			worker.tasks["a"].State = backing.TaskCompleted
			cluster.run(6 * time.Second)
			if end := cluster.onlyEnd(t, "a"); end.State != backing.TaskCompleted || len(worker.tasks) != 0 {
				t.Errorf("end %+v, %d tasks not forgotten, want a completed task that is forgotten", end, len(worker.tasks))
			}
		}},
		{"start with lost answer is resolved from the list", 1, 1, 1, func(t *testing.T, cluster *testCluster) {
			res, _ := cluster.entries[0].slots.Reserve(ctx, "dc00", request("a", 1000))
			cluster.workers[res.VM].answersToLose = 1
			if err := cluster.entries[0].slots.Start(ctx, res, task("a")); err == nil || isRefusal(err) {
				t.Fatalf("start: %v, want an unconfirmed start", err)
			}
			cluster.run(2 * time.Second)
			if stats := cluster.entries[0].slots.Stats(); stats.Running != 1 {
				t.Errorf("%+v, want 1 running task", stats)
			}
		}},
		{"start that is delivered late is fenced", 1, 1, 1, func(t *testing.T, cluster *testCluster) {
			res, _ := cluster.entries[0].slots.Reserve(ctx, "dc00", request("a", 1000))
			worker := cluster.workers[res.VM]
			worker.holdNextStart = true
			_ = cluster.entries[0].slots.Start(ctx, res, task("a"))
			if _, err := cluster.place(t, cluster.entries[0], "dc00", "b"); !isRefusal(err) {
				t.Errorf("placement while a start was unconfirmed: %v, want a refusal", err)
			}
			cluster.run(2 * time.Second)
			if end := cluster.onlyEnd(t, "a"); !end.NotStarted {
				t.Errorf("%+v, want an end with NotStarted", end)
			}
			if err := worker.start(cluster.heldStarts[0].lease, cluster.heldStarts[0].task, cluster.heldStarts[0].sent); !errors.Is(err, backing.ErrFenced) {
				t.Errorf("late start: %v, want fenced", err)
			}
		}},
		{"lost worker", 1, 1, 1, func(t *testing.T, cluster *testCluster) {
			worker := cluster.mustPlace(t, "a")
			worker.down = true
			cluster.run(LeaseTTL - time.Second)
			if len(cluster.ended["a"]) != 0 {
				t.Fatal("reported as lost before its lease has expired")
			}
			cluster.run(2*RenewInterval + time.Second)
			if end := cluster.onlyEnd(t, "a"); end.State != "" || end.NotStarted || end.Job != "job-a" {
				t.Errorf("%+v, want a lost task of job-a", end)
			}
		}},
		{"VM gone from the list", 1, 1, 1, func(t *testing.T, cluster *testCluster) {
			worker := cluster.mustPlace(t, "a")
			cluster.vmIDs = nil
			cluster.run(leaseBound + 3*time.Second)
			if end := cluster.onlyEnd(t, "a"); end.State != "" || worker.tasks["a"].State != backing.TaskStopped {
				t.Errorf("%+v, state on the worker %s, want a lost and stopped task", end, worker.tasks["a"].State)
			}
			if _, end, known := cluster.entries[0].slots.Lookup(ctx, worker.vm.ID, "other"); !known || end.NotStarted {
				t.Errorf("lookup on a gone VM: %+v, known %v, want a lost task", end, known)
			}
			if _, _, known := cluster.entries[0].slots.Lookup(ctx, "never-seen", "other"); known {
				t.Error("lookup gave an answer for an attempt on a VM that was never listed")
			}
			cluster.run(leaseBound + time.Second)
			if _, end, known := cluster.entries[0].slots.Lookup(ctx, "never-seen", "other"); !known || end.NotStarted {
				t.Error("an attempt on a VM that stays unlisted was not reported as lost")
			}
		}},
		{"end is reported until acknowledged", 1, 1, 1, func(t *testing.T, cluster *testCluster) {
			worker := cluster.mustPlace(t, "a")
			cluster.failingReports = 2
			worker.tasks["a"].State = backing.TaskCompleted
			cluster.run(300 * time.Millisecond)
			if len(cluster.ended["a"]) != 0 || len(worker.tasks) != 1 {
				t.Fatal("worker was told to forget the task without acknowledgement")
			}
			cluster.run(2 * time.Second)
			if cluster.onlyEnd(t, "a"); len(worker.tasks) != 0 {
				t.Error("worker was not told to forget the task after the acknowledgement")
			}
		}},
		{"lookup drops a reservation", 1, 2, 2, func(t *testing.T, cluster *testCluster) {
			res, _ := cluster.entries[0].slots.Reserve(ctx, "dc00", request("a", 1000))
			_, end, known := cluster.entries[1].slots.Lookup(ctx, res.VM, "a")
			if !known || end == nil || !end.NotStarted {
				t.Fatalf("lookup: %+v, known %v, want an end with NotStarted", end, known)
			}
			if err := cluster.entries[0].slots.Start(ctx, res, task("a")); !isRefusal(err) {
				t.Errorf("start after lookup reported the attempt as not started: %v, want a refusal", err)
			}
			_, _, _ = cluster.entries[1].slots.Lookup(ctx, res.VM, "b")
			for _, id := range []fleet.AttemptID{"a", "b"} {
				got, err := cluster.owner(res.VM).slots.reserveLocal("dc00", request(id, 1000))
				if !isRefusal(err) {
					t.Errorf("reservation of %s after lookup reported it as not started: %+v, want a refusal", id, got)
				}
			}
		}},
		{"reservation expires and is released", 1, 1, 1, func(t *testing.T, cluster *testCluster) {
			e := cluster.entries[0]
			first, _ := e.slots.Reserve(ctx, "dc00", request("a", 3000))
			if _, err := e.slots.Reserve(ctx, "dc00", request("b", 3000)); !isRefusal(err) {
				t.Fatalf("second reservation of the same processors: %v, want a refusal", err)
			}
			e.slots.Release(ctx, first)
			second, err := e.slots.Reserve(ctx, "dc00", request("c", 3000))
			if err != nil {
				t.Fatalf("reservation was not released: %v", err)
			}
			cluster.run(ReservationTTL + 100*time.Millisecond)
			if err := e.slots.Start(ctx, second, task("c")); !isRefusal(err) {
				t.Errorf("start of an expired reservation: %v, want a refusal", err)
			}
		}},
		{"every entry reaches every owner", 2, 3, 6, func(t *testing.T, cluster *testCluster) {
			for i := range 12 { // all slots of dc01, from an entry of dc00
				id := fleet.AttemptID(fmt.Sprint("a", i))
				if _, err := cluster.place(t, cluster.entries[i%3], "dc01", id); err != nil {
					t.Fatalf("task %d of 12: %v", i, err)
				}
				cluster.run(time.Second)
			}
			if _, err := cluster.place(t, cluster.entries[0], "dc01", "b"); !isRefusal(err) {
				t.Errorf("placement on full VMs: %v, want a refusal", err)
			}
			cluster.run(6 * time.Second)
			for _, e := range cluster.entries {
				got := e.slots.Capacity("p")
				if len(got) != 2 || got[0].FreeSlots != 12 || got[1].FreeSlots != 0 || got[1].TotalSlots != 12 {
					t.Errorf("%s sees %+v, want 12 free slots in dc00 and none of 12 in dc01", e.member.ID, got)
				}
			}
			cluster.network.Leave("e000")
			for _, e := range cluster.entries[:3] {
				e.paused = true
			}
			cluster.run(8 * time.Second)
			if got := cluster.entries[4].slots.Capacity("p")[0]; got.FreeSlots != 1 || got.LargestFree != got.LargestVM {
				t.Errorf("outdated digests: %+v, want an eighth of the slots", got)
			}
		}},
		{"data centre without entries", 2, 2, 3, func(t *testing.T, cluster *testCluster) {
			cluster.fence(cluster.entries[0])
			cluster.fence(cluster.entries[1])
			cluster.distributeMembers()
			cluster.run(2 * time.Second)
			if _, err := cluster.place(t, cluster.entries[2], "dc00", "a"); err != nil {
				t.Errorf("VMs of a data centre without entries: %v", err)
			}
		}},
		{"VM list out of date", 1, 1, 1, func(t *testing.T, cluster *testCluster) {
			cluster.advance(listMaxAge + time.Millisecond)
			if _, err := cluster.place(t, cluster.entries[0], "dc00", "a"); !isRefusal(err) {
				t.Errorf("placement with a VM list that is out of date: %v, want a refusal", err)
			}
		}},
		{"overloaded VM", 1, 1, 1, func(t *testing.T, cluster *testCluster) {
			worker := cluster.mustPlace(t, "a")
			cluster.mustPlace(t, "b")
			worker.tasks["a"].Usage.MilliCPU, worker.tasks["b"].Usage.MilliCPU = 4000, 1000
			cluster.run(time.Second)
			if got := worker.tasks["a"].Usage.MilliCPU; got != 1000 {
				t.Errorf("task uses %d mCPU, want it throttled to 1000", got)
			}
			worker.tasks["a"].Usage.MemoryMB = 9000
			cluster.run(5 * time.Second)
			if end := cluster.onlyEnd(t, "a"); end.State != backing.TaskCheckpointed {
				t.Errorf("%+v, want a checkpoint", end)
			}
		}},
		{"failing worker is quarantined", 1, 1, 4, func(t *testing.T, cluster *testCluster) {
			bad := cluster.vmIDs[0] // placement prefers it among empty VMs
			for i := range 60 {
				id := fleet.AttemptID(fmt.Sprint("a", i))
				res, err := cluster.place(t, cluster.entries[0], "dc00", id)
				if err != nil {
					t.Fatal(err)
				}
				state := backing.TaskCompleted
				if res.VM == bad {
					state = backing.TaskFailed
				}
				cluster.workers[res.VM].tasks[id].State = state
				cluster.run(500 * time.Millisecond)
			}
			if cluster.entries[0].slots.health.State(bad) != "quarantined" {
				t.Errorf("worker that fails all tasks is %s, want quarantined", cluster.entries[0].slots.health.State(bad))
			}
		}},
		{"takeover counts running tasks before it gives out slots", 1, 2, 1, func(t *testing.T, cluster *testCluster) {
			cluster.mustPlace(t, "a")
			worker := cluster.mustPlace(t, "b")
			cluster.fence(cluster.owner(worker.vm.ID))
			cluster.distributeMembers()
			next := cluster.entries[0]
			if !next.valid {
				next = cluster.entries[1]
			}
			cluster.duringTasks = func() {
				if _, err := next.slots.Reserve(ctx, "dc00", request("c", 500)); err == nil {
					t.Error("gave out a slot before the task list was read")
				}
			}
			_ = next.slots.TickList(ctx)
			next.slots.TickLeases(ctx)
			if _, err := next.slots.Reserve(ctx, "dc00", request("d", 500)); !isRefusal(err) || cluster.duringTasks != nil {
				t.Errorf("reservation on a full VM: %v, want a refusal after the task list was read", err)
			}
		}},
		{"attempt starts while a lookup reads the list", 1, 1, 1, func(t *testing.T, cluster *testCluster) {
			e := cluster.entries[0]
			worker := cluster.workers[cluster.vmIDs[0]]
			lookup := func(id fleet.AttemptID, duringTasks func()) {
				cluster.duringTasks = duringTasks
				if _, end, known := e.slots.Lookup(ctx, worker.vm.ID, id); known && end != nil && end.NotStarted {
					cluster.markNotStarted(id, "Lookup")
				}
			}
			lookup("a", func() { _, _ = cluster.place(t, e, "dc00", "a") })
			lookup("b", func() {
				worker.holdNextStart = true
				_, _ = cluster.place(t, e, "dc00", "b")
			})
			_ = worker.start(cluster.heldStarts[0].lease, cluster.heldStarts[0].task, cluster.heldStarts[0].sent)
			cluster.run(2 * time.Second)
			worker.tasks["b"].State = backing.TaskCompleted
			cluster.run(time.Second)
			lookup("c", func() {
				_, _ = cluster.place(t, e, "dc00", "c")
				worker.tasks["c"].State = backing.TaskCompleted
				cluster.failingReports = 1 << 20
				cluster.run(time.Second)
			})
		}},
		{"task started while a list is read is not lost", 1, 1, 1, func(t *testing.T, cluster *testCluster) {
			cluster.mustPlace(t, "a")
			cluster.duringTasks = func() { cluster.mustPlace(t, "b") }
			cluster.run(time.Second)
			if stats := cluster.entries[0].slots.Stats(); stats.Running != 2 || stats.LostTasks != 0 {
				t.Errorf("%+v, want 2 running tasks and none lost", stats)
			}
		}},
		{"worker that lost its list", 1, 1, 1, func(t *testing.T, cluster *testCluster) {
			worker := cluster.mustPlace(t, "a")
			clear(worker.tasks)
			cluster.run(time.Second)
			if end := cluster.onlyEnd(t, "a"); end.State != "" || end.NotStarted {
				t.Errorf("%+v, want a lost task", end)
			}
			if _, end, known := cluster.entries[0].slots.Lookup(ctx, worker.vm.ID, "b"); known && end.NotStarted {
				t.Error("lookup took absence from a list that the worker has lost as proof that the attempt did not start")
			}
		}},
		{"resumed owner does not report tasks of the new owner as lost", 1, 2, 1, func(t *testing.T, cluster *testCluster) {
			worker := cluster.mustPlace(t, "a")
			former := cluster.owner(worker.vm.ID)
			former.paused = true
			cluster.fence(former)
			cluster.distributeMembers()
			cluster.run(leaseBound + 10*time.Second)
			former.paused = false
			cluster.run(time.Second)
			if !cluster.running("a") || len(cluster.ended["a"]) > 0 {
				t.Errorf("task ended: %+v, want it running", cluster.ended["a"])
			}
		}},
		{"fenced owner does not report tasks as lost", 1, 2, 1, func(t *testing.T, cluster *testCluster) {
			worker := cluster.workers[cluster.vmIDs[0]]
			former := cluster.owner(worker.vm.ID)
			worker.down = true
			cluster.run(leaseBound + 5*time.Second)
			worker.down = false
			other := cluster.entries[0]
			if other == former {
				other = cluster.entries[1]
			}
			cluster.setMembers([]control.Member{other.member})
			other.members = cluster.members // former still has the previous list
			_ = other.slots.TickList(ctx)
			other.slots.TickLeases(ctx)
			if _, err := cluster.place(t, other, "dc00", "a"); err != nil {
				t.Fatal(err)
			}
			former.slots.TickLeases(ctx)
			if _, end, known := former.slots.Lookup(ctx, worker.vm.ID, "a"); known && end != nil && cluster.running("a") {
				t.Errorf("lookup of a running task: %+v, want no end", end)
			}
		}},
		{"renewals with lost answers", 1, 1, 1, func(t *testing.T, cluster *testCluster) {
			worker := cluster.mustPlace(t, "a")
			worker.answersToLose = 1 << 20
			cluster.run(2 * leaseBound) // receiveEnd checks that the task does not run when it is reported
			if end := cluster.onlyEnd(t, "a"); end.State != "" {
				t.Errorf("%+v, want a lost task", end)
			}
		}},
		{"start that is delivered after the worker was lost", 1, 1, 1, func(t *testing.T, cluster *testCluster) {
			res, _ := cluster.entries[0].slots.Reserve(ctx, "dc00", request("a", 1000))
			worker := cluster.workers[res.VM]
			worker.holdNextStart = true
			_ = cluster.entries[0].slots.Start(ctx, res, task("a"))
			worker.down = true
			cluster.run(leaseBound + 5*time.Second)
			cluster.onlyEnd(t, "a")
			worker.down = false
			cluster.run(2 * time.Second)
			if err := worker.start(cluster.heldStarts[0].lease, cluster.heldStarts[0].task, cluster.heldStarts[0].sent); !errors.Is(err, backing.ErrFenced) {
				t.Errorf("start after its attempt was lost: %v, want ErrFenced", err)
			}
		}},
		{"no lease without a session", 1, 1, 1, func(t *testing.T, cluster *testCluster) {
			cluster.entries[0].valid = false
			cluster.run(2 * LeaseTTL)
			if worker := cluster.workers[cluster.vmIDs[0]]; cluster.clock.now.Before(worker.leaseExpiresAt) {
				t.Error("acquired a lease without a valid session")
			}
		}},
		{"refused start is not repeated", 1, 1, 2, func(t *testing.T, cluster *testCluster) {
			for _, worker := range cluster.workers {
				worker.refuseStarts = true
			}
			if _, err := cluster.place(t, cluster.entries[0], "dc00", "a"); !isRefusal(err) {
				t.Fatal(err)
			}
			if _, err := cluster.entries[0].slots.Reserve(ctx, "dc00", request("a", 1000)); !isRefusal(err) {
				t.Errorf("reservation after a refusal of the start: %v, want a refusal", err)
			}
		}},
		{"cancel", 1, 2, 2, func(t *testing.T, cluster *testCluster) {
			worker := cluster.mustPlace(t, "a")
			if err := cluster.entries[1].slots.Cancel(ctx, worker.vm.ID, "a"); err != nil {
				t.Fatal(err)
			}
			cluster.run(time.Second)
			if end := cluster.onlyEnd(t, "a"); end.State != backing.TaskStopped {
				t.Errorf("%+v, want a stopped task", end)
			}
			if err := cluster.entries[1].slots.Cancel(ctx, worker.vm.ID, "a"); !errors.Is(err, backing.ErrNotFound) {
				t.Errorf("second cancel: %v, want ErrNotFound", err)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cluster := newTestCluster(c.dcs, c.entries, c.vms)
			cluster.run(2 * time.Second)
			c.run(t, cluster)
			if cluster.violation != "" {
				t.Error(cluster.violation)
			}
		})
	}
}

// TestStartChecks guards against a start when one of its preconditions has ceased
// to hold since the reservation.
func TestStartChecks(t *testing.T) {
	ctx := context.Background()
	list := func(c *testCluster) { _ = c.entries[0].slots.TickList(ctx) }
	cases := map[string]func(c *testCluster, w *fakeWorker){
		"nothing":  func(*testCluster, *fakeWorker) {},
		"lease":    func(c *testCluster, _ *fakeWorker) { c.advance(2900 * time.Millisecond); list(c) },
		"evidence": func(c *testCluster, _ *fakeWorker) { c.entries[0].fresh = false },
		"session":  func(c *testCluster, _ *fakeWorker) { c.entries[0].valid = false },
		"data centre": func(c *testCluster, _ *fakeWorker) {
			c.setDC("dc00", fleet.DataCentreOut)
			c.entries[0].snapshot = c.config
		},
		"leaving": func(c *testCluster, w *fakeWorker) { w.vm.State = fleet.VMLeaving; list(c) },
		"draining": func(c *testCluster, w *fakeWorker) {
			c.pool[w.vm.ID] = Assignment{Pool: "p", State: placement.Draining}
		},
		"other pool": func(c *testCluster, w *fakeWorker) {
			c.pool[w.vm.ID] = Assignment{Pool: "q", State: placement.Active}
		},
		"no pool":     func(c *testCluster, w *fakeWorker) { delete(c.pool, w.vm.ID) },
		"VM list":     func(c *testCluster, _ *fakeWorker) { c.advance(listMaxAge + time.Millisecond) },
		"reservation": func(c *testCluster, _ *fakeWorker) { c.advance(ReservationTTL); list(c) },
		"owner": func(c *testCluster, _ *fakeWorker) {
			c.setMembers([]control.Member{{ID: "other", DataCentre: "dc00"}})
			c.distributeMembers()
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			cluster := newTestCluster(1, 1, 1)
			cluster.run(2 * time.Second)
			e, worker := cluster.entries[0], cluster.workers[cluster.vmIDs[0]]
			if name == "lease" { // not renewed for most of leaseUsableFor
				cluster.advance(leaseUsableFor - 2*time.Second)
				list(cluster)
			}
			res, err := e.slots.Reserve(ctx, "dc00", request("a", 1000))
			if err != nil {
				t.Fatal(err)
			}
			change(cluster, worker)
			err = e.slots.Start(ctx, res, task("a"))
			if isRefusal(err) != (name != "nothing") || cluster.running("a") != (name == "nothing") {
				t.Errorf("start after the change: %v, running %v, want a refusal unless nothing changed", err, cluster.running("a"))
			}
		})
	}
}

// TestDigestCodec guards against amounts that grow by more than one or shrink by
// more than a tenth when they are rounded to steps of a factor 2^(1/8), and
// against truncated messages that are accepted.
func TestDigestCodec(t *testing.T) {
	for n := range 5000 {
		if got := decodeCount(encodeCount(n)); got > n+1 || got < n*9/10 {
			t.Fatalf("%d slots become %d, want at most 1 more and at most a tenth less", n, got)
		}
		v := int64(n) * 37
		if got := decodeLog(encodeLog(v)); got > v+1 || got < v*9/10 {
			t.Fatalf("%d becomes %d, want at most 1 more and at most a tenth less", v, got)
		}
	}
	cluster := newTestCluster(1, 2, 1)
	cluster.run(time.Second)
	pools := cluster.entries[0].slots.pools()
	body := binary.BigEndian.AppendUint16(nil, pools.hash)
	body = pools.appendSection(body, sectionKey{dc: "dc00"}, 0, map[fleet.PoolName]record{"p": {}})
	for n := range body {
		err := cluster.entries[0].slots.mergeDigest("e001", digestMessage{Body: body[:n]})
		if (err == nil) != (n == listHashBytes) {
			t.Errorf("digest cut to %d of %d bytes: %v, want an error unless only the list hash is left", n, len(body), err)
		}
	}
}

// newLargeCluster returns a cluster with several pools and VMs of 8 slots.
func newLargeCluster(dcs, entries, vms, pools int) *testCluster {
	cluster := newTestCluster(dcs, entries, vms)
	for i, id := range cluster.vmIDs {
		cluster.workers[id].vm.Slots = 8
		cluster.workers[id].vm.Capacity = fleet.Resources{MilliCPU: 64000, MemoryMB: 131072}
		pool := fleet.PoolName(fmt.Sprintf("pool-%02d", i%pools))
		cluster.config.Pools[pool] = fleet.Pool{Name: pool}
		cluster.pool[id] = Assignment{Pool: pool, State: placement.Active}
	}
	return cluster
}

// changeTasks replaces the tasks of one in every n VMs, as starts and ends would.
func (c *testCluster) changeTasks(n int, step int) {
	for i, id := range c.vmIDs {
		if (i*7+step)%n != 0 {
			continue
		}
		worker := c.workers[id]
		clear(worker.tasks)
		for j := range (i*31 + step*17) % 8 {
			task := fleet.AttemptID(fmt.Sprint(id, "/", step, "/", j))
			worker.tasks[task] = &backing.TaskStatus{ID: task, State: backing.TaskRunning, Need: fleet.Resources{MilliCPU: int64(500 * (1 + j)), MemoryMB: 900}}
		}
	}
}

// BenchmarkDigests reports the bytes of digests that entries send each second
// when a part of the VMs changes each second.
func BenchmarkDigests(b *testing.B) {
	for _, size := range []struct{ dcs, entries, vms, pools, oneIn int }{
		{4, 2, 12, 5, 1}, {20, 5, 115, 25, 1}, {20, 5, 115, 25, 10},
	} {
		b.Run(fmt.Sprintf("dcs=%d/entries=%d/vms=%d/changed=1of%d", size.dcs, size.dcs*size.entries, size.dcs*size.vms, size.oneIn), func(b *testing.B) {
			for range b.N {
				cluster := newLargeCluster(size.dcs, size.entries, size.vms, size.pools)
				cluster.run(2 * time.Second)
				before := make([]uint64, len(cluster.entries))
				for i, e := range cluster.entries {
					before[i] = e.slots.Stats().DigestBytes
				}
				const seconds = 16
				for step := range seconds {
					cluster.changeTasks(size.oneIn, step)
					cluster.run(time.Second)
				}
				var sum, worst float64
				for i, e := range cluster.entries {
					rate := float64(e.slots.Stats().DigestBytes-before[i]) / seconds
					sum += rate
					worst = max(worst, rate)
				}
				b.ReportMetric(sum/float64(len(cluster.entries)), "B/s/entry")
				b.ReportMetric(worst, "B/s-worst")
			}
		})
	}
}

// BenchmarkOwner measures the owner's work by the number of owned VMs.
func BenchmarkOwner(b *testing.B) {
	for _, vms := range []int{12, 115, 2300} {
		cluster := newLargeCluster(1, 1, vms, 1+vms/92)
		cluster.run(2 * time.Second)
		s := cluster.entries[0].slots
		req := request("x", 1000)
		req.Pool = "pool-00"
		b.Run(fmt.Sprintf("reserve/vms=%d", vms), func(b *testing.B) {
			for i := range b.N {
				req.Attempt = fleet.AttemptID(fmt.Sprint(i))
				res, err := s.reserveLocal("dc00", req)
				if err != nil {
					b.Fatal(err)
				}
				delete(s.vms[res.VM].slots, req.Attempt)
			}
		})
		b.Run(fmt.Sprintf("list/vms=%d", vms), func(b *testing.B) {
			for b.Loop() {
				_ = s.TickList(context.Background())
			}
		})
		b.Run(fmt.Sprintf("capacity/vms=%d", vms), func(b *testing.B) {
			for b.Loop() {
				s.Capacity("pool-00")
			}
		})
	}
}

// BenchmarkMembers measures one second of ticks of one entry by the number of
// entries, with 23 VMs for each entry.
func BenchmarkMembers(b *testing.B) {
	for _, dcs := range []int{2, 8, 20} {
		cluster := newLargeCluster(dcs, 5, 115, 25)
		cluster.run(2 * time.Second)
		s := cluster.entries[0].slots
		b.Run(fmt.Sprintf("entries=%d", dcs*5), func(b *testing.B) {
			for b.Loop() {
				cluster.clock.now = cluster.clock.now.Add(time.Second)
				_ = s.TickList(context.Background())
				s.TickLeases(context.Background())
				s.TickTasks(context.Background())
				s.TickDigests(context.Background())
			}
		})
	}
}
