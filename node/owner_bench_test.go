package node

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/catalog"
	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/pool"
	"amaranthfork.example/sched/store"
	"amaranthfork.example/sched/store/memstore"
	"amaranthfork.example/sched/tables"
)

// benchRows decodes the rows of benchWorkers.
type benchRows struct{ Rows }

func (benchRows) VMTable() string { return "vms" }

func (benchRows) DecodeVM(row store.Row) (ListedVM, error) {
	var listed ListedVM
	return listed, json.Unmarshal(row.Value, &listed)
}

// benchWorkers runs each task for runTime.
type benchWorkers struct {
	runTime time.Duration
	mu      sync.Mutex
	workers map[string]*benchWorker
	done    atomic.Int64
}

type benchWorker struct {
	mu      sync.Mutex
	running map[string]pool.RunState
	ends    []pool.RunEnd
	last    int64
	changed chan struct{}
}

func (b *benchWorkers) worker(id string) *benchWorker {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.workers[id]
}

func (b *benchWorkers) Renew(ctx context.Context, ref WorkerRef, r Renewal) (RenewalAnswer, error) {
	w := b.worker(ref.ID)
	timer := time.NewTimer(r.Wait)
	defer timer.Stop()
	for {
		w.mu.Lock()
		kept := w.ends[:0]
		for _, e := range w.ends {
			if e.Sequence > r.AcknowledgedEnds {
				kept = append(kept, e)
			}
		}
		w.ends = kept
		answer := RenewalAnswer{ClockMS: time.Now().UnixMilli(), StartedMS: 1, Ended: append([]pool.RunEnd(nil), w.ends...)}
		for _, run := range w.running {
			answer.Running = append(answer.Running, run)
		}
		changed := w.changed
		w.mu.Unlock()
		if len(answer.Ended) > 0 || r.Wait == 0 {
			return answer, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			r.Wait = 0
		case <-ctx.Done():
			return RenewalAnswer{}, ErrNoAnswer
		}
	}
}

func (b *benchWorkers) Start(_ context.Context, ref WorkerRef, o StartOrder) StartAnswer {
	w := b.worker(ref.ID)
	w.mu.Lock()
	w.running[o.Task] = pool.RunState{Task: o.Task, Run: o.Run, ProgressPercent: 50}
	w.mu.Unlock()
	time.AfterFunc(b.runTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.running, o.Task)
		w.last++
		w.ends = append(w.ends, pool.RunEnd{Sequence: w.last, Task: o.Task, Run: o.Run, Cause: pool.EndDone})
		close(w.changed)
		w.changed = make(chan struct{})
		b.done.Add(1)
	})
	return StartAnswer{Result: pool.StartAccepted, ClockMS: time.Now().UnixMilli()}
}

func (b *benchWorkers) Stop(context.Context, WorkerRef, string, int, int64) error { return nil }

func (b *benchWorkers) Throttle(context.Context, WorkerRef, string, int, int, int64) error {
	return nil
}

func processorTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkOwner measures the processor time of a pool's owner for each task, without
// the transport: a demand peak of 200 jobs per second with 13 tasks each on 300 VMs.
func BenchmarkOwner(b *testing.B) {
	const vms, jobsPerSecond, tasks = 300, 200, 13
	workers := &benchWorkers{runTime: 800 * time.Millisecond, workers: map[string]*benchWorker{}}
	mem := memstore.New()
	mem.SetTxnTime(5 * time.Millisecond)
	for i := range vms {
		id := fmt.Sprintf("vm-%03d", i)
		workers.workers[id] = &benchWorker{running: map[string]pool.RunState{}, changed: make(chan struct{})}
		value, _ := json.Marshal(ListedVM{Pool: "p", VM: pool.VM{ID: id, Machine: "m" + id, Address: id, DataCentre: "dc", Rack: fmt.Sprint("r", i/12),
			Capacity: fleet.Resources{MilliCPU: 16000, MemoryMB: 32 << 10}, StartedMS: 1}})
		key := store.Key{Table: "vms", Name: id}
		if _, err := mem.Commit(b.Context(), store.Txn{Puts: []store.Put{{Key: key, Value: value}}}); err != nil {
			b.Fatal(err)
		}
	}
	n := New(Options{Settings: Settings{Self: Member{Node: "a", Incarnation: "a"}, Scheduler: pool.Settings{Lease: 5 * time.Second, StopGrace: time.Second, StatusRetention: time.Minute}},
		Store: mem, Workers: workers, Rows: benchRows{}, Clock: NewBootClock(), Log: zap.NewNop()})
	n.operator.view = View{Catalog: catalog.New(1, []*catalog.Queue{{Name: "q", Pool: "p", Open: true, Stretch: 1.6, Target: time.Second, MaxAttempts: 3}}, []*catalog.Pool{{Name: "p"}}, nil, catalog.Limits{})}
	o, err := readOwner(b.Context(), n.store, "p")
	if err != nil {
		b.Fatal(err)
	}
	if err := o.claim(b.Context(), n.settings.Self); err != nil {
		b.Fatal(err)
	}
	now := n.clock.Now().Steady
	ctx, cancel := context.WithCancel(b.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = newPoolController(n, o, now, now).run(ctx) })
	time.Sleep(2 * time.Second)
	began, id := processorTime(), 0
	b.ResetTimer()
	for b.Loop() {
		// One iteration is a tenth of a second.
		for range jobsPerSecond / 10 {
			id++
			spec := &job.Spec{ID: fmt.Sprintf("%016x", id), Queue: "q", AcceptedMS: n.clock.Now().Wall,
				Steps: []job.Step{{Count: tasks, Need: fleet.Resources{MilliCPU: 1500, MemoryMB: 1000}, Estimate: 800 * time.Millisecond}}}
			value, _ := job.EncodeSpec(spec)
			go func() {
				key := tables.JobKey("p", spec.ID)
				_, _ = mem.Commit(ctx, store.Txn{Conditions: []store.Condition{{Key: key}}, Puts: []store.Put{{Key: key, Value: value}}})
			}()
			time.Sleep(100 * time.Millisecond / (jobsPerSecond / 10))
		}
	}
	for range 50 {
		if workers.done.Load() >= int64(id*tasks) {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	ended := workers.done.Load()
	b.ReportMetric(float64((processorTime()-began).Microseconds())/float64(ended), "cpu-us/task")
	b.ReportMetric(float64(ended)/float64(id*tasks), "done")
	cancel()
	wg.Wait()
}
