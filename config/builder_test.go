package config

import (
	"fmt"
	"maps"
	"os"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// sampleContents are the contents of change files. Combinations of them on top of
// the base file give valid and faulty folders.
var sampleContents = []string{
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

// drawFolder draws a folder of the base file and up to 6 change files.
func drawFolder(t *rapid.T, label string, base []byte) Folder {
	folder := Folder{"00000001-base.yaml": base}
	for i, content := range rapid.SliceOfN(rapid.SampledFrom(sampleContents), 0, 6).Draw(t, label) {
		folder[fmt.Sprintf("%08d-change.yaml", i+2)] = []byte(content)
	}
	return folder
}

// readBase returns the base file of the findings tests, which is valid.
func readBase(t testing.TB) []byte {
	t.Helper()
	base, err := os.ReadFile("testdata/findings/base.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return base
}

// Guards against a builder whose result after a change differs from that of a new
// build, a Diff that does not turn one folder into the other, and a compaction
// that changes the snapshot.
func TestBuilderDiffAndCompactAgreeWithBuild(t *testing.T) {
	base := readBase(t)
	valid := 0
	rapid.Check(t, func(t *rapid.T) {
		old, new := drawFolder(t, "old", base), drawFolder(t, "new", base)
		change := Diff(old, new)
		if got := Apply(old, change); !reflect.DeepEqual(got, new) {
			t.Fatalf("the old folder with the change is %v, want %v", got, new)
		}
		want, wantFindings := Build(new, 7)
		before := NewBuilder(old)
		builder := before.With(change)
		checkShared(t, before, builder, change)
		got, gotFindings := builder.Build(7)
		if !reflect.DeepEqual(got, want) || !reflect.DeepEqual(gotFindings, wantFindings) {
			t.Fatalf("build after a change: %+v %v\nwant: %+v %v", got, gotFindings, want, wantFindings)
		}
		if !maps.EqualFunc(builder.Folder(), new, func(a, b []byte) bool { return string(a) == string(b) }) {
			t.Fatal("the folder of the builder is not the new folder")
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

// checkShared checks that a builder parses only the files of a change and shares
// the parsed form of the others.
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
		t.Fatalf("%d files were parsed for a change that puts %d", fresh, len(change.Put))
	}
}

// checkCompacted checks that a compacted folder has the wanted snapshot, alone and
// together with the files that it replaces, and that a later change has the same
// result on it as on the folder.
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
		t.Fatalf("compacted files beside the old ones: %+v %v\nwant: %+v", got, findings, want)
	}
	later, err := compacted.NextFileName("later")
	if err != nil {
		t.Fatal(err)
	}
	change := Change{Put: []File{{Name: later, Content: []byte(rapid.SampledFrom(sampleContents).Draw(t, "later"))}}}
	a, _ := Build(Apply(folder, change), 8)
	b, _ := Build(Apply(compacted, change), 8)
	if !reflect.DeepEqual(a, b) {
		t.Fatalf("compacted, after another change: %+v\nwant: %+v", b, a)
	}
}

// Guards against compacted files that are larger than a file may be, so that no
// change could put them.
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
		t.Errorf("compaction changed the snapshot: %v", findings)
	}
	if len(compacted) < 2 || len(compacted) > 20 {
		t.Errorf("compacted into %d files", len(compacted))
	}
}

// syntheticFolder returns a folder of the target size, with 25 pools, 98 teams and
// 20 data centres, that has the given numbers of VMs and of small change files.
// Each change file adds a key.
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

// benchmarkSizes are numbers of VMs and change files, up to the target size.
var benchmarkSizes = []struct{ vms, changes int }{{50, 10}, {500, 500}, {2300, 5000}}

// BenchmarkBuild measures a build that parses all files.
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

// BenchmarkChangeOneFile measures a build after a change of one file, which shares
// the parsed form of the others.
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
