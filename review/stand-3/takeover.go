package main

import (
	"syscall"
	"time"
)

func init() { cases["takeover"] = takeoverOfUnansweredStart }

// takeoverOfUnansweredStart: a worker falls silent; a start is sent to it and has no answer. The
// worker's entry leaves service discovery, as the worker is silent, and then the entry that
// schedules the pool is stopped as planned. The worker's machine comes back as another worker.
// Seven other workers are idle all the while.
func takeoverOfUnansweredStart(w *world, trouble bool) bool {
	const key, id = "k-roster", "00000000000000c7"
	w.store.put("op", "config", manifest(1,
		[]map[string]any{route("r-roster", "/roster/", "roster", nil)}, []map[string]any{service("roster")}, []map[string]any{tenant("t-1", map[string]int64{}, key)}))
	machines := []string{"m-1", "m-2", "m-3", "m-4", "m-5", "m-6", "m-7", "m-8"}
	for _, m := range machines {
		w.addMachine(m, "roster", 16000, 100)
	}
	owner := w.newEntry("edge-1")
	owner.awaitReady()
	w.await(10*time.Second, "edge-1 knows the workers", func() bool {
		known := true
		for _, m := range machines {
			known = known && owner.logged("event=vm_fenced", "vm="+w.workerOf(m))
		}
		return known
	})
	other, third := w.newEntry("edge-2"), w.newEntry("edge-3")
	other.awaitReady()
	third.awaitReady()
	time.Sleep(4 * time.Second)

	silent := w.workerOf("m-1")
	handedInAt := time.Now()
	if trouble {
		w.note("worker %s falls silent", silent)
		w.stopWorker("m-1")
		time.Sleep(200 * time.Millisecond)
	}
	if status, _ := other.call("POST", "/roster/"+id, key, job(plan{CPU: 4000, UpMS: 700}, step(1, 4000, map[string]any{"long_running": true}))); status != 200 {
		w.note("the job was not accepted")
		w.end(2)
	}
	if trouble {
		if !w.within(3*time.Second, func() bool { return owner.logged("event=start_unanswered", "vm="+silent) }) {
			w.note("the start did not go to the silent worker")
			w.end(2)
		}
		w.await(8*time.Second, "the silent worker has left service discovery", func() bool { return w.store.get("servers", silent) == nil })
		owner.signal(syscall.SIGTERM)
		time.Sleep(time.Until(handedInAt.Add(7 * time.Second)))
		w.killWorker("m-1")
		w.startWorker("m-1")
	}
	calmFrom := time.Now()
	began := func() bool { return len(w.startedAfter(id, time.UnixMilli(0))) > 0 }
	// finish_s is 14; nothing of the job may be missing for 3 s then.
	held := w.within(time.Until(handedInAt.Add(17*time.Second)), began)
	if !held {
		w.note("%.1f s after it was handed in, and %.1f s after the last disruption, the job has nothing running; eight workers are idle", time.Since(handedInAt).Seconds(), time.Since(calmFrom).Seconds())
		w.within(20*time.Second, began)
	}
	w.note("the job has begun: %v, %.1f s after it was handed in", began(), time.Since(handedInAt).Seconds())
	owner.keepLog()
	other.keepLog()
	return held
}
