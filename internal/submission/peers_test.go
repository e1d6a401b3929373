package submission

import (
	"fmt"
	"testing"

	"github.com/apricotwind/apricotwind/pkg/platform/table"
	"go.uber.org/zap"
)

func newRow(name, value string) table.Record {
	return table.Record{RowKey: table.RowKey{Table: tableEntries, Key: name}, Value: []byte(value)}
}

func TestOutranked(t *testing.T) {
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
		p := NewPeers(EntryInfo{Name: "e0", Address: "z:1", Cores: c.own}, nil, nil, nil, nil, zap.NewNop(), nil)
		p.setPeers([]table.Record{newRow("e0", `{"address":"z:1","cpu":9}`), newRow("e1", c.other)})
		if got := p.Outranked(); got != c.want {
			t.Errorf("%s: outranked %v, want %v", c.name, got, c.want)
		}
	}
}

// A call is forwarded to the owner first, then to other entries, and never to this entry
// itself.
func TestCandidates(t *testing.T) {
	p := NewPeers(EntryInfo{Name: "e0", Address: "e0:1"}, nil, nil, nil, nil, zap.NewNop(), nil)
	var rows []table.Record
	for i := range 4 {
		rows = append(rows, newRow(fmt.Sprintf("e%d", i), fmt.Sprintf(`{"address":"e%d:1"}`, i)))
	}
	p.setPeers(rows)
	for range 20 {
		addresses := p.candidates("e2:1")
		if len(addresses) != maxForwardPeers || addresses[0] != "e2:1" || addresses[1] == "e0:1" || addresses[1] == "e2:1" {
			t.Fatalf("candidates %v", addresses)
		}
		if addresses := p.candidates("e0:1"); addresses[0] == "e0:1" || addresses[1] == "e0:1" {
			t.Fatalf("candidates %v while this entry is the owner", addresses)
		}
	}
}

// An entry that has left, and one that has failed for good, are no longer used once their rows stay
// the same: a call is not forwarded to them, and no entry waits for them to take the ownership.
func TestEntriesThatLeftAreNotUsed(t *testing.T) {
	p := NewPeers(EntryInfo{Name: "e0", Address: "e0:1", Cores: 0.2}, nil, nil, nil, nil, zap.NewNop(), nil)
	rowAt := func(name string, revision uint64) table.Record {
		row := newRow(name, fmt.Sprintf(`{"address":"%s:1","cpu":0.8}`, name))
		row.Revision = revision
		return row
	}
	for read := range uint64(maxUnchangedReads + 2) {
		p.setPeers([]table.Record{rowAt("failed", 3), rowAt("lives", 10+read/renewReads)})
	}
	for range 20 {
		for _, address := range p.candidates("") {
			if address != "lives:1" {
				t.Fatalf("a call would be forwarded to %s", address)
			}
		}
	}
	for read := range uint64(maxUnchangedReads + 2) {
		p.setPeers([]table.Record{rowAt("failed", 3), newRow("lives", `{"address":"lives:1","cpu":0.2}`), rowAt("small", 90+read)})
	}
	if p.setPeers([]table.Record{rowAt("failed", 3)}); p.Outranked() {
		t.Error("outranked by an entry that has failed")
	}
	if p.setPeers([]table.Record{rowAt("failed", 99)}); !p.Outranked() {
		t.Error("an entry that is back does not count")
	}
}

// An odd row of an entry names no entry to forward to and none that would be the better owner.
func TestAnOddEntryRowNamesNoEntry(t *testing.T) {
	for _, odd := range []string{
		`{"address":"a:1","cpu":1e300}`, `{"address":"a:1","cpu":-1}`, `{"address":"a:99999","cpu":9}`, `{"address":"a:0","cpu":9}`,
		`{"address":":1","cpu":9}`, `{"address":"a","cpu":9}`, `{"address":7,"cpu":9}`, `{"cpu":9}`, `{}`, `null`, ``, `{"address":"a:1","cpu":1e400}`,
	} {
		p := NewPeers(EntryInfo{Name: "e0", Address: "z:1", Cores: 1}, nil, nil, nil, nil, zap.NewNop(), nil)
		p.setPeers([]table.Record{newRow("odd", odd), newRow("e1", `{"address":"e1:1","cpu":1}`)})
		if addresses := p.candidates(""); len(addresses) != 1 || addresses[0] != "e1:1" || p.Outranked() {
			t.Errorf("%s: forwards to %v, outranked %v", odd, addresses, p.Outranked())
		}
	}
}
