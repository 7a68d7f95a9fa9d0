package member

import (
	"testing"

	"amaranthfork.example/control"
	"amaranthfork.example/fleet"
)

// entry returns a member in data centre dc, on the VM "vm-" and the id.
func entry(id, dc string, joined, settled uint64) ListEntry {
	return ListEntry{Member: control.Member{ID: id, DataCentre: fleet.DataCentreName(dc), VM: "vm-" + id}, JoinedVersion: joined, SettledVersion: settled}
}

// TestSettle guards each condition under which a member may coordinate changes.
// Without one of them, the members of an older list could agree on an older
// revision.
func TestSettle(t *testing.T) {
	n := entry("n", "c", 9, 0)
	old := []ListEntry{entry("a", "a", 1, 1), entry("b", "a", 2, 2), entry("c", "a", 3, 3), entry("d", "b", 4, 4)}
	for _, tt := range []struct {
		name    string
		entries []ListEntry
		fenced  []ListEntry
		known   map[string]uint64
		dead    bool
		want    bool
	}{
		{"half know, one in each data centre", append(old, n), nil, map[string]uint64{"a": 9, "d": 9}, false, true},
		{"half know, none in b", append(old, n), nil, map[string]uint64{"a": 9, "b": 9, "c": 9, "d": 8}, false, false},
		{"fewer than half know", append(old, entry("e", "b", 5, 5), n), nil, map[string]uint64{"a": 9, "d": 9}, false, false},
		{"nobody is settled, all know", []ListEntry{entry("m", "a", 8, 0), n}, nil, map[string]uint64{"m": 9, "n": 9}, false, true},
		{"nobody is settled, one does not know", []ListEntry{entry("m", "a", 8, 0), n}, nil, map[string]uint64{"m": 8, "n": 9}, false, false},
		{"a fenced member may be running", []ListEntry{n}, old[:1], map[string]uint64{"n": 9}, false, false},
		{"the fenced members are dead", []ListEntry{n}, old, map[string]uint64{"n": 9}, true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			list := List{Version: 9, Entries: tt.entries, Fenced: tt.fenced}
			next, _ := list.settle(tt.known, func(string) bool { return tt.dead })
			if e, _ := next.Find("n"); e.SettledVersion > 0 != tt.want {
				t.Errorf("settled at %d, want settled: %v", e.SettledVersion, tt.want)
			}
		})
	}
}

// TestSilentCanAgree guards the majority that the acceptance of a change needs
// while members are silent.
func TestSilentCanAgree(t *testing.T) {
	// a, b and c were the fleet up to version 5; d to g settled at 6.
	all := []ListEntry{entry("a", "a", 1, 3), entry("b", "a", 2, 3), entry("c", "a", 3, 3),
		entry("d", "b", 4, 6), entry("e", "b", 4, 6), entry("f", "b", 4, 6), entry("g", "b", 4, 6)}
	current := map[string]uint64{"a": 6, "b": 6, "c": 6, "d": 6, "e": 6, "f": 6, "g": 6}
	fencedC := entry("c", "a", 3, 3)
	fencedC.KnownVersion = 6
	for _, tt := range []struct {
		name      string
		list      List
		confirmed string
		known     map[string]uint64
		want      bool
	}{
		{"all confirmed", List{Version: 6, Entries: all}, "abcdefg", current, false},
		{"more than half", List{Version: 6, Entries: all}, "defg", current, false},
		{"fewer than half", List{Version: 6, Entries: all}, "abc", current, true},
		{"the silent ones may have the older list", List{Version: 6, Entries: all}, "defg", map[string]uint64{"a": 5, "b": 5, "c": 5}, true},
		{"half of the older list", List{Version: 6, Entries: all}, "abdefg", map[string]uint64{"c": 5}, false},
		{"fenced ones may be running", List{Version: 9, Entries: all[:1], Fenced: all[1:]}, "a", current, true},
		{"one fenced", List{Version: 9, Entries: append(append([]ListEntry(nil), all[:2]...), all[3:]...), Fenced: []ListEntry{fencedC}}, "abdefg", current, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			confirmed := map[string]bool{}
			for _, id := range tt.confirmed {
				confirmed[string(id)] = true
			}
			if got := tt.list.SilentCanAgree(confirmed, tt.known); got != tt.want {
				t.Errorf("silent members can agree: %v, want %v", got, tt.want)
			}
		})
	}
}

// TestFencedUntilVMReused guards against a fenced session that counts as
// running although its VM runs another one.
func TestFencedUntilVMReused(t *testing.T) {
	list := List{Version: 9, Fenced: []ListEntry{entry("a", "a", 1, 1), entry("b", "a", 1, 1)}}
	again := control.Member{ID: "z", VM: "vm-a"}
	next := list.with([]control.Member{again})
	if len(next.Fenced) != 1 || next.Fenced[0].Member.ID != "b" {
		t.Errorf("fenced after the join: %+v, want only b", next.Fenced)
	}
}
