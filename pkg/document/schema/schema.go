// Package schema checks YAML documents and names every error in them at once.
//
// A document such as
//
//	classes:
//	  - name: preview
//	    latncy: 150ms
//
// gives the problem `line 3: classes[0].latncy: unknown key`.
package schema

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Diagnostic is one error in a document.
type Diagnostic struct {
	Line int
	Key  string // path of the key, such as classes[0].latency
	Text string
}

// String shows the problem as `line 3: classes[0].latency: text`.
func (p Diagnostic) String() string {
	if p.Key == "" {
		return fmt.Sprintf("line %d: %s", p.Line, p.Text)
	}
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.Key, p.Text)
}

// Diagnostics are all errors of one document.
type Diagnostics []Diagnostic

// Error joins the problems, one a line.
func (p Diagnostics) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Node is a place in a document: its YAML node and the path that leads to it.
type Node struct {
	yaml ast.Node
	path string
}

// Line is the node's line, counted from 1.
func (n Node) Line() int {
	if n.yaml == nil || n.yaml.GetToken() == nil {
		return 1
	}
	return n.yaml.GetToken().Position.Line
}

// Diagnostic makes a problem at this node.
func (n Node) Diagnostic(format string, arguments ...any) Diagnostic {
	return Diagnostic{Line: n.Line(), Key: n.path, Text: fmt.Sprintf(format, arguments...)}
}

// Field is a known key of a mapping and what reads its value.
type Field struct {
	Key      string
	Required bool
	Read     func(Node) Diagnostics
}

// Parse reads a document's text into its root node.
func Parse(text []byte) (Node, error) {
	file, err := parser.ParseBytes(text, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return Node{}, notYAML(err)
	}
	if len(file.Docs) == 0 || file.Docs[0].Body == nil {
		return Node{}, errors.New("the document is empty")
	}
	return Node{yaml: file.Docs[0].Body}, nil
}

// notYAML says where a text stops being YAML, in one line.
func notYAML(err error) error {
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) {
		return errors.Newf("line %d: not YAML: %s", syntax.Token.Position.Line, syntax.Message)
	}
	return errors.Wrap(err, "not YAML")
}

// entry is one key of a mapping.
type entry struct {
	key   string
	at    Node
	value Node
}

func (n Node) entries() ([]entry, bool) {
	mapping, ok := n.yaml.(ast.MapNode)
	if !ok {
		return nil, false
	}
	var found []entry
	for each := mapping.MapRange(); each.Next(); {
		key := strings.Trim(each.Key().String(), `"'`)
		path := strings.TrimPrefix(n.path+"."+key, ".")
		found = append(found, entry{
			key:   key,
			at:    Node{yaml: each.Key(), path: path},
			value: Node{yaml: each.Value(), path: path},
		})
	}
	return found, true
}

// Mapping reads a mapping with the fields given. Refused maps keys that do not
// exist on purpose to what should be stated instead.
func (n Node) Mapping(fields []Field, refused map[string]string) Diagnostics {
	entries, ok := n.entries()
	if !ok {
		return Diagnostics{n.Diagnostic("must hold keys and values")}
	}
	var problems Diagnostics
	seen := map[string]bool{}
	for _, e := range entries {
		at := slices.IndexFunc(fields, func(f Field) bool { return f.Key == e.key })
		instead, isRefused := refused[e.key]
		switch {
		case seen[e.key]:
			problems = append(problems, e.at.Diagnostic("given twice"))
		case at >= 0:
			problems = append(problems, fields[at].Read(e.value)...)
		case isRefused:
			problems = append(problems, e.at.Diagnostic("%s", instead))
		default:
			problems = append(problems, e.at.Diagnostic("unknown key"))
		}
		seen[e.key] = true
	}
	for _, field := range fields {
		if field.Required && !seen[field.Key] {
			problems = append(problems, n.Diagnostic("%s is missing", field.Key))
		}
	}
	return problems
}

// Sequence reads a list with item called for each.
func (n Node) Sequence(item func(Node) Diagnostics) Diagnostics {
	sequence, ok := n.yaml.(*ast.SequenceNode)
	if !ok {
		return Diagnostics{n.Diagnostic("must be a list")}
	}
	var problems Diagnostics
	for i, value := range sequence.Values {
		problems = append(problems, item(Node{yaml: value, path: fmt.Sprintf("%s[%d]", n.path, i)})...)
	}
	return problems
}

// Scalar is the node's plain text; false for mappings and lists.
func (n Node) Scalar() (string, bool) {
	scalar, ok := n.yaml.(ast.ScalarNode)
	if !ok {
		return "", false
	}
	return fmt.Sprint(scalar.GetValue()), true
}

// Items are the plain texts of a scalar or of a list of scalars.
func (n Node) Items() ([]string, bool) {
	if text, ok := n.Scalar(); ok {
		return []string{text}, true
	}
	sequence, ok := n.yaml.(*ast.SequenceNode)
	if !ok {
		return nil, false
	}
	var items []string
	for _, value := range sequence.Values {
		text, isScalar := Node{yaml: value}.Scalar()
		if !isScalar {
			return nil, false
		}
		items = append(items, text)
	}
	return items, true
}

// read makes a reader of scalars from a parse function.
func read[T any](into *T, what string, parse func(string) (T, error)) func(Node) Diagnostics {
	return func(n Node) Diagnostics {
		text, ok := n.Scalar()
		if !ok {
			return Diagnostics{n.Diagnostic("must be %s", what)}
		}
		value, err := parse(text)
		if err != nil {
			return Diagnostics{n.Diagnostic("%q is not %s", text, what)}
		}
		*into = value
		return nil
	}
}

// String reads any scalar into into.
func String(into *string) func(Node) Diagnostics {
	return read(into, "a text", func(text string) (string, error) { return text, nil })
}

// Float reads a number.
func Float(into *float64) func(Node) Diagnostics {
	return read(into, "a number", func(text string) (float64, error) { return strconv.ParseFloat(text, 64) })
}

// Int reads a whole number.
func Int(into *int) func(Node) Diagnostics { return read(into, "a whole number", strconv.Atoi) }

// Bool reads true or false.
func Bool(into *bool) func(Node) Diagnostics { return read(into, "true or false", strconv.ParseBool) }

// Duration reads a duration such as 150ms or 6h.
func Duration(into *time.Duration) func(Node) Diagnostics {
	return read(into, "a duration such as 150ms or 6h", time.ParseDuration)
}
