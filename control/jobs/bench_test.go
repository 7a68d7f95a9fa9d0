package jobs

import (
	"bytes"
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"amaranthfork.example/backing"
	"amaranthfork.example/backing/memory"
	"amaranthfork.example/config"
	"amaranthfork.example/control"
	"amaranthfork.example/control/journal"
	"amaranthfork.example/control/rpc"
	"amaranthfork.example/control/rpc/rpctest"
	"amaranthfork.example/control/shards"
	"amaranthfork.example/fleet"
)

// testOwner is one entry whose workers complete every task at once, and which
// is safe for concurrent use. It is its own Membership, View, Limits and
// Dispatcher.
type testOwner struct {
	testEntry
	jobs   *Manager
	free   atomic.Int64
	starts atomic.Int64
	// started holds the time of the last start of each job.
	started      sync.Map
	runningTasks sync.WaitGroup
}

func (o *testOwner) Take(fleet.TeamName) error    { return nil }
func (o *testOwner) Return(fleet.TeamName)        {}
func (o *testOwner) Adopt(fleet.TeamName, string) {}
func (o *testOwner) Members() control.Members     { return o.cluster.members }
func (o *testOwner) Valid() error                 { return nil }
func (o *testOwner) Fresh() error                 { return nil }
func (o *testOwner) StoreReachable() bool         { return true }
func (o *testOwner) Snapshot() *config.Snapshot   { return o.cluster.snapshot }
func (o *testOwner) Self() control.Member         { return control.Member{ID: o.id} }
func (o *testOwner) Capacity(fleet.PoolName) []control.Capacity {
	return []control.Capacity{{DataCentre: "dc1", FreeSlots: int(o.free.Load()), LargestVM: fleet.Resources{MilliCPU: 1, MemoryMB: 1}}}
}

func (o *testOwner) Reserve(_ context.Context, dc fleet.DataCentreName, req control.ReserveRequest) (control.Reservation, error) {
	return control.Reservation{VM: "vm", DataCentre: dc, Attempt: req.Attempt}, nil
}
func (o *testOwner) Release(context.Context, control.Reservation) {}
func (o *testOwner) Cancel(context.Context, fleet.VMID, fleet.AttemptID) error {
	return nil
}
func (o *testOwner) Lookup(context.Context, fleet.VMID, fleet.AttemptID) (backing.TaskStatus, *control.TaskEnd, bool) {
	return backing.TaskStatus{State: backing.TaskRunning}, nil, true
}

func (o *testOwner) Start(_ context.Context, res control.Reservation, task backing.Task) error {
	o.starts.Add(1)
	o.started.Store(task.Job, time.Now())
	o.runningTasks.Go(func() {
		end := control.TaskEnd{
			Job: task.Job, Attempt: task.ID, Step: task.Step, VM: res.VM,
			State: backing.TaskCompleted, Body: body(task.Job, task.Step, task.ID),
		}
		for o.jobs.TaskEnded(context.Background(), end) != nil {
			time.Sleep(time.Millisecond)
		}
	})
	return nil
}

// newOwner returns an owner of all shards in the store of a cluster, which
// earlier owners may have used.
func newOwner(tb testing.TB, cluster *testCluster, faults *memory.Faults, options Options) *testOwner {
	tb.Helper()
	o := &testOwner{}
	cluster.entriesCreated++
	o.cluster, o.id = cluster, fmt.Sprint("owner", cluster.entriesCreated)
	cluster.members = control.Members{Version: cluster.members.Version}
	cluster.join(&o.testEntry)
	table, objects := cluster.table.Via(faults), cluster.objects.Via(faults)
	j := journal.New(journal.Options{Table: table, Objects: objects, Membership: o, Clock: fleet.SystemClock{}})
	m := shards.New(shards.Options{Table: table, Membership: o})
	options.Clock, options.Membership, options.View, options.Limits, options.Dispatcher = fleet.SystemClock{}, o, o, o, o
	options.Journal, options.Shards, options.Caller = j, m, rpctest.NewNetwork().Join(o.id, rpc.NewRouter())
	o.jobs = New(options)
	o.journal = j
	m.SetHandover(o.jobs)
	if err := m.Tick(tb.Context()); err != nil {
		tb.Fatal(err)
	}
	return o
}

