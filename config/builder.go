package config

import (
	"slices"
	"strings"

	"amaranthfork.example/fleet"
)

// Build merges and checks a folder. It returns either a snapshot or findings.
// Use a Builder where folders change by a few files at a time.
func Build(folder Folder, revision fleet.Revision) (*Snapshot, Findings) {
	return NewBuilder(folder).Build(revision)
}

// Builder holds the parsed form of every file of a folder. It is immutable and
// safe for concurrent use; With returns a changed copy that shares the parsed
// form of all other files.
type Builder struct {
	files []*parsedFile // in merge order
}

// NewBuilder parses the files of a folder. It keeps their contents, which must
// not be changed afterwards.
func NewBuilder(folder Folder) *Builder {
	b := &Builder{files: make([]*parsedFile, 0, len(folder))}
	for _, file := range folder.Files() {
		b.files = append(b.files, parseFile(file))
	}
	return b
}

// With returns a builder for the folder after a change. Only the files that the
// change puts are parsed.
func (b *Builder) With(change Change) *Builder {
	dropped := make(map[string]bool, len(change.Put)+len(change.Removed))
	for _, name := range change.Removed {
		dropped[name] = true
	}
	for _, file := range change.Put {
		dropped[file.Name] = true
	}
	files := make([]*parsedFile, 0, len(b.files)+len(change.Put))
	for _, file := range b.files {
		if !dropped[file.file.Name] {
			files = append(files, file)
		}
	}
	for _, file := range FolderOf(change.Put).Files() {
		files = insertFile(files, parseFile(file))
	}
	return &Builder{files: files}
}

// insertFile inserts a file at its place in merge order.
func insertFile(files []*parsedFile, file *parsedFile) []*parsedFile {
	i, _ := slices.BinarySearchFunc(files, file.file.Name, func(f *parsedFile, name string) int {
		return strings.Compare(f.file.Name, name)
	})
	return slices.Insert(files, i, file)
}

// Folder returns the files that the builder was made from.
func (b *Builder) Folder() Folder {
	folder := make(Folder, len(b.files))
	for _, file := range b.files {
		folder[file.file.Name] = file.file.Content
	}
	return folder
}

// Build merges and checks the files. It returns either a snapshot or findings.
// While a file is not valid YAML, checks across objects are left out, because
// they would report every reference to what the file declares.
func (b *Builder) Build(revision fleet.Revision) (*Snapshot, Findings) {
	var findings Findings
	broken := false
	for _, file := range b.files {
		findings = append(findings, file.findings...)
		broken = broken || file.broken
	}
	if broken {
		return nil, findings.sorted()
	}
	snapshot, faults := assemble(merge(b.files), revision)
	findings = append(findings, faults...)
	if len(findings) > 0 {
		return nil, findings.sorted()
	}
	return snapshot, nil
}
