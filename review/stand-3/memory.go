package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["memory"] = memoryOfOwners }

const memoryMB = 284 // memory_mb in the settings

// rssMB returns the resident memory of the process in MB, 0 if it has ended.
func (e *entry) rssMB() int {
	e.mu.Lock()
	pid := e.c.Process.Pid
	e.mu.Unlock()
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(b), "\n") {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "VmRSS:" {
			kb, _ := strconv.Atoi(f[1])
			return kb / 1024
		}
	}
	return 0
}

// supervise does what the platform does: it kills the process when it exceeds memory_mb, and starts
// an ended one again after a short delay. kills counts the former.
func (e *entry) supervise(kills *atomic.Int64) {
	for {
		time.Sleep(20 * time.Millisecond)
		e.world.mu.Lock()
		stop := e.world.stop
		e.world.mu.Unlock()
		if stop {
			return
		}
		if mb := e.rssMB(); mb > memoryMB {
			e.world.note("platform: %s takes %d MB, memory_mb is %d: killed", e.name, mb, memoryMB)
			kills.Add(1)
			e.signal(syscall.SIGKILL)
		}
		e.mu.Lock()
		gone := e.gone
		e.mu.Unlock()
		select {
		case <-gone:
			time.Sleep(killRestart)
			e.start()
		default:
		}
	}
}

// memoryOfOwners: 100 large jobs that can never be done come at once. An ordinary job of another
// tenant follows.
func memoryOfOwners(w *world, trouble bool) bool {
	const key, other, id = "k-bulk", "k-desk", "00000000000000ff"
	w.store.put("op", "config", manifest(1, []map[string]any{route("r-bulk", "/bulk/", "shop", nil), route("r-desk", "/desk/", "shop", nil)},
		[]map[string]any{service("shop")}, []map[string]any{tenant("t-1", map[string]int64{}, key), tenant("t-2", map[string]int64{}, other)}))
	for _, m := range []string{"m-1", "m-2", "m-3"} {
		w.addMachine(m, "shop", 16000, 100)
	}
	entries := []*entry{w.newEntry("edge-1"), w.newEntry("edge-2")}
	for _, e := range entries {
		e.awaitReady()
	}
	time.Sleep(2 * time.Second)
	kills := make([]atomic.Int64, len(entries))
	for i, e := range entries {
		go e.supervise(&kills[i])
	}
	accepted := 0
	for i := range 100 {
		if !trouble {
			break
		}
		large := job(plan{CPU: 1000, MS: 1000}, step(10000, 1000, map[string]any{"requires": "z"}))
		for try := range 4 {
			status, _ := entries[(i+try)%2].call("POST", fmt.Sprintf("/bulk/%016x", i+1), key, large)
			if status == 200 {
				accepted++
			}
			if status/100 == 2 || status/100 == 4 {
				break
			}
			time.Sleep(300 * time.Millisecond)
		}
	}
	w.note("large jobs accepted: %d", accepted)
	time.Sleep(3 * time.Second)
	handedIn := false
	for try := range 40 {
		if status, _ := entries[try%2].call("POST", "/desk/"+id, other, job(plan{CPU: 1000, MS: 1000}, step(1, 1000, nil))); status == 200 {
			handedIn = true
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	if !handedIn {
		w.note("the ordinary job was not accepted")
	}
	done := w.within(40*time.Second, func() bool {
		for _, r := range w.runs() {
			if jobOf(r.task) == id && r.how == "done" {
				return true
			}
		}
		return false
	})
	often := 0
	for i := range kills {
		w.note("%s was killed over memory_mb %d times", entries[i].name, kills[i].Load())
		if kills[i].Load() >= 3 {
			often++
		}
	}
	w.note("the ordinary job was done within 40 s: %v; runs of all jobs: %d", done, len(w.runs()))
	return done && often < 2
}
