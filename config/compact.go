package config

import (
	"bytes"
	"fmt"
)

// maxCompactedBytes is the size at which compaction starts another file. It
// leaves room below maxFileBytes for one large object.
const maxCompactedBytes = maxFileBytes / 2

// Compact returns a folder of one file, or a few large ones, that says the same
// as all files of the given folder, so that the snapshots of both are equal. The
// files take the next number: files written later are merged after them, and the
// folded files have no effect in a folder that still holds them. Comments are lost. A faulty folder is not compacted: its findings
// are returned.
func Compact(folder Folder) (Folder, Findings) {
	b := NewBuilder(folder)
	if _, findings := b.Build(0); len(findings) > 0 {
		return nil, findings
	}
	number := folder.lastNumber() + 1
	compacted := Folder{}
	for i, content := range render(merge(b.files)) {
		name := fmt.Sprintf("%0*d-compacted-%03d.yaml", fileNumberDigits, number, i+1)
		if findings := checkFile(name, content); len(findings) > 0 {
			return nil, findings
		}
		compacted[name] = content
	}
	return compacted, nil
}

// render writes merged objects as the contents of YAML files, with the values
// as operators wrote them.
func render(m *merged) [][]byte {
	var contents [][]byte
	var b bytes.Buffer
	for _, kind := range allKinds {
		section := false
		for _, o := range m.sorted(kind) {
			if b.Len() > maxCompactedBytes {
				contents = append(contents, bytes.Clone(b.Bytes()))
				b.Reset()
				section = false
			}
			if !section {
				fmt.Fprintf(&b, "%s:\n", kind.name)
				section = true
			}
			renderObject(&b, o)
		}
	}
	return append(contents, b.Bytes())
}

// renderObject writes one object with its fields in the order of the schema.
func renderObject(b *bytes.Buffer, o *object) {
	indent := "  "
	if !o.kind.single {
		fmt.Fprintf(b, "  %q:\n", o.name)
		indent = "    "
	}
	for _, spec := range o.kind.fields {
		if f, given := o.field(spec.name); given {
			fmt.Fprintf(b, "%s%s: %s\n", indent, spec.name, f.raw)
		}
	}
}
