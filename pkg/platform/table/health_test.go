package table

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
)

func TestHealth(t *testing.T) {
	cases := []struct {
		name      string
		latency   time.Duration
		fails     bool
		idle      time.Duration // after the last read
		available bool
	}{
		{"answers", 4 * time.Millisecond, false, 300 * time.Millisecond, true},
		{"answered long ago", 4 * time.Millisecond, false, 2 * time.Second, false},
		{"slow, but there", 500 * time.Millisecond, false, time.Second, true},
		{"never answered", 4 * time.Millisecond, true, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store, health := WithHealth(&Store{Read: func(context.Context, Range) ([]Record, uint64, error) {
					time.Sleep(c.latency)
					if c.fails {
						return nil, 0, errors.New("store does not answer")
					}
					return nil, 1, nil
				}})
				for range 10 {
					_, _, _ = store.Read(t.Context(), Range{}) // the test checks only the health
				}
				time.Sleep(c.idle)
				if got := health.Available(); got != c.available {
					t.Errorf("available: %v, want %v", got, c.available)
				}
			})
		})
	}
}
