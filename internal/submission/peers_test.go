package submission

import (
	"fmt"
	"testing"

	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"go.uber.org/zap"
)

func rowOf(name, value string) table.Record {
	return table.Record{RowKey: table.RowKey{Table: tableEntries, Key: name}, Value: []byte(value)}
}

func TestOutmatched(t *testing.T) {
	cases := []struct {
		name  string
		own   float64
		other string
		want  bool
	}{
		{"alike", 0.4, `{"address":"a:1","cpu":0.4}`, false},
		{"a little more", 0.4, `{"address":"a:1","cpu":0.5}`, false},
		{"much more", 0.192, `{"address":"a:1","cpu":0.8}`, true},
		{"much less", 0.8, `{"address":"a:1","cpu":0.192}`, false},
		{"other unknown", 0.8, `{"address":"a:1"}`, false},
		{"both unknown", 0, `{"address":"a:1"}`, false},
		{"unreadable", 0.192, `17`, false},
	}
	for _, c := range cases {
		p := NewPeers(Member{Name: "e0", Address: "z:1", Processors: c.own}, nil, nil, nil, zap.NewNop(), nil)
		p.take([]table.Record{rowOf("e0", `{"address":"z:1","cpu":9}`), rowOf("e1", c.other)})
		if got := p.Outranked(); got != c.want {
			t.Errorf("%s: outmatched %v, want %v", c.name, got, c.want)
		}
	}
}

// The owner is asked first, then others, and never this entry itself.
func TestOrderOfPeers(t *testing.T) {
	p := NewPeers(Member{Name: "e0", Address: "e0:1"}, nil, nil, nil, zap.NewNop(), nil)
	var rows []table.Record
	for i := range 4 {
		rows = append(rows, rowOf(fmt.Sprintf("e%d", i), fmt.Sprintf(`{"address":"e%d:1"}`, i)))
	}
	p.take(rows)
	for range 20 {
		order := p.order("e2:1")
		if len(order) != peerTries || order[0] != "e2:1" || order[1] == "e0:1" || order[1] == "e2:1" {
			t.Fatalf("order %v", order)
		}
		if order := p.order("e0:1"); order[0] == "e0:1" || order[1] == "e0:1" {
			t.Fatalf("order %v where this entry owns", order)
		}
	}
}
