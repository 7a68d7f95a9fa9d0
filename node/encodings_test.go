package node

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"amaranthfork.example/fleet/fleettest"
	"amaranthfork.example/sched/capshare"
)

// Guards against a renamed, moved or retyped field that changes a stored row or a
// message of peers, which an earlier build wrote or reads.
func TestEncodings(t *testing.T) {
	fleettest.CheckEncodings(t, "encodings", map[string]any{
		"owner":         new(ownerRow),
		"member":        new(Member),
		"cordon":        new(cordonRow),
		"wave":          new(waveRow),
		"recent orders": new(recentOrdersRow),
		"caps":          new(capshare.Division),
	}, cbor.Marshal, cbor.Unmarshal)
}
