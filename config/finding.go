package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Finding is one fault of a folder. Line and Column count from 1; a fault of
// the folder as a whole has neither file nor line.
type Finding struct {
	File    string `cbor:"1,keyasint,omitempty" json:"file"`
	Line    int    `cbor:"2,keyasint,omitempty" json:"line"`
	Column  int    `cbor:"3,keyasint,omitempty" json:"column"`
	Message string `cbor:"4,keyasint" json:"message"`
}

// String returns the finding as file:line:column: message.
func (f Finding) String() string {
	switch {
	case f.File == "":
		return f.Message
	case f.Line == 0:
		return fmt.Sprintf("%s: %s", f.File, f.Message)
	default:
		return fmt.Sprintf("%s:%d:%d: %s", f.File, f.Line, f.Column, f.Message)
	}
}

// Findings are all faults of a folder, ordered by position. They implement error
// even when there are none; use Err to get a nil error then.
type Findings []Finding

// Error returns one finding on each line.
func (f Findings) Error() string {
	lines := make([]string, len(f))
	for i, finding := range f {
		lines[i] = finding.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings as an error, or nil when there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// sorted sorts the findings in place by file, line, column and message, and returns
// them without duplicates.
func (f Findings) sorted() Findings {
	slices.SortFunc(f, func(a, b Finding) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Line, b.Line),
			cmp.Compare(a.Column, b.Column),
			cmp.Compare(a.Message, b.Message),
		)
	})
	return slices.Compact(f)
}

// position is a place in a file of a folder. Line and column count from 1; the
// zero position stands for the folder as a whole.
type position struct {
	file         string
	line, column int
}

// String returns the position as file:line.
func (p position) String() string {
	return fmt.Sprintf("%s:%d", p.file, p.line)
}

// after reports whether p comes after o in merge order.
func (p position) after(o position) bool {
	return cmp.Or(
		cmp.Compare(p.file, o.file),
		cmp.Compare(p.line, o.line),
		cmp.Compare(p.column, o.column),
	) > 0
}

// finding returns a finding at the position.
func (p position) finding(format string, args ...any) Finding {
	return Finding{File: p.file, Line: p.line, Column: p.column, Message: fmt.Sprintf(format, args...)}
}
