// Package pools keeps which pool each VM is in, the availability budgets, and
// moves VMs between pools.
//
// The assignments of a data centre are one row, vmpool/<data centre>, a map by
// VM. A VM never leaves its data centre, so a move between pools is one write
// of one row and the VM has exactly one pool at any version of it (C2). An entry
// polls the row of its own data centre: one read for about 115 VMs, where one
// row for each VM would take a read of 115 rows.
//
// Only the holder of the role Name adds VMs, removes them or changes a pool;
// each of these transactions requires the role row. Any entry may ask for a
// move, abort one, or draw and return budget.
package pools

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"amaranthfork.example/fleet"
)

// Name is the name of the controller role.
const Name = "pools"

// Prefixes of the rows of this package.
const (
	AssignmentPrefix       = "vmpool/"      // followed by the data centre
	PoolBudgetPrefix       = "budget/pool/" // followed by the pool
	DataCentreBudgetPrefix = "budget/dc/"   // followed by the data centre
)

// State says whether the dispatcher may start work on a VM.
type State uint8

const (
	StateUnknown     State = iota // no assignment is known
	StateActive                   // work may start
	StateDraining                 // leaves its pool; no work starts
	StateMaintenance              // taken by maintenance or an operator; no work starts
	StateMoving                   // assigned; the platform has not released it yet
)

// String returns the name of the state.
func (s State) String() string {
	names := [...]string{"unknown", "active", "draining", "maintenance", "moving"}
	if int(s) < len(names) {
		return names[s]
	}
	return fmt.Sprintf("state %d", s)
}

// Assignment is the place of one VM.
type Assignment struct {
	Pool   fleet.PoolName
	Rack   fleet.RackName
	State  State
	Target fleet.PoolName // of a move, while the state is draining
	Epoch  uint64         // raised by each change of pool or state
	Since  time.Time      // of the state, in whole seconds
}

// Pools tells the dispatcher the pool and state of a VM. Work may start only in
// StateActive. A VM without a known assignment has the pool "" and StateUnknown.
type Pools interface {
	Pool(vm fleet.VMID) (fleet.PoolName, State)
}

// Dispatch asks the VM dispatchers.
type Dispatch interface {
	// Idle reports that the VM has no task and no reservation. True is a
	// guarantee: the owner of the VM has seen that the VM is not active and
	// starts nothing on it until it sees it active in a later version of the
	// row; or the dispatch lease on the worker has expired.
	Idle(vm fleet.VMID) (bool, error)
}

// group is the value of an assignment row.
type group map[fleet.VMID]Assignment

// packedGroup is the encoded form of a group: the names of pools and racks are
// written once, which takes about 25 bytes for each VM.
type packedGroup struct {
	_     struct{} `cbor:",toarray"`
	Names []string
	VMs   map[fleet.VMID]packed
}

type packed struct {
	_      struct{} `cbor:",toarray"`
	Pool   int      // index into Names
	Rack   int
	State  State
	Target int
	Epoch  uint64
	Since  int64 // Unix seconds
}

// MarshalCBOR encodes the group in its packed form.
func (g group) MarshalCBOR() ([]byte, error) {
	out := packedGroup{VMs: make(map[fleet.VMID]packed, len(g))}
	index := map[string]int{}
	name := func(s string) int {
		i, ok := index[s]
		if !ok {
			i = len(out.Names)
			index[s] = i
			out.Names = append(out.Names, s)
		}
		return i
	}
	for id, a := range g {
		out.VMs[id] = packed{
			Pool:   name(string(a.Pool)),
			Rack:   name(string(a.Rack)),
			State:  a.State,
			Target: name(string(a.Target)),
			Epoch:  a.Epoch,
			Since:  a.Since.Unix(),
		}
	}
	return cbor.Marshal(out)
}

// UnmarshalCBOR decodes the packed form.
func (g *group) UnmarshalCBOR(data []byte) error {
	var in packedGroup
	if err := cbor.Unmarshal(data, &in); err != nil {
		return err
	}
	*g = make(group, len(in.VMs))
	for id, p := range in.VMs {
		for _, i := range []int{p.Pool, p.Rack, p.Target} {
			if i < 0 || i >= len(in.Names) {
				return fmt.Errorf("VM %q refers to name %d of %d", id, i, len(in.Names))
			}
		}
		(*g)[id] = Assignment{
			Pool:   fleet.PoolName(in.Names[p.Pool]),
			Rack:   fleet.RackName(in.Names[p.Rack]),
			State:  p.State,
			Target: fleet.PoolName(in.Names[p.Target]),
			Epoch:  p.Epoch,
			Since:  time.Unix(p.Since, 0),
		}
	}
	return nil
}
