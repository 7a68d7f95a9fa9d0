package lookahead

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"amaranthfork.example/fleet"
)

func cores(n int64) fleet.Resources { return fleet.Resources{MilliCPU: 1000 * n} }

// Guards against room that is expected too early or on the wrong VM: only runs that end give
// room, a gang needs it at one time, and the numbers of tasks and VMs are bounded.
func TestPlan(t *testing.T) {
	const s = time.Second
	vms := func() []VM {
		return []VM{
			{Free: cores(2), Runs: []Run{{cores(4), 3 * s}, {cores(2), s}, {cores(8), Never}}},
			{Free: cores(0), Runs: []Run{{cores(8), 2 * s}, {cores(8), 4 * s}}},
			{Free: cores(1), Runs: []Run{{cores(7), 2 * s}}, Preferred: true},
			{Free: cores(6), MaxTasks: -1},
		}
	}
	for _, test := range []struct {
		name string
		r    Request
		want []Slot
	}{
		{"one task", Request{Need: cores(4), Tasks: 1, MaxVMs: 1}, []Slot{{0, s}}},
		{"preferred of two", Request{Need: cores(5), Tasks: 1, MaxVMs: 1}, []Slot{{2, 2 * s}}},
		{"several on few VMs", Request{Need: cores(4), Tasks: 4, MaxVMs: 2}, []Slot{{0, s}, {2, 2 * s}, {2, 2 * s}, {0, 3 * s}}},
		{"fewer than all", Request{Need: cores(8), Tasks: 9, MaxVMs: 9}, []Slot{{2, 2 * s}, {1, 2 * s}, {0, 3 * s}, {1, 4 * s}}},
		{"gang", Request{Need: cores(8), Tasks: 3, MaxVMs: 2, Gang: true}, []Slot{{2, 2 * s}, {1, 2 * s}, {1, 4 * s}}},
		{"gang without enough VMs", Request{Need: cores(8), Tasks: 4, MaxVMs: 2, Gang: true}, nil},
		{"larger than any", Request{Need: cores(17), Tasks: 1, MaxVMs: 4}, nil},
	} {
		snapshot := vms()
		snapshot[3].Free = cores(0)
		if got := Plan(snapshot, test.r, 0); !slices.Equal(got, test.want) {
			t.Errorf("%s: %v, want %v", test.name, got, test.want)
		}
	}
}

// Guards against a run beside a reservation that delays it.
func TestBeside(t *testing.T) {
	v := VM{Free: cores(4), Runs: []Run{{cores(8), time.Second}, {cores(4), 3 * time.Second}}}
	for _, test := range []struct {
		need  int64
		tasks int
		at    time.Duration
		want  int64
	}{
		{10, 1, time.Second, 2}, {5, 2, time.Second, 2}, {10, 1, 3 * time.Second, 6}, {10, 1, 0, -6},
	} {
		if got := v.Beside(Reservation{Need: cores(test.need), Tasks: test.tasks, At: test.at}); got != cores(test.want) {
			t.Errorf("%+v: %v", test, got)
		}
	}
}

// BenchmarkPlan measures the search for the VMs on which four tasks find room first.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{350, 2300} {
		b.Run(fmt.Sprintf("%d VMs", n), func(b *testing.B) {
			vms := make([]VM, n)
			for i := range vms {
				vms[i].Free = cores(int64(i % 3))
				for k := range 7 {
					vms[i].Runs = append(vms[i].Runs, Run{cores(2), time.Duration((i*37+k*101)%1000) * time.Millisecond})
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				Plan(vms, Request{Need: cores(10), Tasks: 4, MaxVMs: 8}, 0)
			}
		})
	}
}
