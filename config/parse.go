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

// parsedFile is the parsed form of one file. It is immutable once parseFile has
// returned it.
type parsedFile struct {
	source       File
	declarations []declaration
	findings     Findings
	unparsable   bool // not valid YAML, or nested too deeply: its objects are not known
}

// declaration is what one file declares about one object.
type declaration struct {
	kind          *kind
	name          string // empty for kinds with a single object
	at            position
	remove        bool // the object is null in the file, which removes it
	fieldsUnknown bool // not a mapping, so that its fields cannot be read
	fields        []field
}

// field is the value that a file gives to one field.
type field struct {
	name  string
	at    position
	value any    // as fieldSpec.read returned it; nil when the value is faulty
	raw   string // the value in YAML flow style
}

// parseFile parses one file. Faults of the file become findings. A file with an
// invalid name or size is not parsed any further.
func parseFile(file File) *parsedFile {
	p := &fileParser{result: &parsedFile{source: file}}
	p.result.findings = checkFile(file.Name, file.Content)
	if len(p.result.findings) == 0 {
		p.parseSections()
	}
	return p.result
}

// fileParser turns the syntax tree of one file into declarations and findings.
type fileParser struct {
	result *parsedFile
}

// parseSections reads the one document of the file, if it has any, and each of
// its sections.
func (p *fileParser) parseSections() {
	if !p.checkNesting() {
		return
	}
	tree, err := parser.ParseBytes(p.result.source.Content, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		p.reportSyntaxError(err)
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
		p.parseDocument(doc.Body)
	}
}

// maxNestingDepth bounds the nesting of flow collections ([] and {}), and of
// collections that start on one line, because the YAML parser recurses for each
// of them. A valid file nests at most 4 levels.
const maxNestingDepth = 100

// checkNesting reports a file that would make the YAML parser recurse too deeply,
// and returns false for it.
func (p *fileParser) checkNesting() bool {
	flow := 0
	for i, line := range bytes.Split(p.result.source.Content, []byte("\n")) {
		deepest, open := lineNesting(line, flow)
		if deepest > maxNestingDepth {
			p.result.unparsable = true
			at := position{p.result.source.Name, i + 1, 1}
			p.result.findings = append(p.result.findings, at.finding("collections are nested more than %d deep", maxNestingDepth))
			return false
		}
		flow = open
	}
	return true
}

// lineNesting returns the deepest nesting within a line and the number of flow
// collections that are open after it. flow is the number that are open before it.
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

// reportSyntaxError reports that the file is not YAML.
func (p *fileParser) reportSyntaxError(err error) {
	p.result.unparsable = true
	at := position{file: p.result.source.Name, line: 1, column: 1}
	message := err.Error()
	var located yaml.Error
	if errors.As(err, &located) {
		message = located.GetMessage()
		at = p.at(located.GetToken())
	}
	p.result.findings = append(p.result.findings, at.finding("not valid YAML: %s", message))
}

// parseDocument reads the top-level mapping from section names to sections.
func (p *fileParser) parseDocument(body ast.Node) {
	p.parseMapping(body, "the document", func(name string, key ast.Node, value ast.Node) {
		kind, known := kindBySection[name]
		switch {
		case !known:
			p.report(key, "unknown section %q; the sections are %s", name, sectionNames)
		case kind.single:
			p.parseObject(kind, "", key, value)
		case isNull(value):
			// An empty section declares nothing.
		default:
			p.parseMapping(value, name, func(name string, key, value ast.Node) {
				if err := kind.checkName(name); err != nil {
					p.report(key, "%s", err)
					return
				}
				p.parseObject(kind, name, key, value)
			})
		}
	})
}

// parseObject reads what the file declares about one object.
func (p *fileParser) parseObject(kind *kind, name string, key, value ast.Node) {
	decl := declaration{kind: kind, name: strings.Clone(name), at: p.at(key.GetToken()), remove: isNull(value)}
	if !decl.remove {
		decl.fieldsUnknown = !p.parseMapping(value, kind.describe(name), func(fieldName string, key, value ast.Node) {
			decl.fields = append(decl.fields, p.parseField(kind, fieldName, key, value)...)
		})
	}
	p.result.declarations = append(p.result.declarations, decl)
}

// parseField reads one field of an object. It returns a list of one field, or an
// empty list if the kind has no field of that name.
func (p *fileParser) parseField(kind *kind, name string, key, value ast.Node) []field {
	spec, known := kind.field(name)
	if !known {
		p.report(key, "unknown field %q of %s; the fields are %s", name, kind.noun, kind.fieldNames())
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

// parseMapping calls visit for every pair of a mapping. It reports a node that is
// not a mapping, keys that are not strings and keys that occur twice; visit is not
// called for such keys. subject is the mapping's name in messages. parseMapping
// returns false if the node is not a mapping.
func (p *fileParser) parseMapping(node ast.Node, subject string, visit func(name string, key, value ast.Node)) bool {
	var pairs []*ast.MappingValueNode
	switch n := node.(type) {
	case *ast.MappingNode:
		pairs = n.Values
	case *ast.MappingValueNode:
		pairs = []*ast.MappingValueNode{n}
	default:
		p.report(node, "%s must be a mapping, not %s", subject, describeNode(node))
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
			p.report(key, "%q occurs twice in %s, first in line %d", key.Value, subject, line)
			continue
		}
		lines[key.Value] = key.Token.Position.Line
		visit(key.Value, key, pair.Value)
	}
	return true
}

// report adds a finding at the position of a node.
func (p *fileParser) report(node ast.Node, format string, args ...any) {
	p.result.findings = append(p.result.findings, p.at(node.GetToken()).finding(format, args...))
}

// at returns the position of a token, the start of the file if it has none.
func (p *fileParser) at(t *token.Token) position {
	at := position{file: p.result.source.Name, line: 1, column: 1}
	if t != nil && t.Position != nil {
		at.line, at.column = t.Position.Line, t.Position.Column
	}
	return at
}

// isNull reports whether a node is a null value.
func isNull(node ast.Node) bool {
	return node == nil || node.Type() == ast.NullType
}

// describeNode returns the type of a node for messages, with its value if it has
// a single one.
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
