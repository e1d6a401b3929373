package contract

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

// yamlClass is the YAML form of a Class. Targets that are not set are omitted.
type yamlClass struct {
	Name           string  `yaml:"name"`
	Kind           string  `yaml:"kind"`
	Quantile       float64 `yaml:"quantile,omitempty"`
	Latency        string  `yaml:"latency,omitempty"`
	Deadline       string  `yaml:"deadline,omitempty"`
	TasksPerHour   float64 `yaml:"hourly,omitempty"`
	ProcessorShare float64 `yaml:"progress,omitempty"`
}

// yamlWorkspace is the YAML form of a Workspace.
type yamlWorkspace struct {
	Name  string     `yaml:"name"`
	Share float64    `yaml:"share"`
	Quota *yamlQuota `yaml:"quota,omitempty"`
}

// yamlQuota is the YAML form of a Quota.
type yamlQuota struct {
	Processors   float64 `yaml:"cpu,omitempty"`
	Memory       int     `yaml:"memory,omitempty"`
	Accelerators int     `yaml:"accelerators,omitempty"`
}

// yamlDocument is the YAML form of a Document.
type yamlDocument struct {
	Workspaces []yamlWorkspace `yaml:"workspaces"`
	Classes    []yamlClass     `yaml:"classes"`
}

// Revise returns a copy of the document with some targets of one class replaced, such as
// {"latency": "120ms"}. The result is validated as by Parse. A deadline replaces an hourly
// rate and vice versa.
func (d Document) Revise(class string, revised map[string]string) (Document, error) {
	if _, ok := d.Class(class); !ok {
		return Document{}, errors.Newf("there is no class %q", class)
	}
	var decoded yamlDocument
	if err := yaml.Unmarshal([]byte(d.text), &decoded); err != nil {
		return Document{}, errors.Wrap(err, "parse the current document")
	}
	for i := range decoded.Classes {
		if decoded.Classes[i].Name == class {
			if err := reviseClass(&decoded.Classes[i], revised); err != nil {
				return Document{}, err
			}
		}
	}
	text, err := yaml.Marshal(decoded)
	if err != nil {
		return Document{}, errors.Wrap(err, "encode the document")
	}
	return Parse(text)
}

// reviseClass replaces targets of a class in its YAML form. It doesn't validate the result.
func reviseClass(class *yamlClass, revised map[string]string) error {
	for key, value := range revised {
		var err error
		switch key {
		case "latency":
			class.Latency = value
		case "deadline":
			class.Deadline, class.TasksPerHour = value, 0
		case "hourly":
			class.Deadline = ""
			_, err = fmt.Sscanf(value, "%g", &class.TasksPerHour)
		case "quantile":
			_, err = fmt.Sscanf(value, "%g", &class.Quantile)
		case "progress":
			_, err = fmt.Sscanf(value, "%g", &class.ProcessorShare)
		default:
			return unknownTarget(key)
		}
		if err != nil {
			return errors.Newf("%s: %q is not a number", key, value)
		}
	}
	return nil
}

// unknownTarget returns the error for a key that is not a target.
func unknownTarget(key string) error {
	if alternative, ok := rejectedKeys[key]; ok {
		return errors.Newf("%s", alternative)
	}
	return errors.Newf("%q is not a target; the targets are %s", key, strings.Join(targetKeys, ", "))
}

// Diff lists the differences between two documents, one line each, such as
// `class preview: latency 150ms -> 120ms`.
func Diff(before, after Document) []string {
	var lines []string
	for _, old := range before.Workspaces {
		if _, exists := after.Workspace(old.Name); !exists {
			lines = append(lines, "workspace "+old.Name+": removed")
		}
	}
	for _, new := range after.Workspaces {
		old, existed := before.Workspace(new.Name)
		lines = append(lines, diffFields("workspace "+new.Name, existed, old.fields(), new.fields())...)
	}
	for _, old := range before.Classes {
		if _, exists := after.Class(old.Name); !exists {
			lines = append(lines, "class "+old.Name+": removed")
		}
	}
	for _, new := range after.Classes {
		old, existed := before.Class(new.Name)
		lines = append(lines, diffFields("class "+new.Name, existed, old.fields(), new.fields())...)
	}
	return lines
}

// field is one key of a workspace or class with its formatted value.
type field struct{ key, value string }

func (w Workspace) fields() []field {
	return []field{
		{"share", fmt.Sprint(w.Share)},
		{"quota cpu", fmt.Sprint(w.Quota.Processors)},
		{"quota memory", fmt.Sprint(w.Quota.Memory)},
		{"quota accelerators", fmt.Sprint(w.Quota.Accelerators)},
	}
}

func (c Class) fields() []field {
	return []field{
		{"kind", c.Kind.String()},
		{"quantile", fmt.Sprint(c.Quantile)},
		{"latency", c.Latency.String()},
		{"deadline", c.Deadline.String()},
		{"hourly", fmt.Sprint(c.TasksPerHour)},
		{"progress", fmt.Sprint(c.ProcessorShare)},
	}
}

// diffFields lists the fields that differ, one line each. A subject that did not exist before gives
// one line.
func diffFields(subject string, existed bool, before, after []field) []string {
	if !existed {
		return []string{subject + ": added"}
	}
	var lines []string
	for i := range after {
		if before[i].value != after[i].value {
			lines = append(lines, fmt.Sprintf("%s: %s %s -> %s", subject, after[i].key, before[i].value, after[i].value))
		}
	}
	return lines
}
