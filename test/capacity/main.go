// Command capacity reads the samples that the script measure prints, fits the cost per agent,
// and extrapolates it, with results of benchmarks, to the target size of a deployment. It
// compares the estimates with the budgets and prints a Markdown page. It measures nothing itself.
//
//	in:  150 0 agent 150 538.00 3228708 75480 -
//	out: | agent | processor | 3.6 ms/s | ...
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
)

// Target size of a deployment, and budgets of one node and of the platform.
const (
	targetWorkers         = 4000.0   // workers, with one agent each
	targetBatchTasks      = 84_000.0 // batch tasks that all shards hold together
	targetStartsPerSecond = 1600.0   // task starts per second at the peak
	cpuBudget             = 23.0     // processor time of one node in ms per second: 2.3 % of a core
	memoryBudget          = 256.0    // memory of one node in MB
	trafficBudget         = 3000.0   // control traffic of one node in bytes per second
	writeBudget           = 300.0    // commits per second, and also rows written per second: the lower end of several hundred
	readBudget            = 2000.0   // table reads per second
)

// Assumptions about a deployment of that size.
const (
	entryCount         = 40.0      // number of entries
	shardCount         = 40.0      // number of shards, each with one owner
	linksPerAgent      = 5.0       // links per agent: to four entries and to the owner of its shard
	heartbeatOverhead  = 180.0     // TCP/IP bytes of one heartbeat and its reply, about four segments
	commitsPerShard    = 1 / 0.150 // commits per second of one shard under load: one in 150 ms
	tasksPerChunk      = 20.0      // tasks whose states share one stored row
	nsPerStart         = 5399.0    // ns per task start, from benchmark Starts with 100 instances
	nsPerRecoveredTask = 1402.0    // ns per task that a new shard owner reads, from benchmark Recovery
)

// sample is one line that measure prints: the processes of one role in one deployment.
type sample struct {
	agents, tasksPerAgent, processes float64 // agents in the deployment, tasks per agent, processes of the role
	cpu, residentMemory, linkBytes   float64 // of all these processes: ms per second, KB, bytes per second
	reads, commits                   float64 // table operations per second, for the platform only
}

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "capacity: %v\n", err)
		os.Exit(1)
	}
}

// run reads samples and writes the page.
func run(in io.Reader, out io.Writer) error {
	byRole, lines, err := read(in)
	if err != nil {
		return err
	}
	w := &errWriter{out: out}
	w.line("# Measured")
	w.line("")
	w.line("Made by `make capacity`; see test/capacity. Two entries on one machine, agents linked to both.")
	w.line("")
	w.line("```text")
	w.line("agents tasks/agent role processes cpu(ms/s) rss(KB) link(bytes/s) table(reads/commits a second)")
	for _, line := range lines {
		w.line("%s", line)
	}
	w.line("```")
	w.line("")
	writeEstimates(w, byRole)
	return w.err
}

// read returns the samples by role, and the lines as they were read. A field "-" counts as 0.
func read(in io.Reader) (map[string][]sample, []string, error) {
	byRole := map[string][]sample{}
	var lines []string
	scanner := bufio.NewScanner(in)
	for scanner.Scan() {
		fields := strings.Fields(strings.ReplaceAll(scanner.Text(), "-", "0"))
		if len(fields) != 8 {
			return nil, nil, errors.Newf("line %q does not have 8 fields", scanner.Text())
		}
		lines = append(lines, scanner.Text())
		var s sample
		numbers := strings.Join([]string{fields[0], fields[1], fields[3], fields[4], fields[5], fields[6]}, " ")
		if _, err := fmt.Sscan(numbers, &s.agents, &s.tasksPerAgent, &s.processes, &s.cpu, &s.residentMemory, &s.linkBytes); err != nil {
			return nil, nil, errors.Wrapf(err, "line %q", scanner.Text())
		}
		if _, err := fmt.Sscanf(fields[7], "%f/%f", &s.reads, &s.commits); err != nil && fields[7] != "0" {
			return nil, nil, errors.Wrapf(err, "line %q", scanner.Text())
		}
		byRole[fields[2]] = append(byRole[fields[2]], s)
	}
	return byRole, lines, errors.Wrap(scanner.Err(), "read measurements")
}

