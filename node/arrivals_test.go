package node

import (
	"testing"
	"time"

	"amaranthfork.example/sched/pool"
)

// Guards against VMs that stand unseen at the start of a pool's turn, when many
// of them come at a time, and against looking for them all the time.
func TestDiscoveryPauseShortensBeforeArrival(t *testing.T) {
	clock := &testClock{pool.Time{Steady: time.Minute}}
	a := newArrivals(clock, 1500*time.Millisecond)
	f := follower{pause: discoverPause, expectChange: a.imminent}
	check := func(when string, want time.Duration) {
		t.Helper()
		if got := f.currentPause(); got != want {
			t.Errorf("%s: pause %v, want %v", when, got, want)
		}
	}
	check("nothing is on its way", discoverPause)
	a.expect("m1")
	a.expect("m2")
	check("right after the order", discoverPause)
	clock.now = clock.now.Add(1400 * time.Millisecond)
	a.expect("m1") // its row has changed
	check("they may come", expectedChangePause)
	a.forget("m1")
	check("one is still to come", expectedChangePause)
	clock.now = clock.now.Add(1200 * time.Millisecond)
	check("it has not come for long", discoverPause)
	a.forget("m2")
}
