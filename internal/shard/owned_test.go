package shard

import (
	"testing"

	"github.com/apricotwind/apricotwind/internal/decision/placement"
	"github.com/apricotwind/apricotwind/internal/record"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
)

// A commit has no effect once another entry has claimed the shard, since that writes the epoch row,
// nor on a chunk that has changed since this entry wrote it.
func TestACommitHoldsForItsEpochOnly(t *testing.T) {
	m := &Manager{name: "e0"}
	shard := &ownedShard{epochRevision: 41}
	chunk := placement.Chunk{Job: "j", Tasks: []placement.Task{{State: placement.Placed}}}
	conditions, _, err := m.buildCommit(3, shard, []placement.Change{{Chunk: chunk, Revision: 7}})
	if err != nil {
		t.Fatal(err)
	}
	want := map[string]uint64{record.EpochKey(3): 41, record.ChunkPrefix + chunk.Key(): 7}
	for key, revision := range want {
		if !contains(conditions, table.Condition{Key: key, Revision: revision}) {
			t.Errorf("no condition on row %s at revision %d: %v", key, revision, conditions)
		}
	}
}

func contains(conditions []table.Condition, wanted table.Condition) bool {
	for _, condition := range conditions {
		if condition == wanted {
			return true
		}
	}
	return false
}
