package table

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// fakeTable is a fake table with one row. It answers each commit with writes from answers, in
// order.
type fakeTable struct {
	answers []answer
	row     Row
	sent    int
	stale   int // number of reads that still return a stale row
}

// answer is the answer to one commit: what the client sees and whether the commit takes effect.
type answer struct {
	outcome Outcome
	applied bool // the commit takes effect if its condition holds
}

// get returns stale rows first.
func (s *fakeTable) get(context.Context, string) (Row, error) {
	if s.stale > 0 {
		s.stale--
		return Row{}, nil
	}
	return s.row, nil
}

func (s *fakeTable) commit(_ context.Context, conditions []Condition, writes []Write) (Result, error) {
	if len(writes) == 0 {
		if conditions[0].Revision != s.row.Revision {
			return Result{Outcome: Conflict}, nil
		}
		return Result{Outcome: Committed}, nil
	}
	reply := s.answers[s.sent]
	s.sent++
	if reply.applied && conditions[0].Revision == s.row.Revision {
		s.row = Row{Key: writes[0].Key, Revision: 9, Value: writes[0].Value}
	}
	if reply.outcome == Unknown {
		return Result{}, errors.New("answer lost")
	}
	return Result{Outcome: reply.outcome, Revision: s.row.Revision}, nil
}

func TestCommitRetry(t *testing.T) {
	cases := []struct {
		name    string
		answers []answer
		row     Row
		want    Outcome
	}{
		{"committed", []answer{{Committed, true}}, Row{}, Committed},
		{"conflict", []answer{{Conflict, false}}, Row{Revision: 3}, Conflict},
		{"answer lost, had no effect", []answer{{Unknown, false}, {Committed, true}}, Row{}, Committed},
		{"answer lost, had effect", []answer{{Unknown, true}, {Conflict, false}}, Row{}, Committed},
		{"answer lost, another wrote", []answer{{Unknown, false}, {Conflict, false}}, Row{Revision: 5, Value: []byte("theirs")}, Conflict},
		{"lost twice, second had effect", []answer{{Unknown, false}, {Unknown, true}, {Conflict, false}}, Row{}, Committed},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &fakeTable{answers: c.answers, row: c.row}
				client := New(s.get, nil, s.commit)
				result, err := client.CommitRetry(t.Context(), []Condition{{Key: "k"}}, []Write{{Key: "k", Value: []byte("ours")}})
				if result.Outcome != c.want || err != nil {
					t.Errorf("got %s, %v; want %s", result.Outcome, err, c.want)
				}
				if s.sent != len(c.answers) {
					t.Errorf("sent %d times, want %d", s.sent, len(c.answers))
				}
			})
		})
	}
}

func TestCommitRetryDetectsStaleRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeTable{answers: []answer{{Unknown, true}, {Conflict, false}, {Conflict, false}, {Conflict, false}}, stale: 2}
		result, err := New(s.get, nil, s.commit).CommitRetry(t.Context(), []Condition{{Key: "k"}}, []Write{{Key: "k", Value: []byte("ours")}})
		if result.Outcome != Committed || err != nil {
			t.Errorf("got %s, %v", result.Outcome, err)
		}
	})
}

func TestCommitRetryReturnsUnknownWhenContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		commit := func(context.Context, []Condition, []Write) (Result, error) { return Result{}, ErrUnavailable }
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		result, err := New(nil, nil, commit).CommitRetry(ctx, []Condition{{Key: "k"}}, []Write{{Key: "k"}})
		if result.Outcome != Unknown || !errors.Is(err, ErrUnavailable) {
			t.Errorf("got %s, %v", result.Outcome, err)
		}
	})
}
