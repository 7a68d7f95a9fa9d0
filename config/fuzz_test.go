package config

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// FuzzParse guards against input that makes the parser panic, findings in a file
// that have no line, and valid files whose compaction changes the snapshot.
func FuzzParse(f *testing.F) {
	base := readBase(f)
	f.Add(base)
	for _, content := range sampleContents {
		f.Add([]byte(content))
	}
	inputs, err := filepath.Glob(filepath.Join("testdata", "findings", "*.input"))
	if err != nil {
		f.Fatal(err)
	}
	for _, input := range inputs {
		content, err := os.ReadFile(input)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		folder := Folder{"00000001-base.yaml": base, "00000002-fuzz.yaml": content}
		snapshot, findings := Build(folder, 1)
		if (snapshot == nil) != (len(findings) > 0) {
			t.Fatalf("snapshot %v with findings %v", snapshot, findings)
		}
		for _, finding := range findings {
			if finding.File != "" && len(content) <= maxFileBytes && finding.Line < 1 {
				t.Fatalf("finding without a line: %+v", finding)
			}
		}
		if snapshot == nil {
			return
		}
		compacted, findings := Compact(folder)
		if findings != nil {
			t.Fatal(findings)
		}
		again, findings := Build(compacted, 1)
		if !reflect.DeepEqual(again, snapshot) {
			t.Fatalf("compaction changed the snapshot: %v\n%s", findings, compacted["0000000003-compacted-001.yaml"])
		}
	})
}
