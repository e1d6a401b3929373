// Package contract is the document that operators revise: workspaces, what the
// contract owes them, and the targets of each class of work.
//
//	workspaces:
//	  - name: kilele
//	    share: 25
//	classes:
//	  - name: preview
//	    kind: service
//	    quantile: 0.99
//	    latency: 150ms
package contract

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/apricotwind/apricotwind/pkg/document/schema"
)

//go:generate stringer -type=Kind -linecomment

// Kind is the kind of a class of work.
type Kind int

// The kinds of classes.
const (
	Service Kind = iota // service
	Batch               // batch
	Sync                // sync
)

// Kinds lists every kind.
func Kinds() []Kind { return []Kind{Service, Batch, Sync} }

// Workspace is one of those who share the instances.
type Workspace struct {
	Name  string
	Share float64 // percent of the instances that the contract owes it
	Quota Quota
}

// Quota is the most that the batch tasks of a workspace may use at a time; zero in a
// dimension means that it has no bound there.
type Quota struct {
	Processors   float64
	Memory       int // MB
	Accelerators int
}

// Class is a class of work with its target.
type Class struct {
	Name           string
	Kind           Kind
	Quantile       float64       // service: the quantile of the latency target
	Latency        time.Duration // service: the latency owed at Quantile
	Deadline       time.Duration // batch: from submission to the end of each task
	TasksPerHour   float64       // batch, instead of Deadline: tasks of a job owed an hour
	ProcessorShare float64       // sync: share of a processor's time owed while it runs
}

// Document is a contract with targets. Version 0 means none was accepted yet.
type Document struct {
	Version    uint64
	Workspaces []Workspace
	Classes    []Class
	text       string
}

// Text is the YAML text the document was read from.
func (d Document) Text() string { return d.text }

// Class finds a class by name.
func (d Document) Class(name string) (Class, bool) {
	return find(d.Classes, func(c Class) bool { return c.Name == name })
}

// Workspace finds a workspace by name.
func (d Document) Workspace(name string) (Workspace, bool) {
	return find(d.Workspaces, func(w Workspace) bool { return w.Name == name })
}

// Shares maps each workspace to the share it is owed, in percent.
func (d Document) Shares() map[string]float64 {
	shares := make(map[string]float64, len(d.Workspaces))
	for _, workspace := range d.Workspaces {
		shares[workspace.Name] = workspace.Share
	}
	return shares
}

func find[T any](list []T, is func(T) bool) (T, bool) {
	at := slices.IndexFunc(list, is)
	if at < 0 {
		var none T
		return none, false
	}
	return list[at], true
}

// refused are keys that do not exist on purpose.
var refused = map[string]string{
	"weight":    "weights do not exist: state a target (latency, deadline, hourly or progress) instead",
	"weights":   "weights do not exist: state a target (latency, deadline, hourly or progress) instead",
	"priority":  "priorities do not exist: state a target (latency, deadline, hourly or progress) instead",
	"address":   "addresses do not exist here: instances announce themselves",
	"addresses": "addresses do not exist here: instances announce themselves",
	"instance":  "instances are not named here: state a target and the system chooses them",
	"instances": "instances are not named here: state a target and the system chooses them",
}

// Parse reads and checks a document; its error is schema.Problems when the text
// is YAML.
func Parse(text []byte) (Document, error) {
	root, err := schema.Parse(text)
	if err != nil {
		return Document{}, err
	}
	document := Document{text: string(text)}
	problems := root.Mapping([]schema.Field{
		{Key: "workspaces", Required: true, Read: func(n schema.Node) schema.Diagnostics {
			return n.Sequence(document.readWorkspace)
		}},
		{Key: "classes", Required: true, Read: func(n schema.Node) schema.Diagnostics {
			return n.Sequence(document.readClass)
		}},
	}, refused)
	if total := document.totalShare(); total > 100 {
		problems = append(problems, root.Diagnostic("the shares of the workspaces add up to %g, over 100", total))
	}
	if len(problems) > 0 {
		return Document{}, problems
	}
	return document, nil
}

func (d *Document) totalShare() float64 {
	total := 0.0
	for _, workspace := range d.Workspaces {
		total += workspace.Share
	}
	return total
}

func (d *Document) readWorkspace(n schema.Node) schema.Diagnostics {
	var workspace Workspace
	problems := n.Mapping([]schema.Field{
		{Key: "name", Required: true, Read: schema.String(&workspace.Name)},
		{Key: "share", Required: true, Read: schema.Float(&workspace.Share)},
		{Key: "quota", Read: workspace.Quota.read},
	}, refused)
	if len(problems) == 0 {
		problems = append(problems, workspace.check(n)...)
	}
	if _, twice := d.Workspace(workspace.Name); twice {
		problems = append(problems, n.Diagnostic("workspace %s is given twice", workspace.Name))
	}
	d.Workspaces = append(d.Workspaces, workspace)
	return problems
}

