package owner

import (
	"encoding/json"
	"math"
	"testing"

	"github.com/apricotwind/apricotwind/internal/link"
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

// An odd row of an instance is none that a new owner waits for, and displaces no instance.
func TestAnOddInstanceRowIsNotWaitedFor(t *testing.T) {
	for _, odd := range []string{
		`{}`, `null`, `7`, `{"life":{"id":"w","born":1}}`, `{"life":{"id":"other"}}`,
		`{"life":{"id":"odd","born":9223372036854775807}}`, `{"life":{"id":"odd"},"capacity":{"cpu":9223372036854775807}}`,
		`{"life":{"id":"odd"},"capacity":{"mem":-1}}`,
	} {
		onTerm(t, func(current *term, _ *Conn) {
			current.restore(persistedRows{instances: []table.Record{
				oddRow(tableInstances, "odd", odd), oddRow(tableInstances, "true", `{"life":{"id":"true","born":7},"service":"s"}`),
			}})
			if waited := current.scheduler.Unconfirmed(); len(waited) != 1 || waited[0] != "true" {
				t.Errorf("%s: waits for %v, want [true]", odd, waited)
			}
		})
	}
}

// The owner does not attach an instance with a registration that cannot be used.
func TestAnOddRegistrationIsNotAttached(t *testing.T) {
	for _, odd := range []string{
		`{}`, `{"offer":{"life":{"id":"odd","born":9223372036854775807},"service":"s"}}`,
		`{"offer":{"life":{"id":"odd"},"service":"s","capacity":{"cpu":9223372036854775807}}}`,
	} {
		onTerm(t, func(current *term, conn *Conn) {
			if _, err := current.handleCall(conn, link.MethodAttach, []byte(odd)); err == nil {
				t.Errorf("%s was attached", odd)
			}
		})
	}
}

// A row of the owner that cannot be true is not read: it would hide each later owner.
func TestAnOddOwnerRowNamesNoOwner(t *testing.T) {
	for _, odd := range []string{
		`{"epoch":3,"name":"e9","under":18446744073709551615}`, `{"epoch":3,"name":"e9","under":51}`,
		`{"epoch":18446744073709551615,"name":"e9"}`, `{"epoch":1e400}`, `{"epoch":-1}`, `7`,
	} {
		if holder, err := ReadHolder(oddRow(tableAlive, singleRowKey, odd)); err == nil {
			t.Errorf("%s is read as %+v", odd, holder)
		}
	}
	if holder, err := ReadHolder(oddRow(tableAlive, singleRowKey, `{"epoch":3,"name":"e9","under":49}`)); err != nil || holder.OwnerRevision != 49 {
		t.Errorf("a true row is read as %+v, %v", holder, err)
	}
}

// A cost that cannot have been measured is not restored.
func TestAnOddCostIsNotRestored(t *testing.T) {
	for _, odd := range []string{`[{"s":"a","f":"b","m":1e308,"d":1e200}]`, `[{"s":"a","f":"b","m":-1e308,"d":-1e200}]`, `null`, `{}`, `[7]`} {
		onTerm(t, func(current *term, _ *Conn) {
			current.restoreCosts([]table.Record{oddRow(tableCosts, singleRowKey, odd)})
			if _, err := json.Marshal(current.scheduler.LearnedCosts(9)); err != nil {
				t.Errorf("%s: %v", odd, err)
			}
			for _, e := range current.scheduler.LearnedCosts(9) {
				if math.Abs(e.Mean) > 1e6 {
					t.Errorf("%s: cost %g", odd, e.Mean)
				}
			}
		})
	}
}
