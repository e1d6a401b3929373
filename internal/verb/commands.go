package verb

import (
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// verbs returns all verbs in the order in which the help lists them.
func verbs() []Verb {
	return []Verb{
		demoVerb(),
		entryVerb(),
		agentVerb(),
		platformEntryVerb(),
		platformAgentVerb(),
		standinPlatformVerb(),
		standinUpstreamVerb(),
		targetGetVerb(),
		targetSetVerb(),
		targetStatusVerb(),
		targetHistoryVerb(),
		domainEvacuateVerb(),
		domainRestoreVerb(),
		domainStatusVerb(),
		jobSubmitVerb(),
		jobStatusVerb(),
		jobListVerb(),
		jobCancelVerb(),
		explainVerb(),
		reportVerb(),
		replayVerb(),
		experimentVerb(),
		traceVerb(),
		loadVerb(),
		settingsCheckVerb(),
		versionVerb(),
		helpVerb(),
	}
}

// writeOverview prints the list of verbs.
func writeOverview(w io.Writer) {
	fmt.Fprintf(w, "%s schedules latency-critical and batch work on one pool of instances.\n\nUsage: %s VERB [flags] [arguments]\n\nVerbs:\n", programName, programName)
	columns := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, verb := range verbs() {
		fmt.Fprintf(columns, "  %s\t%s\n", verb.Name, verb.Short)
	}
	// An error means that the output is closed, so there is nowhere to report it.
	_ = columns.Flush()
	fmt.Fprintf(w, "\n'%s help VERB' or '%s VERB --help' shows a verb with examples.\n", programName, programName)
}

// writeHelp prints the usage, description and flags of a verb.
func writeHelp(w io.Writer, verb Verb) {
	usage := []string{programName, verb.Name}
	flags := flag.NewFlagSet(verb.Name, flag.ContinueOnError)
	verb.Setup(flags)
	hasFlags := false
	flags.VisitAll(func(*flag.Flag) { hasFlags = true })
	if hasFlags {
		usage = append(usage, "[flags]")
	}
	if verb.Takes != "" {
		usage = append(usage, verb.Takes)
	}
	fmt.Fprintf(w, "Usage: %s\n\n%s\n", strings.Join(usage, " "), strings.TrimSpace(verb.Long))
	if !hasFlags {
		return
	}
	fmt.Fprintf(w, "\nFlags (also APRICOTWIND_* variables and keys of the --settings file):\n")
	flags.VisitAll(func(f *flag.Flag) { writeFlag(w, f) })
}

func writeFlag(w io.Writer, f *flag.Flag) {
	kind, usage := flag.UnquoteUsage(f)
	fmt.Fprintf(w, "  --%s %s\n        %s", f.Name, kind, usage)
	if f.DefValue != "" && f.DefValue != "0" && f.DefValue != "0s" && f.DefValue != "false" {
		fmt.Fprintf(w, " (default %s)", f.DefValue)
	}
	fmt.Fprintln(w)
}
