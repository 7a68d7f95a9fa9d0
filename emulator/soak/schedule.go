package soak

import (
	"fmt"
	"math/rand"
	"sort"
	"time"
)

// FaultKind is a kind of fault that a soak injects.
type FaultKind string

// Kinds of faults. Those of entries, workers and links have a target.
const (
	EntryStop     FaultKind = "entry-stop"  // SIGTERM, and a new process once it has ended
	EntryKill     FaultKind = "entry-kill"  // SIGKILL, and a new process
	EntryPause    FaultKind = "entry-pause" // SIGSTOP, then SIGCONT
	EntryReload   FaultKind = "entry-reload"
	StoreCut      FaultKind = "store-cut"      // an entry's connections to the table service go silent
	StoreCutBack  FaultKind = "store-cut-back" // the same for answers only
	StoreDelay    FaultKind = "store-delay"
	StoreReset    FaultKind = "store-reset"
	StoreRefuse   FaultKind = "store-refuse" // the table service turns one entry away
	ServiceDown   FaultKind = "service-down"
	ServiceSlow   FaultKind = "service-slow"
	ServiceLoses  FaultKind = "service-loses-answers"
	ServiceForget FaultKind = "service-forgets-history"
	WorkerKill    FaultKind = "worker-kill" // SIGKILL, and a new process under the same id
	WorkerPause   FaultKind = "worker-pause"
	WorkerLate    FaultKind = "worker-late" // orders are left unanswered and carried out late
	WorkerCut     FaultKind = "worker-cut"
	WorkerCutBack FaultKind = "worker-cut-back"
	WorkerDelay   FaultKind = "worker-delay"
	WorkerReset   FaultKind = "worker-reset"
	CallerReset   FaultKind = "caller-reset"
	KeyChange     FaultKind = "key-change"      // a key is granted, and the one before is withdrawn
	DataCentreCut FaultKind = "data-centre-cut" // its entries and workers stay together, without the table service and all others
)

// Kinds of faults that only NewRestartSchedule draws. Their target is a worker.
const (
	WorkerRestart   FaultKind = "worker-restart"    // SIGKILL, and a new process under the same id when the fault ends
	WorkerLateCalls FaultKind = "worker-late-calls" // some orders are delivered late, to the process that is there then
	WorkerIsolated  FaultKind = "worker-isolated"   // WorkerCut, and without the discovery table
)

// Fault is one fault of a schedule.
type Fault struct {
	Kind   FaultKind
	At     time.Duration // from the start of the soak
	For    time.Duration // 0 for faults without an end
	Target int           // number of the entry or the worker
}

// String returns the fault in one line.
func (f Fault) String() string {
	return fmt.Sprintf("%6.2fs %-24s target=%d for=%v", f.At.Seconds(), f.Kind, f.Target, f.For.Round(time.Millisecond))
}

// kindWeights are the frequencies of faults, with their longest duration.
var kindWeights = []struct {
	kind    FaultKind
	weight  int
	longest time.Duration // 0 for faults without an end
}{
	{EntryStop, 4, 0}, {EntryKill, 3, 0}, {EntryPause, 4, 9 * time.Second}, {EntryReload, 1, 0},
	{StoreCut, 2, 5 * time.Second}, {StoreCutBack, 2, 5 * time.Second}, {StoreDelay, 1, 4 * time.Second}, {StoreReset, 2, 0}, {StoreRefuse, 1, 4 * time.Second},
	{ServiceDown, 2, 4 * time.Second}, {ServiceSlow, 1, 4 * time.Second}, {ServiceLoses, 3, 4 * time.Second}, {ServiceForget, 1, 0},
	{WorkerKill, 3, 2 * time.Second}, {WorkerPause, 3, 9 * time.Second}, {WorkerLate, 4, 5 * time.Second},
	{WorkerCut, 2, 5 * time.Second}, {WorkerCutBack, 2, 5 * time.Second}, {WorkerDelay, 1, 4 * time.Second}, {WorkerReset, 2, 0},
	{CallerReset, 1, 0}, {KeyChange, 1, 0},
}

// Times of schedules.
const (
	firstFaultAt  = 3 * time.Second // the entries have claimed the pools by then
	faultInterval = 900 * time.Millisecond
	seriesGap     = 700 * time.Millisecond
	seriesLength  = 3
)

// NewSchedule draws the faults of a soak: one each faultInterval on average, and now and
// then a series of one kind over consecutive targets.
func NewSchedule(random *rand.Rand, duration time.Duration, entries, workers int) []Fault {
	total := 0
	for _, k := range kindWeights {
		total += k.weight
	}
	var faults []Fault
	n := int((duration - firstFaultAt) / faultInterval)
	for range n {
		pick := random.Intn(total)
		i := 0
		for ; pick >= kindWeights[i].weight; i++ {
			pick -= kindWeights[i].weight
		}
		f := Fault{Kind: kindWeights[i].kind, At: firstFaultAt + time.Duration(random.Int63n(int64(duration-firstFaultAt)))}
		if longest := kindWeights[i].longest; longest > 0 {
			f.For = time.Duration((0.1 + 0.9*random.Float64()) * float64(longest))
		}
		f.Target = random.Intn(entries * workers)
		length := 1
		if random.Intn(6) == 0 {
			length = seriesLength
		}
		for range length {
			faults = append(faults, f)
			f.At += seriesGap
			f.Target++
		}
	}
	sort.SliceStable(faults, func(i, k int) bool { return faults[i].At < faults[k].At })
	return faults
}