// fitLine fits value = base + perAgent * agents by least squares over the samples without tasks.
func fitLine(samples []sample, value func(sample) float64) (base, perAgent float64) {
	var n, sx, sy, sxx, sxy float64
	for _, s := range samples {
		if s.tasksPerAgent > 0 {
			continue
		}
		x, y := s.agents, value(s)
		n, sx, sy, sxx, sxy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	perAgent = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return (sy - perAgent*sx) / n, perAgent
}

// estimate is one row of the table: an extrapolated value and its budget, both in unit. A budget
// of 0 means that there is none. formula says how value is calculated, and remedy which change
// would bring it within the budget.
type estimate struct {
	role, quantity  string
	value           float64
	unit            string
	budget          float64
	formula, remedy string
}

// writeEstimates writes the fitted costs, the table of estimates and, for each budget that is
// exceeded, the change that would meet it.
func writeEstimates(w *errWriter, byRole map[string][]sample) {
	entryCPUBase, entryCPU := fitLine(byRole["entry"], func(s sample) float64 { return s.cpu / s.processes })
	entryRSSBase, entryRSS := fitLine(byRole["entry"], func(s sample) float64 { return s.residentMemory / 1024 / s.processes })
	_, linkBytes := fitLine(byRole["entry"], func(s sample) float64 { return s.linkBytes / s.processes })
	_, agentCPU := fitLine(byRole["agent"], func(s sample) float64 { return s.cpu })
	_, agentRSS := fitLine(byRole["agent"], func(s sample) float64 { return s.residentMemory / 1024 })
	// The first line is the deployment with the fewest agents: table operations at rest.
	reads, commits := byRole["platform"][0].reads, byRole["platform"][0].commits

	// The measured agents had two links each.
	agentLinkCPU := agentCPU / 2
	bytesPerLink := linkBytes + heartbeatOverhead
	linksPerEntry := targetWorkers * linksPerAgent / entryCount
	// An owned shard at rest reads the table 2 times and commits 0.5 times per second. Each of the two
	// entries does half of the other operations.
	readsPerEntry, commitsPerEntry := (reads-2)/2, (commits-0.5)/2

	w.line("Slopes: an entry spends %.2f ms/s and %.1f MB at rest, and %.3f ms/s, %.3f MB and %.0f bytes/s", entryCPUBase, entryRSSBase, entryCPU, entryRSS, linkBytes)
	w.line("(without TCP/IP) for each link; an agent with two links spends %.2f ms/s and %.1f MB. The table", agentCPU, agentRSS)
	w.line("answers %.1f reads and %.2f commits a second for an entry, 2 and 0.5 for an owned shard.", readsPerEntry, commitsPerEntry)
	w.line("")
	w.line("At the size aimed at: %.0f agents with %.0f links each, %.0f entries, %.0f shards (%.0f links an entry).", targetWorkers, linksPerAgent, entryCount, shardCount, linksPerEntry)
	w.line("")
	startCommits := min(shardCount*commitsPerShard, targetStartsPerSecond)
	// Shards at rest: 2 reads and 0.5 commits per second each. In the rows at the peak, 1.25 is the
	// number of rows written for tasksPerChunk starts: benchmark Starts writes 0.0625 rows per start.
	estimates := []estimate{
		{"agent", "processor", agentLinkCPU * linksPerAgent, "ms/s", cpuBudget, "slope of agents x 5 links / 2", ""},
		{"agent", "memory", agentRSS, "MB", memoryBudget, "slope of agents", ""},
		{"agent", "control bytes", bytesPerLink * linksPerAgent, "B/s", trafficBudget, "(link bytes + 180) x 5", ""},
		{"entry", "processor", entryCPUBase + entryCPU*linksPerEntry, "ms/s", cpuBudget, "base + slope x links", "beats on quiet links every 10 s instead of 1 s, and owners on agents"},
		{"entry", "memory", entryRSSBase + entryRSS*linksPerEntry, "MB", memoryBudget, "base + slope x links", ""},
		{"entry", "control bytes", bytesPerLink * linksPerEntry, "B/s", trafficBudget, "(link bytes + 180) x links", "the same, and 200 entries: 100 links x 39 B/s"},
		{"shard owner", "placement", targetStartsPerSecond / shardCount * nsPerStart / 1e6, "ms/s", cpuBudget, "40 starts/s x ns/start of the benchmark", ""},
		{"shard owner", "taking over a shard", targetBatchTasks / shardCount * nsPerRecoveredTask / 1e6, "ms", 0, "2,100 tasks x ns/task of the benchmark", ""},
		{"platform", "reads", entryCount*readsPerEntry + shardCount*2, "/s", readBudget, "per entry and per shard", ""},
		{"platform", "commits at rest", entryCount*commitsPerEntry + shardCount*0.5, "/s", writeBudget, "per entry and per shard", ""},
		{"platform", "commits at the peak", entryCount*commitsPerEntry + shardCount*0.5 + startCommits, "/s", writeBudget, "+ one commit in 150 ms a shard", "fewer, larger shards or 300 ms between commits"},
		{"platform", "rows at the peak, starts alone", targetStartsPerSecond / tasksPerChunk * 1.25, "/s", writeBudget, "0.0625 rows a start in the benchmark", ""},
		{"platform", "rows at the peak, ends one by one", targetStartsPerSecond, "/s", writeBudget, "worst case: each end writes its chunk alone", "ends wait up to 5 s for others of their chunk"},
	}
	w.line("| role | what | worked out | budget | met | from |")
	w.line("| --- | --- | --- | --- | --- | --- |")
	for _, e := range estimates {
		w.line("| %s | %s | %.1f %s | %s | %s | %s |", e.role, e.quantity, e.value, e.unit, budgetText(e), withinBudget(e), e.formula)
	}
	w.line("")
	w.line("What would meet the budgets that are not met:")
	w.line("")
	for _, e := range estimates {
		if e.remedy != "" && e.value > e.budget {
			w.line("- %s, %s: %s", e.role, e.quantity, e.remedy)
		}
	}
}

// budgetText returns the budget with its unit for the table.
func budgetText(e estimate) string {
	if e.budget == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f %s", e.budget, e.unit)
}

// withinBudget reports in words whether an estimate is within its budget.
func withinBudget(e estimate) string {
	switch {
	case e.budget == 0:
		return "-"
	case e.value <= e.budget:
		return "yes"
	}
	return "**no**"
}

// errWriter writes lines and keeps the first error in err; after it, writes do nothing.
type errWriter struct {
	out io.Writer
	err error
}

func (w *errWriter) line(format string, arguments ...any) {
	if w.err == nil {
		_, w.err = fmt.Fprintf(w.out, format+"\n", arguments...)
	}
}
