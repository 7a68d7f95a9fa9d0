package metrics

import (
	"runtime"
	runtimemetrics "runtime/metrics"
	"syscall"
	"time"
)

// Process describes the resources that the process uses.
type Process struct {
	MemoryBytes uint64  `json:"memoryBytes"` // mapped by the Go runtime and not returned to the system
	HeapBytes   uint64  `json:"heapBytes"`   // live objects and garbage not yet collected
	CPUSeconds  float64 `json:"cpuSeconds"`  // user and system time since the start
	Goroutines  int     `json:"goroutines"`
}

// ReadProcess returns the current use of memory and processor time. CPUSeconds is 0
// if the system doesn't report it.
func ReadProcess() Process {
	samples := []runtimemetrics.Sample{
		{Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/released:bytes"},
		{Name: "/memory/classes/heap/objects:bytes"},
	}
	runtimemetrics.Read(samples)
	p := Process{
		MemoryBytes: samples[0].Value.Uint64() - samples[1].Value.Uint64(),
		HeapBytes:   samples[2].Value.Uint64(),
		Goroutines:  runtime.NumGoroutine(),
	}
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err == nil {
		p.CPUSeconds = seconds(usage.Utime) + seconds(usage.Stime)
	}
	return p
}

func seconds(t syscall.Timeval) float64 {
	return time.Duration(t.Nano()).Seconds()
}
