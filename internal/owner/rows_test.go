package owner

import (
	"testing"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
)

func cell(key, value string, version uint64) table.Cell {
	return table.Cell{Place: jobPlace(key, ""), Value: []byte(value), Version: version}
}

func TestReadJob(t *testing.T) {
	job := cell("j/job", `{"id":"j","steps":[{"count":1,"need":{}}]}`, 1)
	cases := []struct {
		name  string
		rows  []table.Cell
		known bool
		state dispatch.State
		fails bool
	}{
		{"nothing", nil, false, 0, false},
		{"accepted", []table.Cell{job}, true, dispatch.Queued, false},
		{"at work", []table.Cell{job, cell("j/progress", `{"occ":[{"done":["1"]}]}`, 2)}, true, dispatch.Running, false},
		{"cancelled", []table.Cell{job, cell("j/cancel", `{}`, 3)}, true, dispatch.Cancelled, false},
		{"completed before the cancellation", []table.Cell{job, cell("j/cancel", `{}`, 3), cell("j/progress", `{"state":2}`, 4)}, true, dispatch.Completed, false},
		{"a cancellation of no job", []table.Cell{cell("j/cancel", `{}`, 3)}, false, 0, false},
		{"another writer's row", []table.Cell{cell("j/job", `"\u0000`, 1)}, false, 0, true},
		{"another job", []table.Cell{cell("k/job", `{"id":"k"}`, 1)}, false, 0, false},
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
	claim, err := ReadHolder(table.Cell{Value: []byte(`{"epoch":3,"name":"e1","address":"a"}`), Version: 17})
	if err != nil || claim.OwnerVersion != 17 || claim.Epoch != 3 {
		t.Errorf("a claim's own row: %+v, %v", claim, err)
	}
	alive, err := ReadHolder(table.Cell{Value: []byte(`{"epoch":3,"name":"e1","under":17,"beat":4}`), Version: 30})
	if err != nil || alive.OwnerVersion != 17 {
		t.Errorf("a later alive row: %+v, %v", alive, err)
	}
	if _, err := ReadHolder(table.Cell{Value: []byte(`nonsense`)}); err == nil {
		t.Error("nonsense is read")
	}
}

// A job is accepted only if there is none of its ID and the owner is the one it names.
func TestAcceptConflict(t *testing.T) {
	job := dispatch.Job{ID: "j", Queue: "q", OwnerVersion: 17}
	known, under := AcceptConflict(job, []table.Cell{{Place: jobPlace("j", suffixJob)}, {Place: ownerPlace(), Version: 20}})
	if known != nil || under != 20 {
		t.Errorf("another owner: %+v, %d", known, under)
	}
	known, _ = AcceptConflict(job, []table.Cell{{Place: jobPlace("j", suffixJob), Value: []byte(`{"id":"j","queue":"first"}`), Version: 5}, {Place: ownerPlace(), Version: 17}})
	if known == nil || known.Queue != "first" {
		t.Errorf("accepted before: %+v", known)
	}
	known, _ = AcceptConflict(job, []table.Cell{{Place: jobPlace("j", suffixJob), Value: []byte(`?`), Version: 5}})
	if known == nil {
		t.Error("a row that can't be read is no job")
	}
}

func TestCountWaiting(t *testing.T) {
	rows := []table.Cell{
		cell("a/job", `{"id":"a","queue":"q"}`, 1), cell("b/job", `{"id":"b","queue":"q"}`, 2),
		cell("b/progress", `{"occ":[{}]}`, 3), cell("c/job", `{"id":"c","queue":"other"}`, 4),
		cell("d/job", `{"id":"d","queue":"q"}`, 5), cell("d/cancel", `{}`, 6),
	}
	if got := CountWaiting("q", rows); got != 1 {
		t.Errorf("%d jobs wait, want 1", got)
	}
}
