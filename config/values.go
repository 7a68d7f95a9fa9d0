package config

import (
	"encoding/hex"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"

	"amaranthfork.example/fleet"
)

// readFunc reads the value of a field. It returns nil or an incomplete value after
// it has reported a fault to the reader.
type readFunc func(r *valueReader, node ast.Node) any

// valueReader is the state of reading one value.
type valueReader struct {
	parser *fileParser
	faulty bool   // a fault was reported
	raw    string // the value in YAML flow style
}

// fail reports a fault of the value at a node.
func (r *valueReader) fail(node ast.Node, format string, args ...any) {
	r.faulty = true
	r.parser.report(node, format, args...)
}

// quantity is an absolute number, or a fraction of a whole in thousandths.
type quantity struct {
	number        int
	isThousandths bool
}

// resolve returns the absolute number. A fraction of the whole is rounded down but
// is at least 1.
func (q quantity) resolve(whole int) int {
	if !q.isThousandths {
		return q.number
	}
	return max(1, whole*q.number/1000)
}

// vmRef is a VM of a pool and the position of the name or range that declares it.
type vmRef struct {
	id fleet.VMID
	at position
}

// nameRef is a name in a field and its position. Most refer to an object.
type nameRef struct {
	name string
	at   position
}

// readString returns the text of a string value. expected describes a valid value
// for messages.
func (r *valueReader) readString(node ast.Node, expected string) (string, bool) {
	text, ok := node.(*ast.StringNode)
	if !ok {
		r.fail(node, "expected %s, not %s", expected, describeNode(node))
		return "", false
	}
	r.raw = strconv.Quote(text.Value)
	return strings.Clone(text.Value), true
}

// readPlain returns the text of a number or of a string without quotes. expected
// describes a valid value for messages.
func (r *valueReader) readPlain(node ast.Node, expected string) (string, bool) {
	switch n := node.(type) {
	case *ast.IntegerNode, *ast.FloatNode:
	case *ast.StringNode:
		if n.Token.Origin != "" && strings.ContainsAny(strings.TrimSpace(n.Token.Origin)[:1], `"'`) {
			r.fail(node, "expected %s without quotes, not %s", expected, describeNode(node))
			return "", false
		}
	default:
		r.fail(node, "expected %s, not %s", expected, describeNode(node))
		return "", false
	}
	r.raw = strings.Clone(node.GetToken().Value)
	return r.raw, true
}

// readName reads a name as a nameRef.
func readName(r *valueReader, node ast.Node) any {
	text, ok := r.readString(node, "a name")
	if !ok {
		return nil
	}
	if err := checkName(text); err != nil {
		r.fail(node, "%s", err)
		return nil
	}
	return nameRef{text, r.parser.at(node.GetToken())}
}

func readBool(r *valueReader, node ast.Node) any {
	b, ok := node.(*ast.BoolNode)
	if !ok {
		r.fail(node, "expected true or false, not %s", describeNode(node))
		return nil
	}
	r.raw = strconv.FormatBool(b.Value)
	return b.Value
}

// readOneOf reads a string that must be one of the choices.
func readOneOf(choices ...string) readFunc {
	expected := strings.Join(choices, " or ")
	return func(r *valueReader, node ast.Node) any {
		text, ok := r.readString(node, expected)
		if !ok {
			return nil
		}
		if !slices.Contains(choices, text) {
			r.fail(node, "expected %s, not %s", expected, describeNode(node))
			return nil
		}
		return text
	}
}

// readHex reads a hexadecimal value of low to high bytes and returns its digits in
// lower case.
func readHex(low, high int) readFunc {
	expected := fmt.Sprintf("%d to %d", low, high)
	if low == high {
		expected = strconv.Itoa(low)
	}
	return func(r *valueReader, node ast.Node) any {
		text, ok := hexText(r, node)
		if !ok {
			return nil
		}
		bytes, err := hex.DecodeString(text)
		if err != nil || len(bytes) < low || len(bytes) > high {
			r.fail(node, "expected %s bytes in hexadecimal, not %q", expected, text)
			return nil
		}
		r.raw = strconv.Quote(text)
		return strings.ToLower(text)
	}
}

// hexText returns the text of a hexadecimal value. YAML reads an unquoted one as a
// number if it has only digits, or digits around an e.
func hexText(r *valueReader, node ast.Node) (string, bool) {
	switch n := node.(type) {
	case *ast.IntegerNode, *ast.FloatNode, *ast.InfinityNode:
		return strings.Clone(n.GetToken().Value), true
	default:
		return r.readString(node, "hexadecimal digits")
	}
}

