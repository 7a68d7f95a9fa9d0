package main

import (
	"fmt"
	"net/http"
	"time"
)

// routeOpened makes a route public by a manifest. Consumers' calls on it carry no key from
// then on.
func routeOpened(s *stage) string {
	pools := []string{"desk", "studio"}
	s.addPools(pools, 3, resources{CPU: 16000, Mem: 65536})
	routes := []route{{Name: "season", Prefix: "/season/", TargetMS: 2500, Service: "desk", MaxAttempts: 3, Stretch: 2.2}}
	tenants := []tenant{{Name: "painters", Keys: []string{"key-painters"}, Weight: 80}}
	s.putManifest(routes, pools, tenants)
	s.startEntries(3)
	j := s.submit("/season/", "key-painters", step{Count: 2, CPU: 2000, Mem: 2000, Est: 900, MaxPer: 1, Lasts: true, MayMiss: 1, workMS: 900})
	s.need(!j.acceptedAt.IsZero() && s.await(j, 10*time.Second, "running") == "running", "the job does not run")
	if s.trouble {
		routes[0].Public = true
		s.putManifest(routes, pools, tenants)
		j.key = ""
	}
	time.Sleep(8 * time.Second) // config_apply_ms is 2,000, contact_ms 3,000, visible_ms 3,000
	gone := 0
	for range 9 {
		status, body := s.call(http.MethodGet, j.prefix+j.id, j.key, nil)
		s.add("GET %s%s -> %d %s", j.prefix, j.id, status, body)
		if status == http.StatusGone {
			gone++
		}
		time.Sleep(300 * time.Millisecond)
	}
	status, body := s.call(http.MethodDelete, j.prefix+j.id, j.key, nil)
	s.add("DELETE %s%s -> %d %s", j.prefix, j.id, status, body)
	time.Sleep(5 * time.Second) // cancel_ms is 3,000, stop_grace_ms 900
	left := s.fleet.runsOf(j.id)
	s.add("%d tasks of the job run 5 s after the cancelling", left)
	if gone > 0 {
		return fmt.Sprintf("LOST: %d of 9 GETs for accepted job %s were answered 410, its cancelling was answered %d, and %d of its tasks still run 5 s later", gone, j.id, status, left)
	}
	return ""
}
