package config

import (
	"fmt"
	"maps"
	"os"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// pieces are file contents that together give valid and faulty folders.
var pieces = []string{
	"dataCentres: {dc-a: {state: out}}",
	"dataCentres: {dc-a: {state: in}, dc-c: {region: south}}",
	"dataCentres: {dc-c: null}",
	"teams: {booking: {limit: 20}}",
	"teams: {booking: {share: 12.5%}, supply: {share: 10, limit: 3}}",
	"teams: {supply: null}",
	"teams: {supply: {limit: 0}}",
	"pools: {spare: {vms: ['w-[005-009]']}}",
	"pools: {spare: {vms: ['w-004']}}",
	"pools: {spare: {spare: false, maxUnavailable: 50%}}",
	"keys: {k1: {withdrawn: true}}",
	"keys: {k1: null, k2: {team: design, salt: 0011223344556677, hash: '00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff'}}",
	"queues: {visitors: {open: false, teams: [design]}}",
	"workspaces: {booking: {pool: spare}}",
	"maintenance: {paused: true, period: 7d12h}",
	"maintenance: null",
	"profile: {shareWeight: 2.5}",
	"teams: [",
	"# comment only",
}

func drawFolder(t *rapid.T, label string, base []byte) Folder {
	folder := Folder{"00000001-base.yaml": base}
	for i, piece := range rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 6).Draw(t, label) {
		folder[fmt.Sprintf("%08d-change.yaml", i+2)] = []byte(piece)
	}
	return folder
}

func readBase(t testing.TB) []byte {
	t.Helper()
	base, err := os.ReadFile("testdata/findings/base.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return base
}

// Guards against a builder whose result depends on the order of changes, a
// difference that does not lead from one folder to the other, and a compaction
// that changes the meaning of a folder.
func TestBuilderDiffAndCompactAgreeWithBuild(t *testing.T) {
	base := readBase(t)
	valid := 0
	rapid.Check(t, func(t *rapid.T) {
		old, new := drawFolder(t, "old", base), drawFolder(t, "new", base)
		change := Diff(old, new)
		if got := Apply(old, change); !reflect.DeepEqual(got, new) {
			t.Fatalf("the difference leads to %v, want %v", got, new)
		}
		want, wantFindings := Build(new, 7)
		before := NewBuilder(old)
		builder := before.With(change)
		checkShared(t, before, builder, change)
		got, gotFindings := builder.Build(7)
		if !reflect.DeepEqual(got, want) || !reflect.DeepEqual(gotFindings, wantFindings) {
			t.Fatalf("builder: %+v %v\nwant: %+v %v", got, gotFindings, want, wantFindings)
		}
		if !maps.EqualFunc(builder.Folder(), new, func(a, b []byte) bool { return string(a) == string(b) }) {
			t.Fatal("the builder's folder differs")
		}
		if (got == nil) != (len(gotFindings) > 0) {
			t.Fatalf("snapshot %v with findings %v", got, gotFindings)
		}
		if want != nil {
			valid++
			checkCompacted(t, new, want)
		}
	})
	if valid == 0 {
		t.Error("no folder was valid")
	}
}

// checkShared checks that only the files of a change are parsed again.
func checkShared(t *rapid.T, before, after *Builder, change Change) {
	parsed := map[*parsedFile]bool{}
	for _, file := range before.files {
		parsed[file] = true
	}
	fresh := 0
	for _, file := range after.files {
		if !parsed[file] {
			fresh++
		}
	}
	if fresh != len(change.Put) {
		t.Fatalf("%d files were parsed for a change of %d", fresh, len(change.Put))
	}
}

// checkCompacted compares a compacted folder, also after another change.
func checkCompacted(t *rapid.T, folder Folder, want *Snapshot) {
	compacted, findings := Compact(folder)
	if len(findings) > 0 {
		t.Fatal(findings)
	}
	got, findings := Build(compacted, 7)
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("compacted: %+v %v\nwant: %+v", got, findings, want)
	}
	got, findings = Build(Apply(folder, Change{Put: compacted.Files()}), 7)
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("with the folded files: %+v %v\nwant: %+v", got, findings, want)
	}
	later, err := compacted.NextFileName("later")
	if err != nil {
		t.Fatal(err)
	}
	change := Change{Put: []File{{Name: later, Content: []byte(rapid.SampledFrom(pieces).Draw(t, "later"))}}}
	a, _ := Build(Apply(folder, change), 8)
	b, _ := Build(Apply(compacted, change), 8)
	if !reflect.DeepEqual(a, b) {
		t.Fatalf("after another change: %+v\nwant %+v", b, a)
	}
}

// Guards against a compacted folder whose files no change record could carry.
func TestCompactSplitsLargeFolders(t *testing.T) {
	folder := syntheticFolder(2300, 1000)
	before, findings := Build(folder, 1)
	if findings != nil {
		t.Fatal(findings)
	}
	compacted, findings := Compact(folder)
	if findings != nil {
		t.Fatal(findings)
	}
	after, findings := Build(compacted, 1)
	if !reflect.DeepEqual(before, after) {
		t.Errorf("the snapshot changed: %v", findings)
	}
	if len(compacted) < 2 || len(compacted) > 20 {
		t.Errorf("compacted into %d files", len(compacted))
	}
}

// syntheticFolder is a folder of the target size: 25 pools, 98 teams, 20 data
// centres and a number of small change files, each with a key.
func syntheticFolder(vms, changes int) Folder {
	folder := Folder{}
	put := func(number int, format string, args ...any) {
		folder[fmt.Sprintf("%08d-change.yaml", number)] = fmt.Appendf(nil, format, args...)
	}
	for i := range 20 {
		put(i, "dataCentres: {dc-%d: {region: r-%d}}\n", i, i%6)
	}
	for i := range 25 {
		put(100+i, "pools:\n  p-%d:\n    vms: ['w-[%05d-%05d]']\n    maxUnavailable: 10%%\n", i, i*vms/25, (i+1)*vms/25-1)
	}
	for i := range 98 {
		put(200+i, "teams: {t-%d: {share: 10, limit: 400}}\nqueues: {q-%d: {pool: p-%d, teams: [t-%d]}}\n", i, i, i%25, i)
	}
	for i := range changes {
		put(1000+i, "keys:\n  k-%d:\n    team: t-%d\n    salt: \"00112233445566778899aabbccddeeff\"\n    hash: \"%064x\"\n", i, i%98, i)
	}
	return folder
}

var benchmarkSizes = []struct{ vms, changes int }{{50, 10}, {500, 500}, {2300, 5000}}

func BenchmarkBuild(b *testing.B) {
	for _, size := range benchmarkSizes {
		folder := syntheticFolder(size.vms, size.changes)
		b.Run(fmt.Sprintf("vms=%d/changes=%d", size.vms, size.changes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, findings := Build(folder, 1); findings != nil {
					b.Fatal(findings)
				}
			}
		})
	}
}

func BenchmarkChangeOneFile(b *testing.B) {
	for _, size := range benchmarkSizes {
		builder := NewBuilder(syntheticFolder(size.vms, size.changes))
		change := Change{Put: []File{{Name: "90000000-dc-out.yaml", Content: []byte("dataCentres: {dc-3: {state: out}}\n")}}}
		b.Run(fmt.Sprintf("vms=%d/changes=%d", size.vms, size.changes), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, findings := builder.With(change).Build(2); findings != nil {
					b.Fatal(findings)
				}
			}
		})
	}
}
