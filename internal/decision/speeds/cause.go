package speeds

//go:generate stringer -type=Cause -linecomment

// Cause is why an instance gets less work than its peers.
type Cause int

// The causes. Slow: its runs take longer than those of the same step elsewhere. Failing: runs of
// different jobs have failed there in a row. Shedding: it has refused starts in a row. Flapping: it
// has gone silent and come back several times.
const (
	None     Cause = iota // none
	Slow                  // slow
	Failing               // failing
	Shedding              // shedding
	Flapping              // flapping
)
