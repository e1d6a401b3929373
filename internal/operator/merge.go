package operator

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// merge combines the versions that several entries report for the nodes. The highest
// version reported for a node is the one in force there, since no node ever returns to
// an older version.
type merge struct{ nodes map[string]NodeVersion }

func newMerge() merge { return merge{nodes: map[string]NodeVersion{}} }

func (m merge) add(nodes []NodeVersion) {
	for _, node := range nodes {
		key := node.Role + " " + node.Node
		known, ok := m.nodes[key]
		if !ok || known.Version < node.Version {
			m.nodes[key] = node
		}
	}
}

// list returns the nodes, entries before agents, each ordered by name.
func (m merge) list() []NodeVersion {
	list := make([]NodeVersion, 0, len(m.nodes))
	for _, node := range m.nodes {
		list = append(list, node)
	}
	slices.SortFunc(list, func(a, b NodeVersion) int {
		return cmp.Or(-strings.Compare(a.Role, b.Role), strings.Compare(a.Node, b.Node))
	})
	return list
}

func itoa(n uint64) string { return strconv.FormatUint(n, 10) }