// readCount reads a whole number from low to high.
func readCount(low, high int) readFunc {
	return func(r *valueReader, node ast.Node) any {
		number, ok := node.(*ast.IntegerNode)
		if !ok {
			r.fail(node, "expected a whole number, not %s", describeNode(node))
			return nil
		}
		count, err := parseCount(number.Token.Value)
		if err != nil || count < low || count > high {
			r.fail(node, "expected a whole number from %d to %d, not %s", low, high, number.Token.Value)
			return nil
		}
		r.raw = strings.Clone(number.Token.Value)
		return count
	}
}

// readShare reads a share of the fleet and returns thousandths, at most 1000.
func readShare(r *valueReader, node ast.Node) any {
	text, ok := r.readPlain(node, "a share such as 5% or 50 (thousandths)")
	if !ok {
		return nil
	}
	share, err := ParseThousandths(text)
	if err != nil {
		r.fail(node, "%s", err)
		return nil
	}
	if share > 1000 {
		r.fail(node, "share %s is more than 100%%", text)
		return nil
	}
	return share
}

// readQuantity reads an availability budget, a number of VMs or a percentage of
// the pool, as a quantity.
func readQuantity(r *valueReader, node ast.Node) any {
	text, ok := r.readPlain(node, "a number of VMs or a percentage")
	if !ok {
		return nil
	}
	isPercentage := strings.HasSuffix(text, "%")
	parse := parseCount
	if isPercentage {
		parse = ParseThousandths
	}
	number, err := parse(text)
	switch {
	case err != nil:
		r.fail(node, "expected a number of VMs such as 2, or a percentage such as 5%%, not %q", text)
	case number == 0:
		r.fail(node, "a budget of 0 would never allow maintenance; set paused under maintenance instead")
	default:
		return quantity{number, isPercentage}
	}
	return nil
}

// readDuration reads a duration from low to high.
func readDuration(low, high time.Duration) readFunc {
	return func(r *valueReader, node ast.Node) any {
		text, ok := r.readPlain(node, "a duration with units, such as 14d or 20m")
		if !ok {
			return nil
		}
		duration, err := ParseDuration(text)
		if err != nil {
			r.fail(node, "%s", err)
			return nil
		}
		if duration < low || duration > high {
			r.fail(node, "%s is not between %s and %s", text, FormatDuration(low), FormatDuration(high))
			return nil
		}
		return duration
	}
}

// maxWeight bounds the weights of a profile. The default weight is 1.
const maxWeight = 1000

// readWeight reads a weight of a profile as a float64.
func readWeight(r *valueReader, node ast.Node) any {
	text, ok := r.readPlain(node, "a weight such as 1 or 2.5")
	if !ok {
		return nil
	}
	weight, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(weight) || weight < 0 || weight > maxWeight {
		r.fail(node, "expected a weight from 0 to %d, not %s", maxWeight, text)
		return nil
	}
	return weight
}

// readList calls visit for every item of a list of strings.
func (r *valueReader) readList(node ast.Node, expected string, visit func(text string, item ast.Node)) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		r.fail(node, "expected a list of %s, not %s", expected, describeNode(node))
		return
	}
	raws := make([]string, 0, len(list.Values))
	for _, item := range list.Values {
		if text, ok := r.readString(item, expected); ok {
			raws = append(raws, r.raw)
			visit(text, item)
		}
	}
	r.raw = fmt.Sprintf("[%s]", strings.Join(raws, ", "))
}

// readNames reads a list of names without duplicates as a []nameRef.
func readNames(r *valueReader, node ast.Node) any {
	names := []nameRef{}
	seen := map[string]bool{}
	r.readList(node, "names", func(text string, item ast.Node) {
		if err := checkName(text); err != nil {
			r.fail(item, "%s", err)
			return
		}
		if seen[text] {
			r.fail(item, "%s occurs twice in the list", text)
			return
		}
		seen[text] = true
		names = append(names, nameRef{text, r.parser.at(item.GetToken())})
	})
	return names
}

// readVMs reads a list of VM names and ranges, and returns each VM as a vmRef.
func readVMs(r *valueReader, node ast.Node) any {
	vms := []vmRef{}
	seen := map[fleet.VMID]bool{}
	r.readList(node, "VM names or ranges", func(text string, item ast.Node) {
		ids, err := ExpandVMs(text)
		if err != nil {
			r.fail(item, "%s", err)
			return
		}
		at := r.parser.at(item.GetToken())
		for _, id := range ids {
			if seen[id] {
				r.fail(item, "VM %s occurs twice in the list", id)
				return
			}
			seen[id] = true
			vms = append(vms, vmRef{id, at})
		}
	})
	return vms
}
