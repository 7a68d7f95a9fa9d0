package config

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// parsedFile is the parsed form of one file. It is immutable.
type parsedFile struct {
	file     File
	entries  []entry
	findings Findings
	broken   bool // not YAML, so that nothing is known about its objects
}

// entry is what one file says about one object.
type entry struct {
	kind   *kind
	name   string // empty for kinds with a single object
	at     position
	remove bool
	faulty bool // not a mapping, so that nothing is known about its fields
	fields []field
}

// field is the value that a file gives to one field.
type field struct {
	name  string
	at    position
	value any    // as the field's reader returned it; nil when the value is faulty
	raw   string // the value in YAML flow style
}

// parseFile parses one file. It never fails: faults become findings.
func parseFile(file File) *parsedFile {
	p := &fileParser{result: &parsedFile{file: file}}
	p.result.findings = checkFile(file.Name, file.Content)
	if len(p.result.findings) == 0 {
		p.parse()
	}
	return p.result
}

// fileParser turns the syntax tree of one file into entries and findings.
type fileParser struct {
	result *parsedFile
}

// parse reads the document and each of its sections.
func (p *fileParser) parse() {
	if !p.checkNesting() {
		return
	}
	tree, err := parser.ParseBytes(p.result.file.Content, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		p.syntaxError(err)
		return
	}
	sections := 0
	for _, doc := range tree.Docs {
		if doc.Body == nil || doc.Body.Type() == ast.CommentType || isNull(doc.Body) {
			continue
		}
		sections++
		if sections > 1 {
			p.report(doc.Body, "a file holds one YAML document")
			return
		}
		p.document(doc.Body)
	}
}

// maxNesting bounds the nesting of flow collections and of collections that
// start on one line, because the YAML parser recurses for each of them. The
// deepest valid file nests 4 levels.
const maxNesting = 100

// checkNesting refuses files that would make the YAML parser recurse deeply.
func (p *fileParser) checkNesting() bool {
	flow := 0
	for i, line := range bytes.Split(p.result.file.Content, []byte("\n")) {
		deepest, open := lineNesting(line, flow)
		if deepest > maxNesting {
			p.result.broken = true
			at := position{p.result.file.Name, i + 1, 1}
			p.result.findings = append(p.result.findings, at.finding("collections are nested more than %d deep", maxNesting))
			return false
		}
		flow = open
	}
	return true
}

// lineNesting returns the deepest nesting in a line, given the number of flow
// collections that are open before it, and the number that are open after it.
func lineNesting(line []byte, flow int) (deepest, open int) {
	inline := 0 // collections such as "- - x" that start on the line
	before := byte(' ')
	for i, c := range line {
		ends := i+1 == len(line) || line[i+1] == ' ' || line[i+1] == '\t'
		switch {
		case c == '#' && (before == ' ' || before == '\t'):
			return deepest, flow
		case c == '[' || c == '{':
			flow++
		case c == ']' || c == '}':
			flow = max(0, flow-1)
		case ends && (c == '-' || c == '?' || c == ':'):
			inline++
		}
		deepest = max(deepest, flow, inline)
		before = c
	}
	return deepest, flow
}

// syntaxError reports that the file is not YAML.
func (p *fileParser) syntaxError(err error) {
	p.result.broken = true
	at := position{file: p.result.file.Name, line: 1, column: 1}
	message := err.Error()
	var located yaml.Error
	if errors.As(err, &located) {
		message = located.GetMessage()
		at = p.at(located.GetToken())
	}
	p.result.findings = append(p.result.findings, at.finding("not valid YAML: %s", message))
}

// document reads the top-level mapping from kinds to objects.
func (p *fileParser) document(body ast.Node) {
	p.mapping(body, "the document", func(name string, key ast.Node, value ast.Node) {
		kind, known := kinds[name]
		switch {
		case !known:
			p.report(key, "unknown section %q; the sections are %s", name, kindNames)
		case kind.single:
			p.object(kind, "", key, value)
		case isNull(value):
			// An empty section says nothing.
		default:
			p.mapping(value, name, func(name string, key, value ast.Node) {
				if err := kind.checkName(name); err != nil {
					p.report(key, "%s", err)
					return
				}
				p.object(kind, name, key, value)
			})
		}
	})
}

