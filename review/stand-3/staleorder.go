package main

import (
	"strings"
	"time"
)

func init() { cases["stale-order"] = staleOrder }

// staleOrder: the inventory does not answer for 5 s. An upkeep order for a drained machine stays
// without an answer. Meanwhile the machine's worker crashes and comes back, and a lasting job
// starts on it. Then the inventory answers again.
func staleOrder(w *world, trouble bool) bool {
	const key = "k-press"
	w.store.put("op", "config", manifest(1,
		[]map[string]any{route("r-press", "/press/", "press", nil)}, []map[string]any{service("press")}, []map[string]any{tenant("t-1", map[string]int64{}, key)}))
	for _, m := range []string{"m-2", "m-3", "m-4", "m-5", "m-6", "m-7", "m-8"} {
		w.addMachine(m, "press", 16000, 100)
	}
	e := w.newEntry("edge-1")
	e.awaitReady()
	lasting := func(id string, count int, cpu int64, more map[string]any) {
		more["long_running"], more["may_miss"] = true, 1
		if status, _ := e.call("POST", "/press/"+id, key, job(plan{CPU: cpu, UpMS: 700}, step(count, cpu, more))); status != 200 {
			w.note("job %s was not accepted", id)
			w.end(2)
		}
		w.await(10*time.Second, "all tasks of "+id+" run", func() bool { return len(w.runningTasks(id)) == count })
	}
	const filler, victim = "00000000000000f1", "00000000000000a1"
	lasting(filler, 7, 12000, map[string]any{"max_per_server": 1})
	w.addMachine("m-1", "press", 16000, 100)
	w.await(15*time.Second, "m-1 has a worker that the entry knows", func() bool { return e.logged("event=vm_fenced", "vm="+w.workerOf("m-1")) })
	time.Sleep(3 * time.Second) // the inventory is read every 2 s

	began := time.Now()
	if trouble {
		w.note("the inventory stops answering")
		w.cloud.set(false, true)
	}
	w.note("operator: op/wave/1 for m-1")
	w.store.put("op", "wave/1", map[string]any{"wave": 1, "machines": []string{"m-1"}, "duration_s": 30, "cap": 1})
	if trouble {
		w.await(4*time.Second, "an upkeep order for m-1 was sent", func() bool { return e.logged("event=machine_order ", "machine=m-1") })
		w.killWorker("m-1")
		time.Sleep(500 * time.Millisecond)
		w.startWorker("m-1")
		w.await(4*time.Second, "the entry knows the new worker", func() bool { return e.logged("event=vm_fenced", "vm="+w.workerOf("m-1")) })
	} else {
		w.await(15*time.Second, "m-1 has had its upkeep", func() bool { return strings.Contains(string(w.store.get("status", "wave/1")), "succeeded") })
		w.await(10*time.Second, "the entry knows the new worker", func() bool { return e.logged("event=vm_fenced", "vm="+w.workerOf("m-1")) })
	}
	lasting(victim, 2, 6000, map[string]any{})
	time.Sleep(time.Second) // the tasks are at work: their start-up is over
	if trouble {
		time.Sleep(time.Until(began.Add(5 * time.Second)))
		w.note("the inventory answers again")
		w.cloud.set(false, false)
	}
	// An order may end one task while the other is at work; may_miss is 1.
	held := !w.within(12*time.Second, func() bool { return w.endedByOrder(victim) >= 2 })
	w.note("tasks of %s that an order for their machine ended at the same time: %d; may_miss is 1", victim, w.endedByOrder(victim))
	e.keepLog()
	return held
}
