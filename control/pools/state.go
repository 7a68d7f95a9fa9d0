// Package pools stores which pool each VM is in and which VMs are unavailable,
// enforces the availability budgets, and moves VMs between pools.
//
// The assignments of a data centre are one row, vmpool/<data centre>, a map by
// VM. A VM never leaves its data centre, so a move between pools is one write
// of one row, and at each version of the row the VM is in exactly one pool. An
// entry polls the row of its own data centre: one read for about 115 VMs, where
// one row for each VM would take a read of 115 rows.
//
// Only the holder of the role RoleName adds VMs, removes them or changes their
// pool; each of these transactions requires the role row. Any entry may request
// or abort a move, and draw or return budget.
package pools

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"amaranthfork.example/fleet"
)

// RoleName is the name of the controller role.
const RoleName = "pools"

// Prefixes of the rows of this package.
const (
	AssignmentPrefix       = "vmpool/"      // followed by the data centre
	PoolBudgetPrefix       = "budget/pool/" // followed by the pool
	DataCentreBudgetPrefix = "budget/dc/"   // followed by the data centre
)

// State is the state of a VM's assignment. Work may start only in StateActive.
type State uint8

const (
	StateUnknown     State = iota // the VM has no known assignment
	StateActive                   // work may start
	StateDraining                 // being moved out of its pool
	StateMaintenance              // out of service for maintenance or by an operator
	StateMoving                   // in its new pool, or in its old one after an abort; not yet released by the platform
)

// String returns the name of the state.
func (s State) String() string {
	names := [...]string{"unknown", "active", "draining", "maintenance", "moving"}
	if int(s) < len(names) {
		return names[s]
	}
	return fmt.Sprintf("state %d", s)
}

// Assignment is the pool and state of one VM.
type Assignment struct {
	Pool   fleet.PoolName
	Rack   fleet.RackName
	State  State
	Target fleet.PoolName // the pool that a draining VM moves to
	Epoch  uint64         // rises with each change of pool or state
	Since  time.Time      // start of the state, in whole seconds
}

// Pools looks up the pool and state of a VM. A VM without a known assignment
// has the pool "" and StateUnknown.
type Pools interface {
	Pool(vm fleet.VMID) (fleet.PoolName, State)
}

// Dispatch asks the owner of a VM's dispatch about its work.
type Dispatch interface {
	// Idle reports whether the VM has no task and no reservation. True is a
	// guarantee that none starts: either the owner of the VM has seen that the
	// VM is not active, and starts nothing on it until a later version of the
	// row shows it as active; or the owner's dispatch lease on the worker has
	// expired.
	Idle(vm fleet.VMID) (bool, error)
}

// assignmentRow is the value of the assignment row of a data centre.
type assignmentRow map[fleet.VMID]Assignment

// encodedRow is the encoded form of an assignmentRow. It holds each pool and
// rack name once, which takes about 25 bytes for each VM.
type encodedRow struct {
	_     struct{} `cbor:",toarray"`
	Names []string
	VMs   map[fleet.VMID]encodedAssignment
}

// encodedAssignment is the encoded form of an Assignment. Pool, Rack and Target
// are indices into encodedRow.Names.
type encodedAssignment struct {
	_         struct{} `cbor:",toarray"`
	Pool      int
	Rack      int
	State     State
	Target    int
	Epoch     uint64
	SinceUnix int64
}

// MarshalCBOR encodes the row as an encodedRow.
func (row assignmentRow) MarshalCBOR() ([]byte, error) {
	out := encodedRow{VMs: make(map[fleet.VMID]encodedAssignment, len(row))}
	index := map[string]int{}
	nameIndex := func(s string) int {
		i, ok := index[s]
		if !ok {
			i = len(out.Names)
			index[s] = i
			out.Names = append(out.Names, s)
		}
		return i
	}
	for id, a := range row {
		out.VMs[id] = encodedAssignment{
			Pool:      nameIndex(string(a.Pool)),
			Rack:      nameIndex(string(a.Rack)),
			State:     a.State,
			Target:    nameIndex(string(a.Target)),
			Epoch:     a.Epoch,
			SinceUnix: a.Since.Unix(),
		}
	}
	return cbor.Marshal(out)
}

// UnmarshalCBOR decodes an encodedRow. It returns an error for an index without
// a name.
func (row *assignmentRow) UnmarshalCBOR(data []byte) error {
	var in encodedRow
	if err := cbor.Unmarshal(data, &in); err != nil {
		return err
	}
	*row = make(assignmentRow, len(in.VMs))
	for id, p := range in.VMs {
		for _, i := range []int{p.Pool, p.Rack, p.Target} {
			if i < 0 || i >= len(in.Names) {
				return fmt.Errorf("VM %q refers to name %d of %d", id, i, len(in.Names))
			}
		}
		(*row)[id] = Assignment{
			Pool:   fleet.PoolName(in.Names[p.Pool]),
			Rack:   fleet.RackName(in.Names[p.Rack]),
			State:  p.State,
			Target: fleet.PoolName(in.Names[p.Target]),
			Epoch:  p.Epoch,
			Since:  time.Unix(p.SinceUnix, 0),
		}
	}
	return nil
}
