package main

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// A call that is held back reaches the worker late, though its caller has given it up. A poll that
// acknowledges ends does not wait.
func TestCallsAreHeldBack(t *testing.T) {
	type arrival struct {
		body  string
		after time.Duration
	}
	arrivals := make(chan arrival, 3)
	begin := time.Now()
	held := &heldCalls{worker: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		arrivals <- arrival{string(body), time.Since(begin)}
	})}
	server := httptest.NewServer(held)
	defer server.Close()
	call := func(body string) error {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		response, err := server.Client().Do(request)
		if err == nil {
			err = response.Body.Close()
		}
		return err
	}
	held.hold([]time.Duration{400 * time.Millisecond, 0})
	if call(`{"run":1}`) == nil {
		t.Error("a call that is held back is answered")
	}
	for _, body := range []string{`{"last_seen":4}`, `{"run":2}`} {
		if err := call(body); err != nil {
			t.Errorf("%s: %v", body, err)
		}
		if got := <-arrivals; got.body != body {
			t.Errorf("%s arrives before %s", got.body, body)
		}
	}
	if got := <-arrivals; got.body != `{"run":1}` || got.after < 400*time.Millisecond {
		t.Errorf("%s arrives after %v", got.body, got.after)
	}
	held.hold(nil)
	if err := call(`{"run":3}`); err != nil {
		t.Error(err)
	}
}
