package cached_test

import (
	"context"
	"fmt"
	"os"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"amaranthfork.example/backing"
	"amaranthfork.example/backing/cached"
	"amaranthfork.example/backing/memory"
	"amaranthfork.example/fleet"
	"amaranthfork.example/fleet/fleettest"
)

func TestMain(m *testing.M) { os.Exit(fleettest.RunSeeded(m, nil)) }

// TestTableMatchesService guards against a cached row that hides a change, a
// deletion or a new row under the same key.
func TestTableMatchesService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		inner := memory.NewTable(nil)
		table := cached.NewTable(inner)
		ctx := context.Background()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			key := fmt.Sprint("key/", rapid.IntRange(0, 3).Draw(t, "key"))
			switch rapid.IntRange(0, 3).Draw(t, "do") {
			case 0:
				value := rapid.SliceOfN(rapid.Byte(), 0, 4).Draw(t, "value")
				_, _ = inner.Commit(ctx, backing.Txn{Writes: []backing.Write{{Key: key, Value: value}}})
			case 1:
				_, _ = inner.Commit(ctx, backing.Txn{Writes: []backing.Write{{Key: key, Delete: true}}})
			default:
				want, _ := inner.Get(ctx, key)
				got, err := table.Get(ctx, key)
				if err != nil || got.Version != want.Version || string(got.Value) != string(want.Value) || got.Key != key {
					t.Fatalf("got %+v, %v, want %+v", got, err, want)
				}
			}
		}
	})
}

// TestTableFailsDuringOutage guards against a cached row that is returned while the
// service cannot be reached: callers treat a successful read as evidence that the
// row is current.
func TestTableFailsDuringOutage(t *testing.T) {
	faults := &memory.Faults{}
	table := cached.NewTable(memory.NewTable(faults))
	ctx := context.Background()
	if _, err := table.Commit(ctx, backing.Txn{Writes: []backing.Write{{Key: "a", Value: []byte("1")}}}); err != nil {
		t.Fatal(err)
	}
	if _, err := table.Get(ctx, "a"); err != nil {
		t.Fatal(err)
	}
	faults.SetDown(true)
	if row, err := table.Get(ctx, "a"); err == nil {
		t.Errorf("read %+v during an outage", row)
	}
}

// TestVMListMatchesService guards against VMs that stay listed, are missing
// or show an old state because a change was applied wrongly or skipped.
func TestVMListMatchesService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := fleettest.NewManualClock(time.Unix(1_000_000, 0))
		p := memory.New(memory.Options{Clock: clock, ListLag: time.Second})
		lists := []*cached.VMList{cached.NewVMList(p.VMList), cached.NewVMList(p.VMList)}
		ctx := context.Background()
		states := []fleet.VMState{fleet.VMLive, fleet.VMLeaving, fleet.VMGone}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := fleet.VMID(fmt.Sprint("w-", rapid.IntRange(0, 4).Draw(t, "vm")))
			switch rapid.IntRange(0, 4).Draw(t, "do") {
			case 0:
				p.AddVM(fleet.VM{ID: id, DataCentre: "a", Slots: rapid.IntRange(1, 8).Draw(t, "slots")})
			case 1:
				_ = p.SetVMState(id, rapid.SampledFrom(states).Draw(t, "state"))
			case 2:
				p.SetEntry(backing.EntryVM{ID: string(id), DataCentre: "a", State: rapid.SampledFrom(states).Draw(t, "entry")})
			case 3:
				clock.Advance(rapid.SampledFrom([]time.Duration{time.Second, 2 * time.Hour}).Draw(t, "advance"))
			default:
				list := rapid.SampledFrom(lists).Draw(t, "list")
				got, err := list.List(ctx)
				want, _ := p.VMList.List(ctx)
				if err != nil || !reflect.DeepEqual(got, want) {
					t.Fatalf("got %+v, %v, want %+v", got, err, want)
				}
			}
		}
	})
}
