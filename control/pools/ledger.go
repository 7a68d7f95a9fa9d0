package pools

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"amaranthfork.example/backing"
	"amaranthfork.example/control"
	"amaranthfork.example/fleet"
)

// maxAttempts bounds the attempts of a transaction, including the first.
const maxAttempts = 12

// pageSize is the number of rows that a call of Range asks for.
const pageSize = 64

// Errors of the ledger.
var (
	// ErrContended means that on every attempt another writer had changed a row
	// of the transaction, or a condition of its guard did not hold.
	ErrContended = errors.New("rows changed on every attempt")
	// ErrUnassigned means that the VM is in no pool.
	ErrUnassigned = errors.New("VM is in no pool")
)

// LedgerOptions configures a Ledger.
type LedgerOptions struct {
	Table backing.Table
	View  control.View
	Clock fleet.Clock
}

// Ledger reads and changes the assignments and budgets in the table. It keeps
// no state, so any number of entries may use ledgers on the same table.
type Ledger struct{ options LedgerOptions }

// NewLedger returns a ledger.
func NewLedger(o LedgerOptions) *Ledger { return &Ledger{options: o} }

// Guard returns the conditions that a transaction requires besides the versions
// of the rows that it has read. It is called on each attempt.
type Guard func() ([]backing.Condition, error)

// Change is one attempt of a transaction on the rows of a data centre. The
// version of each row that it reads is a condition of its commit.
type Change struct {
	ledger     *Ledger
	ctx        context.Context
	dataCentre fleet.DataCentreName
	now        time.Time
	rows       map[string]*loadedRow
	order      []string // keys of rows, in the order in which they were loaded
}

// loadedRow is a row that a Change has read.
type loadedRow struct {
	version uint64
	value   any
	dirty   bool // the value was changed and must be written
}

// Update runs fn on the rows of a data centre and commits what it changed.
// After a conflict or a lost answer it runs fn again on newly read rows, so fn
// must be idempotent: where its effect is present already, it changes nothing.
// Update returns the errors of fn, guard and the table, and ErrContended after
// maxAttempts conflicts.
func (l *Ledger) Update(ctx context.Context, dc fleet.DataCentreName, guard Guard, fn func(*Change) error) error {
	var last error
	for range maxAttempts {
		c := &Change{ledger: l, ctx: ctx, dataCentre: dc, now: l.options.Clock.Now(), rows: map[string]*loadedRow{}}
		var conditions []backing.Condition
		if guard != nil {
			var err error
			if conditions, err = guard(); err != nil {
				return err
			}
		}
		if err := fn(c); err != nil {
			return err
		}
		last = c.commit(conditions)
		if !errors.Is(last, backing.ErrConflict) && !errors.Is(last, backing.ErrUnconfirmed) {
			return last
		}
	}
	if errors.Is(last, backing.ErrConflict) {
		return fmt.Errorf("%w: data centre %q", ErrContended, dc)
	}
	return last
}

// Locate returns the data centre and the assignment of a VM. Errors:
// ErrUnassigned and those of the table.
func (l *Ledger) Locate(ctx context.Context, vm fleet.VMID) (fleet.DataCentreName, Assignment, error) {
	all, err := l.Assignments(ctx)
	if err != nil {
		return "", Assignment{}, err
	}
	for dc, vms := range all {
		if a, ok := vms[vm]; ok {
			return dc, a, nil
		}
	}
	return "", Assignment{}, fmt.Errorf("%w: %q", ErrUnassigned, vm)
}

// Assignments reads the assignments of all data centres, by data centre and VM.
func (l *Ledger) Assignments(ctx context.Context) (map[fleet.DataCentreName]map[fleet.VMID]Assignment, error) {
	out := map[fleet.DataCentreName]map[fleet.VMID]Assignment{}
	err := ReadRows(ctx, l.options.Table, AssignmentPrefix, func(name string, value []byte) error {
		var row assignmentRow
		if err := cbor.Unmarshal(value, &row); err != nil {
			return err
		}
		out[fleet.DataCentreName(name)] = row
		return nil
	})
	return out, err
}

