package main

import (
	"encoding/json"
	"net/http"
	"time"
)

func init() { cases["advice"] = hopelessLastingJobs }

// hopelessLastingJobs: two lasting jobs come to a queue with advice whose policy allows no worker
// for them, so that they can never be done. Another queue of the service has no advice.
func hopelessLastingJobs(w *world, trouble bool) bool {
	const key, id = "k-lab", "00000000000000d9"
	w.advice = w.serve(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		var asked struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		_ = json.NewDecoder(r.Body).Decode(&asked)
		time.Sleep(time.Duration(20+2*len(asked.Workers)) * time.Millisecond)
		w.note("advice: step %s, %d workers named: none may run it", asked.Step, len(asked.Workers))
		reply(rw, http.StatusOK, map[string]any{"good": [][]string{}, "validity_ms": 3000})
	}))
	advice := map[string]any{"advice": map[string]any{"decision_ms": 20, "period_ms": 2, "validity_ms": 3000}}
	w.store.put("op", "config", manifest(1, []map[string]any{route("r-lab", "/lab/", "lab", nil), route("r-policy", "/policy/", "lab", advice)},
		[]map[string]any{service("lab")}, []map[string]any{tenant("t-1", map[string]int64{}, key)}))
	for _, m := range []string{"m-1", "m-2", "m-3", "m-4"} {
		w.addMachine(m, "lab", 16000, 100)
	}
	e := w.newEntry("edge-1")
	e.awaitReady()
	w.await(10*time.Second, "the entry knows the workers", func() bool {
		known := true
		for _, m := range []string{"m-1", "m-2", "m-3", "m-4"} {
			known = known && e.logged("event=vm_fenced", "vm="+w.workerOf(m))
		}
		return known
	})
	// Two workers are nearly full: 28 of the service's 64 cores are in use.
	const busy = "00000000000000d0"
	e.call("POST", "/lab/"+busy, key, job(plan{CPU: 14000, UpMS: 700}, step(2, 14000, map[string]any{"long_running": true, "max_per_server": 1})))
	w.await(10*time.Second, "a lasting job runs on two workers", func() bool { return len(w.runningTasks(busy)) == 2 })
	if trouble {
		for _, hopeless := range []string{"00000000000000f1", "00000000000000f2"} {
			e.call("POST", "/policy/"+hopeless, key, job(plan{CPU: 1000}, step(1, 1000, map[string]any{"long_running": true})))
		}
	}
	time.Sleep(2 * time.Second)
	status, _ := e.call("POST", "/lab/"+id, key, job(plan{CPU: 4000, MS: 1000}, step(1, 4000, nil)))
	if status != 200 {
		w.note("the job was not accepted")
		w.end(2)
	}
	done := w.within(20*time.Second, func() bool {
		for _, r := range w.runs() {
			if jobOf(r.task) == id && r.how == "done" {
				return true
			}
		}
		return false
	})
	e.call("GET", "/lab/"+id, key, nil)
	w.note("the job was done within 20 s: %v; its runs: %d; two of the four workers were idle all the while", done, len(w.startedAfter(id, time.UnixMilli(0))))
	e.keepLog()
	return done
}
