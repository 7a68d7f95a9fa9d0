package main

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// gangOnSickWorker hands in a gang while one worker of the pool fails all that it starts.
func gangOnSickWorker(s *stage) string {
	const attempts = 2
	pool := []string{"proof"}
	s.addPools(pool, 12, resources{CPU: 16000, Mem: 65536})
	routes := []route{{Name: "photo", Prefix: "/photo/", TargetMS: 600, Service: "proof", MaxAttempts: attempts, Stretch: 1.6}}
	s.putManifest(routes, pool, []tenant{{Name: "painters", Keys: []string{"key-painters"}, Weight: 80}})
	s.startEntries(3)
	gang := step{Count: 24, CPU: 4000, Mem: 4000, Est: 1500, Gang: true, workMS: 1500}
	first := s.submit("/photo/", "key-painters", gang)
	s.need(!first.acceptedAt.IsZero() && s.await(first, 15*time.Second, "succeeded", "failed") == "succeeded", "the first gang has not been done")
	if s.trouble {
		s.fleet.setSick("m-proof-7", true)
	}
	j := s.submit("/photo/", "key-painters", gang)
	s.need(!j.acceptedAt.IsZero(), "the gang was not accepted")
	go func() {
		time.Sleep(6500 * time.Millisecond)
		if s.trouble {
			s.fleet.setSick("m-proof-7", false)
		}
	}()
	state := s.await(j, 25*time.Second, "succeeded", "failed")
	failed := map[int]int{} // by run: members that ended as failed
	byTask := map[string]int{}
	for _, e := range s.fleet.eventsOf(j.id) {
		if e.kind == "failed" {
			failed[e.run]++
			byTask[e.task]++
		}
	}
	most := 0
	for _, n := range byTask {
		most = max(most, n)
	}
	s.add("the gang is shown as %q; failed ends by run %v; at most %d of one task", state, failed, most)
	if state == "failed" && len(failed) < attempts && most < attempts {
		return fmt.Sprintf("LOST: gang %s is shown as failed after %d run of it has failed and at most %d run of any task; max_attempts is %d", j.id, len(failed), most, attempts)
	}
	return ""
}

// gangAfterRackCrash crashes the workers of the rack on which a gang runs.
func gangAfterRackCrash(s *stage) string {
	pool := []string{"studio"}
	s.addPools(pool, 4, resources{CPU: 16000, Mem: 65536})
	routes := []route{{Name: "render", Prefix: "/render/", TargetMS: 600, Service: "studio", MaxAttempts: 2, Stretch: 1.6}}
	s.putManifest(routes, pool, []tenant{{Name: "painters", Keys: []string{"key-painters"}, Weight: 80}})
	s.startEntries(3)
	for i := range 4 { // ordinary work that ends at different moments on the four workers
		s.submit("/render/", "key-painters", step{Count: 1, CPU: 9000, Mem: 1000, Est: 1000, workMS: 1000 + 250*i})
	}
	time.Sleep(3500 * time.Millisecond)
	j := s.submit("/render/", "key-painters", step{Count: 8, CPU: 4000, Mem: 4000, Est: 9000, Saves: true, Gang: true, workMS: 9000})
	s.need(!j.acceptedAt.IsZero(), "the gang was not accepted")
	s.need(s.await(j, 5*time.Second, "running") == "running", "the gang does not run")
	startedAt := s.fleet.eventsOf(j.id)[0].at
	time.Sleep(time.Until(startedAt.Add(3500 * time.Millisecond)))
	if s.trouble {
		s.fleet.crash(2*time.Second, "m-studio-1", "m-studio-2", "m-studio-3", "m-studio-4")
	}
	s.await(j, 30*time.Second, "succeeded", "failed")
	carried := map[int]map[string][]string{} // by run: tasks by the checkpoint that their start carried
	for _, e := range s.fleet.eventsOf(j.id) {
		if e.kind == "start" {
			if carried[e.run] == nil {
				carried[e.run] = map[string][]string{}
			}
			carried[e.run][e.checkpoint] = append(carried[e.run][e.checkpoint], e.task[strings.LastIndexByte(e.task, '.')+1:])
		}
	}
	broken := ""
	for number, values := range carried {
		s.add("run %d: members by checkpoint %v", number, values)
		if len(values) > 1 {
			names := []string{}
			for value, tasks := range values {
				names = append(names, fmt.Sprintf("%q (members %s)", value, strings.Join(tasks, ", ")))
			}
			sort.Strings(names)
			broken = fmt.Sprintf("UNASKED: the members of run %d of gang %s were told to start with different checkpoints: %s", number, j.id, strings.Join(names, " and "))
		}
	}
	return broken
}
