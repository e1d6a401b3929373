//go:build review

// Command lab2 plays the scripted cases of the second review. It starts the project's own programs
// as separate processes on loopback addresses, with the commands and the templates of the deploy
// file, and stands in for the platform, the workers and the clients. A case writes what was sent,
// answered and run to a record, and ends with 1 if the rule was broken, 0 if it held and 2 if it
// could not run.
package main
