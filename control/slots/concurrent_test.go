package slots

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/control"
	"amaranthfork.example/fleet"
)

// lockedWorkers serialises the calls of the fake workers.
type lockedWorkers struct {
	mu sync.Mutex
	*testCluster
}

func (l *lockedWorkers) Acquire(ctx context.Context, vm fleet.VMID, lease backing.Lease, ttl time.Duration) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.testCluster.Acquire(ctx, vm, lease, ttl)
}

func (l *lockedWorkers) Start(ctx context.Context, vm fleet.VMID, lease backing.Lease, task backing.Task) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.testCluster.Start(ctx, vm, lease, task)
}

func (l *lockedWorkers) Tasks(ctx context.Context, vm fleet.VMID, lease backing.Lease) ([]backing.TaskStatus, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.testCluster.Tasks(ctx, vm, lease)
}

func (l *lockedWorkers) Forget(ctx context.Context, vm fleet.VMID, lease backing.Lease, ids []fleet.AttemptID) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.testCluster.Forget(ctx, vm, lease, ids)
}

func (l *lockedWorkers) Stop(ctx context.Context, vm fleet.VMID, lease backing.Lease, id fleet.AttemptID) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.testCluster.Stop(ctx, vm, lease, id)
}

// TestConcurrent guards against data races and slots that are given out twice
// when requests, ticks and cancellations run at the same time.
func TestConcurrent(t *testing.T) {
	ctx := context.Background()
	cluster := newTestCluster(1, 2, 4)
	cluster.run(2 * time.Second)
	workers := &lockedWorkers{testCluster: cluster}
	var acked atomic.Int64
	for _, e := range cluster.entries {
		e.slots.options.Workers, e.slots.options.MaxParallelCalls = workers, 8
		e.slots.options.OnTaskEnd = func(context.Context, control.TaskEnd) error { acked.Add(1); return nil }
	}
	var placed atomic.Int64
	var group sync.WaitGroup
	for i := range 8 {
		group.Go(func() {
			e := cluster.entries[i%2]
			for j := range 50 {
				id := fleet.AttemptID(fmt.Sprintf("%d-%d", i, j))
				res, err := e.slots.Reserve(ctx, "dc00", request(id, 1000))
				if err != nil || e.slots.Start(ctx, res, task(id)) != nil {
					continue
				}
				placed.Add(1)
				_ = e.slots.Cancel(ctx, res.VM, id)
			}
		})
	}
	for _, e := range cluster.entries {
		group.Go(func() {
			for range 50 {
				_ = e.slots.TickList(ctx)
				e.slots.TickLeases(ctx)
				for _, v := range e.slots.vmList() {
					e.slots.poll(ctx, v)
				}
				e.slots.TickEnds(ctx)
				e.slots.TickDigests(ctx)
				e.slots.Capacity("p")
			}
		})
	}
	group.Wait()
	for _, e := range cluster.entries {
		for _, v := range e.slots.vmList() {
			e.slots.poll(ctx, v)
		}
		e.slots.TickEnds(ctx)
	}
	if cluster.violation != "" || placed.Load() < 8 || acked.Load() != placed.Load() {
		t.Errorf("%d tasks placed, want at least 8, and %d ends acknowledged, want as many: %s", placed.Load(), acked.Load(), cluster.violation)
	}
}

func (s *Slots) vmList() []*ownedVM {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*ownedVM
	for _, v := range s.vms {
		list = append(list, v)
	}
	return list
}
