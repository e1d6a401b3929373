// Package contract defines the document that operators edit: the workspaces, the share of the
// instances that each is guaranteed, and the service-level target of each class of work. It
// parses, validates, revises and compares documents; it doesn't store them.
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

// Kind is the kind of a class of work. It determines which targets the class has.
type Kind int

// The kinds of classes: Service for requests with a latency target, Batch for jobs with a deadline
// or an hourly rate, Sync for jobs whose tasks have a guaranteed share of processor time.
const (
	Service Kind = iota // service
	Batch               // batch
	Sync                // sync
)

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Service, Batch, Sync} }

// Workspace is a customer that shares the instances with others.
type Workspace struct {
	Name  string
	Share float64 // percent of the instances that the contract guarantees it
	Quota Quota
}

// Quota limits the resources that the batch tasks of a workspace may use at a time. Zero means
// no limit of that resource.
type Quota struct {
	Processors   float64
	Memory       int // MB
	Accelerators int
}

// Class is a class of work with its targets.
type Class struct {
	Name           string
	Kind           Kind
	Quantile       float64       // service: the quantile of the latency target
	Latency        time.Duration // service: the upper bound of the latency at Quantile
	Deadline       time.Duration // batch: from submission to the end of each task
	TasksPerHour   float64       // batch, instead of Deadline: tasks of a job to complete per hour
	ProcessorShare float64       // sync: guaranteed share of a processor's time for each task while the task runs
}

// Document is a validated document. Version 0 means that none has been accepted yet.
type Document struct {
	Version    uint64
	Workspaces []Workspace
	Classes    []Class
	text       string
}

// Text returns the YAML text that the document was parsed from.
func (d Document) Text() string { return d.text }

// Class returns the class with the given name, and whether it exists.
func (d Document) Class(name string) (Class, bool) {
	return find(d.Classes, func(c Class) bool { return c.Name == name })
}

// Workspace returns the workspace with the given name, and whether it exists.
func (d Document) Workspace(name string) (Workspace, bool) {
	return find(d.Workspaces, func(w Workspace) bool { return w.Name == name })
}

// Shares returns the guaranteed share of each workspace, in percent.
func (d Document) Shares() map[string]float64 {
	shares := make(map[string]float64, len(d.Workspaces))
	for _, workspace := range d.Workspaces {
		shares[workspace.Name] = workspace.Share
	}
	return shares
}

// find returns the first element that matches, and whether there is one.
func find[T any](list []T, match func(T) bool) (T, bool) {
	index := slices.IndexFunc(list, match)
	if index < 0 {
		var none T
		return none, false
	}
	return list[index], true
}

// rejectedKeys maps keys that are excluded by design to the error text, which says what to
// write instead.
var rejectedKeys = map[string]string{
	"weight":    "weights do not exist: state a target (latency, deadline, hourly or progress) instead",
	"weights":   "weights do not exist: state a target (latency, deadline, hourly or progress) instead",
	"priority":  "priorities do not exist: state a target (latency, deadline, hourly or progress) instead",
	"address":   "addresses do not exist here: instances announce themselves",
	"addresses": "addresses do not exist here: instances announce themselves",
	"instance":  "instances are not named here: state a target and the system chooses them",
	"instances": "instances are not named here: state a target and the system chooses them",
}

// Parse parses and validates a document. If the text is YAML, the error is a
// schema.Diagnostics.
func Parse(text []byte) (Document, error) {
	root, err := schema.Parse(text)
	if err != nil {
		return Document{}, err
	}
	document := Document{text: string(text)}
	diagnostics := root.Mapping([]schema.Field{
		{Key: "workspaces", Required: true, Read: func(n schema.Node) schema.Diagnostics {
			return n.Sequence(document.readWorkspace)
		}},
		{Key: "classes", Required: true, Read: func(n schema.Node) schema.Diagnostics {
			return n.Sequence(document.readClass)
		}},
	}, rejectedKeys)
	if total := document.totalShare(); total > 100 {
		diagnostics = append(diagnostics, root.Diagnostic("the shares of the workspaces add up to %g, over 100", total))
	}
	if len(diagnostics) > 0 {
		return Document{}, diagnostics
	}
	return document, nil
}

// totalShare returns the sum of the workspaces' shares, in percent.
func (d *Document) totalShare() float64 {
	total := 0.0
	for _, workspace := range d.Workspaces {
		total += workspace.Share
	}
	return total
}

// readWorkspace decodes and validates one workspace and appends it to the document.
func (d *Document) readWorkspace(n schema.Node) schema.Diagnostics {
	var workspace Workspace
	diagnostics := n.Mapping([]schema.Field{
		{Key: "name", Required: true, Read: schema.String(&workspace.Name)},
		{Key: "share", Required: true, Read: schema.Float(&workspace.Share)},
		{Key: "quota", Read: workspace.Quota.read},
	}, rejectedKeys)
	if len(diagnostics) == 0 {
		diagnostics = append(diagnostics, workspace.check(n)...)
	}
	if _, duplicate := d.Workspace(workspace.Name); duplicate {
		diagnostics = append(diagnostics, n.Diagnostic("workspace %s is given twice", workspace.Name))
	}
	d.Workspaces = append(d.Workspaces, workspace)
	return diagnostics
}

