package node

import (
	"fmt"
	"strings"
	"testing"

	"go.uber.org/zap"

	"amaranthfork.example/sched/pool"
	"amaranthfork.example/sched/store"
)

// Guards against a pool that loses its owner (LOST) because the load report of many VMs,
// with the longest ids, is larger than a row; and against a report with some of its rows.
func TestLoadReportOfManyVMsIsReadAsAWhole(t *testing.T) {
	const vms = 500
	p := pool.New(pool.Settings{Pool: "p"}, zap.NewNop(), pool.Time{Steady: 1, Wall: 1})
	for i := range vms {
		name := fmt.Sprintf("%s%03d", strings.Repeat("v", store.MaxNameBytes-3), i)
		p.ObserveVM(pool.VM{ID: name, Machine: name, Address: "vm:80"})
	}
	p.Advance(pool.Time{Steady: 2 * loadWait, Wall: 2})
	n := newEntry("a", nil, &testClock{})
	table := newLoadReportTable(n, zap.NewNop())
	var rows []store.Row
	for _, put := range p.Cycle().Puts {
		if len(put.Value) > 64<<10 {
			t.Errorf("row %s has %d bytes", put.Key.Name, len(put.Value))
		}
		rows = append(rows, store.Row{Key: put.Key, Value: put.Value, Version: 5})
	}
	for i := range rows {
		table.update(Update{Rows: rows[i : i+1]})
		if report, ok := table.all()["p"]; ok && len(report.VMs) != vms {
			t.Fatalf("after %d of %d rows the report lists %d VMs, want none or %d", i+1, len(rows), len(report.VMs), vms)
		}
	}
	report := table.all()["p"]
	if len(report.VMs) != vms {
		t.Fatalf("the report lists %d VMs, want %d", len(report.VMs), vms)
	}
	if _, ok := report.VM(report.VMs[vms-1].VM); !ok {
		t.Error("the last VM is not found")
	}
}
