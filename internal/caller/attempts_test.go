package caller

import (
	"net/http"
	"testing"

	"github.com/apricotwind/apricotwind/internal/problem"
)

// A request is refused only if none of its attempts may have run.
func TestARequestThatMayHaveRunIsNotRefused(t *testing.T) {
	refused := failedEnd{problem.New(http.StatusServiceUnavailable, problem.Refused, "admit", "full"), "no capacity"}
	unknown := failedEnd{problem.New(http.StatusBadGateway, problem.Unknown, "exchange", "the link broke"), "instance failed"}
	cases := []struct {
		name          string
		first, second failedEnd
		want          failedEnd
	}{
		{"refused twice", refused, refused, refused},
		{"unknown at last", refused, unknown, unknown},
		{"refused at last", unknown, refused, unknown},
	}
	for _, c := range cases {
		if got := c.second.after(c.first); got.outcome() != c.want.outcome() {
			t.Errorf("%s: %v, want %v", c.name, got.outcome(), c.want.outcome())
		}
	}
}
