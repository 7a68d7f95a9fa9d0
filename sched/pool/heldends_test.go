package pool_test

import (
	"testing"
	"time"

	"amaranthfork.example/sched/pool"
)

// Guards against a VM that stands still after a takeover (LOST): one end that the former owner may
// have held keeps all later ends from being acknowledged, and a VM lists 500 ends at a time.
func TestHeldEndDoesNotHideLaterEnds(t *testing.T) {
	h := newHarness(t)
	a := h.addVM("a", 64000)
	h.settle()
	h.submit(shortJob(3000))
	h.settle()
	h.endAll(pool.EndDone)
	renew := func() {
		l := h.list(a)
		if len(l.Ended) > 500 {
			l.Ended, l.Complete = l.Ended[:500], false
		}
		h.handleListing(a, l)
		h.cycle()
	}
	h.handleListing(a, h.list(a))
	h.cycle()
	h.takeover()
	started := h.starts
	last, lastAt := started, h.now.Steady
	stall := time.Duration(0)
	for range 200 { // 20 s; each run takes about 0.9 s
		h.advance(100 * time.Millisecond)
		renew()
		if h.starts > last {
			last, lastAt = h.starts, h.now.Steady
		}
		stall = max(stall, h.now.Steady-lastAt)
		n := 0
		for _, name := range sortedNames(a.running) {
			if n++; n <= 7 {
				h.end(a, name, pool.EndDone)
			}
		}
		if h.starts-started > 2800 {
			break
		}
	}
	if stall > 3*time.Second {
		t.Errorf("nothing starts for %v after the takeover; %d starts", stall, h.starts-started)
	}
}
