package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
)

// readInput reads a folder from one input file, which has a line "-- name --"
// before the content of each file. It adds the base file unless the input replaces
// it.
func readInput(t testing.TB, path string) Folder {
	t.Helper()
	base, err := os.ReadFile(filepath.Join("testdata", "findings", "base.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	input, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	folder := Folder{"00000001-base.yaml": base}
	for part := range strings.SplitSeq(strings.TrimPrefix(string(input), "-- "), "\n-- ") {
		name, content, _ := strings.Cut(part, " --\n")
		folder[name] = []byte(content)
	}
	return folder
}

// Guards against faults that are not found or that keep others from being found,
// and against unnoticed changes of the position or text of a finding.
func TestFindings(t *testing.T) {
	inputs, err := filepath.Glob(filepath.Join("testdata", "findings", "*.input"))
	if err != nil || len(inputs) == 0 {
		t.Fatalf("no inputs: %v", err)
	}
	golden := goldie.New(t, goldie.WithFixtureDir(filepath.Join("testdata", "findings")))
	for _, input := range inputs {
		name := strings.TrimSuffix(filepath.Base(input), ".input")
		t.Run(name, func(t *testing.T) {
			folder := readInput(t, input)
			snapshot, findings := Build(folder, 1)
			if snapshot != nil {
				t.Error("a faulty folder gave a snapshot")
			}
			for range 5 { // the random order of maps must not affect the findings
				_, again := Build(folder, 1)
				if again.Error() != findings.Error() {
					t.Fatalf("findings differ between runs:\n%s\n\n%s", findings.Error(), again.Error())
				}
			}
			golden.Assert(t, name, []byte(findings.Error()+"\n"))
		})
	}
}

// Guards against input that makes the YAML parser recurse without bound, and
// against a nesting limit that refuses valid files.
func TestNesting(t *testing.T) {
	cases := []struct {
		name, content string
		refused       bool
	}{
		{"flow lists", strings.Repeat("[", 60_000), true},
		{"flow lists on many lines", strings.Repeat("[a,\n", 10_000), true},
		{"flow mappings", strings.Repeat("{a: ", 10_000), true},
		{"lists on one line", strings.Repeat("- ", 30_000), true},
		{"keys on one line", strings.Repeat("? ", 30_000), true},
		{"a rule in a comment", "# " + strings.Repeat("- ", 300) + strings.Repeat("[", 300), false},
		{"a long list", "pools: {spare: {vms: [" + strings.Repeat("w-001, ", 300) + "]}}", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			file := parseFile(File{Name: "00000001-a.yaml", Content: []byte(c.content)})
			refused := strings.Contains(file.findings.Error(), "nested more than")
			if refused != c.refused {
				t.Errorf("findings: %s", file.findings.Error())
			}
		})
	}
}
