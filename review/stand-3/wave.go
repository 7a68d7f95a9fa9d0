package main

import (
	"strings"
	"time"
)

func init() { cases["wave"] = waveDuringOutage }

// waveDuringOutage: the inventory answers 503 for 5 s. A machine joins the pool in that time, and an
// operator declares a wave for it.
func waveDuringOutage(w *world, trouble bool) bool {
	const key = "k-desk"
	w.store.put("op", "config", manifest(1,
		[]map[string]any{route("r-desk", "/desk/", "desk", nil)}, []map[string]any{service("desk")}, []map[string]any{tenant("t-1", map[string]int64{}, key)}))
	w.addMachine("m-1", "desk", 16000, 100)
	w.addMachine("m-2", "desk", 16000, 100)
	e := w.newEntry("edge-1")
	e.awaitReady()
	w.await(10*time.Second, "the entry knows a worker", func() bool { return e.logged("event=vm_fenced") })
	time.Sleep(3 * time.Second) // the inventory is read every 2 s
	if trouble {
		w.note("the inventory answers 503")
		w.cloud.set(true, false)
		time.AfterFunc(5*time.Second, func() {
			w.note("the inventory answers again")
			w.cloud.set(false, false)
		})
	}
	w.addMachine("m-9", "desk", 16000, 100)
	w.await(5*time.Second, "the entry knows the new worker", func() bool { return e.logged("event=vm_fenced", "vm="+w.workerOf("m-9")) })
	w.note("operator: op/wave/1 for m-9")
	w.store.put("op", "wave/1", map[string]any{"wave": 1, "machines": []string{"m-9"}, "duration_s": 20, "cap": 1})
	begun := func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return w.machines["m-9"].done["1"]
	}
	early := false
	w.within(22*time.Second, func() bool {
		early = early || strings.Contains(string(w.store.get("status", "wave/1")), "succeeded") && !begun()
		return early || begun()
	})
	time.Sleep(3 * time.Second)
	w.note("status/wave/1: %s; m-9 has begun its upkeep: %v", w.store.get("status", "wave/1"), begun())
	e.keepLog()
	return !early
}
