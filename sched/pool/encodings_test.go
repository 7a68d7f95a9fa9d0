package pool

import (
	"encoding/json"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"amaranthfork.example/fleet/fleettest"
)

// Guards against a renamed, moved or retyped field that changes a stored row or a
// message of peers, which an earlier build wrote or reads.
func TestEncodings(t *testing.T) {
	fleettest.CheckEncodings(t, "encodings", map[string]any{
		"load":        new(LoadReport),
		"run leases":  new(RunLeases),
		"vm identity": new(VMIdentity),
	}, cbor.Marshal, cbor.Unmarshal)
}

// Guards against a renamed field of the counters, which are published as metrics
// under the names of their fields.
func TestNamesOfCounters(t *testing.T) {
	fleettest.CheckEncodings(t, "counters", map[string]any{"stats": new(Stats)}, json.Marshal, json.Unmarshal)
}
