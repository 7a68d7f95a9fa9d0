package poolstest

import (
	"context"

	"amaranthfork.example/backing"
	"amaranthfork.example/backing/memory"
	"amaranthfork.example/control"
	"amaranthfork.example/fleet"
)

// Entry is one entry process as its controllers see it. It implements their
// table, membership, VM list and control of VMs.
type Entry struct {
	Simulation *Simulation
	ID         string
	Faults     *memory.Faults
	// Dead makes every call fail, as after the end of the process.
	Dead bool
	// Expired makes the session invalid by the entry's own clock.
	Expired bool
	// LoseAnswers is the number of the next calls to VMs that take effect and
	// return backing.ErrUnconfirmed.
	LoseAnswers int
	// ReadBytes counts the bytes of the rows that the entry has read.
	ReadBytes int

	table   *memory.Table
	session backing.Condition
}

// Join starts an entry with a new session.
func (w *Simulation) Join(id string) *Entry {
	e := &Entry{Simulation: w, ID: id, Faults: &memory.Faults{}}
	e.table = w.Table.Via(e.Faults)
	key := "session/" + id
	versions, err := w.Table.Commit(context.Background(), backing.Txn{Writes: []backing.Write{{Key: key, Value: []byte(id)}}})
	if err != nil {
		panic(err) // the base table has no faults
	}
	e.session = backing.Condition{Key: key, Version: versions[0]}
	w.members.Version++
	w.members.List = append(w.members.List[:len(w.members.List):len(w.members.List)], e.Self())
	return e
}

// Fence ends the session of an entry and removes it from the member list.
func (w *Simulation) Fence(e *Entry) {
	e.Expired = true
	_, err := w.Table.Commit(context.Background(), backing.Txn{Writes: []backing.Write{{Key: e.session.Key, Delete: true}}})
	if err != nil {
		panic(err) // the base table has no faults
	}
	var remaining []control.Member
	for _, m := range w.members.List {
		if m.ID != e.ID {
			remaining = append(remaining, m)
		}
	}
	w.members = control.Members{Version: w.members.Version + 1, List: remaining}
}

// Self returns the member record of the entry.
func (e *Entry) Self() control.Member { return control.Member{ID: e.ID} }

// Members returns the present member list.
func (e *Entry) Members() control.Members { return e.Simulation.members }

// Valid returns nil, or a *fleet.Refusal after the session has expired.
func (e *Entry) Valid() error {
	if e.Expired {
		return &fleet.Refusal{Reason: fleet.ReasonStaleView, Detail: "session expired"}
	}
	return nil
}

// Session returns the condition that fails once the session is fenced.
func (e *Entry) Session() backing.Condition { return e.session }

// intercept runs before each call. It returns an error if the call must fail:
// the entry is dead, the context has ended, or World.BeforeCall returns an
// error.
func (e *Entry) intercept(ctx context.Context, op string) error {
	if e.Dead || ctx.Err() != nil {
		return backing.ErrUnavailable
	}
	if e.Simulation.BeforeCall == nil {
		return nil
	}
	if err := e.Simulation.BeforeCall(e, op); err != nil {
		return err
	}
	if e.Dead {
		return backing.ErrUnavailable
	}
	return nil
}

// Get reads a row from the table.
func (e *Entry) Get(ctx context.Context, key string) (backing.Row, error) {
	if err := e.intercept(ctx, "get"); err != nil {
		return backing.Row{}, err
	}
	row, err := e.table.Get(ctx, key)
	e.ReadBytes += len(row.Key) + len(row.Value)
	return row, err
}

// Range reads rows from the table.
func (e *Entry) Range(ctx context.Context, prefix, after string, limit int) ([]backing.Row, error) {
	if err := e.intercept(ctx, "range"); err != nil {
		return nil, err
	}
	rows, err := e.table.Range(ctx, prefix, after, limit)
	for _, row := range rows {
		e.ReadBytes += len(row.Key) + len(row.Value)
	}
	return rows, err
}

// Commit applies a transaction and audits the rows after it.
func (e *Entry) Commit(ctx context.Context, txn backing.Txn) ([]uint64, error) {
	if err := e.intercept(ctx, "commit"); err != nil {
		return nil, err
	}
	versions, err := e.table.Commit(ctx, txn)
	e.Simulation.audit()
	return versions, err
}

// List returns the VM list, which may be out of date by World.ListLag.
func (e *Entry) List(ctx context.Context) (backing.VMListing, error) {
	if err := e.intercept(ctx, "list"); err != nil {
		return backing.VMListing{}, err
	}
	return e.Simulation.history[0], nil
}

// Drain makes the worker of a VM refuse new work.
func (e *Entry) Drain(ctx context.Context, vm fleet.VMID) error {
	return e.callVM(ctx, "drain", vm, func(m *simulatedVM) error { m.drained = true; return nil })
}

// Release ends the drain of a VM. A release while the VM reboots is a
// violation.
func (e *Entry) Release(ctx context.Context, vm fleet.VMID) error {
	return e.callVM(ctx, "release", vm, func(m *simulatedVM) error {
		if !m.upAt.IsZero() {
			e.Simulation.addViolation("VM %s was released while it reboots", vm)
		}
		m.drained = false
		return nil
	})
}

// Reboot restarts a VM. Each task that still runs on it is a violation.
func (e *Entry) Reboot(ctx context.Context, vm fleet.VMID) error {
	return e.callVM(ctx, "reboot", vm, func(*simulatedVM) error { return e.Simulation.reboot(vm) })
}

// callVM applies fn to a VM, with the faults that the test has set. A call
// after the session has expired is a violation.
func (e *Entry) callVM(ctx context.Context, op string, vm fleet.VMID, fn func(*simulatedVM) error) error {
	if e.Expired {
		e.Simulation.addViolation("%s of VM %s by an entry whose session has expired", op, vm)
	}
	if err := e.intercept(ctx, op); err != nil {
		return err
	}
	m, ok := e.Simulation.vms[vm]
	if !ok || m.vm.State == fleet.VMGone {
		return backing.ErrNotFound
	}
	if err := fn(m); err != nil {
		return err
	}
	if e.LoseAnswers > 0 {
		e.LoseAnswers--
		return backing.ErrUnconfirmed
	}
	return nil
}
