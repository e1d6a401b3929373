package owner

import (
	"testing"

	"github.com/apricotwind/apricotwind/pkg/platform/table"
)

// oddRow returns a row at revision 50, which is later than the owner's row in onTerm.
func oddRow(name, key, value string) table.Record {
	return table.Record{RowKey: table.RowKey{Table: name, Partition: shardPartition, Key: key}, Value: []byte(value), Revision: 50}
}

// An odd row of a job neither ends the term nor submits a job, and the rows beside it are read.
func TestAnOddJobRowDoesNotEndTheTerm(t *testing.T) {
	steps := `"policy":{"service":"s","attempts":1},"steps":[{"count":1,"need":{"cpu":100}}]}`
	for _, odd := range []string{
		`{"id":"j","under":18446744073709551615,` + steps, `{"id":"j","under":51,` + steps, `{"id":"other","under":9,` + steps, `null`, `7`, ``,
	} {
		onTerm(t, func(current *term, _ *Conn) {
			current.elector.term = current
			current.restore(persistedRows{jobs: []table.Record{
				oddRow(tableJobs, "j"+suffixJob, odd), oddRow(tableJobs, "k"+suffixJob, `{"id":"k","under":9,`+steps),
			}})
			if current.ended || current.scheduler.Active("other") || current.scheduler.Active("j") || !current.scheduler.Active("k") {
				t.Errorf("%s: term ended %v, the job beside it is known %v", odd, current.ended, current.scheduler.Active("k"))
			}
		})
	}
}
