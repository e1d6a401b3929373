// Package operator is the HTTP side towards operators.
package operator

import (
	"time"
)

// Proposal is a document that an operator wants in force. Base is the version the
// operator saw.
type Proposal struct {
	Base uint64 `json:"base"`
	Text string `json:"text"`
	By   string `json:"by"`
}

// Accepted tells the version a document was accepted as.
type Accepted struct {
	Version  uint64   `json:"version"`
	Warnings []string `json:"warnings,omitempty"`
}

// Document is the document in force.
type Document struct {
	Version uint64 `json:"version"`
	Text    string `json:"text"`
}

// NodeVersion is the version in force on one node; Why says why it is not known.
type NodeVersion struct {
	Node    string `json:"node"`
	Role    string `json:"role"`
	Version uint64 `json:"version"`
	Reason  string `json:"why,omitempty"`
}

// Status is the version accepted and the version in force on each node.
type Status struct {
	Version uint64        `json:"version"`
	Nodes   []NodeVersion `json:"nodes"`
}

// Laggards are the nodes on which version is not in force.
func (s Status) Laggards(version uint64) []NodeVersion {
	var late []NodeVersion
	for _, node := range s.Nodes {
		if node.Version < version {
			late = append(late, node)
		}
	}
	return late
}

// AcceptedVersion is one accepted version.
type AcceptedVersion struct {
	Version uint64    `json:"version"`
	By      string    `json:"by"`
	At      time.Time `json:"at"`
	Changes []string  `json:"changes"`
}