// run does the periodic work of the owner until ctx is done.
func (o *testOwner) run(ctx context.Context) {
	var maintenance sync.WaitGroup
	maintenance.Go(func() {
		for ctx.Err() == nil {
			_ = o.jobs.Maintain(ctx)
			_ = fleet.Sleep(ctx, 10*time.Millisecond)
		}
	})
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for ctx.Err() == nil {
		select {
		case <-o.jobs.Ready():
		case <-ticker.C:
		case <-ctx.Done():
		}
		_ = o.jobs.Tick(ctx) // after an error, the affected jobs wait for the next Tick
	}
	o.jobs.WaitStarts()
	maintenance.Wait()
}

// submitAndWait submits jobs from many callers and waits for their results.
func (o *testOwner) submitAndWait(tb testing.TB, callers, each int) {
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for i := range each {
				j := job(fmt.Sprint(o.id, "/", c, "/", i), 1, i%2 == 0)
				if _, err := o.jobs.Submit(tb.Context(), j); err != nil {
					tb.Errorf("submit: %v", err)
					return
				}
				status, err := o.jobs.Wait(tb.Context(), j.ID)
				if err != nil || status.Result == nil || !bytes.Equal(status.Result.Body, body(j.ID, 0, status.Result.Attempt)) {
					tb.Errorf("wait: %+v, %v", status, err)
					return
				}
			}
		})
	}
	wg.Wait()
}

// Guards against data races and lost wake-ups between concurrent submissions,
// starts, ends of tasks and checkpoints.
func TestConcurrentCallers(t *testing.T) {
	o := newOwner(t, newTestCluster(0), nil, Options{CheckpointBytes: 20_000})
	o.free.Store(1000)
	ctx, cancel := context.WithCancel(t.Context())
	var driver sync.WaitGroup
	driver.Go(func() { o.run(ctx) })
	o.submitAndWait(t, 50, 6)
	o.runningTasks.Wait()
	cancel()
	driver.Wait()
	if n := o.starts.Load(); n != 300 {
		t.Errorf("%d starts of 300 jobs, want 300", n)
	}
}

// Guards against urgent jobs that start later than 1.7 s (p99) after their
// submission in a system of 100 entries, where each entry may write only a few
// pages per second.
func TestUrgentStartsAtTargetSize(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		faults := &memory.Faults{}
		cluster := newLargeCluster()
		o := newOwner(t, cluster, faults, Options{})
		faults.SetLatency(3 * time.Millisecond)
		cluster.members.List = append(cluster.members.List, make([]control.Member, 99)...)
		o.free.Store(1000)
		ctx, cancel := context.WithCancel(t.Context())
		var driver, callers sync.WaitGroup
		driver.Go(func() { o.run(ctx) })
		delays := make([]time.Duration, 1000)
		for i := range delays {
			time.Sleep(time.Duration(10+i*37%80) * time.Millisecond)
			callers.Go(func() {
				j := job(fmt.Sprint(i), 1, false)
				j.Class = fleet.ClassUrgent
				begin := time.Now()
				_, err := o.jobs.Submit(t.Context(), j)
				if err == nil {
					_, err = o.jobs.Wait(t.Context(), j.ID)
				}
				if err != nil {
					t.Error(err)
				}
				started, _ := o.started.Load(j.ID)
				delays[i] = started.(time.Time).Sub(begin)
			})
		}
		callers.Wait()
		o.runningTasks.Wait()
		cancel()
		driver.Wait()
		slices.Sort(delays)
		t.Logf("delay from submission to start: p50 %v, p99 %v, max %v", delays[500], delays[990], delays[999])
		if delays[990] > 1700*time.Millisecond {
			t.Errorf("p99 of the start delay is %v, want at most 1.7s", delays[990])
		}
	})
}

