// Package trace defines, reads and generates traces: a deployment (contract, entries, instances),
// the requests, jobs and failures in it with their times, and the expected results. Packages
// replay and demo execute traces. A few traces are embedded in the program.
//
// A trace is a text with one item per line; the first word is its kind. The lines from "contract"
// to "end" are the contract, in YAML. Elsewhere, lines that begin with # are comments.
package trace

import (
	"bufio"
	"cmp"
	"embed"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/apricotwind/apricotwind/internal/job"
	"github.com/apricotwind/apricotwind/internal/link"
	"github.com/cockroachdb/errors"
)

//go:embed traces/*.trace
var traces embed.FS

//go:generate stringer -type=Kind -linecomment

// Kind is the kind of an event. Its String is the first word of the event's line.
type Kind int

// The kinds of events: a request, a submitted job, the failure of an instance, its replacement
// under the same name, the start of its draining, a change of its speed, a revised target, and an
// outage of the platform.
const (
	Request Kind = iota // r
	Job                 // job
	Fail                // fail
	Replace             // return
	Drain               // leave
	Slow                // slow
	Target              // target
	Outage              // outage
)

// Event is an event of a trace. The comments name the kinds that use a field.
type Event struct {
	At          time.Duration // since the start of the trace
	Kind        Kind
	Class       string
	Workspace   string
	ServiceTime time.Duration     // Request: recorded service time
	Submission  job.Submission    // Job
	Instance    string            // Fail, Replace, Drain, Slow
	Percent     int64             // Slow: service time in percent of the recorded one
	Changes     map[string]string // Target: new values by key, such as latency: 120ms
	Duration    time.Duration     // Outage: its length
}

// Entry is an entry process of the deployment with its failure domain.
type Entry struct{ Name, Domain string }

// Instance is an instance of the deployment with its failure domain, rack and capacity.
type Instance struct {
	Name, Domain, Rack string
	Capacity           link.Capacity
}

// Expectation is the minimum share, from 0 to 1, of a class's requests or tasks that must be
// delivered within their targets.
type Expectation struct {
	Class string
	Share float64
}

// Trace is a deployment with the events in it, sorted by time. Contract is a YAML document of
// package contract.
type Trace struct {
	Deployment string
	Notes      []string
	Contract   string
	Entries    []Entry
	Instances  []Instance
	Events     []Event
	Expected   []Expectation
}

// Length returns the time of the last event.
func (t Trace) Length() time.Duration {
	if len(t.Events) == 0 {
		return 0
	}
	return t.Events[len(t.Events)-1].At
}

// Open reads an embedded trace, such as mkutano-calm.
func Open(name string) (Trace, error) {
	file, err := traces.Open("traces/" + name + ".trace")
	if err != nil {
		return Trace{}, errors.Newf("there is no recorded day %q: %s", name, strings.Join(Names(), ", "))
	}
	defer func() { _ = file.Close() }()
	return Read(file)
}

// Names returns the names of the embedded traces, sorted.
func Names() []string {
	files, err := traces.ReadDir("traces")
	if err != nil {
		return nil
	}
	names := make([]string, 0, len(files))
	for _, file := range files {
		names = append(names, strings.TrimSuffix(file.Name(), ".trace"))
	}
	return names
}

// parser parses a trace line by line.
type parser struct {
	trace      Trace
	inContract bool
}

