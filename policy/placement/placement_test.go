package placement

import (
	"fmt"
	"testing"
	"time"

	"amaranthfork.example/fleet"
)

var now = time.Unix(1000, 0)

func vm(id string, change func(*VM)) VM {
	v := VM{
		ID: fleet.VMID(id), DataCentre: "d1", Rack: "r1", Pool: "p", State: Active, LeaseHeld: true, Slots: 8,
		Capacity: fleet.Resources{MilliCPU: 16000, MemoryMB: 65536},
	}
	v.Free = v.Capacity
	if change != nil {
		change(&v)
	}
	return v
}

func used(n int) func(*VM) {
	return func(v *VM) {
		v.UsedSlots = n
		v.Free = v.Capacity.Sub(fleet.Resources{MilliCPU: int64(n) * 1000, MemoryMB: int64(n) * 1024})
	}
}

// TestPlace checks that each filter rejects the VMs it should, with the right
// cause, and that the scores order the remaining VMs.
func TestPlace(t *testing.T) {
	request := Request{Pool: "p", DataCentre: "d1", Need: fleet.Resources{MilliCPU: 1000, MemoryMB: 1024}, RunTime: time.Minute}
	pack, spread := Settings{Packing: 1}, Settings{Packing: -1}
	racks := Settings{RackSpread: 1}
	cases := []struct {
		name     string
		settings Settings
		vms      []VM
		change   func(*Request)
		want     fleet.VMID
		counts   string
	}{
		{"packing takes the fuller VM", pack, []VM{vm("a", used(1)), vm("b", used(3))}, nil, "b", "2 VMs"},
		{"spreading takes the emptier VM", spread, []VM{vm("a", used(3)), vm("b", used(1))}, nil, "b", "2 VMs"},
		{"ties go to the smaller id", spread, []VM{vm("b", nil), vm("a", nil)}, nil, "a", "2 VMs"},
		{"rack with less load", racks, []VM{vm("a", nil), vm("b", used(6)),
			vm("c", func(v *VM) { v.Rack = "r2" })}, nil, "c", "3 VMs"},
		{"VMs with accelerators are taken last", spread, []VM{vm("a", func(v *VM) { v.Free.Accelerators = 1 }), vm("b", used(7))}, nil, "b", "2 VMs"},
		{"every rejection cause", spread, []VM{
			vm("a", used(8)), vm("b", used(8)), vm("c", func(v *VM) { v.Free.MemoryMB = 1 }),
			vm("d", func(v *VM) { v.Free.MilliCPU = 1 }), vm("e", func(v *VM) { v.State = Draining }),
			vm("f", func(v *VM) { v.Leaving = true }), vm("g", func(v *VM) { v.LeaseHeld = false }),
			vm("h", func(v *VM) { v.Health = Quarantined }), vm("i", func(v *VM) { v.DataCentre = "d2" }),
			vm("j", func(v *VM) { v.MaintenanceAt = now.Add(time.Minute) }), vm("k", nil),
		}, func(r *Request) { r.Avoid = []fleet.VMID{"k"} }, "",
			"11 VMs: 2 no free slot, 1 avoided by the job, 1 draining or in maintenance, 1 leaving, 1 maintenance within the run time, " +
				"1 memory, 1 no dispatch lease, 1 other data centre, 1 processors, 1 quarantined"},
		{"probation takes one task", spread, []VM{
			vm("a", func(v *VM) { v.Health = Probation }), vm("b", func(v *VM) { used(1)(v); v.Health = Probation }),
		}, nil, "a", "2 VMs: 1 quarantined"},
		{"run ends before maintenance", spread, []VM{
			vm("a", func(v *VM) { v.MaintenanceAt = now.Add(2 * time.Minute) }),
		}, nil, "a", "1 VMs"},
		{"no accelerator", spread, []VM{vm("a", nil)}, func(r *Request) { r.Need.Accelerators = 1 }, "", "1 VMs: 1 accelerators"},
		{"other pool", spread, []VM{vm("a", func(v *VM) { v.Pool = "q" })}, nil, "", "0 VMs"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			req := request
			if c.change != nil {
				c.change(&req)
			}
			got := New(c.settings).Place(NewSnapshot(c.vms), req, now)
			if got.VM != c.want || got.Rejections.String() != c.counts {
				t.Errorf("placed on %q, %q; want %q, %q", got.VM, got.Rejections, c.want, c.counts)
			}
		})
	}
}

// TestFill places tasks on successive snapshots until the pool is full. It
// guards against reserving a slot or resource twice, and against changing the
// snapshot from which a newer one was derived.
func TestFill(t *testing.T) {
	first := NewSnapshot([]VM{vm("a", nil), vm("b", func(v *VM) { v.Slots = 3 })})
	snapshot, placer := first, New(DefaultSettings())
	req := Request{Pool: "p", Need: fleet.Resources{MilliCPU: 3000, MemoryMB: 1}}
	placed := map[fleet.VMID]int{}
	for {
		decision := placer.Place(snapshot, req, now)
		if !decision.Placed() {
			break
		}
		placed[decision.VM]++
		snapshot = snapshot.With(decision.After)
	}
	if placed["a"] != 5 || placed["b"] != 3 {
		t.Errorf("placed %v, want 5 on a (limited by processors) and 3 on b (limited by slots)", placed)
	}
	if first.VMs("p")[0].UsedSlots != 0 || first.racks["r1"].used != 0 || snapshot.racks["r1"].used != 8 {
		t.Error("the first snapshot was changed, or the load of the rack in the last one is wrong")
	}
	if snapshot.CanEverHold("p", fleet.Resources{MilliCPU: 16001}) || !snapshot.CanEverHold("p", fleet.Resources{MilliCPU: 16000}) {
		t.Error("CanEverHold does not compare the need with the VM's capacity")
	}
}

func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{12, 115, 2300} {
		var vms []VM
		for i := range n {
			vms = append(vms, vm(fmt.Sprintf("vm%04d", i), func(v *VM) {
				used(i % 9)(v)
				v.Rack = fleet.RackName(fmt.Sprintf("r%d", i/4))
				v.DataCentre = fleet.DataCentreName(fmt.Sprintf("d%d", i%20))
			}))
		}
		snapshot, placer := NewSnapshot(vms), New(DefaultSettings())
		req := Request{Pool: "p", Need: fleet.Resources{MilliCPU: 1000, MemoryMB: 1024}}
		b.Run(fmt.Sprintf("place/vms=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				placer.Place(snapshot, req, now)
			}
		})
		b.Run(fmt.Sprintf("snapshot/vms=%d", n), func(b *testing.B) {
			for b.Loop() {
				NewSnapshot(vms)
			}
		})
	}
}
