package pool_test

import (
	"fmt"
	"testing"
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/job"
)

// BenchmarkOverloadedCycle measures one cycle of a scheduler whose VMs are full while
// ten jobs wait for each VM.
func BenchmarkOverloadedCycle(b *testing.B) {
	for _, vms := range []int{50, 300, 900} {
		b.Run(fmt.Sprintf("%d VMs", vms), func(b *testing.B) {
			h := newHarness(b)
			for i := range vms {
				h.addVM(fmt.Sprintf("vm%04d", i), 16_000)
			}
			for i := range 13 * vms {
				h.submit(&job.Spec{Queue: "short", Steps: []job.Step{
					{Count: 8, Need: fleet.Resources{MilliCPU: int64(1500 + 100*(i%12)), MemoryMB: 1000}, Estimate: time.Duration(500+10*(i%80)) * time.Millisecond},
					{Count: 8, Need: fleet.Resources{MilliCPU: 2000, MemoryMB: 1000}, Estimate: time.Second, After: []int{0}},
				}})
			}
			for range 40 {
				h.advance(12 * time.Millisecond)
				h.cycle()
			}
			b.ReportAllocs()
			for b.Loop() {
				h.now = h.now.Add(time.Microsecond)
				h.scheduler.Advance(h.now)
				h.scheduler.Cycle()
			}
		})
	}
}

// BenchmarkCycleOfACappedBacklog measures one cycle of a scheduler whose VMs are full while
// ten jobs of a workspace that has used up its share of a cap wait for each VM.
func BenchmarkCycleOfACappedBacklog(b *testing.B) {
	for _, vms := range []int{50, 300} {
		b.Run(fmt.Sprintf("%d VMs", vms), func(b *testing.B) {
			h := newHarness(b)
			h.catalog = catalogWithCap(h, int64(vms)*32_000)
			h.scheduler.Configure(h.catalog)
			for i := range vms {
				h.addVM(fmt.Sprintf("vm%04d", i), 16_000)
			}
			h.settle()
			h.scheduler.SetCapShare("ws", fleet.Resources{MilliCPU: int64(vms) * 16_000}, false)
			for range 13 * vms {
				spec := shortJob(8)
				spec.Workspace = "ws"
				spec.Steps[0].Need = fleet.Resources{MilliCPU: 2000}
				h.submit(spec)
			}
			for range 10 {
				h.settle()
			}
			b.ReportAllocs()
			for b.Loop() {
				h.now = h.now.Add(time.Microsecond)
				h.scheduler.Advance(h.now)
				h.scheduler.Cycle()
			}
		})
	}
}
