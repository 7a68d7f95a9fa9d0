package main

import "time"

func init() { cases["crashes"] = crashes }

// crashes: the worker under the only task of a job crashes three times, each time seconds after the
// task has started there, and another one comes back on its machine. No run of the task ends as
// failed; max_attempts is 4.
func crashes(w *world, trouble bool) bool {
	const key, id = "k-print", "00000000000000b1"
	w.store.put("op", "config", manifest(1,
		[]map[string]any{route("r-print", "/print/", "print", nil)}, []map[string]any{service("print")}, []map[string]any{tenant("t-1", map[string]int64{}, key)}))
	for _, m := range []string{"m-1", "m-2", "m-3", "m-4", "m-5", "m-6", "m-7", "m-8"} {
		w.addMachine(m, "print", 16000, 100)
	}
	e := w.newEntry("edge-1")
	e.awaitReady()
	w.await(10*time.Second, "the entry knows a worker", func() bool { return e.logged("event=vm_fenced") })
	time.Sleep(time.Second)
	one := job(plan{CPU: 4000, MS: 9000}, map[string]any{"count": 1, "cpu": 4000, "mem_mb": 256, "estimate_ms": 9000})
	if status, _ := e.call("POST", "/print/"+id, key, one); status != 200 {
		w.note("the job was not accepted")
		w.end(2)
	}
	state := func() string {
		_, answer := e.call("GET", "/print/"+id, key, nil)
		s, _ := answer["state"].(string)
		return s
	}
	for range 3 {
		if !trouble {
			break
		}
		if !w.within(12*time.Second, func() bool { return len(w.runningTasks(id)) == 1 }) {
			break
		}
		time.Sleep(4 * time.Second)
		running := w.runningTasks(id)
		if len(running) == 0 {
			break
		}
		machine := w.machineOf(running[0].worker)
		w.killWorker(machine)
		time.Sleep(2 * time.Second)
		w.startWorker(machine)
		time.Sleep(time.Second)
		state()
	}
	final := ""
	w.within(30*time.Second, func() bool {
		final = state()
		time.Sleep(time.Second)
		return final == "succeeded" || final == "failed" || final == "cancelled"
	})
	failed := 0
	for _, r := range w.runs() {
		if r.how == "failed" {
			failed++
		}
	}
	w.note("the job is shown as %q; runs that ended failed: %d of max_attempts 4; nobody cancelled it", final, failed)
	e.keepLog()
	return final == "succeeded"
}
