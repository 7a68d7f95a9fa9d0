package apply

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"amaranthfork.example/config"
	"amaranthfork.example/fleet/fleettest"
)

// Guards against a renamed, moved or retyped field that changes a stored row or a
// message of peers, which an earlier build wrote or reads.
func TestEncodings(t *testing.T) {
	fleettest.CheckEncodings(t, "encodings", map[string]any{
		"result":         new(Result),
		"begin response": new(beginResponse),
		"change":         new(config.Change),
	}, cbor.Marshal, cbor.Unmarshal)
}
