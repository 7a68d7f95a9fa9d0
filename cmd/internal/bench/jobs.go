package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"amaranthfork.example/backing/memory"
	"amaranthfork.example/client"
	"amaranthfork.example/entry/local"
	"amaranthfork.example/fleet"
)

// Throughput is the result of MeasureJobs. P50 and P99 are times from the
// submission of a job to its result.
type Throughput struct {
	Entries              int
	Jobs                 int
	JobsPerSecond        float64
	WritesPerJob         float64 // to the table service and the object store
	P50, P99             time.Duration
	StoreWritesPerSecond float64 // to the table service and the object store
	RateLimitHits        int     // calls that the table service refused for its rate limit
}

// storeLatency and storeRateLimit follow the users' description of their
// platform: several hundred writes and about 2,000 reads a second.
const storeLatency = 3 * time.Millisecond

var storeRateLimit = memory.RateLimit{WritesPerSecond: 400, ReadsPerSecond: 2000, QueueTime: 2 * time.Second}

// MeasureJobs submits jobs of one short step to a fleet with the given number
// of entries and waits for all results. Each of the callers has one job at a
// time.
func MeasureJobs(ctx context.Context, entries, jobs, callers int) (Throughput, error) {
	size := Size{DataCentres: min(entries, 4), Entries: entries, Workers: 48, Pools: 1, Teams: 1}
	f, err := start(ctx, size, local.DefaultOptions())
	if err != nil {
		return Throughput{}, err
	}
	f.Platform.SharedFaults.Table.SetRateLimit(storeRateLimit)
	for _, e := range f.Entries {
		e.Platform.PathFaults.Table.SetLatency(storeLatency)
	}
	time.Sleep(settleTime)
	before, err := f.sample()
	if err != nil {
		return Throughput{}, err
	}
	began := time.Now()
	times, err := f.submitAll(ctx, jobs, callers)
	elapsed := time.Since(began)
	after, sampleErr := f.sample()
	err = errors.Join(err, sampleErr, f.Stop())
	writes := float64(after.storeWrites - before.storeWrites)
	return Throughput{
		Entries: entries, Jobs: jobs,
		JobsPerSecond:        float64(jobs) / elapsed.Seconds(),
		WritesPerJob:         writes / float64(jobs),
		P50:                  quantile(times, 0.50),
		P99:                  quantile(times, 0.99),
		StoreWritesPerSecond: writes / elapsed.Seconds(),
		RateLimitHits:        f.Platform.SharedFaults.Table.Refused(),
	}, err
}

// submitAll runs the jobs and returns the time from submission to result of
// each of them. Its error joins those of all failed jobs.
func (f *benchFleet) submitAll(ctx context.Context, jobs, callers int) ([]time.Duration, error) {
	times := make([]time.Duration, jobs)
	next := make(chan int)
	var mu sync.Mutex
	var errs error
	var group sync.WaitGroup
	for c := range callers {
		caller, err := client.New(client.Options{BaseURL: f.Entries[c%len(f.Entries)].URL, Key: f.key})
		if err != nil {
			return nil, err
		}
		group.Go(func() {
			for i := range next {
				began := time.Now()
				if err := runJob(ctx, caller, i); err != nil {
					mu.Lock()
					errs = errors.Join(errs, err)
					mu.Unlock()
				}
				times[i] = time.Since(began)
			}
		})
	}
	for i := range jobs {
		next <- i
	}
	close(next)
	group.Wait()
	return times, errs
}

// runJob submits a job and waits for it. It returns an error unless the job is
// completed.
func runJob(ctx context.Context, caller *client.Client, i int) error {
	job, err := caller.Submit(ctx, "work", client.SubmitRequest{
		ID: fmt.Sprintf("bench-%d", i), Class: fleet.ClassUrgent,
		Steps:    []fleet.Step{{Command: "run?time=10ms", Payload: []byte("payload")}},
		Declared: fleet.Resources{MilliCPU: 100, MemoryMB: 64}, RunTimeMS: 10,
	})
	if err != nil {
		return err
	}
	if job, err = caller.Wait(ctx, job.ID); err != nil {
		return err
	}
	if job.Result.Outcome != fleet.OutcomeCompleted {
		return fmt.Errorf("job %d ended as %s: %s", i, job.Result.Outcome, job.Result.Detail)
	}
	return nil
}

// WriteJobs writes the results as a table.
func WriteJobs(w io.Writer, rows []Throughput) {
	_, _ = fmt.Fprintln(w, "entries  jobs | jobs/s | writes/job | store writes/s refused | submit to result p50   p99")
	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "%7d %5d | %6.0f | %10.2f | %14.0f %7d | %16.0f ms %5.0f ms\n", r.Entries, r.Jobs, r.JobsPerSecond,
			r.WritesPerJob, r.StoreWritesPerSecond, r.RateLimitHits, ms(r.P50), ms(r.P99))
	}
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
