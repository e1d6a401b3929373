package contract

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

// yamlClass is a class as it is written, with only the targets of its kind.
type yamlClass struct {
	Name           string  `yaml:"name"`
	Kind           string  `yaml:"kind"`
	Quantile       float64 `yaml:"quantile,omitempty"`
	Latency        string  `yaml:"latency,omitempty"`
	Deadline       string  `yaml:"deadline,omitempty"`
	TasksPerHour   float64 `yaml:"hourly,omitempty"`
	ProcessorShare float64 `yaml:"progress,omitempty"`
}

type yamlWorkspace struct {
	Name  string     `yaml:"name"`
	Share float64    `yaml:"share"`
	Quota *yamlQuota `yaml:"quota,omitempty"`
}

type yamlQuota struct {
	Processors   float64 `yaml:"cpu,omitempty"`
	Memory       int     `yaml:"memory,omitempty"`
	Accelerators int     `yaml:"accelerators,omitempty"`
}

type yamlDocument struct {
	Workspaces []yamlWorkspace `yaml:"workspaces"`
	Classes    []yamlClass     `yaml:"classes"`
}

// Revise returns the document with targets of one class replaced, such as
// {"latency": "120ms"}. The result is checked like any other document.
func (d Document) Revise(class string, revised map[string]string) (Document, error) {
	if _, ok := d.Class(class); !ok {
		return Document{}, errors.Newf("there is no class %q", class)
	}
	var out yamlDocument
	if err := yaml.Unmarshal([]byte(d.text), &out); err != nil {
		return Document{}, errors.Wrap(err, "read the document in force")
	}
	for i := range out.Classes {
		if out.Classes[i].Name == class {
			if err := reviseClass(&out.Classes[i], revised); err != nil {
				return Document{}, err
			}
		}
	}
	text, err := yaml.Marshal(out)
	if err != nil {
		return Document{}, errors.Wrap(err, "write the document")
	}
	return Parse(text)
}

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
			return noTarget(key)
		}
		if err != nil {
			return errors.Newf("%s: %q is not a number", key, value)
		}
	}
	return nil
}

// noTarget says why a key cannot be revised.
func noTarget(key string) error {
	if instead, ok := refused[key]; ok {
		return errors.Newf("%s", instead)
	}
	return errors.Newf("%q is no target: %s", key, strings.Join(targetKeys, ", "))
}

// Diff lists what differs between two documents, one line each, such as
// `class preview: latency 150ms -> 120ms`.
func Diff(before, after Document) []string {
	var lines []string
	for _, old := range before.Workspaces {
		if _, kept := after.Workspace(old.Name); !kept {
			lines = append(lines, "workspace "+old.Name+": removed")
		}
	}
	for _, new := range after.Workspaces {
		old, known := before.Workspace(new.Name)
		lines = append(lines, changed("workspace "+new.Name, known, old.fields(), new.fields())...)
	}
	for _, old := range before.Classes {
		if _, kept := after.Class(old.Name); !kept {
			lines = append(lines, "class "+old.Name+": removed")
		}
	}
	for _, new := range after.Classes {
		old, known := before.Class(new.Name)
		lines = append(lines, changed("class "+new.Name, known, old.fields(), new.fields())...)
	}
	return lines
}

// field is one key of a workspace or class with its value as text.
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

func changed(what string, known bool, before, after []field) []string {
	if !known {
		return []string{what + ": added"}
	}
	var lines []string
	for i := range after {
		if before[i].value != after[i].value {
			lines = append(lines, fmt.Sprintf("%s: %s %s -> %s", what, after[i].key, before[i].value, after[i].value))
		}
	}
	return lines
}
