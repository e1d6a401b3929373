package owner

import (
	"testing"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
)

func newRecord(key, value string, revision uint64) table.Record {
	return table.Record{RowKey: jobRowKey(key, ""), Value: []byte(value), Revision: revision}
}

func TestReadJob(t *testing.T) {
	job := newRecord("j/job", `{"id":"j","steps":[{"count":1,"need":{}}]}`, 1)
	cases := []struct {
		name  string
		rows  []table.Record
		known bool
		state dispatch.State
		fails bool
	}{
		{"nothing", nil, false, 0, false},
		{"accepted", []table.Record{job}, true, dispatch.Queued, false},
		{"at work", []table.Record{job, newRecord("j/progress", `{"occ":[{"done":["1"]}]}`, 2)}, true, dispatch.Running, false},
		{"cancelled", []table.Record{job, newRecord("j/cancel", `{}`, 3)}, true, dispatch.Cancelled, false},
		{"completed before the cancellation", []table.Record{job, newRecord("j/cancel", `{}`, 3), newRecord("j/progress", `{"state":2}`, 4)}, true, dispatch.Completed, false},
		{"a cancellation of no job", []table.Record{newRecord("j/cancel", `{}`, 3)}, false, 0, false},
		{"a tombstone", []table.Record{newRecord("j/job", `{"id":"j","tombstone":true}`, 1)}, false, 0, false},
		{"another writer's row", []table.Record{newRecord("j/job", `"\u0000`, 1)}, false, 0, true},
		{"another job", []table.Record{newRecord("k/job", `{"id":"k"}`, 1)}, false, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := ReadJob("j", c.rows)
			if got.Known != c.known || got.State != c.state || (err != nil) != c.fails {
				t.Errorf("got %+v, %v", got, err)
			}
		})
	}
}

func TestReadHolder(t *testing.T) {
	claim, err := ReadHolder(table.Record{Value: []byte(`{"epoch":3,"name":"e1","address":"a"}`), Revision: 17})
	if err != nil || claim.OwnerRevision != 17 || claim.Epoch != 3 {
		t.Errorf("row written by a claim: %+v, %v", claim, err)
	}
	alive, err := ReadHolder(table.Record{Value: []byte(`{"epoch":3,"name":"e1","under":17,"beat":4}`), Revision: 30})
	if err != nil || alive.OwnerRevision != 17 {
		t.Errorf("alive row written later in the term: %+v, %v", alive, err)
	}
	if _, err := ReadHolder(table.Record{Value: []byte(`nonsense`)}); err == nil {
		t.Error("invalid JSON is decoded without an error")
	}
}

// A job is inserted only if no job has its ID and the owner is the one that the job names.
func TestReadInsertConflict(t *testing.T) {
	job := dispatch.Job{ID: "j", Queue: "q", OwnerRevision: 17}
	conflict := ReadInsertConflict(job, []table.Record{{RowKey: jobRowKey("j", suffixJob)}, {RowKey: ownerRowKey(), Revision: 20}})
	if conflict.Stored != nil || conflict.Tombstone || conflict.OwnerRevision != 20 {
		t.Errorf("owner has changed: %+v", conflict)
	}
	conflict = ReadInsertConflict(job, []table.Record{{RowKey: jobRowKey("j", suffixJob), Value: []byte(`{"id":"j","queue":"first"}`), Revision: 5}, {RowKey: ownerRowKey(), Revision: 17}})
	if conflict.Stored == nil || conflict.Stored.Queue != "first" || conflict.Tombstone {
		t.Errorf("job is stored already: got %+v", conflict)
	}
	conflict = ReadInsertConflict(job, []table.Record{{RowKey: jobRowKey("j", suffixJob), Value: []byte(`{"id":"j","tombstone":true}`), Revision: 5}, {RowKey: ownerRowKey(), Revision: 17}})
	if conflict.Stored != nil || !conflict.Tombstone {
		t.Errorf("job was cancelled before: got %+v", conflict)
	}
	conflict = ReadInsertConflict(job, []table.Record{{RowKey: jobRowKey("j", suffixJob), Value: []byte(`?`), Revision: 5}})
	if conflict.Stored == nil {
		t.Error("a row that cannot be decoded is taken for a free job ID")
	}
}

func TestCountBacklog(t *testing.T) {
	rows := []table.Record{
		newRecord("a/job", `{"id":"a","queue":"q"}`, 1), newRecord("b/job", `{"id":"b","queue":"q"}`, 2),
		newRecord("b/progress", `{"occ":[{}]}`, 3), newRecord("c/job", `{"id":"c","queue":"other"}`, 4),
		newRecord("d/job", `{"id":"d","queue":"q"}`, 5), newRecord("d/cancel", `{}`, 6),
	}
	if got := CountBacklog("q", rows); got != 1 {
		t.Errorf("backlog of %d jobs, want 1", got)
	}
}