// BenchmarkJobs measures the throughput of one owner by the number of callers
// that submit and wait, with a store that allows 300 writes/s and answers in 3
// ms.
func BenchmarkJobs(b *testing.B) {
	for _, callers := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(callers), func(b *testing.B) {
			faults := &memory.Faults{}
			cluster := newTestCluster(0)
			q := cluster.snapshot.Queues["q"]
			q.MaxQueued = 1 << 20
			cluster.snapshot.Queues["q"] = q
			o := newOwner(b, cluster, faults, Options{})
			o.free.Store(1 << 20)
			faults.SetLatency(3 * time.Millisecond)
			ctx, cancel := context.WithCancel(b.Context())
			var driver sync.WaitGroup
			driver.Go(func() { o.run(ctx) })
			each := 20
			_, before := faults.Counts()
			begin := time.Now()
			o.submitAndWait(b, callers, each)
			took := time.Since(begin)
			_, after := faults.Counts()
			o.runningTasks.Wait()
			cancel()
			driver.Wait()
			jobs := float64(callers * each)
			b.ReportMetric(jobs/took.Seconds(), "jobs/s")
			b.ReportMetric(float64(after-before)/jobs, "writes/job")
			b.ReportMetric(float64(after-before)/took.Seconds(), "writes/s")
			b.ReportMetric(took.Seconds()*1000/float64(each), "ms/job")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func heapAlloc() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// submitMany submits n jobs with payloads of 100 bytes from 200 callers.
func submitMany(b *testing.B, o *testOwner, n int) {
	var wg sync.WaitGroup
	for c := range 200 {
		wg.Go(func() {
			for i := c; i < n; i += 200 {
				j := job(fmt.Sprint(i), 1, true)
				j.Steps[0].Payload = make([]byte, 100)
				if _, err := o.jobs.submit(b.Context(), j); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	wg.Wait()
}

// BenchmarkMemory measures the memory that the owner uses for a queued job and
// for a retained result, without that of the store.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			cluster := newLargeCluster()
			o := newOwner(b, cluster, nil, Options{DispatchBatch: 1000, MaxRetained: n})
			o.jobs.options.Journal = discardingJournal{o.journal}
			before := heapAlloc()
			submitMany(b, o, n)
			b.ReportMetric((heapAlloc()-before)/float64(n), "B/queued")
			o.free.Store(1 << 20)
			for o.jobs.Stats().Retained < n {
				_ = o.jobs.Dispatch(b.Context())
				o.runningTasks.Wait()
			}
			b.ReportMetric((heapAlloc()-before)/float64(n), "B/retained")
			b.ReportMetric(0, "ns/op")
			runtime.KeepAlive(o)
		})
	}
}

// discardingJournal stores nothing, so that only the owner's memory is
// measured.
type discardingJournal struct{ *journal.Journal }

func (discardingJournal) AppendIn(context.Context, string, ...control.Record) error { return nil }

func newLargeCluster() *testCluster {
	cluster := newTestCluster(0)
	q := cluster.snapshot.Queues["q"]
	q.MaxQueued = 1 << 20
	cluster.snapshot.Queues["q"] = q
	return cluster
}

// BenchmarkTakeover measures the time from the first tick of a successor until
// it acts on all jobs of a failed owner and has them in checkpoints of its own,
// with a store that answers in 3 ms.
func BenchmarkTakeover(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			cluster := newLargeCluster()
			first := newOwner(b, cluster, nil, Options{})
			submitMany(b, first, n)
			pages := first.journal.Stats().Pages
			cluster.members.List = nil
			faults := &memory.Faults{}
			faults.SetLatency(3 * time.Millisecond)
			begin := time.Now()
			successor := newOwner(b, cluster, faults, Options{})
			took := time.Since(begin)
			if got := successor.jobs.Stats().TakenOver; got != uint64(n) {
				b.Fatalf("%d of %d jobs taken over", got, n)
			}
			b.ReportMetric(float64(took.Milliseconds()), "ms")
			b.ReportMetric(float64(pages), "pages")
			b.ReportMetric(float64(took.Microseconds())/float64(n), "us/job")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkCancelWave measures the cancellation of all queued jobs by 200
// callers, with a store that answers in 3 ms.
func BenchmarkCancelWave(b *testing.B) {
	for _, n := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			faults := &memory.Faults{}
			o := newOwner(b, newLargeCluster(), faults, Options{MaxRetained: n})
			submitMany(b, o, n)
			faults.SetLatency(3 * time.Millisecond)
			_, before := faults.Counts()
			begin := time.Now()
			var wg sync.WaitGroup
			for c := range 200 {
				wg.Go(func() {
					for i := c; i < n; i += 200 {
						status, err := o.jobs.Cancel(b.Context(), ID("a", fmt.Sprint(i)))
						if err != nil || status.Result == nil || status.Result.Outcome != fleet.OutcomeNotRun {
							b.Errorf("cancel: %+v, %v", status, err)
						}
					}
				})
			}
			wg.Wait()
			_, after := faults.Counts()
			b.ReportMetric(float64(time.Since(begin).Microseconds())/float64(n), "us/job")
			b.ReportMetric(float64(after-before)/float64(n), "writes/job")
			b.ReportMetric(0, "ns/op")
		})
	}
}
