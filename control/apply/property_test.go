package apply_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthfork.example/fleet"
)

// Runs a fleet with random faults. Guards against acting on a revision after a
// higher one was accepted, against a revision that goes down, and against a
// change that creates two revisions (see cluster.check, node.change).
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := rapid.IntRange(1, 7).Draw(t, "entries")
		c := start(t, entries, rapid.IntRange(1, 4).Draw(t, "data centres"))
		pick := func(t *rapid.T) *node {
			return rapid.SampledFrom(c.nodes).Draw(t, "node")
		}
		one := func(n *node) func(*node) bool { return func(m *node) bool { return m == n } }
		begun := 1
		try := func(n *node, id string, base fleet.Revision) {
			if n.off || n.paused {
				return
			}
			if err := n.change(id, base); err != nil {
				t.Logf("%v: %s: %s on %d: %v", c.now, n.vm, id, base, err)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				c.advance(time.Duration(rapid.IntRange(1, 60).Draw(t, "tenths")) * 100 * time.Millisecond)
			},
			"cut node":  func(t *rapid.T) { c.partition(rapid.Bool().Draw(t, "cut"), one(pick(t))) },
			"cut dc":    func(t *rapid.T) { c.partition(rapid.Bool().Draw(t, "cut"), in(string(pick(t).dc))) },
			"heal":      func(*rapid.T) { clear(c.cutLinks); c.storeDown(false, all) },
			"store":     func(t *rapid.T) { c.storeDown(rapid.Bool().Draw(t, "down"), one(pick(t))) },
			"store dc":  func(t *rapid.T) { c.storeDown(rapid.Bool().Draw(t, "down"), in(string(pick(t).dc))) },
			"store all": func(t *rapid.T) { c.storeDown(rapid.Bool().Draw(t, "down"), all) },
			"lose":      func(t *rapid.T) { pick(t).faults.LoseAnswers(rapid.IntRange(1, 3).Draw(t, "answers")) },
			"lose peer": func(t *rapid.T) {
				c.network.LoseAnswers(pick(t).members.Self().ID, pick(t).members.Self().ID, 2)
			},
			"vm list": func(t *rapid.T) { c.vmsDown = rapid.Bool().Draw(t, "down") },
			"join": func(t *rapid.T) {
				if len(c.nodes) < 12 {
					_ = c.add(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "dc"), 1.004).join()
				}
			},
			"kill":  func(t *rapid.T) { pick(t).kill(rapid.Bool().Draw(t, "gone")) },
			"gone":  func(t *rapid.T) { n := pick(t); c.gone[n.vm] = n.off },
			"pause": func(t *rapid.T) { pick(t).paused = true },
			"resume": func(t *rapid.T) {
				pick(t).paused = false
			},
			"stop": func(t *rapid.T) {
				n := pick(t)
				if n.off || n.paused {
					return
				}
				n.apply.Stop()
				n.view.SendGoodbye(t.Context())
				_ = n.members.Leave(t.Context())
				n.kill(false)
			},
			"apply": func(t *rapid.T) {
				n := pick(t)
				begun++
				try(n, fmt.Sprint("change", begun), n.view.Revision())
			},
			"race": func(t *rapid.T) {
				begun += 2
				a, b := pick(t), pick(t)
				base := a.view.Revision()
				try(a, fmt.Sprint("change", begun-1), base)
				try(b, fmt.Sprint("change", begun), base)
			},
			"retry": func(t *rapid.T) {
				// If the change has been committed, Begin ignores its base.
				n := pick(t)
				try(n, fmt.Sprint("change", rapid.IntRange(2, begun+1).Draw(t, "change")), n.view.Revision())
			},
		})
		// When the faults have ended, all running entries must act again without
		// intervention.
		clear(c.cutLinks)
		c.storeDown(false, all)
		c.vmsDown = false
		alive := 0
		for _, n := range c.nodes {
			n.paused = false
			if n.off {
				c.gone[n.vm] = true
			} else {
				alive++
			}
		}
		if alive == 0 {
			return
		}
		c.advance(25 * time.Second)
		if got := len(c.fresh()); got != alive {
			t.Fatalf("%d of %d entries act after the faults have ended", got, alive)
		}
	})
}
