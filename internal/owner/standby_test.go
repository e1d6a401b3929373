package owner

import (
	"testing"

	"github.com/apricotwind/apricotwind/internal/loop"
	"github.com/apricotwind/apricotwind/internal/metrics"
	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"go.uber.org/zap"
)

func TestAStandbyYieldsLongerThanAnyEntry(t *testing.T) {
	store, health := table.WithHealth(&table.Store{})
	l := loop.New(t.Context())
	defer l.Wait()
	defer l.Stop()
	elector := func(settings Settings) *Elector {
		return New(settings, store, health, l, zap.NewNop(), metrics.New(), func() int64 { return 0 }, func(Holder) {})
	}
	entry := elector(Settings{Outranked: func() bool { return true }})
	for range 100 {
		standby := elector(Settings{Standby: true})
		if standby.yield() < entry.yield()+watchPeriod {
			t.Fatalf("a standby yields for %v, an entry for %v and a read each %v", standby.yield(), entry.yield(), watchPeriod)
		}
		entry.holder, standby.holder = Holder{Name: "a", Standby: true}, Holder{Name: "a", Standby: true}
		if standby.outranksOwner() {
			t.Fatal("a standby outranks another")
		}
	}
}
