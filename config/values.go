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

// readValue reads the value of a field and reports faults to the reader.
type readValue func(r *valueReader, node ast.Node) any

// valueReader collects the faults and the raw form of one value.
type valueReader struct {
	parser *fileParser
	faulty bool
	raw    string
}

// fail reports a fault of the value.
func (r *valueReader) fail(node ast.Node, format string, args ...any) {
	r.faulty = true
	r.parser.report(node, format, args...)
}

// quantity is a whole number or a part of a whole.
type quantity struct {
	number      int
	thousandths bool
}

// of resolves a part against the whole, rounded down but at least 1.
func (q quantity) of(whole int) int {
	if !q.thousandths {
		return q.number
	}
	return max(1, whole*q.number/1000)
}

// vmRef is a VM of a pool and the place that names it.
type vmRef struct {
	id fleet.VMID
	at position
}

// nameRef is the name of an object that a field refers to.
type nameRef struct {
	name string
	at   position
}

// readString returns the text of a string value.
func (r *valueReader) readString(node ast.Node, expected string) (string, bool) {
	text, ok := node.(*ast.StringNode)
	if !ok {
		r.fail(node, "expected %s, not %s", expected, describeNode(node))
		return "", false
	}
	r.raw = strconv.Quote(text.Value)
	return strings.Clone(text.Value), true
}

// readPlain returns the text of a number or string that is not quoted.
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

func readOneOf(choices ...string) readValue {
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

// readHex reads bytes in hexadecimal, from low to high of them.
func readHex(low, high int) readValue {
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

// hexText returns the text of a hexadecimal value. Without quotes, YAML takes
// one that has only digits, or digits around an e, for a number.
func hexText(r *valueReader, node ast.Node) (string, bool) {
	switch n := node.(type) {
	case *ast.IntegerNode, *ast.FloatNode, *ast.InfinityNode:
		return strings.Clone(n.GetToken().Value), true
	default:
		return r.readString(node, "hexadecimal digits")
	}
}

func readCount(low, high int) readValue {
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

// readQuantity reads a number of VMs or a percentage of a pool.
func readQuantity(r *valueReader, node ast.Node) any {
	text, ok := r.readPlain(node, "a number of VMs or a percentage")
	if !ok {
		return nil
	}
	part := strings.HasSuffix(text, "%")
	parse := parseCount
	if part {
		parse = ParseThousandths
	}
	number, err := parse(text)
	switch {
	case err != nil:
		r.fail(node, "expected a number of VMs such as 2, or a percentage such as 5%%, not %q", text)
	case number == 0:
		r.fail(node, "a budget of 0 would never allow maintenance; set paused under maintenance instead")
	default:
		return quantity{number, part}
	}
	return nil
}

func readDuration(low, high time.Duration) readValue {
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

// maxWeight bounds the weights of a profile, which are relative to 1.
const maxWeight = 1000

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

// readList calls each for every item of a list of strings.
func (r *valueReader) readList(node ast.Node, expected string, each func(text string, item ast.Node)) {
	list, ok := node.(*ast.SequenceNode)
	if !ok {
		r.fail(node, "expected a list of %s, not %s", expected, describeNode(node))
		return
	}
	raws := make([]string, 0, len(list.Values))
	for _, item := range list.Values {
		if text, ok := r.readString(item, expected); ok {
			raws = append(raws, r.raw)
			each(text, item)
		}
	}
	r.raw = fmt.Sprintf("[%s]", strings.Join(raws, ", "))
}

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
