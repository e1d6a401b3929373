// Package evacuation tracks which failure domains are evacuated: nothing new starts on their
// instances until the request is taken back. The requests are rows of a table, and a process learns
// of them from reads, from watches and from other processes, in any order. The package keeps the
// latest of what it has learned. It leaves to others what follows from that.
package evacuation

import "slices"

// Mark is what is known of one failure domain.
type Mark struct {
	Evacuated bool   `json:"evacuated"`
	Revision  uint64 `json:"revision"` // the highest revision of the table at which it is known
}

// State is what a process knows of all failure domains. A domain without a mark was not evacuated
// at revision Read of the table. A State is immutable.
type State struct {
	Read  uint64          `json:"read"` // revision of the last read of all requests
	Marks map[string]Mark `json:"marks,omitempty"`
}

// Of returns what is known of a domain.
func (s State) Of(domain string) Mark {
	if mark, known := s.Marks[domain]; known {
		return mark
	}
	return Mark{Revision: s.Read}
}

// Domains returns the evacuated domains, sorted.
func (s State) Domains() []string {
	var domains []string
	for domain, mark := range s.Marks {
		if mark.Evacuated {
			domains = append(domains, domain)
		}
	}
	slices.Sort(domains)
	return domains
}

// merge returns the later knowledge of each domain. Where both are as late, that of s counts.
func (s State) merge(other State) State {
	merged := State{Read: max(s.Read, other.Read), Marks: map[string]Mark{}}
	add := func(domain string) {
		mark := s.Of(domain)
		if theirs := other.Of(domain); theirs.Revision > mark.Revision {
			mark = theirs
		}
		if mark.Evacuated || mark.Revision > merged.Read {
			merged.Marks[domain] = mark
		}
	}
	for domain := range s.Marks {
		add(domain)
	}
	for domain := range other.Marks {
		add(domain)
	}
	return merged
}
