package dispatch

import (
	"maps"
	"math/big"
	"slices"
)

// Progress is what is stored of a job in addition to the accepted job itself: its state, and
// the tasks that are done, have failed, are suspected of a crash or have a checkpoint. Starts are
// not part of it: instances report what they run, and StoredStarts lists what is under way.
type Progress struct {
	State       State         `json:"state,omitempty"` // final state, or Queued while the job is unfinished
	Occurrences []*Occurrence `json:"occ,omitempty"`   // by occurrence number, from Completed on; nil where nothing is stored
	// Completed is the number of occurrences that are done and left out of Occurrences.
	Completed int `json:"past,omitempty"`
}

// Occurrence is the progress of one pass through the steps of a job.
type Occurrence struct {
	// Done is, for each step, a bitmap of the tasks that are done, in hexadecimal.
	Done []string `json:"done,omitempty"`
	// Failed maps step.index of each unfinished task to its failed runs.
	Failed map[string][]int64 `json:"failed,omitempty"`
	// Crashed maps step.index of each unfinished task to the crashes held against it.
	Crashed map[string]Crashes `json:"crashed,omitempty"`
	// Checkpoints maps step.index of each unfinished task that is not placed to its latest
	// checkpoint.
	Checkpoints map[string]string `json:"saved,omitempty"`

	complete bool // all tasks are done
}

// Compact leaves out the first occurrences, as far as they are done. Earlier versions cannot read the
// result, so it is for progress that cannot be stored otherwise.
func (p *Progress) Compact() {
	past := slices.IndexFunc(p.Occurrences, func(o *Occurrence) bool { return o == nil || !o.complete })
	if past < 0 {
		past = len(p.Occurrences)
	}
	p.Completed += past
	p.Occurrences = p.Occurrences[past:]
}

// DropCheckpoints leaves out checkpoints until the encoded progress is shorter by size bytes at least,
// or has none. It returns how many it has left out.
func (p *Progress) DropCheckpoints(size int) int {
	dropped := 0
	for _, o := range p.Occurrences {
		if o == nil {
			continue
		}
		for _, key := range slices.Sorted(maps.Keys(o.Checkpoints)) {
			if size <= 0 {
				return dropped
			}
			size -= len(key) + len(o.Checkpoints[key]) // the encoding is longer
			delete(o.Checkpoints, key)
			dropped++
		}
	}
	return dropped
}

// formatBits encodes a bitmap in hexadecimal: the set {0, 2} is "5", the empty set "".
func formatBits(set *big.Int) string {
	if set.BitLen() == 0 {
		return ""
	}
	return set.Text(16)
}

// parseBits decodes the result of formatBits; ok is false for other input.
func parseBits(text string) (set *big.Int, ok bool) {
	set = new(big.Int)
	if text == "" {
		return set, true
	}
	return set.SetString(text, 16)
}
