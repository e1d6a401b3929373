// Package schema validates YAML documents and reports all errors of a document together, each
// with line and key. The callers define the keys and the meaning of their values.
//
// A document such as
//
//	classes:
//	  - name: preview
//	    latncy: 150ms
//
// gives the diagnostic `line 3: classes[0].latncy: unknown key`.
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
	Line int    // counted from 1
	Key  string // path of the key, such as classes[0].latency
	Text string
}

// String formats the diagnostic as `line 3: classes[0].latency: text`.
func (d Diagnostic) String() string {
	if d.Key == "" {
		return fmt.Sprintf("line %d: %s", d.Line, d.Text)
	}
	return fmt.Sprintf("line %d: %s: %s", d.Line, d.Key, d.Text)
}

// Diagnostics holds all errors of one document.
type Diagnostics []Diagnostic

// Error returns the diagnostics, one per line.
func (d Diagnostics) Error() string {
	lines := make([]string, len(d))
	for i, diagnostic := range d {
		lines[i] = diagnostic.String()
	}
	return strings.Join(lines, "\n")
}

// Node is a YAML node of a document with the path that leads to it.
type Node struct {
	yaml ast.Node
	path string
}

// Line returns the node's line, counted from 1. A node without a position is at line 1.
func (n Node) Line() int {
	if n.yaml == nil || n.yaml.GetToken() == nil {
		return 1
	}
	return n.yaml.GetToken().Position.Line
}

// Diagnostic returns an error at this node's line and path.
func (n Node) Diagnostic(format string, arguments ...any) Diagnostic {
	return Diagnostic{Line: n.Line(), Key: n.path, Text: fmt.Sprintf(format, arguments...)}
}

// Field describes a known key of a mapping. Read decodes the key's value and returns its errors.
type Field struct {
	Key      string
	Required bool
	Read     func(Node) Diagnostics
}

// Parse parses the text of a document and returns its root node. A text that is empty or not
// YAML is an error.
func Parse(text []byte) (Node, error) {
	file, err := parser.ParseBytes(text, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return Node{}, syntaxError(err)
	}
	if len(file.Docs) == 0 || file.Docs[0].Body == nil {
		return Node{}, errors.New("the document is empty")
	}
	return Node{yaml: file.Docs[0].Body}, nil
}

// syntaxError returns a one-line error with the line of a YAML syntax error.
func syntaxError(err error) error {
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) {
		return errors.Newf("line %d: not YAML: %s", syntax.Token.Position.Line, syntax.Message)
	}
	return errors.Wrap(err, "not YAML")
}

// entry is one key of a mapping.
type entry struct {
	key      string
	position Node // of the key
	value    Node
}

// entries returns the entries of a mapping, and false for any other node.
func (n Node) entries() ([]entry, bool) {
	mapping, ok := n.yaml.(ast.MapNode)
	if !ok {
		return nil, false
	}
	var result []entry
	for each := mapping.MapRange(); each.Next(); {
		key := strings.Trim(each.Key().String(), `"'`)
		path := strings.TrimPrefix(n.path+"."+key, ".")
		result = append(result, entry{
			key:      key,
			position: Node{yaml: each.Key(), path: path},
			value:    Node{yaml: each.Value(), path: path},
		})
	}
	return result, true
}

// Mapping reads a mapping with the given fields. Unknown, repeated and missing keys are errors.
// For each key that is excluded by design, rejected holds the error text, which says what to
// write instead.
func (n Node) Mapping(fields []Field, rejected map[string]string) Diagnostics {
	entries, ok := n.entries()
	if !ok {
		return Diagnostics{n.Diagnostic("must hold keys and values")}
	}
	var diagnostics Diagnostics
	seen := map[string]bool{}
	for _, e := range entries {
		position := slices.IndexFunc(fields, func(f Field) bool { return f.Key == e.key })
		alternative, isRejected := rejected[e.key]
		switch {
		case seen[e.key]:
			diagnostics = append(diagnostics, e.position.Diagnostic("given twice"))
		case position >= 0:
			diagnostics = append(diagnostics, fields[position].Read(e.value)...)
		case isRejected:
			diagnostics = append(diagnostics, e.position.Diagnostic("%s", alternative))
		default:
			diagnostics = append(diagnostics, e.position.Diagnostic("unknown key"))
		}
		seen[e.key] = true
	}
	for _, field := range fields {
		if field.Required && !seen[field.Key] {
			diagnostics = append(diagnostics, n.Diagnostic("%s is missing", field.Key))
		}
	}
	return diagnostics
}

// Sequence reads a list and calls item for each element.
func (n Node) Sequence(item func(Node) Diagnostics) Diagnostics {
	sequence, ok := n.yaml.(*ast.SequenceNode)
	if !ok {
		return Diagnostics{n.Diagnostic("must be a list")}
	}
	var diagnostics Diagnostics
	for i, value := range sequence.Values {
		diagnostics = append(diagnostics, item(Node{yaml: value, path: fmt.Sprintf("%s[%d]", n.path, i)})...)
	}
	return diagnostics
}

// Scalar returns the text of a scalar node, and false for mappings and lists.
func (n Node) Scalar() (string, bool) {
	scalar, ok := n.yaml.(ast.ScalarNode)
	if !ok {
		return "", false
	}
	return fmt.Sprint(scalar.GetValue()), true
}

// Items returns the texts of a scalar or of a list of scalars, and false for any other node.
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

// scalarReader returns a function that decodes a scalar with parse and stores it in into. The
// text expected names the type of value in errors.
func scalarReader[T any](into *T, expected string, parse func(string) (T, error)) func(Node) Diagnostics {
	return func(n Node) Diagnostics {
		text, ok := n.Scalar()
		if !ok {
			return Diagnostics{n.Diagnostic("must be %s", expected)}
		}
		value, err := parse(text)
		if err != nil {
			return Diagnostics{n.Diagnostic("%q is not %s", text, expected)}
		}
		*into = value
		return nil
	}
}

// String returns a function that stores the text of any scalar in into.
func String(into *string) func(Node) Diagnostics {
	return scalarReader(into, "a text", func(text string) (string, error) { return text, nil })
}

// Float returns a function that stores a number in into.
func Float(into *float64) func(Node) Diagnostics {
	return scalarReader(into, "a number", func(text string) (float64, error) { return strconv.ParseFloat(text, 64) })
}

// Int returns a function that stores an integer in into.
func Int(into *int) func(Node) Diagnostics { return scalarReader(into, "a whole number", strconv.Atoi) }

// Bool returns a function that stores true or false in into.
func Bool(into *bool) func(Node) Diagnostics {
	return scalarReader(into, "true or false", strconv.ParseBool)
}

// Duration returns a function that stores a duration such as 150ms or 6h in into.
func Duration(into *time.Duration) func(Node) Diagnostics {
	return scalarReader(into, "a duration such as 150ms or 6h", time.ParseDuration)
}
