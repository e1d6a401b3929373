package trace

import (
	"fmt"
	"io"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// seconds is the length of a generated day: one second stands for two hours.
const seconds = 12.0

// setting is what is assumed of a site. Sizes are those its owners stated; load
// and service times are assumptions of this generator.
type setting struct {
	domains    []string
	entries    int
	instances  int
	rack       int // instances to a rack
	processors int
	memory     int // MB
	prefix     string
	workspaces []string
	contract   string
	class      string  // of requests
	rate       float64 // requests a second at the quietest
	peak       float64 // and added to it at the busiest
	median     float64 // ms of service
	jobs       []string
	expected   []string
}

var settings = map[string]setting{
	"mkutano": {
		domains: []string{"nairobi-a", "nairobi-b", "mombasa-a"}, entries: 2, instances: 11, rack: 3,
		processors: 30, memory: 125_000, prefix: "m",
		workspaces: []string{"kilele", "pwani", "savanna", "ziwa"},
		contract: `workspaces:
  - name: kilele
    share: 25
  - name: pwani
    share: 25
  - name: savanna
    share: 25
  - name: ziwa
    share: 25
classes:
  - name: preview
    kind: service
    quantile: 0.95
    latency: 150ms
  - name: rebrand
    kind: batch
    deadline: 14s
  - name: assets
    kind: sync
    progress: 0.3
`,
		class: "preview", rate: 30, peak: 90, median: 25,
		jobs: []string{
			"job 0.800 rebrand kilele tasks=30 cpu=8 memory=4000 runtime=900ms idempotent=false",
			"job 1.000 assets pwani tasks=4 cpu=2 memory=1000 runtime=5s",
			"job 4.500 rebrand ziwa tasks=24 cpu=10 memory=6000 runtime=1.1s",
			"job 8.000 rebrand savanna tasks=16 cpu=6 memory=4000 runtime=700ms idempotent=false",
		},
		expected: []string{"preview 0.95", "rebrand 0.9", "assets 0.75"},
	},
	"lechtal": {
		domains: []string{"lechtal-a", "fuessen-a", "weilheim-a"}, entries: 2, instances: 11, rack: 3,
		processors: 64, memory: 250_000, prefix: "l",
		workspaces: []string{"salesdesk", "printing", "chain"},
		contract: `workspaces:
  - name: salesdesk
    share: 30
  - name: printing
    share: 40
  - name: chain
    share: 30
classes:
  - name: proof
    kind: service
    quantile: 0.95
    latency: 300ms
  - name: separation
    kind: batch
    deadline: 10s
  - name: loom
    kind: sync
    progress: 0.3
`,
		class: "proof", rate: 15, peak: 45, median: 45,
		jobs: []string{
			"job 0.500 loom printing tasks=6 cpu=2 memory=2000 runtime=6s",
			"job 1.000 separation chain tasks=60 cpu=12 memory=8000 runtime=800ms idempotent=false",
			"job 3.000 separation printing tasks=60 cpu=12 memory=8000 runtime=900ms idempotent=false",
			"job 6.000 separation chain tasks=60 cpu=12 memory=8000 runtime=700ms idempotent=false",
		},
		expected: []string{"proof 0.95", "separation 0.9", "loom 0.75"},
	},
}

// faults of a calm and a bad day; %s stands for the prefix of instance names.
var faults = map[string][]string{
	"calm": {"fail 5.000 %s03", "return 9.500 %s03", "leave 7.000 %s08"},
	"bad": {
		"slow 2.000 %s05 400", "fail 3.000 %s01", "fail 3.050 %s02", "outage 4.000 2s",
		"return 8.500 %s01", "leave 6.500 %s08", "fail 8.000 %s09",
	},
	"quiet":  {},
	"slow":   {"slow 2.000 %s05 400"},
	"domain": {"fail 5.000 %s04", "fail 5.000 %s05", "fail 5.000 %s06"},
	"noisy":  {},
}

// noise is the wave of batch work of a noisy day: enough for a third of the
// instances, and more than any class declared.
var noise = map[string]string{
	"mkutano": "job 3.000 rebrand pwani tasks=16 cpu=7 memory=2000 runtime=4s",
	"lechtal": "job 3.000 separation chain tasks=16 cpu=15 memory=4000 runtime=4s",
}

// Generate writes a day of a setting from a seed: its weather is calm, bad, quiet,
// slow, domain or noisy, its load so many times the assumed one.
func Generate(w io.Writer, name, weather string, load float64, seed uint64) error {
	site, ok := settings[name]
	if !ok {
		return errors.Newf("there is no setting %q: mkutano or lechtal", name)
	}
	events, ok := faults[weather]
	if !ok {
		return errors.Newf("there is no weather %q: %s", weather, strings.Join(slices.Sorted(maps.Keys(faults)), ", "))
	}
	if load <= 0 {
		return errors.Newf("load must be over 0, not %g", load)
	}
	site.rate, site.peak = site.rate*load, site.peak*load
	var text strings.Builder
	site.head(&text, name, weather, load, seed)
	site.load(&text, rand.New(rand.NewPCG(seed, uint64(len(name)))))
	for _, line := range site.jobs {
		fmt.Fprintln(&text, line)
	}
	if weather == "noisy" {
		fmt.Fprintln(&text, noise[name])
	}
	for _, line := range events {
		fmt.Fprintln(&text, strings.ReplaceAll(line, "%s", site.prefix))
	}
	fmt.Fprintf(&text, "target 6.000 %s latency=%s\n", site.class, map[string]string{"mkutano": "120ms", "lechtal": "250ms"}[name])
	for _, line := range site.expected {
		class, share, _ := strings.Cut(line, " ")
		fmt.Fprintf(&text, "expect %s share %s\n", class, share)
	}
	_, err := io.WriteString(w, text.String())
	return errors.Wrap(err, "write day")
}

func (s setting) head(text *strings.Builder, name, weather string, load float64, seed uint64) {
	fmt.Fprintf(text, "setting %s\n", name)
	flags := fmt.Sprintf("--setting %s --weather %s --seed %d", name, weather, seed)
	if load != 1 {
		flags += fmt.Sprintf(" --load %g", load)
	}
	fmt.Fprintf(text, "note made by 'apricotwind trace %s'; one second stands for two hours\n", flags)
	fmt.Fprintf(text, "note sizes are the site's own; load (%g to %g requests/s) and service times (median %g ms, lognormal) are assumed\n",
		s.rate, s.rate+s.peak, s.median)
	fmt.Fprintf(text, "contract\n")
	for line := range strings.Lines(s.contract) {
		fmt.Fprintf(text, "  %s", line)
	}
	fmt.Fprintf(text, "end\n")
	for i := range s.entries {
		fmt.Fprintf(text, "entry e%d %s\n", i+1, s.domains[i%len(s.domains)])
	}
	for i := range s.instances {
		fmt.Fprintf(text, "instance %s%02d %s r%d 8 64 %d %d 0\n", s.prefix, i+1, s.domains[(i/s.rack)%len(s.domains)], i/s.rack+1, s.processors, s.memory)
	}
}

// spread is the standard deviation of the logarithm of service times.
const spread = 0.5

// load writes the requests: a Poisson process whose rate follows the day.
func (s setting) load(text *strings.Builder, random *rand.Rand) {
	for at := 0.0; ; {
		day := math.Sin(math.Pi * at / seconds)
		rate := s.rate + s.peak*day*day
		at += random.ExpFloat64() / rate
		if at >= seconds {
			return
		}
		service := s.median * math.Exp(spread*random.NormFloat64())
		workspace := s.workspaces[random.IntN(len(s.workspaces))]
		fmt.Fprintf(text, "r %.3f %s %s %.1f\n", at, s.class, workspace, service)
	}
}
