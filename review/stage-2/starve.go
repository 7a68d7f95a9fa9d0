package main

import (
	"sync"
	"time"
)

// hotTenant has a tenant send many times its usual to one pool, and afterwards hand in a
// lasting job for another pool, which is idle.
func hotTenant(s *stage) string {
	pools := []string{"train", "infer"}
	s.addPools(pools, 4, resources{CPU: 16000, Mem: 65536, GPU: 1})
	limit := resources{GPU: 10}
	routes := []route{
		{Name: "train", Prefix: "/train/", TargetMS: 600, Service: "train", MaxAttempts: 3, Stretch: 1.6},
		{Name: "infer", Prefix: "/infer/", TargetMS: 2500, Service: "infer", MaxAttempts: 3, Stretch: 2.2},
	}
	s.putManifest(routes, pools, []tenant{{Name: "painters", Keys: []string{"key-painters"}, Weight: 80, Cap: limit}})
	s.startEntries(3)
	const usual = 500 * time.Millisecond // between two jobs
	task := step{Count: 1, CPU: 2000, Mem: 4000, GPU: 1, Est: 1200, workMS: 1200}
	stop := make(chan struct{})
	var senders sync.WaitGroup
	send := func(pause time.Duration, end <-chan time.Time) {
		for {
			senders.Go(func() { s.submit("/train/", "key-painters", task) })
			select {
			case <-time.After(pause):
			case <-end:
				return
			case <-stop:
				return
			}
		}
	}
	senders.Go(func() { send(usual, nil) })
	time.Sleep(6 * time.Second)
	times := 7.5
	if s.trouble {
		s.add("the tenant sends %v times its usual", times)
		send(time.Duration(float64(usual)/(times-1)), time.After(6500*time.Millisecond))
		s.add("the tenant sends its usual")
	} else {
		time.Sleep(6500 * time.Millisecond)
	}
	time.Sleep(8 * time.Second)
	j := s.submit("/infer/", "key-painters", step{Count: 1, CPU: 2000, Mem: 4000, GPU: 1, Est: 900, MaxPer: 1, Lasts: true, workMS: 900})
	s.need(!j.acceptedAt.IsZero(), "the lasting job was not accepted")
	broken := ""
	if s.await(j, 6*time.Second, "running") != "running" {
		broken = s.idleWhileReady(j, resources{CPU: 2000, Mem: 4000, GPU: 1}, "infer", limit, 3*time.Second)
	}
	if broken != "" {
		s.await(j, 40*time.Second, "running")
		s.add("first run %.1f s after the acceptance, if any: %d runs", time.Since(j.acceptedAt).Seconds(), s.fleet.runsOf(j.id))
	}
	close(stop)
	senders.Wait()
	return broken
}