// read decodes and validates a quota.
func (q *Quota) read(n schema.Node) schema.Diagnostics {
	diagnostics := n.Mapping([]schema.Field{
		{Key: "cpu", Read: schema.Float(&q.Processors)},
		{Key: "memory", Read: schema.Int(&q.Memory)},
		{Key: "accelerators", Read: schema.Int(&q.Accelerators)},
	}, rejectedKeys)
	if q.Processors < 0 || q.Memory < 0 || q.Accelerators < 0 {
		diagnostics = append(diagnostics, n.Diagnostic("a quota must not be negative"))
	}
	return diagnostics
}

// check validates the name and the share of a workspace.
func (w Workspace) check(n schema.Node) schema.Diagnostics {
	var diagnostics schema.Diagnostics
	if text := checkName(w.Name); text != "" {
		diagnostics = append(diagnostics, n.Diagnostic("%s", text))
	}
	if w.Share <= 0 || w.Share > 100 {
		diagnostics = append(diagnostics, n.Diagnostic("share must be over 0 and at most 100 percent, not %g", w.Share))
	}
	return diagnostics
}

// readClass decodes and validates one class and appends it to the document.
func (d *Document) readClass(n schema.Node) schema.Diagnostics {
	var class Class
	present := map[string]bool{}
	recorded := func(key string, read func(schema.Node) schema.Diagnostics) schema.Field {
		return schema.Field{Key: key, Read: func(value schema.Node) schema.Diagnostics {
			present[key] = true
			return read(value)
		}}
	}
	diagnostics := n.Mapping([]schema.Field{
		{Key: "name", Required: true, Read: schema.String(&class.Name)},
		{Key: "kind", Required: true, Read: readKind(&class.Kind)},
		recorded("quantile", schema.Float(&class.Quantile)),
		recorded("latency", schema.Duration(&class.Latency)),
		recorded("deadline", schema.Duration(&class.Deadline)),
		recorded("hourly", schema.Float(&class.TasksPerHour)),
		recorded("progress", schema.Float(&class.ProcessorShare)),
	}, rejectedKeys)
	if len(diagnostics) == 0 {
		diagnostics = append(diagnostics, checkTargets(n, class, present)...)
	}
	if text := checkName(class.Name); text != "" {
		diagnostics = append(diagnostics, n.Diagnostic("%s", text))
	}
	if _, duplicate := d.Class(class.Name); duplicate {
		diagnostics = append(diagnostics, n.Diagnostic("class %s is given twice", class.Name))
	}
	d.Classes = append(d.Classes, class)
	return diagnostics
}

// targetsByKind lists the targets of each kind with their valid ranges.
var targetsByKind = map[Kind][]target{
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

// target is the key of a target, its valid range in words, and the check of that range.
type target struct {
	key        string
	validRange string
	valid      func(Class) bool
}

// exactlyOneTarget holds the kinds whose classes have exactly one of the kind's targets. Classes
// of other kinds have all of them.
var exactlyOneTarget = map[Kind]bool{Batch: true}

// checkTargets validates the targets of a class: the values of the present ones, that none is
// missing, and that none belongs to another kind.
func checkTargets(n schema.Node, class Class, present map[string]bool) schema.Diagnostics {
	var diagnostics schema.Diagnostics
	var allowed []string
	count := 0
	for _, t := range targetsByKind[class.Kind] {
		allowed = append(allowed, t.key)
		switch {
		case present[t.key] && !t.valid(class):
			diagnostics = append(diagnostics, n.Diagnostic("class %s: %s must be %s", class.Name, t.key, t.validRange))
		case !present[t.key] && !exactlyOneTarget[class.Kind]:
			diagnostics = append(diagnostics, n.Diagnostic("class %s: a %s class needs %s", class.Name, class.Kind, t.key))
		}
		if present[t.key] {
			count++
		}
	}
	if exactlyOneTarget[class.Kind] && count != 1 {
		diagnostics = append(diagnostics, n.Diagnostic("class %s: a %s class needs one of %s, not %d", class.Name, class.Kind, strings.Join(allowed, ", "), count))
	}
	for _, key := range targetKeys {
		if present[key] && !slices.Contains(allowed, key) {
			diagnostics = append(diagnostics, n.Diagnostic("class %s: %s is no target of a %s class (it has %s)",
				class.Name, key, class.Kind, strings.Join(allowed, ", ")))
		}
	}
	return diagnostics
}

// targetKeys lists the target keys of all kinds.
var targetKeys = []string{"quantile", "latency", "deadline", "hourly", "progress"}

// readKind returns a function that stores the kind named by a scalar in into.
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

// maxNameLength is the maximum length of a name, in bytes.
const maxNameLength = 40

// checkName returns the error text for an invalid name, or an empty text.
func checkName(name string) string {
	if name == "" || len(name) > maxNameLength {
		return fmt.Sprintf("a name has 1 to %d characters", maxNameLength)
	}
	for _, r := range name {
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && r != '-' {
			return fmt.Sprintf("name %q may hold a-z, 0-9 and - only", name)
		}
	}
	return ""
}
