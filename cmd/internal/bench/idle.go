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

// Idle is what one entry spends on control without any work, on average.
type Idle struct {
	Size
	CPUPart     float64 // of one core
	MemoryBytes float64 // share of the process, after a collection
	PeerBytes   float64 // sent on the peer link, bytes a second
	PeerFrames  float64 // sent, a second
	StoreReads  float64 // a second
	StoreWrites float64 // a second
	ListCalls   float64 // of the VM list, a second
	WorkerCalls float64 // a second
	// Bodies of requests and answers, bytes a second. They are JSON; headers are
	// not counted.
	StoreBytes  float64
	ListBytes   float64
	WorkerBytes float64
}

// MeasureIdle runs a fleet without work for a window and returns the means over
// its entries. The stand-in runs in the same process, so its processor time and
// memory are included.
func MeasureIdle(ctx context.Context, size Size, window time.Duration) (Idle, error) {
	base := heap()
	traffic := &traffic{}
	o := local.DefaultOptions()
	o.OverHTTP = traffic.wrap
	r, err := start(ctx, size, o)
	if err != nil {
		return Idle{}, err
	}
	time.Sleep(settle)
	traffic.reset()
	before, err := r.sample()
	if err != nil {
		return Idle{}, err
	}
	time.Sleep(window)
	after, err := r.sample()
	if err != nil {
		return Idle{}, err
	}
	store, list, workers := traffic.sums()
	memory := heap() - base
	perSecond := 1 / window.Seconds() / float64(size.Entries)
	idle := Idle{
		Size:        size,
		CPUPart:     (after.cpu - before.cpu) * perSecond,
		MemoryBytes: memory / float64(size.Entries),
		PeerBytes:   float64(after.bytes-before.bytes) * perSecond,
		PeerFrames:  float64(after.frames-before.frames) * perSecond,
		StoreReads:  float64(after.reads-before.reads) * perSecond,
		StoreWrites: float64(after.writes-before.writes) * perSecond,
		ListCalls:   float64(after.list-before.list) * perSecond,
		WorkerCalls: float64(after.workers-before.workers) * perSecond,
		StoreBytes:  float64(store) * perSecond,
		ListBytes:   float64(list) * perSecond,
		WorkerBytes: float64(workers) * perSecond,
	}
	return idle, r.Stop()
}

// settle is the time for which a new fleet is left alone before the window.
const settle = 8 * time.Second

// heap returns the memory in use after a collection, in bytes.
func heap() float64 {
	runtime.GC()
	debug.FreeOSMemory()
	return float64(metrics.ReadProcess().MemoryBytes)
}

type counters struct {
	cpu           float64
	bytes, frames int64
	reads, writes int
	list, workers int
}

func (r *running) sample() (counters, error) {
	c := counters{cpu: metrics.ReadProcess().CPUSeconds}
	for i, e := range r.Entries {
		v, err := r.vars(i)
		if err != nil {
			return c, err
		}
		c.bytes += v.Peers.BytesOut
		c.frames += v.Peers.FramesOut
		path := e.Platform.Path
		reads, writes := path.Table.Counts()
		objectReads, objectWrites := path.Objects.Counts()
		c.reads += reads + objectReads
		c.writes += writes + objectWrites
		c.list += sum(path.VMList.Counts())
		c.workers += sum(path.Workers.Counts())
	}
	return c, nil
}

func sum(a, b int) int { return a + b }

// WriteIdle writes rows as a table.
func WriteIdle(w io.Writer, rows []Idle) {
	_, _ = fmt.Fprintln(w, "DCs entries workers pools teams files | core %   MB | peer B/s frames/s | store reads/s writes/s   B/s | list/s    B/s | worker calls/s  B/s")
	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "%3d %7d %7d %5d %5d %5d | %6.2f %4.1f | %8.0f %8.1f | %13.2f %8.2f %5.0f | %6.2f %6.0f | %14.2f %4.0f\n",
			r.DataCentres, r.Entries, r.Workers, r.Pools, r.Teams, r.Files, r.CPUPart*100, r.MemoryBytes/(1<<20),
			r.PeerBytes, r.PeerFrames, r.StoreReads, r.StoreWrites, r.StoreBytes, r.ListCalls, r.ListBytes, r.WorkerCalls, r.WorkerBytes)
	}
}
