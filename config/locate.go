package config

import (
	"bytes"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"
)

// Locate returns the line and the column, from 1, of the first of the paths, such as
// $.pools[2].name, that a YAML or JSON document has. The result is false if it has none of
// them, or cannot be parsed.
func Locate(document []byte, paths ...string) (line, column int, found bool) {
	tree, err := parser.ParseBytes(document, 0)
	if err != nil {
		return 0, 0, false
	}
	for _, text := range paths {
		path, err := yaml.PathString(text)
		if err != nil {
			continue
		}
		node, err := path.FilterFile(tree)
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
