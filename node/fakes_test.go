package node

import (
	"context"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/sched/pool"
)

// fakeWorkers records orders. Orders of a kind in hanging get no answer before
// their timeout.
type fakeWorkers struct {
	mu      sync.Mutex
	hanging map[pool.CommandKind]bool
	orders  []fakeOrder
	renewal func(Renewal) (RenewalAnswer, error)
	renewed []Renewal
}

type fakeOrder struct {
	kind       pool.CommandKind
	task       string
	run        int
	token      int64
	deadlineMS int64
}

func (f *fakeWorkers) record(ctx context.Context, o fakeOrder) error {
	f.mu.Lock()
	f.orders = append(f.orders, o)
	hanging := f.hanging[o.kind]
	f.mu.Unlock()
	if !hanging {
		return nil
	}
	<-ctx.Done()
	return ErrNoAnswer
}

func (f *fakeWorkers) sent(kind pool.CommandKind, task string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, o := range f.orders {
		if o.kind == kind && o.task == task {
			n++
		}
	}
	return n
}

func (f *fakeWorkers) Renew(_ context.Context, _ WorkerRef, r Renewal) (RenewalAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.renewed = append(f.renewed, r)
	if f.renewal != nil {
		return f.renewal(r)
	}
	return RenewalAnswer{ClockMS: 1000, StartedMS: 1}, nil
}

func (f *fakeWorkers) Start(ctx context.Context, _ WorkerRef, o StartOrder) StartAnswer {
	if f.record(ctx, fakeOrder{pool.Start, o.Task, o.Run, o.Token, o.DeadlineMS}) != nil {
		return StartAnswer{Result: pool.StartUnconfirmed}
	}
	return StartAnswer{Result: pool.StartAccepted, ClockMS: 1000}
}

func (f *fakeWorkers) Stop(ctx context.Context, _ WorkerRef, task string, run int, token int64) error {
	return f.record(ctx, fakeOrder{kind: pool.Stop, task: task, run: run, token: token})
}

func (f *fakeWorkers) Throttle(ctx context.Context, _ WorkerRef, task string, run, _ int, token int64) error {
	return f.record(ctx, fakeOrder{kind: pool.Throttle, task: task, run: run, token: token})
}

// newTestVMClient returns a VM client whose owner may start runs and renew
// leases.
func newTestVMClient(t *testing.T, workers Workers) *vmClient {
	t.Helper()
	always := func(time.Duration) bool { return true }
	v := &vmClient{ref: WorkerRef{ID: "vm1", Address: "vm1:80"}, workers: workers, clock: NewBootClock(), log: zap.NewNop(),
		pool: "p", metrics: newMetrics(newTableLoads()), epoch: 3, lease: 5 * time.Second, deliver: func(func(*pool.Pool)) {},
		recorded: make(chan struct{}, 1), slots: newOrderSlots(), mayRenew: always, mayStart: always, count: &incarnationCount{}}
	if _, ok := v.renew(t.Context()); !ok {
		t.Fatal("first renewal failed")
	}
	return v
}

// command returns an order that is issued now.
func (s *vmClient) command(kind pool.CommandKind, task string) pool.Command {
	return pool.Command{Kind: kind, VM: s.ref.ID, Address: s.ref.Address, Task: task, Run: 1, IssuedAt: s.clock.Now().Steady}
}
