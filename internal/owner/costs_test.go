package owner

import (
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/decision/interference"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
)

func termOf(estimates []interference.Estimate) *term {
	t := &term{seat: &Elector{}, book: dispatch.New(1, 1), log: zap.NewNop()}
	t.book.RestoreEstimates(estimates)
	return t
}

// What one term writes of the costs of image pairs, the next one learns; a row that can't
// be read changes nothing.
func TestCostsPassFromTermToTerm(t *testing.T) {
	known := []interference.Estimate{{Pair: interference.Pair{LatencyCritical: "s", BestEffort: "f"}, Mean: 0.1, Deviation: 0.01}}
	first, b := termOf(known), &batch{}
	first.putCosts(b)
	if len(b.change.Puts) != 1 {
		t.Fatalf("%d rows written, want 1", len(b.change.Puts))
	}
	next := termOf(nil)
	next.takeCosts([]table.Record{{RowKey: costsPlace(), Value: []byte("no list")}, {RowKey: costsPlace(), Value: b.change.Puts[0].Value}})
	if diff := cmp.Diff(known, next.book.Estimates(costsMost)); diff != "" {
		t.Errorf("learned (-want +got):\n%s", diff)
	}
}

func TestCostsAreWrittenWhenTheyChangeAndNotTooOften(t *testing.T) {
	estimate := func(filling string) []interference.Estimate {
		return []interference.Estimate{{Pair: interference.Pair{LatencyCritical: "s", BestEffort: filling}, Mean: 0.1, Deviation: 0.01}}
	}
	of := termOf(estimate("f"))
	steps := []struct {
		name    string
		prepare func()
		want    int
	}{
		{"at first", func() {}, 1},
		{"unchanged, later", func() { of.costsAt = time.Now().Add(-costsPeriod) }, 0},
		{"changed, too early", func() { of.book.RestoreEstimates(estimate("g")) }, 0},
		{"changed, later", func() { of.costsAt = time.Now().Add(-costsPeriod) }, 1},
	}
	for _, step := range steps {
		step.prepare()
		b := &batch{}
		of.putCosts(b)
		if got := len(b.change.Puts); got != step.want {
			t.Errorf("%s: %d rows written, want %d", step.name, got, step.want)
		}
	}
}