func (q *Quota) read(n schema.Node) schema.Diagnostics {
	problems := n.Mapping([]schema.Field{
		{Key: "cpu", Read: schema.Float(&q.Processors)},
		{Key: "memory", Read: schema.Int(&q.Memory)},
		{Key: "accelerators", Read: schema.Int(&q.Accelerators)},
	}, refused)
	if q.Processors < 0 || q.Memory < 0 || q.Accelerators < 0 {
		problems = append(problems, n.Diagnostic("a quota must not be negative"))
	}
	return problems
}

func (w Workspace) check(n schema.Node) schema.Diagnostics {
	var problems schema.Diagnostics
	if text := checkName(w.Name); text != "" {
		problems = append(problems, n.Diagnostic("%s", text))
	}
	if w.Share <= 0 || w.Share > 100 {
		problems = append(problems, n.Diagnostic("share must be over 0 and at most 100 percent, not %g", w.Share))
	}
	return problems
}

func (d *Document) readClass(n schema.Node) schema.Diagnostics {
	var class Class
	given := map[string]bool{}
	note := func(key string, read func(schema.Node) schema.Diagnostics) schema.Field {
		return schema.Field{Key: key, Read: func(value schema.Node) schema.Diagnostics {
			given[key] = true
			return read(value)
		}}
	}
	problems := n.Mapping([]schema.Field{
		{Key: "name", Required: true, Read: schema.String(&class.Name)},
		{Key: "kind", Required: true, Read: readKind(&class.Kind)},
		note("quantile", schema.Float(&class.Quantile)),
		note("latency", schema.Duration(&class.Latency)),
		note("deadline", schema.Duration(&class.Deadline)),
		note("hourly", schema.Float(&class.TasksPerHour)),
		note("progress", schema.Float(&class.ProcessorShare)),
	}, refused)
	if len(problems) == 0 {
		problems = append(problems, checkTargets(n, class, given)...)
	}
	if text := checkName(class.Name); text != "" {
		problems = append(problems, n.Diagnostic("%s", text))
	}
	if _, twice := d.Class(class.Name); twice {
		problems = append(problems, n.Diagnostic("class %s is given twice", class.Name))
	}
	d.Classes = append(d.Classes, class)
	return problems
}

// targets lists the target keys of each kind and the range of each.
var targets = map[Kind][]target{
	Service: {
		{"quantile", "over 0 and below 1", func(c Class) bool { return c.Quantile > 0 && c.Quantile < 1 }},
		{"latency", "over 0", func(c Class) bool { return c.Latency > 0 }},
	},
	Batch: {
		{"deadline", "over 0", func(c Class) bool { return c.Deadline > 0 }},
		{"hourly", "over 0", func(c Class) bool { return c.TasksPerHour > 0 }},
	},
	Sync: {{"progress", "over 0 and at most 1", func(c Class) bool { return c.ProcessorShare > 0 && c.ProcessorShare <= 1 }}},
}

type target struct {
	key    string
	bounds string
	holds  func(Class) bool
}

// either lists the kinds that have one of their targets, not all.
var either = map[Kind]bool{Batch: true}

func checkTargets(n schema.Node, class Class, given map[string]bool) schema.Diagnostics {
	var problems schema.Diagnostics
	var allowed []string
	stated := 0
	for _, t := range targets[class.Kind] {
		allowed = append(allowed, t.key)
		switch {
		case given[t.key] && !t.holds(class):
			problems = append(problems, n.Diagnostic("class %s: %s must be %s", class.Name, t.key, t.bounds))
		case !given[t.key] && !either[class.Kind]:
			problems = append(problems, n.Diagnostic("class %s: a %s class needs %s", class.Name, class.Kind, t.key))
		}
		if given[t.key] {
			stated++
		}
	}
	if either[class.Kind] && stated != 1 {
		problems = append(problems, n.Diagnostic("class %s: a %s class needs one of %s, not %d", class.Name, class.Kind, strings.Join(allowed, ", "), stated))
	}
	for _, key := range targetKeys {
		if given[key] && !slices.Contains(allowed, key) {
			problems = append(problems, n.Diagnostic("class %s: %s is no target of a %s class (it has %s)",
				class.Name, key, class.Kind, strings.Join(allowed, ", ")))
		}
	}
	return problems
}

// targetKeys are the targets of all kinds.
var targetKeys = []string{"quantile", "latency", "deadline", "hourly", "progress"}

func readKind(into *Kind) func(schema.Node) schema.Diagnostics {
	return func(n schema.Node) schema.Diagnostics {
		text, _ := n.Scalar()
		for _, kind := range Kinds() {
			if kind.String() == text {
				*into = kind
				return nil
			}
		}
		return schema.Diagnostics{n.Diagnostic("%q is no kind: service, batch or sync", text)}
	}
}

// nameMost is the longest name, in bytes.
const nameMost = 40

func checkName(name string) string {
	if name == "" || len(name) > nameMost {
		return fmt.Sprintf("a name has 1 to %d characters", nameMost)
	}
	for _, r := range name {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' {
			return fmt.Sprintf("name %q may hold a-z, 0-9 and - only", name)
		}
	}
	return ""
}
