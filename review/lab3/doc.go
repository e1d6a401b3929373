//go:build review

// Command lab3 plays the scripted cases of the third review. It starts the entries and agents of the
// deploy file as processes on loopback addresses, with stand-ins of the store, the workers and the
// clients in this process, plays one case and checks one rule. It exits with 1 if the rule was broken,
// with 0 if it held, and with 2 if the case could not run.
package main
