// Package operator is the HTTP API of an entry for operators: its server, its client
// and their messages. It reads and changes the configuration, the jobs and the reports
// through packages config, job and ledger.
package operator

import (
	"time"
)

// Proposal is a configuration document proposed by an operator. Base is the version
// that it replaces; By names the operator.
type Proposal struct {
	Base uint64 `json:"base"`
	Text string `json:"text"`
	By   string `json:"by"`
}

// Accepted is the response to a Proposal: the version of the accepted document, and
// warnings about quotas and latency targets that cannot be met.
type Accepted struct {
	Version  uint64   `json:"version"`
	Warnings []string `json:"warnings,omitempty"`
}

// Document is the configuration document in force.
type Document struct {
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

// NodeVersion is the version in force on one node. Reason states why it is not known;
// otherwise it is empty.
type NodeVersion struct {
	Node    string `json:"node"`
	Role    string `json:"role"`
	Version uint64 `json:"version"`
	Reason  string `json:"why,omitempty"`
}

// Status is the accepted version and the version in force on each node.
type Status struct {
	Version uint64        `json:"version"`
	Nodes   []NodeVersion `json:"nodes"`
}

// Laggards returns the nodes on which an older version than the given one is in force.
func (s Status) Laggards(version uint64) []NodeVersion {
	var lagging []NodeVersion
	for _, node := range s.Nodes {
		if node.Version < version {
			lagging = append(lagging, node)
		}
	}
	return lagging
}

// AcceptedVersion is one accepted version of the configuration: who proposed it, when it
// was accepted, and its changes from the version before.
type AcceptedVersion struct {
	Version uint64    `json:"version"`
	By      string    `json:"by"`
	At      time.Time `json:"at"`
	Changes []string  `json:"changes"`
}
