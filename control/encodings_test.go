package control

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"amaranthfork.example/fleet/fleettest"
)

// Guards against a renamed, moved or retyped field that changes a stored row or a
// message of peers, which an earlier build wrote or reads.
func TestEncodings(t *testing.T) {
	fleettest.CheckEncodings(t, "encodings", map[string]any{
		"members":         new(Members),
		"record":          new(Record),
		"reserve request": new(ReserveRequest),
		"reservation":     new(Reservation),
		"task end":        new(TaskEnd),
		"capacity":        new(Capacity),
		"job status":      new(JobStatus),
	}, cbor.Marshal, cbor.Unmarshal)
}
