// Package trace reads recorded days of work.
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

// Kind is the kind of an event.
type Kind int

// The kinds of events.
const (
	Request Kind = iota // r
	Job                 // job
	Fail                // fail
	Recover             // return
	Drain               // leave
	Slow                // slow
	Target              // target
	Outage              // outage
)

// Event is something that happens at a time from the day's begin.
type Event struct {
	At          time.Duration
	Kind        Kind
	Class       string
	Workspace   string
	ServiceTime time.Duration     // Request: time of service
	Submission  job.Submission    // Job
	Instance    string            // Fail, Recover, Drain, Slow
	Percent     int64             // Slow
	Changes     map[string]string // Target
	Duration    time.Duration     // Outage
}

// Entry is an entry of the setting.
type Entry struct{ Name, Domain string }

// Instance is an instance of the setting.
type Instance struct {
	Name, Domain, Rack string
	Capacity           link.Capacity
}

// Expectation is the least share of a class's work that must be delivered.
type Expectation struct {
	Class string
	Share float64
}

// Trace is a setting and what happens in it.
type Trace struct {
	Deployment string
	Notes      []string
	Contract   string
	Entries    []Entry
	Instances  []Instance
	Events     []Event
	Expected   []Expectation
}

// Length is the time of the last event.
func (d Trace) Length() time.Duration {
	if len(d.Events) == 0 {
		return 0
	}
	return d.Events[len(d.Events)-1].At
}

// Open opens a day that comes with the program, such as mkutano-calm.
func Open(name string) (Trace, error) {
	file, err := traces.Open("traces/" + name + ".trace")
	if err != nil {
		return Trace{}, errors.Newf("there is no recorded day %q: %s", name, strings.Join(Names(), ", "))
	}
	defer func() { _ = file.Close() }()
	return Read(file)
}

// Names lists the recorded days.
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

// reader reads a day line by line.
type reader struct {
	day        Trace
	inContract bool
}