// Times of schedules of cuts.
const (
	cutTime = 5500 * time.Millisecond // of each of two successive cuts
	cutGap  = 5 * time.Second         // between the cuts of two data centres
)

// NewCutSchedule draws the faults of a soak in which the data centres are cut off in turn,
// each twice in direct succession. Meanwhile the entries elsewhere, among them the owners
// that have taken the pools over, are killed, paused or stopped at about the same time, and
// the table service is slow or loses answers.
func NewCutSchedule(random *rand.Rand, duration time.Duration, entries int) []Fault {
	var faults []Fault
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Int63n(int64(most-least)))
	}
	dc := 0
	for at := firstFaultAt; at < duration; at += 2*cutTime + cutGap {
		faults = append(faults, Fault{DataCentreCut, at, cutTime, dc}, Fault{DataCentreCut, at + cutTime, cutTime, dc})
		replaced := at + between(2500*time.Millisecond, 4500*time.Millisecond) // the pools have been taken over by then
		for i := range entries {
			// Now and then an owner in the data centre is paused or killed, too.
			if dataCentreOfEntry(i) == dc && random.Intn(4) > 0 {
				continue
			}
			f := Fault{At: replaced + between(0, 300*time.Millisecond), Target: i}
			switch random.Intn(3) {
			case 0:
				f.Kind = EntryKill
			case 1:
				f.Kind = EntryStop
			case 2:
				f.Kind, f.For = EntryPause, between(300*time.Millisecond, 4*time.Second)
			}
			faults = append(faults, f)
		}
		for _, begin := range []time.Duration{at, at + cutTime} {
			f := Fault{At: begin + between(0, time.Second), For: between(time.Second, 4500*time.Millisecond)}
			switch random.Intn(3) {
			case 0:
				f.Kind = ServiceSlow
			case 1:
				f.Kind = ServiceLoses
			case 2:
				continue
			}
			faults = append(faults, f)
		}
		dc = (dc + 1) % dataCentres
	}
	sort.SliceStable(faults, func(i, k int) bool { return faults[i].At < faults[k].At })
	return faults
}

// Times of schedules of restarts.
const (
	firstRestartAt = 6 * time.Second // the workers' clocks are further ahead than a lease by then
	minUpTime      = 6 * time.Second // between the end of a worker's cut and its next restart
	lateCallPart   = 0.3             // of the orders during WorkerLateCalls
)

// NewRestartSchedule draws the faults of a soak in which workers restart quickly under their
// ids and are cut off for longer than a lease soon after. Calls that are sent at about the
// time of the restart reach the next process. Now and then entries, among them the owners
// of the pools, are killed or paused meanwhile.
func NewRestartSchedule(random *rand.Rand, duration time.Duration, entries, workers int) []Fault {
	var faults []Fault
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Int63n(int64(most-least)))
	}
	restarts := func(worker int, at time.Duration) (connectedAt time.Duration) {
		down := between(20*time.Millisecond, 300*time.Millisecond)
		cutAt, cutTime := at+down+between(50*time.Millisecond, 2*time.Second), between(8*time.Second, 12*time.Second)
		kind := WorkerCut
		if random.Intn(2) == 0 {
			kind = WorkerIsolated
		}
		lateFrom := at - between(0, 200*time.Millisecond)
		faults = append(faults, Fault{WorkerLateCalls, lateFrom, cutAt - lateFrom, worker}, Fault{WorkerRestart, at, down, worker}, Fault{kind, cutAt, cutTime, worker})
		return cutAt + cutTime
	}
	upSince := make([]time.Duration, workers) // when a worker's last cut ends
	for at := firstRestartAt; at < duration; at += between(time.Second, 3*time.Second) {
		// Half of the workers are always connected.
		order := random.Perm(workers)
		away := 0
		for _, t := range upSince {
			if t > at {
				away++
			}
		}
		for _, worker := range order[:1+random.Intn(3)] {
			if away < workers/2 && (upSince[worker] == 0 || at-upSince[worker] > minUpTime) {
				upSince[worker] = restarts(worker, at+between(0, 300*time.Millisecond))
				away++
			}
		}
		for i := range entries {
			f := Fault{At: at + between(300*time.Millisecond, 5*time.Second), Target: i}
			switch random.Intn(12) {
			case 0:
				f.Kind = EntryKill
			case 1:
				f.Kind, f.For = EntryPause, between(300*time.Millisecond, 6*time.Second)
			default:
				continue
			}
			faults = append(faults, f)
		}
	}
	sort.SliceStable(faults, func(i, k int) bool { return faults[i].At < faults[k].At })
	return faults
}
