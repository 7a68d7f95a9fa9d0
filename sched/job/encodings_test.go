package job

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"amaranthfork.example/fleet/fleettest"
)

// Guards against a renamed, moved or retyped field that changes a stored row or a
// message of peers, which an earlier build wrote or reads.
func TestEncodings(t *testing.T) {
	fleettest.CheckEncodings(t, "encodings", map[string]any{
		"spec":         new(Spec),
		"progress":     new(Progress),
		"state":        new(StateView),
		"queue status": new(QueueStatus),
	}, cbor.Marshal, cbor.Unmarshal)
}
