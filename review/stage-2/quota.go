package main

import (
	"fmt"
	"time"
)

var fivePools = []string{"desk", "studio", "roster", "proof", "office"}

// addPools adds n machines of 16 cores to each pool.
func (s *stage) addPools(pools []string, n int, capacity resources) {
	for i, pool := range pools {
		for k := range n {
			zone := (i + k) % len(zones)
			s.fleet.addMachine(fmt.Sprintf("m-%s-%d", pool, k+1), pool, zones[zone], fmt.Sprintf("r%d-%d", i+1, k/4+1), capacity)
		}
	}
}

// quotaChange gives a tenant a cap by a manifest, and hands in a job that fits into the cap.
func quotaChange(s *stage) string {
	const newCap = 16000
	worker := resources{CPU: 16000, Mem: 65536}
	s.addPools(fivePools, 2, worker)
	routes := []route{{Name: "quote", Prefix: "/quote/", TargetMS: 600, Service: "desk", MaxAttempts: 3, Stretch: 1.6}}
	tenants := []tenant{{Name: "painters", Keys: []string{"key-painters"}, Weight: 80}}
	s.putManifest(routes, fivePools, tenants)
	s.startEntries(3)
	large := step{Count: 1, CPU: 12000, Mem: 4000, Est: 1000, workMS: 1000}
	first := s.submit("/quote/", "key-painters", large)
	s.need(!first.acceptedAt.IsZero() && s.await(first, 10*time.Second, "succeeded") == "succeeded", "the first job has not been done")
	if s.trouble {
		tenants[0].Cap.CPU = newCap
		s.putManifest(routes, fivePools, tenants)
	}
	time.Sleep(10 * time.Second)
	j := s.submit("/quote/", "key-painters", large)
	s.need(!j.acceptedAt.IsZero(), "the second job was not accepted")
	if state := s.await(j, 20*time.Second, "succeeded"); state == "succeeded" {
		return ""
	}
	return s.idleWhileReady(j, large.need(), "desk", tenants[0].Cap, 3*time.Second)
}

// idleWhileReady watches a job whose task's turn has come, for a time in which the rule
// LOST wants something of it to run if there is room. It returns how the rule was broken.
func (s *stage) idleWhileReady(j *job, need resources, pool string, limit resources, watch time.Duration) string {
	for end := time.Now().Add(watch); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		free, whole, starts := s.fleet.room(pool, need)
		held := s.fleet.runningOf(j.key)
		switch {
		case s.fleet.runsOf(j.id) > 0:
			s.add("the job has something running")
			return ""
		case starts < 2:
			s.add("there is no capacity for it twice over")
			return ""
		case 2*held.CPU >= limit.CPU && limit.CPU > 0 || 2*held.GPU >= limit.GPU && limit.GPU > 0:
			s.add("its tenant has half of its cap or more: %+v of %+v", held, limit)
			return ""
		case 2*free.CPU <= whole.CPU:
			s.add("half of the capacity of %s is in use", pool)
			return ""
		}
	}
	free, whole, starts := s.fleet.room(pool, need)
	return fmt.Sprintf("LOST: for %v job %s, accepted %.1f s ago, had nothing running. Its tenant runs %+v, its cap is %+v; %s has %+v of %+v free, room for %d such tasks; the job is shown as %q",
		watch, j.id, time.Since(j.acceptedAt).Seconds(), s.fleet.runningOf(j.key), limit, pool, free, whole, starts, s.state(j))
}
