package apply_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"amaranthfork.example/control/apply"
	"amaranthfork.example/control/view"
)

// runNodes ticks each node in a goroutine of its own, on the clock of the
// synctest bubble, until ctx is done.
func runNodes(ctx context.Context, c *cluster) {
	for _, n := range c.nodes {
		go func() {
			ticker := time.NewTicker(view.TickInterval)
			defer ticker.Stop()
			for {
				select {
				case <-ticker.C:
					_ = n.members.Tick(ctx)
					_ = n.view.Tick(ctx)
				case <-ctx.Done():
					return
				}
			}
		}()
	}
}

// Guards against data races of concurrent ticks and changes (with the race
// detector), against two changes that are committed on the same base, and
// against an Apply that does not return when members are unreachable.
func TestConcurrentApplies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := start(t, 6, 3)
		c.bubble, c.bubbleStart = true, time.Now().Add(-c.now)
		ctx, cancel := context.WithCancel(t.Context())
		runNodes(ctx, c)
		time.Sleep(3 * time.Second)
		var mu sync.Mutex
		accepted, refused := 0, 0
		var wg sync.WaitGroup
		for i, n := range c.nodes {
			wg.Go(func() {
				result, err := n.apply.Apply(ctx, change(fmt.Sprint("racer", i), 1))
				mu.Lock()
				defer mu.Unlock()
				var conflict *apply.ConflictError
				switch {
				case err == nil && result.Accepted && result.Revision == 2:
					accepted++
				case errors.As(err, &conflict) && conflict.HeadRevision == 2:
					refused++
				default:
					t.Errorf("change of node %d: %+v, %v; want it accepted as revision 2 or a conflict with revision 2", i, result, err)
				}
			})
		}
		wg.Wait()
		if accepted != 1 || refused != 5 {
			t.Errorf("%d changes accepted and %d refused, want 1 and 5", accepted, refused)
		}
		for _, n := range c.nodes[1:] {
			n.faults.SetDown(true)
		}
		c.partition(true, func(n *node) bool { return n == c.nodes[0] })
		began := time.Now()
		result, err := c.nodes[0].apply.Apply(ctx, change("pending", 2))
		if took := time.Since(began); err != nil || result.Accepted || len(result.Waiting) != 5 || took > apply.DefaultMaxWait+time.Second {
			t.Errorf("a change that reached one of six members: %+v, %v after %v; want it pending on 5 members after DefaultMaxWait", result, err, took)
		}
		cancel()
		synctest.Wait()
	})
}
