package config

import (
	"slices"
	"strings"

	"amaranthfork.example/fleet"
)

// Build merges and checks a folder. It returns either a snapshot with the revision
// or findings. Use a Builder for a folder that changes by a few files at a time.
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

// With returns a builder for the folder after a change. It parses only the files
// that the change puts.
func (b *Builder) With(change Change) *Builder {
	replaced := make(map[string]bool, len(change.Put)+len(change.Removed))
	for _, name := range change.Removed {
		replaced[name] = true
	}
	for _, file := range change.Put {
		replaced[file.Name] = true
	}
	files := make([]*parsedFile, 0, len(b.files)+len(change.Put))
	for _, file := range b.files {
		if !replaced[file.source.Name] {
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
	i, _ := slices.BinarySearchFunc(files, file.source.Name, func(f *parsedFile, name string) int {
		return strings.Compare(f.source.Name, name)
	})
	return slices.Insert(files, i, file)
}

// Folder returns the files that the builder was made from.
func (b *Builder) Folder() Folder {
	folder := make(Folder, len(b.files))
	for _, file := range b.files {
		folder[file.source.Name] = file.source.Content
	}
	return folder
}

// Build merges and checks the files. It returns either a snapshot with the revision
// or findings. If a file cannot be parsed, checks across objects are skipped,
// because they would report every reference to what the file declares.
func (b *Builder) Build(revision fleet.Revision) (*Snapshot, Findings) {
	a, findings := b.assemble(revision)
	if len(findings) > 0 {
		return nil, findings
	}
	return a.snapshot, nil
}

// assemble merges and checks the files. The assembler is nil if a file cannot be parsed.
func (b *Builder) assemble(revision fleet.Revision) (*assembler, Findings) {
	var findings Findings
	unparsable := false
	for _, file := range b.files {
		findings = append(findings, file.findings...)
		unparsable = unparsable || file.unparsable
	}
	if unparsable {
		return nil, findings.sorted()
	}
	a := assemble(merge(b.files), revision)
	return a, append(findings, a.findings...).sorted()
}
