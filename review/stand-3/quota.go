package main

import (
	"syscall"
	"time"
)

func init() { cases["quota"] = quotaAfterHandover }

// quotaAfterHandover: a job that uses all of its tenant's cap is cancelled, and the entry that
// schedules its pool is stopped as planned a moment later. The stops take less than
// stop_grace_ms. Another job of the tenant waits for the cap.
func quotaAfterHandover(w *world, trouble bool) bool {
	const key, first, second = "k-cut", "00000000000000d1", "00000000000000d2"
	const limit, task = 8000, 1000
	w.store.put("op", "config", manifest(1,
		[]map[string]any{route("r-cut", "/cut/", "cut", nil)}, []map[string]any{service("cut")}, []map[string]any{tenant("t-1", map[string]int64{"cpu": limit}, key)}))
	for _, m := range []string{"m-1", "m-2", "m-3"} {
		w.addMachine(m, "cut", 16000, 880)
	}
	owner := w.newEntry("edge-1")
	owner.awaitReady()
	w.await(10*time.Second, "edge-1 schedules the pool", func() bool { return owner.logged("event=vm_fenced") })
	other := w.newEntry("edge-2")
	other.awaitReady()
	time.Sleep(4 * time.Second)
	tasks := func() map[string]any {
		return job(plan{CPU: task, MS: 30000}, map[string]any{"count": 8, "cpu": task, "mem_mb": 256, "estimate_ms": 30000})
	}
	other.call("POST", "/cut/"+first, key, tasks())
	w.await(10*time.Second, "the first job uses the cap", func() bool { return len(w.runningTasks(first)) == 8 })
	other.call("POST", "/cut/"+second, key, tasks())
	time.Sleep(2 * time.Second)
	if n := len(w.runningTasks(second)); n != 0 {
		w.note("the second job has %d runs beside the first", n)
		w.end(2)
	}
	other.call("DELETE", "/cut/"+first, key, nil)
	if trouble {
		time.Sleep(50 * time.Millisecond)
		owner.signal(syscall.SIGTERM)
	}
	w.within(15*time.Second, func() bool { return len(w.runningTasks(second)) == 8 })
	time.Sleep(2 * time.Second)
	most := w.mostAtAStart(task)
	allowed := int64(limit + limit/10 + task)
	w.note("most that the tenant had running at a start: %d; its cap %d, a tenth and one task more: %d", most, limit, allowed)
	owner.keepLog()
	other.keepLog()
	return most <= allowed
}

// mostAtAStart returns the largest sum of what runs of all tasks, of one size, took right after a
// start.
func (w *world) mostAtAStart(size int64) int64 {
	most, now := int64(0), map[string]bool{}
	for _, e := range w.eventsOf() {
		k := e.Worker + " " + e.Task
		switch e.Kind {
		case "start":
			now[k] = true
			most = max(most, size*int64(len(now)))
		case "end":
			delete(now, k)
		}
	}
	return most
}
