package bench

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"time"

	"amaranthfork.example/entry/local"
	"amaranthfork.example/entry/metrics"
)

// Idle is the mean resource usage of one entry without any work.
type Idle struct {
	Size
	CPUFraction          float64 // of one core
	MemoryBytes          float64 // of the process after a garbage collection, divided by the entries
	PeerBytesPerSecond   float64 // sent on peer links
	PeerFramesPerSecond  float64 // sent on peer links
	StoreReadsPerSecond  float64 // of the table service and the object store
	StoreWritesPerSecond float64 // of the table service and the object store
	ListCallsPerSecond   float64 // of the VM list
	WorkerCallsPerSecond float64
	// Sizes of the JSON bodies of requests and answers, without headers.
	StoreBytesPerSecond  float64
	ListBytesPerSecond   float64
	WorkerBytesPerSecond float64
}

// MeasureIdle measures a fleet without work over the time window and returns
// the means over its entries. The stand-in for the platform runs in the same
// process, so its processor time and memory are included.
func MeasureIdle(ctx context.Context, size Size, window time.Duration) (Idle, error) {
	base := memoryInUse()
	bodies := &traffic{}
	o := local.DefaultOptions()
	o.OverHTTP = bodies.countBodies
	f, err := start(ctx, size, o)
	if err != nil {
		return Idle{}, err
	}
	time.Sleep(settleTime)
	bodies.reset()
	before, err := f.sample()
	if err != nil {
		return Idle{}, err
	}
	time.Sleep(window)
	after, err := f.sample()
	if err != nil {
		return Idle{}, err
	}
	store, list, workers := bodies.bytesByService()
	memory := memoryInUse() - base
	perSecond := 1 / window.Seconds() / float64(size.Entries)
	idle := Idle{
		Size:                 size,
		CPUFraction:          (after.cpuSeconds - before.cpuSeconds) * perSecond,
		MemoryBytes:          memory / float64(size.Entries),
		PeerBytesPerSecond:   float64(after.peerBytes-before.peerBytes) * perSecond,
		PeerFramesPerSecond:  float64(after.peerFrames-before.peerFrames) * perSecond,
		StoreReadsPerSecond:  float64(after.storeReads-before.storeReads) * perSecond,
		StoreWritesPerSecond: float64(after.storeWrites-before.storeWrites) * perSecond,
		ListCallsPerSecond:   float64(after.listCalls-before.listCalls) * perSecond,
		WorkerCallsPerSecond: float64(after.workerCalls-before.workerCalls) * perSecond,
		StoreBytesPerSecond:  float64(store) * perSecond,
		ListBytesPerSecond:   float64(list) * perSecond,
		WorkerBytesPerSecond: float64(workers) * perSecond,
	}
	return idle, f.Stop()
}

// settleTime is the time between the start of a fleet and its measurement.
const settleTime = 8 * time.Second

// memoryInUse returns the bytes of memory that the process uses after a garbage
// collection.
func memoryInUse() float64 {
	runtime.GC()
	debug.FreeOSMemory()
	return float64(metrics.ReadProcess().MemoryBytes)
}

// counters holds running totals: the processor time of the process, and sums over
// all entries for everything else.
type counters struct {
	cpuSeconds              float64
	peerBytes, peerFrames   int64
	storeReads, storeWrites int
	listCalls, workerCalls  int
}

func (f *benchFleet) sample() (counters, error) {
	c := counters{cpuSeconds: metrics.ReadProcess().CPUSeconds}
	for i, e := range f.Entries {
		v, err := f.readMetrics(i)
		if err != nil {
			return c, err
		}
		c.peerBytes += v.Peers.BytesOut
		c.peerFrames += v.Peers.FramesOut
		path := e.Platform.PathFaults
		reads, writes := path.Table.Counts()
		objectReads, objectWrites := path.Objects.Counts()
		c.storeReads += reads + objectReads
		c.storeWrites += writes + objectWrites
		c.listCalls += sum(path.VMList.Counts())
		c.workerCalls += sum(path.Workers.Counts())
	}
	return c, nil
}

func sum(a, b int) int { return a + b }

// WriteIdle writes the results as a table.
func WriteIdle(w io.Writer, rows []Idle) {
	_, _ = fmt.Fprintln(w, "DCs entries workers pools teams files | core %   MB | peer B/s frames/s | store reads/s writes/s   B/s | list/s    B/s | worker calls/s  B/s")
	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "%3d %7d %7d %5d %5d %5d | %6.2f %4.1f | %8.0f %8.1f | %13.2f %8.2f %5.0f | %6.2f %6.0f | %14.2f %4.0f\n",
			r.DataCentres, r.Entries, r.Workers, r.Pools, r.Teams, r.Files, r.CPUFraction*100, r.MemoryBytes/(1<<20),
			r.PeerBytesPerSecond, r.PeerFramesPerSecond, r.StoreReadsPerSecond, r.StoreWritesPerSecond, r.StoreBytesPerSecond, r.ListCallsPerSecond, r.ListBytesPerSecond, r.WorkerCallsPerSecond, r.WorkerBytesPerSecond)
	}
}
