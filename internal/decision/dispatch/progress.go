package dispatch

import (
	"math/big"
)

// Progress is what is kept of a job beside its acceptance: what has ended for good.
// Starts are not kept; instances list what runs.
type Progress struct {
	State       State         `json:"state,omitempty"`
	Occurrences []*Occurrence `json:"occ,omitempty"`
}

// Occurrence is the progress of one run through the steps.
type Occurrence struct {
	// Done has a bit for each task of a step that has ended as done, in hexadecimal.
	Done []string `json:"done,omitempty"`
	// Failed lists the runs of each task that ended as failed, by step.index.
	Failed map[string][]int64 `json:"failed,omitempty"`
	// Checkpoints is the last checkpoint of each task that does not run, by step.index.
	Checkpoints map[string]string `json:"saved,omitempty"`
}

// bitsText writes a set of numbers, such as {0, 2} as "5".
func bitsText(set *big.Int) string {
	if set.BitLen() == 0 {
		return ""
	}
	return set.Text(16)
}

// bitsOf reads what bitsText wrote; ok is false for anything else.
func bitsOf(text string) (set *big.Int, ok bool) {
	set = new(big.Int)
	if text == "" {
		return set, true
	}
	return set.SetString(text, 16)
}
