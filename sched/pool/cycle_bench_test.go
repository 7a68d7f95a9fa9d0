package pool_test

import (
	"fmt"
	"testing"
	"time"

	"amaranthfork.example/fleet"
	"amaranthfork.example/sched/job"
	"amaranthfork.example/sched/pool"
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

// BenchmarkCycleWithLargeTasks measures one cycle of a scheduler whose VMs are full while three
// jobs wait for each VM, one in eight of them large, with and without reservations of room. Each
// tenth cycle comes a search interval later.
func BenchmarkCycleWithLargeTasks(b *testing.B) {
	for _, vms := range []int{350, 2300} {
		for _, settings := range []pool.LookAhead{{}, {MaxVMs: 8, Pack: true}} {
			b.Run(fmt.Sprintf("%d VMs, reservations on %d", vms, settings.MaxVMs), func(b *testing.B) {
				h := newHarnessWith(b, settings)
				for i := range vms {
					h.addVM(fmt.Sprintf("vm%04d", i), 16_000)
				}
				for i := range 6 * vms {
					spec := sized(4, int64(1500+100*(i%12)))
					if i%8 == 0 {
						spec = sized(2, 10_000)
					}
					spec.Steps[0].Estimate = time.Duration(5000+10*(i%80)) * time.Millisecond
					h.submit(spec)
				}
				for range 12 {
					h.renewAll()
					h.cycle()
				}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					if i%10 == 0 {
						b.StopTimer()
						h.advance(250 * time.Millisecond)
						h.renewAll()
						b.StartTimer()
					}
					h.now = h.now.Add(time.Microsecond)
					h.scheduler.Advance(h.now)
					h.scheduler.Cycle()
				}
			})
		}
	}
}
