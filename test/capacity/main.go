// Command capacity turns the lines of measure and of the benchmarks into slopes, and
// works out the size that the users aim at.
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

// The size aimed at, and the budgets of a node.
const (
	workers       = 4000.0
	batchTasks    = 84_000.0
	startsASecond = 1600.0
	budgetCPU     = 23.0 // ms a second: 2.3 % of a core
	budgetMemory  = 256.0
	budgetBytes   = 3000.0 // a second
	budgetWrites  = 300.0  // a second: the lower end of several hundred
	budgetReads   = 2000.0
)

// What the deployment at that size is assumed to be.
const (
	entries       = 40.0
	shards        = 40.0
	linksAnAgent  = 5.0   // four entries and the owner of its shard
	beatOverhead  = 180.0 // bytes of TCP/IP for one beat and its answer, about four segments
	commitsAShard = 1 / 0.150
	chunkTasks    = 20.0
	nsAStart      = 5399.0 // benchmark Starts, 100 instances
	nsALoad       = 1402.0 // benchmark Recovery, a task
)

// sample is one line of measure, for one role.
type sample struct {
	agents, tasks, count float64
	cpu, rss, link       float64
	reads, commits       float64
}

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "capacity: %v\n", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	byRole, lines, err := read(in)
	if err != nil {
		return err
	}
	w := &writer{out: out}
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
	workOut(w, byRole)
	return w.err
}

func read(in io.Reader) (map[string][]sample, []string, error) {
	byRole := map[string][]sample{}
	var lines []string
	scanner := bufio.NewScanner(in)
	for scanner.Scan() {
		fields := strings.Fields(strings.ReplaceAll(scanner.Text(), "-", "0"))
		if len(fields) != 8 {
			return nil, nil, errors.Newf("line %q has not 8 fields", scanner.Text())
		}
		lines = append(lines, scanner.Text())
		var s sample
		numbers := strings.Join([]string{fields[0], fields[1], fields[3], fields[4], fields[5], fields[6]}, " ")
		if _, err := fmt.Sscan(numbers, &s.agents, &s.tasks, &s.count, &s.cpu, &s.rss, &s.link); err != nil {
			return nil, nil, errors.Wrapf(err, "line %q", scanner.Text())
		}
		if _, err := fmt.Sscanf(fields[7], "%f/%f", &s.reads, &s.commits); err != nil && fields[7] != "0" {
			return nil, nil, errors.Wrapf(err, "line %q", scanner.Text())
		}
		byRole[fields[2]] = append(byRole[fields[2]], s)
	}
	return byRole, lines, errors.Wrap(scanner.Err(), "read measurements")
}

