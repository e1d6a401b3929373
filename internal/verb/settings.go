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

// listFlag is a flag that may be given several times, or as a list in YAML.
type listFlag []string

// String joins the values.
func (l *listFlag) String() string { return strings.Join(*l, ",") }

// Set adds values; commas part them.
func (l *listFlag) Set(text string) error {
	*l = append(*l, strings.Split(text, ",")...)
	return nil
}

// readSettings makes the parser of a settings file for a verb's flags. Its error
// names every problem of the file at once, with line and key.
func readSettings(flags *flag.FlagSet) ff.ConfigFileParser {
	return func(r io.Reader, set func(name, value string) error) error {
		text, err := io.ReadAll(r)
		if err != nil {
			return errors.Wrap(err, "read settings")
		}
		problems, err := walkSettings(flags, text, set)
		if err != nil {
			return err
		}
		if len(problems) > 0 {
			return problems
		}
		return nil
	}
}

// walkSettings hands every key of a settings file to set.
func walkSettings(flags *flag.FlagSet, text []byte, set func(name, value string) error) (schema.Diagnostics, error) {
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
			return setItems(f, n, set)
		}})
	})
	return root.Mapping(fields, nil), nil
}

func setItems(f *flag.Flag, n schema.Node, set func(name, value string) error) schema.Diagnostics {
	items, ok := n.Items()
	if !ok {
		return schema.Diagnostics{n.Diagnostic("must be a value or a list of values")}
	}
	if _, many := f.Value.(*listFlag); !many && len(items) != 1 {
		return schema.Diagnostics{n.Diagnostic("takes one value")}
	}
	for _, item := range items {
		if err := set(f.Name, item); err != nil {
			return schema.Diagnostics{n.Diagnostic("%q is not valid: %s", item, cause(f, err))}
		}
	}
	return nil
}

// cause says what is wrong with a value: what the flag takes, or the last part of
// the error's text.
func cause(f *flag.Flag, err error) string {
	if getter, ok := f.Value.(flag.Getter); ok {
		switch getter.Get().(type) {
		case int, int64, uint64:
			return "it takes a whole number"
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