// Read parses a trace. A syntax error names its line. A trace without contract, entry or
// instance is an error.
func Read(from io.Reader) (Trace, error) {
	var p parser
	lines := bufio.NewScanner(from)
	for number := 1; lines.Scan(); number++ {
		if err := p.line(lines.Text()); err != nil {
			return Trace{}, errors.Wrapf(err, "line %d", number)
		}
	}
	if err := lines.Err(); err != nil {
		return Trace{}, errors.Wrap(err, "read trace")
	}
	slices.SortStableFunc(p.trace.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return p.trace, p.check()
}

func (p *parser) check() error {
	switch {
	case p.trace.Contract == "":
		return errors.New("the trace has no contract")
	case len(p.trace.Entries) == 0:
		return errors.New("the trace has no entry")
	case len(p.trace.Instances) == 0:
		return errors.New("the trace has no instance")
	}
	return nil
}

// lineParsers maps the first word of a line to the function that parses the remaining words, and
// to the minimum number of these words.
var lineParsers = map[string]struct {
	minWords int
	read     func(*parser, []string) error
}{
	"setting": {1, func(p *parser, w []string) error { p.trace.Deployment = w[0]; return nil }},
	"note": {1, func(p *parser, w []string) error {
		p.trace.Notes = append(p.trace.Notes, strings.Join(w, " "))
		return nil
	}},
	"contract": {0, func(p *parser, _ []string) error { p.inContract = true; return nil }},
	"entry": {2, func(p *parser, w []string) error {
		p.trace.Entries = append(p.trace.Entries, Entry{w[0], w[1]})
		return nil
	}},
	"instance": {8, (*parser).instance},
	"expect":   {3, (*parser).expect},
	"r":        {4, (*parser).request},
	"job":      {3, (*parser).job},
	"fail":     {2, instanceEvent(Fail)},
	"return":   {2, instanceEvent(Replace)},
	"leave":    {2, instanceEvent(Drain)},
	"slow":     {3, (*parser).slow},
	"target":   {3, (*parser).target},
	"outage":   {2, (*parser).outage},
}

// line parses one line of the trace.
func (p *parser) line(text string) error {
	if p.inContract {
		return p.contract(text)
	}
	words := strings.Fields(text)
	if len(words) == 0 || strings.HasPrefix(words[0], "#") {
		return nil
	}
	syntax, ok := lineParsers[words[0]]
	if !ok {
		return errors.Newf("unknown kind of line %q", words[0])
	}
	if len(words)-1 < syntax.minWords {
		return errors.Newf("%s takes at least %d words", words[0], syntax.minWords)
	}
	return syntax.read(p, words[1:])
}

// contract appends a line to the contract. A line "end" ends the contract.
func (p *parser) contract(text string) error {
	if text == "end" {
		p.inContract = false
		return nil
	}
	p.trace.Contract += strings.TrimPrefix(text, "  ") + "\n"
	return nil
}

func (p *parser) instance(words []string) error {
	var numbers [5]int
	for i := range numbers {
		n, err := strconv.Atoi(words[3+i])
		if err != nil {
			return errors.Newf("%q is not a whole number", words[3+i])
		}
		numbers[i] = n
	}
	p.trace.Instances = append(p.trace.Instances, Instance{
		Name: words[0], Domain: words[1], Rack: words[2],
		Capacity: link.Capacity{
			Slots: numbers[0], MaxInFlight: numbers[1], Processors: float64(numbers[2]),
			Memory: numbers[3], Accelerators: numbers[4],
		},
	})
	return nil
}

func (p *parser) expect(words []string) error {
	share, err := strconv.ParseFloat(words[2], 64)
	if err != nil || words[1] != "share" {
		return errors.New("expect takes a class, the word share, and a number")
	}
	p.trace.Expected = append(p.trace.Expected, Expectation{Class: words[0], Share: share})
	return nil
}

// newEvent returns an event of the given kind at the time in the first word, in seconds.
func newEvent(kind Kind, words []string) (Event, error) {
	seconds, err := strconv.ParseFloat(words[0], 64)
	if err != nil || seconds < 0 {
		return Event{}, errors.Newf("%q is no time in seconds", words[0])
	}
	return Event{At: time.Duration(seconds * float64(time.Second)), Kind: kind}, nil
}

func (p *parser) add(e Event, err error) error {
	if err == nil {
		p.trace.Events = append(p.trace.Events, e)
	}
	return err
}

func (p *parser) request(words []string) error {
	e, err := newEvent(Request, words)
	if err != nil {
		return err
	}
	ms, err := strconv.ParseFloat(words[3], 64)
	e.Class, e.Workspace, e.ServiceTime = words[1], words[2], time.Duration(ms*float64(time.Millisecond))
	return p.add(e, errors.Wrap(err, "service time"))
}

// instanceEvent returns the function that parses an event whose only argument is an instance.
func instanceEvent(kind Kind) func(*parser, []string) error {
	return func(p *parser, words []string) error {
		e, err := newEvent(kind, words)
		e.Instance = words[1]
		return p.add(e, err)
	}
}

func (p *parser) slow(words []string) error {
	e, err := newEvent(Slow, words)
	if err != nil {
		return err
	}
	e.Instance = words[1]
	e.Percent, err = strconv.ParseInt(words[2], 10, 64)
	return p.add(e, errors.Wrap(err, "percent"))
}

func (p *parser) outage(words []string) error {
	e, err := newEvent(Outage, words)
	if err != nil {
		return err
	}
	e.Duration, err = time.ParseDuration(words[1])
	return p.add(e, errors.Wrap(err, "duration"))
}

func (p *parser) target(words []string) error {
	e, err := newEvent(Target, words)
	e.Class, e.Changes = words[1], map[string]string{}
	for _, word := range words[2:] {
		key, value, ok := strings.Cut(word, "=")
		if !ok {
			return errors.Newf("%q is not TARGET=VALUE", word)
		}
		e.Changes[key] = value
	}
	return p.add(e, err)
}

func (p *parser) job(words []string) error {
	e, err := newEvent(Job, words)
	if err != nil {
		return err
	}
	s := job.Submission{Class: words[1], Workspace: words[2], Tasks: 1, Processors: 1, Idempotent: true}
	for _, word := range words[3:] {
		key, value, _ := strings.Cut(word, "=")
		if err := setSubmission(&s, key, value); err != nil {
			return errors.Wrapf(err, "%s", word)
		}
	}
	e.Submission = s
	return p.add(e, nil)
}

// setSubmission sets one field of a submission from KEY=VALUE.
func setSubmission(s *job.Submission, key, value string) error {
	var err error
	switch key {
	case "tasks":
		s.Tasks, err = strconv.Atoi(value)
	case "cpu":
		s.Processors, err = strconv.ParseFloat(value, 64)
	case "memory":
		s.Memory, err = strconv.Atoi(value)
	case "accelerators":
		s.Accelerators, err = strconv.Atoi(value)
	case "runtime":
		s.Runtime, err = time.ParseDuration(value)
	case "deadline":
		s.Deadline, err = time.ParseDuration(value)
	case "idempotent":
		s.Idempotent, err = strconv.ParseBool(value)
	case "work":
		s.Payload = value
	default:
		return errors.New("unknown key")
	}
	return err
}
