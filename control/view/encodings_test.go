package view

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"amaranthfork.example/fleet/fleettest"
)

// Guards against a renamed, moved or retyped field that changes a stored row or a
// message of peers, which an earlier build wrote or reads.
func TestEncodings(t *testing.T) {
	fleettest.CheckEncodings(t, "encodings", map[string]any{
		"probe":         new(probe),
		"probe answer":  new(probeAck),
		"goodbye":       new(Goodbye),
		"head":          new(Head),
		"snapshot":      new(storedFolder),
		"pull request":  new(pullRequest),
		"pull response": new(pullResponse),
		"change notice": new(changeNotice),
		"change answer": new(changeAck),
	}, cbor.Marshal, cbor.Unmarshal)
}