// slope fits value = base + slope * agents by least squares over the quiet samples.
func slope(samples []sample, value func(sample) float64) (base, each float64) {
	var n, sx, sy, sxx, sxy float64
	for _, s := range samples {
		if s.tasks > 0 {
			continue
		}
		x, y := s.agents, value(s)
		n, sx, sy, sxx, sxy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	each = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return (sy - each*sx) / n, each
}

// figure is one worked-out number against its budget; 0 is no budget.
type figure struct {
	role, what   string
	value        float64
	unit         string
	budget       float64
	from, change string
}

func workOut(w *writer, byRole map[string][]sample) {
	entryCPUBase, entryCPU := slope(byRole["entry"], func(s sample) float64 { return s.cpu / s.count })
	entryRSSBase, entryRSS := slope(byRole["entry"], func(s sample) float64 { return s.rss / 1024 / s.count })
	_, linkBytes := slope(byRole["entry"], func(s sample) float64 { return s.link / s.count })
	_, agentCPU := slope(byRole["agent"], func(s sample) float64 { return s.cpu })
	_, agentRSS := slope(byRole["agent"], func(s sample) float64 { return s.rss / 1024 })
	reads, commits := byRole["platform"][0].reads, byRole["platform"][0].commits

	// The agents measured had two links each.
	agentLinkCPU := agentCPU / 2
	perLink := linkBytes + beatOverhead
	linksAnEntry := workers * linksAnAgent / entries
	perEntryReads, perEntryCommits := (reads-2)/2, (commits-0.5)/2

	w.line("Slopes: an entry spends %.2f ms/s and %.1f MB at rest, and %.3f ms/s, %.3f MB and %.0f bytes/s", entryCPUBase, entryRSSBase, entryCPU, entryRSS, linkBytes)
	w.line("(without TCP/IP) for each link; an agent with two links spends %.2f ms/s and %.1f MB. The table", agentCPU, agentRSS)
	w.line("answers %.1f reads and %.2f commits a second for an entry, 2 and 0.5 for an owned shard.", perEntryReads, perEntryCommits)
	w.line("")
	w.line("At the size aimed at: %.0f agents with %.0f links each, %.0f entries, %.0f shards (%.0f links an entry).", workers, linksAnAgent, entries, shards, linksAnEntry)
	w.line("")
	startCommits := min(shards*commitsAShard, startsASecond)
	figures := []figure{
		{"agent", "processor", agentLinkCPU * linksAnAgent, "ms/s", budgetCPU, "slope of agents x 5 links / 2", ""},
		{"agent", "memory", agentRSS, "MB", budgetMemory, "slope of agents", ""},
		{"agent", "control bytes", perLink * linksAnAgent, "B/s", budgetBytes, "(link bytes + 180) x 5", ""},
		{"entry", "processor", entryCPUBase + entryCPU*linksAnEntry, "ms/s", budgetCPU, "base + slope x links", "beats on quiet links every 10 s instead of 1 s, and owners on agents"},
		{"entry", "memory", entryRSSBase + entryRSS*linksAnEntry, "MB", budgetMemory, "base + slope x links", ""},
		{"entry", "control bytes", perLink * linksAnEntry, "B/s", budgetBytes, "(link bytes + 180) x links", "the same, and 200 entries: 100 links x 39 B/s"},
		{"shard owner", "placement", startsASecond / shards * nsAStart / 1e6, "ms/s", budgetCPU, "40 starts/s x ns/start of the benchmark", ""},
		{"shard owner", "taking over a shard", batchTasks / shards * nsALoad / 1e6, "ms", 0, "2,100 tasks x ns/task of the benchmark", ""},
		{"platform", "reads", entries*perEntryReads + shards*2, "/s", budgetReads, "per entry and per shard", ""},
		{"platform", "commits at rest", entries*perEntryCommits + shards*0.5, "/s", budgetWrites, "per entry and per shard", ""},
		{"platform", "commits at the peak", entries*perEntryCommits + shards*0.5 + startCommits, "/s", budgetWrites, "+ one commit in 150 ms a shard", "fewer, larger shards or 300 ms between commits"},
		{"platform", "rows at the peak, starts alone", startsASecond / chunkTasks * 1.25, "/s", budgetWrites, "0.0625 rows a start in the benchmark", ""},
		{"platform", "rows at the peak, ends one by one", startsASecond, "/s", budgetWrites, "worst case: each end writes its chunk alone", "ends wait up to 5 s for others of their chunk"},
	}
	w.line("| role | what | worked out | budget | met | from |")
	w.line("| --- | --- | --- | --- | --- | --- |")
	for _, f := range figures {
		w.line("| %s | %s | %.1f %s | %s | %s | %s |", f.role, f.what, f.value, f.unit, budgetText(f), met(f), f.from)
	}
	w.line("")
	w.line("What would meet the budgets that are not met:")
	w.line("")
	for _, f := range figures {
		if f.change != "" && f.value > f.budget {
			w.line("- %s, %s: %s", f.role, f.what, f.change)
		}
	}
}

func budgetText(f figure) string {
	if f.budget == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f %s", f.budget, f.unit)
}

func met(f figure) string {
	switch {
	case f.budget == 0:
		return "-"
	case f.value <= f.budget:
		return "yes"
	}
	return "**no**"
}

// writer keeps the first error of many writes.
type writer struct {
	out io.Writer
	err error
}

func (w *writer) line(format string, arguments ...any) {
	if w.err == nil {
		_, w.err = fmt.Fprintf(w.out, format+"\n", arguments...)
	}
}
