package operator

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// merge joins what several entries say of the nodes: the highest version heard of
// a node is the one in force there, since no node ever goes back.
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
