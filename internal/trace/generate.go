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

// traceSeconds is the length of a generated trace: one second represents two hours of a day.
const traceSeconds = 12.0

// deployment holds the parameters of a modelled deployment. The sizes are those that its owners
// stated; load and service times are assumptions of this generator.
type deployment struct {
	domains           []string
	entries           int
	instances         int
	instancesPerRack  int
	processors        int    // per instance, for batch tasks
	memory            int    // per instance, for batch tasks, in MB
	prefix            string // of the names of instances, such as m in m03
	workspaces        []string
	contract          string
	class             string   // class of the requests
	baseRate          float64  // requests per second at the lowest load
	peakRate          float64  // requests per second added to baseRate at the highest load
	medianServiceTime float64  // median service time of a request, in ms
	jobs              []string // lines of the trace
	expected          []string // class and minimum share of its work that must be delivered
}

// deployments holds the deployments by name.
var deployments = map[string]deployment{
	"mkutano": {
		domains: []string{"nairobi-a", "nairobi-b", "mombasa-a"}, entries: 2, instances: 11, instancesPerRack: 3,
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
		class: "preview", baseRate: 30, peakRate: 90, medianServiceTime: 25,
		jobs: []string{
			"job 0.800 rebrand kilele tasks=30 cpu=8 memory=4000 runtime=900ms idempotent=false",
			"job 1.000 assets pwani tasks=4 cpu=2 memory=1000 runtime=5s",
			"job 4.500 rebrand ziwa tasks=24 cpu=10 memory=6000 runtime=1.1s",
			"job 8.000 rebrand savanna tasks=16 cpu=6 memory=4000 runtime=700ms idempotent=false",
		},
		expected: []string{"preview 0.95", "rebrand 0.9", "assets 0.75"},
	},
	"lechtal": {
		domains: []string{"lechtal-a", "fuessen-a", "weilheim-a"}, entries: 2, instances: 11, instancesPerRack: 3,
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
		class: "proof", baseRate: 15, peakRate: 45, medianServiceTime: 45,
		jobs: []string{
			"job 0.500 loom printing tasks=6 cpu=2 memory=2000 runtime=6s",
			"job 1.000 separation chain tasks=60 cpu=12 memory=8000 runtime=800ms idempotent=false",
			"job 3.000 separation printing tasks=60 cpu=12 memory=8000 runtime=900ms idempotent=false",
			"job 6.000 separation chain tasks=60 cpu=12 memory=8000 runtime=700ms idempotent=false",
		},
		expected: []string{"proof 0.95", "separation 0.9", "loom 0.75"},
	},
}

// faultEvents holds the failure events of each scenario. %s stands for the prefix of instance names.
var faultEvents = map[string][]string{
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

// noisyJobs holds, for each deployment, the additional batch job of the scenario noisy: 16 tasks
// that together use a third of the processors of all instances for 4 s.
var noisyJobs = map[string]string{
	"mkutano": "job 3.000 rebrand pwani tasks=16 cpu=7 memory=2000 runtime=4s",
	"lechtal": "job 3.000 separation chain tasks=16 cpu=15 memory=4000 runtime=4s",
}

// Generate writes a generated trace of the named deployment (mkutano or lechtal). The scenario is
// calm, bad, quiet, slow, domain or noisy; loadFactor is a multiple of the assumed request rate and
// must be over 0. The same arguments give the same trace.
func Generate(w io.Writer, name, scenario string, loadFactor float64, seed uint64) error {
	spec, ok := deployments[name]
	if !ok {
		return errors.Newf("there is no setting %q: the settings are mkutano and lechtal", name)
	}
	events, ok := faultEvents[scenario]
	if !ok {
		return errors.Newf("there is no weather %q: the choices are %s", scenario, strings.Join(slices.Sorted(maps.Keys(faultEvents)), ", "))
	}
	if loadFactor <= 0 {
		return errors.Newf("load must be over 0, not %g", loadFactor)
	}
	spec.baseRate, spec.peakRate = spec.baseRate*loadFactor, spec.peakRate*loadFactor
	var text strings.Builder
	spec.writeHeader(&text, name, scenario, loadFactor, seed)
	spec.writeRequests(&text, rand.New(rand.NewPCG(seed, uint64(len(name)))))
	for _, line := range spec.jobs {
		fmt.Fprintln(&text, line)
	}
	if scenario == "noisy" {
		fmt.Fprintln(&text, noisyJobs[name])
	}
	for _, line := range events {
		fmt.Fprintln(&text, strings.ReplaceAll(line, "%s", spec.prefix))
	}
	fmt.Fprintf(&text, "target 6.000 %s latency=%s\n", spec.class, map[string]string{"mkutano": "120ms", "lechtal": "250ms"}[name])
	for _, line := range spec.expected {
		class, share, _ := strings.Cut(line, " ")
		fmt.Fprintf(&text, "expect %s share %s\n", class, share)
	}
	_, err := io.WriteString(w, text.String())
	return errors.Wrap(err, "write trace")
}

// writeHeader writes the lines before the events: notes, contract, entries and instances.
func (s deployment) writeHeader(text *strings.Builder, name, scenario string, loadFactor float64, seed uint64) {
	fmt.Fprintf(text, "setting %s\n", name)
	flags := fmt.Sprintf("--setting %s --weather %s --seed %d", name, scenario, seed)
	if loadFactor != 1 {
		flags += fmt.Sprintf(" --load %g", loadFactor)
	}
	fmt.Fprintf(text, "note made by 'apricotwind trace %s'; one second stands for two hours\n", flags)
	fmt.Fprintf(text, "note sizes are the site's own; load (%g to %g requests/s) and service times (median %g ms, lognormal) are assumed\n",
		s.baseRate, s.baseRate+s.peakRate, s.medianServiceTime)
	fmt.Fprintf(text, "contract\n")
	for line := range strings.Lines(s.contract) {
		fmt.Fprintf(text, "  %s", line)
	}
	fmt.Fprintf(text, "end\n")
	for i := range s.entries {
		fmt.Fprintf(text, "entry e%d %s\n", i+1, s.domains[i%len(s.domains)])
	}
	for i := range s.instances {
		fmt.Fprintf(text, "instance %s%02d %s r%d 8 64 %d %d 0\n", s.prefix, i+1, s.domains[(i/s.instancesPerRack)%len(s.domains)], i/s.instancesPerRack+1, s.processors, s.memory)
	}
}

// logStdDev is the standard deviation of the logarithm of service times, which are lognormal.
const logStdDev = 0.5

// writeRequests writes the requests: a Poisson process whose rate rises from baseRate to
// baseRate plus peakRate in the middle of the trace and falls again, as the square of a sine.
func (s deployment) writeRequests(text *strings.Builder, random *rand.Rand) {
	for at := 0.0; ; {
		phase := math.Sin(math.Pi * at / traceSeconds)
		rate := s.baseRate + s.peakRate*phase*phase
		at += random.ExpFloat64() / rate
		if at >= traceSeconds {
			return
		}
		serviceTime := s.medianServiceTime * math.Exp(logStdDev*random.NormFloat64())
		workspace := s.workspaces[random.IntN(len(s.workspaces))]
		fmt.Fprintf(text, "r %.3f %s %s %.1f\n", at, s.class, workspace, serviceTime)
	}
}