// ReadRows reads all rows with a prefix, page by page, and calls fn for each
// with the key after the prefix and the value. It returns the errors of the
// table and of fn.
func ReadRows(ctx context.Context, table backing.Table, prefix string, fn func(name string, value []byte) error) error {
	for after := ""; ; {
		rows, err := table.Range(ctx, prefix, after, pageSize)
		if err != nil {
			return fmt.Errorf("read rows %q: %w", prefix, err)
		}
		for _, r := range rows {
			if err := fn(r.Key[len(prefix):], r.Value); err != nil {
				return fmt.Errorf("decode row %q: %w", r.Key, err)
			}
			after = r.Key
		}
		if len(rows) < pageSize {
			return nil
		}
	}
}

// DataCentre returns the data centre whose rows are changed.
func (c *Change) DataCentre() fleet.DataCentreName { return c.dataCentre }

// Now returns the time at which the attempt was started.
func (c *Change) Now() time.Time { return c.now }

// Load returns the value of a row and makes the row part of the transaction. A
// row that does not exist has the zero value. Changes to the value are written
// only if Store is called.
func Load[T any](c *Change, key string) (*T, error) {
	if r, ok := c.rows[key]; ok {
		value, ok := r.value.(*T)
		if !ok {
			return nil, fmt.Errorf("row %q was loaded as %T", key, r.value)
		}
		return value, nil
	}
	stored, err := c.ledger.options.Table.Get(c.ctx, key)
	if err != nil {
		return nil, fmt.Errorf("read row %q: %w", key, err)
	}
	value := new(T)
	if stored.Version != 0 {
		if err := cbor.Unmarshal(stored.Value, value); err != nil {
			return nil, fmt.Errorf("decode row %q: %w", key, err)
		}
	}
	c.rows[key] = &loadedRow{version: stored.Version, value: value}
	c.order = append(c.order, key)
	return value, nil
}

// Store marks a row that was loaded as changed.
func (c *Change) Store(key string) { c.rows[key].dirty = true }

// commit writes the changed rows on condition that no loaded row has a newer
// version. It does nothing if no row was changed.
func (c *Change) commit(conditions []backing.Condition) error {
	txn := backing.Txn{ID: uuid.NewString(), Conditions: conditions}
	for _, key := range c.order {
		r := c.rows[key]
		txn.Conditions = append(txn.Conditions, backing.Condition{Key: key, Version: r.version})
		if !r.dirty {
			continue
		}
		value, err := cbor.Marshal(r.value)
		if err != nil {
			return fmt.Errorf("encode row %q: %w", key, err)
		}
		txn.Writes = append(txn.Writes, backing.Write{Key: key, Value: value})
	}
	if len(txn.Writes) == 0 {
		return nil
	}
	_, err := c.ledger.options.Table.Commit(c.ctx, txn)
	return err
}

// VMs returns the assignments of the data centre. The caller must not change
// them.
func (c *Change) VMs() (map[fleet.VMID]Assignment, error) {
	row, err := c.assignmentsOf(c.dataCentre)
	if err != nil {
		return nil, err
	}
	return *row, nil
}

// VM returns the assignment of a VM. Errors: ErrUnassigned and those of the
// table.
func (c *Change) VM(vm fleet.VMID) (Assignment, error) {
	vms, err := c.VMs()
	if err != nil {
		return Assignment{}, err
	}
	a, ok := vms[vm]
	if !ok {
		return a, fmt.Errorf("%w: %q in data centre %q", ErrUnassigned, vm, c.dataCentre)
	}
	return a, nil
}

// SetState changes the state of a VM, which stays in its pool, and clears its
// move target.
func (c *Change) SetState(vm fleet.VMID, state State) error {
	a, err := c.VM(vm)
	if err != nil || a.State == state {
		return err
	}
	a.State, a.Target = state, ""
	return c.setAssignment(vm, a)
}

// setAssignment stores an assignment with a higher epoch and the present time
// as the start of its state.
func (c *Change) setAssignment(vm fleet.VMID, a Assignment) error {
	row, err := c.assignmentsOf(c.dataCentre)
	if err != nil {
		return err
	}
	if *row == nil {
		*row = assignmentRow{}
	}
	a.Epoch = max(a.Epoch, (*row)[vm].Epoch) + 1
	a.Since = c.now.Truncate(time.Second)
	(*row)[vm] = a
	c.Store(AssignmentPrefix + string(c.dataCentre))
	return nil
}

func (c *Change) assignmentsOf(dc fleet.DataCentreName) (*assignmentRow, error) {
	return Load[assignmentRow](c, AssignmentPrefix+string(dc))
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}
