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
		"part":         new(ProgressPart),
		"state":        new(StateView),
		"queue status": new(QueueStatus),
		"location":     new(Location),
		"moved queue":  new(MovedQueue),
	}, cbor.Marshal, cbor.Unmarshal)
}

// Guards against progress rows of earlier builds, which have no crashes, that cannot be
// decoded.
func TestProgressWithoutCrashesIsDecoded(t *testing.T) {
	row, err := cbor.Marshal(map[int]any{1: Running, 2: 1, 3: [][]any{{0, [][]any{{TaskActive, 2, 1, "vm", "cp"}}}}, 5: "ws"})
	if err != nil {
		t.Fatal(err)
	}
	p, err := DecodeProgress(row)
	if err != nil {
		t.Fatal(err)
	}
	if p.State != Running || len(p.Occurrences) != 1 || p.Occurrences[0].Tasks[0].VM != "vm" || len(p.Crashes) != 0 {
		t.Errorf("progress %+v, want a running job with one active task and no crashes", p)
	}
}