// object reads one object.
func (p *fileParser) object(kind *kind, name string, key, value ast.Node) {
	e := entry{kind: kind, name: strings.Clone(name), at: p.at(key.GetToken()), remove: isNull(value)}
	if !e.remove {
		e.faulty = !p.mapping(value, kind.describe(name), func(fieldName string, key, value ast.Node) {
			e.fields = append(e.fields, p.field(kind, fieldName, key, value)...)
		})
	}
	p.result.entries = append(p.result.entries, e)
}

// field reads one field of an object; it returns no field if the name is unknown.
func (p *fileParser) field(kind *kind, name string, key, value ast.Node) []field {
	spec, known := kind.field(name)
	if !known {
		p.report(key, "unknown field %q of %s; the fields are %s", name, kind.word, kind.fieldNames())
		return nil
	}
	f := field{name: spec.name, at: p.at(value.GetToken())}
	r := &valueReader{parser: p}
	f.value = spec.read(r, value)
	f.raw = r.raw
	if r.faulty {
		f.value = nil
	}
	return []field{f}
}

// mapping calls each for every pair of a mapping. It reports values that are not
// mappings, keys that are not plain strings and keys that occur twice. It
// returns false if the node is not a mapping.
func (p *fileParser) mapping(node ast.Node, what string, each func(name string, key, value ast.Node)) bool {
	var pairs []*ast.MappingValueNode
	switch n := node.(type) {
	case *ast.MappingNode:
		pairs = n.Values
	case *ast.MappingValueNode:
		pairs = []*ast.MappingValueNode{n}
	default:
		p.report(node, "%s must be a mapping, not %s", what, describeNode(node))
		return false
	}
	lines := make(map[string]int, len(pairs))
	for _, pair := range pairs {
		key, ok := pair.Key.(*ast.StringNode)
		if !ok {
			p.report(pair.Key, "names must be strings; put %q in quotes", pair.Key.GetToken().Value)
			continue
		}
		if line, twice := lines[key.Value]; twice {
			p.report(key, "%q occurs twice in %s, first in line %d", key.Value, what, line)
			continue
		}
		lines[key.Value] = key.Token.Position.Line
		each(key.Value, key, pair.Value)
	}
	return true
}

// report adds a finding at a node.
func (p *fileParser) report(node ast.Node, format string, args ...any) {
	p.result.findings = append(p.result.findings, p.at(node.GetToken()).finding(format, args...))
}

// at returns the position of a token.
func (p *fileParser) at(t *token.Token) position {
	at := position{file: p.result.file.Name, line: 1, column: 1}
	if t != nil && t.Position != nil {
		at.line, at.column = t.Position.Line, t.Position.Column
	}
	return at
}

// isNull reports whether a node is a null value.
func isNull(node ast.Node) bool {
	return node == nil || node.Type() == ast.NullType
}

// describeNode names the type of a node for messages.
func describeNode(node ast.Node) string {
	switch node.Type() {
	case ast.NullType:
		return "null"
	case ast.MappingType, ast.MappingValueType:
		return "a mapping"
	case ast.SequenceType:
		return "a list"
	case ast.IntegerType, ast.FloatType, ast.InfinityType, ast.NanType:
		return fmt.Sprintf("the number %s", node.GetToken().Value)
	case ast.BoolType:
		return fmt.Sprintf("the boolean %s", node.GetToken().Value)
	case ast.AnchorType, ast.AliasType, ast.MergeKeyType:
		return "an anchor or alias, which are not supported"
	case ast.TagType:
		return "a tag, which is not supported"
	default:
		return fmt.Sprintf("the string %q", node.GetToken().Value)
	}
}
