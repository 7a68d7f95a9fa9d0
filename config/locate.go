package config

import (
	"bytes"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Locator finds the places of values in a YAML or JSON document.
type Locator struct {
	tree *ast.File // nil if the document cannot be parsed
}

// NewLocator returns a locator of a document. In one that cannot be parsed it finds nothing.
func NewLocator(document []byte) *Locator {
	tree, err := parser.ParseBytes(document, 0)
	if err != nil {
		return &Locator{}
	}
	return &Locator{tree}
}

// Locate returns the line and the column, from 1, of the first of the paths, such as
// $.pools[2].name, that the document has. The result is false if it has none of them.
func (l *Locator) Locate(paths ...string) (line, column int, found bool) {
	if l.tree == nil {
		return 0, 0, false
	}
	for _, text := range paths {
		path, err := yaml.PathString(text)
		if err != nil {
			continue
		}
		node, err := path.FilterFile(l.tree)
		if err != nil || node == nil || node.GetToken() == nil {
			continue
		}
		at := node.GetToken().Position
		return at.Line, at.Column, true
	}
	return 0, 0, false
}

// LineAt returns the line and the column, from 1, of an offset in a document, in bytes.
func LineAt(document []byte, offset int) (line, column int) {
	before := document[:min(max(offset, 0), len(document))]
	return bytes.Count(before, []byte("\n")) + 1, len(before) - bytes.LastIndexByte(before, '\n')
}
