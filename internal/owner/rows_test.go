package owner

import (
	"testing"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
)

func cell(key, value string, version uint64) table.Record {
	return table.Record{RowKey: jobPlace(key, ""), Value: []byte(value), Revision: version}
}

func TestReadJob(t *testing.T) {
	job := cell("j/job", `{"id":"j","steps":[{"count":1,"need":{}}]}`, 1)
	cases := []struct {
		name  string
		rows  []table.Record
		known bool
		state dispatch.State
		fails bool
	}{
		{"nothing", nil, false, 0, false},
		{"accepted", []table.Record{job}, true, dispatch.Queued, false},
		{"at work", []table.Record{job, cell("j/progress", `{"occ":[{"done":["1"]}]}`, 2)}, true, dispatch.Running, false},
		{"cancelled", []table.Record{job, cell("j/cancel", `{}`, 3)}, true, dispatch.Cancelled, false},
		{"completed before the cancellation", []table.Record{job, cell("j/cancel", `{}`, 3), cell("j/progress", `{"state":2}`, 4)}, true, dispatch.Completed, false},
		{"a cancellation of no job", []table.Record{cell("j/cancel", `{}`, 3)}, false, 0, false},
		{"another writer's row", []table.Record{cell("j/job", `"\u0000`, 1)}, false, 0, true},
		{"another job", []table.Record{cell("k/job", `{"id":"k"}`, 1)}, false, 0, false},
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
	if err != nil || claim.OwnerVersion != 17 || claim.Epoch != 3 {
		t.Errorf("a claim's own row: %+v, %v", claim, err)
	}
	alive, err := ReadHolder(table.Record{Value: []byte(`{"epoch":3,"name":"e1","under":17,"beat":4}`), Revision: 30})
	if err != nil || alive.OwnerVersion != 17 {
		t.Errorf("a later alive row: %+v, %v", alive, err)
	}
	if _, err := ReadHolder(table.Record{Value: []byte(`nonsense`)}); err == nil {
		t.Error("nonsense is read")
	}
}

// A job is accepted only if there is none of its ID and the owner is the one it names.
func TestAcceptConflict(t *testing.T) {
	job := dispatch.Job{ID: "j", Queue: "q", OwnerVersion: 17}
	known, under := ReadInsertConflict(job, []table.Record{{RowKey: jobPlace("j", suffixJob)}, {RowKey: ownerPlace(), Revision: 20}})
	if known != nil || under != 20 {
		t.Errorf("another owner: %+v, %d", known, under)
	}
	known, _ = ReadInsertConflict(job, []table.Record{{RowKey: jobPlace("j", suffixJob), Value: []byte(`{"id":"j","queue":"first"}`), Revision: 5}, {RowKey: ownerPlace(), Revision: 17}})
	if known == nil || known.Queue != "first" {
		t.Errorf("accepted before: %+v", known)
	}
	known, _ = ReadInsertConflict(job, []table.Record{{RowKey: jobPlace("j", suffixJob), Value: []byte(`?`), Revision: 5}})
	if known == nil {
		t.Error("a row that can't be read is no job")
	}
}

func TestCountWaiting(t *testing.T) {
	rows := []table.Record{
		cell("a/job", `{"id":"a","queue":"q"}`, 1), cell("b/job", `{"id":"b","queue":"q"}`, 2),
		cell("b/progress", `{"occ":[{}]}`, 3), cell("c/job", `{"id":"c","queue":"other"}`, 4),
		cell("d/job", `{"id":"d","queue":"q"}`, 5), cell("d/cancel", `{}`, 6),
	}
	if got := CountBacklog("q", rows); got != 1 {
		t.Errorf("%d jobs wait, want 1", got)
	}
}