// Read reads a day; its error names the line.
func Read(from io.Reader) (Trace, error) {
	var r reader
	lines := bufio.NewScanner(from)
	for number := 1; lines.Scan(); number++ {
		if err := r.line(lines.Text()); err != nil {
			return Trace{}, errors.Wrapf(err, "line %d", number)
		}
	}
	if err := lines.Err(); err != nil {
		return Trace{}, errors.Wrap(err, "read day")
	}
	slices.SortStableFunc(r.day.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return r.day, r.check()
}

func (r *reader) check() error {
	switch {
	case r.day.Contract == "":
		return errors.New("the day has no contract")
	case len(r.day.Entries) == 0:
		return errors.New("the day has no entry")
	case len(r.day.Instances) == 0:
		return errors.New("the day has no instance")
	}
	return nil
}

// readers maps the first word of a line to what reads the rest and how many
// words it takes at least.
var readers = map[string]struct {
	least int
	read  func(*reader, []string) error
}{
	"setting":  {1, func(r *reader, w []string) error { r.day.Deployment = w[0]; return nil }},
	"note":     {1, func(r *reader, w []string) error { r.day.Notes = append(r.day.Notes, strings.Join(w, " ")); return nil }},
	"contract": {0, func(r *reader, _ []string) error { r.inContract = true; return nil }},
	"entry": {2, func(r *reader, w []string) error {
		r.day.Entries = append(r.day.Entries, Entry{w[0], w[1]})
		return nil
	}},
	"instance": {8, (*reader).instance},
	"expect":   {3, (*reader).expect},
	"r":        {4, (*reader).request},
	"job":      {3, (*reader).job},
	"fail":     {2, change(Fail)},
	"return":   {2, change(Recover)},
	"leave":    {2, change(Drain)},
	"slow":     {3, (*reader).slow},
	"target":   {3, (*reader).target},
	"outage":   {2, (*reader).outage},
}

func (r *reader) line(text string) error {
	if r.inContract {
		return r.contract(text)
	}
	words := strings.Fields(text)
	if len(words) == 0 || strings.HasPrefix(words[0], "#") {
		return nil
	}
	known, ok := readers[words[0]]
	if !ok {
		return errors.Newf("%q begins no event", words[0])
	}
	if len(words)-1 < known.least {
		return errors.Newf("%s takes at least %d words", words[0], known.least)
	}
	return known.read(r, words[1:])
}

func (r *reader) contract(text string) error {
	if text == "end" {
		r.inContract = false
		return nil
	}
	r.day.Contract += strings.TrimPrefix(text, "  ") + "\n"
	return nil
}

func (r *reader) instance(words []string) error {
	var numbers [5]int
	for i := range numbers {
		n, err := strconv.Atoi(words[3+i])
		if err != nil {
			return errors.Newf("%q is no whole number", words[3+i])
		}
		numbers[i] = n
	}
	r.day.Instances = append(r.day.Instances, Instance{
		Name: words[0], Domain: words[1], Rack: words[2],
		Capacity: link.Capacity{
			Slots: numbers[0], MaxInFlight: numbers[1], Processors: float64(numbers[2]),
			Memory: numbers[3], Accelerators: numbers[4],
		},
	})
	return nil
}

func (r *reader) expect(words []string) error {
	share, err := strconv.ParseFloat(words[2], 64)
	if err != nil || words[1] != "share" {
		return errors.New("expect takes a class, the word share, and a number")
	}
	r.day.Expected = append(r.day.Expected, Expectation{Class: words[0], Share: share})
	return nil
}

// event begins an event at the time in the first word.
func event(kind Kind, words []string) (Event, error) {
	seconds, err := strconv.ParseFloat(words[0], 64)
	if err != nil || seconds < 0 {
		return Event{}, errors.Newf("%q is no time in seconds", words[0])
	}
	return Event{At: time.Duration(seconds * float64(time.Second)), Kind: kind}, nil
}

func (r *reader) add(e Event, err error) error {
	if err == nil {
		r.day.Events = append(r.day.Events, e)
	}
	return err
}

func (r *reader) request(words []string) error {
	e, err := event(Request, words)
	if err != nil {
		return err
	}
	ms, err := strconv.ParseFloat(words[3], 64)
	e.Class, e.Workspace, e.ServiceTime = words[1], words[2], time.Duration(ms*float64(time.Millisecond))
	return r.add(e, errors.Wrap(err, "time of service"))
}

// change makes the reader of an event that names an instance only.
func change(kind Kind) func(*reader, []string) error {
	return func(r *reader, words []string) error {
		e, err := event(kind, words)
		e.Instance = words[1]
		return r.add(e, err)
	}
}

func (r *reader) slow(words []string) error {
	e, err := event(Slow, words)
	if err != nil {
		return err
	}
	e.Instance = words[1]
	e.Percent, err = strconv.ParseInt(words[2], 10, 64)
	return r.add(e, errors.Wrap(err, "percent"))
}

func (r *reader) outage(words []string) error {
	e, err := event(Outage, words)
	if err != nil {
		return err
	}
	e.Duration, err = time.ParseDuration(words[1])
	return r.add(e, errors.Wrap(err, "length"))
}

func (r *reader) target(words []string) error {
	e, err := event(Target, words)
	e.Class, e.Changes = words[1], map[string]string{}
	for _, word := range words[2:] {
		key, value, ok := strings.Cut(word, "=")
		if !ok {
			return errors.Newf("%q is not TARGET=VALUE", word)
		}
		e.Changes[key] = value
	}
	return r.add(e, err)
}

func (r *reader) job(words []string) error {
	e, err := event(Job, words)
	if err != nil {
		return err
	}
	s := job.Submission{Class: words[1], Workspace: words[2], Tasks: 1, Processors: 1, Idempotent: true}
	for _, word := range words[3:] {
		key, value, _ := strings.Cut(word, "=")
		if err := setJob(&s, key, value); err != nil {
			return errors.Wrapf(err, "%s", word)
		}
	}
	e.Submission = s
	return r.add(e, nil)
}

func setJob(s *job.Submission, key, value string) error {
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
