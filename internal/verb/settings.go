package verb

import (
	"flag"
	"io"
	"strings"
	"time"

	"github.com/apricotwind/apricotwind/pkg/document/schema"
	"github.com/cockroachdb/errors"
	"github.com/peterbourgon/ff/v3"
)

// listFlag is a flag that may be repeated on the command line, or be a list in YAML.
type listFlag []string

// String returns the values, separated by commas.
func (l *listFlag) String() string { return strings.Join(*l, ",") }

// Set appends one or more values, separated by commas.
func (l *listFlag) Set(text string) error {
	*l = append(*l, strings.Split(text, ",")...)
	return nil
}

// readSettings returns the parser of settings files for a verb's flags. The parser's error
// lists all errors of the file, with line and key.
func readSettings(flags *flag.FlagSet) ff.ConfigFileParser {
	return func(r io.Reader, set func(name, value string) error) error {
		text, err := io.ReadAll(r)
		if err != nil {
			return err
		}
		diagnostics, err := applySettings(flags, text, set)
		if err != nil {
			return errors.Wrap(err, flags.Lookup(settingsFlag).Value.String())
		}
		if len(diagnostics) > 0 {
			return diagnostics
		}
		return nil
	}
}

// applySettings calls set with each value of a settings file. Errors in the document are returned
// as diagnostics; the error is not nil if the text is empty or not YAML.
func applySettings(flags *flag.FlagSet, text []byte, set func(name, value string) error) (schema.Diagnostics, error) {
	root, err := schema.Parse(text)
	if err != nil {
		return nil, err
	}
	var fields []schema.Field
	flags.VisitAll(func(f *flag.Flag) {
		if f.Name == settingsFlag {
			return
		}
		fields = append(fields, schema.Field{Key: f.Name, Read: func(n schema.Node) schema.Diagnostics {
			return setFlagItems(f, n, set)
		}})
	})
	return root.Mapping(fields, nil), nil
}

// setFlagItems calls set for each value of the node.
func setFlagItems(f *flag.Flag, n schema.Node, set func(name, value string) error) schema.Diagnostics {
	items, ok := n.Items()
	if !ok {
		return schema.Diagnostics{n.Diagnostic("must be a value or a list of values")}
	}
	if _, isList := f.Value.(*listFlag); !isList && len(items) != 1 {
		return schema.Diagnostics{n.Diagnostic("takes one value")}
	}
	for _, item := range items {
		if err := set(f.Name, item); err != nil {
			return schema.Diagnostics{n.Diagnostic("%q is not valid: %s", item, invalidReason(f, err))}
		}
	}
	return nil
}

// invalidReason returns why a value is invalid: the type that the flag takes, or the last part
// of the error's text.
func invalidReason(f *flag.Flag, err error) string {
	if getter, ok := f.Value.(flag.Getter); ok {
		switch getter.Get().(type) {
		case int, int64:
			return "it takes a whole number"
		case uint64:
			return "it takes a whole number from 0"
		case float64:
			return "it takes a number"
		case bool:
			return "it takes true or false"
		case time.Duration:
			return "it takes a duration such as 30s"
		}
	}
	parts := strings.Split(err.Error(), ": ")
	return parts[len(parts)-1]
}
