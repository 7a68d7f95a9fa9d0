package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

func init() { cases["large"] = largeJobs }

// rssMB returns the resident memory of a process in MB.
func (e *entry) rssMB() int {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.c.Process.Pid))
	for _, line := range strings.Split(string(b), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])
			return kb / 1024
		}
	}
	return 0
}

func largeJobs(w *world, trouble bool) bool {
	const key = "k-x"
	w.store.put("op", "config", manifest(1,
		[]map[string]any{route("r-x", "/x/", "x", nil)}, []map[string]any{service("x")}, []map[string]any{tenant("t-1", map[string]int64{}, key)}))
	for _, m := range []string{"m-1", "m-2", "m-3"} {
		w.addMachine(m, "x", 16000, 100)
	}
	e := w.newEntry("edge-1")
	e.awaitReady()
	w.await(10*time.Second, "the entry knows a worker", func() bool { return e.logged("event=vm_fenced") })
	n, _ := strconv.Atoi(os.Getenv("N"))
	count, _ := strconv.Atoi(os.Getenv("COUNT"))
	reps, _ := strconv.Atoi(os.Getenv("REPS"))
	for i := range n {
		j := job(plan{CPU: 4000, MS: 1000}, map[string]any{"count": count, "cpu": 4000, "mem_mb": 256, "estimate_ms": 1000, "requires": os.Getenv("LABEL")})
		if reps > 0 {
			j["repetitions"], j["interval_ms"], j["first_run_ms"] = reps, 60000, 1
		}
		e.call("POST", fmt.Sprintf("/x/%016x", i+1), key, j)
		w.note("rss %d MB", e.rssMB())
	}
	short := job(plan{CPU: 100, MS: 500}, map[string]any{"count": 1, "cpu": 100, "mem_mb": 256, "estimate_ms": 500})
	e.call("POST", "/x/00000000000000ff", key, short)
	for range 10 {
		time.Sleep(time.Second)
		w.note("rss %d MB, runs %d", e.rssMB(), len(w.startedAfter("00000000000000ff", time.UnixMilli(0))))
	}
	e.keepLog()
	return true
}
