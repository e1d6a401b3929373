package verb

import (
	"flag"
	"net/netip"
	"net/url"

	"github.com/apricotwind/apricotwind/pkg/document/schema"
	"github.com/cockroachdb/errors"
)

// addressFlag is a flag that holds IP:port. It rejects host names, because processes identify
// each other by IP address.
type addressFlag string

// String returns the address.
func (a *addressFlag) String() string { return string(*a) }

// Set validates and stores an address.
func (a *addressFlag) Set(text string) error {
	if _, err := netip.ParseAddrPort(text); err != nil {
		return errors.New("it takes an IP address and port such as 127.0.0.1:7100")
	}
	*a = addressFlag(text)
	return nil
}

// addressVar defines a flag that holds an address.
func addressVar(flags *flag.FlagSet, name, defaultValue, usage string) *addressFlag {
	a := addressFlag(defaultValue)
	flags.Var(&a, name, usage)
	return &a
}

// urlFlag is a flag that holds a base URL.
type urlFlag string

// String returns the URL.
func (u *urlFlag) String() string { return string(*u) }

// Set validates and stores a URL. Its scheme must be http or https.
func (u *urlFlag) Set(text string) error {
	parsed, err := url.Parse(text)
	if err != nil || parsed.Host == "" || parsed.Scheme != "http" && parsed.Scheme != "https" {
		return errors.New("it takes an http or https URL such as http://127.0.0.1:7000")
	}
	*u = urlFlag(text)
	return nil
}

// urlVar defines a flag that holds a URL.
func urlVar(flags *flag.FlagSet, name, defaultValue, usage string) *urlFlag {
	u := urlFlag(defaultValue)
	flags.Var(&u, name, usage)
	return &u
}

// requiredFlags lists the flags that must not be empty, by the name of the flag set: a verb, or a
// role of settings check. Of the roles with a dash only standin-upstream is listed, so settings check
// does not check the required flags of platform-entry and platform-agent.
var requiredFlags = map[string][]string{
	"entry":            {"name", "domain", "platform"},
	"agent":            {"name", "domain", "platform", "upstream"},
	"platform entry":   {"name", "domain", "store", "front", "ready", "link"},
	"platform agent":   {"name", "store", "control", "worker"},
	"explain":          {"link"},
	"standin upstream": {"name"},
	"standin-upstream": {"name"},
}

// checkValues returns a diagnostic for each required flag that is empty.
func checkValues(flags *flag.FlagSet) schema.Diagnostics {
	var diagnostics schema.Diagnostics
	for _, name := range requiredFlags[flags.Name()] {
		if flags.Lookup(name).Value.String() == "" {
			diagnostics = append(diagnostics, schema.Diagnostic{Line: 1, Key: name, Text: "is missing"})
		}
	}
	return diagnostics
}

// requireValues returns a usage error for the first required flag that is empty.
func requireValues(flags *flag.FlagSet) error {
	for _, diagnostic := range checkValues(flags) {
		return usagef("--%s (or its setting) is missing", diagnostic.Key)
	}
	return nil
}

// checkLoopback returns a usage error if the host of a URL is not a loopback address.
func checkLoopback(target string) error {
	parsed, err := url.Parse(target)
	if err != nil {
		return usagef("%q is not a URL such as http://127.0.0.1:7100", target)
	}
	address, err := netip.ParseAddr(parsed.Hostname())
	if err != nil || !address.IsLoopback() {
		return usagef("%q is not a URL with a loopback IP address, such as http://127.0.0.1:7100", target)
	}
	return nil
}
