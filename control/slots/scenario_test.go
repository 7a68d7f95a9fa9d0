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
func (w *world) owner(vm fleet.VMID) *entry {
	for _, e := range w.entries {
		if _, ok := e.slots.Status(vm); ok && e.valid {
			return e
		}
	}
	return nil
}

func (w *world) mustPlace(t *testing.T, id fleet.AttemptID) *worker {
	t.Helper()
	res, err := w.place(t, w.entries[0], "dc00", id)
	if err != nil {
		t.Fatal(err)
	}
	return w.workers[res.VM]
}

func (w *world) onlyEnd(t *testing.T, id fleet.AttemptID) control.TaskEnd {
	t.Helper()
	if len(w.ended[id]) != 1 {
		t.Fatalf("%d ends of %s, want 1", len(w.ended[id]), id)
	}
	return w.ended[id][0]
}

// TestScenarios checks single mechanisms of the owner and the dispatcher; each
// case is named after the behaviour that it expects or the fault that it causes.
func TestScenarios(t *testing.T) {
	ctx := context.Background()
	cases := []struct {
		name              string
		dcs, entries, vms int
		run               func(t *testing.T, w *world)
	}{
		{"takeover adopts tasks and reports their ends", 1, 2, 4, func(t *testing.T, w *world) {
			k := w.mustPlace(t, "a")
			w.fence(w.owner(k.vm.ID))
			w.distributeMembers()
			w.run(3 * time.Second)
			status, _ := w.owner(k.vm.ID).slots.Status(k.vm.ID)
			if status.Running != 1 || !status.Leased {
				t.Fatalf("after takeover: %+v", status)
			}
			k.tasks["a"].State = backing.TaskCompleted
			w.run(6 * time.Second)
			if end := w.onlyEnd(t, "a"); end.State != backing.TaskCompleted || len(k.tasks) != 0 {
				t.Errorf("end %+v, %d tasks not forgotten", end, len(k.tasks))
			}
		}},
		{"start with lost answer is resolved from the list", 1, 1, 1, func(t *testing.T, w *world) {
			res, _ := w.entries[0].slots.Reserve(ctx, "dc00", request("a", 1000))
			w.workers[res.VM].answersToLose = 1
			if err := w.entries[0].slots.Start(ctx, res, task("a")); err == nil || isRefusal(err) {
				t.Fatalf("start: %v, want an unconfirmed start", err)
			}
			w.run(2 * time.Second)
			if stats := w.entries[0].slots.Stats(); stats.Running != 1 {
				t.Errorf("%+v", stats)
			}
		}},
		{"start that is delivered late is fenced", 1, 1, 1, func(t *testing.T, w *world) {
			res, _ := w.entries[0].slots.Reserve(ctx, "dc00", request("a", 1000))
			k := w.workers[res.VM]
			k.holdNextStart = true
			_ = w.entries[0].slots.Start(ctx, res, task("a"))
			if _, err := w.place(t, w.entries[0], "dc00", "b"); !isRefusal(err) {
				t.Errorf("placed while a start was unconfirmed: %v", err)
			}
			w.run(2 * time.Second)
			if end := w.onlyEnd(t, "a"); !end.NotStarted {
				t.Errorf("%+v, want an end with NotStarted", end)
			}
			if err := k.start(w.heldStarts[0].lease, w.heldStarts[0].task, w.heldStarts[0].sent); !errors.Is(err, backing.ErrFenced) {
				t.Errorf("late start: %v, want fenced", err)
			}
		}},
		{"lost worker", 1, 1, 1, func(t *testing.T, w *world) {
			k := w.mustPlace(t, "a")
			k.down = true
			w.run(LeaseTTL - time.Second)
			if len(w.ended["a"]) != 0 {
				t.Fatal("reported as lost before its lease has expired")
			}
			w.run(2*RenewInterval + time.Second)
			if end := w.onlyEnd(t, "a"); end.State != "" || end.NotStarted || end.Job != "job-a" {
				t.Errorf("%+v", end)
			}
		}},
		{"VM gone from the list", 1, 1, 1, func(t *testing.T, w *world) {
			k := w.mustPlace(t, "a")
			w.vmIDs = nil
			w.run(leaseBound + 3*time.Second)
			if end := w.onlyEnd(t, "a"); end.State != "" || k.tasks["a"].State != backing.TaskStopped {
				t.Errorf("%+v, state on the worker %s", end, k.tasks["a"].State)
			}
			if _, end, known := w.entries[0].slots.Lookup(ctx, k.vm.ID, "other"); !known || end.NotStarted {
				t.Errorf("lookup on a gone VM: %+v, known %v", end, known)
			}
			if _, _, known := w.entries[0].slots.Lookup(ctx, "never-seen", "other"); known {
				t.Error("lookup gave an answer for an attempt on a VM that was never listed")
			}
			w.run(leaseBound + time.Second)
			if _, end, known := w.entries[0].slots.Lookup(ctx, "never-seen", "other"); !known || end.NotStarted {
				t.Error("an attempt on a VM that stays unlisted was not reported as lost")
			}
		}},
		{"end is reported until acknowledged", 1, 1, 1, func(t *testing.T, w *world) {
			k := w.mustPlace(t, "a")
			w.failingReports = 2
			k.tasks["a"].State = backing.TaskCompleted
			w.run(300 * time.Millisecond)
			if len(w.ended["a"]) != 0 || len(k.tasks) != 1 {
				t.Fatal("worker was told to forget the task without acknowledgement")
			}
			w.run(2 * time.Second)
			if w.onlyEnd(t, "a"); len(k.tasks) != 0 {
				t.Error("worker was not told to forget the task after the acknowledgement")
			}
		}},
		{"lookup drops a reservation", 1, 2, 2, func(t *testing.T, w *world) {
			res, _ := w.entries[0].slots.Reserve(ctx, "dc00", request("a", 1000))
			_, end, known := w.entries[1].slots.Lookup(ctx, res.VM, "a")
			if !known || end == nil || !end.NotStarted {
				t.Fatalf("lookup: %+v, known %v", end, known)
			}
			if err := w.entries[0].slots.Start(ctx, res, task("a")); !isRefusal(err) {
				t.Errorf("start after lookup reported the attempt as not started: %v", err)
			}
			_, _, _ = w.entries[1].slots.Lookup(ctx, res.VM, "b")
			for _, id := range []fleet.AttemptID{"a", "b"} {
				got, err := w.owner(res.VM).slots.reserveLocal("dc00", request(id, 1000))
				if !isRefusal(err) {
					t.Errorf("reservation of %s after lookup reported it as not started: %+v", id, got)
				}
			}
		}},
		{"reservation expires and is released", 1, 1, 1, func(t *testing.T, w *world) {
			e := w.entries[0]
			first, _ := e.slots.Reserve(ctx, "dc00", request("a", 3000))
			if _, err := e.slots.Reserve(ctx, "dc00", request("b", 3000)); !isRefusal(err) {
				t.Fatalf("processors reserved twice: %v", err)
			}
			e.slots.Release(ctx, first)
			second, err := e.slots.Reserve(ctx, "dc00", request("c", 3000))
			if err != nil {
				t.Fatalf("reservation was not released: %v", err)
			}
			w.run(ReservationTTL + 100*time.Millisecond)
			if err := e.slots.Start(ctx, second, task("c")); !isRefusal(err) {
				t.Errorf("expired reservation started: %v", err)
			}
		}},
		{"every entry reaches every owner", 2, 3, 6, func(t *testing.T, w *world) {
			for i := range 12 { // all slots of dc01, from an entry of dc00
				id := fleet.AttemptID(fmt.Sprint("a", i))
				if _, err := w.place(t, w.entries[i%3], "dc01", id); err != nil {
					t.Fatalf("task %d of 12: %v", i, err)
				}
				w.run(time.Second)
			}
			if _, err := w.place(t, w.entries[0], "dc01", "b"); !isRefusal(err) {
				t.Errorf("placed on full VMs: %v", err)
			}
			w.run(6 * time.Second)
			for _, e := range w.entries {
				got := e.slots.Capacity("p")
				if len(got) != 2 || got[0].FreeSlots != 12 || got[1].FreeSlots != 0 || got[1].TotalSlots != 12 {
					t.Errorf("%s sees %+v", e.member.ID, got)
				}
			}
			w.network.Leave("e000")
			for _, e := range w.entries[:3] {
				e.paused = true
			}
			w.run(8 * time.Second)
			if got := w.entries[4].slots.Capacity("p")[0]; got.FreeSlots != 1 || got.LargestFree != got.LargestVM {
				t.Errorf("outdated digests: %+v, want an eighth of the slots", got)
			}
		}},
		{"data centre without entries", 2, 2, 3, func(t *testing.T, w *world) {
			w.fence(w.entries[0])
			w.fence(w.entries[1])
			w.distributeMembers()
			w.run(2 * time.Second)
			if _, err := w.place(t, w.entries[2], "dc00", "a"); err != nil {
				t.Errorf("VMs of a data centre without entries: %v", err)
			}
		}},
		{"VM list out of date", 1, 1, 1, func(t *testing.T, w *world) {
			w.advance(listMaxAge + time.Millisecond)
			if _, err := w.place(t, w.entries[0], "dc00", "a"); !isRefusal(err) {
				t.Errorf("placed with a VM list that is out of date: %v", err)
			}
		}},
		{"overloaded VM", 1, 1, 1, func(t *testing.T, w *world) {
			k := w.mustPlace(t, "a")
			w.mustPlace(t, "b")
			k.tasks["a"].Usage.MilliCPU, k.tasks["b"].Usage.MilliCPU = 4000, 1000
			w.run(time.Second)
			if got := k.tasks["a"].Usage.MilliCPU; got != 1000 {
				t.Errorf("task uses %d mCPU, want it throttled to 1000", got)
			}
			k.tasks["a"].Usage.MemoryMB = 9000
			w.run(5 * time.Second)
			if end := w.onlyEnd(t, "a"); end.State != backing.TaskCheckpointed {
				t.Errorf("%+v, want a checkpoint", end)
			}
		}},
		{"failing worker is quarantined", 1, 1, 4, func(t *testing.T, w *world) {
			bad := w.vmIDs[0] // placement prefers it among empty VMs
			for i := range 60 {
				id := fleet.AttemptID(fmt.Sprint("a", i))
				res, err := w.place(t, w.entries[0], "dc00", id)
				if err != nil {
					t.Fatal(err)
				}
				state := backing.TaskCompleted
				if res.VM == bad {
					state = backing.TaskFailed
				}
				w.workers[res.VM].tasks[id].State = state
				w.run(500 * time.Millisecond)
			}
			if w.entries[0].slots.health.State(bad) != "quarantined" {
				t.Errorf("worker that fails all tasks is %s", w.entries[0].slots.health.State(bad))
			}
		}},
		{"takeover counts running tasks before it gives out slots", 1, 2, 1, func(t *testing.T, w *world) {
			w.mustPlace(t, "a")
			k := w.mustPlace(t, "b")
			w.fence(w.owner(k.vm.ID))
			w.distributeMembers()
			next := w.entries[0]
			if !next.valid {
				next = w.entries[1]
			}
			w.duringTasks = func() {
				if _, err := next.slots.Reserve(ctx, "dc00", request("c", 500)); err == nil {
					t.Error("gave out a slot before the task list was read")
				}
			}
			_ = next.slots.TickList(ctx)
			next.slots.TickLeases(ctx)
			if _, err := next.slots.Reserve(ctx, "dc00", request("d", 500)); !isRefusal(err) || w.duringTasks != nil {
				t.Errorf("gave out a slot of a full VM: %v", err)
			}
		}},
		{"attempt starts while a lookup reads the list", 1, 1, 1, func(t *testing.T, w *world) {
			e := w.entries[0]
			k := w.workers[w.vmIDs[0]]
			lookup := func(id fleet.AttemptID, meanwhile func()) {
				w.duringTasks = meanwhile
				if _, end, known := e.slots.Lookup(ctx, k.vm.ID, id); known && end != nil && end.NotStarted {
					w.markNotStarted(id, "Lookup")
				}
			}
			lookup("a", func() { _, _ = w.place(t, e, "dc00", "a") })
			lookup("b", func() {
				k.holdNextStart = true
				_, _ = w.place(t, e, "dc00", "b")
			})
			_ = k.start(w.heldStarts[0].lease, w.heldStarts[0].task, w.heldStarts[0].sent)
			w.run(2 * time.Second)
			k.tasks["b"].State = backing.TaskCompleted
			w.run(time.Second)
			lookup("c", func() {
				_, _ = w.place(t, e, "dc00", "c")
				k.tasks["c"].State = backing.TaskCompleted
				w.failingReports = 1 << 20
				w.run(time.Second)
			})
		}},
		{"task started while a list is read is not lost", 1, 1, 1, func(t *testing.T, w *world) {
			w.mustPlace(t, "a")
			w.duringTasks = func() { w.mustPlace(t, "b") }
			w.run(time.Second)
			if stats := w.entries[0].slots.Stats(); stats.Running != 2 || stats.LostTasks != 0 {
				t.Errorf("%+v", stats)
			}
		}},
		{"worker that lost its list", 1, 1, 1, func(t *testing.T, w *world) {
			k := w.mustPlace(t, "a")
			clear(k.tasks)
			w.run(time.Second)
			if end := w.onlyEnd(t, "a"); end.State != "" || end.NotStarted {
				t.Errorf("%+v, want a lost task", end)
			}
			if _, end, known := w.entries[0].slots.Lookup(ctx, k.vm.ID, "b"); known && end.NotStarted {
				t.Error("absence proves nothing after the worker lost its list")
			}
		}},
		{"resumed owner does not report tasks of the new owner as lost", 1, 2, 1, func(t *testing.T, w *world) {
			k := w.mustPlace(t, "a")
			old := w.owner(k.vm.ID)
			old.paused = true
			w.fence(old)
			w.distributeMembers()
			w.run(leaseBound + 10*time.Second)
			old.paused = false
			w.run(time.Second)
			if !w.running("a") || len(w.ended["a"]) > 0 {
				t.Errorf("task ended: %+v", w.ended["a"])
			}
		}},
		{"fenced owner does not report tasks as lost", 1, 2, 1, func(t *testing.T, w *world) {
			k := w.workers[w.vmIDs[0]]
			old := w.owner(k.vm.ID)
			k.down = true
			w.run(leaseBound + 5*time.Second)
			k.down = false
			other := w.entries[0]
			if other == old {
				other = w.entries[1]
			}
			w.setMembers([]control.Member{other.member})
			other.members = w.members // old still has the previous list
			_ = other.slots.TickList(ctx)
			other.slots.TickLeases(ctx)
			if _, err := w.place(t, other, "dc00", "a"); err != nil {
				t.Fatal(err)
			}
			old.slots.TickLeases(ctx)
			if _, end, known := old.slots.Lookup(ctx, k.vm.ID, "a"); known && end != nil && w.running("a") {
				t.Errorf("lookup of a running task: %+v", end)
			}
		}},
		{"renewals with lost answers", 1, 1, 1, func(t *testing.T, w *world) {
			k := w.mustPlace(t, "a")
			k.answersToLose = 1 << 20
			w.run(2 * leaseBound) // receiveEnd checks that the task does not run when it is reported
			if end := w.onlyEnd(t, "a"); end.State != "" {
				t.Errorf("%+v", end)
			}
		}},
		{"start that is delivered after the worker was lost", 1, 1, 1, func(t *testing.T, w *world) {
			res, _ := w.entries[0].slots.Reserve(ctx, "dc00", request("a", 1000))
			k := w.workers[res.VM]
			k.holdNextStart = true
			_ = w.entries[0].slots.Start(ctx, res, task("a"))
			k.down = true
			w.run(leaseBound + 5*time.Second)
			w.onlyEnd(t, "a")
			k.down = false
			w.run(2 * time.Second)
			if err := k.start(w.heldStarts[0].lease, w.heldStarts[0].task, w.heldStarts[0].sent); !errors.Is(err, backing.ErrFenced) {
				t.Errorf("start after its attempt was lost: %v", err)
			}
		}},
		{"no lease without a session", 1, 1, 1, func(t *testing.T, w *world) {
			w.entries[0].valid = false
			w.run(2 * LeaseTTL)
			if k := w.workers[w.vmIDs[0]]; w.clock.now.Before(k.leaseExpiresAt) {
				t.Error("acquired a lease without a valid session")
			}
		}},
		{"refused start is not repeated", 1, 1, 2, func(t *testing.T, w *world) {
			for _, k := range w.workers {
				k.refuseStarts = true
			}
			if _, err := w.place(t, w.entries[0], "dc00", "a"); !isRefusal(err) {
				t.Fatal(err)
			}
			if _, err := w.entries[0].slots.Reserve(ctx, "dc00", request("a", 1000)); !isRefusal(err) {
				t.Errorf("reservation after a refusal of the start: %v", err)
			}
		}},
		{"cancel", 1, 2, 2, func(t *testing.T, w *world) {
			k := w.mustPlace(t, "a")
			if err := w.entries[1].slots.Cancel(ctx, k.vm.ID, "a"); err != nil {
				t.Fatal(err)
			}
			w.run(time.Second)
			if end := w.onlyEnd(t, "a"); end.State != backing.TaskStopped {
				t.Errorf("%+v", end)
			}
			if err := w.entries[1].slots.Cancel(ctx, k.vm.ID, "a"); !errors.Is(err, backing.ErrNotFound) {
				t.Errorf("second cancel: %v", err)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(c.dcs, c.entries, c.vms)
			w.run(2 * time.Second)
			c.run(t, w)
			if w.violation != "" {
				t.Error(w.violation)
			}
		})
	}
}

// TestStartChecks guards against a start when one of its preconditions has ceased
// to hold since the reservation.
func TestStartChecks(t *testing.T) {
	ctx := context.Background()
	list := func(w *world) { _ = w.entries[0].slots.TickList(ctx) }
	cases := map[string]func(w *world, k *worker){
		"nothing":  func(*world, *worker) {},
		"lease":    func(w *world, _ *worker) { w.advance(2900 * time.Millisecond); list(w) },
		"evidence": func(w *world, _ *worker) { w.entries[0].fresh = false },
		"session":  func(w *world, _ *worker) { w.entries[0].valid = false },
		"data centre": func(w *world, _ *worker) {
			w.setDC("dc00", fleet.DataCentreOut)
			w.entries[0].snapshot = w.config
		},
		"leaving":     func(w *world, k *worker) { k.vm.State = fleet.VMLeaving; list(w) },
		"draining":    func(w *world, k *worker) { w.assigned[k.vm.ID] = Assignment{Pool: "p", State: placement.Draining} },
		"other pool":  func(w *world, k *worker) { w.assigned[k.vm.ID] = Assignment{Pool: "q", State: placement.Active} },
		"no pool":     func(w *world, k *worker) { delete(w.assigned, k.vm.ID) },
		"VM list":     func(w *world, _ *worker) { w.advance(listMaxAge + time.Millisecond) },
		"reservation": func(w *world, _ *worker) { w.advance(ReservationTTL); list(w) },
		"owner": func(w *world, _ *worker) {
			w.setMembers([]control.Member{{ID: "other", DataCentre: "dc00"}})
			w.distributeMembers()
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, 1, 1)
			w.run(2 * time.Second)
			e, k := w.entries[0], w.workers[w.vmIDs[0]]
			if name == "lease" { // not renewed for most of leaseUsableFor
				w.advance(leaseUsableFor - 2*time.Second)
				list(w)
			}
			res, err := e.slots.Reserve(ctx, "dc00", request("a", 1000))
			if err != nil {
				t.Fatal(err)
			}
			change(w, k)
			err = e.slots.Start(ctx, res, task("a"))
			if isRefusal(err) != (name != "nothing") || w.running("a") != (name == "nothing") {
				t.Errorf("start after the change: %v, running %v", err, w.running("a"))
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
			t.Fatalf("%d slots become %d", n, got)
		}
		v := int64(n) * 37
		if got := decodeLog(encodeLog(v)); got > v+1 || got < v*9/10 {
			t.Fatalf("%d becomes %d", v, got)
		}
	}
	w := newWorld(1, 2, 1)
	w.run(time.Second)
	pools := w.entries[0].slots.pools()
	body := binary.BigEndian.AppendUint16(nil, pools.hash)
	body = pools.appendSection(body, sectionKey{dc: "dc00"}, 0, map[fleet.PoolName]record{"p": {}})
	for n := range body {
		err := w.entries[0].slots.mergeDigest("e001", digestMessage{Body: body[:n]})
		if (err == nil) != (n == listHashBytes) {
			t.Errorf("%d of %d bytes: %v", n, len(body), err)
		}
	}
}

// newLargeWorld returns a world with several pools and VMs of 8 slots.
func newLargeWorld(dcs, entries, vms, pools int) *world {
	w := newWorld(dcs, entries, vms)
	for i, id := range w.vmIDs {
		w.workers[id].vm.Slots = 8
		w.workers[id].vm.Capacity = fleet.Resources{MilliCPU: 64000, MemoryMB: 131072}
		pool := fleet.PoolName(fmt.Sprintf("pool-%02d", i%pools))
		w.config.Pools[pool] = fleet.Pool{Name: pool}
		w.assigned[id] = Assignment{Pool: pool, State: placement.Active}
	}
	return w
}

// changeTasks replaces the tasks of one in part VMs, as starts and ends would.
func (w *world) changeTasks(part int, step int) {
	for i, id := range w.vmIDs {
		if (i*7+step)%part != 0 {
			continue
		}
		k := w.workers[id]
		clear(k.tasks)
		for j := range (i*31 + step*17) % 8 {
			task := fleet.AttemptID(fmt.Sprint(id, "/", step, "/", j))
			k.tasks[task] = &backing.TaskStatus{ID: task, State: backing.TaskRunning, Need: fleet.Resources{MilliCPU: int64(500 * (1 + j)), MemoryMB: 900}}
		}
	}
}

// BenchmarkDigests reports the bytes of digests that entries send each second
// when a part of the VMs changes each second.
func BenchmarkDigests(b *testing.B) {
	for _, size := range []struct{ dcs, entries, vms, pools, part int }{
		{4, 2, 12, 5, 1}, {20, 5, 115, 25, 1}, {20, 5, 115, 25, 10},
	} {
		b.Run(fmt.Sprintf("dcs=%d/entries=%d/vms=%d/changed=1of%d", size.dcs, size.dcs*size.entries, size.dcs*size.vms, size.part), func(b *testing.B) {
			for range b.N {
				w := newLargeWorld(size.dcs, size.entries, size.vms, size.pools)
				w.run(2 * time.Second)
				before := make([]uint64, len(w.entries))
				for i, e := range w.entries {
					before[i] = e.slots.Stats().DigestBytes
				}
				const seconds = 16
				for step := range seconds {
					w.changeTasks(size.part, step)
					w.run(time.Second)
				}
				var sum, worst float64
				for i, e := range w.entries {
					rate := float64(e.slots.Stats().DigestBytes-before[i]) / seconds
					sum += rate
					worst = max(worst, rate)
				}
				b.ReportMetric(sum/float64(len(w.entries)), "B/s/entry")
				b.ReportMetric(worst, "B/s-worst")
			}
		})
	}
}

// BenchmarkOwner measures the owner's work by the number of owned VMs.
func BenchmarkOwner(b *testing.B) {
	for _, vms := range []int{12, 115, 2300} {
		w := newLargeWorld(1, 1, vms, 1+vms/92)
		w.run(2 * time.Second)
		s := w.entries[0].slots
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
		w := newLargeWorld(dcs, 5, 115, 25)
		w.run(2 * time.Second)
		s := w.entries[0].slots
		b.Run(fmt.Sprintf("entries=%d", dcs*5), func(b *testing.B) {
			for b.Loop() {
				w.clock.now = w.clock.now.Add(time.Second)
				_ = s.TickList(context.Background())
				s.TickLeases(context.Background())
				s.TickTasks(context.Background())
				s.TickDigests(context.Background())
			}
		})
	}
}
