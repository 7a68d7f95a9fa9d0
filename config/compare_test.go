package config

import (
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// Guards against differences between snapshots that Compare leaves out, so that an
// operator applies a change without having seen them.
func TestCompare(t *testing.T) {
	before := Folder{"00000001-base.yaml": readBase(t)}
	after := Apply(before, Change{Put: []File{{Name: "00000002-change.yaml", Content: []byte(`
dataCentres:
  dc-b: {state: out, region: south}
  dc-c: {region: south}
pools:
  quotes: {vms: ["w-[002-006]", w-010, w-020], maxUnavailable: 50%}
  spare: null
teams:
  booking: {share: 12.5%, limit: 20}
  supply: {share: 10, limit: 3}
keys:
  k1: {withdrawn: true, team: supply, salt: "ff11223344556677"}
queues:
  quotes: {maxQueued: 50, teams: [design, supply]}
  visitors: {open: false, teams: [booking]}
workspaces:
  booking: {open: true, team: null, pool: quotes}
maintenance: {period: 7d12h, drainTimeout: 1h, rebootTimeout: 5m, maxPerRack: 2, maxPerDataCentre: 3, stopAfterFailures: 4, paused: true, avoidDataCentresOut: false}
profile: {idleWeight: 0.5, moveWeight: 2, shareWeight: 3}
`)}}})
	_, faults := Build(after, 2)
	if len(faults) != 1 || !strings.Contains(faults.Error(), "null") {
		t.Fatalf("findings for a field set to null: %v", faults)
	}
	content := after["00000002-change.yaml"]
	after["00000002-change.yaml"] = []byte(strings.Replace(string(content), "open: true, team: null, pool: quotes", "team: design", 1))
	old, oldFaults := Build(before, 1)
	new, newFaults := Build(after, 2)
	if oldFaults != nil || newFaults != nil {
		t.Fatal(oldFaults, newFaults)
	}
	var text strings.Builder
	for _, step := range [][2]*Snapshot{{old, new}, {new, old}, {new, new}, {nil, old}, {old, nil}} {
		for _, difference := range Compare(step[0], step[1]) {
			text.WriteString(difference.String() + "\n")
		}
		text.WriteString("--\n")
	}
	goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "describe", []byte(text.String()))
}
