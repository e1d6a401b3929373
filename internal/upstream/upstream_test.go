package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/apricotwind/apricotwind/internal/forward"
	"github.com/apricotwind/apricotwind/internal/problem"
)

// An upstream cannot set the headers by which callers and entries recognize answers of apricotwind.
func TestReservedHeadersOfAnUpstreamAreDropped(t *testing.T) {
	reserved := []string{problem.HeaderOutcome, problem.HeaderStep, problem.HeaderPeer, headerLoad}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for _, name := range reserved {
			w.Header().Set(name, "forged")
		}
		w.Header().Set("Own", "kept")
	}))
	defer server.Close()
	client := newTestClient(t, server.URL)
	answer := httptest.NewRecorder()
	request := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/deck", strings.NewReader(""))
	if failed, broken := client.Forward(t.Context(), answer, request, forward.Track(request), func() {}); failed != nil || broken != nil {
		t.Fatal(failed, broken)
	}
	for _, name := range reserved {
		if got := answer.Header().Get(name); got != "" {
			t.Errorf("%s: %q", name, got)
		}
	}
	if answer.Header().Get("Own") != "kept" {
		t.Error("a header of the upstream is missing")
	}
}

func newTestClient(t *testing.T, base string) *Client {
	t.Helper()
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}
	client, err := New(base, 1, dial)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}
