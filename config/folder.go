package config

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"amaranthfork.example/fleet"
)

// maxFileBytes bounds the size of one file, because the YAML parser takes quadratic
// time for some faulty files: 0.9 s for 64 KiB of anchors, but 10 s for 256 KiB.
// For comparison, 2,300 VM names without ranges take 23 KiB.
const maxFileBytes = 64 << 10

// fileNamePattern excludes hidden files and names that contain a path.
var fileNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,199}\.yaml$`)

// Load reads the *.yaml files of a directory. It ignores all other files, and
// subdirectories. The error names the directory or file that could not be read.
func Load(dir string) (Folder, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, fmt.Errorf("read configuration folder: %w", err)
	}
	folder := Folder{}
	for _, entry := range entries {
		if entry.IsDir() || !strings.HasSuffix(entry.Name(), ".yaml") {
			continue
		}
		content, err := os.ReadFile(filepath.Join(dir, entry.Name()))
		if errors.Is(err, fs.ErrNotExist) {
			continue // removed since the directory was listed
		}
		if err != nil {
			return nil, fmt.Errorf("read configuration file: %w", err)
		}
		folder[entry.Name()] = content
	}
	return folder, nil
}

// Files returns the files in merge order.
func (f Folder) Files() []File {
	files := make([]File, 0, len(f))
	for _, name := range f.names() {
		files = append(files, File{Name: name, Content: f[name]})
	}
	return files
}

// FolderOf returns the folder that consists of the files.
func FolderOf(files []File) Folder {
	folder := make(Folder, len(files))
	for _, file := range files {
		folder[file.Name] = file.Content
	}
	return folder
}

// names returns the names of the files in merge order.
func (f Folder) names() []string {
	return slices.Sorted(maps.Keys(f))
}

// Diff returns the change that turns the old folder into the new one. The caller
// must set its ID and Base.
func Diff(old, new Folder) Change {
	var change Change
	for _, name := range new.names() {
		content, exists := old[name]
		if !exists || !bytes.Equal(content, new[name]) {
			change.Put = append(change.Put, File{Name: name, Content: new[name]})
		}
	}
	for _, name := range old.names() {
		if _, kept := new[name]; !kept {
			change.Removed = append(change.Removed, name)
		}
	}
	return change
}

// Apply returns a copy of the folder after the change. It does not check Base.
func Apply(folder Folder, change Change) Folder {
	result := maps.Clone(folder)
	if result == nil {
		result = Folder{}
	}
	for _, name := range change.Removed {
		delete(result, name)
	}
	for _, file := range change.Put {
		result[file.Name] = file.Content
	}
	return result
}

// Empty reports whether the change changes nothing.
func (c Change) Empty() bool {
	return len(c.Put) == 0 && len(c.Removed) == 0
}

// Check returns the faults of a change that show without the folder that it
// changes: names that are not valid file names, files that are too large, and
// files that the change names more than once.
func (c Change) Check() Findings {
	var findings Findings
	seen := map[string]bool{}
	checkOnce := func(name string) {
		if seen[name] {
			findings = append(findings, Finding{File: name, Message: "the change names this file more than once"})
		}
		seen[name] = true
	}
	for _, file := range c.Put {
		checkOnce(file.Name)
		findings = append(findings, checkFile(file.Name, file.Content)...)
	}
	for _, name := range c.Removed {
		checkOnce(name)
	}
	return findings.sorted()
}

// checkFile checks the name and size of a file.
func checkFile(name string, content []byte) Findings {
	var findings Findings
	if !fileNamePattern.MatchString(name) {
		findings = append(findings, Finding{File: name, Message: "file names consist of letters, digits, '.', '_' and '-' and end in .yaml"})
	}
	if len(content) > maxFileBytes {
		findings = append(findings, Finding{File: name, Message: fmt.Sprintf("file has %d bytes, more than %d", len(content), maxFileBytes)})
	}
	return findings
}

// fileNumberDigits is the number of digits of the number that file names start
// with. Eight digits last for 170 years at 1,600 changes a day.
const fileNumberDigits = 8

var fileNumberPattern = regexp.MustCompile(fmt.Sprintf(`^(\d{%d})[-.]`, fileNumberDigits))

// NextFileName returns the name of a new file that is merged after all files of
// the folder: the next number, a hyphen and the label. It returns an error if a
// file of the folder would be merged after the new one, because its name does not
// start with a number of eight digits, or if the label does not give a valid file
// name.
func (f Folder) NextFileName(label string) (string, error) {
	names := f.names()
	next := fmt.Sprintf("%0*d-%s.yaml", fileNumberDigits, f.highestNumber()+1, label)
	if len(names) > 0 && names[len(names)-1] >= next {
		return "", fmt.Errorf("file %q would be merged after the new file %q; rename it to start with a number of %d digits", names[len(names)-1], next, fileNumberDigits)
	}
	if !fileNamePattern.MatchString(next) {
		return "", fmt.Errorf("%q is not a valid file name", next)
	}
	return next, nil
}

// highestNumber returns the highest number that a file name of the folder starts
// with, 0 if none does.
func (f Folder) highestNumber() int {
	highest := 0
	for name := range f {
		match := fileNumberPattern.FindStringSubmatch(name)
		if match == nil {
			continue
		}
		if number, err := parseCount(match[1]); err == nil {
			highest = max(highest, number)
		}
	}
	return highest
}

// DataCentreFile returns the content of a file that takes a data centre out of
// service or brings it back.
func DataCentreFile(name fleet.DataCentreName, state fleet.DataCentreState) []byte {
	return fmt.Appendf(nil, "dataCentres:\n  %q:\n    state: %s\n", string(name), state)
}

// KeyFile returns the content of a file that grants a key.
func KeyFile(key fleet.Key) []byte {
	return fmt.Appendf(nil, "keys:\n  %q:\n    team: %q\n    salt: %q\n    hash: %q\n", string(key.ID), string(key.Team), key.Salt, key.Hash)
}

// KeyWithdrawnFile returns the content of a file that withdraws a key.
func KeyWithdrawnFile(id fleet.KeyID) []byte {
	return fmt.Appendf(nil, "keys:\n  %q:\n    withdrawn: true\n", string(id))
}
