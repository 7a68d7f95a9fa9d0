package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against a new file that is merged before an existing one, which would
// override it.
func TestNextFileName(t *testing.T) {
	cases := []struct {
		names, label, want string // want is empty for an error
	}{
		{"", "dc-out", "00000001-dc-out.yaml"},
		{"00000001-a.yaml 00000009-b.yaml", "dc-out", "00000010-dc-out.yaml"},
		{"00000009.yaml", "a", "00000010-a.yaml"},
		{"00000001-a.yaml 0000000002-b.yaml", "a", "00000002-a.yaml"},
		{"00000001-a.yaml pools.yaml", "a", ""},
		{"99999999-a.yaml", "a", ""},
		{"", "a/b", ""},
		{"", strings.Repeat("a", 300), ""},
	}
	for _, c := range cases {
		folder := Folder{}
		for _, name := range strings.Fields(c.names) {
			folder[name] = nil
		}
		got, err := folder.NextFileName(c.label)
		if got != c.want || (err != nil) != (c.want == "") {
			t.Errorf("%q and label %.10q: %q, %v; want %q", c.names, c.label, got, err, c.want)
		}
		for name := range folder {
			if err == nil && name >= got {
				t.Errorf("existing file %q is merged after the new file %q", name, got)
			}
		}
	}
}

// Guards against changes with file names that lead out of the folder, with files
// that are too large, or that name a file more than once.
func TestChangeCheck(t *testing.T) {
	large := make([]byte, maxFileBytes+1)
	for name, change := range map[string]Change{
		"path":              {Put: []File{{Name: "../00000001-a.yaml"}}},
		"hidden file":       {Put: []File{{Name: ".a.yaml"}}},
		"other suffix":      {Put: []File{{Name: "a.yml"}}},
		"too large":         {Put: []File{{Name: "00000001-a.yaml", Content: large}}},
		"put twice":         {Put: []File{{Name: "00000001-a.yaml"}, {Name: "00000001-a.yaml"}}},
		"put and removed":   {Put: []File{{Name: "00000001-a.yaml"}}, Removed: []string{"00000001-a.yaml"}},
		"removed two times": {Removed: []string{"00000001-a.yaml", "00000001-a.yaml"}},
	} {
		if findings := change.Check(); len(findings) != 1 {
			t.Errorf("%s: %v", name, findings)
		}
	}
	fine := Change{Put: []File{{Name: "00000001-a.yaml", Content: large[1:]}}, Removed: []string{"b.yaml"}}
	if findings := fine.Check(); findings != nil {
		t.Errorf("a change without faults: %v", findings)
	}
}

// Guards against a Load that reads other files than *.yaml, or that returns an empty
// folder for a directory that cannot be read.
func TestLoad(t *testing.T) {
	dir := t.TempDir()
	for _, name := range []string{"00000001-a.yaml", "README.md", "00000002-b.yaml~"} {
		if err := os.WriteFile(filepath.Join(dir, name), []byte("teams: {}\n"), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if err := os.Mkdir(filepath.Join(dir, "old.yaml"), 0o700); err != nil {
		t.Fatal(err)
	}
	folder, err := Load(dir)
	if err != nil || len(folder) != 1 || string(folder["00000001-a.yaml"]) != "teams: {}\n" {
		t.Errorf("loaded folder %v, %v", folder, err)
	}
	if _, err := Load(filepath.Join(dir, "missing")); err == nil {
		t.Error("a missing folder was read")
	}
}

// Guards against a percentage that is rounded down to a budget of 0 in a small pool,
// which would never allow maintenance.
func TestQuantity(t *testing.T) {
	for _, c := range []struct{ thousandths, vms, want int }{{50, 8, 1}, {250, 8, 2}, {125, 12, 1}, {500, 11, 5}, {1000, 9, 9}} {
		if got := (quantity{c.thousandths, true}).resolve(c.vms); got != c.want {
			t.Errorf("%s of %d VMs is %d, want %d", FormatThousandths(c.thousandths), c.vms, got, c.want)
		}
	}
}
