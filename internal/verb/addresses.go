package verb

import (
	"flag"
	"fmt"
	"net/netip"
	"net/url"

	"github.com/apricotwind/apricotwind/pkg/document/schema"
)

// addressFlag is a flag that holds IP:port; host names are no addresses, because
// processes know each other by IP number.
type addressFlag string

// String is the address.
func (a *addressFlag) String() string { return string(*a) }

// Set checks and takes an address.
func (a *addressFlag) Set(text string) error {
	if _, err := netip.ParseAddrPort(text); err != nil {
		return fmt.Errorf("%q is no address such as 127.0.0.1:7100", text)
	}
	*a = addressFlag(text)
	return nil
}

func addressVar(flags *flag.FlagSet, name, preset, usage string) *addressFlag {
	a := addressFlag(preset)
	flags.Var(&a, name, usage)
	return &a
}

// urlFlag is a flag that holds a base URL.
type urlFlag string

// String is the URL.
func (u *urlFlag) String() string { return string(*u) }

// Set checks and takes a URL.
func (u *urlFlag) Set(text string) error {
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
		return fmt.Errorf("%q is no URL such as http://127.0.0.1:7000", text)
	}
	*u = urlFlag(text)
	return nil
}

func urlVar(flags *flag.FlagSet, name, preset, usage string) *urlFlag {
	u := urlFlag(preset)
	flags.Var(&u, name, usage)
	return &u
}

// required are the flags that must not be empty, by verb.
var required = map[string][]string{
	"entry":            {"name", "domain", "platform"},
	"agent":            {"name", "domain", "platform", "upstream"},
	"platform entry":   {"name", "domain", "store", "front", "ready", "link"},
	"platform agent":   {"name", "store", "control", "worker"},
	"standin upstream": {"name"},
	"standin-upstream": {"name"},
}

// checkValues names the required flags that are empty.
func checkValues(flags *flag.FlagSet) schema.Diagnostics {
	var problems schema.Diagnostics
	for _, name := range required[flags.Name()] {
		if flags.Lookup(name).Value.String() == "" {
			problems = append(problems, schema.Diagnostic{Line: 1, Key: name, Text: "is missing"})
		}
	}
	return problems
}

// requireValues is checkValues for a verb that is about to run.
func requireValues(flags *flag.FlagSet) error {
	for _, problem := range checkValues(flags) {
		return usagef("--%s (or its setting) is missing", problem.Key)
	}
	return nil
}

// checkLoopback refuses a URL whose host is not a loopback address.
func checkLoopback(target string) error {
	parsed, err := url.Parse(target)
	if err != nil {
		return usagef("%q is no URL", target)
	}
	address, err := netip.ParseAddr(parsed.Hostname())
	if err != nil || !address.IsLoopback() {
		return usagef("%q is no loopback address", target)
	}
	return nil
}
