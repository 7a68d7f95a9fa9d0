package config

import (
	"bytes"
	"fmt"
)

// maxCompactedBytes is the size above which compaction starts another file before
// the next object. It leaves room below maxFileBytes for one large object.
const maxCompactedBytes = maxFileBytes / 2

// Compact returns a folder of one file, or a few large ones, whose snapshot equals
// that of the given folder. The new files have the next file number: files written
// later are merged after them, and the old files have no effect in a folder that
// still holds them. Comments are lost. If the given folder is faulty, Compact
// returns only its findings.
func Compact(folder Folder) (Folder, Findings) {
	b := NewBuilder(folder)
	if _, findings := b.Build(0); len(findings) > 0 {
		return nil, findings
	}
	number := folder.highestNumber() + 1
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

// render returns merged objects as the contents of YAML files. Values keep the form
// in which operators wrote them, such as a percentage.
func render(m *objectSet) [][]byte {
	var contents [][]byte
	var b bytes.Buffer
	for _, kind := range allKinds {
		sectionOpen := false
		for _, o := range m.sorted(kind) {
			if b.Len() > maxCompactedBytes {
				contents = append(contents, bytes.Clone(b.Bytes()))
				b.Reset()
				sectionOpen = false
			}
			if !sectionOpen {
				fmt.Fprintf(&b, "%s:\n", kind.section)
				sectionOpen = true
			}
			renderObject(&b, o)
		}
	}
	return append(contents, b.Bytes())
}

// renderObject writes one object with its fields in the order of its kind.
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
