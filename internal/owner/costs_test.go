package owner

import (
	"testing"
	"time"

	"github.com/apricotwind/apricotwind/internal/decision/dispatch"
	"github.com/apricotwind/apricotwind/internal/decision/interference"
	"github.com/apricotwind/apricotwind/internal/logs"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"
)

func newTestTerm(estimates []interference.Estimate) *term {
	t := &term{elector: &Elector{registry: metrics.New()}, grantsEnd: map[string]time.Time{}, scheduler: dispatch.New(1, 1), log: zap.NewNop(), progressFailures: logs.NewFailureLogger(zap.NewNop(), "progress-not-stored")}
	t.scheduler.RestoreCosts(estimates)
	return t
}

// The next term restores the costs of image pairs that a term has written. A row that cannot
// be decoded changes nothing.
func TestCostsPassFromTermToTerm(t *testing.T) {
	known := []interference.Estimate{{Pair: interference.Pair{LatencyCritical: "s", BestEffort: "f"}, Mean: 0.1, Deviation: 0.01}}
	first, b := newTestTerm(known), &batch{}
	first.putCosts(b)
	if len(b.txn.Puts) != 1 {
		t.Fatalf("%d rows written, want 1", len(b.txn.Puts))
	}
	next := newTestTerm(nil)
	next.restoreCosts([]table.Record{{RowKey: costsRowKey(), Value: []byte("no list")}, {RowKey: costsRowKey(), Value: b.txn.Puts[0].Value}})
	if diff := cmp.Diff(known, next.scheduler.LearnedCosts(maxCostPairs)); diff != "" {
		t.Errorf("restored estimates (-want +got):\n%s", diff)
	}
}

func TestCostsAreWrittenWhenTheyChangeAndNotTooOften(t *testing.T) {
	estimate := func(bestEffort string) []interference.Estimate {
		return []interference.Estimate{{Pair: interference.Pair{LatencyCritical: "s", BestEffort: bestEffort}, Mean: 0.1, Deviation: 0.01}}
	}
	current := newTestTerm(estimate("f"))
	steps := []struct {
		name    string
		prepare func()
		want    int
	}{
		{"at first", func() {}, 1},
		{"unchanged, later", func() { current.costsComparedAt = time.Now().Add(-costsPeriod) }, 0},
		{"changed, too early", func() { current.scheduler.RestoreCosts(estimate("g")) }, 0},
		{"changed, later", func() { current.costsComparedAt = time.Now().Add(-costsPeriod) }, 1},
	}
	for _, step := range steps {
		step.prepare()
		b := &batch{}
		current.putCosts(b)
		if got := len(b.txn.Puts); got != step.want {
			t.Errorf("%s: %d rows written, want %d", step.name, got, step.want)
		}
	}
}
