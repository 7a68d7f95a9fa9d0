package main

import "time"

func init() { cases["revoke"] = revokedOnPublicRoute }

// revokedOnPublicRoute: a tenant loses a key. A consumer that still has it goes on calling a public
// route.
func revokedOnPublicRoute(w *world, trouble bool) bool {
	const key, kept = "k-lost", "k-kept"
	put := func(version int, keys ...string) {
		w.store.put("op", "config", manifest(version, []map[string]any{route("r-open", "/open/", "open", map[string]any{"public": true})},
			[]map[string]any{service("open")}, []map[string]any{tenant("t-1", map[string]int64{}, keys...)}))
	}
	put(1, key, kept)
	w.addMachine("m-1", "open", 16000, 100)
	e := w.newEntry("edge-1")
	e.awaitReady()
	w.await(10*time.Second, "the entry knows a worker", func() bool { return e.logged("event=vm_fenced") })
	short := job(plan{CPU: 1000, MS: 500}, map[string]any{"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 500})
	if status, _ := e.call("POST", "/open/00000000000000e1", key, short); status != 200 {
		w.end(2)
	}
	if trouble {
		w.note("operator: manifest 2 without key %s", key)
		put(2, kept)
	}
	time.Sleep(6 * time.Second) // revoke_ms is 5 s
	status, _ := e.call("POST", "/open/00000000000000e2", key, short)
	time.Sleep(2 * time.Second)
	w.note("a call with the key 6 s later: %d; runs of its job: %d", status, len(w.startedAfter("00000000000000e2", time.UnixMilli(0))))
	e.keepLog()
	if !trouble {
		return status == 200 // the key is in force
	}
	return status/100 != 2
}
