package pool

import (
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"amaranthfork.example/sched/tables"
)

// VMIdentity tells which life of which machine a VM is. A later owner needs it for the VMs that
// have left discovery: the end of one is proved by what its machine is now.
type VMIdentity struct {
	_         struct{} `cbor:",toarray"`
	Machine   string
	StartedMS int64 // start of the VM, Unix milliseconds; 0 if unknown
}

// identity returns what is known of v, by discovery or else from the rows of an earlier owner.
func (v *vm) identity() VMIdentity {
	if v.Machine == "" {
		return v.recorded
	}
	return VMIdentity{Machine: v.Machine, StartedMS: v.StartedMS}
}

// identityBytes is the largest encoded size of an identity, beside the names in it.
const identityBytes = 16

// addVMs records the identities of VMs that have tasks and are not recorded yet, with all others
// of their rows. One that does not fit is left out: a later owner then waits for leases and late
// calls instead.
func (p *Pool) addVMs(b *Batch) {
	if b.full() || !p.mayWrite(vmItem) {
		return
	}
	due := map[int]map[string]VMIdentity{}
	for id, v := range p.vms {
		if identity := v.identity(); len(v.tasks) > 0 && identity.Machine != "" && p.storedVMs[id] != identity {
			due[tables.VMRowOf(id)] = map[string]VMIdentity{}
		}
	}
	if len(due) == 0 {
		return
	}
	sizes := map[int]int{}
	for _, v := range p.sortedVMs() {
		row, identity := tables.VMRowOf(v.ID), v.identity()
		if due[row] == nil || identity.Machine == "" || !v.listed && !p.mayHoldRuns(v) {
			continue
		}
		if sizes[row] += len(v.ID) + len(identity.Machine) + identityBytes; sizes[row] <= p.rowBytes() {
			due[row][v.ID] = identity
		}
	}
	maps.DeleteFunc(p.storedVMs, func(id string, _ VMIdentity) bool { return due[tables.VMRowOf(id)] != nil })
	for _, row := range slices.Sorted(maps.Keys(due)) {
		value, err := cbor.Marshal(due[row])
		if err != nil {
			p.log.Error("vms_not_encoded", zap.Error(err))
			continue
		}
		b.put(vmItem, tables.VMKey(p.settings.Pool, row), value)
		maps.Copy(p.storedVMs, due[row])
	}
}

// DecodeVMs decodes a row of identities, by VM. It returns an error for a malformed row.
func DecodeVMs(b []byte) (map[string]VMIdentity, error) {
	var identities map[string]VMIdentity
	if err := cbor.Unmarshal(b, &identities); err != nil {
		return nil, fmt.Errorf("row of VMs: %w", err)
	}
	return identities, nil
}

// RestoreVMs sets the identities of VMs that an earlier owner has recorded. It must be called
// before RestoreLease and Restore.
func (p *Pool) RestoreVMs(identities map[string]VMIdentity) { maps.Copy(p.storedVMs, identities) }
